/**
 * Divides the layers anew over servers that already hold some, after one was
 * lost or has joined. By dynamic programming over the servers in the order of
 * their layers; pure.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {tokensBeside} from '../fleet/server_capacity.js';
import {partStepMs} from '../paths/part_step.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {LayoutOrder} from './plan_layout.js';

/**
 * Cost of one layer that has to be loaded, in milliseconds of a decode step:
 * a chain waits for its slowest load, so balance is worth a few layers.
 */
const LOAD_MS = 0.05;

/** Part time at which its square counts as much as itself, as for paths. */
const BALANCE_MS = 0.5;

export interface Division {
  readonly orders: readonly LayoutOrder[];
  readonly costMs: number;
}

export interface DivisionQuery {
  readonly model: ModelSpec;
  /** In the order of their parts. */
  readonly servers: readonly BackendServer[];
  /** Room that each part must have for requests. */
  readonly tokens: number;
  /**
   * Layers that each server keeps in any case: giving up layers in use waits
   * until the requests on them have ended.
   */
  readonly kept: ReadonlyMap<ServerId, LayerRange>;
  /** No server loads more layers than this; unlimited by default. */
  readonly mostAdded?: number;
  /** Cost of a layer that is loaded, in milliseconds of a decode step. */
  readonly loadCostMs?: number;
}

interface Step {
  readonly costMs: number;
  readonly order: LayoutOrder | undefined;
  readonly before: Step | undefined;
}

/** Returns undefined if the servers cannot hold all layers that way. */
export function redivide(query: DivisionQuery): Division | undefined {
  const {model, servers} = query;
  let best: Array<Step | undefined> = [
    {costMs: 0, order: undefined, before: undefined},
  ];
  for (const server of servers) best = addServer(query, best, server);
  const last = best[model.layers];
  if (!last) return undefined;
  const orders: LayoutOrder[] = [];
  for (let step: Step | undefined = last; step; step = step.before) {
    if (step.order) orders.unshift(step.order);
  }
  return {orders, costMs: last.costMs};
}

/** The server takes any number of the next layers, or none. */
function addServer(
  query: DivisionQuery,
  best: ReadonlyArray<Step | undefined>,
  server: BackendServer,
): Array<Step | undefined> {
  const {layers} = query.model;
  const mostAdded = query.mostAdded ?? layers;
  const next = [...best];
  for (let begin = 0; begin < layers; begin++) {
    const before = best[begin];
    if (!before) continue;
    for (let end = begin + 1; end <= layers; end++) {
      const part = {firstLayer: begin, endLayer: end};
      const held = rangeFor(query, server, part);
      if (!held || addedLayers(server, held) > mostAdded) break;
      const costMs = before.costMs + partCostMs(query, server, part, held);
      const known = next[end];
      if (known && known.costMs <= costMs) continue;
      const isChange =
        held.firstLayer !== server.layers?.firstLayer ||
        held.endLayer !== server.layers.endLayer;
      const order = isChange ? {server, range: held} : undefined;
      next[end] = {costMs, order, before};
    }
  }
  return next;
}

/**
 * What the server would hold: as much as possible of what it holds now, at
 * least what it has to keep. Undefined if that leaves too little room.
 */
function rangeFor(
  {model, tokens, kept}: DivisionQuery,
  server: BackendServer,
  part: LayerRange,
): LayerRange | undefined {
  const used = part.endLayer - part.firstLayer;
  const hasRoom = (layers: LayerRange) =>
    tokensBeside(model, server, size(layers), used) >= tokens;
  const all = hull(server.layers, part);
  if (hasRoom(all)) return all;
  const least = hull(kept.get(server.server), part);
  return hasRoom(least) ? least : undefined;
}

/** The least range that holds both. */
export function hull(
  range: LayerRange | undefined,
  part: LayerRange,
): LayerRange {
  if (!range) return part;
  return {
    firstLayer: Math.min(range.firstLayer, part.firstLayer),
    endLayer: Math.max(range.endLayer, part.endLayer),
  };
}

function partCostMs(
  {model, loadCostMs = LOAD_MS}: DivisionQuery,
  server: BackendServer,
  part: LayerRange,
  held: LayerRange,
): number {
  const computeMs = partStepMs(model, server, size(part));
  const balanceMs = (computeMs * computeMs) / BALANCE_MS;
  return computeMs + balanceMs + loadCostMs * addedLayers(server, held);
}

/** Layers of `held` that the server would have to load. */
export function addedLayers({layers}: BackendServer, held: LayerRange): number {
  if (!layers) return size(held);
  const shared =
    Math.min(layers.endLayer, held.endLayer) -
    Math.max(layers.firstLayer, held.firstLayer);
  return size(held) - Math.max(0, shared);
}

function size({firstLayer, endLayer}: LayerRange): number {
  return endLayer - firstLayer;
}
