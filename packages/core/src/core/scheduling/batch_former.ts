/** Selects the steps that run in the next batch of one engine. */
import type {RequestId} from '../ids/ids.js';
import {RANKS, rankIndex, type Rank} from '../ids/rank.js';
import {RankShares, type ReservedShares} from './rank_shares.js';

/** A step in the run queue of a stage. */
export interface RunnableStep {
  readonly request: RequestId;
  readonly rank: Rank;
  /** Token positions left to run: 1 for a decode step, more for a prompt. */
  readonly count: number;
}

export interface PickedStep<T> {
  readonly step: T;
  /** Token positions of the step to run in this batch, at most `step.count`. */
  readonly positionsToRun: number;
}

export interface BatchLimits {
  /** Highest number of steps, and so of sequences, in one batch. */
  readonly maxSteps: number;
  /** Highest number of prompt tokens in one batch, over all ranks. */
  readonly maxPromptTokens: number;
  /**
   * Highest number of prompt tokens of lower ranks in a batch while a higher
   * rank has a step waiting. Bounds the delay that a long overnight prompt
   * causes to an urgent step.
   */
  readonly maxLowerRankPromptTokens: number;
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
   * Selects steps from `runQueue`, which is in order of arrival and holds at
   * most one step of each request. The caller keeps steps that are not
   * selected, and the rest of a partly selected prompt, in the run queue.
   */
  form(runQueue: readonly T[], nowMs: number): PickedStep<T>[] {
    const byRank = RANKS.map(rank => runQueue.filter(s => s.rank === rank));
    // A rank accrues its reserved share over the whole batch. If it accrued
    // only while it has steps left, it would get less than its share.
    const hadSteps = byRank.map(steps => steps.length > 0);
    const highestRank = hadSteps.indexOf(true);
    const nextIndexes = RANKS.map(() => 0);
    const picks: PickedStep<T>[] = [];
    let promptTokens = 0;
    let lowerPromptTokens = 0;
    while (picks.length < this.limits.maxSteps) {
      const hasStepsLeft = byRank.map(
        (steps, rank) => nextIndexes[rank] < steps.length,
      );
      const choice = this.shares.choose(
        {byPriority: hasStepsLeft, onReservedShare: hasStepsLeft},
        nowMs,
      );
      if (!choice) break;
      const {rank} = choice;
      const step = byRank[rank][nextIndexes[rank]++];
      const positionsToRun = this.allowedPositions(
        step.count,
        promptTokens,
        rank === highestRank ? undefined : lowerPromptTokens,
      );
      if (positionsToRun === 0) continue;
      this.shares.charge(choice, positionsToRun, hadSteps, nowMs);
      picks.push({step, positionsToRun: positionsToRun});
      if (step.count === 1) continue;
      promptTokens += positionsToRun;
      if (rank !== highestRank) lowerPromptTokens += positionsToRun;
    }
    return picks;
  }

  /**
   * Token positions of a step that still fit into the batch.
   * `lowerPromptTokens` is undefined for the highest rank with steps.
   */
  private allowedPositions(
    count: number,
    promptTokens: number,
    lowerPromptTokens: number | undefined,
  ): number {
    if (count === 1) return 1;
    const {maxPromptTokens, maxLowerRankPromptTokens} = this.limits;
    const remaining = maxPromptTokens - promptTokens;
    if (lowerPromptTokens === undefined) return Math.min(count, remaining);
    const remainingForLower = maxLowerRankPromptTokens - lowerPromptTokens;
    return Math.max(Math.min(count, remaining, remainingForLower), 0);
  }
}

/** Priority of a rank for engines that schedule by priority; 0 is highest. */
export function enginePriority(rank: Rank): number {
  return rankIndex(rank);
}
