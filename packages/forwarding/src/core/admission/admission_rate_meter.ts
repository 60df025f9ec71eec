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

export interface AdmissionRate {
  readonly tokensPerMs: number;
  readonly requestsPerMs: number;
}

export class AdmissionRateMeter {
  private recentAdmissions: Admission[] = [];
  private measuringSinceMs: number | undefined;

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

  /** Returns undefined if not measuring, or not for long enough yet. */
  rate(nowMs: number): AdmissionRate | undefined {
    if (this.measuringSinceMs === undefined) return undefined;
    const spanMs = Math.min(WINDOW_MS, nowMs - this.measuringSinceMs);
    if (spanMs < MIN_SPAN_MS) return undefined;
    this.recentAdmissions = this.recentAdmissions.filter(
      a => nowMs - a.atMs < WINDOW_MS,
    );
    const tokens = this.recentAdmissions.reduce(
      (sum, a) => sum + a.costTokens,
      0,
    );
    return {
      tokensPerMs: tokens / spanMs,
      requestsPerMs: this.recentAdmissions.length / spanMs,
    };
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
    if (this.measuringSinceMs === undefined) return priorTokens / priorMs;
    const spanMs = Math.min(WINDOW_MS, nowMs - this.measuringSinceMs);
    const tokens = this.recentAdmissions
      .filter(({atMs}) => nowMs - atMs < WINDOW_MS)
      .reduce((sum, {costTokens}) => sum + costTokens, 0);
    return (tokens + priorTokens) / (spanMs + priorMs);
  }
}
