/** Calls on the key-value service by processes that have nothing to do. */
import type {Fleet} from '../fleet/fleet.js';
import {createSlope, type Point, type Slope} from './fit.js';
import {cpuPerSecond, residentBytes, sleep} from './measure.js';
import {RawEngine} from './raw_engine.js';
import {engineInfo, keyValueCalls, startFleet} from './stage_set.js';

const PROCESSES = [2, 4, 8, 16];
const WINDOW_MS = 4000;
const WINDOWS = 2;
const SETTLE_MS = 3000;

interface Figures {
  readonly reads: number[];
  readonly writes: number;
}

/** Processes without peers: each of them watches by itself. */
export async function keyValueSlopes(): Promise<Slope[]> {
  const entries: Point[] = [];
  const sides: Point[] = [];
  const registrations: Point[] = [];
  for (const size of PROCESSES) {
    const atEntries = await measure(size, startEntry);
    entries.push({size, samples: atEntries.reads});
    const atSides = await measure(size, startSide);
    sides.push({size, samples: atSides.reads});
    registrations.push({size, samples: [atSides.writes]});
  }
  return [
    createSlope('kv.entry_reads', 'entries', '1/s', entries),
    createSlope('kv.side_reads', 'sides', '1/s', sides),
    createSlope('kv.side_start_writes', 'sides', 'writes', registrations),
  ];
}

type Start = (fleet: Fleet, engine: RawEngine, index: number) => Promise<void>;

async function startEntry(fleet: Fleet, _: RawEngine, index: number) {
  await fleet.startEntry(`entry-${index}`, {log_level: 'error'});
}

async function startSide(fleet: Fleet, engine: RawEngine, index: number) {
  const settings = {engine_url: engine.url, log_level: 'error'};
  await fleet.startSideProcess(`s-${index}`, settings);
}

async function measure(size: number, start: Start): Promise<Figures> {
  using fleet = await startFleet();
  using engine = await new RawEngine(engineInfo(1), 1).start();
  const before = await keyValueCalls(fleet);
  await Promise.all(
    Array.from({length: size}, (_, index) => start(fleet, engine, index)),
  );
  const {writes} = await keyValueCalls(fleet);
  await sleep(SETTLE_MS);
  const reads: number[] = [];
  for (let index = 0; index < WINDOWS; index++) {
    const first = await keyValueCalls(fleet);
    await sleep(WINDOW_MS);
    const last = await keyValueCalls(fleet);
    reads.push(((last.reads - first.reads) * 1000) / WINDOW_MS);
  }
  return {reads, writes: writes - before.writes};
}

export interface BaseFigures {
  readonly process: string;
  readonly residentBytes: number;
  /** Processor time per second without any work, in microseconds. */
  readonly idleCpuUsPerS: readonly number[];
}

/** Memory and start cost of processes without work. */
export async function baseFigures(barePid: number): Promise<BaseFigures[]> {
  using fleet = await startFleet();
  using engine = await new RawEngine(engineInfo(1), 1).start();
  const entry = await fleet.startEntry('base', {log_level: 'error'});
  const side = await fleet.startSideProcess('base', {
    engine_url: engine.url,
    log_level: 'error',
  });
  await sleep(SETTLE_MS);
  const processes = [
    ['node without code', barePid],
    ['entry', entry.program.pid],
    ['side', side.program.pid],
  ] as const;
  const figures: BaseFigures[] = [];
  for (const [process, pid] of processes) {
    const idleCpuUsPerS: number[] = [];
    for (let index = 0; index < WINDOWS; index++) {
      idleCpuUsPerS.push(await cpuPerSecond(pid, WINDOW_MS));
    }
    figures.push({process, residentBytes: residentBytes(pid), idleCpuUsPerS});
  }
  return figures;
}
