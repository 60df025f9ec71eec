/**
 * Keeps the requests of all entries to a server within the limit that the server
 * names. Entries report the limits and their requests to each other. What is
 * left of a limit is divided among the entries that have requests waiting, so
 * that none is left to idle ones; a share below one request is a chance to send
 * one. Pure; times are arguments.
 */
import {stableHash, type ServiceId} from '@azurecrank/core';
import type {ServerAddress} from '../fleet/backend_server.js';
import {RecentSends} from './recent_sends.js';

/** What an entry reports about a server that names a limit. */
export interface ServerLimitReport {
  readonly address: ServerAddress;
  /** Undefined if the server named no limit in its last response. */
  readonly limitPerS: number | undefined;
  /** Age of that response; undefined if this entry has had none. */
  readonly ageMs: number | undefined;
  /** Requests of the entry within the window of the limit. */
  readonly sends: number;
}

export interface SharedServerLimitsOptions {
  readonly node: string;
  /** Number of registered entries, including this one. */
  readonly entryCount: () => number;
  /** Number of other entries that have requests of the service waiting. */
  readonly waitingPeers: (service: ServiceId, nowMs: number) => number;
  /** Time after which the others know of a request; `MIN_SLOT_MS` if absent. */
  readonly reportDelayMs?: () => number;
  /** Called when a server names another limit than before, or none. */
  readonly onChange: (
    address: ServerAddress,
    limitPerS: number | undefined,
  ) => void;
}

/** Shortest span over which requests are counted. */
const MIN_WINDOW_MS = 2000;

/** Longest span, for limits below one request in `MIN_WINDOW_MS`. */
const MAX_WINDOW_MS = 20_000;

/** Shortest span within which an entry uses its share of what is left. */
const MIN_SLOT_MS = 200;

/** Maximum age of a report, a few report intervals. */
const MAX_REPORT_AGE_MS = 1000;

/** A limit is forgotten this long after a server last named it. */
const MIN_LIMIT_TTL_MS = 10_000;

/** The same as a multiple of the time between the requests that it allows. */
const LIMIT_TTL_INTERVALS = 5;

const MS_PER_SECOND = 1000;

interface Observation {
  readonly limitPerS: number | undefined;
  readonly atMs: number;
}

interface PeerReport {
  readonly sends: ReadonlyMap<ServerAddress, number>;
  readonly atMs: number;
  /** Number of entries that the report is of. */
  readonly entries: number;
}

export class SharedServerLimits {
  private readonly own = new Map<ServerAddress, Observation>();
  private readonly fromPeers = new Map<ServerAddress, Observation>();
  private readonly sends = new Map<ServerAddress, RecentSends>();
  private readonly peers = new Map<string, PeerReport>();

  constructor(private readonly options: SharedServerLimitsOptions) {}

  /** Records the limit in a response of a server, or that it names none. */
  observe(
    address: ServerAddress,
    limitPerS: number | undefined,
    nowMs: number,
  ): void {
    const before = this.limitOf(address, nowMs);
    const isKnown = this.own.has(address) || before !== undefined;
    if (limitPerS === undefined && !isKnown) return;
    this.own.set(address, {limitPerS, atMs: nowMs});
    if (before !== limitPerS) this.options.onChange(address, limitPerS);
  }

  /** Records a request to a server. */
  recordSend(address: ServerAddress, nowMs: number): void {
    let sends = this.sends.get(address);
    if (!sends) {
      sends = new RecentSends(MAX_WINDOW_MS);
      this.sends.set(address, sends);
    }
    sends.add(nowMs);
  }

  /** Whether this entry may send the server a request now. */
  maySend(address: ServerAddress, service: ServiceId, nowMs: number): boolean {
    const limitPerS = this.limitOf(address, nowMs);
    if (limitPerS === undefined) return true;
    const {reportDelayMs = () => 0} = this.options;
    const slotMs = Math.max(MIN_SLOT_MS, reportDelayMs());
    const slot = Math.floor(nowMs / slotMs);
    const sentInSlot = this.sends.get(address)?.countSince(slot * slotMs) ?? 0;
    const left = this.leftInWindow(address, limitPerS, nowMs) + sentInSlot;
    const share = left / this.sharers(service, nowMs);
    const chance =
      stableHash(`${this.options.node}/${address}/${slot}`) / 2 ** 32;
    const allowed = Math.floor(share) + (chance < share % 1 ? 1 : 0);
    return sentInSlot < allowed;
  }

  /** Time after which a request refused for the limit may come back. */
  retryAfterMs(address: ServerAddress, nowMs: number): number {
    const limitPerS = this.limitOf(address, nowMs) ?? 0;
    if (limitPerS <= 0) return MAX_WINDOW_MS;
    return Math.min(MAX_WINDOW_MS, MS_PER_SECOND / limitPerS);
  }

