/**
 * A set of servers that get no requests because this entry or a peer found
 * them unusable. Servers excluded by this entry stay so until it removes them,
 * those reported by peers as long as the peers repeat it. Pure; times are
 * arguments.
 */
import type {ServerAddress} from './backend_server.js';

/** An exclusion that a peer no longer repeats expires after this time. */
const PEER_EXCLUSION_TTL_MS = 1500;

export class ServerExclusions {
  /** Expiry of each exclusion; infinite for those of this entry. */
  private readonly expiresAtMs = new Map<ServerAddress, number>();

  has(address: ServerAddress): boolean {
    return this.expiresAtMs.has(address);
  }

  /** Returns whether the server was not excluded before. */
  add(address: ServerAddress): boolean {
    const isNew = !this.has(address);
    this.expiresAtMs.set(address, Infinity);
    return isNew;
  }

  /**
   * Adds a server that is reported by a peer; returns whether it was not
   * excluded before.
   */
  addFromPeer(address: ServerAddress, nowMs: number): boolean {
    const isNew = !this.has(address);
    if (this.expiresAtMs.get(address) === Infinity) return false;
    this.expiresAtMs.set(address, nowMs + PEER_EXCLUSION_TTL_MS);
    return isNew;
  }

  remove(address: ServerAddress): boolean {
    return this.expiresAtMs.delete(address);
  }

  /** Servers that this entry itself has excluded. */
  ownServers(): ServerAddress[] {
    return [...this.expiresAtMs]
      .filter(([, expiresAtMs]) => expiresAtMs === Infinity)
      .map(([address]) => address);
  }

  /** Removes expired exclusions; returns whether there were any. */
  expire(nowMs: number): boolean {
    let hasExpired = false;
    for (const [address, expiresAtMs] of this.expiresAtMs) {
      if (expiresAtMs > nowMs) continue;
      this.expiresAtMs.delete(address);
      hasExpired = true;
    }
    return hasExpired;
  }
}
