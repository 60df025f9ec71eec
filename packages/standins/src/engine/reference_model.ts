/**
 * The arithmetic of the stand-in model. Each layer keeps a state that every
 * position changes, so that a layer that is skipped, repeated or run out of
 * order changes all later tokens. The result does not depend on how layers
 * are split into stages.
 */
const HASH_SEED = 0x811c9dc5;
const HASH_PRIME = 0x01000193;
const GOLDEN = 0x9e3779b1;
const VOCABULARY = [
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
const PROMPT_TOKENS = 50_000;

export function mix(a: number, b: number): number {
  let hash = Math.imul(a ^ HASH_SEED, HASH_PRIME) ^ Math.imul(b, GOLDEN);
  hash ^= hash >>> 15;
  return Math.imul(hash, HASH_PRIME) >>> 0;
}

/** Returns one token for each word of the prompt. */
export function tokenize(text: string): number[] {
  return text
    .split(/\s+/)
    .filter(word => word !== '')
    .map(word => {
      let hash = HASH_SEED;
      for (const character of word) {
        hash = mix(hash, character.codePointAt(0) ?? 0);
      }
      return hash % PROMPT_TOKENS;
    });
}

/** Runs layers [firstLayer, endLayer) for one position. */
export function runLayers(
  states: Uint32Array,
  firstLayer: number,
  endLayer: number,
  input: number,
): number {
  let hidden = input;
  for (let layer = firstLayer; layer < endLayer; layer++) {
    const index = layer - firstLayer;
    states[index] = mix(states[index], hidden + layer);
    hidden = mix(hidden, states[index]);
  }
  return hidden;
}

export function toToken(hidden: number): number {
  return PROMPT_TOKENS + (hidden % VOCABULARY.length);
}

export function toText(token: number): string {
  return ` ${VOCABULARY[token - PROMPT_TOKENS] ?? `<${token}>`}`;
}

/** Returns the whole answer that a correct chain gives to a prompt. */
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
