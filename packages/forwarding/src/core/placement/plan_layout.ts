/**
 * Which layers each server of a model should hold. All servers of an
 * availability zone form one chain, with the layers divided by their speed and
 * copies in the memory that is left. Chains that leave their zone are the last
 * resort, because prompts between zones share one slow pipe. What is held
 * already is moved as little as possible.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {layersThatFit, tokensBeside} from '../fleet/server_capacity.js';
import {findChains, type ServerChain} from '../paths/find_chains.js';
import type {PathPart} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {divideLayers, layerCost, rangesWithCopies} from './divide_layers.js';
import {usedByChains, type LayersInUse} from './layers_in_use.js';
import {possibleOrderings} from './possible_orderings.js';
import {hull, redivide, type Division} from './redivide.js';
import {restoreChain} from './restore_chain.js';

export interface LayoutOrder {
  readonly server: BackendServer;
  readonly range: LayerRange;
}

/**
 * Tokens of requests for which each server of a chain leaves memory: room for
 * some 90 requests where the zone allows it, fewer in a small zone.
 */
const CHAIN_TOKENS = [
  80_000, 65_000, 50_000, 40_000, 32_000, 24_000, 18_000, 12_000, 8_000, 4_000,
];

/** Least memory for requests of a chain that leaves its zone. */
const CROSS_ZONE_TOKENS = 12_000;

/** Longer chains gain little speed and pass more servers that may fail. */
const MAX_MEMBERS = 20;

/** A chain with less room than this is divided anew if that gains enough. */
const LITTLE_ROOM_TOKENS = 60_000;

/** Tokens for which a server that joins a chain leaves memory. */
const JOINING_TOKENS = 30_000;

/** Room that a chain keeps while its layers are divided anew. */
const LEAST_MEANWHILE_TOKENS = 20_000;

/** More room has to be worth the weights that are loaded for it. */
const LEAST_GAIN = 1.2;

/**
 * Returns the orders that lead from what is held to the wanted layout.
 * Layers outside `inUse` can be given up at once; by default none can.
 */
export function planLayout(
  model: ModelSpec,
  servers: readonly BackendServer[],
  inUse?: LayersInUse,
): LayoutOrder[] {
  const known = servers.filter(({accelerator}) =>
    model.accelerators.has(accelerator),
  );
  const orders: LayoutOrder[] = [];
  for (const zone of zonesOf(known)) {
    const inZone = known.filter(s => s.availabilityZone === zone);
    orders.push(...planZone(model, inZone, inUse));
  }
  const planned = applyOrders(known, orders);
  const broken = zonesOf(known).filter(zone => {
    const inZone = planned.filter(s => s.availabilityZone === zone);
    return findChains(model, inZone).length === 0;
  });
  const pool = known.filter(s => broken.includes(s.availabilityZone));
  return [...orders, ...planCrossZone(model, pool)];
}

function planZone(
  model: ModelSpec,
  servers: readonly BackendServer[],
  inUse: LayersInUse | undefined,
): LayoutOrder[] {
  if (servers.every(({layers}) => !layers)) {
    return planNewChains(model, servers);
  }
  const chains = findChains(model, servers);
  const smallest = chains[chains.length - 1];
  if (!smallest) {
    return (
      restoreChain({model, servers, inUse: held(servers, inUse)}) ??
      planNewChains(model, servers)
    );
  }
  // Whole chains before the last one stay as they are.
  const settled = new Set(
    chains.slice(0, -1).flatMap(({path}) => path.map(p => p.server.server)),
  );
  const others = servers.filter(({server}) => !settled.has(server));
  if (smallest.capacityTokens >= LITTLE_ROOM_TOKENS) {
    return planJoining(model, others, smallest);
  }
  return (
    planMoreRoom(model, others, smallest, inUse) ??
    planJoining(model, others, smallest)
  );
}

/**
 * Divides the layers anew for more room while the chain serves requests. What
 * is in use is given up only once another server holds it: until then a server
 * holds both its present and its future part, if it has the memory.
 */
function planMoreRoom(
  model: ModelSpec,
  servers: readonly BackendServer[],
  chain: ServerChain,
  recentUse: LayersInUse | undefined,
): LayoutOrder[] | undefined {
  const inUse = usedByChains([chain]);
  for (const [server, range] of recentUse ? held(servers, recentUse) : []) {
    inUse.set(server, hull(inUse.get(server), range));
  }
  const leastTokens = chain.capacityTokens * LEAST_GAIN;
  const direct = bestDivision(model, servers, leastTokens, inUse);
  if (direct) return [...direct.orders];
  const target = bestDivision(model, servers, leastTokens, new Map());
  const meanwhile = Math.min(LEAST_MEANWHILE_TOKENS, chain.capacityTokens);
  const orders = target?.orders.flatMap(({server, range}) => {
    const used = inUse.get(server.server);
    const both = hull(used, range);
    const usedLayers = used ? used.endLayer - used.firstLayer : 1;
    const bothLayers = both.endLayer - both.firstLayer;
    const room = tokensBeside(model, server, bothLayers, usedLayers);
    return room >= meanwhile ? [{server, range: both}] : [];
  });
  const changes = withoutHeld(orders ?? []);
  return isProgress(model, servers, changes, chain) ? changes : undefined;
}

/** Steps that lose room, or gain nothing, could follow each other for ever. */
function isProgress(
  model: ModelSpec,
  servers: readonly BackendServer[],
  orders: readonly LayoutOrder[],
  {capacityTokens}: ServerChain,
): boolean {
  const planned = applyOrders(servers, orders);
  const after = findChains(model, planned)[0]?.capacityTokens ?? 0;
  if (after !== capacityTokens) return after > capacityTokens;
  return heldLayers(planned) > heldLayers(servers);
}

