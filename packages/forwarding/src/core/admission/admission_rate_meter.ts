/**
 * Measures the rate of admissions while requests wait for KV-cache tokens. The
 * rate while tokens are free does not show how long a request would wait. Pure.
 */

/** Span over which admissions are counted. */
const WINDOW_MS = 1000;

/** Minimum span of measurement before a rate is known. */
const MIN_SPAN_MS = 200;

/**
 * Weight of the expected rate in an estimate, in requests: an entry of many
 * admits too few requests in the window to measure a rate by itself.
 */
const PRIOR_REQUESTS = 2;

interface Admission {
  readonly atMs: number;
  readonly costTokens: number;
}

export class AdmissionRateMeter {
  private recentAdmissions: Admission[] = [];
  private measuringSinceMs: number | undefined;

  get isMeasuring(): boolean {
    return this.measuringSinceMs !== undefined;
  }

  /** Starts measuring, unless already started: requests are waiting. */
  startMeasuring(nowMs: number): void {
    this.measuringSinceMs ??= nowMs;
  }

  /** Discards the measurement: no request waits and tokens are free. */
  stopMeasuring(): void {
    this.measuringSinceMs = undefined;
    this.recentAdmissions = [];
  }

  recordAdmission(costTokens: number, nowMs: number): void {
    if (this.measuringSinceMs === undefined) return;
    this.recentAdmissions.push({atMs: nowMs, costTokens});
  }

  /** Requests admitted a millisecond; 0 if too little was measured yet. */
  requestsPerMs(nowMs: number): number {
    const spanMs = this.measuredSpanMs(nowMs);
    if (spanMs < MIN_SPAN_MS) return 0;
    return this.admissionsInWindow(nowMs).length / spanMs;
  }

  /**
   * Estimates the rate of admissions in tokens a millisecond, from those that
   * were measured and from the expected rate.
   * @param requestTokens tokens of a typical request
   */
  estimateTokensPerMs(
    expectedTokensPerMs: number,
    requestTokens: number,
    nowMs: number,
  ): number {
    const priorTokens = PRIOR_REQUESTS * requestTokens;
    const priorMs = priorTokens / expectedTokensPerMs;
    const tokens = this.admissionsInWindow(nowMs).reduce(
      (sum, {costTokens}) => sum + costTokens,
      0,
    );
    return (tokens + priorTokens) / (this.measuredSpanMs(nowMs) + priorMs);
  }

  private measuredSpanMs(nowMs: number): number {
    return Math.min(WINDOW_MS, nowMs - (this.measuringSinceMs ?? nowMs));
  }

  private admissionsInWindow(nowMs: number): readonly Admission[] {
    this.recentAdmissions = this.recentAdmissions.filter(
      ({atMs}) => nowMs - atMs < WINDOW_MS,
    );
    return this.recentAdmissions;
  }
}
