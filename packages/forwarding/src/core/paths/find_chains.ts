/**
 * Derives the chains of a model from the layers that servers hold. Every entry
 * derives the same chains from the same registrations, so that the entries need
 * no stored plan and no agreement.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer} from '../fleet/backend_server.js';
import {kvCapacityTokens} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {totalStreamsPerS, maxUsableCapacityTokens} from './chain_throughput.js';
import {
  BALANCE_REFERENCE_MS,
  findPath,
  type PathPreference,
} from './find_path.js';
import {stageStepMs} from './stage_step_time.js';
import type {ServerPath} from './server_path.js';

/** Servers that together hold all layers and take new requests. */
export interface ServerChain {
  readonly path: ServerPath;
  /**
   * KV-cache capacity in tokens: that of the stage with the least, at most as
   * much as the slots of the first server can use.
   */
  readonly capacityTokens: number;
  /** Duration of a decode step of a single request, without hops. */
  readonly stepMs: number;
}

/**
 * Limit on the KV-cache capacity of a chain across zones, because more requests
 * would saturate the link between the zones.
 */
const MAX_CROSS_ZONE_CAPACITY_TOKENS = 24_000;

/**
 * Preferences to derive chains with. The cheapest path of a zone may take
 * servers without which the others have no complete chain; a path with little
 * else on its servers leaves them what was planned for another chain.
 */
const PATH_PREFERENCES: readonly PathPreference[] = [
  {balanceReferenceMs: BALANCE_REFERENCE_MS, idleLayerCostMs: 0},
  {balanceReferenceMs: BALANCE_REFERENCE_MS, idleLayerCostMs: 0.3},
  {
    balanceReferenceMs: BALANCE_REFERENCE_MS,
    idleLayerCostMs: 0.05,
    minCapacityTokens: 50_000,
  },
];

/**
 * A later preference is used only if it serves this many times more streams, so
 * that small changes of the fleet do not change the chains.
 */
const MIN_PREFERENCE_GAIN_FACTOR = 1.05;

/**
 * Returns chains that share no server: first those inside a zone, then those
 * across zones, each time those that serve the most streams.
 */
export function findChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
): ServerChain[] {
  const sorted = [...servers]
    .filter(({layers}) => layers)
    .sort((a, b) => (a.server < b.server ? -1 : 1));
  const zones = [...new Set(sorted.map(s => s.availabilityZone))].sort();
  const chains: ServerChain[] = [];
  const remaining: BackendServer[] = [];
  for (const zone of zones) {
    const inZone = sorted.filter(s => s.availabilityZone === zone);
    remaining.push(...extractChains(model, inZone, chains));
  }
  const crossZoneChains: ServerChain[] = [];
  extractChains(model, remaining, crossZoneChains);
  const limited = crossZoneChains.map(chain => ({
    ...chain,
    capacityTokens: Math.min(
      chain.capacityTokens,
      MAX_CROSS_ZONE_CAPACITY_TOKENS,
    ),
  }));
  return [...chains, ...limited];
}

/** Appends chains of the servers to `chains`; returns the unused servers. */
function extractChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
  chains: ServerChain[],
): BackendServer[] {
  let best: ServerChain[] = [];
  let bestStreamsPerS = 0;
  for (const preference of PATH_PREFERENCES) {
    const found = cheapestChains(model, servers, preference);
    if (found.length === 0) continue;
    const streamsPerS = totalStreamsPerS(model, found);
    if (streamsPerS < bestStreamsPerS * MIN_PREFERENCE_GAIN_FACTOR) continue;
    best = found;
    bestStreamsPerS = streamsPerS;
  }
  chains.push(...best);
  const used = serversOf(best);
  return servers.filter(({server}) => !used.has(server));
}

/** Takes the cheapest path of the remaining servers until there is none. */
function cheapestChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
  preference: PathPreference,
): ServerChain[] {
  const chains: ServerChain[] = [];
  let remaining = servers;
  for (;;) {
    const path = findPath({model, servers: remaining, preference});
    if (!path) return chains;
    const chain = toChain(model, path);
    chains.push(chain);
    const used = serversOf([chain]);
    remaining = remaining.filter(({server}) => !used.has(server));
  }
}

/** Returns the servers that are on the paths of the chains. */
export function serversOf(chains: readonly ServerChain[]): Set<ServerId> {
  return new Set(
    chains.flatMap(({path}) => path.map(({server}) => server.server)),
  );
}

/** Returns the chain of a path, with its capacity and speed. */
export function toChain(model: ModelSpec, path: ServerPath): ServerChain {
  const capacities = path.map(({server, firstLayer, endLayer}) =>
    kvCapacityTokens(model, server, endLayer - firstLayer),
  );
  const stepsMs = path.map(({server, firstLayer, endLayer}) =>
    stageStepMs(model, server, endLayer - firstLayer),
  );
  return {
    path,
    capacityTokens: Math.min(...capacities, maxUsableCapacityTokens(model)),
    stepMs: stepsMs.reduce((sum, ms) => sum + ms, 0),
  };
}