function heldLayers(servers: readonly BackendServer[]): number {
  return servers.reduce(
    (sum, {layers}) => sum + (layers ? layers.endLayer - layers.firstLayer : 0),
    0,
  );
}

/** What servers hold, of that only what is in use where that is known. */
function held(
  servers: readonly BackendServer[],
  inUse: LayersInUse | undefined,
): LayersInUse {
  const known = servers.map(({server, layers}): [ServerId, LayerRange][] => {
    const used = inUse ? inUse.get(server) : layers;
    if (!layers || !used) return [];
    const firstLayer = Math.max(used.firstLayer, layers.firstLayer);
    const endLayer = Math.min(used.endLayer, layers.endLayer);
    return firstLayer < endLayer ? [[server, {firstLayer, endLayer}]] : [];
  });
  return new Map(known.flat());
}

/**
 * Servers that join a chain with room copy its slowest parts. The others stay
 * as they are: while the servers of a zone are replaced one after the other,
 * dividing the layers anew for each would never come to an end.
 */
function planJoining(
  model: ModelSpec,
  servers: readonly BackendServer[],
  chain: ServerChain,
): LayoutOrder[] {
  const cost = ({server, firstLayer, endLayer}: PathPart) =>
    (endLayer - firstLayer) * layerCost(model, server);
  // The first part cannot be replaced at running requests.
  const parts = chain.path.slice(1).sort((a, b) => cost(b) - cost(a));
  const empty = servers.filter(({layers}) => !layers);
  return sortBySpeed(model, empty).flatMap((server, i) => {
    const part = parts[i % Math.max(1, parts.length)];
    const fitting = layersThatFit(model, server, JOINING_TOKENS);
    if (!part || fitting === 0) return [];
    const firstLayer = Math.max(0, part.endLayer - fitting);
    return [{server, range: {firstLayer, endLayer: part.endLayer}}];
  });
}

/** The division with the most room, at least `leastTokens`. */
function bestDivision(
  model: ModelSpec,
  servers: readonly BackendServer[],
  leastTokens: number,
  kept: ReadonlyMap<ServerId, LayerRange>,
): Division | undefined {
  const orderings = possibleOrderings(servers);
  for (const tokens of CHAIN_TOKENS) {
    if (tokens < leastTokens) break;
    const [cheapest] = orderings
      .map(ordered => redivide({model, servers: ordered, tokens, kept}))
      .filter(division => division !== undefined)
      .sort((a, b) => a.costMs - b.costMs);
    if (cheapest) return cheapest;
  }
  return undefined;
}

/** Chains from nothing; servers that hold other layers give them up. */
function planNewChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const sorted = sortBySpeed(model, servers);
  const chains = Math.ceil(sorted.length / MAX_MEMBERS);
  const orders: LayoutOrder[] = [];
  for (let chain = 0; chain < chains; chain++) {
    // Dealt in turn, so that each chain gets fast servers.
    const members = sorted.filter((_, i) => i % chains === chain);
    orders.push(...(buildChain(model, members, CHAIN_TOKENS) ?? []));
  }
  return withoutHeld(orders);
}

/** One chain of all these servers, with as much room as they allow. */
function buildChain(
  model: ModelSpec,
  servers: readonly BackendServer[],
  candidates: readonly number[],
): LayoutOrder[] | undefined {
  for (const tokens of candidates) {
    const counts = divideLayers(model, servers, model.layers, tokens);
    if (!counts) continue;
    const members = servers.filter((_, i) => counts[i] > 0);
    const used = counts.filter(count => count > 0);
    const ranges = rangesWithCopies(model, members, used, tokens);
    return members.map((server, i) => ({server, range: ranges[i]}));
  }
  return undefined;
}

/** One chain over zones that cannot have one each, zone by zone. */
function planCrossZone(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  if (findChains(model, servers).length > 0) return [];
  const members: BackendServer[] = [];
  let fitting = 0;
  for (const zone of zonesOf(servers)) {
    const inZone = servers.filter(s => s.availabilityZone === zone);
    for (const server of sortBySpeed(model, inZone)) {
      if (fitting >= model.layers) break;
      members.push(server);
      fitting += layersThatFit(model, server, CROSS_ZONE_TOKENS);
    }
  }
  return withoutHeld(buildChain(model, members, [CROSS_ZONE_TOKENS]) ?? []);
}

/** Leaves out what a server holds already. */
function withoutHeld(orders: readonly LayoutOrder[]): LayoutOrder[] {
  return orders.filter(
    ({server: {layers}, range}) =>
      layers?.firstLayer !== range.firstLayer ||
      layers.endLayer !== range.endLayer,
  );
}

/** The servers as they are once the orders are carried out. */
export function applyOrders(
  servers: readonly BackendServer[],
  orders: readonly LayoutOrder[],
): BackendServer[] {
  const ranges = new Map(orders.map(o => [o.server.server, o.range]));
  return servers.map(server => {
    const range = ranges.get(server.server);
    if (!range) return server;
    return {...server, layers: range, reloadingCells: undefined};
  });
}

function zonesOf(servers: readonly BackendServer[]): string[] {
  return [...new Set(servers.map(s => s.availabilityZone))].sort();
}

/** Fast servers first. */
function sortBySpeed(
  model: ModelSpec,
  servers: readonly BackendServer[],
): BackendServer[] {
  return [...servers].sort(
    (a, b) =>
      layerCost(model, a) - layerCost(model, b) ||
      (a.server < b.server ? -1 : 1),
  );
}
