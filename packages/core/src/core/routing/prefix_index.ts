/** Which servers probably hold which prompt prefixes in their cache. */
import type {ServerId} from '../ids/ids.js';
import type {CacheEvent} from '../platform/engine.js';

export interface PrefixIndexOptions {
  /** Entries kept per server; the oldest is dropped first. */
  readonly maxPerServer: number;
  /** An entry that nothing has confirmed for this long is dropped. */
  readonly expiryMs: number;
}

export const DEFAULT_PREFIX_INDEX: PrefixIndexOptions = {
  maxPerServer: 4096,
  expiryMs: 300_000,
};

interface ServerPrefixes {
  /** Time of the last confirmation, oldest first. */
  readonly heldAtMs: Map<number, number>;
  lastSeq: number;
}

/**
 * The index is a hint: a wrong entry costs a prefill and nothing else. So late
 * events are applied as they come, and a gap only drops the confidence that
 * nothing was evicted.
 */
export class PrefixIndex {
  private readonly servers = new Map<ServerId, ServerPrefixes>();
  private readonly options: PrefixIndexOptions;

  constructor(options: Partial<PrefixIndexOptions> = {}) {
    this.options = {...DEFAULT_PREFIX_INDEX, ...options};
  }

  /**
   * Applies events of one engine in the order of their numbers and ignores
   * those already applied. Entries from before a gap may have been evicted
   * within it, so half of their time to expiry is taken away.
   */
  applyEvents(
    server: ServerId,
    events: readonly CacheEvent[],
    nowMs: number,
  ): void {
    const known = this.prefixesOf(server);
    for (const event of [...events].sort((a, b) => a.seq - b.seq)) {
      if (event.seq <= known.lastSeq) continue;
      if (event.seq > known.lastSeq + 1) this.ageBy(known, nowMs);
      known.lastSeq = event.seq;
      known.heldAtMs.delete(event.prefixHash);
      if (event.kind === 'stored') known.heldAtMs.set(event.prefixHash, nowMs);
    }
    this.trim(known, nowMs);
  }

  /** Replaces what is known of a server by the list in its load report. */
  applyReport(
    server: ServerId,
    prefixes: readonly number[],
    nowMs: number,
  ): void {
    const known = this.prefixesOf(server);
    known.heldAtMs.clear();
    for (const hash of prefixes) known.heldAtMs.set(hash, nowMs);
    this.trim(known, nowMs);
  }

  /** Notes that a prompt was just sent, before any event can say so. */
  noteSent(server: ServerId, hashes: readonly number[], nowMs: number): void {
    const known = this.prefixesOf(server);
    for (const hash of hashes) {
      known.heldAtMs.delete(hash);
      known.heldAtMs.set(hash, nowMs);
    }
    this.trim(known, nowMs);
  }

  /**
   * Number of leading blocks that the server probably holds. The deepest known
   * hash counts even if an earlier one is unknown: a cache cannot hold a prefix
   * without its beginning, and an event may have been lost.
   */
  matchedBlocks(
    server: ServerId,
    hashes: readonly number[],
    nowMs: number,
  ): number {
    const known = this.servers.get(server);
    if (!known) return 0;
    const deepest = hashes.findLastIndex(hash => {
      const heldAtMs = known.heldAtMs.get(hash);
      return heldAtMs !== undefined && !this.isExpired(heldAtMs, nowMs);
    });
    return deepest + 1;
  }

  /** Hashes held by a server, latest first, for its own load report. */
  latest(server: ServerId, count: number): number[] {
    const known = this.servers.get(server);
    return known ? [...known.heldAtMs.keys()].reverse().slice(0, count) : [];
  }

  /** Forgets a server, for example one that has restarted. */
  forget(server: ServerId): void {
    this.servers.delete(server);
  }

  private ageBy(known: ServerPrefixes, nowMs: number): void {
    for (const [hash, heldAtMs] of known.heldAtMs) {
      const expiresAtMs = heldAtMs + this.options.expiryMs;
      known.heldAtMs.set(hash, heldAtMs - (expiresAtMs - nowMs) / 2);
    }
  }

  private trim(known: ServerPrefixes, nowMs: number): void {
    for (const [hash, heldAtMs] of known.heldAtMs) {
      const isOver = known.heldAtMs.size > this.options.maxPerServer;
      if (!isOver && !this.isExpired(heldAtMs, nowMs)) break;
      known.heldAtMs.delete(hash);
    }
  }

  private isExpired(heldAtMs: number, nowMs: number): boolean {
    return nowMs - heldAtMs >= this.options.expiryMs;
  }

  private prefixesOf(server: ServerId): ServerPrefixes {
    let known = this.servers.get(server);
    if (!known) {
      known = {heldAtMs: new Map(), lastSeq: 0};
      this.servers.set(server, known);
    }
    return known;
  }
}
