/** Times of recent requests to one server. Pure; times are arguments. */

/** Requests that are remembered at most; the oldest are dropped. */
const MAX_SENDS = 1024;

export class RecentSends {
  private times: number[] = [];

  constructor(private readonly maxAgeMs: number) {}

  add(nowMs: number): void {
    const isOld = (atMs: number) => nowMs - atMs > this.maxAgeMs;
    const isFull = this.times.length >= MAX_SENDS;
    if (isFull || (this.times.length > 0 && isOld(this.times[0]))) {
      this.times = this.times.filter(atMs => !isOld(atMs)).slice(1 - MAX_SENDS);
    }
    this.times.push(nowMs);
  }

  /** Number of requests at or after a time. */
  countSince(sinceMs: number): number {
    let count = 0;
    for (let i = this.times.length - 1; i >= 0; i--) {
      if (this.times[i] < sinceMs) break;
      count++;
    }
    return count;
  }
}
