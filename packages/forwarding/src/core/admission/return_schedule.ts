/**
 * When refused callers should come back: one after another, as fast as they
 * can be served beside the others, and not all in the middle of the shortage
 * that they were refused for. Pure.
 */

/** Chains that have lost a server are mostly back after this time. */
const FIRST_RETURN_MS = 1000;

/** Part of the admitted requests that may be ones that come back. */
const RETURN_SHARE = 0.5;

/** Callers wait up to a third of their time (the users' protocol). */
const MOST_OF_TIME_LEFT = 0.3;

export class ReturnSchedule {
  private lastReturnAtMs = -Infinity;

  /**
   * Returns the time in milliseconds after which the caller should come back.
   * @param leftMs what is left of the caller's time
   * @param requestsPerMs what is being admitted
   */
  next(nowMs: number, leftMs: number, requestsPerMs: number): number {
    const mostMs = Math.max(FIRST_RETURN_MS, leftMs * MOST_OF_TIME_LEFT);
    const spacingMs = 1 / Math.max(requestsPerMs * RETURN_SHARE, 1 / mostMs);
    const atMs = Math.min(
      Math.max(nowMs + FIRST_RETURN_MS, this.lastReturnAtMs + spacingMs),
      nowMs + mostMs,
    );
    this.lastReturnAtMs = Math.max(this.lastReturnAtMs, atMs);
    return Math.round(atMs - nowMs);
  }
}
