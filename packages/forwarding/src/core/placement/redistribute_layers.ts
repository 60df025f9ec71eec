/**
 * Redistributes the layers over servers that already hold some, after a server
 * was lost or has joined. Finds the cheapest division by dynamic programming
 * over the servers in the order of their layers. Pure.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {kvCapacityTokensBeside} from '../fleet/server_capacity.js';
import {BALANCE_REFERENCE_MS} from '../paths/find_path.js';
import {IN_ZONE_HOP_MS, stageStepMs} from '../paths/stage_step_time.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {LayoutOrder} from './plan_layout.js';

/**
 * Default cost of each layer that has to be loaded, in milliseconds of a decode
 * step. It is low, because a chain waits only for its slowest load: a balanced
 * chain is worth a few more loaded layers.
 */
const LAYER_LOAD_COST_MS = 0.05;

/** Orders that lead to a division of all layers, with its cost. */
export interface Division {
  readonly orders: readonly LayoutOrder[];
  readonly costMs: number;
}

export interface DivisionQuery {
  readonly model: ModelSpec;
  /** In the order of their stages on the path. */
  readonly servers: readonly BackendServer[];
  /** KV-cache capacity that each server must have for its stage. */
  readonly minCapacityTokens: number;
  /**
   * Layers that each server keeps in any case: layers in use are released only
   * after the requests on them have ended.
   */
  readonly keptLayers: ReadonlyMap<ServerId, LayerRange>;
  /** No server loads more layers than this; unlimited by default. */
  readonly maxAddedLayers?: number;
  /** Cost of each loaded layer, in milliseconds of a decode step. */
  readonly layerLoadCostMs?: number;
}

/** The cheapest division of the first layers that was found so far. */
interface PartialDivision {
  readonly costMs: number;
  readonly order: LayoutOrder | undefined;
  readonly predecessor: PartialDivision | undefined;
}

/** Returns undefined if no division meets all conditions of the query. */
export function redistributeLayers(query: DivisionQuery): Division | undefined {
  const {model, servers} = query;
  let best: Array<PartialDivision | undefined> = [
    {costMs: 0, order: undefined, predecessor: undefined},
  ];
  for (const server of servers) best = addServer(query, best, server);
  const last = best[model.layers];
  if (!last) return undefined;
  const orders: LayoutOrder[] = [];
  for (
    let division: PartialDivision | undefined = last;
    division;
    division = division.predecessor
  ) {
    if (division.order) orders.unshift(division.order);
  }
  return {orders, costMs: last.costMs};
}

/** Extends each division by a stage of any length on the server, or by none. */
function addServer(
  query: DivisionQuery,
  best: ReadonlyArray<PartialDivision | undefined>,
  server: BackendServer,
): Array<PartialDivision | undefined> {
  const {layers} = query.model;
  const maxAddedLayers = query.maxAddedLayers ?? layers;
  const next = [...best];
  for (let begin = 0; begin < layers; begin++) {
    const predecessor = best[begin];
    if (!predecessor) continue;
    for (let end = begin + 1; end <= layers; end++) {
      const stage = {firstLayer: begin, endLayer: end};
      const held = heldRangeFor(query, server, stage);
      if (!held || countAddedLayers(server, held) > maxAddedLayers) break;
      const costMs =
        predecessor.costMs + stageCostMs(query, server, stage, held);
      const other = next[end];
      if (other && other.costMs <= costMs) continue;
      const isChanged =
        held.firstLayer !== server.layers?.firstLayer ||
        held.endLayer !== server.layers.endLayer;
      const order = isChanged ? {server, range: held} : undefined;
      next[end] = {costMs, order, predecessor};
    }
  }
  return next;
}

/**
 * Returns the layers that the server would hold for the stage: with all that
 * it holds now if they leave enough KV-cache capacity, otherwise only with
 * those that it has to keep. Undefined if these leave too little as well.
 */
function heldRangeFor(
  {model, minCapacityTokens, keptLayers}: DivisionQuery,
  server: BackendServer,
  stage: LayerRange,
): LayerRange | undefined {
  const usedLayers = stage.endLayer - stage.firstLayer;
  const fits = (layers: LayerRange) =>
    kvCapacityTokensBeside(model, server, layerCount(layers), usedLayers) >=
    minCapacityTokens;
  const withHeld = spanningRange(server.layers, stage);
  if (fits(withHeld)) return withHeld;
  const withKept = spanningRange(keptLayers.get(server.server), stage);
  return fits(withKept) ? withKept : undefined;
}

/** Returns the smallest range that contains both. */
export function spanningRange(
  range: LayerRange | undefined,
  other: LayerRange,
): LayerRange {
  if (!range) return other;
  return {
    firstLayer: Math.min(range.firstLayer, other.firstLayer),
    endLayer: Math.max(range.endLayer, other.endLayer),
  };
}

function stageCostMs(
  {model, layerLoadCostMs = LAYER_LOAD_COST_MS}: DivisionQuery,
  server: BackendServer,
  stage: LayerRange,
  held: LayerRange,
): number {
  const stepMs = stageStepMs(model, server, layerCount(stage));
  const balanceMs = (stepMs * stepMs) / BALANCE_REFERENCE_MS;
  const loadMs = layerLoadCostMs * countAddedLayers(server, held);
  return stepMs + balanceMs + loadMs + IN_ZONE_HOP_MS;
}

/** Returns how many layers of `held` the server would have to load. */
export function countAddedLayers(
  {layers}: BackendServer,
  held: LayerRange,
): number {
  if (!layers) return layerCount(held);
  const shared =
    Math.min(layers.endLayer, held.endLayer) -
    Math.max(layers.firstLayer, held.firstLayer);
  return layerCount(held) - Math.max(0, shared);
}

function layerCount({firstLayer, endLayer}: LayerRange): number {
  return endLayer - firstLayer;
}
