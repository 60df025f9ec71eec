/**
 * Limits the retries that all entries together make at a service. Entries
 * report their counts to each other; until the next report, each may use an
 * equal part of what is left. Pure; times are arguments.
 */
import type {ServiceId} from '@azurecrank/core';
import {WindowCounter} from './window_counter.js';

/** Limits on the retries at a service within a window, over all entries. */
export interface RetryLimits {
  /** Retries for each request of the service. */
  readonly ratio: number;
  /** Retries in addition, independent of the number of requests. */
  readonly extraRetries: number;
  readonly windowMs: number;
}

/** What an entry counted within the last window. */
export interface RetryCounts {
  readonly service: ServiceId;
  readonly requests: number;
  readonly retries: number;
}

/**
 * Fraction of the limits that is used. The rest is for requests that fall from
 * one window to the next and for counts that a restarted entry has lost.
 */
const USED_FRACTION = 0.85;

/**
 * Maximum age of a report, a few report intervals. An entry without a newer
 * one may use its part of the extra retries unseen.
 */
const MAX_REPORT_AGE_MS = 1000;

interface ServiceCounters {
  readonly requests: WindowCounter;
  readonly retries: WindowCounter;
  /** Retries that the others do not know of yet, newest interval first. */
  unknownRetries: number[];
}

interface PeerReport {
  readonly counts: ReadonlyMap<ServiceId, RetryCounts>;
  readonly atMs: number;
  /** Number of entries that the counts are of. */
  readonly entries: number;
}

export class SharedRetryBudget {
  private readonly own = new Map<ServiceId, ServiceCounters>();
  private readonly peers = new Map<string, PeerReport>();
  private entryCount = 1;
  private reportsUntilKnown = 1;

  constructor(
    private readonly startedAtMs: number,
    private readonly limits: RetryLimits,
  ) {}

  /** Sets the number of registered entries, including this one. */
  setEntryCount(count: number): void {
    this.entryCount = Math.max(1, count);
  }

  /** Sets after how many reports the others know of a retry. */
  setReportsUntilKnown(count: number): void {
    this.reportsUntilKnown = count;
  }

  /** Records a request of a caller, whether it reaches a server or not. */
  recordRequest(service: ServiceId, nowMs: number): void {
    this.countersOf(service).requests.add(nowMs);
  }

  /** Number of retries that this entry may make until the others know of it. */
  available(service: ServiceId, nowMs: number): number {
    const {unknownRetries} = this.countersOf(service);
    const unknown = unknownRetries.reduce((sum, count) => sum + count, 0);
    const reporting = 1 + this.freshPeerCount(nowMs);
    const left = this.leftInWindow(service, nowMs) + unknown;
    return Math.max(0, Math.floor(left / reporting) - unknown);
  }

  /** Uses one retry and returns true, or returns false if there is none. */
  tryAcquire(service: ServiceId, nowMs: number): boolean {
    if (this.available(service, nowMs) < 1) return false;
    const counters = this.countersOf(service);
    counters.retries.add(nowMs);
    counters.unknownRetries[0]++;
    return true;
  }

  /** Returns the counts for the peers, which will know them soon. */
  report(nowMs: number): RetryCounts[] {
    return [...this.own].map(([service, counters]) => {
      const {unknownRetries} = counters;
      counters.unknownRetries = [0, ...unknownRetries].slice(
        0,
        this.reportsUntilKnown,
      );
      return {
        service,
        requests: counters.requests.total(nowMs),
        retries: counters.retries.total(nowMs),
      };
    });
  }

  /**
   * Replaces the counts reported by a peer.
   * @param entries number of entries that the counts are of
   */
  setPeerCounts(
    node: string,
    counts: readonly RetryCounts[],
    nowMs: number,
    entries = 1,
  ): void {
    const byService = new Map(counts.map(c => [c.service, c]));
    this.peers.set(node, {counts: byService, atMs: nowMs, entries});
  }

  /** Retries of all entries that the limits still allow in this window. */
  private leftInWindow(service: ServiceId, nowMs: number): number {
    const {ratio, extraRetries, windowMs} = this.limits;
    const own = this.countersOf(service);
    let requests = own.requests.total(nowMs);
    let retries = own.retries.total(nowMs);
    for (const {counts} of this.recentReports(nowMs)) {
      requests += counts.get(service)?.requests ?? 0;
      retries += counts.get(service)?.retries ?? 0;
    }
    const reporting = 1 + this.freshPeerCount(nowMs);
    const reportingFraction = reporting / Math.max(reporting, this.entryCount);
    // A process that has just started does not know its earlier retries.
    const knownFraction = Math.min(1, (nowMs - this.startedAtMs) / windowMs);
    const allowed =
      ratio * requests + extraRetries * reportingFraction * knownFraction;
    return allowed * USED_FRACTION - retries;
  }

  /** Reports whose retries may still be within the window. */
  private recentReports(nowMs: number): PeerReport[] {
    for (const [node, {atMs}] of this.peers) {
      if (nowMs - atMs > this.limits.windowMs) this.peers.delete(node);
    }
    return [...this.peers.values()];
  }

  private freshPeerCount(nowMs: number): number {
    let count = 0;
    for (const {atMs, entries} of this.peers.values()) {
      if (nowMs - atMs <= MAX_REPORT_AGE_MS) count += entries;
    }
    return count;
  }

  private countersOf(service: ServiceId): ServiceCounters {
    let counters = this.own.get(service);
    if (!counters) {
      const {windowMs} = this.limits;
      counters = {
        requests: new WindowCounter(windowMs),
        retries: new WindowCounter(windowMs),
        unknownRetries: [0],
      };
      this.own.set(service, counters);
    }
    return counters;
  }
}
