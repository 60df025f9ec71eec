/**
 * Records whether the store answers the calls of this entry, to tell an outage
 * of the store from the loss of one connection. Pure; times are arguments.
 */
export class StoreContact {
  private lastResponseAtMs = -Infinity;
  private hasFailedSince = false;
  /** End of the last outage in which registrations may have expired. */
  private lastOutageEndedAtMs = -Infinity;

  /** @param minOutageMs outages below this let no registration expire */
  constructor(private readonly minOutageMs: number) {}

  recordResponse(nowMs: number): void {
    if (this.isOutage(nowMs)) this.lastOutageEndedAtMs = nowMs;
    this.lastResponseAtMs = nowMs;
    this.hasFailedSince = false;
  }

  recordFailure(): void {
    this.hasFailedSince = true;
  }

  /**
   * Whether registrations may have expired after `sinceMs` only because the
   * store could not be reached.
   */
  mayHaveExpiredSince(sinceMs: number, nowMs: number): boolean {
    return this.lastOutageEndedAtMs > sinceMs || this.isOutage(nowMs);
  }

  private isOutage(nowMs: number): boolean {
    return (
      this.hasFailedSince && nowMs - this.lastResponseAtMs >= this.minOutageMs
    );
  }
}
