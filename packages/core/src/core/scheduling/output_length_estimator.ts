/** Estimates the length of answers from recent answers with the same key. */

/** Weight of one answer in the exponential moving average. */
const SMOOTHING_FACTOR = 0.05;

export class OutputLengthEstimator<Key> {
  private readonly averages = new Map<Key, number>();

  /** Expected output tokens; `maxTokens` until an answer has been observed. */
  expectedTokens(key: Key, maxTokens: number): number {
    const average = this.averages.get(key) ?? maxTokens;
    return Math.min(Math.ceil(average), maxTokens);
  }

  /** Adds the length of a finished answer to the average. */
  observe(key: Key, tokens: number): void {
    const average = this.averages.get(key) ?? tokens;
    this.averages.set(key, average + (tokens - average) * SMOOTHING_FACTOR);
  }
}
