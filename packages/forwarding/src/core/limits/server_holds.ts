/**
 * Servers that refused a request and asked this entry to send no more for some
 * time. The first request after that time is a trial; others wait until it is
 * answered. Each entry has its own holds. Pure; times are arguments.
 */
import {
  isSameIncarnation,
  type BackendServer,
  type ServerAddress,
} from '../fleet/backend_server.js';

/** The part of a response that says for how long a server takes nothing. */
export interface HoldRequest {
  readonly retryAfterMs: number | undefined;
  readonly faultyAddress: ServerAddress | undefined;
}

/** Longest hold, in case a server asks for an absurd time. */
const MAX_HOLD_MS = 3_600_000;

/** Time for which the answer to a trial request is awaited. */
const TRIAL_TIMEOUT_MS = 1000;

/** Time after a hold from which no trial is needed any more. */
const HOLD_MEMORY_MS = 5000;

interface Hold {
  /** The incarnation that asked for the hold. */
  readonly server: BackendServer;
  readonly endsAtMs: number;
  trialEndsAtMs: number;
}

export class ServerHolds {
  private readonly holds = new Map<ServerAddress, Hold>();

  /** @param onHold called when a hold begins, not when it is prolonged */
  constructor(
    private readonly onHold: (address: ServerAddress, holdMs: number) => void,
  ) {}

  /**
   * Applies a response to a request.
   * @param servers those that the request passes, beginning with the one that
   *     it was sent to
   */
  observe(
    servers: readonly BackendServer[],
    {retryAfterMs, faultyAddress}: HoldRequest,
    nowMs: number,
  ): void {
    if (!retryAfterMs) return;
    const holdMs = Math.min(retryAfterMs, MAX_HOLD_MS);
    // The first server answered, and may speak for one that it passed on to.
    this.hold(servers[0], holdMs, nowMs);
    const named = servers.find(({address}) => address === faultyAddress);
    if (named && named !== servers[0]) this.hold(named, holdMs, nowMs);
  }

  /** Whether this entry may send the server a request now. */
  maySend(server: BackendServer, nowMs: number): boolean {
    const hold = this.find(server, nowMs);
    if (!hold) return true;
    return nowMs >= hold.endsAtMs && nowMs >= hold.trialEndsAtMs;
  }

  /** Time for which the server wants no requests; 0 if it takes them. */
  remainingMs(server: BackendServer, nowMs: number): number {
    const endsAtMs = this.find(server, nowMs)?.endsAtMs ?? nowMs;
    return Math.max(0, endsAtMs - nowMs);
  }

  /** Records a request to or through a server. */
  recordSend(server: BackendServer, nowMs: number): void {
    const hold = this.find(server, nowMs);
    if (!hold || nowMs < hold.endsAtMs) return;
    hold.trialEndsAtMs = nowMs + TRIAL_TIMEOUT_MS;
  }

  /** Records that the server takes a request. */
  recordAcceptance(
    server: BackendServer,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const hold = this.find(server, nowMs);
    // Requests that were sent before the hold say nothing about its end.
    if (!hold || sentAtMs < hold.endsAtMs) return;
    this.holds.delete(server.address);
  }

  /** Drops holds that are over; those of unlisted servers go on. */
  expire(nowMs: number): void {
    for (const [address, {endsAtMs}] of this.holds) {
      if (nowMs - endsAtMs > HOLD_MEMORY_MS) this.holds.delete(address);
    }
  }

  private hold(server: BackendServer, holdMs: number, nowMs: number): void {
    const endsAtMs = nowMs + holdMs;
    const earlier = this.find(server, nowMs);
    if (earlier && earlier.endsAtMs >= endsAtMs) return;
    this.holds.set(server.address, {server, endsAtMs, trialEndsAtMs: 0});
    const isNew = !earlier || earlier.endsAtMs <= nowMs;
    if (isNew) this.onHold(server.address, holdMs);
  }

  /** The hold of this incarnation, also if it has ended a short time ago. */
  private find(server: BackendServer, nowMs: number): Hold | undefined {
    const hold = this.holds.get(server.address);
    if (!hold || !isSameIncarnation(hold.server, server)) return undefined;
    if (nowMs - hold.endsAtMs <= HOLD_MEMORY_MS) return hold;
    this.holds.delete(server.address);
    return undefined;
  }
}
