/**
 * Compares the mean interval between the events of each chain with the one
 * expected from its servers. Pure; times are arguments.
 */
import type {ServerAddress} from '../fleet/backend_server.js';
import {toChain} from '../paths/find_chains.js';
import type {ServerPath} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';

/** Weight of the newest interval in the moving mean. */
const MEAN_WEIGHT = 0.05;

/** Number of intervals after which the mean is compared again. */
const INTERVALS_PER_CHECK = 40;

/** Longer intervals count as this one: they are pauses with another cause. */
const MAX_INTERVAL_MS = 150;

/** A chain is slow above this multiple of its expected interval. */
const MIN_SLOW_FACTOR = 1.6;

/** Tokens per event at the least, according to the users' data sheets. */
const MIN_TOKENS_PER_EVENT = 2;

/**
 * Chains whose intervals are known from which the tokens per event are
 * estimated: the intervals of one chain do not tell a slow one from one whose
 * servers put more tokens into an event.
 */
const MIN_COMPARED_CHAINS = 2;

/** Typical number of requests in a batch; each one lengthens the step. */
const TYPICAL_BATCH_REQUESTS = 40;

/** Transfer time of one token between two servers of the same zone. */
const SAME_ZONE_HOP_MS = 0.3;

interface IntervalStats {
  readonly meanMs: number;
  readonly intervals: number;
}

export class EventIntervalMonitor {
  private readonly statsByFirstServer = new Map<ServerAddress, IntervalStats>();
  /** Last mean interval of each chain as a multiple of its time per token. */
  private readonly tokenTimes = new Map<ServerAddress, number>();

  /** Records an interval; returns whether the mean should be compared now. */
  record(firstServer: ServerAddress, measuredMs: number): boolean {
    const intervalMs = Math.min(measuredMs, MAX_INTERVAL_MS);
    const known = this.statsByFirstServer.get(firstServer);
    const {meanMs, intervals} = known ?? {meanMs: intervalMs, intervals: 0};
    this.statsByFirstServer.set(firstServer, {
      meanMs: meanMs + MEAN_WEIGHT * (intervalMs - meanMs),
      intervals: intervals + 1,
    });
    return (intervals + 1) % INTERVALS_PER_CHECK === 0;
  }

  /** Discards the chain's intervals after its servers were queried. */
  clear(firstServer: ServerAddress): void {
    this.statsByFirstServer.delete(firstServer);
  }

  isSlow(model: ModelSpec, path: ServerPath): boolean {
    const first = path[0].server.address;
    const stats = this.statsByFirstServer.get(first);
    if (!stats) return false;
    const tokenTimes = stats.meanMs / expectedIntervalMs(model, path, 1);
    this.tokenTimes.set(first, tokenTimes);
    return tokenTimes > MIN_SLOW_FACTOR * this.tokensPerEvent();
  }

  /** The fastest chain shows how many tokens servers put into an event. */
  private tokensPerEvent(): number {
    if (this.tokenTimes.size < MIN_COMPARED_CHAINS) return MIN_TOKENS_PER_EVENT;
    return Math.max(
      MIN_TOKENS_PER_EVENT,
      Math.min(...this.tokenTimes.values()),
    );
  }
}

/** Expected interval between the events of one stream in a typical batch. */
export function expectedIntervalMs(
  model: ModelSpec,
  path: ServerPath,
  tokensPerEvent = MIN_TOKENS_PER_EVENT,
): number {
  const batchMs = model.stepPerSequenceMs * TYPICAL_BATCH_REQUESTS;
  const {stepMs} = toChain(model, path);
  const loadedMs = stepMs * (1 + batchMs / model.stepMs);
  return tokensPerEvent * (loadedMs + SAME_ZONE_HOP_MS * path.length);
}
