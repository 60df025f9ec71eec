/** Sends requests to a model service and checks the answers. */
import {referenceAnswer} from '@azurecrank/standins';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {formatModelPrompt, streamChat, type ChatResult} from './chat_client.js';

const POLL_INTERVAL_MS = 20;

export interface CheckedChatOptions {
  readonly url: string;
  readonly workspace: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Number of layers of the stand-in model; the expected answer depends on it. */
  readonly layers: number;
  readonly onToken?: (text: string) => void;
}

export interface CheckedChatResult extends ChatResult {
  /** Whether the answer is complete and equals the expected one for the prompt. */
  readonly isCorrect: boolean;
  readonly startedAtMs: number;
}

export async function sendCheckedChat(
  options: CheckedChatOptions,
): Promise<CheckedChatResult> {
  const {prompt, maxTokens, layers, workspace} = options;
  const startedAtMs = performance.now();
  const outcome = await streamChat({...options, bearerKey: workspace});
  const expected = referenceAnswer(
    formatModelPrompt(prompt),
    maxTokens,
    layers,
  );
  const isRight = outcome.isComplete && outcome.text === expected;
  return {...outcome, isCorrect: isRight, startedAtMs};
}

/**
 * Returns the longest interval between tokens, or from the last token to the
 * end, among those that end later than `fromMs` after the start.
 */
export function longestGapMs(
  {tokenTimesMs, durationMs}: ChatResult,
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

/** Calls `start` at Poisson arrival times and returns all results at the end. */
export async function runArrivals<T>(
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
    const delayMs = startMs + atMs - performance.now();
    if (delayMs > 0) await sleep(delayMs);
    results.push(start(results.length));
  }
}

export function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Polls until `test` returns true; throws after `timeoutMs`. */
export async function waitUntil(
  test: () => boolean | Promise<boolean>,
  timeoutMs: number,
  description: string,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!(await test())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`no ${description} within ${timeoutMs} ms`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
