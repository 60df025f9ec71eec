/**
 * Schedules when refused callers should retry: spread over time at a rate that
 * can be served besides new requests, so that they do not all return during the
 * overload for which they were refused. Pure.
 */

/** Minimum delay; most chains that lost a server have recovered by then. */
const MIN_RETRY_DELAY_MS = 1000;

/** Fraction of the admission rate that is planned for retries. */
const RETRY_RATE_FRACTION = 0.5;

/**
 * Maximum delay as a fraction of the caller's remaining time. Callers accept up
 * to a third of it (users' protocol).
 */
const MAX_REMAINING_TIME_FRACTION = 0.3;

export class RetryAfterSchedule {
  private lastRetryAtMs = -Infinity;

  /**
   * Returns the time in milliseconds after which the caller should retry.
   * @param remainingMs time until the caller's deadline
   * @param requestsPerMs current rate of admissions
   * @param minDelayMs time within which no request can be served
   */
  nextDelayMs(
    nowMs: number,
    remainingMs: number,
    requestsPerMs: number,
    minDelayMs = 0,
  ): number {
    const earliestMs = Math.max(MIN_RETRY_DELAY_MS, minDelayMs);
    const maxDelayMs = Math.max(
      earliestMs,
      remainingMs * MAX_REMAINING_TIME_FRACTION,
    );
    const spacingMs =
      1 / Math.max(requestsPerMs * RETRY_RATE_FRACTION, 1 / maxDelayMs);
    const atMs = Math.min(
      Math.max(nowMs + earliestMs, this.lastRetryAtMs + spacingMs),
      nowMs + maxDelayMs,
    );
    this.lastRetryAtMs = Math.max(this.lastRetryAtMs, atMs);
    return Math.ceil(atMs - nowMs);
  }
}
