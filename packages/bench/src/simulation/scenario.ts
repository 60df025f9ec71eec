/** Simulates the same arrivals with the production scheduler and the FIFO baseline. */
import {FairScheduler} from './fair_scheduler.js';
import {FifoScheduler} from './fifo_scheduler.js';
import {totalTokens} from './statistics.js';
import {Random} from './random.js';
import {DEFAULT_ENGINE, type EngineModel, type Scheduler} from './scheduler.js';
import {simulate, type SimulationResult} from './simulate.js';
import {createArrivals, type RequestSource, type Topology} from './workload.js';

export const WARM_UP_MS = 20_000;
const SIMULATION_END_MS = 140_000;

/**
 * Arrival times of the requests whose latencies are measured; it ends before
 * the simulation does, so that these requests can complete.
 */
export const LATENCY_ARRIVAL_WINDOW = {fromMs: WARM_UP_MS, toMs: 120_000};
export const MEASURED_DURATION_S = (SIMULATION_END_MS - WARM_UP_MS) / 1000;

export type SchedulerFactory = (engine: EngineModel) => Scheduler;

export const createFairScheduler: SchedulerFactory = engine =>
  new FairScheduler(engine);
export const createFifoScheduler: SchedulerFactory = engine =>
  new FifoScheduler(engine);

export interface Scenario {
  readonly topology: Topology;
  readonly sources: readonly RequestSource[];
}

export function runScenario(
  {topology, sources}: Scenario,
  create: SchedulerFactory,
  seed: number,
): SimulationResult {
  return simulate({
    arrivals: createArrivals(
      sources,
      topology,
      SIMULATION_END_MS,
      new Random(seed),
    ),
    topology,
    engine: DEFAULT_ENGINE,
    createScheduler: () => create(DEFAULT_ENGINE),
    warmUpMs: WARM_UP_MS,
    endMs: SIMULATION_END_MS,
  });
}

/** Mean prompt and output tokens of a request in all benchmarks. */
export const MEAN_REQUEST_TOKENS = {promptTokens: 256, outputTokens: 96};

/** More than twice the rate that a chain of `DEFAULT_ENGINE` can serve. */
const SATURATING_REQUESTS_PER_S = 30;

/**
 * Returns the tokens/s of one saturated chain with FIFO scheduling, which keeps
 * all slots busy. The benchmark targets refer to this capacity.
 */
export function measureChainTokensPerS(seed: number): number {
  const scenario: Scenario = {
    topology: {entries: 1, chains: 1},
    sources: [
      {
        ...MEAN_REQUEST_TOKENS,
        workspace: 'capacity',
        rank: 'urgent',
        requestsPerS: SATURATING_REQUESTS_PER_S,
      },
    ],
  };
  const result = runScenario(scenario, createFifoScheduler, seed);
  return totalTokens(result) / MEASURED_DURATION_S;
}

/** Returns the requests/s that load `chains` chains to `capacityFraction` of their tokens/s. */
export function requestsPerSForLoad(
  capacityFraction: number,
  chainTokensPerS: number,
  chains: number,
): number {
  const tokensPerRequest =
    MEAN_REQUEST_TOKENS.promptTokens + MEAN_REQUEST_TOKENS.outputTokens;
  return (capacityFraction * chains * chainTokensPerS) / tokensPerRequest;
}
