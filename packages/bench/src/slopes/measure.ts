/** Processor time, memory and repetition for slope measurements. */
import {readFileSync, readdirSync} from 'node:fs';
import {createSlope, type Point, type Slope} from './fit.js';

const REPEATS = 5;

const TICK_MS = 10;

/** Shortest processor time of one sample, to stay above the clock's steps. */
const LEAST_SAMPLE_US = 20_000;

/** Run before the first sample, so that the code is compiled. */
const WARM_UP_US = 100_000;

/** Processor time of one call of `run` in this process, in microseconds. */
export function cpuOfCallUs(run: () => unknown): number {
  let calls = 1;
  for (;;) {
    const start = process.cpuUsage();
    for (let call = 0; call < calls; call++) run();
    const {user, system} = process.cpuUsage(start);
    if (user + system >= LEAST_SAMPLE_US) return (user + system) / calls;
    calls *= 2;
  }
}

export function warmUp(run: () => unknown): void {
  const start = process.cpuUsage();
  for (;;) {
    for (let call = 0; call < 10; call++) run();
    const {user, system} = process.cpuUsage(start);
    if (user + system >= WARM_UP_US) return;
  }
}

/** Measures `prepare(size)()` in processor time, at each size. */
export function cpuSlope(
  name: string,
  per: string,
  sizes: readonly number[],
  prepare: (size: number) => () => unknown,
): Slope {
  const points = sizes.map(size => {
    const run = prepare(size);
    warmUp(run);
    return {size, samples: repeat(() => cpuOfCallUs(run))};
  });
  return createSlope(name, per, 'us', points);
}

/** A quantity that does not vary between repetitions, such as a length. */
export function exactSlope(
  name: string,
  per: string,
  unit: string,
  sizes: readonly number[],
  read: (size: number) => number,
): Slope {
  const points = sizes.map(size => ({size, samples: [read(size)]}));
  return createSlope(name, per, unit, points);
}

/** Heap and buffers kept by what `create` returns, in bytes. */
export function memorySlope(
  name: string,
  per: string,
  sizes: readonly number[],
  create: (size: number) => unknown,
): Slope {
  const points = sizes.map((size): Point => {
    const samples = repeat(() => {
      const before = usedBytes();
      const kept = [create(size)];
      const bytes = usedBytes() - before;
      kept.length = 0;
      return bytes;
    });
    return {size, samples};
  });
  return createSlope(name, per, 'B', points);
}

function usedBytes(): number {
  // Twice, because buffers are freed by finalizers after the first pass.
  globalThis.gc?.();
  globalThis.gc?.();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

export function repeat<T>(run: () => T): T[] {
  return Array.from({length: REPEATS}, run);
}

/** Processor time so far of another process, all threads, in microseconds. */
export function cpuOfProcessUs(pid: number): number {
  const tasks = `/proc/${pid}/task`;
  return readdirSync(tasks).reduce(
    (sumUs, task) => sumUs + cpuOfTaskUs(`${tasks}/${task}`),
    0,
  );
}

/** Scheduler statistics are in nanoseconds; `stat` counts steps of 10 ms. */
function cpuOfTaskUs(task: string): number {
  try {
    const [ranNs] = readFileSync(`${task}/schedstat`, 'utf8').split(' ');
    return Number(ranNs) / 1000;
  } catch {
    const stat = readFileSync(`${task}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[11]) + Number(fields[12])) * 10_000;
  }
}

/** Resident memory of another process, in bytes. */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * 1024;
}

export function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Processor time of a process per second of wall time, in microseconds. */
export async function cpuPerSecond(
  pid: number,
  windowMs: number,
): Promise<number> {
  const startUs = cpuOfProcessUs(pid);
  const startMs = performance.now();
  await sleep(windowMs);
  const seconds = (performance.now() - startMs) / 1000;
  return (cpuOfProcessUs(pid) - startUs) / seconds;
}

/** Runs `act` as often per tick of 10 ms as the rate asks for. */
export function pace(perSecond: number, act: () => void): () => void {
  let owed = 0;
  const timer = setInterval(() => {
    owed += (perSecond * TICK_MS) / 1000;
    for (; owed >= 1; owed--) act();
  }, TICK_MS);
  return () => clearInterval(timer);
}
