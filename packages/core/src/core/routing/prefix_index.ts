/** Tracks which servers probably hold which prompt prefixes in their cache. */
import type {ServerId} from '../ids/ids.js';
import type {CacheEvent} from '../platform/engine.js';

export interface PrefixIndexOptions {
  /** Highest number of entries per server; the oldest is removed first. */
  readonly maxPerServer: number;
  /** Time after its last confirmation at which an entry is removed. */
  readonly expiresAfterMs: number;
}

export const DEFAULT_PREFIX_INDEX_OPTIONS: PrefixIndexOptions = {
  maxPerServer: 4096,
  expiresAfterMs: 300_000,
};

interface ServerPrefixes {
  /** Time of the last confirmation by prefix hash, oldest first. */
  readonly confirmedAtMs: Map<number, number>;
  /** Number of the last applied event of the engine. */
  lastSeq: number;
}

/**
 * The index is a hint: a wrong entry only costs a prefill. So events are
 * applied as they arrive, without waiting for missing ones. After a gap, in
 * which prefixes may have been evicted, older entries expire sooner.
 */
export class PrefixIndex {
  private readonly servers = new Map<ServerId, ServerPrefixes>();
  private readonly options: PrefixIndexOptions;

  constructor(options: Partial<PrefixIndexOptions> = {}) {
    this.options = {...DEFAULT_PREFIX_INDEX_OPTIONS, ...options};
  }

  /**
   * Applies cache events of one engine in the order of their sequence numbers
   * and ignores those up to the last applied one. An eviction may be missing in
   * a gap, so the gap halves the remaining time of the entries before it.
   */
  applyEvents(
    server: ServerId,
    events: readonly CacheEvent[],
    nowMs: number,
  ): void {
    const known = this.prefixesOf(server);
    for (const event of [...events].sort((a, b) => a.seq - b.seq)) {
      if (event.seq <= known.lastSeq) continue;
      if (event.seq > known.lastSeq + 1) this.halveTimeToExpiry(known, nowMs);
      known.lastSeq = event.seq;
      known.confirmedAtMs.delete(event.prefixHash);
      if (event.kind === 'stored')
        known.confirmedAtMs.set(event.prefixHash, nowMs);
    }
    this.removeExpired(known, nowMs);
  }

  /** Replaces the entries of a server by the prefixes in its load report. */
  applyReport(
    server: ServerId,
    prefixes: readonly number[],
    nowMs: number,
  ): void {
    const known = this.prefixesOf(server);
    known.confirmedAtMs.clear();
    for (const hash of prefixes) known.confirmedAtMs.set(hash, nowMs);
    this.removeExpired(known, nowMs);
  }

  /** Records the prefixes of a prompt that was just sent to a server. */
  recordSent(server: ServerId, hashes: readonly number[], nowMs: number): void {
    const known = this.prefixesOf(server);
    for (const hash of hashes) {
      known.confirmedAtMs.delete(hash);
      known.confirmedAtMs.set(hash, nowMs);
    }
    this.removeExpired(known, nowMs);
  }

  /**
   * Number of leading blocks that the server probably holds. The longest known
   * prefix counts even if a shorter one is unknown: a cache holds a prefix only
   * with its beginning, so the event for the shorter one was lost.
   */
  matchedBlocks(
    server: ServerId,
    hashes: readonly number[],
    nowMs: number,
  ): number {
    const known = this.servers.get(server);
    if (!known) return 0;
    const deepest = hashes.findLastIndex(hash => {
      const atMs = known.confirmedAtMs.get(hash);
      return atMs !== undefined && !this.isExpired(atMs, nowMs);
    });
    return deepest + 1;
  }

  /** Prefix hashes of a server, last confirmed first, for its load report. */
  latestHashes(server: ServerId, count: number): number[] {
    const known = this.servers.get(server);
    return known
      ? [...known.confirmedAtMs.keys()].reverse().slice(0, count)
      : [];
  }

  /** Removes all entries of a server, for example after it has restarted. */
  removeServer(server: ServerId): void {
    this.servers.delete(server);
  }

  private halveTimeToExpiry(known: ServerPrefixes, nowMs: number): void {
    for (const [hash, confirmedAtMs] of known.confirmedAtMs) {
      const expiresAtMs = confirmedAtMs + this.options.expiresAfterMs;
      known.confirmedAtMs.set(hash, confirmedAtMs - (expiresAtMs - nowMs) / 2);
    }
  }

  /** Removes expired entries and the oldest ones beyond `maxPerServer`. */
  private removeExpired(known: ServerPrefixes, nowMs: number): void {
    for (const [hash, confirmedAtMs] of known.confirmedAtMs) {
      const isOverLimit = known.confirmedAtMs.size > this.options.maxPerServer;
      if (!isOverLimit && !this.isExpired(confirmedAtMs, nowMs)) break;
      known.confirmedAtMs.delete(hash);
    }
  }

  private isExpired(confirmedAtMs: number, nowMs: number): boolean {
    return nowMs - confirmedAtMs >= this.options.expiresAfterMs;
  }

  private prefixesOf(server: ServerId): ServerPrefixes {
    let known = this.servers.get(server);
    if (!known) {
      known = {confirmedAtMs: new Map(), lastSeq: 0};
      this.servers.set(server, known);
    }
    return known;
  }
}
