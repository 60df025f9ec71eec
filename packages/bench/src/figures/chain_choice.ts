/**
 * Simulation of chain choice under late load reports: the modules of
 * `routing/` against random choice and least reported load, with the same
 * arrivals.
 */
import {
  LoadView,
  PREFIX_BLOCK_CHARS,
  PrefixIndex,
  chooseChain,
  chooseChainSubset,
  prefixHashes,
  reportedWaitMs,
  type Chain,
  type LoadReport,
  type PeerAddress,
  type ServerId,
} from '@azurecrank/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {BenchResult} from './throughput_plan.js';
import {TimeQueue} from './time_queue.js';

export type ChoicePolicy =
  | 'ours'
  | 'random'
  | 'least_reported'
  /** Two random candidates by reported load, without any correction. */
  | 'two_reported';

export interface ChoiceOptions {
  readonly entries: number;
  readonly chains: number;
  readonly reportEveryMs: number;
  /** Time between the state in a report and its arrival. */
  readonly reportLagMs: number;
  /** Arriving work as part of the capacity without any prefix hit. */
  readonly utilisation: number;
  readonly durationMs: number;
}

export const DEFAULT_CHOICE: ChoiceOptions = {
  entries: 20,
  chains: 24,
  reportEveryMs: 500,
  reportLagMs: 500,
  utilisation: 0.85,
  durationMs: 100_000,
};

const LIMIT = 16;
const OUTPUT_TOKENS = 100;
const PROMPT_BLOCKS = 8;
const PROMPT_TOKENS = (PROMPT_BLOCKS * PREFIX_BLOCK_CHARS) / 4;
const PREFILL_MS_PER_TOKEN = 0.8;
const COST_TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS;
const STANDARD_PROMPTS = 60;
/** Part of the requests that ask one of the standard questions. */
const STANDARD_PART = 0.5;
const CACHED_PROMPTS = 16;
const REPORTED_PREFIXES = 128;

interface Job {
  readonly arrivedMs: number;
  readonly hashes: readonly number[];
}

interface SimulatedChain {
  readonly chain: Chain;
  readonly stepMs: number;
  running: number;
  readonly queue: Job[];
  readonly cache: PrefixIndex;
}

interface SimulatedEntry {
  readonly subset: readonly SimulatedChain[];
  readonly load: LoadView;
  readonly prefixes: PrefixIndex;
}

export interface ChoiceFigures {
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly hitPart: number;
  readonly requests: number;
}

class ChoiceSimulation {
  private readonly generator;
  private readonly events = new TimeQueue();
  private readonly chains: readonly SimulatedChain[];
  private readonly entries: readonly SimulatedEntry[];
  private readonly prompts: readonly (readonly number[])[];
  private readonly firstTokenMs: number[] = [];
  private hits = 0;
  private uniquePrompts = 0;

  constructor(
    private readonly policy: ChoicePolicy,
    seed: number,
    private readonly options: ChoiceOptions,
  ) {
    this.generator = xoroshiro128plus(seed);
    this.prompts = Array.from({length: STANDARD_PROMPTS}, (_, index) =>
      this.hashPrompt(`standard ${index}`),
    );
    this.chains = Array.from({length: options.chains}, (_, index) =>
      createChain(index),
    );
    this.entries = Array.from({length: options.entries}, (_, index) =>
      this.createEntry(index),
    );
  }

  run(): ChoiceFigures {
    this.chains.forEach((chain, index) => {
      const firstMs = (index / this.chains.length) * this.options.reportEveryMs;
      this.events.add(firstMs, nowMs => this.report(chain, nowMs));
    });
    this.events.add(0, nowMs => this.arrive(nowMs));
    this.events.run(this.options.durationMs);
    const sorted = this.firstTokenMs.sort((a, b) => a - b);
    return {
      firstTokenP50Ms: sorted[Math.floor(sorted.length * 0.5)],
      firstTokenP95Ms: sorted[Math.floor(sorted.length * 0.95)],
      hitPart: this.hits / sorted.length,
      requests: sorted.length,
    };
  }

