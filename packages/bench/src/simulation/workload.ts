/** Generates the request arrivals, identical for all compared schedulers. */
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
  /** Output limit given by the caller; the answer is usually shorter. */
  readonly maxTokens: number;
  readonly firstTokenDeadlineMs: number;
  /** Index of the entry that receives the request. */
  readonly entry: number;
  /** Two random chains, of which the entry chooses the less loaded one. */
  readonly candidateChains: readonly [number, number];
}

/** Poisson arrivals of one workspace with one rank; the token counts are means. */
export interface RequestSource {
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
/** Ratio of a request's output limit to the source's mean output tokens. */
const MAX_TOKENS_PER_MEAN_OUTPUT_TOKEN = 4;

/**
 * Creates the arrivals of all sources, ordered by time.
 *
 * Each source has its own random number generator, so that adding a source leaves the
 * arrivals of those before it unchanged.
 */
export function createArrivals(
  sources: readonly RequestSource[],
  topology: Topology,
  durationMs: number,
  random: Random,
): Arrival[] {
  return sources
    .flatMap(source =>
      createSourceArrivals(source, topology, durationMs, random.split()),
    )
    .sort((a, b) => a.atMs - b.atMs);
}

function createSourceArrivals(
  source: RequestSource,
  topology: Topology,
  durationMs: number,
  random: Random,
): Arrival[] {
  const arrivals: Arrival[] = [];
  const meanIntervalMs = 1000 / source.requestsPerS;
  let atMs = random.exponential(meanIntervalMs);
  while (atMs < durationMs) {
    const id = `${source.workspace}/${source.rank}/${arrivals.length}`;
    arrivals.push(createArrival(source, topology, id, atMs, random));
    atMs += random.exponential(meanIntervalMs);
  }
  return arrivals;
}

function createArrival(
  source: RequestSource,
  topology: Topology,
  id: string,
  atMs: number,
  random: Random,
): Arrival {
  const {promptTokens, outputTokens} = source;
  const first = random.integer(0, topology.chains - 1);
  const otherChains = Math.max(topology.chains - 1, 1);
  const offset = random.integer(1, otherChains);
  return {
    id: id as RequestId,
    atMs,
    workspace: source.workspace as WorkspaceId,
    weight: source.weight ?? 1,
    rank: source.rank,
    promptTokens: randomTokens(promptTokens, random),
    outputTokens: randomTokens(outputTokens, random),
    maxTokens: outputTokens * MAX_TOKENS_PER_MEAN_OUTPUT_TOKEN,
    firstTokenDeadlineMs:
      source.firstTokenDeadlineMs ?? DEFAULT_FIRST_TOKEN_DEADLINE_MS,
    entry: random.integer(0, topology.entries - 1),
    candidateChains: [first, (first + offset) % topology.chains],
  };
}

/** Returns a uniform number from 0.5 to 1.5 times the mean. */
function randomTokens(mean: number, random: Random): number {
  return random.integer(Math.ceil(mean / 2), Math.floor(mean * 1.5));
}
