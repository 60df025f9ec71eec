/**
 * Plans which layers each server of a model should hold. The servers of an
 * availability zone form a chain, or several in a large zone; the layers are
 * divided by the speed of the servers, and spare memory holds copies. Chains
 * across zones are the last resort, because all prompts between two zones share
 * one slow link. Few of the layers that servers already hold are moved. Pure.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {
  layersThatFit,
  kvCapacityTokensBeside,
} from '../fleet/server_capacity.js';
import {findChains, type ServerChain} from '../paths/find_chains.js';
import type {PathStage} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {
  divideLayers,
  relativeLayerTime,
  rangesWithCopies,
} from './divide_layers.js';
import {layersUsedByChains, type LayersInUse} from './layers_in_use.js';
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

/**
 * KV-cache capacities to plan a chain for, the largest that fits being used.
 * The first is enough for about 90 requests; small zones have less memory.
 */
const CHAIN_CAPACITY_OPTIONS_TOKENS = [
  80_000, 65_000, 50_000, 40_000, 32_000, 24_000, 18_000, 12_000, 8_000, 4_000,
];

/** KV-cache capacity to plan for on each server of a chain across zones. */
const CROSS_ZONE_CAPACITY_TOKENS = 12_000;

/** Longer chains gain little speed and pass more servers that may fail. */
const MAX_CHAIN_SERVERS = 20;

/**
 * The layers of a chain with less KV-cache capacity are redistributed if that
 * gains enough capacity.
 */
const LOW_CAPACITY_THRESHOLD_TOKENS = 60_000;

/** KV-cache capacity to plan for on a server that joins a chain. */
const JOINING_SERVER_CAPACITY_TOKENS = 30_000;

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
  const known = servers.filter(({accelerator}) =>
    model.accelerators.has(accelerator),
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
  // Only the last chain, the most expensive one, is changed.
  const unchangedServers = new Set(
    chains.slice(0, -1).flatMap(({path}) => path.map(p => p.server.server)),
  );
  const others = servers.filter(({server}) => !unchangedServers.has(server));
  if (lastChain.capacityTokens >= LOW_CAPACITY_THRESHOLD_TOKENS) {
    return planJoiningServers(model, others, lastChain);
  }
  return (
    planMoreCapacity(model, others, lastChain, inUse) ??
    planJoiningServers(model, others, lastChain)
  );
}

/**
 * Redistributes the layers for more KV-cache capacity while the chain serves
 * requests. Layers in use are released only after another server holds them;
 * until then a server with enough memory holds the layers of both its present
 * and its future stage.
 */
function planMoreCapacity(
  model: ModelSpec,
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
  if (directDivision) return [...directDivision.orders];
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
  return isImprovement(model, servers, changes, chain) ? changes : undefined;
}

/**
 * Returns whether the chain gains KV-cache capacity, or at the same capacity
 * the servers hold more layers. Other changes could be repeated without end.
 */
function isImprovement(
  model: ModelSpec,
  servers: readonly BackendServer[],
  orders: readonly LayoutOrder[],
  {capacityTokens}: ServerChain,
): boolean {
  const planned = applyOrders(servers, orders);
  const plannedTokens = findChains(model, planned)[0]?.capacityTokens ?? 0;
  if (plannedTokens !== capacityTokens) return plannedTokens > capacityTokens;
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
 * Lets servers without layers copy the slowest stages of a chain. The others
 * are not changed: while the servers of a zone are replaced one after another,
 * redistributing the layers for each would not come to an end.
 */
function planJoiningServers(
  model: ModelSpec,
  servers: readonly BackendServer[],
  chain: ServerChain,
): LayoutOrder[] {
  const relativeTime = ({server, firstLayer, endLayer}: PathStage) =>
    (endLayer - firstLayer) * relativeLayerTime(model, server);
  // Running requests cannot move to another first stage.
  const stages = chain.path
    .slice(1)
    .sort((a, b) => relativeTime(b) - relativeTime(a));
  const empty = servers.filter(({layers}) => !layers);
  return sortBySpeed(model, empty).flatMap((server, i) => {
    const stage = stages[i % Math.max(1, stages.length)];
    const fittingLayers = layersThatFit(
      model,
      server,
      JOINING_SERVER_CAPACITY_TOKENS,
    );
    if (!stage || fittingLayers === 0) return [];
    const firstLayer = Math.max(0, stage.endLayer - fittingLayers);
    return [{server, range: {firstLayer, endLayer: stage.endLayer}}];
  });
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
  const sorted = sortBySpeed(model, servers);
  const chains = Math.ceil(sorted.length / MAX_CHAIN_SERVERS);
  const orders: LayoutOrder[] = [];
  for (let chain = 0; chain < chains; chain++) {
    // Servers are assigned in turn, so that each chain gets fast ones.
    const members = sorted.filter((_, i) => i % chains === chain);
    orders.push(
      ...(buildChain(model, members, CHAIN_CAPACITY_OPTIONS_TOKENS) ?? []),
    );
  }
  return withoutUnchangedRanges(orders);
}

/** Builds one chain with the largest KV-cache capacity option that fits. */
function buildChain(
  model: ModelSpec,
  servers: readonly BackendServer[],
  capacityOptionsTokens: readonly number[],
): LayoutOrder[] | undefined {
  for (const capacityTokens of capacityOptionsTokens) {
    const counts = divideLayers(model, servers, model.layers, capacityTokens);
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
