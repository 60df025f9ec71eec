/**
 * Requests that were released lately. A message that was delayed on a replaced
 * connection must not start the sequence of a released request again.
 */
import type {AttemptId, RequestId} from '@azurecrank/core';

/** Longer than a message can stay in the buffers of a replaced connection. */
const RETENTION_MS = 60_000;

interface Released {
  readonly attempt: AttemptId;
  readonly atMs: number;
}

export class ReleasedRequests {
  /** In the order of release, so that the oldest expire first. */
  private readonly requests = new Map<RequestId, Released>();

  add(request: RequestId, attempt: AttemptId): void {
    const earlier = this.requests.get(request);
    this.requests.delete(request);
    const newest = Math.max(earlier?.attempt ?? 0, attempt) as AttemptId;
    this.requests.set(request, {attempt: newest, atMs: performance.now()});
  }

  /** Whether this attempt of the request, or a later one, was released. */
  covers(request: RequestId, attempt: AttemptId): boolean {
    const released = this.requests.get(request);
    return released !== undefined && attempt <= released.attempt;
  }

  expire(nowMs: number): void {
    for (const [request, {atMs}] of this.requests) {
      if (nowMs - atMs < RETENTION_MS) return;
      this.requests.delete(request);
    }
  }
}
