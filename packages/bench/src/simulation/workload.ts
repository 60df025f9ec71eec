/** Arrivals of requests, the same for each compared system. */
import type {Rank, RequestId, WorkspaceId} from '@azurecrank/core';
import type {Random} from './random.js';

export interface Arrival {
  readonly id: RequestId;
  readonly atMs: number;
  readonly workspace: WorkspaceId;
  readonly weight: number;
  readonly rank: Rank;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Limit given by the caller; the answer is usually shorter. */
  readonly maxTokens: number;
  readonly firstTokenDeadlineMs: number;
  readonly entry: number;
  /** Two chains drawn at random, among which the entry chooses. */
  readonly chains: readonly [number, number];
}

/** Poisson arrivals of one workspace. */
export interface Source {
  readonly workspace: string;
  readonly weight?: number;
  readonly rank: Rank;
  readonly requestsPerS: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstTokenDeadlineMs?: number;
}

export interface Topology {
  readonly entries: number;
  readonly chains: number;
}

const DEFAULT_FIRST_TOKEN_DEADLINE_MS = 60_000;
const MAX_TOKENS_FACTOR = 4;

/**
 * Each source has its own random numbers, so that adding a source leaves the
 * arrivals of those before it unchanged.
 */
export function createArrivals(
  sources: readonly Source[],
  topology: Topology,
  durationMs: number,
  random: Random,
): Arrival[] {
  return sources
    .flatMap(source => arrivalsOf(source, topology, durationMs, random.split()))
    .sort((a, b) => a.atMs - b.atMs);
}

function arrivalsOf(
  source: Source,
  topology: Topology,
  durationMs: number,
  random: Random,
): Arrival[] {
  const arrivals: Arrival[] = [];
  const meanGapMs = 1000 / source.requestsPerS;
  let atMs = random.exponential(meanGapMs);
  while (atMs < durationMs) {
    const id = `${source.workspace}/${source.rank}/${arrivals.length}`;
    arrivals.push(createArrival(source, topology, id, atMs, random));
    atMs += random.exponential(meanGapMs);
  }
  return arrivals;
}

function createArrival(
  source: Source,
  topology: Topology,
  id: string,
  atMs: number,
  random: Random,
): Arrival {
  const {promptTokens, outputTokens} = source;
  const first = random.integer(0, topology.chains - 1);
  const others = Math.max(topology.chains - 1, 1);
  const offset = random.integer(1, others);
  return {
    id: id as RequestId,
    atMs,
    workspace: source.workspace as WorkspaceId,
    weight: source.weight ?? 1,
    rank: source.rank,
    promptTokens: spread(promptTokens, random),
    outputTokens: spread(outputTokens, random),
    maxTokens: outputTokens * MAX_TOKENS_FACTOR,
    firstTokenDeadlineMs:
      source.firstTokenDeadlineMs ?? DEFAULT_FIRST_TOKEN_DEADLINE_MS,
    entry: random.integer(0, topology.entries - 1),
    chains: [first, (first + offset) % topology.chains],
  };
}

/** Uniform between half and one and a half of the mean. */
function spread(mean: number, random: Random): number {
  return random.integer(Math.ceil(mean / 2), Math.floor(mean * 1.5));
}
