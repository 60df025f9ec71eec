/**
 * Restores the chain of an availability zone that has lost servers. Minimizes
 * the time until requests are served again: few servers load few layers, if
 * possible without releasing layers in use. Capacity and balance are improved
 * by later plans. Pure.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {layersThatFit} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {LayersInUse} from './layers_in_use.js';
import type {LayoutOrder} from './plan_layout.js';
import {orderingsAtGaps} from './server_orderings.js';
import {
  countAddedLayers,
  redistributeLayers,
  type Division,
} from './redistribute_layers.js';

/** Time to load one layer: 14 s for a model of 80 layers. */
const LAYER_LOAD_TIME_MS = 175;

/** Number of simultaneous loads that the weight store serves at full speed. */
const MAX_FULL_SPEED_LOADS = 6;

/**
 * Longest wait until a server releases layers in use: the requests on them have
 * to end first, and servers abort stalled requests after 2.5 s.
 */
const LAYER_RELEASE_WAIT_MS = 2500;

/**
 * KV-cache capacities for a restored chain, each with the cost of having no
 * more: the additional loading time that a larger capacity is worth. One of
 * three chains serves about 15 of 45 requests a second, for 3 s with 860 tokens
 * each, which takes 39,000 tokens.
 */
const CAPACITY_OPTIONS: ReadonlyArray<{tokens: number; costMs: number}> = [
  {tokens: 60_000, costMs: 0},
  {tokens: 40_000, costMs: 200},
  {tokens: 24_000, costMs: 600},
  {tokens: 12_000, costMs: 1500},
  {tokens: 4_000, costMs: 4000},
];

/** Limits on the layers that each server loads, tried in ascending order. */
const MAX_ADDED_LAYERS_OPTIONS = [1, 2, 3, 4, 5, 6, 8, 10, 13, 20, 30];

/**
 * Cost of each loaded layer, in milliseconds of a decode step. Higher than by
 * default, since short loads matter more than balance here.
 */
const RESTORE_LAYER_LOAD_COST_MS = 0.4;

export interface RestoreQuery {
  readonly model: ModelSpec;
  readonly servers: readonly BackendServer[];
  /** Layers in use by requests; other held layers can be released at once. */
  readonly inUse: LayersInUse;
}

/** Orderings of the servers to try, with a rule on what they may release. */
interface RestoreOption {
  readonly orderings: readonly BackendServer[][];
  /** Layers that servers keep in any case. */
  readonly keptLayers: LayersInUse;
}

interface Candidate {
  readonly orders: readonly LayoutOrder[];
  readonly costMs: number;
}

/** Returns undefined if the servers cannot hold all layers. */
export function restoreChain(query: RestoreQuery): LayoutOrder[] | undefined {
  const {model, servers, inUse} = query;
  const needed = withoutRedundantLayers(servers);
  const noLayers = new Map<ServerId, LayerRange>();
  // Each option allows servers to release more than the one before.
  const options: readonly RestoreOption[] = [
    {orderings: orderingsAtGaps(servers), keptLayers: inUse},
    {orderings: orderingsAtGaps(needed), keptLayers: inUse},
    {orderings: orderingsAtGaps(needed), keptLayers: noLayers},
  ];
  let best: Candidate | undefined;
  for (const capacity of CAPACITY_OPTIONS) {
    const fitting = servers.map(s => layersThatFit(model, s, capacity.tokens));
    if (fitting.reduce((sum, layers) => sum + layers, 0) < model.layers) {
      continue;
    }
    for (const option of options)
      best = fasterCandidate(query, option, capacity, best);
  }
  if (!best) return undefined;
  const actualServers = new Map(servers.map(server => [server.server, server]));
  return best.orders.flatMap(({server: {server}, range}) => {
    const actual = actualServers.get(server);
    if (!actual || isSameRange(actual.layers, range)) return [];
    return [{server: actual, range}];
  });
}

/**
 * Returns the division with the shortest loads under the option if it is
 * cheaper than `best`, otherwise `best`.
 */
function fasterCandidate(
  query: RestoreQuery,
  {orderings, keptLayers}: RestoreOption,
  {tokens, costMs: capacityCostMs}: {tokens: number; costMs: number},
  best: Candidate | undefined,
): Candidate | undefined {
  const {model} = query;
  const base = {
    model,
    minCapacityTokens: tokens,
    keptLayers,
    layerLoadCostMs: RESTORE_LAYER_LOAD_COST_MS,
  };
  for (const maxAddedLayers of MAX_ADDED_LAYERS_OPTIONS) {
    const minCostMs = capacityCostMs + maxAddedLayers * LAYER_LOAD_TIME_MS;
    if (best && minCostMs >= best.costMs) return best;
    const [division] = orderings
      .map(servers => redistributeLayers({...base, servers, maxAddedLayers}))
      .filter(found => found !== undefined)
      .sort((a, b) => a.costMs - b.costMs);
    if (!division) continue;
    const costMs = capacityCostMs + estimateRestoreMs(query, division);
    if (best && best.costMs <= costMs) return best;
    return {orders: division.orders, costMs};
  }
  return best;
}

/** Estimates the time until the orders of the division are completed. */
function estimateRestoreMs({inUse}: RestoreQuery, {orders}: Division): number {
  const added = orders.map(({server, range}) =>
    countAddedLayers(server, range),
  );
  const loads = added.filter(layers => layers > 0).length;
  const slowdownFactor = Math.max(1, loads / MAX_FULL_SPEED_LOADS);
  const releasesInUse = orders.some(({server, range}) => {
    const used = inUse.get(server.server);
    return used !== undefined && !contains(range, used);
  });
  const loadMs = Math.max(0, ...added) * LAYER_LOAD_TIME_MS * slowdownFactor;
  return loadMs + (releasesInUse ? LAYER_RELEASE_WAIT_MS : 0);
}

/**
 * Returns the servers with those as empty whose layers are all held by others
 * too; servers with the fewest layers are emptied first.
 */
function withoutRedundantLayers(
  servers: readonly BackendServer[],
): BackendServer[] {
  const copies: number[] = [];
  for (const {layers} of servers)
    forEachLayer(layers, l => addToCount(copies, l, 1));
  const bySize = [...servers].sort(
    (a, b) =>
      layerCount(a.layers) - layerCount(b.layers) ||
      (a.server < b.server ? -1 : 1),
  );
  const redundant = new Set<ServerId>();
  for (const {server, layers} of bySize) {
    let isNeeded = false;
    forEachLayer(layers, layer => (isNeeded ||= copies[layer] < 2));
    if (!layers || isNeeded) continue;
    redundant.add(server);
    forEachLayer(layers, layer => addToCount(copies, layer, -1));
  }
  return servers.map(server =>
    redundant.has(server.server) ? {...server, layers: undefined} : server,
  );
}

function forEachLayer(
  range: LayerRange | undefined,
  visit: (layer: number) => void,
): void {
  if (!range) return;
  for (let l = range.firstLayer; l < range.endLayer; l++) visit(l);
}

function addToCount(counts: number[], layer: number, amount: number): void {
  counts[layer] = (counts[layer] ?? 0) + amount;
}

function layerCount(range: LayerRange | undefined): number {
  return range ? range.endLayer - range.firstLayer : 0;
}

function contains(outer: LayerRange, inner: LayerRange): boolean {
  return (
    outer.firstLayer <= inner.firstLayer && outer.endLayer >= inner.endLayer
  );
}

function isSameRange(a: LayerRange | undefined, b: LayerRange): boolean {
  return a !== undefined && contains(a, b) && contains(b, a);
}
