/**
 * Estimates the load of chain heads from their load reports and from the work
 * that this process has sent since.
 */
import type {ServerId} from '../ids/ids.js';
import {RANKS} from '../ids/rank.js';
import type {LoadReport} from '../wire/messages.js';

export interface LoadViewOptions {
  /** Age up to which a report has full weight (design, section 7.3). */
  readonly freshForMs: number;
  /** Time in which the weight of an older report or of sent work halves. */
  readonly halfLifeMs: number;
  /**
   * Age of the state in a report when it arrives. A report does not include
   * work that was sent within this time before it arrives.
   */
  readonly reportLagMs: number;
  /** Wait assumed while no head has a fresh report, in milliseconds. */
  readonly defaultWaitMs: number;
}

export const DEFAULT_LOAD_VIEW_OPTIONS: LoadViewOptions = {
  freshForMs: 3000,
  halfLifeMs: 2000,
  reportLagMs: 100,
  defaultWaitMs: 50,
};

/** Sent work is dropped when its weight has decayed to this value. */
const MIN_SENT_WEIGHT = 0.01;

interface SentWork {
  readonly atMs: number;
  readonly rankIndex: number;
  readonly costTokens: number;
}

interface HeadLoad {
  report?: LoadReport;
  receivedAtMs: number;
  sentWork: SentWork[];
}

export class LoadView {
  private readonly heads = new Map<ServerId, HeadLoad>();
  private readonly options: LoadViewOptions;

  constructor(options: Partial<LoadViewOptions> = {}) {
    this.options = {...DEFAULT_LOAD_VIEW_OPTIONS, ...options};
  }

  /** Stores a report and drops the sent work that it includes. */
  applyReport(report: LoadReport, nowMs: number): void {
    const head = this.headOf(report.server);
    const containedUntilMs = nowMs - this.options.reportLagMs;
    head.report = report;
    head.receivedAtMs = nowMs;
    head.sentWork = head.sentWork.filter(sent => sent.atMs > containedUntilMs);
  }

  /** Records work that this process has just sent to a head. */
  recordSent(
    server: ServerId,
    rankIndex: number,
    costTokens: number,
    nowMs: number,
  ): void {
    const head = this.headOf(server);
    head.sentWork = head.sentWork.filter(
      sent => this.ageWeight(nowMs - sent.atMs) > MIN_SENT_WEIGHT,
    );
    head.sentWork.push({atMs: nowMs, rankIndex, costTokens});
  }

  /** Removes sent work that the head refused or that was cancelled. */
  removeSent(server: ServerId, rankIndex: number, costTokens: number): void {
    const head = this.headOf(server);
    const index = head.sentWork.findLastIndex(
      sent => sent.rankIndex === rankIndex && sent.costTokens === costTokens,
    );
    if (index >= 0) head.sentWork.splice(index, 1);
  }

  removeServer(server: ServerId): void {
    this.heads.delete(server);
  }

  lastReport(server: ServerId): LoadReport | undefined {
    return this.heads.get(server)?.report;
  }

  /**
   * Expected wait of a request of this rank, in milliseconds. As a report ages,
   * its weight shifts to the mean of the fresh reports. If the estimate decayed
   * to zero instead, heads that have stopped reporting would get all the work.
   */
  waitMs(server: ServerId, rankIndex: number, nowMs: number): number {
    const head = this.heads.get(server);
    const mean = this.meanFreshWaitMs(rankIndex, nowMs);
    const sentMs = head ? this.sentWaitMs(head, rankIndex, nowMs) : 0;
    if (!head?.report) return mean + sentMs;
    const weight = this.ageWeight(nowMs - head.receivedAtMs);
    const reportedMs = reportedWaitMs(head.report, rankIndex);
    return weight * reportedMs + (1 - weight) * mean + sentMs;
  }

  private meanFreshWaitMs(rankIndex: number, nowMs: number): number {
    let sumMs = 0;
    let count = 0;
    for (const {report, receivedAtMs} of this.heads.values()) {
      if (!report || nowMs - receivedAtMs > this.options.freshForMs) continue;
      sumMs += reportedWaitMs(report, rankIndex);
      count++;
    }
    return count === 0 ? this.options.defaultWaitMs : sumMs / count;
  }

  private sentWaitMs(head: HeadLoad, rankIndex: number, nowMs: number): number {
    const costTokens = head.sentWork
      .filter(sent => sent.rankIndex <= rankIndex)
      .reduce(
        (sum, sent) =>
          sum + sent.costTokens * this.ageWeight(nowMs - sent.atMs),
        0,
      );
    return costTokens * msPerToken(head.report);
  }

  /** Weight of a report or of sent work by its age, from 1 down to 0. */
  private ageWeight(ageMs: number): number {
    const overMs = ageMs - this.options.freshForMs;
    return overMs <= 0 ? 1 : 0.5 ** (overMs / this.options.halfLifeMs);
  }

  private headOf(server: ServerId): HeadLoad {
    let head = this.heads.get(server);
    if (!head) {
      head = {receivedAtMs: -Infinity, sentWork: []};
      this.heads.set(server, head);
    }
    return head;
  }
}

/** Time per token assumed for a head without a usable report. */
const DEFAULT_MS_PER_TOKEN = 1;

/** Time per token: a chain at its limit generates `limit` tokens per step. */
function msPerToken(report: LoadReport | undefined): number {
  if (!report || report.stepMs <= 0) return DEFAULT_MS_PER_TOKEN;
  return report.stepMs / Math.max(1, report.limit);
}

/**
 * Time to serve the queued cost of this rank and of higher ones. The fraction
 * of slots in use times the step time is added, which orders chains with empty
 * queues.
 */
export function reportedWaitMs(report: LoadReport, rankIndex: number): number {
  const queuedTokens = report.queueCostByRank
    .slice(0, Math.min(rankIndex + 1, RANKS.length))
    .reduce((sum, cost) => sum + cost, 0);
  const occupancy = report.running / Math.max(1, report.limit);
  return queuedTokens * msPerToken(report) + occupancy * report.stepMs;
}
