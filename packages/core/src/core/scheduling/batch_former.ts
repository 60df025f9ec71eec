/** Choice of the steps that enter the next batch of one engine. */
import type {RequestId} from '../ids/ids.js';
import {RANKS, rankIndex, type Rank} from '../ids/rank.js';
import {RankShares, type ReservedShares} from './rank_shares.js';

/** A step in the run queue of a stage. */
export interface RunnableStep {
  readonly request: RequestId;
  readonly rank: Rank;
  /** Positions that remain to be run: 1 for decode, more for a prompt. */
  readonly count: number;
}

export interface BatchPick<T> {
  readonly step: T;
  /** Positions of the step to run in this batch, at most its count. */
  readonly take: number;
}

export interface BatchLimits {
  /** Sequences in one batch. */
  readonly maxSteps: number;
  /** Prompt positions in one batch, over all ranks. */
  readonly maxPromptTokens: number;
  /**
   * Prompt positions of lower ranks in a batch while a higher rank has a step
   * waiting. Bounds the delay of an urgent step by a long overnight prompt.
   */
  readonly promptTokensBesideHigher: number;
}

export class BatchFormer<T extends RunnableStep> {
  private readonly shares: RankShares;

  constructor(
    private readonly limits: BatchLimits,
    reservedShares?: ReservedShares,
    shareHalfLifeMs?: number,
  ) {
    this.shares = new RankShares(reservedShares, shareHalfLifeMs);
  }

  setReservedShares(reserved: ReservedShares): void {
    this.shares.setShares(reserved);
  }

  /**
   * Picks from `runQueue`, which is in order of arrival, at most one step of
   * each request. Steps that are not picked, and the rest of a prompt of which
   * a part is picked, stay in the run queue.
   */
  form(runQueue: readonly T[], nowMs: number): BatchPick<T>[] {
    const byRank = RANKS.map(rank => runQueue.filter(s => s.rank === rank));
    // A rank keeps its entitlement in the batch in which it is served: counted
    // only while steps are left, it would fall short of its share.
    const present = byRank.map(steps => steps.length > 0);
    const highest = present.indexOf(true);
    const cursors = RANKS.map(() => 0);
    const picks: BatchPick<T>[] = [];
    let promptTokens = 0;
    let lowerPromptTokens = 0;
    while (picks.length < this.limits.maxSteps) {
      const left = byRank.map((steps, rank) => cursors[rank] < steps.length);
      const choice = this.shares.choose({free: left, reserved: left}, nowMs);
      if (!choice) break;
      const {rank} = choice;
      const step = byRank[rank][cursors[rank]++];
      const take = this.allowed(
        step.count,
        promptTokens,
        rank === highest ? undefined : lowerPromptTokens,
      );
      if (take === 0) continue;
      this.shares.charge(choice, take, present, nowMs);
      picks.push({step, take});
      if (step.count === 1) continue;
      promptTokens += take;
      if (rank !== highest) lowerPromptTokens += take;
    }
    return picks;
  }

  private allowed(
    count: number,
    promptTokens: number,
    lowerPromptTokens: number | undefined,
  ): number {
    if (count === 1) return 1;
    const {maxPromptTokens, promptTokensBesideHigher} = this.limits;
    const total = maxPromptTokens - promptTokens;
    if (lowerPromptTokens === undefined) return Math.min(count, total);
    const lower = promptTokensBesideHigher - lowerPromptTokens;
    return Math.max(Math.min(count, total, lower), 0);
  }
}

/** Sort key of ranks for engines with priorities: 0 is the most urgent. */
export function enginePriority(rank: Rank): number {
  return rankIndex(rank);
}
