/**
 * Chooses the entries that pass on the reports of the others. Every entry
 * derives the same relays from the directory, so nothing has to be agreed on;
 * entries whose directories differ for a while still understand each other,
 * since each one serves whoever reports to it. Pure.
 */
import {stableHash, type PeerAddress} from '@azurecrank/core';

export interface RegisteredEntry {
  readonly address: PeerAddress;
  /** Undefined for an entry of a release that knows no relays. */
  readonly availabilityZone: string | undefined;
}

export interface RelayPlan {
  /** Whether there are entries that are no relays. */
  readonly usesRelays: boolean;
  /** Whether this entry passes on reports of others by plan. */
  readonly isRelay: boolean;
  /**
   * Entries to which this one may report, the best first; itself at the place
   * at which it rather exchanges reports with the relays directly.
   */
  readonly candidates: readonly PeerAddress[];
  /** The relays of all groups but this entry. */
  readonly relays: readonly PeerAddress[];
  /** Entries with which reports are exchanged directly. */
  readonly direct: readonly PeerAddress[];
}

/** Fleets up to this size need no relays: each entry reports to all others. */
const MAX_ENTRIES_WITHOUT_RELAYS = 16;

/** Entries of a group; a relay serves this many at the most. */
const MAX_GROUP_ENTRIES = 16;

/** Zones with fewer entries share a group with others. */
const MIN_GROUP_ENTRIES = 8;

/** Relays of each group, so that the loss of one delays nothing. */
export const RELAYS_PER_GROUP = 2;

/** @param self this entry, which the directory may not list yet */
export function planRelays(
  self: Required<RegisteredEntry>,
  registered: Iterable<RegisteredEntry>,
): RelayPlan {
  const others = [...registered].filter(e => e.address !== self.address);
  const direct = others
    .filter(({availabilityZone}) => availabilityZone === undefined)
    .map(({address}) => address);
  const entries = others
    .filter(({availabilityZone}) => availabilityZone !== undefined)
    .concat(self);
  if (entries.length <= MAX_ENTRIES_WITHOUT_RELAYS) {
    const relays = entries
      .map(({address}) => address)
      .filter(address => address !== self.address);
    const candidates = [self.address];
    return {usesRelays: false, isRelay: true, candidates, relays, direct};
  }
  const groups = createGroups(entries);
  const own = groups.find(group => group.includes(self)) ?? [self];
  const relays = groups.flatMap(group =>
    group.slice(0, RELAYS_PER_GROUP).map(({address}) => address),
  );
  const isRelay = relays.includes(self.address);
  return {
    usesRelays: true,
    isRelay,
    candidates: isRelay ? [self.address] : rankCandidates(self, own),
    relays: relays.filter(address => address !== self.address),
    direct,
  };
}

/**
 * Puts the relays first, then the entries of the own zone: if it is cut off,
 * its entries find each other soonest.
 */
function rankCandidates(
  self: RegisteredEntry,
  group: readonly RegisteredEntry[],
): PeerAddress[] {
  const relays = group.slice(0, RELAYS_PER_GROUP);
  const rest = group.slice(RELAYS_PER_GROUP);
  const isNear = ({availabilityZone}: RegisteredEntry) =>
    availabilityZone === self.availabilityZone;
  const far = rest.filter(entry => !isNear(entry));
  return [...relays, ...rest.filter(isNear), ...far].map(e => e.address);
}

/** Divides the entries into groups of near ones, each in the order of ranks. */
function createGroups(
  entries: readonly RegisteredEntry[],
): RegisteredEntry[][] {
  return joinSmallZones(groupByZone(entries)).flatMap(joined => {
    const ranked = joined
      .map(entry => ({entry, hash: stableHash(entry.address)}))
      .sort((a, b) => a.hash - b.hash || compare(a.entry, b.entry))
      .map(({entry}) => entry);
    const count = Math.ceil(ranked.length / MAX_GROUP_ENTRIES);
    return Array.from({length: count}, (_, group) =>
      ranked.filter((__, rank) => rank % count === group),
    );
  });
}

function groupByZone(entries: readonly RegisteredEntry[]): RegisteredEntry[][] {
  const byZone = new Map<string, RegisteredEntry[]>();
  for (const entry of entries) {
    const zone = entry.availabilityZone ?? '';
    const others = byZone.get(zone);
    if (others) others.push(entry);
    else byZone.set(zone, [entry]);
  }
  return [...byZone.keys()].sort().map(zone => byZone.get(zone) ?? []);
}

function joinSmallZones(
  zones: readonly RegisteredEntry[][],
): RegisteredEntry[][] {
  const joined: RegisteredEntry[][] = [];
  for (const zone of zones) {
    const last = joined.at(-1);
    if (last && last.length < MIN_GROUP_ENTRIES) last.push(...zone);
    else joined.push([...zone]);
  }
  const [beforeLast, last] = joined.slice(-2);
  if (last && last.length < MIN_GROUP_ENTRIES) {
    beforeLast.push(...last);
    joined.pop();
  }
  return joined;
}

function compare(a: RegisteredEntry, b: RegisteredEntry): number {
  return a.address < b.address ? -1 : 1;
}
