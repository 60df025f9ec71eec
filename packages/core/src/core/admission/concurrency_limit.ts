/** Limit of running sequences that adapts to the observed step latency. */
export interface ConcurrencyLimitOptions {
  readonly min: number;
  readonly max: number;
  readonly initial?: number;
  /**
   * Step latency up to this multiple of the lowest recent one is accepted as
   * the normal growth with the batch.
   */
  readonly tolerance?: number;
  /** Two windows are kept, so the lowest latency is 1 to 2 windows old. */
  readonly windowMs?: number;
}

const DEFAULT_TOLERANCE = 2;
const DEFAULT_WINDOW_MS = 30_000;
/** Weight of one observation in the recent latency. */
const LATENCY_SMOOTHING = 0.1;
/** Part of the way to the new limit that one observation moves. */
const LIMIT_SMOOTHING = 0.1;
/** One observation lowers the target by at most half. */
const MIN_GRADIENT = 0.5;
/**
 * Highest growth of the reference per window. Under lasting overload every
 * latency in the window is high; without this bound it would become the
 * reference within a window and the limit would rise to its maximum.
 */
const MAX_REFERENCE_GROWTH = 1.1;

export class ConcurrencyLimit {
  private readonly options: Required<ConcurrencyLimitOptions>;
  private limitNow: number;
  private recentMs = 0;
  private referenceMs = Infinity;
  private windowLowestMs = Infinity;
  private windowEndsAtMs = -Infinity;

  constructor(options: ConcurrencyLimitOptions) {
    this.options = {
      initial: options.max,
      tolerance: DEFAULT_TOLERANCE,
      windowMs: DEFAULT_WINDOW_MS,
      ...options,
    };
    this.limitNow = this.clamp(this.options.initial);
  }

  /** Sequences that may run now. */
  get limit(): number {
    return Math.floor(this.limitNow);
  }

  /** Recent step latency in milliseconds; 0 before the first step. */
  get stepMs(): number {
    return this.recentMs;
  }

  /** Takes the latency of one decode step while `running` sequences ran. */
  observe(stepMs: number, running: number, nowMs: number): void {
    if (!(stepMs > 0)) return;
    this.recentMs += (stepMs - this.recentMs) * this.smoothing();
    this.updateReference(stepMs, nowMs);
    const {tolerance} = this.options;
    const ratio = (tolerance * this.referenceMs) / this.recentMs;
    const gradient = Math.min(Math.max(ratio, MIN_GRADIENT), 1);
    const target = this.limitNow * gradient + Math.sqrt(this.limitNow);
    // A limit that is not in use says nothing about a higher one.
    if (target > this.limitNow && running < this.limitNow / 2) return;
    const step = (target - this.limitNow) * LIMIT_SMOOTHING;
    this.limitNow = this.clamp(this.limitNow + step);
  }

  /** Forgets the latencies, for example after a new layer range was loaded. */
  reset(): void {
    this.recentMs = 0;
    this.referenceMs = Infinity;
    this.windowLowestMs = Infinity;
    this.windowEndsAtMs = -Infinity;
    this.limitNow = this.clamp(this.options.initial);
  }

  private smoothing(): number {
    return this.recentMs === 0 ? 1 : LATENCY_SMOOTHING;
  }

  private updateReference(stepMs: number, nowMs: number): void {
    if (nowMs >= this.windowEndsAtMs) {
      if (this.windowLowestMs < Infinity) {
        const highestMs = this.referenceMs * MAX_REFERENCE_GROWTH;
        this.referenceMs = Math.min(this.windowLowestMs, highestMs);
      }
      this.windowLowestMs = Infinity;
      this.windowEndsAtMs = nowMs + this.options.windowMs;
    }
    this.windowLowestMs = Math.min(this.windowLowestMs, stepMs);
    this.referenceMs = Math.min(this.referenceMs, stepMs);
  }

  private clamp(limit: number): number {
    return Math.min(Math.max(limit, this.options.min), this.options.max);
  }
}
