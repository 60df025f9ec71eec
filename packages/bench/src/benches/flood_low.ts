/** Overload with the lowest rank (design, section 12). */
import type {Rank} from '@azurecrank/core';
import type {Bench, BenchOptions, BenchOutcome} from '../framework/bench.js';
import {
  LATENCY_ARRIVAL_WINDOW,
  createFifoScheduler,
  createFairScheduler,
  MEAN_REQUEST_TOKENS,
  requestsPerSForLoad,
  measureChainTokensPerS,
  runScenario,
  type Scenario,
  type SchedulerFactory,
} from '../simulation/scenario.js';
import {p95Ms, tokensOfRank} from '../simulation/statistics.js';
import type {SimulationResult} from '../simulation/simulate.js';
import type {RequestSource} from '../simulation/workload.js';

const TOPOLOGY = {entries: 4, chains: 2};
const URGENT_LOAD = 0.2;
const ORDINARY_LOAD = 0.35;
const OVERNIGHT_LOAD = 0.1;
const OVERNIGHT_FLOOD = 5;
const WORKSPACES_PER_RANK = 4;

function createScenario(tokensPerS: number, overnight: number): Scenario {
  const sources = [
    ...sourcesOf('urgent', URGENT_LOAD, tokensPerS),
    ...sourcesOf('ordinary', ORDINARY_LOAD, tokensPerS),
    ...sourcesOf('overnight', overnight, tokensPerS),
  ];
  return {topology: TOPOLOGY, sources};
}

function sourcesOf(
  rank: Rank,
  load: number,
  tokensPerS: number,
): RequestSource[] {
  const part = load / WORKSPACES_PER_RANK;
  const requestsPerS = requestsPerSForLoad(part, tokensPerS, TOPOLOGY.chains);
  return Array.from({length: WORKSPACES_PER_RANK}, (_, index) => {
    return {
      ...MEAN_REQUEST_TOKENS,
      workspace: `${rank}-${index}`,
      rank,
      requestsPerS,
    };
  });
}

interface Figures {
  readonly urgentRatio: number;
  readonly ordinaryPart: number;
  readonly overnightTokens: number;
}

function measure(
  create: SchedulerFactory,
  {seed, log}: BenchOptions,
  tokensPerS: number,
  label: string,
): Figures {
  const calmScenario = createScenario(tokensPerS, OVERNIGHT_LOAD);
  const floodScenario = createScenario(tokensPerS, OVERNIGHT_FLOOD);
  const calm = runScenario(calmScenario, create, seed);
  const flood = runScenario(floodScenario, create, seed);
  const calmMs = urgentP95Ms(calm);
  const floodMs = urgentP95Ms(flood);
  const ordinaryPart =
    tokensOfRank(flood, 'ordinary') / tokensOfRank(calm, 'ordinary');
  const overnightTokens = tokensOfRank(flood, 'overnight');
  log(
    `${label}: urgent first token p95 ${calmMs.toFixed(1)} ms without ` +
      `overload, ${floodMs.toFixed(1)} ms with it; ordinary throughput ` +
      `${ordinaryPart.toFixed(3)} of without; overnight ` +
      `${overnightTokens} tokens`,
  );
  return {urgentRatio: floodMs / calmMs, ordinaryPart, overnightTokens};
}

function urgentP95Ms(result: SimulationResult): number {
  return p95Ms(result, 'firstTokenMs', {
    ...LATENCY_ARRIVAL_WINDOW,
    matches: ({arrival}) => arrival.rank === 'urgent',
  });
}

function run(options: BenchOptions): BenchOutcome {
  const tokensPerS = measureChainTokensPerS(options.seed);
  options.log(`capacity of one chain: ${tokensPerS.toFixed(0)} tokens/s`);
  const ours = measure(createFairScheduler, options, tokensPerS, 'ours');
  const baseline = measure(
    createFifoScheduler,
    options,
    tokensPerS,
    'baseline',
  );
  const met =
    ours.urgentRatio <= 1.2 &&
    ours.ordinaryPart >= 0.9 &&
    ours.overnightTokens > 0;
  return {
    ours: ours.urgentRatio,
    baseline: baseline.urgentRatio,
    target:
      'urgent first-token p95 <= 1.2x without overload; ordinary >= 90% of ' +
      'its throughput; overnight makes progress',
    met,
  };
}

export const bench: Bench = {
  name: 'flood-low',
  description: 'overnight requests at five times the capacity',
  run,
};
