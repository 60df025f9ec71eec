/** Rate of served tokens, smoothed over windows of fixed length. */
const WINDOW_MS = 500;

/** Weight of the newest window. */
const SMOOTHING = 0.3;

const MS_PER_SECOND = 1000;

export class RateMeter {
  private windowStartMs = 0;
  private windowTokens = 0;
  private smoothedPerSecond = 0;

  add(tokens: number, nowMs: number): void {
    this.roll(nowMs);
    this.windowTokens += tokens;
  }

  /** Returns 0 before the first complete window. */
  perSecond(nowMs: number): number {
    this.roll(nowMs);
    return this.smoothedPerSecond;
  }

  private roll(nowMs: number): void {
    const elapsedMs = nowMs - this.windowStartMs;
    if (elapsedMs < WINDOW_MS) return;
    // Idle time says nothing about the rate under load.
    if (this.windowTokens > 0 && elapsedMs < 2 * WINDOW_MS) {
      const rate = (this.windowTokens / elapsedMs) * MS_PER_SECOND;
      const isFirst = this.smoothedPerSecond === 0;
      const weight = isFirst ? 1 : SMOOTHING;
      this.smoothedPerSecond += (rate - this.smoothedPerSecond) * weight;
    }
    this.windowStartMs = nowMs;
    this.windowTokens = 0;
  }
}
