/**
 * Recently released requests. An input that was delayed on a replaced
 * connection must not create the sequence of a released request again.
 */
import type {AttemptId, RequestId} from '@azurecrank/core';

/** Exceeds the time that a replaced connection can buffer a message. */
const RELEASE_RETENTION_MS = 60_000;

interface ReleaseRecord {
  /** The latest released attempt. */
  readonly attempt: AttemptId;
  readonly atMs: number;
}

export class ReleasedRequests {
  /** In order of release, so that the oldest records expire first. */
  private readonly requests = new Map<RequestId, ReleaseRecord>();

  add(request: RequestId, attempt: AttemptId): void {
    const earlier = this.requests.get(request);
    this.requests.delete(request);
    const newest = Math.max(earlier?.attempt ?? 0, attempt) as AttemptId;
    this.requests.set(request, {attempt: newest, atMs: performance.now()});
  }

  /** Whether this attempt of the request or a later one was released. */
  wasReleased(request: RequestId, attempt: AttemptId): boolean {
    const released = this.requests.get(request);
    return released !== undefined && attempt <= released.attempt;
  }

  removeExpired(nowMs: number): void {
    for (const [request, {atMs}] of this.requests) {
      if (nowMs - atMs < RELEASE_RETENTION_MS) return;
      this.requests.delete(request);
    }
  }
}
