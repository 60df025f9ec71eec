/**
 * Which layers each server of a model should hold. Each availability zone gets
 * one chain of its fastest servers; its other servers stand by with second
 * copies of the layers. Chains that leave their zone are the last resort,
 * because prompts between zones share one slow pipe. What is held already is
 * moved as little as possible.
 */
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {cacheCapacityTokens, layersThatFit} from '../fleet/server_capacity.js';
import {findChains, type ServerChain} from '../paths/find_chains.js';
import type {PathPart} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {divideLayers, layerCost} from './divide_layers.js';
import {fillGaps} from './fill_gaps.js';

export interface LayoutOrder {
  readonly server: BackendServer;
  readonly range: LayerRange;
}

/**
 * Tokens of requests for which each server of a chain leaves memory: room for
 * some 50 requests where the zone allows it, fewer in a small zone.
 */
const CHAIN_TOKENS = [50_000, 40_000, 32_000, 24_000, 16_000, 8_000];

/** Tokens for which servers that stand by leave memory. */
const STANDBY_TOKENS = 24_000;

/** A chain with less room than this is reinforced. */
const LITTLE_ROOM_TOKENS = 45_000;

/** A reinforcement has to be worth the weights that are loaded for it. */
const REINFORCEMENT_GAIN = 1.25;

/** Least memory for requests of a chain that leaves its zone. */
const CROSS_ZONE_TOKENS = 12_000;

/** Returns the orders that lead from what is held to the wanted layout. */
export function planLayout(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const known = servers.filter(({accelerator}) =>
    model.accelerators.has(accelerator),
  );
  const orders: LayoutOrder[] = [];
  for (const zone of zonesOf(known)) {
    const inZone = known.filter(s => s.availabilityZone === zone);
    orders.push(...planZone(model, inZone));
  }
  const planned = applyOrders(known, orders);
  if (findChains(model, planned).length > 0) return orders;
  return planCrossZone(model, known);
}

function planZone(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const chains = findChains(model, servers);
  if (chains.length > 0) {
    const inChain = new Set(
      chains[0].path.map(({server}) => server.server),
    );
    const others = servers.filter(({server}) => !inChain.has(server));
    const standby = planStandby(model, others);
    if (standby.length > 0) return standby;
    const order = reinforce(model, servers, chains[0], others);
    return order ? [order] : [];
  }
  const filled = fillGaps(model, servers);
  if (filled.length === 0) return planNewChain(model, servers);
  const rest = applyOrders(servers, filled);
  return [...filled, ...planZoneStandby(model, rest)];
}

/**
 * A chain whose smallest part has little room, for example since a copy has
 * taken the place of a lost server, gets a second copy of that part.
 */
function reinforce(
  model: ModelSpec,
  servers: readonly BackendServer[],
  chain: ServerChain,
  others: readonly BackendServer[],
): LayoutOrder | undefined {
  if (chain.capacityTokens >= LITTLE_ROOM_TOKENS) return undefined;
  const part = chain.path.reduce((least, other) =>
    room(model, other) < room(model, least) ? other : least,
  );
  for (const server of sortBySpeed(model, others)) {
    const fitting = layersThatFit(model, server, STANDBY_TOKENS);
    const endLayer = Math.min(model.layers, part.firstLayer + fitting);
    const order = {server, range: {firstLayer: part.firstLayer, endLayer}};
    const [better] = findChains(model, applyOrders(servers, [order]));
    const gain = (better?.capacityTokens ?? 0) / chain.capacityTokens;
    if (gain >= REINFORCEMENT_GAIN) return order;
  }
  return undefined;
}

function room(model: ModelSpec, part: PathPart): number {
  const layers = part.endLayer - part.firstLayer;
  return cacheCapacityTokens(model, part.server, layers);
}

/** Standby of the servers that a completed chain leaves over. */
function planZoneStandby(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  return findChains(model, servers).length > 0 ? planZone(model, servers) : [];
}

/** A chain from nothing; servers that hold other layers give them up. */
function planNewChain(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const sorted = sortBySpeed(model, servers);
  for (const tokens of CHAIN_TOKENS) {
    const chain = buildChain(model, sorted, tokens);
    if (!chain) continue;
    const used = new Set(chain.map(({server}) => server.server));
    const others = servers.filter(({server}) => !used.has(server));
    return [...withoutHeld(chain), ...planStandby(model, others)];
  }
  return [];
}

/**
 * The first servers that together hold all layers beside so many tokens, with
 * the layers divided so that each has as much room as possible.
 */
function buildChain(
  model: ModelSpec,
  servers: readonly BackendServer[],
  tokens: number,
): LayoutOrder[] | undefined {
  const members: BackendServer[] = [];
  let fitting = 0;
  for (const server of servers) {
    if (fitting >= model.layers) break;
    const layers = layersThatFit(model, server, tokens);
    if (layers > 0) members.push(server);
    fitting += layers;
  }
  const counts = divideLayers(model, members, model.layers, tokens);
  if (!counts) return undefined;
  let endLayer = 0;
  return members.map((server, index) => {
    const firstLayer = endLayer;
    endLayer += counts[index];
    return {server, range: {firstLayer, endLayer}};
  });
}

/**
 * Second copies on servers that hold nothing, from the last layer down: a lost
 * part can be replaced on a running request unless it is the first one.
 */
function planStandby(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const covered = servers.flatMap(({layers}) => layers ?? []);
  const orders: LayoutOrder[] = [];
  let endLayer = model.layers;
  const empty = servers.filter(({layers}) => !layers);
  for (const server of sortBySpeed(model, empty)) {
    endLayer = lowestUncovered(covered, endLayer);
    if (endLayer <= 0) endLayer = model.layers;
    const fitting = layersThatFit(model, server, STANDBY_TOKENS);
    const firstLayer = Math.max(0, endLayer - fitting);
    if (firstLayer === endLayer) continue;
    orders.push({server, range: {firstLayer, endLayer}});
    endLayer = firstLayer;
  }
  return orders;
}

/** The next layer downwards above which everything is covered. */
function lowestUncovered(covered: readonly LayerRange[], from: number): number {
  let layer = from;
  for (;;) {
    const range = covered.find(
      ({firstLayer, endLayer}) => firstLayer < layer && layer <= endLayer,
    );
    if (!range) return layer;
    layer = range.firstLayer;
  }
}

/** One chain over all zones, zone by zone. */
function planCrossZone(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  if (findChains(model, servers).length > 0) return [];
  const filled = fillGaps(model, servers);
  if (filled.length > 0) return filled;
  const sorted = zonesOf(servers).flatMap(zone =>
    sortBySpeed(
      model,
      servers.filter(s => s.availabilityZone === zone),
    ),
  );
  return withoutHeld(buildChain(model, sorted, CROSS_ZONE_TOKENS) ?? []);
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
    return range ? {...server, layers: range} : server;
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
