/** Chooses the rank to serve: the highest first, others on reserved shares. */
import {RANKS} from '../ids/rank.js';

/**
 * Fractions of the served cost that are reserved for each rank, indexed by
 * rank. The entry of the highest rank is unused.
 */
export type ReservedShares = readonly number[];

/** Which ranks may be served now, indexed by rank. */
export interface EligibleRanks {
  /** Ranks that may be served in order of priority. */
  readonly byPriority: readonly boolean[];
  /** Ranks that may be served on their reserved share, at least `byPriority`. */
  readonly onReservedShare: readonly boolean[];
}

export interface RankChoice {
  readonly rank: number;
  /** Whether the rank is served before a higher one on its reserved share. */
  readonly isReserved: boolean;
}

/** For urgent, ordinary and overnight; the operators' file can set others. */
export const DEFAULT_RESERVED_SHARES: ReservedShares = [0, 0.06, 0.02];

/**
 * Half-life of the recently served cost. Short enough that a rank which was
 * served from idle capacity before an overload gets its reserved share within
 * seconds after the overload starts.
 */
export const DEFAULT_SHARE_HALF_LIFE_MS = 5_000;

/**
 * A waiting rank is served before higher ranks while two conditions hold:
 *
 * - Its fraction of the recently served cost, with exponential decay, is below
 *   its share. So a rank that was just served from idle capacity has to wait.
 * - Its balance is positive: the share it accrued while it waited, minus the
 *   cost it was served before a higher rank.
 *
 * The first condition alone would give more than its share to a rank with a
 * small share and large requests, because the cost of a request decays before
 * the share has made up for it.
 */
export class RankShares {
  /** Accrued, unused share in tokens, indexed by rank; negative is a debt. */
  private readonly balances = RANKS.map(() => 0);
  /** Served cost in tokens with exponential decay, indexed by rank. */
  private readonly recentCosts = RANKS.map(() => 0);
  private wasWaiting: readonly boolean[] = RANKS.map(() => false);
  private updatedAtMs = -Infinity;

  constructor(
    private shares: ReservedShares = DEFAULT_RESERVED_SHARES,
    private readonly halfLifeMs = DEFAULT_SHARE_HALF_LIFE_MS,
  ) {}

  /** Replaces the shares; balances accrued under the old ones stay. */
  setShares(shares: ReservedShares): void {
    this.shares = shares;
  }

  /**
   * Returns the rank to serve, if any. A rank that is eligible only on its
   * reserved share is chosen only before a higher eligible rank.
   */
  choose(
    {byPriority, onReservedShare}: EligibleRanks,
    nowMs: number,
  ): RankChoice | undefined {
    this.decay(nowMs);
    let chosen: RankChoice | undefined;
    let largestRelativeBalance = 0;
    for (
      let rank = onReservedShare.indexOf(true) + 1;
      rank < RANKS.length;
      rank++
    ) {
      if (!onReservedShare[rank] || !this.isBelowShare(rank)) continue;
      const relativeBalance = this.balances[rank] / this.shares[rank];
      if (relativeBalance <= largestRelativeBalance) continue;
      chosen = {rank, isReserved: true};
      largestRelativeBalance = relativeBalance;
    }
    const highest = byPriority.indexOf(true);
    if (chosen || highest < 0) return chosen;
    return {rank: highest, isReserved: false};
  }

  /**
   * Charges the chosen rank for `cost` tokens. `waiting` tells which ranks
   * waited before the service. Only service on the reserved share can make a
   * balance negative, so a rank does not pay for using idle capacity.
   */
  charge(
    {rank, isReserved}: RankChoice,
    cost: number,
    waiting: readonly boolean[],
    nowMs: number,
  ): void {
    this.decay(nowMs);
    this.accrue(cost, waiting);
    this.recentCosts[rank] += cost;
    this.debit(rank, cost, isReserved);
    this.wasWaiting = [...waiting];
  }

  /** Corrects an earlier charge by `delta` tokens. */
  correct(
    {rank, isReserved}: RankChoice,
    delta: number,
    waiting: readonly boolean[],
  ): void {
    this.accrue(delta, waiting);
    this.recentCosts[rank] = Math.max(this.recentCosts[rank] + delta, 0);
    if (isReserved) this.debit(rank, delta, true);
  }

  private isBelowShare(rank: number): boolean {
    const total = this.recentCosts.reduce((sum, cost) => sum + cost, 0);
    return this.recentCosts[rank] < this.shares[rank] * total;
  }

  private accrue(cost: number, waiting: readonly boolean[]): void {
    waiting.forEach((waits, rank) => {
      if (waits) this.balances[rank] += this.shares[rank] * cost;
    });
  }

  private debit(rank: number, cost: number, mayGoNegative: boolean): void {
    const balance = this.balances[rank];
    const floor = mayGoNegative ? -Infinity : Math.min(balance, 0);
    this.balances[rank] = Math.max(balance - cost, floor);
  }

  /**
   * Decays recent costs and balances. A negative balance of a waiting rank does
   * not decay, because it would then be served above its share.
   */
  private decay(nowMs: number): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    if (elapsedMs <= 0) return;
    const factor = 0.5 ** (elapsedMs / this.halfLifeMs);
    this.balances.forEach((balance, rank) => {
      this.recentCosts[rank] *= factor;
      if (balance > 0 || !this.wasWaiting[rank]) {
        this.balances[rank] = balance * factor;
      }
    });
    this.updatedAtMs = nowMs;
  }
}
