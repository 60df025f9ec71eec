/** Elects the processes that watch the key-value service for their zone. */
import {createHash} from 'node:crypto';

/** Number of watchers in each availability zone; two of them may fail. */
export const WATCHERS_PER_ZONE = 3;

/** Time without any contact after which a process watches without election. */
export const ISOLATED_AFTER_MS = 2000;

/** Hexadecimal digits of the SHA-256 digest that a hash keeps. */
const HASH_HEX_DIGITS = 16;

/** Maximum number of cached hashes; more than the processes of a large system. */
const MAX_CACHED_HASHES = 4096;

/** Cached, because the election is checked four times a second for all peers. */
const hashByNode = new Map<string, string>();

/** Returns a hash to rank nodes by, so that the order is not that of names. */
export function electionHash(node: string): string {
  const cached = hashByNode.get(node);
  if (cached !== undefined) return cached;
  const hash = createHash('sha256')
    .update(node)
    .digest('hex')
    .slice(0, HASH_HEX_DIGITS);
  if (hashByNode.size >= MAX_CACHED_HASHES) hashByNode.clear();
  hashByNode.set(node, hash);
  return hash;
}

/**
 * Returns whether `self` is among the first `watchersPerZone` nodes of its zone
 * by hash. Each process decides from the peers it knows, so that no consensus
 * is needed. A process that knows few peers is elected more often, which adds
 * reads but never makes documents stale.
 */
export function isElectedWatcher(
  self: string,
  peersInZone: Iterable<string>,
  watchersPerZone = WATCHERS_PER_ZONE,
): boolean {
  const own = electionHash(self);
  let peersBefore = 0;
  for (const peer of new Set(peersInZone)) {
    if (peer !== self && electionHash(peer) < own) peersBefore++;
  }
  return peersBefore < watchersPerZone;
}
