/** Counts events within a sliding window. Pure; times are arguments. */

/** Number of parts of the window; the oldest part expires as a whole. */
const PARTS = 40;

export class WindowCounter {
  private readonly partMs: number;
  /** Count of each part, by its index since time 0. */
  private readonly counts = new Map<number, number>();
  private sum = 0;

  constructor(windowMs: number) {
    this.partMs = windowMs / PARTS;
  }

  add(nowMs: number): void {
    const part = this.expire(nowMs);
    this.counts.set(part, (this.counts.get(part) ?? 0) + 1);
    this.sum++;
  }

  /** Returns the number of events within at least the window. */
  total(nowMs: number): number {
    this.expire(nowMs);
    return this.sum;
  }

  /** Drops the parts before the window and returns the current part. */
  private expire(nowMs: number): number {
    const part = Math.floor(nowMs / this.partMs);
    for (const [old, count] of this.counts) {
      if (old >= part - PARTS) break;
      this.counts.delete(old);
      this.sum -= count;
    }
    return part;
  }
}
