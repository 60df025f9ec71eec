/** Overload with the highest rank (design, section 12). */
import {DEFAULT_RESERVED_SHARES, rankIndex, type Rank} from '@azurecrank/core';
import type {Bench, BenchOptions, BenchOutcome} from '../framework/bench.js';
import {
  createFifoScheduler,
  MEASURED_DURATION_S,
  createFairScheduler,
  MEAN_REQUEST_TOKENS,
  WARM_UP_MS,
  requestsPerSForLoad,
  measureChainTokensPerS,
  runScenario,
  type Scenario,
  type SchedulerFactory,
} from '../simulation/scenario.js';
import {tokensOfRank, totalTokens} from '../simulation/statistics.js';
import type {SimulationResult} from '../simulation/simulate.js';
import type {RequestSource} from '../simulation/workload.js';

const TOPOLOGY = {entries: 4, chains: 2};
const URGENT_LOAD = 5;
/** Above the reserved shares, so that both ranks always wait. */
const OTHER_LOAD = 0.3;
const WORKSPACES_PER_RANK = 4;
const FIRST_TOKEN_DEADLINE_MS = 2000;
/** Allowed relative distance from the configured share. */
const SHARE_TOLERANCE = 0.1;
const MIN_GOODPUT = 0.9;

function createScenario(tokensPerS: number): Scenario {
  const urgent = sourcesOf('urgent', URGENT_LOAD, tokensPerS);
  const sources = [
    ...urgent.map(source => ({
      ...source,
      firstTokenDeadlineMs: FIRST_TOKEN_DEADLINE_MS,
    })),
    ...sourcesOf('ordinary', OTHER_LOAD, tokensPerS),
    ...sourcesOf('overnight', OTHER_LOAD, tokensPerS),
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
  /** Tokens of urgent requests in time, as part of the capacity. */
  readonly goodput: number;
  readonly ordinaryShare: number;
  readonly overnightShare: number;
}

function measure(
  create: SchedulerFactory,
  {seed, log}: BenchOptions,
  tokensPerS: number,
  label: string,
): Figures {
  const result = runScenario(createScenario(tokensPerS), create, seed);
  const total = totalTokens(result);
  const capacity = tokensPerS * TOPOLOGY.chains * MEASURED_DURATION_S;
  const figures = {
    goodput: goodTokens(result) / capacity,
    ordinaryShare: tokensOfRank(result, 'ordinary') / total,
    overnightShare: tokensOfRank(result, 'overnight') / total,
  };
  const preemptions = result.records.reduce((n, r) => n + r.preemptions, 0);
  log(
    `${label}: urgent goodput ${figures.goodput.toFixed(3)} of capacity; ` +
      `served in all ${(total / capacity).toFixed(3)}; shares ordinary ` +
      `${figures.ordinaryShare.toFixed(4)}, overnight ` +
      `${figures.overnightShare.toFixed(4)}; ${preemptions} preemptions`,
  );
  return figures;
}

/** Tokens of urgent requests that ended, with a first token in time. */
function goodTokens(result: SimulationResult): number {
  return result.records
    .filter(({arrival}) => arrival.rank === 'urgent')
    .filter(record => record.firstTokenMs <= FIRST_TOKEN_DEADLINE_MS)
    .filter(({arrival, completionMs}) => {
      const endedAtMs = arrival.atMs + completionMs;
      return endedAtMs >= WARM_UP_MS && endedAtMs < Infinity;
    })
    .map(({arrival}) => arrival.promptTokens + arrival.outputTokens - 1)
    .reduce((sum, tokens) => sum + tokens, 0);
}

function isNear(share: number, rank: Rank): boolean {
  const configured = DEFAULT_RESERVED_SHARES[rankIndex(rank)];
  return Math.abs(share / configured - 1) <= SHARE_TOLERANCE;
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
    ours.goodput >= MIN_GOODPUT &&
    isNear(ours.ordinaryShare, 'ordinary') &&
    isNear(ours.overnightShare, 'overnight');
  return {
    ours: ours.goodput,
    baseline: baseline.goodput,
    target:
      'urgent goodput >= 90% of capacity; ordinary and overnight within 10% ' +
      'of their configured shares',
    met,
  };
}

export const bench: Bench = {
  name: 'flood-urgent',
  description: 'urgent requests at five times the capacity',
  run,
};
