/** Expected length of answers, from recent ones of the same service. */

/** Weight of one answer in the average. */
const SMOOTHING = 0.05;

export class ExpectedOutput<Key> {
  private readonly averages = new Map<Key, number>();

  /** Tokens to expect; the caller's limit while no answer was seen. */
  expect(key: Key, maxTokens: number): number {
    const average = this.averages.get(key) ?? maxTokens;
    return Math.min(Math.ceil(average), maxTokens);
  }

  /** Takes the length of a finished answer. */
  observe(key: Key, tokens: number): void {
    const average = this.averages.get(key) ?? tokens;
    this.averages.set(key, average + (tokens - average) * SMOOTHING);
  }
}
