/**
 * Plans which layers each server of a model should hold. The servers of an
 * availability zone form the chains that serve the most streams; the fastest
 * servers of a chain get the most layers, and spare memory holds copies. Chains
 * across zones are the last resort, because all prompts between two zones share
 * one slow link. Few of the layers that servers already hold are moved. Pure.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {
  holdsOnlyLayersOf,
  layersThatFit,
  kvCapacityTokensBeside,
} from '../fleet/server_capacity.js';
import {totalStreamsPerS} from '../paths/chain_throughput.js';
import {findChains, serversOf, type ServerChain} from '../paths/find_chains.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {
  divideLayers,
  relativeLayerTime,
  rangesWithCopies,
} from './divide_layers.js';
import {CHAIN_CAPACITY_OPTIONS_TOKENS, groupServers} from './group_servers.js';
import {layersUsedByChains, type LayersInUse} from './layers_in_use.js';
import {planCopies} from './plan_copies.js';
import {allOrderings} from './server_orderings.js';
import {
  spanningRange,
  redistributeLayers,
  type Division,
} from './redistribute_layers.js';
import {restoreChain} from './restore_chain.js';

/** The layers that a server has to hold. */
export interface LayoutOrder {
  readonly server: BackendServer;
  readonly range: LayerRange;
}

/** KV-cache capacity to plan for on each server of a chain across zones. */
const CROSS_ZONE_CAPACITY_TOKENS = 12_000;

/** An additional chain has to serve this many times more streams of its zone. */
const MIN_ADDITIONAL_CHAIN_GAIN_FACTOR = 1.1;

/** The same for a chain with more capacity, which keeps most of its layers. */
const MIN_CAPACITY_ZONE_GAIN_FACTOR = 1.03;

/**
 * The layers of a chain with less KV-cache capacity are redistributed if that
 * gains enough capacity.
 */
const LOW_CAPACITY_THRESHOLD_TOKENS = 100_000;

/** KV-cache capacity that a chain keeps while its layers are redistributed. */
const MIN_TRANSITION_CAPACITY_TOKENS = 20_000;

/**
 * Layers are redistributed only if the KV-cache capacity grows by this factor,
 * as weights have to be loaded for it.
 */
const MIN_CAPACITY_GAIN_FACTOR = 1.2;

/**
 * Returns the next orders on the way from the held layers to the wanted layout.
 * @param inUse layers that requests may be using. Other held layers can be
 *     released at once; by default all held layers count as in use.
 */
export function planLayout(
  model: ModelSpec,
  servers: readonly BackendServer[],
  inUse?: LayersInUse,
): LayoutOrder[] {
  const known = servers.filter(
    server =>
      model.accelerators.has(server.accelerator) &&
      holdsOnlyLayersOf(model, server),
  );
  const orders: LayoutOrder[] = [];
  for (const zone of zonesOf(known)) {
    const inZone = known.filter(s => s.availabilityZone === zone);
    orders.push(...planZone(model, inZone, inUse));
  }
  const planned = applyOrders(known, orders);
  const zonesWithoutChain = zonesOf(known).filter(zone => {
    const inZone = planned.filter(s => s.availabilityZone === zone);
    return findChains(model, inZone).length === 0;
  });
  const candidates = known.filter(s =>
    zonesWithoutChain.includes(s.availabilityZone),
  );
  return [...orders, ...planCrossZone(model, candidates)];
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
  const lastChain = chains[chains.length - 1];
  if (!lastChain) {
    return (
      restoreChain({model, servers, inUse: heldLayersInUse(servers, inUse)}) ??
      planNewChains(model, servers)
    );
  }
  const used = serversOf(chains);
  const unused = servers.filter(({server}) => !used.has(server));
  const additional = planAdditionalChain(model, servers, unused, chains, inUse);
  if (additional) return additional;
  // Only the last chain, the most expensive one, is changed.
  const unchangedServers = serversOf(chains.slice(0, -1));
  const others = servers.filter(({server}) => !unchangedServers.has(server));
  const moreCapacity =
    lastChain.capacityTokens < LOW_CAPACITY_THRESHOLD_TOKENS
      ? planMoreCapacity(model, servers, others, lastChain, inUse)
      : undefined;
  return moreCapacity ?? planCopies(model, unused, chains);
}

