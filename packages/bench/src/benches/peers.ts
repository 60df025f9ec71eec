/**
 * What an entry spends on the other entries without a request: processor time,
 * traffic and memory by the number of entries, over relays and, as baseline,
 * with reports of each entry to all others. One entry is measured in a process
 * of its own; the others share a process.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import {DisposableStore} from '@azurecrank/core';
import type {RegisteredEntry} from '@azurecrank/forwarding';
import type {Bench, BenchOptions} from '../framework/bench.js';
import type {
  ExchangeKind,
  PeerRequest,
  PeerResponse,
  PeerUsage,
} from '../peers/peer_messages.js';

const SIZES = [19, 44, 68, 201];

/** Largest fleet in which all entries can report to all others here. */
const MAX_FULL_ENTRIES = 68;

const ZONES = ['a', 'b', 'c', 'd', 'e'];
const SETTLE_MS = 10_000;
const MEASURE_MS = 5000;

/** Attempts to start an entry that the plan makes a relay, or not. */
const MAX_STARTS = 30;

const PROCESS_FILE = join(import.meta.dirname, '..', 'peers/peer_process.js');

interface Measurement {
  readonly coreShare: number;
  readonly bytesPerS: number;
  readonly residentMb: number;
}

class PeerProcess implements Disposable {
  private readonly child: ChildProcess = fork(PROCESS_FILE);

  async ask(request: PeerRequest): Promise<PeerResponse> {
    const response = once(this.child, 'message');
    this.child.send(request);
    const [message] = (await response) as [PeerResponse];
    return message;
  }

  async start(
    kind: ExchangeKind,
    zones: readonly string[],
  ): Promise<readonly RegisteredEntry[]> {
    const response = await this.ask({type: 'start', kind, zones});
    return response.type === 'started' ? response.registered : [];
  }

  async usage(): Promise<PeerUsage> {
    return (await this.ask({type: 'usage'})) as PeerUsage;
  }

  async measure(): Promise<Measurement> {
    const before = await this.usage();
    const beganMs = performance.now();
    await sleep(MEASURE_MS);
    const after = await this.usage();
    const elapsedMs = performance.now() - beganMs;
    return {
      coreShare: (after.cpuUs - before.cpuUs) / 1000 / elapsedMs,
      bytesPerS:
        (after.trafficBytes - before.trafficBytes) / (elapsedMs / 1000),
      residentMb: after.residentBytes / 1e6,
    };
  }

  [Symbol.dispose](): void {
    this.child.kill();
  }
}

/** Starts entries until the plan gives one the wanted role. */
async function startMeasured(
  kind: ExchangeKind,
  others: readonly RegisteredEntry[],
  wantsRelay: boolean,
): Promise<{process: PeerProcess; registered: readonly RegisteredEntry[]}> {
  // They end together, so that each one gets another port.
  using rejected = new DisposableStore();
  for (let i = 0; i < MAX_STARTS; i++) {
    const process = new PeerProcess();
    const registered = await process.start(kind, ['a']);
    await process.ask({type: 'entries', entries: [...others, ...registered]});
    const isRelay = (await process.usage()).relays > 0;
    if (kind === 'full' || isRelay === wantsRelay) return {process, registered};
    rejected.add(process);
  }
  throw new Error('no entry got the wanted role');
}

/** Measures one entry among many, idle and while all reports change. */
async function measureEntry(
  kind: ExchangeKind,
  count: number,
  wantsRelay: boolean,
): Promise<{idle: Measurement; busy: Measurement}> {
  using others = new PeerProcess();
  const zones = Array.from(
    {length: count - 1},
    (_, i) => ZONES[i % ZONES.length],
  );
  const otherEntries = await others.start(kind, zones);
  const measured = await startMeasured(kind, otherEntries, wantsRelay);
  using process = measured.process;
  const entries = [...otherEntries, ...measured.registered];
  await others.ask({type: 'entries', entries});
  await sleep(SETTLE_MS);
  const idle = await process.measure();
  await others.ask({type: 'change'});
  await process.ask({type: 'change'});
  const busy = await process.measure();
  return {idle, busy};
}

function describe({coreShare, bytesPerS, residentMb}: Measurement): string {
  return [
    `${coreShare.toFixed(4)} of a core`,
    `${(bytesPerS / 1000).toFixed(1)} KB/s`,
    `${residentMb.toFixed(0)} MB`,
  ].join(', ');
}

async function run({log}: BenchOptions) {
  const shares = new Map<string, number>();
  for (const count of SIZES) {
    const cases: Array<readonly [string, ExchangeKind, boolean]> = [
      ['entry', 'mesh', false],
      ['relay', 'mesh', true],
    ];
    if (count <= MAX_FULL_ENTRIES) cases.push(['to all', 'full', false]);
    for (const [name, kind, wantsRelay] of cases) {
      const {idle, busy} = await measureEntry(kind, count, wantsRelay);
      log(`${count} entries, ${name}, idle: ${describe(idle)}`);
      log(`${count} entries, ${name}, busy: ${describe(busy)}`);
      shares.set(`${name} ${count}`, idle.coreShare);
    }
  }
  const shareOf = (name: string) => shares.get(name) ?? NaN;
  const ours = shareOf('entry 68');
  const baseline = shareOf('to all 68');
  return {
    ours,
    baseline,
    target: 'a fifth of reports to all at 68; 201 at most 1.5 times 19',
    met:
      ours <= baseline / 5 && shareOf('entry 201') <= 1.5 * shareOf('entry 19'),
  };
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

export const bench: Bench = {
  name: 'peers',
  description: 'share of a core of an idle entry for 67 others, over relays',
  run,
};
