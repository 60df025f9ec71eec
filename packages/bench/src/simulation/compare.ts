/** Runs the same arrivals over the real decisions and over the baseline. */
import {FairScheduler} from './fair_scheduler.js';
import {FifoScheduler} from './fifo_scheduler.js';
import {totalTokens} from './measures.js';
import {Random} from './random.js';
import {ENGINE, type EngineModel, type Scheduler} from './scheduler.js';
import {simulate, type SimulationResult} from './simulate.js';
import {createArrivals, type Source, type Topology} from './workload.js';

export const WARM_UP_MS = 20_000;
const END_MS = 140_000;

/** Arrivals for which latencies are measured. */
export const ARRIVAL_WINDOW = {fromMs: WARM_UP_MS, toMs: 120_000};
export const MEASURED_S = (END_MS - WARM_UP_MS) / 1000;

export type SchedulerFactory = (engine: EngineModel) => Scheduler;

export const OURS: SchedulerFactory = engine => new FairScheduler(engine);
export const BASELINE: SchedulerFactory = engine => new FifoScheduler(engine);

export interface Scenario {
  readonly topology: Topology;
  readonly sources: readonly Source[];
}

export function runScenario(
  {topology, sources}: Scenario,
  create: SchedulerFactory,
  seed: number,
): SimulationResult {
  return simulate({
    arrivals: createArrivals(sources, topology, END_MS, new Random(seed)),
    topology,
    engine: ENGINE,
    createScheduler: () => create(ENGINE),
    warmUpMs: WARM_UP_MS,
    endMs: END_MS,
  });
}

/** Mean sizes of the requests in all benches. */
export const SIZES = {promptTokens: 256, outputTokens: 96};

/** More than twice the rate that a chain of `ENGINE` can serve. */
const SATURATING_REQUESTS_PER_S = 30;

/**
 * Tokens/s of one chain at saturation with first in first out, which keeps
 * all slots busy; the capacity that the targets refer to.
 */
export function measureCapacity(seed: number): number {
  const scenario: Scenario = {
    topology: {entries: 1, chains: 1},
    sources: [
      {
        ...SIZES,
        workspace: 'capacity',
        rank: 'urgent',
        requestsPerS: SATURATING_REQUESTS_PER_S,
      },
    ],
  };
  const result = runScenario(scenario, BASELINE, seed);
  return totalTokens(result) / MEASURED_S;
}

/** Requests/s that demand `part` of the capacity of `chains` chains. */
export function demand(
  part: number,
  tokensPerS: number,
  chains: number,
): number {
  const tokens = SIZES.promptTokens + SIZES.outputTokens;
  return (part * chains * tokensPerS) / tokens;
}
