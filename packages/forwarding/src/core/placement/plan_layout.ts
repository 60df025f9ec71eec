/**
 * Which layers each server of a model should hold. Chains stay inside an
 * availability zone where they fit, because prompts that pass between zones
 * share one slow pipe. What is held already is moved as little as possible.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {findChains} from '../paths/find_chains.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {fillGaps} from './fill_gaps.js';
import {estimateRate, layersThatFit} from './server_capacity.js';

export interface LayoutOrder {
  readonly server: BackendServer;
  readonly range: LayerRange;
}

/**
 * Tokens of requests for which a chain may leave memory. The layout with the
 * highest estimated rate is taken; small values make long chains of few
 * requests, large ones leave servers without a chain.
 */
const TOKEN_CANDIDATES = [
  16_000, 24_000, 32_000, 40_000, 50_000, 60_000, 70_000, 80_000, 100_000,
];

/** Least memory for requests of a chain that leaves its zone. */
const CROSS_ZONE_TOKENS = 16_000;

/** Returns the orders that lead from what is held to the wanted layout. */
export function planLayout(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const known = servers
    .filter(({accelerator}) => model.accelerators.has(accelerator))
    .sort((a, b) => (a.server < b.server ? -1 : 1));
  const isFresh = known.every(({layers}) => !layers);
  return isFresh ? planFresh(model, known) : planRepair(model, known);
}

/** The first layout, when no server holds anything. */
function planFresh(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const orders: LayoutOrder[] = [];
  const left = new Set(servers);
  const take = (chain: readonly LayoutOrder[]) => {
    for (const order of chain) left.delete(order.server);
    orders.push(...chain);
  };
  for (const zone of zonesOf(servers)) {
    for (;;) {
      const inZone = [...left].filter(s => s.availabilityZone === zone);
      const chain = bestChain(model, inZone);
      if (!chain) break;
      take(chain);
    }
  }
  for (;;) {
    const chain = buildChain(model, sortByZone([...left]), CROSS_ZONE_TOKENS);
    if (!chain) break;
    take(chain);
  }
  return [...orders, ...planSpares(model, orders, [...left])];
}

/**
 * Chains that lost a part get it back on servers that hold nothing; servers
 * that are left over become spares.
 */
function planRepair(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const chains = findChains(model, servers);
  const inChains = new Set(
    chains.flatMap(({path}) => path.map(({server}) => server.server)),
  );
  const free = servers.filter(({server}) => !inChains.has(server));
  const empty = free.filter(({layers}) => !layers);
  const fragments = free.filter(({layers}) => layers);
  const filled = fillGaps(model, fragments, empty);
  const used = new Set(filled.map(({server}) => server.server));
  const spare = empty.filter(({server}) => !used.has(server));
  const kept = chains.flatMap(({path}) =>
    path.map(({server, firstLayer, endLayer}) => ({
      server,
      range: {firstLayer, endLayer},
    })),
  );
  const fresh = spare.length > 0 ? planFreshChains(model, spare) : [];
  const inFresh = new Set(fresh.map(({server}) => server.server));
  const unused = spare.filter(({server}) => !inFresh.has(server));
  return [...filled, ...fresh, ...planSpares(model, kept, unused)];
}

/** Whole new chains of servers that hold nothing. */
function planFreshChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  for (const zone of zonesOf(servers)) {
    const inZone = servers.filter(s => s.availabilityZone === zone);
    const chain = bestChain(model, inZone);
    if (chain) return chain;
  }
  return buildChain(model, sortByZone([...servers]), CROSS_ZONE_TOKENS) ?? [];
}

/** The chain of these servers with the highest estimated rate. */
function bestChain(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] | undefined {
  const sorted = sortBySpeed(model, servers);
  let best: LayoutOrder[] | undefined;
  let bestRate = 0;
  for (const tokens of TOKEN_CANDIDATES) {
    const chain = buildChain(model, sorted, tokens);
    const rate = chain ? estimateRate(model, chain, tokens) : 0;
    if (rate <= bestRate) continue;
    best = chain;
    bestRate = rate;
  }
  return best;
}

/** Fills the servers in their order until all layers are placed. */
function buildChain(
  model: ModelSpec,
  servers: readonly BackendServer[],
  tokens: number,
): LayoutOrder[] | undefined {
  const chain: LayoutOrder[] = [];
  let firstLayer = 0;
  for (const server of servers) {
    const fitting = layersThatFit(model, server, tokens);
    const endLayer = Math.min(model.layers, firstLayer + fitting);
    if (endLayer === firstLayer) continue;
    chain.push({server, range: {firstLayer, endLayer}});
    firstLayer = endLayer;
    if (firstLayer === model.layers) return chain;
  }
  return undefined;
}

/**
 * Servers without a chain hold second copies of parts in their own zone, so
 * that a lost part can be replaced without loading weights.
 */
function planSpares(
  model: ModelSpec,
  placed: readonly LayoutOrder[],
  spares: readonly BackendServer[],
): LayoutOrder[] {
  const copied = new Set<ServerId>();
  const orders: LayoutOrder[] = [];
  for (const server of sortBySpeed(model, spares)) {
    const fitting = layersThatFit(model, server, CROSS_ZONE_TOKENS);
    const original = placed.find(
      ({server: other, range}) =>
        !copied.has(other.server) &&
        other.availabilityZone === server.availabilityZone &&
        range.endLayer - range.firstLayer <= fitting,
    );
    if (!original) continue;
    copied.add(original.server.server);
    orders.push({server, range: original.range});
  }
  return orders;
}

function zonesOf(servers: readonly BackendServer[]): string[] {
  return [...new Set(servers.map(s => s.availabilityZone))].sort();
}

function sortByZone(servers: BackendServer[]): BackendServer[] {
  return servers.sort((a, b) =>
    a.availabilityZone === b.availabilityZone
      ? compare(a.server, b.server)
      : compare(a.availabilityZone, b.availabilityZone),
  );
}

function sortBySpeed(
  model: ModelSpec,
  servers: readonly BackendServer[],
): BackendServer[] {
  const factor = ({accelerator}: BackendServer) =>
    model.accelerators.get(accelerator)?.decodeFactor ?? Infinity;
  return [...servers].sort(
    (a, b) => factor(a) - factor(b) || compare(a.server, b.server),
  );
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
