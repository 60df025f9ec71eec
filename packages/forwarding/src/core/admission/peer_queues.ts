/**
 * Tracks the requests that wait at other entries, as last reported. Without
 * them, all entries would fill the same free tokens of a chain at once, and a
 * rank would count only among the requests of one entry. Pure; times are
 * arguments.
 */
import type {ServiceId} from '@azurecrank/core';

/** Waiting requests of one rank at an entry. */
export interface RankQueue {
  readonly tokens: number;
  /** Time for which the oldest request has waited. */
  readonly oldestAgeMs: number;
}

/** Waiting requests of a service at an entry, indexed by rank. */
export interface ServiceQueues {
  readonly service: ServiceId;
  /** Streams that lost their chain; none if absent. */
  readonly interrupted?: RankQueue | undefined;
  readonly ranks: readonly RankQueue[];
  /** Number of entries that the queues are of, if it is not 1. */
  readonly entries?: number | undefined;
}

/** Whether any request of the service waits. */
export function hasWaiting({ranks, interrupted = NONE}: ServiceQueues) {
  return interrupted.tokens > 0 || ranks.some(({tokens}) => tokens > 0);
}

/** Place of a request among those of all entries. */
export interface QueuePlace {
  readonly rankIndex: number;
  readonly enqueuedAtMs: number;
  /** Whether requests of higher ranks do not go first. */
  readonly isOnReservedShare: boolean;
}

/** Maximum age of a report, a few report intervals; older ones are dropped. */
const MAX_REPORT_AGE_MS = 600;

const NONE: RankQueue = {tokens: 0, oldestAgeMs: 0};

interface PeerReport {
  readonly queues: readonly ServiceQueues[];
  readonly atMs: number;
}

export class PeerQueues {
  private readonly reports = new Map<string, PeerReport>();

  /** Replaces the queues reported by a peer, or by several under one name. */
  setQueues(
    node: string,
    queues: readonly ServiceQueues[],
    nowMs: number,
  ): void {
    this.reports.set(node, {queues, atMs: nowMs});
  }

  /** Whether requests of the service wait at other entries. */
  isContended(service: ServiceId, nowMs: number): boolean {
    return this.waitingPeers(service, nowMs) > 0;
  }

  /** Number of other entries at which requests of the service wait. */
  waitingPeers(service: ServiceId, nowMs: number): number {
    return this.recentQueues(service, nowMs)
      .filter(hasWaiting)
      .reduce((sum, {entries = 1}) => sum + entries, 0);
  }

  /**
   * Tokens of the requests at other entries that go before a request: those of
   * interrupted streams, those of higher ranks, and those of its rank at entries
   * with an older one.
   */
  tokensAhead(service: ServiceId, place: QueuePlace, nowMs: number): number {
    const {rankIndex, enqueuedAtMs, isOnReservedShare} = place;
    let tokens = 0;
    for (const queues of this.recentQueues(service, nowMs)) {
      const {ranks, atMs, interrupted = NONE} = queues;
      tokens += interrupted.tokens;
      ranks.forEach((queue, index) => {
        const isHigher = index < rankIndex && !isOnReservedShare;
        const isOlder =
          index === rankIndex && atMs - queue.oldestAgeMs < enqueuedAtMs;
        if (isHigher || isOlder) tokens += queue.tokens;
      });
    }
    return tokens;
  }

  /** Tokens of the streams at entries that have an older one than this time. */
  interruptedAhead(
    service: ServiceId,
    interruptedAtMs: number,
    nowMs: number,
  ): number {
    return this.recentQueues(service, nowMs)
      .filter(
        ({interrupted = NONE, atMs}) =>
          atMs - interrupted.oldestAgeMs < interruptedAtMs,
      )
      .reduce((sum, {interrupted = NONE}) => sum + interrupted.tokens, 0);
  }

  private recentQueues(
    service: ServiceId,
    nowMs: number,
  ): Array<ServiceQueues & {readonly atMs: number}> {
    for (const [node, {atMs}] of this.reports) {
      if (nowMs - atMs > MAX_REPORT_AGE_MS) this.reports.delete(node);
    }
    return [...this.reports.values()].flatMap(({queues, atMs}) =>
      queues.filter(q => q.service === service).map(q => ({...q, atMs})),
    );
  }
}
