/**
 * Derives the chains of a model from the layers that servers hold. Every entry
 * derives the same chains from the same registrations, so that the entries need
 * no stored plan and no agreement.
 */
import type {BackendServer} from '../fleet/backend_server.js';
import {kvCapacityTokens} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {findPath} from './find_path.js';
import {stageStepMs} from './stage_step_time.js';
import type {ServerPath} from './server_path.js';

/** Servers that together hold all layers and take new requests. */
export interface ServerChain {
  readonly path: ServerPath;
  /** KV-cache capacity in tokens: that of the stage with the least. */
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
 * Returns chains that share no server: first those inside a zone, then those
 * across zones, each time the cheapest that the remaining servers allow.
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
  let remaining = [...servers];
  for (;;) {
    const path = findPath({model, servers: remaining});
    if (!path) return remaining;
    chains.push(toChain(model, path));
    const used = new Set(path.map(({server}) => server.server));
    remaining = remaining.filter(({server}) => !used.has(server));
  }
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
    capacityTokens: Math.min(...capacities),
    stepMs: stepsMs.reduce((sum, ms) => sum + ms, 0),
  };
}
