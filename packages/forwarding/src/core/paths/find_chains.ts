/**
 * The chains of a model, derived from the layers that servers hold. Every
 * entry derives the same chains from the same registrations, so that no plan
 * has to be stored or agreed on.
 */
import type {BackendServer} from '../fleet/backend_server.js';
import {kvCapacityTokens} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {findPath} from './find_path.js';
import {partStepMs} from './part_step.js';
import type {ServerPath} from './server_path.js';

export interface ServerChain {
  readonly path: ServerPath;
  /** Tokens whose KV cache fits on every part. */
  readonly capacityTokens: number;
  /** Time of one decode step of a single request, without hops. */
  readonly stepMs: number;
}

/**
 * Memory of a chain that leaves its zone which is used, in tokens: more
 * requests would fill the pipe between the zones.
 */
const MAX_CROSS_ZONE_TOKENS = 24_000;

/** Disjoint chains: those inside one zone first, each time the cheapest. */
export function findChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
): ServerChain[] {
  const sorted = [...servers]
    .filter(({layers}) => layers)
    .sort((a, b) => (a.server < b.server ? -1 : 1));
  const zones = [...new Set(sorted.map(s => s.availabilityZone))].sort();
  const chains: ServerChain[] = [];
  const left: BackendServer[] = [];
  for (const zone of zones) {
    const inZone = sorted.filter(s => s.availabilityZone === zone);
    left.push(...takeChains(model, inZone, chains));
  }
  const crossing: ServerChain[] = [];
  takeChains(model, left, crossing);
  const bounded = crossing.map(chain => ({
    ...chain,
    capacityTokens: Math.min(chain.capacityTokens, MAX_CROSS_ZONE_TOKENS),
  }));
  return [...chains, ...bounded];
}

/** Moves chains of these servers to `chains`; returns the servers left. */
function takeChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
  chains: ServerChain[],
): BackendServer[] {
  let left = [...servers];
  for (;;) {
    const path = findPath({model, servers: left});
    if (!path) return left;
    chains.push(toChain(model, path));
    const used = new Set(path.map(({server}) => server.server));
    left = left.filter(({server}) => !used.has(server));
  }
}

export function toChain(model: ModelSpec, path: ServerPath): ServerChain {
  const capacities = path.map(({server, firstLayer, endLayer}) =>
    kvCapacityTokens(model, server, endLayer - firstLayer),
  );
  const steps = path.map(({server, firstLayer, endLayer}) =>
    partStepMs(model, server, endLayer - firstLayer),
  );
  return {
    path,
    capacityTokens: Math.min(...capacities),
    stepMs: steps.reduce((sum, ms) => sum + ms, 0),
  };
}
