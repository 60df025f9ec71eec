/** Hashes of the prefixes of a prompt, in blocks. */
import {stableHash} from './stable_hash.js';

/**
 * Characters per block. About 64 tokens: short enough to find the shared
 * standard questions, long enough that a load report stays small.
 */
export const PREFIX_BLOCK_CHARS = 256;

/** More blocks add nothing to the choice between chains. */
export const MAX_PREFIX_BLOCKS = 64;

/**
 * Returns one hash for each complete block, where the n-th covers the first n
 * blocks. Prompts share a hash exactly when they share that prefix, apart from
 * collisions of 32 bits, which cost locality and not correctness.
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
