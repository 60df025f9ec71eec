/**
 * Incarnations of servers that take no new requests, because they leave or have
 * left. Pure; times are arguments.
 */
import type {ServerId} from '@azurecrank/core';

/**
 * Servers that have left are reported to peers for this time after the end of
 * their registration. Peers learn of the end at most some seconds apart.
 */
const REPORT_MS = 30_000;

/** Marks are dropped when no peer reports them any more. */
const RETENTION_MS = 60_000;

export class LeavingIncarnations {
  /** Start times of the marked incarnations of each server. */
  private readonly startTimes = new Map<ServerId, ReadonlySet<number>>();
  /** Marked servers without a registration, and since when. */
  private readonly endedAtMs = new Map<ServerId, number>();
  private expiredAtMs = 0;

  has(server: ServerId, startedAtMs: number): boolean {
    return this.startTimes.get(server)?.has(startedAtMs) ?? false;
  }

  /** Returns whether the incarnation was not marked before. */
  mark(server: ServerId, startedAtMs: number): boolean {
    if (this.has(server, startedAtMs)) return false;
    const known = this.startTimes.get(server);
    this.startTimes.set(server, new Set(known).add(startedAtMs));
    return true;
  }

  /** Drops the marks of servers that have left long ago. */
  expire(isRegistered: (server: ServerId) => boolean, nowMs: number): void {
    this.expiredAtMs = nowMs;
    for (const server of this.startTimes.keys()) {
      if (isRegistered(server)) {
        this.endedAtMs.delete(server);
        continue;
      }
      const sinceMs = this.endedAtMs.get(server) ?? nowMs;
      this.endedAtMs.set(server, sinceMs);
      if (nowMs - sinceMs < RETENTION_MS) continue;
      this.startTimes.delete(server);
      this.endedAtMs.delete(server);
    }
  }

  /** Marked incarnations that peers may still use. */
  reported(): Array<[ServerId, number]> {
    return [...this.startTimes]
      .filter(([server]) => {
        const sinceMs = this.endedAtMs.get(server) ?? this.expiredAtMs;
        return this.expiredAtMs - sinceMs < REPORT_MS;
      })
      .flatMap(([server, startTimes]) =>
        [...startTimes].map((atMs): [ServerId, number] => [server, atMs]),
      );
  }
}
