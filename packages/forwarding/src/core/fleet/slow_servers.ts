/**
 * Tracks servers that reported to be slower than others of their kind. Reports
 * to this entry count until they expire or a newer one arrives; those reported
 * by peers count as long as the peers repeat them. Pure; times are arguments.
 */
import type {ServerAddress} from './backend_server.js';

/**
 * Smallest slowdown factor that counts; a path around a server that is less
 * slow gains nothing.
 */
const MIN_FACTOR = 1.5;

/** Reports to this entry, which are renewed each second, expire after this. */
const OWN_REPORT_TTL_MS = 3000;

/** A report that a peer no longer repeats expires after this time. */
const PEER_REPORT_TTL_MS = 1500;

interface SlowServer {
  readonly slowdownFactor: number;
  readonly expiresAtMs: number;
  readonly isOwn: boolean;
}

export class SlowServers {
  private readonly servers = new Map<ServerAddress, SlowServer>();

  /** Records a report; returns whether the factor in force has changed. */
  record(
    address: ServerAddress,
    slowdownFactor: number,
    nowMs: number,
  ): boolean {
    return this.apply(address, {
      slowdownFactor,
      expiresAtMs: nowMs + OWN_REPORT_TTL_MS,
      isOwn: true,
    });
  }

  /**
   * Records what a peer reports, unless the server reported to this entry;
   * returns whether the factor in force has changed.
   */
  recordFromPeer(
    address: ServerAddress,
    slowdownFactor: number,
    nowMs: number,
  ): boolean {
    if (this.servers.get(address)?.isOwn) return false;
    return this.apply(address, {
      slowdownFactor,
      expiresAtMs: nowMs + PEER_REPORT_TTL_MS,
      isOwn: false,
    });
  }

  /** How many times slower the server is than its kind; 1 if not slow. */
  slowdownFactorOf(address: ServerAddress): number {
    return this.servers.get(address)?.slowdownFactor ?? 1;
  }

  /** Servers that reported to this entry to be slow, with their factors. */
  ownReports(): Array<[ServerAddress, number]> {
    return [...this.servers]
      .filter(([, {isOwn}]) => isOwn)
      .map(([address, {slowdownFactor}]) => [address, slowdownFactor]);
  }

  /** Removes expired reports; returns whether there were any. */
  expire(nowMs: number): boolean {
    let hasExpired = false;
    for (const [address, {expiresAtMs}] of this.servers) {
      if (expiresAtMs > nowMs) continue;
      this.servers.delete(address);
      hasExpired = true;
    }
    return hasExpired;
  }

  private apply(address: ServerAddress, slow: SlowServer): boolean {
    const previousFactor = this.slowdownFactorOf(address);
    if (slow.slowdownFactor < MIN_FACTOR) return this.servers.delete(address);
    this.servers.set(address, slow);
    return previousFactor !== slow.slowdownFactor;
  }
}
