/** Decides which processes keep a watch on the key-value service. */
import {createHash} from 'node:crypto';

/** Elected processes in each zone, so that two of them may be lost. */
export const WATCHERS_PER_ZONE = 3;

/** Without any contact for this long a process watches by itself. */
export const LONELY_AFTER_MS = 2000;

/** Bounds the remembered hashes; above the processes of a large system. */
const MAX_REMEMBERED = 4096;

/** Each process checks the election four times a second over all its peers. */
const remembered = new Map<string, string>();

/** Hashes spread the election, so that it does not follow host names. */
export function electionHash(node: string): string {
  const known = remembered.get(node);
  if (known !== undefined) return known;
  const hash = createHash('sha256').update(node).digest('hex').slice(0, 16);
  if (remembered.size >= MAX_REMEMBERED) remembered.clear();
  remembered.set(node, hash);
  return hash;
}

/**
 * Whether `self` is among the first of its zone by hash. Each process decides
 * by the peers it knows, so that no agreement is needed; a process that knows
 * few peers is elected more often, which costs reads but never freshness.
 */
export function isElectedWatcher(
  self: string,
  peersInZone: Iterable<string>,
  watchersPerZone = WATCHERS_PER_ZONE,
): boolean {
  const own = electionHash(self);
  let before = 0;
  for (const peer of new Set(peersInZone)) {
    if (peer !== self && electionHash(peer) < own) before++;
  }
  return before < watchersPerZone;
}
