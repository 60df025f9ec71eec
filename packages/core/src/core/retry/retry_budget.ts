/** Limits the retries of a process to a fraction of its successful requests. */
export interface RetryBudgetOptions {
  /** Retry tokens added by each success (design, section 6: 10%). */
  readonly perSuccess: number;
  /** Retry tokens added per second, so that an idle process can retry. */
  readonly perSecond: number;
  /**
   * Highest number of tokens; bounds the burst of retries after a quiet time.
   * With 3 requests per second per entry process and answers of 30 s, the loss
   * of one of three availability zones interrupts about 30 streams of an entry
   * process at once.
   */
  readonly capacity: number;
}

export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = {
  perSuccess: 0.1,
  perSecond: 1,
  capacity: 50,
};

/** Token bucket; each retry uses one token. */
export class RetryBudget {
  private tokens: number;
  private updatedAtMs: number;
  private readonly options: RetryBudgetOptions;

  constructor(nowMs: number, options: Partial<RetryBudgetOptions> = {}) {
    this.options = {...DEFAULT_RETRY_BUDGET_OPTIONS, ...options};
    this.tokens = this.options.capacity;
    this.updatedAtMs = nowMs;
  }

  recordSuccess(nowMs: number): void {
    this.refill(nowMs);
    this.add(this.options.perSuccess);
  }

  /** Uses one token and returns true, or returns false if there is none. */
  tryAcquire(nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  availableTokens(nowMs: number): number {
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
