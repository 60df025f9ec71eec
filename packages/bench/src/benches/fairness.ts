/** Small workspaces beside large ones of the same rank (section 12). */
import type {Bench, BenchOptions, BenchOutcome} from '../framework/bench.js';
import {
  LATENCY_ARRIVAL_WINDOW,
  createFifoScheduler,
  MEASURED_DURATION_S,
  createFairScheduler,
  MEAN_REQUEST_TOKENS,
  requestsPerSForLoad,
  measureChainTokensPerS,
  runScenario,
  type SchedulerFactory,
} from '../simulation/scenario.js';
import {jainIndex, p95Ms, totalTokens} from '../simulation/statistics.js';
import type {RequestRecord, SimulationResult} from '../simulation/simulate.js';
import type {RequestSource} from '../simulation/workload.js';

const TOPOLOGY = {entries: 8, chains: 4};
const SMALL_WORKSPACES = 8;
/** Demand of all small workspaces together, as part of the capacity. */
const SMALL_LOAD = 0.2;
/** Demand of the two large workspaces against that of the small ones. */
const LARGE_FACTOR = 20;
const LARGE = [
  {workspace: 'large-a', weight: 1},
  {workspace: 'large-b', weight: 2},
];

function smallSources(tokensPerS: number): RequestSource[] {
  const part = SMALL_LOAD / SMALL_WORKSPACES;
  const requestsPerS = requestsPerSForLoad(part, tokensPerS, TOPOLOGY.chains);
  return Array.from({length: SMALL_WORKSPACES}, (_, index) => {
    const workspace = `small-${index}`;
    return {...MEAN_REQUEST_TOKENS, workspace, rank: 'ordinary', requestsPerS};
  });
}

function largeSources(tokensPerS: number): RequestSource[] {
  const part = (SMALL_LOAD * LARGE_FACTOR) / LARGE.length;
  const requestsPerS = requestsPerSForLoad(part, tokensPerS, TOPOLOGY.chains);
  return LARGE.map(({workspace, weight}) => {
    return {
      ...MEAN_REQUEST_TOKENS,
      workspace,
      weight,
      rank: 'ordinary',
      requestsPerS,
    };
  });
}

const isSmall = ({arrival}: RequestRecord) =>
  arrival.workspace.startsWith('small');

interface Figures {
  readonly smallRatio: number;
  readonly jain: number;
}

function measure(
  create: SchedulerFactory,
  {seed, log}: BenchOptions,
  tokensPerS: number,
  label: string,
): Figures {
  const small = smallSources(tokensPerS);
  const sources = [...small, ...largeSources(tokensPerS)];
  const alone = runScenario({topology: TOPOLOGY, sources: small}, create, seed);
  const both = runScenario({topology: TOPOLOGY, sources}, create, seed);
  const aloneMs = smallP95Ms(alone, 'firstTokenMs');
  const bothMs = smallP95Ms(both, 'firstTokenMs');
  const jain = jainIndex(
    LARGE.map(
      ({workspace, weight}) =>
        (both.tokensByWorkspace.get(workspace) ?? 0) / weight,
    ),
  );
  const capacity = tokensPerS * TOPOLOGY.chains * MEASURED_DURATION_S;
  log(
    `${label}: small first token p95 ${aloneMs.toFixed(1)} ms alone, ` +
      `${bothMs.toFixed(1)} ms beside the large ones; whole answer p95 ` +
      `${smallP95Ms(alone, 'completionMs').toFixed(0)} ms and ` +
      `${smallP95Ms(both, 'completionMs').toFixed(0)} ms; Jain ${jain.toFixed(4)}; served ` +
      `${(totalTokens(both) / capacity).toFixed(3)} of capacity`,
  );
  return {smallRatio: bothMs / aloneMs, jain};
}

function smallP95Ms(
  result: SimulationResult,
  field: 'firstTokenMs' | 'completionMs',
): number {
  return p95Ms(result, field, {...LATENCY_ARRIVAL_WINDOW, matches: isSmall});
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
  return {
    ours: ours.smallRatio,
    baseline: baseline.smallRatio,
    target:
      'p95 of small workspaces <= 1.3x alone; Jain index of weighted service ' +
      'of the backlogged workspaces >= 0.98',
    met: ours.smallRatio <= 1.3 && ours.jain >= 0.98,
  };
}

export const bench: Bench = {
  name: 'fairness',
  description: 'two large workspaces beside eight small ones',
  run,
};
