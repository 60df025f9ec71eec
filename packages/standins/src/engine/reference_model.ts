/**
 * Reference model of the engine stand-in: deterministic integer arithmetic in
 * place of a neural network. Each layer keeps a state that every position
 * updates, so a layer that is skipped, repeated or run out of order changes all
 * later tokens. The result does not depend on how the layers are divided into
 * path stages.
 */

// Constants of the hash functions FNV-1a and Fibonacci hashing (32 bits).
const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const GOLDEN_RATIO_MULTIPLIER = 0x9e3779b1;
const OUTPUT_WORDS = [
  'leaf',
  'shutter',
  'spring',
  'blade',
  'oil',
  'net',
  'bird',
  'hail',
  'pole',
  'clip',
  'grower',
  'cherry',
  'timing',
  'curtain',
  'screw',
  'ring',
] as const;

/** Number of prompt tokens; the tokens of `OUTPUT_WORDS` follow them. */
const PROMPT_VOCABULARY_SIZE = 50_000;

/** Returns an unsigned 32-bit hash of two integers. */
export function mixHash(a: number, b: number): number {
  let hash =
    Math.imul(a ^ FNV_OFFSET_BASIS, FNV_PRIME) ^
    Math.imul(b, GOLDEN_RATIO_MULTIPLIER);
  hash ^= hash >>> 15;
  return Math.imul(hash, FNV_PRIME) >>> 0;
}

/** Returns one token per whitespace-separated word of the prompt. */
export function tokenize(text: string): number[] {
  return text
    .split(/\s+/)
    .filter(word => word !== '')
    .map(word => {
      let hash = FNV_OFFSET_BASIS;
      for (const character of word) {
        hash = mixHash(hash, character.codePointAt(0) ?? 0);
      }
      return hash % PROMPT_VOCABULARY_SIZE;
    });
}

/**
 * Runs layers [firstLayer, endLayer) for one position, updates their states and
 * returns the hidden state.
 */
export function runLayers(
  states: Uint32Array,
  firstLayer: number,
  endLayer: number,
  input: number,
): number {
  let hidden = input;
  for (let layer = firstLayer; layer < endLayer; layer++) {
    const index = layer - firstLayer;
    states[index] = mixHash(states[index], hidden + layer);
    hidden = mixHash(hidden, states[index]);
  }
  return hidden;
}

export function toToken(hidden: number): number {
  return PROMPT_VOCABULARY_SIZE + (hidden % OUTPUT_WORDS.length);
}

export function toText(token: number): string {
  return ` ${OUTPUT_WORDS[token - PROMPT_VOCABULARY_SIZE] ?? `<${token}>`}`;
}

/** Returns the answer that a chain must generate for a prompt. */
export function referenceAnswer(
  prompt: string,
  maxTokens: number,
  layers: number,
): string {
  const states = new Uint32Array(layers);
  let hidden = 0;
  for (const token of tokenize(prompt)) {
    hidden = runLayers(states, 0, layers, token);
  }
  let text = '';
  for (let index = 0; index < maxTokens; index++) {
    const token = toToken(hidden);
    text += toText(token);
    hidden = runLayers(states, 0, layers, token);
  }
  return text;
}
