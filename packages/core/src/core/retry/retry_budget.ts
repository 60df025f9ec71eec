/** Bounds the retries of a process to a share of its successful requests. */
export interface RetryBudgetOptions {
  /** Tokens gained by each success (design, section 6: 10%). */
  readonly perSuccess: number;
  /** Tokens gained per second, so that an idle process can retry at all. */
  readonly perSecond: number;
  /**
   * Largest number of tokens kept; bounds the burst after a quiet time. At 3
   * requests per second and entry and answers of 30 s, a lost zone of three
   * interrupts about 30 streams of an entry at once.
   */
  readonly capacity: number;
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  perSuccess: 0.1,
  perSecond: 1,
  capacity: 50,
};

export class RetryBudget {
  private tokens: number;
  private updatedAtMs: number;
  private readonly options: RetryBudgetOptions;

  constructor(nowMs: number, options: Partial<RetryBudgetOptions> = {}) {
    this.options = {...DEFAULT_RETRY_BUDGET, ...options};
    this.tokens = this.options.capacity;
    this.updatedAtMs = nowMs;
  }

  succeeded(nowMs: number): void {
    this.refill(nowMs);
    this.add(this.options.perSuccess);
  }

  /** Takes one token; returns false and takes nothing when there is none. */
  take(nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  available(nowMs: number): number {
    this.refill(nowMs);
    return this.tokens;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.updatedAtMs = Math.max(nowMs, this.updatedAtMs);
    this.add((elapsedMs / 1000) * this.options.perSecond);
  }

  private add(tokens: number): void {
    this.tokens = Math.min(this.options.capacity, this.tokens + tokens);
  }
}
