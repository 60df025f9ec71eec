/** Hashes the prefixes of a prompt in blocks of characters. */
import {stableHash} from './stable_hash.js';

/**
 * Characters per block, about 64 tokens. Short enough to match standard
 * questions that prompts share, long enough to keep load reports small.
 */
export const PREFIX_BLOCK_CHARS = 256;

/** Longer prefixes do not improve the choice between chains. */
export const MAX_PREFIX_BLOCKS = 64;

/**
 * Returns one hash for each complete block; the n-th covers the first n blocks.
 * Prompts have equal hashes if they share the prefix. Collisions of the 32-bit
 * hash can cause a cache miss but no wrong result.
 */
export function prefixHashes(
  prompt: string,
  blockChars = PREFIX_BLOCK_CHARS,
): number[] {
  const hashes: number[] = [];
  const blocks = Math.min(
    Math.floor(prompt.length / blockChars),
    MAX_PREFIX_BLOCKS,
  );
  let hash = 0;
  for (let block = 0; block < blocks; block++) {
    const start = block * blockChars;
    hash = stableHash(prompt.slice(start, start + blockChars), hash);
    hashes.push(hash);
  }
  return hashes;
}
