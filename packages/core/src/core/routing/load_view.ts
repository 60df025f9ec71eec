/** What a process believes about the load of chain heads. */
import type {ServerId} from '../ids/ids.js';
import {RANKS} from '../ids/rank.js';
import type {LoadReport} from '../wire/messages.js';

export interface LoadViewOptions {
  /** Age up to which a report counts in full (design, section 7.3). */
  readonly freshMs: number;
  /** Time in which the weight of an older report halves. */
  readonly halfLifeMs: number;
  /**
   * Age of the state in a report when it arrives. Work sent within this time
   * before the arrival is not yet contained in the report.
   */
  readonly reportLagMs: number;
  /** Waiting time assumed where no report exists at all, in milliseconds. */
  readonly unknownWaitMs: number;
}

export const DEFAULT_LOAD_VIEW: LoadViewOptions = {
  freshMs: 3000,
  halfLifeMs: 2000,
  reportLagMs: 100,
  unknownWaitMs: 50,
};

interface Sent {
  readonly atMs: number;
  readonly rankIndex: number;
  readonly costTokens: number;
}

interface HeadLoad {
  report?: LoadReport;
  receivedAtMs: number;
  sent: Sent[];
}

export class LoadView {
  private readonly heads = new Map<ServerId, HeadLoad>();
  private readonly options: LoadViewOptions;

  constructor(options: Partial<LoadViewOptions> = {}) {
    this.options = {...DEFAULT_LOAD_VIEW, ...options};
  }

  /** Takes a report and forgets the sent work that it already contains. */
  reported(report: LoadReport, nowMs: number): void {
    const head = this.headOf(report.server);
    const containedUntilMs = nowMs - this.options.reportLagMs;
    head.report = report;
    head.receivedAtMs = nowMs;
    head.sent = head.sent.filter(sent => sent.atMs > containedUntilMs);
  }

  /** Notes work that this process has just sent to a head. */
  sent(
    server: ServerId,
    rankIndex: number,
    costTokens: number,
    nowMs: number,
  ): void {
    const head = this.headOf(server);
    head.sent = head.sent.filter(sent => this.weight(nowMs - sent.atMs) > 0.01);
    head.sent.push({atMs: nowMs, rankIndex, costTokens});
  }

  /** Takes back work that the head refused or that was cancelled. */
  withdrawn(server: ServerId, rankIndex: number, costTokens: number): void {
    const head = this.headOf(server);
    const index = head.sent.findLastIndex(
      sent => sent.rankIndex === rankIndex && sent.costTokens === costTokens,
    );
    if (index >= 0) head.sent.splice(index, 1);
  }

  forget(server: ServerId): void {
    this.heads.delete(server);
  }

  lastReport(server: ServerId): LoadReport | undefined {
    return this.heads.get(server)?.report;
  }

  /**
   * Expected wait of a request of this rank, in milliseconds. An old report
   * loses weight in favour of the mean of the fresh ones: if it faded to zero
   * instead, heads that have stopped reporting would attract the work.
   */
  waitMs(server: ServerId, rankIndex: number, nowMs: number): number {
    const head = this.heads.get(server);
    const mean = this.meanFreshWaitMs(rankIndex, nowMs);
    const sentMs = head ? this.sentWaitMs(head, rankIndex, nowMs) : 0;
    if (!head?.report) return mean + sentMs;
    const weight = this.weight(nowMs - head.receivedAtMs);
    const reportedMs = reportedWaitMs(head.report, rankIndex);
    return weight * reportedMs + (1 - weight) * mean + sentMs;
  }

  private meanFreshWaitMs(rankIndex: number, nowMs: number): number {
    let sumMs = 0;
    let count = 0;
    for (const {report, receivedAtMs} of this.heads.values()) {
      if (!report || nowMs - receivedAtMs > this.options.freshMs) continue;
      sumMs += reportedWaitMs(report, rankIndex);
      count++;
    }
    return count === 0 ? this.options.unknownWaitMs : sumMs / count;
  }

  private sentWaitMs(head: HeadLoad, rankIndex: number, nowMs: number): number {
    const costTokens = head.sent
      .filter(sent => sent.rankIndex <= rankIndex)
      .reduce(
        (sum, sent) => sum + sent.costTokens * this.weight(nowMs - sent.atMs),
        0,
      );
    return costTokens * msPerToken(head.report);
  }

  private weight(ageMs: number): number {
    const overMs = ageMs - this.options.freshMs;
    return overMs <= 0 ? 1 : 0.5 ** (overMs / this.options.halfLifeMs);
  }

  private headOf(server: ServerId): HeadLoad {
    let head = this.heads.get(server);
    if (!head) {
      head = {receivedAtMs: -Infinity, sent: []};
      this.heads.set(server, head);
    }
    return head;
  }
}

/** Assumed for a head that has not reported, in milliseconds per token. */
const DEFAULT_MS_PER_TOKEN = 1;

/** A chain at its limit produces `limit` tokens in each step. */
function msPerToken(report: LoadReport | undefined): number {
  if (!report || report.stepMs <= 0) return DEFAULT_MS_PER_TOKEN;
  return report.stepMs / Math.max(1, report.limit);
}

/**
 * Time to work off the queue of this rank and above. The share of slots in use
 * is added as part of a step, which orders chains whose queues are empty.
 */
export function reportedWaitMs(report: LoadReport, rankIndex: number): number {
  const queuedTokens = report.queueCostByRank
    .slice(0, Math.min(rankIndex + 1, RANKS.length))
    .reduce((sum, cost) => sum + cost, 0);
  const occupancy = report.running / Math.max(1, report.limit);
  return queuedTokens * msPerToken(report) + occupancy * report.stepMs;
}
