/**
 * Tells registrations that are older than those already seen, which a store
 * lists that was restored from a copy. Pure; times are arguments.
 */
import type {ServerId} from '@azurecrank/core';
import type {BackendServer} from './backend_server.js';

/**
 * After a restore, older registrations are ignored for this time. Those of
 * servers that have left expire earlier; one that remains is in use.
 */
const RESTORE_GUARD_MS = 8000;

/** Bounds the memory of incarnations that have ended. */
const MAX_ENDED_INCARNATIONS = 1000;

interface NewestRegistration {
  readonly startedAtMs: number;
  readonly heartbeat: number;
}

export class RegistrationHistory {
  /** Newest registration of the incarnation of each registered server. */
  private readonly newest = new Map<ServerId, NewestRegistration>();
  /** Last heartbeat of each incarnation that has ended, the oldest first. */
  private readonly endedAtHeartbeat = new Map<string, number>();
  /** Ignored registrations of servers that have ended. */
  private readonly ignored = new Map<ServerId, BackendServer>();
  private guardUntilMs = -Infinity;

  /** Ignores older registrations for a while from now on. */
  recordRestore(nowMs: number): void {
    this.guardUntilMs = nowMs + RESTORE_GUARD_MS;
  }

  /**
   * Records a registration; returns false if it has to be ignored, as a newer
   * one of the same incarnation was seen, or its end at the same one.
   */
  record(registered: BackendServer, nowMs: number): boolean {
    const {server, startedAtMs, heartbeat} = registered;
    this.ignored.delete(server);
    if (heartbeat === undefined) return true;
    const known = this.newest.get(server);
    const isSameIncarnation = known?.startedAtMs === startedAtMs;
    const endedAt = this.endedAtHeartbeat.get(keyOf(server, startedAtMs));
    const isOutdated = isSameIncarnation
      ? heartbeat < known.heartbeat
      : endedAt !== undefined && heartbeat <= endedAt;
    if (isOutdated && nowMs < this.guardUntilMs) {
      if (!known) this.ignored.set(server, registered);
      return false;
    }
    if (!isSameIncarnation) this.end(server);
    this.newest.set(server, {startedAtMs, heartbeat});
    return true;
  }

  /** Records that the server is no longer registered. */
  end(server: ServerId): void {
    this.ignored.delete(server);
    const known = this.newest.get(server);
    if (!known) return;
    this.newest.delete(server);
    const key = keyOf(server, known.startedAtMs);
    this.endedAtHeartbeat.delete(key);
    this.endedAtHeartbeat.set(key, known.heartbeat);
    if (this.endedAtHeartbeat.size <= MAX_ENDED_INCARNATIONS) return;
    const [oldest] = this.endedAtHeartbeat.keys();
    this.endedAtHeartbeat.delete(oldest);
  }

  /** Forgets ignored registrations, before all are read again. */
  clearIgnored(): void {
    this.ignored.clear();
  }

  /**
   * Returns the registrations of ended servers that were ignored and are still
   * there when older registrations are no longer ignored.
   */
  takeLeftOver(nowMs: number): BackendServer[] {
    if (this.ignored.size === 0 || nowMs < this.guardUntilMs) return [];
    const leftOver = [...this.ignored.values()];
    this.ignored.clear();
    return leftOver;
  }
}

function keyOf(server: ServerId, startedAtMs: number): string {
  return `${startedAtMs} ${server}`;
}
