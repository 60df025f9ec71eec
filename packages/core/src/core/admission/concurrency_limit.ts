/** Limits the number of running sequences by the observed step latency. */
export interface ConcurrencyLimitOptions {
  readonly minLimit: number;
  readonly maxLimit: number;
  readonly initialLimit?: number;
  /**
   * Multiple of the reference latency up to which the limit is not lowered.
   * Step latency normally grows with the batch.
   */
  readonly latencyToleranceFactor?: number;
  /**
   * Length of the windows whose lowest latency becomes the reference. The
   * reference is carried over to the next window, so it is up to 2 windows old.
   */
  readonly windowMs?: number;
}

const DEFAULT_LATENCY_TOLERANCE_FACTOR = 2;
const DEFAULT_WINDOW_MS = 30_000;
/** Weight of one observation in the moving average of the step latency. */
const LATENCY_SMOOTHING_FACTOR = 0.1;
/** Fraction of the distance to the target by which one observation moves. */
const LIMIT_SMOOTHING_FACTOR = 0.1;
/** Lowest ratio of the target to the limit, before the square root is added. */
const MIN_GRADIENT = 0.5;
/**
 * Highest growth of the reference latency per window. Under lasting overload
 * all latencies of a window are high. Without this bound they would become the
 * reference after one window, and the limit would rise to its maximum.
 */
const MAX_REFERENCE_GROWTH_FACTOR = 1.1;

export class ConcurrencyLimit {
  private readonly options: Required<ConcurrencyLimitOptions>;
  private currentLimit: number;
  /** Moving average of the step latency. */
  private averageStepMs = 0;
  /** Step latency without overload, against which the average is compared. */
  private referenceStepMs = Infinity;
  /** Lowest step latency of the running window. */
  private windowMinStepMs = Infinity;
  private windowEndsAtMs = -Infinity;

  constructor(options: ConcurrencyLimitOptions) {
    this.options = {
      initialLimit: options.maxLimit,
      latencyToleranceFactor: DEFAULT_LATENCY_TOLERANCE_FACTOR,
      windowMs: DEFAULT_WINDOW_MS,
      ...options,
    };
    this.currentLimit = this.clamp(this.options.initialLimit);
  }

  /** Number of sequences that may run at once. */
  get limit(): number {
    return Math.floor(this.currentLimit);
  }

  /** Average step latency in milliseconds; 0 before the first step. */
  get stepMs(): number {
    return this.averageStepMs;
  }

  /**
   * Adjusts the limit to the latency of one decode step, in which `running`
   * sequences took part.
   */
  observe(stepMs: number, running: number, nowMs: number): void {
    if (!(stepMs > 0)) return;
    this.averageStepMs +=
      (stepMs - this.averageStepMs) * this.latencySmoothingFactor();
    this.updateReference(stepMs, nowMs);
    const {latencyToleranceFactor} = this.options;
    const ratio =
      (latencyToleranceFactor * this.referenceStepMs) / this.averageStepMs;
    const gradient = Math.min(Math.max(ratio, MIN_GRADIENT), 1);
    const targetLimit =
      this.currentLimit * gradient + Math.sqrt(this.currentLimit);
    // While less than half of the limit is in use, low latency does not show
    // that a higher limit is safe.
    if (targetLimit > this.currentLimit && running < this.currentLimit / 2)
      return;
    const change = (targetLimit - this.currentLimit) * LIMIT_SMOOTHING_FACTOR;
    this.currentLimit = this.clamp(this.currentLimit + change);
  }

  /** Discards all latencies, for example after loading another layer range. */
  reset(): void {
    this.averageStepMs = 0;
    this.referenceStepMs = Infinity;
    this.windowMinStepMs = Infinity;
    this.windowEndsAtMs = -Infinity;
    this.currentLimit = this.clamp(this.options.initialLimit);
  }

  private latencySmoothingFactor(): number {
    return this.averageStepMs === 0 ? 1 : LATENCY_SMOOTHING_FACTOR;
  }

  private updateReference(stepMs: number, nowMs: number): void {
    if (nowMs >= this.windowEndsAtMs) {
      if (this.windowMinStepMs < Infinity) {
        const maxReferenceMs =
          this.referenceStepMs * MAX_REFERENCE_GROWTH_FACTOR;
        this.referenceStepMs = Math.min(this.windowMinStepMs, maxReferenceMs);
      }
      this.windowMinStepMs = Infinity;
      this.windowEndsAtMs = nowMs + this.options.windowMs;
    }
    this.windowMinStepMs = Math.min(this.windowMinStepMs, stepMs);
    this.referenceStepMs = Math.min(this.referenceStepMs, stepMs);
  }

  private clamp(limit: number): number {
    return Math.min(
      Math.max(limit, this.options.minLimit),
      this.options.maxLimit,
    );
  }
}