  private random(): number {
    return uniformFloat64(this.generator);
  }

  private createEntry(index: number): SimulatedEntry {
    const viewer = {node: `entry-${index}`, availabilityZone: 'z', region: 'r'};
    const subset = chooseChainSubset(
      this.chains.map(c => c.chain),
      viewer,
      () => 'r',
    );
    const ids = new Set(subset.map(chain => chain.chain));
    return {
      subset: this.chains.filter(c => ids.has(c.chain.chain)),
      load: new LoadView({reportLagMs: this.options.reportLagMs}),
      prefixes: new PrefixIndex(),
    };
  }

  private hashPrompt(name: string): number[] {
    return prefixHashes(name.padEnd(PROMPT_BLOCKS * PREFIX_BLOCK_CHARS, '.'));
  }

  /** Poisson arrivals at the configured utilisation. */
  private arrive(nowMs: number): void {
    const ratePerMs =
      this.options.utilisation *
      this.chains.reduce((sum, c) => sum + LIMIT / serviceMs(c, 0), 0);
    const nextMs = nowMs - Math.log(1 - this.random()) / ratePerMs;
    this.events.add(nextMs, atMs => this.arrive(atMs));
    const entryIndex = Math.floor(this.random() * this.entries.length);
    const isStandard = this.random() < STANDARD_PART;
    const promptIndex = Math.floor(this.random() ** 2 * STANDARD_PROMPTS);
    const draws: [number, number] = [this.random(), this.random()];
    const hashes = isStandard
      ? this.prompts[promptIndex]
      : this.hashPrompt(`unique ${this.uniquePrompts++}`);
    const job = {arrivedMs: nowMs, hashes};
    const target = this.choose(this.entries[entryIndex], job, draws, nowMs);
    target.queue.push(job);
    this.startJobs(target, nowMs);
  }

  private choose(
    entry: SimulatedEntry,
    job: Job,
    random: readonly [number, number],
    nowMs: number,
  ): SimulatedChain {
    const {subset} = entry;
    const first = Math.floor(random[0] * subset.length);
    if (this.policy === 'random') return subset[first];
    if (this.policy === 'least_reported') return leastReported(entry, subset);
    if (this.policy === 'two_reported') {
      const offset = 1 + Math.floor(random[1] * (subset.length - 1));
      const second = (first + offset) % subset.length;
      return leastReported(entry, [subset[first], subset[second]]);
    }
    const choice = chooseChain(
      {
        chains: entry.subset.map(c => c.chain),
        rankIndex: 1,
        hashes: job.hashes,
        excluded: new Set(),
        nowMs,
        random,
      },
      {...entry, linkMs: () => 0, prefillMsPerToken: PREFILL_MS_PER_TOKEN},
    )!;
    const server = headOf(choice.chain);
    entry.load.recordSent(server, 1, COST_TOKENS, nowMs);
    entry.prefixes.recordSent(server, job.hashes, nowMs);
    return entry.subset.find(c => c.chain === choice.chain)!;
  }

  private startJobs(target: SimulatedChain, nowMs: number): void {
    while (target.running < LIMIT && target.queue.length > 0) {
      const job = target.queue.shift()!;
      const server = headOf(target.chain);
      const matched = target.cache.matchedBlocks(server, job.hashes, nowMs);
      target.cache.recordSent(server, job.hashes, nowMs);
      target.running++;
      if (matched > 0) this.hits++;
      const waitedMs = nowMs - job.arrivedMs;
      this.firstTokenMs.push(waitedMs + prefillMs(matched));
      this.events.add(nowMs + serviceMs(target, matched), atMs => {
        target.running--;
        this.startJobs(target, atMs);
      });
    }
  }