/**
 * Forms another chain of the servers that no chain uses, if the zone serves more
 * streams then. Undefined if they cannot hold all layers.
 */
function planAdditionalChain(
  model: ModelSpec,
  servers: readonly BackendServer[],
  unused: readonly BackendServer[],
  chains: readonly ServerChain[],
  inUse: LayersInUse | undefined,
): LayoutOrder[] | undefined {
  const orders = restoreChain({
    model,
    servers: unused,
    inUse: heldLayersInUse(unused, inUse),
  });
  if (!orders || orders.length === 0) return undefined;
  const planned = findChains(model, applyOrders(servers, orders));
  const isGain =
    totalStreamsPerS(model, planned) >=
    totalStreamsPerS(model, chains) * MIN_ADDITIONAL_CHAIN_GAIN_FACTOR;
  return isGain ? orders : undefined;
}

/**
 * Redistributes the layers for more KV-cache capacity while the chain serves
 * requests. Layers in use are released only after another server holds them;
 * until then a server with enough memory holds the layers of both its present
 * and its future stage.
 * @param zone all servers of the zone
 * @param servers those that may change: of the chain and of none
 */
function planMoreCapacity(
  model: ModelSpec,
  zone: readonly BackendServer[],
  servers: readonly BackendServer[],
  chain: ServerChain,
  recentUse: LayersInUse | undefined,
): LayoutOrder[] | undefined {
  const inUse = layersUsedByChains([chain]);
  for (const [server, range] of recentUse
    ? heldLayersInUse(servers, recentUse)
    : []) {
    inUse.set(server, spanningRange(inUse.get(server), range));
  }
  const minCapacityTokens = chain.capacityTokens * MIN_CAPACITY_GAIN_FACTOR;
  const directDivision = largestCapacityDivision(
    model,
    servers,
    minCapacityTokens,
    inUse,
  );
  if (directDivision) {
    const orders = withoutUnchangedRanges(directDivision.orders);
    return isImprovement(model, zone, orders) ? orders : undefined;
  }
  const targetDivision = largestCapacityDivision(
    model,
    servers,
    minCapacityTokens,
    new Map(),
  );
  const minTransitionTokens = Math.min(
    MIN_TRANSITION_CAPACITY_TOKENS,
    chain.capacityTokens,
  );
  const orders = targetDivision?.orders.flatMap(({server, range}) => {
    const used = inUse.get(server.server);
    const bothStages = spanningRange(used, range);
    const usedLayers = used ? used.endLayer - used.firstLayer : 1;
    const heldLayers = bothStages.endLayer - bothStages.firstLayer;
    const capacityTokens = kvCapacityTokensBeside(
      model,
      server,
      heldLayers,
      usedLayers,
    );
    return capacityTokens >= minTransitionTokens
      ? [{server, range: bothStages}]
      : [];
  });
  const changes = withoutUnchangedRanges(orders ?? []);
  return isImprovement(model, zone, changes) ? changes : undefined;
}

/**
 * Returns whether the zone serves more streams after the orders, or as many with
 * more layers held. Other changes could be repeated without end.
 */
function isImprovement(
  model: ModelSpec,
  servers: readonly BackendServer[],
  orders: readonly LayoutOrder[],
): boolean {
  const planned = applyOrders(servers, orders);
  const streamsPerS = totalStreamsPerS(model, findChains(model, servers));
  const plannedPerS = totalStreamsPerS(model, findChains(model, planned));
  if (plannedPerS > streamsPerS * MIN_CAPACITY_ZONE_GAIN_FACTOR) return true;
  if (plannedPerS < streamsPerS) return false;
  return countHeldLayers(planned) > countHeldLayers(servers);
}

function countHeldLayers(servers: readonly BackendServer[]): number {
  return servers.reduce(
    (sum, {layers}) => sum + (layers ? layers.endLayer - layers.firstLayer : 0),
    0,
  );
}

/** Returns the held layers that are in use; all held ones without `inUse`. */
function heldLayersInUse(
  servers: readonly BackendServer[],
  inUse: LayersInUse | undefined,
): LayersInUse {
  const entries = servers.map(({server, layers}): [ServerId, LayerRange][] => {
    const used = inUse ? inUse.get(server) : layers;
    if (!layers || !used) return [];
    const firstLayer = Math.max(used.firstLayer, layers.firstLayer);
    const endLayer = Math.min(used.endLayer, layers.endLayer);
    return firstLayer < endLayer ? [[server, {firstLayer, endLayer}]] : [];
  });
  return new Map(entries.flat());
}

