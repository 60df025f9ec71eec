/**
 * Dissolves a few inefficient chains and forms new ones from their servers.
 * Repairs keep layer ranges that no longer fit the speed of the servers, so the
 * throughput falls as servers come and go. Occasional bounded rebuilds restore
 * it.
 */
import type {Chain} from '../wire/messages.js';
import {formChains, type FormedChain} from './form_chains.js';
import {
  compareIds,
  type EngineServer,
  type LinkTime,
  type PlacementModel,
  type PlanningOptions,
} from './placement_types.js';
import {chainThroughput} from './throughput.js';

/** Lowest gain in throughput that is worth loading weights of whole chains. */
const MIN_GAIN_FACTOR = 1.05;

export interface Rebuild {
  readonly dissolved: ReadonlySet<Chain>;
  readonly formed: readonly FormedChain[];
}

interface RatedChain {
  readonly chain: Chain;
  readonly members: readonly EngineServer[];
  readonly batchesPerS: number;
  /** Throughput as a fraction of the upper bound of the members' hardware. */
  readonly efficiency: number;
}

/**
 * Selects the least efficient chain and the next ones of its region, at most
 * `options.maxRebuiltChains`, and forms new chains from their servers and the
 * idle ones. Returns undefined if the gain is less than `MIN_GAIN_FACTOR`.
 */
export function rebuildChains(
  chains: readonly Chain[],
  idle: readonly EngineServer[],
  servers: readonly EngineServer[],
  model: PlacementModel,
  linkTimeMs: LinkTime,
  options: PlanningOptions,
): Rebuild | undefined {
  const byId = new Map(servers.map(server => [server.server, server]));
  const rated = chains
    .map(chain => rateChain(chain, byId, model, linkTimeMs))
    .sort(
      (a, b) =>
        a.efficiency - b.efficiency || compareIds(a.chain.chain, b.chain.chain),
    );
  const region = rated[0]?.members[0].region;
  const leastEfficient = rated
    .filter(({members}) => members[0].region === region)
    .slice(0, options.maxRebuiltChains);
  if (leastEfficient.length === 0) return undefined;
  const pool = [
    ...leastEfficient.flatMap(({members}) => members),
    ...idle.filter(server => server.region === region),
  ];
  const formed = formChains(pool, model, linkTimeMs, options.maxStages);
  const rateBefore = leastEfficient.reduce(
    (sum, {batchesPerS}) => sum + batchesPerS,
    0,
  );
  const rateAfter = formed.reduce((sum, {batchesPerS}) => sum + batchesPerS, 0);
  if (rateAfter < rateBefore * MIN_GAIN_FACTOR) return undefined;
  return {dissolved: new Set(leastEfficient.map(({chain}) => chain)), formed};
}

function rateChain(
  chain: Chain,
  byId: ReadonlyMap<string, EngineServer>,
  model: PlacementModel,
  linkTimeMs: LinkTime,
): RatedChain {
  const members = chain.stages.map(stage => byId.get(stage.server)!);
  const batchesPerS = chainThroughput(chain, byId, linkTimeMs);
  const layersPerMs = members.reduce((sum, m) => sum + 1 / m.engine.layerMs, 0);
  const efficiency = (batchesPerS * model.layers) / (1000 * layersPerMs);
  return {chain, members, batchesPerS, efficiency};
}
