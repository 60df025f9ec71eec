/** Requests to a model service whose answers are checked. */
import {referenceAnswer} from '@azurecrank/standins';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {promptLine, streamChat, type ChatOutcome} from './chat_client.js';

export interface Question {
  readonly url: string;
  readonly workspace: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Layers of the stand-in model, which decide the right answer. */
  readonly layers: number;
  readonly onToken?: (text: string) => void;
}

export interface Answer extends ChatOutcome {
  /** Whether the answer is complete and the one to this prompt. */
  readonly isRight: boolean;
  readonly startedAtMs: number;
}

export async function ask(question: Question): Promise<Answer> {
  const {prompt, maxTokens, layers, workspace} = question;
  const startedAtMs = performance.now();
  const outcome = await streamChat({...question, bearerKey: workspace});
  const expected = referenceAnswer(promptLine(prompt), maxTokens, layers);
  const isRight = outcome.isWhole && outcome.text === expected;
  return {...outcome, isRight, startedAtMs};
}

/** Longest time without a token that ends after `fromMs` of the stream. */
export function longestGapMs(
  {tokenTimesMs, durationMs}: ChatOutcome,
  fromMs = 0,
): number {
  const times = [...tokenTimesMs, durationMs];
  const gaps = times
    .slice(1)
    .map((timeMs, index) => (timeMs > fromMs ? timeMs - times[index] : 0));
  return Math.max(0, ...gaps);
}

export interface ArrivalOptions {
  readonly seed: number;
  readonly ratePerS: number;
  readonly durationMs: number;
}

/** Starts Poisson arrivals and returns their results at the end. */
export async function arrive<T>(
  {seed, ratePerS, durationMs}: ArrivalOptions,
  start: (index: number) => Promise<T>,
): Promise<T[]> {
  const generator = xoroshiro128plus(seed);
  const startMs = performance.now();
  const results: Promise<T>[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - uniformFloat64(generator)) * 1000) / ratePerS;
    if (atMs >= durationMs) return Promise.all(results);
    const waitMs = startMs + atMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    results.push(start(results.length));
  }
}

export function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Waits until `test` holds; fails after `limitMs`. */
export async function waitUntil(
  test: () => boolean | Promise<boolean>,
  limitMs: number,
  what: string,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!(await test())) {
    if (performance.now() > endMs) throw new Error(`no ${what} in time`);
    await sleep(20);
  }
}
