/** Choice between ranks: the highest first, with reserved shares for others. */
import {RANKS} from '../ids/rank.js';

/** Reserved parts of the served cost, indexed by rank; the first is unused. */
export type ReservedShares = readonly number[];

/** Which ranks may be served now, indexed by rank. */
export interface EligibleRanks {
  /** In the normal order. */
  readonly free: readonly boolean[];
  /** On the reserved share; at least those of `free`. */
  readonly reserved: readonly boolean[];
}

export interface RankChoice {
  readonly rank: number;
  /** Whether the rank goes before a higher one on its reserved share. */
  readonly isReserved: boolean;
}

/** Urgent, ordinary, overnight; the operators' file may set others. */
export const DEFAULT_RESERVED_SHARES: ReservedShares = [0, 0.06, 0.02];

/**
 * Short enough that a rank which had idle capacity before an overload gets its
 * reserved share again after some seconds of it.
 */
export const DEFAULT_SHARE_HALF_LIFE_MS = 5_000;

/**
 * A waiting rank goes first while two accounts agree. Its part of the recently
 * served cost, with exponential decay, is below its share: a rank that was
 * just served from idle capacity has no claim. And its balance is positive:
 * what it was entitled to while it waited, minus what it was served before a
 * higher rank. The decayed part alone would serve a rank with a small share
 * and large requests above its share, because it forgets before the share has
 * caught up with the last request.
 */
export class RankShares {
  private readonly balances = RANKS.map(() => 0);
  /** Recently served cost, in tokens. */
  private readonly recent = RANKS.map(() => 0);
  private waitedBefore: readonly boolean[] = RANKS.map(() => false);
  private updatedAtMs = -Infinity;

  constructor(
    private shares: ReservedShares = DEFAULT_RESERVED_SHARES,
    private readonly halfLifeMs = DEFAULT_SHARE_HALF_LIFE_MS,
  ) {}

  /** Takes new shares from now on; earned balances and debts stay. */
  setShares(shares: ReservedShares): void {
    this.shares = shares;
  }

  /**
   * Chooses the rank to serve, by index. A rank that is eligible only for its
   * reserved share is chosen only before a higher eligible one.
   */
  choose(
    {free, reserved}: EligibleRanks,
    nowMs: number,
  ): RankChoice | undefined {
    this.decay(nowMs);
    let chosen: RankChoice | undefined;
    let largest = 0;
    for (let rank = reserved.indexOf(true) + 1; rank < RANKS.length; rank++) {
      if (!reserved[rank] || !this.isBelowShare(rank)) continue;
      const relative = this.balances[rank] / this.shares[rank];
      if (relative <= largest) continue;
      chosen = {rank, isReserved: true};
      largest = relative;
    }
    const highest = free.indexOf(true);
    if (chosen || highest < 0) return chosen;
    return {rank: highest, isReserved: false};
  }

  /**
   * Records service of `cost`. `waiting` is the state before it. Only service
   * on the reserved share creates debt, so that the use of idle capacity costs
   * nothing.
   */
  charge(
    {rank, isReserved}: RankChoice,
    cost: number,
    waiting: readonly boolean[],
    nowMs: number,
  ): void {
    this.decay(nowMs);
    this.accrue(cost, waiting);
    this.recent[rank] += cost;
    this.pay(rank, cost, isReserved);
    this.waitedBefore = [...waiting];
  }

  /** Corrects an earlier charge by `delta` tokens. */
  correct(
    {rank, isReserved}: RankChoice,
    delta: number,
    waiting: readonly boolean[],
  ): void {
    this.accrue(delta, waiting);
    this.recent[rank] = Math.max(this.recent[rank] + delta, 0);
    if (isReserved) this.pay(rank, delta, true);
  }

  private isBelowShare(rank: number): boolean {
    const total = this.recent.reduce((sum, cost) => sum + cost, 0);
    return this.recent[rank] < this.shares[rank] * total;
  }

  private accrue(cost: number, waiting: readonly boolean[]): void {
    waiting.forEach((waits, rank) => {
      if (waits) this.balances[rank] += this.shares[rank] * cost;
    });
  }

  private pay(rank: number, cost: number, mayOwe: boolean): void {
    const balance = this.balances[rank];
    const floor = mayOwe ? -Infinity : Math.min(balance, 0);
    this.balances[rank] = Math.max(balance - cost, floor);
  }

  /** Debt decays only while the rank does not wait; see the class comment. */
  private decay(nowMs: number): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    if (elapsedMs <= 0) return;
    const factor = 0.5 ** (elapsedMs / this.halfLifeMs);
    this.balances.forEach((balance, rank) => {
      this.recent[rank] *= factor;
      if (balance > 0 || !this.waitedBefore[rank]) {
        this.balances[rank] = balance * factor;
      }
    });
    this.updatedAtMs = nowMs;
  }
}
