/** Measures the rate of served tokens with an average over time windows. */

/** Minimum length of a window. */
const WINDOW_MS = 500;

/** Windows of this many lengths or more contain idle time and do not count. */
const MAX_WINDOW_LENGTHS = 2;

/** Weight of the newest window in the moving average (0 to 1). */
const SMOOTHING_FACTOR = 0.3;

const MS_PER_SECOND = 1000;

export class TokenRateMeter {
  private windowStartMs = 0;
  private windowTokens = 0;
  private smoothedTokensPerSecond = 0;

  add(tokens: number, nowMs: number): void {
    this.closeElapsedWindow(nowMs);
    this.windowTokens += tokens;
  }

  /** Returns the average rate, or 0 before the first complete window. */
  tokensPerSecond(nowMs: number): number {
    this.closeElapsedWindow(nowMs);
    return this.smoothedTokensPerSecond;
  }

  private closeElapsedWindow(nowMs: number): void {
    const elapsedMs = nowMs - this.windowStartMs;
    if (elapsedMs < WINDOW_MS) return;
    // The rate is meant under load, so windows with idle time do not count.
    if (this.windowTokens > 0 && elapsedMs < MAX_WINDOW_LENGTHS * WINDOW_MS) {
      const rate = (this.windowTokens / elapsedMs) * MS_PER_SECOND;
      const isFirst = this.smoothedTokensPerSecond === 0;
      const weight = isFirst ? 1 : SMOOTHING_FACTOR;
      this.smoothedTokensPerSecond +=
        (rate - this.smoothedTokensPerSecond) * weight;
    }
    this.windowStartMs = nowMs;
    this.windowTokens = 0;
  }
}
