/**
 * Dissolves a few inefficient chains and forms new ones from their servers.
 * Repairs keep ranges that no longer suit the servers, so the throughput falls
 * as servers come and go; a bounded rebuild now and then restores it.
 */
import type {Chain} from '../wire/messages.js';
import {formGroups, type Group} from './form_groups.js';
import {
  compareIds,
  type EngineServer,
  type LinkTime,
  type PlacementModel,
  type PlanningOptions,
} from './placement_types.js';
import {chainThroughput} from './throughput.js';

/** Less gain than this is not worth loading the weights of whole chains. */
const LEAST_GAIN = 1.05;

export interface Rebuild {
  readonly dissolved: ReadonlySet<Chain>;
  readonly groups: readonly Group[];
}

interface Rated {
  readonly chain: Chain;
  readonly members: readonly EngineServer[];
  readonly rate: number;
  /** Rate as part of what the members could do without loss. */
  readonly efficiency: number;
}

/**
 * Takes the least efficient chain and the next ones of its region, at most
 * `options.rebuildChains`, together with the idle servers. Returns undefined if
 * new chains would not be clearly faster.
 */
export function rebuildChains(
  chains: readonly Chain[],
  idle: readonly EngineServer[],
  servers: readonly EngineServer[],
  model: PlacementModel,
  links: LinkTime,
  options: PlanningOptions,
): Rebuild | undefined {
  const byId = new Map(servers.map(server => [server.server, server]));
  const rated = chains
    .map(chain => rateChain(chain, byId, model, links))
    .sort(
      (a, b) =>
        a.efficiency - b.efficiency || compareIds(a.chain.chain, b.chain.chain),
    );
  const region = rated[0]?.members[0].region;
  const worst = rated
    .filter(({members}) => members[0].region === region)
    .slice(0, options.rebuildChains);
  if (worst.length === 0) return undefined;
  const pool = [
    ...worst.flatMap(({members}) => members),
    ...idle.filter(server => server.region === region),
  ];
  const groups = formGroups(pool, model, links, options.maxStages);
  const before = worst.reduce((sum, {rate}) => sum + rate, 0);
  const after = groups.reduce((sum, {rate}) => sum + rate, 0);
  if (after < before * LEAST_GAIN) return undefined;
  return {dissolved: new Set(worst.map(({chain}) => chain)), groups};
}

function rateChain(
  chain: Chain,
  byId: ReadonlyMap<string, EngineServer>,
  model: PlacementModel,
  links: LinkTime,
): Rated {
  const members = chain.stages.map(stage => byId.get(stage.server)!);
  const rate = chainThroughput(chain, byId, links);
  const layersPerMs = members.reduce((sum, m) => sum + 1 / m.engine.layerMs, 0);
  const efficiency = (rate * model.layers) / (1000 * layersPerMs);
  return {chain, members, rate, efficiency};
}