/**
 * Returns the cheapest division with the largest KV-cache capacity option that
 * fits; undefined if none of at least `minCapacityTokens` does.
 */
function largestCapacityDivision(
  model: ModelSpec,
  servers: readonly BackendServer[],
  minCapacityTokens: number,
  keptLayers: ReadonlyMap<ServerId, LayerRange>,
): Division | undefined {
  const orderings = allOrderings(servers);
  for (const capacityTokens of CHAIN_CAPACITY_OPTIONS_TOKENS) {
    if (capacityTokens < minCapacityTokens) break;
    const [cheapest] = orderings
      .map(ordered =>
        redistributeLayers({
          model,
          servers: ordered,
          minCapacityTokens: capacityTokens,
          keptLayers,
        }),
      )
      .filter(division => division !== undefined)
      .sort((a, b) => a.costMs - b.costMs);
    if (cheapest) return cheapest;
  }
  return undefined;
}

/** Builds chains from nothing; servers release the layers they hold. */
function planNewChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const groups = groupServers(model, sortBySpeed(model, servers));
  const orders = groups.flatMap(group => {
    const {servers, counts, capacityTokens} = group;
    const ranges = rangesWithCopies(model, servers, counts, capacityTokens);
    return servers.map((server, i) => ({server, range: ranges[i]}));
  });
  const planned = applyOrders(servers, orders);
  const joining = planCopies(
    model,
    planned.filter(({layers}) => !layers),
    findChains(model, planned),
  );
  return withoutUnchangedRanges([...orders, ...joining]);
}

/** Builds one chain with the largest KV-cache capacity option that fits. */
function buildChain(
  model: ModelSpec,
  servers: readonly BackendServer[],
  capacityOptionsTokens: readonly number[],
): LayoutOrder[] | undefined {
  for (const capacityTokens of capacityOptionsTokens) {
    const counts = divideLayers(model, servers, capacityTokens);
    if (!counts) continue;
    const members = servers.filter((_, i) => counts[i] > 0);
    const usedCounts = counts.filter(count => count > 0);
    const ranges = rangesWithCopies(model, members, usedCounts, capacityTokens);
    return members.map((server, i) => ({server, range: ranges[i]}));
  }
  return undefined;
}

/** Builds one chain across the zones that cannot have a chain of their own. */
function planCrossZone(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  if (findChains(model, servers).length > 0) return [];
  const members: BackendServer[] = [];
  let fittingLayers = 0;
  for (const zone of zonesOf(servers)) {
    const inZone = servers.filter(s => s.availabilityZone === zone);
    for (const server of sortBySpeed(model, inZone)) {
      if (fittingLayers >= model.layers) break;
      members.push(server);
      fittingLayers += layersThatFit(model, server, CROSS_ZONE_CAPACITY_TOKENS);
    }
  }
  return withoutUnchangedRanges(
    buildChain(model, members, [CROSS_ZONE_CAPACITY_TOKENS]) ?? [],
  );
}

/** Drops orders for servers that already hold exactly the ordered layers. */
function withoutUnchangedRanges(orders: readonly LayoutOrder[]): LayoutOrder[] {
  return orders.filter(
    ({server: {layers}, range}) =>
      layers?.firstLayer !== range.firstLayer ||
      layers.endLayer !== range.endLayer,
  );
}

/** Returns the servers as they will be after the orders. */
export function applyOrders(
  servers: readonly BackendServer[],
  orders: readonly LayoutOrder[],
): BackendServer[] {
  const ranges = new Map(orders.map(o => [o.server.server, o.range]));
  return servers.map(server => {
    const range = ranges.get(server.server);
    if (!range) return server;
    return {...server, layers: range, reloadingLayerTokens: undefined};
  });
}

function zonesOf(servers: readonly BackendServer[]): string[] {
  return [...new Set(servers.map(s => s.availabilityZone))].sort();
}

/** Sorts the fastest servers first. */
function sortBySpeed(
  model: ModelSpec,
  servers: readonly BackendServer[],
): BackendServer[] {
  return [...servers].sort(
    (a, b) =>
      relativeLayerTime(model, a) - relativeLayerTime(model, b) ||
      (a.server < b.server ? -1 : 1),
  );
}