  private report(source: SimulatedChain, nowMs: number): void {
    const server = headOf(source.chain);
    const report: LoadReport = {
      type: 'load',
      server,
      queueCostByRank: [0, source.queue.length * COST_TOKENS, 0],
      running: source.running,
      limit: LIMIT,
      stepMs: source.stepMs,
      prefixes: source.cache.latestHashes(server, REPORTED_PREFIXES),
    };
    const {reportLagMs, reportEveryMs} = this.options;
    this.events.add(nowMs + reportLagMs, atMs => {
      for (const entry of this.entries) {
        if (!entry.subset.includes(source)) continue;
        entry.load.applyReport(report, atMs);
        entry.prefixes.applyReport(server, report.prefixes, atMs);
      }
    });
    this.events.add(nowMs + reportEveryMs, atMs => this.report(source, atMs));
  }
}

function headOf(chain: Chain): ServerId {
  return chain.stages[0].server;
}

function leastReported(
  entry: SimulatedEntry,
  candidates: readonly SimulatedChain[],
): SimulatedChain {
  const reportedMs = (candidate: SimulatedChain) => {
    const report = entry.load.lastReport(headOf(candidate.chain));
    return report ? reportedWaitMs(report, 1) : 0;
  };
  return candidates.reduce((best, next) =>
    reportedMs(next) < reportedMs(best) ? next : best,
  );
}

function prefillMs(matchedBlocks: number): number {
  const missing = 1 - matchedBlocks / PROMPT_BLOCKS;
  return missing * PROMPT_TOKENS * PREFILL_MS_PER_TOKEN;
}

function serviceMs(target: SimulatedChain, matchedBlocks: number): number {
  return prefillMs(matchedBlocks) + OUTPUT_TOKENS * target.stepMs;
}

/** Speeds of the chains differ by a factor of four. */
function createChain(index: number): SimulatedChain {
  const server = `head-${index}` as ServerId;
  const stage = {
    server,
    address: `127.0.0.1:${20_000 + index}` as PeerAddress,
    availabilityZone: 'z',
    firstLayer: 0,
    endLayer: 1,
  };
  const chain = {
    chain: `chain-${index}`,
    model: 'm',
    modelVersion: '1',
    stages: [stage],
  } as unknown as Chain;
  const maxPerServer = CACHED_PROMPTS * PROMPT_BLOCKS;
  const cache = new PrefixIndex({maxPerServer, expiresAfterMs: Infinity});
  return {chain, stepMs: 10 * 2 ** (index % 3), running: 0, queue: [], cache};
}

export function simulateChoice(
  policy: ChoicePolicy,
  seed: number,
  options: Partial<ChoiceOptions> = {},
): ChoiceFigures {
  const all = {...DEFAULT_CHOICE, ...options};
  return new ChoiceSimulation(policy, seed, all).run();
}

export interface ChoiceReport {
  readonly result: BenchResult;
  readonly byPolicy: Readonly<Record<ChoicePolicy, ChoiceFigures>>;
}

/** `ratio` is our p95 of the time to first token over the best baseline's. */
export function runChainChoice(
  seed: number,
  options: Partial<ChoiceOptions> = {},
): ChoiceReport {
  const byPolicy = {
    ours: simulateChoice('ours', seed, options),
    random: simulateChoice('random', seed, options),
    least_reported: simulateChoice('least_reported', seed, options),
    two_reported: simulateChoice('two_reported', seed, options),
  };
  const ours = byPolicy.ours.firstTokenP95Ms;
  const baseline = Math.min(
    byPolicy.random.firstTokenP95Ms,
    byPolicy.least_reported.firstTokenP95Ms,
    byPolicy.two_reported.firstTokenP95Ms,
  );
  const ratio = ours / baseline;
  const target = 1;
  const met = ratio <= target;
  const result = {
    name: 'chain-choice',
    seed,
    ours,
    baseline,
    ratio,
    target,
    met,
  };
  return {result, byPolicy};
}
