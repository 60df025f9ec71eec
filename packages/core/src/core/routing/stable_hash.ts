/** Hashes text to the same value in all processes and versions. */
import createXxhash from 'xxhash-wasm';

const {h32} = await createXxhash();

/** Returns an unsigned 32-bit hash of the text's UTF-8 bytes. */
export function stableHash(text: string, seed = 0): number {
  return h32(text, seed);
}
