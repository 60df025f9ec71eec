/** Planned throughput against the hardware bound and an equal split. */
import {
  planEqualSplit,
  maxThroughput,
  planChains,
  planThroughput,
  type PlacementModel,
  type Plan,
  type ServerRegistration,
} from '@azurecrank/core';
import {
  BENCH_MODELS,
  FLEET_SERVERS,
  createFleet,
  fleetLinks,
} from './generated_fleet.js';

/** Tokens that one decode batch generates. */
const SEQUENCES_PER_BATCH = 16;

const TARGET_RATIO = 0.9;

export interface BenchResult {
  readonly name: string;
  readonly seed: number;
  readonly ours: number;
  readonly baseline: number;
  readonly ratio: number;
  readonly target: number;
  readonly met: boolean;
}

export interface ThroughputFigures {
  /** Tokens per second of the planned chains. */
  readonly planned: number;
  readonly equal: number;
  readonly bound: number;
  readonly ratioToBound: number;
  readonly ratioToEqual: number;
  readonly chains: number;
  readonly plannedServers: number;
  readonly largestChain: number;
  /** Time of a token through all stages and links of a chain. */
  readonly tokenMsP95: number;
  readonly tokenMsMax: number;
}

/** Figures for one model over the whole fleet. */
export function measureModel(
  servers: readonly ServerRegistration[],
  model: PlacementModel,
): ThroughputFigures {
  const plan = planChains(servers, [model], fleetLinks);
  const planned = planThroughput(
    plan,
    servers,
    fleetLinks,
    SEQUENCES_PER_BATCH,
  );
  const equal = planThroughput(
    planEqualSplit(servers, [model]),
    servers,
    fleetLinks,
    SEQUENCES_PER_BATCH,
  );
  const bound = maxThroughput(servers, model.layers, SEQUENCES_PER_BATCH);
  const stages = plan.chains.map(chain => chain.stages.length);
  const tokenMs = tokenTimesMs(plan, servers);
  return {
    planned,
    equal,
    bound,
    ratioToBound: planned / bound,
    ratioToEqual: planned / equal,
    chains: plan.chains.length,
    plannedServers: stages.reduce((sum, count) => sum + count, 0),
    largestChain: Math.max(0, ...stages),
    tokenMsP95: tokenMs[Math.floor(tokenMs.length * 0.95)],
    tokenMsMax: tokenMs[tokenMs.length - 1],
  };
}

/** Ascending, one per chain. */
function tokenTimesMs(
  plan: Plan,
  servers: readonly ServerRegistration[],
): number[] {
  const byId = new Map(servers.map(server => [server.server, server]));
  const times = plan.chains.map(({stages}) =>
    stages.reduce((sumMs, stage, index) => {
      const server = byId.get(stage.server)!;
      const next = byId.get(stages[index + 1]?.server);
      const layers = stage.endLayer - stage.firstLayer;
      const linkMs = next ? fleetLinks(server, next) : 0;
      return sumMs + layers * server.engine!.layerMs + linkMs;
    }, 0),
  );
  return times.sort((a, b) => a - b);
}

export interface MixedFigures {
  /** Executed layers per second over all models, as part of the bound. */
  readonly ratioToBound: number;
  readonly equalRatioToBound: number;
  readonly planMs: number;
  /** Time to plan again after one server is lost. */
  readonly replanMs: number;
  readonly chains: number;
  /** Chains that differ after one server is lost. */
  readonly changedChains: number;
}

/** Figures for four models that share the fleet. */
export function measureMixed(
  servers: readonly ServerRegistration[],
): MixedFigures {
  const startMs = performance.now();
  const plan = planChains(servers, BENCH_MODELS, fleetLinks);
  const plannedMs = performance.now();
  const lost = plan.chains[0].stages[0].server;
  const remaining = servers.filter(({server}) => server !== lost);
  const next = planChains(remaining, BENCH_MODELS, fleetLinks, plan);
  const replannedMs = performance.now();
  const before = new Set(plan.chains.map(chain => JSON.stringify(chain)));
  const kept = next.chains.filter(chain => before.has(JSON.stringify(chain)));
  const bound = maxThroughput(servers, 1);
  const equal = planEqualSplit(servers, BENCH_MODELS);
  return {
    ratioToBound: layersPerS(plan, servers) / bound,
    equalRatioToBound: layersPerS(equal, servers) / bound,
    planMs: plannedMs - startMs,
    replanMs: replannedMs - plannedMs,
    chains: plan.chains.length,
    changedChains: plan.chains.length - kept.length,
  };
}

/**
 * Executed layers per second over all models, for batches of
 * `sequencesPerBatch` tokens. Makes models of different depth comparable.
 */
export function layersPerS(
  plan: Plan,
  servers: readonly ServerRegistration[],
  sequencesPerBatch = 1,
): number {
  return BENCH_MODELS.reduce((sum, {model, layers}) => {
    const chains = plan.chains.filter(chain => chain.model === model);
    const part = {...plan, chains};
    const tokensPerS = planThroughput(
      part,
      servers,
      fleetLinks,
      sequencesPerBatch,
    );
    return sum + tokensPerS * layers;
  }, 0);
}

export interface ThroughputPlanReport {
  readonly result: BenchResult;
  readonly byModel: Readonly<Record<string, ThroughputFigures>>;
  readonly mixed: MixedFigures;
}

/**
 * `ours` is the planned rate of the largest model over the whole fleet,
 * `baseline` that of the equal split, and `ratio` is against the hardware
 * bound, as the target is.
 */
export function runThroughputPlan(
  seed: number,
  count = FLEET_SERVERS,
): ThroughputPlanReport {
  const servers = createFleet(seed, count);
  const figures = BENCH_MODELS.map(
    model => [model.model, measureModel(servers, model)] as const,
  );
  const [, largest] = figures[0];
  const result: BenchResult = {
    name: 'throughput-plan',
    seed,
    ours: largest.planned,
    baseline: largest.equal,
    ratio: largest.ratioToBound,
    target: TARGET_RATIO,
    met: largest.ratioToBound >= TARGET_RATIO,
  };
  const byModel = Object.fromEntries(figures);
  return {result, byModel, mixed: measureMixed(servers)};
}
