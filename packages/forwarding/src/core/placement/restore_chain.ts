/**
 * Brings back the chain of a zone that has lost servers. What counts is the
 * time until requests are served again, so loads are kept short, few and
 * beside what runs; room and balance come back afterwards. Pure.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {layersThatFit} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {LayersInUse} from './layers_in_use.js';
import type {LayoutOrder} from './plan_layout.js';
import {orderingsAtGaps} from './possible_orderings.js';
import {addedLayers, redivide, type Division} from './redivide.js';

/** Time to load one layer: 14 s for 80 on the sheets of the users. */
const LAYER_LOAD_MS = 175;

/** The store of weights serves so many loads at full speed (same sheets). */
const LOADS_AT_ONCE = 6;

/**
 * Layers in use are given up only after the requests on them have ended,
 * which takes up to the 2.5 s after which servers cut stalled work.
 */
const GIVE_UP_MS = 2500;

/**
 * Room of a restored chain in tokens and what less room costs: the time of
 * loading that a chain with more room is worth. A chain serves some 15 of 45
 * requests a second, for 3 s with 860 tokens each: 39,000 tokens.
 */
const ROOMS: ReadonlyArray<{tokens: number; costMs: number}> = [
  {tokens: 60_000, costMs: 0},
  {tokens: 40_000, costMs: 200},
  {tokens: 24_000, costMs: 600},
  {tokens: 12_000, costMs: 1500},
  {tokens: 4_000, costMs: 4000},
];

/** Most layers that a server loads, tried in turn. */
const MOST_ADDED = [1, 2, 3, 4, 5, 6, 8, 10, 13, 20, 30];

/** Cost of a loaded layer against balance, in milliseconds of a step. */
const RESTORING_LOAD_COST_MS = 0.4;

export interface RestoreQuery {
  readonly model: ModelSpec;
  readonly servers: readonly BackendServer[];
  /** Layers in use by requests; the other held ones are free to go. */
  readonly inUse: LayersInUse;
}

interface Way {
  readonly orderings: readonly BackendServer[][];
  /** Layers that servers keep in any case. */
  readonly kept: LayersInUse;
}

interface Candidate {
  readonly orders: readonly LayoutOrder[];
  readonly costMs: number;
}

/** Returns undefined if the servers cannot hold all layers. */
export function restoreChain(query: RestoreQuery): LayoutOrder[] | undefined {
  const {model, servers, inUse} = query;
  const needed = withoutRedundant(servers);
  const nothing = new Map<ServerId, LayerRange>();
  // Each way may give up more than the one before.
  const ways: readonly Way[] = [
    {orderings: orderingsAtGaps(servers), kept: inUse},
    {orderings: orderingsAtGaps(needed), kept: inUse},
    {orderings: orderingsAtGaps(needed), kept: nothing},
  ];
  let best: Candidate | undefined;
  for (const room of ROOMS) {
    const fitting = servers.map(s => layersThatFit(model, s, room.tokens));
    if (fitting.reduce((sum, layers) => sum + layers, 0) < model.layers) {
      continue;
    }
    for (const way of ways) best = faster(query, way, room, best);
  }
  if (!best) return undefined;
  const held = new Map(servers.map(server => [server.server, server]));
  return best.orders.flatMap(({server: {server}, range}) => {
    const actual = held.get(server);
    if (!actual || isSame(actual.layers, range)) return [];
    return [{server: actual, range}];
  });
}

/** The division with the shortest loads that way, if better than `best`. */
function faster(
  query: RestoreQuery,
  {orderings, kept}: Way,
  {tokens, costMs: roomCostMs}: {tokens: number; costMs: number},
  best: Candidate | undefined,
): Candidate | undefined {
  const {model} = query;
  const base = {model, tokens, kept, loadCostMs: RESTORING_LOAD_COST_MS};
  for (const mostAdded of MOST_ADDED) {
    const leastMs = roomCostMs + mostAdded * LAYER_LOAD_MS;
    if (best && leastMs >= best.costMs) return best;
    const [division] = orderings
      .map(servers => redivide({...base, servers, mostAdded}))
      .filter(found => found !== undefined)
      .sort((a, b) => a.costMs - b.costMs);
    if (!division) continue;
    const costMs = roomCostMs + restoringMs(query, division);
    if (best && best.costMs <= costMs) return best;
    return {orders: division.orders, costMs};
  }
  return best;
}

/** Time until the division is in force. */
function restoringMs({inUse}: RestoreQuery, {orders}: Division): number {
  const added = orders.map(({server, range}) => addedLayers(server, range));
  const loads = added.filter(layers => layers > 0).length;
  const slowdown = Math.max(1, loads / LOADS_AT_ONCE);
  const givesUp = orders.some(({server, range}) => {
    const used = inUse.get(server.server);
    return used !== undefined && !contains(range, used);
  });
  const loadMs = Math.max(0, ...added) * LAYER_LOAD_MS * slowdown;
  return loadMs + (givesUp ? GIVE_UP_MS : 0);
}

/** Servers whose layers others hold too count as holding nothing. */
function withoutRedundant(servers: readonly BackendServer[]): BackendServer[] {
  const copies: number[] = [];
  for (const {layers} of servers) eachLayer(layers, l => add(copies, l, 1));
  const bySize = [...servers].sort(
    (a, b) => size(a.layers) - size(b.layers) || (a.server < b.server ? -1 : 1),
  );
  const redundant = new Set<ServerId>();
  for (const {server, layers} of bySize) {
    let isNeeded = false;
    eachLayer(layers, layer => (isNeeded ||= copies[layer] < 2));
    if (!layers || isNeeded) continue;
    redundant.add(server);
    eachLayer(layers, layer => add(copies, layer, -1));
  }
  return servers.map(server =>
    redundant.has(server.server) ? {...server, layers: undefined} : server,
  );
}

function eachLayer(
  range: LayerRange | undefined,
  visit: (layer: number) => void,
): void {
  if (!range) return;
  for (let l = range.firstLayer; l < range.endLayer; l++) visit(l);
}

function add(counts: number[], layer: number, amount: number): void {
  counts[layer] = (counts[layer] ?? 0) + amount;
}

function size(range: LayerRange | undefined): number {
  return range ? range.endLayer - range.firstLayer : 0;
}

function contains(outer: LayerRange, inner: LayerRange): boolean {
  return (
    outer.firstLayer <= inner.firstLayer && outer.endLayer >= inner.endLayer
  );
}

function isSame(a: LayerRange | undefined, b: LayerRange): boolean {
  return a !== undefined && contains(a, b) && contains(b, a);
}
