/**
 * Started streams that lost their chain and wait for another one. They go
 * before new requests: under overload these would take each token that becomes
 * free, and work that is mostly done would be lost. Pure.
 */
import {rankIndex, type Rank, type RequestId} from '@azurecrank/core';
import type {ServerAddress} from '../fleet/backend_server.js';
import {ADMISSIBLE_CAPACITY_FRACTION} from '../paths/chain_throughput.js';
import type {ServerChain} from '../paths/find_chains.js';
import type {RankQueue} from './peer_queues.js';

export interface InterruptedStream {
  readonly request: RequestId;
  readonly rank: Rank;
  readonly costTokens: number;
  /** Time of its last event; the stream with the oldest one goes first. */
  readonly interruptedAtMs: number;
  /** Whether it may continue on the chain of this first server. */
  readonly mayContinueOn: (first: ServerAddress) => boolean;
  /** Whether it may continue only at servers on which it has run. */
  readonly isRestricted: () => boolean;
  /** Number of retries that the entry may make at the service for now. */
  readonly availableRetries: () => number;
  /** Called with the chain on which the stream's tokens are reserved. */
  readonly resume: (chain: ServerChain) => void;
}

export class InterruptedStreams {
  private readonly streams = new Map<RequestId, InterruptedStream>();

  get size(): number {
    return this.streams.size;
  }

  add(stream: InterruptedStream): void {
    this.streams.set(stream.request, stream);
  }

  remove(request: RequestId): void {
    this.streams.delete(request);
  }

  has({request}: InterruptedStream): boolean {
    return this.streams.has(request);
  }

  /**
   * Streams that can use one of the chains, as many as the retry budget lets
   * continue, in the order of their turns.
   */
  eligible(chains: readonly ServerChain[]): InterruptedStream[] {
    const usable = [...this.streams.values()].filter(stream =>
      chains.some(chain => canUse(stream, chain)),
    );
    if (usable.length === 0) return [];
    const retries = Math.floor(usable[0].availableRetries());
    return usable.sort(compareTurns).slice(0, Math.max(0, retries));
  }

  /**
   * The streams for which other entries should leave free tokens. Those that
   * may use only certain chains are left out, since others would leave tokens
   * on all chains.
   */
  report(chains: readonly ServerChain[], nowMs: number): RankQueue {
    const streams = this.eligible(chains).filter(
      stream => !stream.isRestricted(),
    );
    return {
      tokens: streams.reduce((sum, {costTokens}) => sum + costTokens, 0),
      oldestAgeMs: Math.max(
        0,
        ...streams.map(({interruptedAtMs}) => nowMs - interruptedAtMs),
      ),
    };
  }

  /**
   * Returns the free tokens of each chain that are left for new requests. Each
   * stream keeps those of the chain that it will soonest fit on.
   * @param freeTokens of the chains, in the same order
   */
  tokensLeft(
    chains: readonly ServerChain[],
    freeTokens: readonly number[],
  ): number[] {
    const left = [...freeTokens];
    for (const stream of this.eligible(chains)) {
      const index = largestUsable(stream, chains, left);
      if (index < 0) continue;
      left[index] = Math.max(0, left[index] - stream.costTokens);
    }
    return left;
  }
}

function compareTurns(a: InterruptedStream, b: InterruptedStream): number {
  const byRank = rankIndex(a.rank) - rankIndex(b.rank);
  return byRank || a.interruptedAtMs - b.interruptedAtMs;
}

/** Returns the index of the chain with most free tokens for it, -1 if none. */
function largestUsable(
  stream: InterruptedStream,
  chains: readonly ServerChain[],
  freeTokens: readonly number[],
): number {
  let best = -1;
  chains.forEach((chain, index) => {
    if (!canUse(stream, chain) || freeTokens[index] === 0) return;
    if (best < 0 || freeTokens[index] > freeTokens[best]) best = index;
  });
  return best;
}

/** Whether the stream could continue on the chain if nothing else ran there. */
function canUse(
  {costTokens, mayContinueOn}: InterruptedStream,
  {path, capacityTokens}: ServerChain,
): boolean {
  return (
    mayContinueOn(path[0].server.address) &&
    capacityTokens * ADMISSIBLE_CAPACITY_FRACTION >= costTokens
  );
}