  /** Limits and requests for the other entries. */
  report(nowMs: number): ServerLimitReport[] {
    const addresses = new Set([...this.own.keys(), ...this.fromPeers.keys()]);
    return [...addresses].flatMap(address => {
      const observed = this.own.get(address);
      const limitPerS = this.limitOf(address, nowMs);
      const isFresh =
        observed && nowMs - observed.atMs <= limitTtlMs(observed.limitPerS);
      if (!isFresh) this.own.delete(address);
      if (!isFresh && limitPerS === undefined) return [];
      return {
        address,
        limitPerS: isFresh ? observed.limitPerS : undefined,
        ageMs: isFresh ? Math.round(nowMs - observed.atMs) : undefined,
        sends: this.ownSends(address, windowMs(limitPerS ?? 0), nowMs),
      };
    });
  }

  /**
   * Replaces what a peer has reported.
   * @param entries number of entries that the report is of
   */
  setPeerReport(
    node: string,
    reports: readonly ServerLimitReport[],
    nowMs: number,
    entries = 1,
  ): void {
    const sends = new Map(reports.map(r => [r.address, r.sends]));
    this.peers.set(node, {sends, atMs: nowMs, entries});
    for (const {address, limitPerS, ageMs} of reports) {
      if (ageMs === undefined) continue;
      const atMs = nowMs - ageMs;
      const known = this.fromPeers.get(address);
      if (known && known.atMs >= atMs) continue;
      this.fromPeers.set(address, {limitPerS, atMs});
    }
  }

  /** Drops what is known of servers that are not listed. */
  retainServers(addresses: ReadonlySet<ServerAddress>): void {
    for (const known of [this.own, this.fromPeers, this.sends]) {
      for (const address of known.keys()) {
        if (!addresses.has(address)) known.delete(address);
      }
    }
  }

  /** The limit that the server named last, to any entry. */
  private limitOf(address: ServerAddress, nowMs: number): number | undefined {
    const own = this.own.get(address);
    const fromPeers = this.fromPeers.get(address);
    const isOwnNewer =
      (own?.atMs ?? -Infinity) >= (fromPeers?.atMs ?? -Infinity);
    const newest = isOwnNewer ? own : fromPeers;
    if (newest?.limitPerS === undefined) return undefined;
    const isFresh = nowMs - newest.atMs <= limitTtlMs(newest.limitPerS);
    return isFresh ? newest.limitPerS : undefined;
  }

  /** Requests of all entries that the limit still allows in the window. */
  private leftInWindow(
    address: ServerAddress,
    limitPerS: number,
    nowMs: number,
  ): number {
    // Entries that are not heard of may use their part unseen.
    const reporting = 1 + this.freshPeerCount(nowMs);
    const entryCount = Math.max(reporting, this.options.entryCount());
    const knownLimitPerS = (limitPerS * reporting) / entryCount;
    const spanMs = windowMs(knownLimitPerS);
    let sends = this.ownSends(address, spanMs, nowMs);
    for (const [node, {sends: ofPeer, atMs}] of this.peers) {
      if (nowMs - atMs > windowMs(limitPerS)) this.peers.delete(node);
      else sends += ofPeer.get(address) ?? 0;
    }
    return Math.max(0, (knownLimitPerS * spanMs) / MS_PER_SECOND - sends);
  }

  /** Entries among which the rest of a limit is divided. */
  private sharers(service: ServiceId, nowMs: number): number {
    const waiting = this.options.waitingPeers(service, nowMs);
    return 1 + (waiting > 0 ? waiting : this.freshPeerCount(nowMs));
  }

  private freshPeerCount(nowMs: number): number {
    let count = 0;
    for (const {atMs, entries} of this.peers.values()) {
      if (nowMs - atMs <= MAX_REPORT_AGE_MS) count += entries;
    }
    return count;
  }

  private ownSends(
    address: ServerAddress,
    spanMs: number,
    nowMs: number,
  ): number {
    return this.sends.get(address)?.countSince(nowMs - spanMs) ?? 0;
  }
}

/** Span over which requests are counted, so that one or more are allowed. */
function windowMs(limitPerS: number): number {
  const oneRequestMs = limitPerS > 0 ? MS_PER_SECOND / limitPerS : Infinity;
  return Math.min(MAX_WINDOW_MS, Math.max(MIN_WINDOW_MS, oneRequestMs));
}

function limitTtlMs(limitPerS: number | undefined): number {
  if (!limitPerS) return MIN_LIMIT_TTL_MS;
  const intervalMs = MS_PER_SECOND / limitPerS;
  return Math.max(MIN_LIMIT_TTL_MS, LIMIT_TTL_INTERVALS * intervalMs);
}
