/**
 * What an entry admits while requests wait for room: what it admits while
 * there is room tells nothing about how soon a request will get some. Pure.
 */

/** Span over which admissions are counted, in milliseconds. */
const WINDOW_MS = 1000;

/** After waiting for a shorter time than this no rate is known. */
const LEAST_SPAN_MS = 200;

interface Admitted {
  readonly atMs: number;
  readonly costTokens: number;
}

export interface AdmissionRate {
  readonly tokensPerMs: number;
  readonly requestsPerMs: number;
}

export class BusyRate {
  private admitted: Admitted[] = [];
  private busySinceMs: number | undefined;

  /** Requests wait for room. */
  noteBusy(nowMs: number): void {
    this.busySinceMs ??= nowMs;
  }

  /** Nothing waits and there is room. */
  noteRoom(): void {
    this.busySinceMs = undefined;
    this.admitted = [];
  }

  noteAdmitted(costTokens: number, nowMs: number): void {
    if (this.busySinceMs === undefined) return;
    this.admitted.push({atMs: nowMs, costTokens});
  }

  /** Undefined while there is room or before enough time has passed. */
  rate(nowMs: number): AdmissionRate | undefined {
    if (this.busySinceMs === undefined) return undefined;
    const spanMs = Math.min(WINDOW_MS, nowMs - this.busySinceMs);
    if (spanMs < LEAST_SPAN_MS) return undefined;
    this.admitted = this.admitted.filter(a => nowMs - a.atMs < WINDOW_MS);
    const tokens = this.admitted.reduce((sum, a) => sum + a.costTokens, 0);
    return {
      tokensPerMs: tokens / spanMs,
      requestsPerMs: this.admitted.length / spanMs,
    };
  }
}
