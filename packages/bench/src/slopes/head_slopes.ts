/** Slopes of a side process, measured from outside the process. */
import type {Message, PeerAddress} from '@azurecrank/core';
import type {Fleet, RunningProcess} from '../fleet/fleet.js';
import {createSlope, type Point, type Slope} from './fit.js';
import {cpuOfProcessUs, cpuPerSecond, residentBytes, sleep} from './measure.js';
import {RawEngine} from './raw_engine.js';
import {
  RawListener,
  connectRaw,
  createHello,
  sumCounts,
  type RawPeer,
} from './raw_peer.js';
import {createChain, engineInfo, startFleet} from './stage_set.js';

const LINKS = [50, 100, 200, 400];
const PINGS_PER_S = [100, 300, 600, 1200];
const STEPS_PER_S = [100, 200, 400, 800];
const ACTIVATION_BYTES = [1024, 4096, 16_384, 65_536];
const RECONNECTS = [100, 200, 400, 800];
const WINDOWS = 3;
const WINDOW_MS = 2000;
const SETTLE_MS = 700;
const IDLE_PING_MS = 2000;
const TICK_MS = 10;
const BATCH_MS = 4;
const SEQUENCES = 50;
const ACTIVATION_STEPS_PER_S = 200;

/** Runs `act` as often per tick of 10 ms as the rate asks for. */
function pace(perSecond: number, act: () => void): () => void {
  let owed = 0;
  const timer = setInterval(() => {
    owed += (perSecond * TICK_MS) / 1000;
    for (; owed >= 1; owed--) act();
  }, TICK_MS);
  return () => clearInterval(timer);
}

async function windows(pid: number): Promise<number[]> {
  const samples: number[] = [];
  for (let index = 0; index < WINDOWS; index++) {
    samples.push(await cpuPerSecond(pid, WINDOW_MS));
  }
  return samples;
}

function peerAddressOf({peerAddress}: RunningProcess): PeerAddress {
  return peerAddress as PeerAddress;
}

async function connectEntries(
  side: RunningProcess,
  count: number,
): Promise<RawPeer[]> {
  const connect = (_: unknown, index: number) =>
    connectRaw(
      peerAddressOf(side),
      createHello(`entry-${index}`, 'entry'),
      () => undefined,
    );
  return Promise.all(Array.from({length: count}, connect));
}

function pingEach(peers: readonly RawPeer[], perSecond: number): () => void {
  let next = 0;
  return pace(perSecond, () => {
    const seq = ++next;
    const ping = {type: 'ping', seq, configVersion: 0, planVersion: 0};
    peers[seq % peers.length].send(ping as Message);
  });
}

interface Part {
  readonly fleet: Fleet;
  readonly side: RunningProcess;
}

async function withSide(
  stage: number,
  run: (part: Part) => Promise<Slope[]>,
): Promise<Slope[]> {
  using fleet = await startFleet();
  using engine = await new RawEngine(engineInfo(stage), BATCH_MS).start();
  const side = await fleet.startSide(`measured-${stage}`, {
    engine_url: engine.url,
    log_level: 'error',
  });
  await sleep(SETTLE_MS);
  // Awaited, so that the processes are not ended before the measurement.
  return await run({fleet, side});
}

export function headSlopes(): Promise<Slope[]> {
  return withSide(0, async ({side}) => [
    ...(await linkSlopes(side)),
    await pingSlope(side),
    ...(await reconnectSlopes(side, 'head')),
  ]);
}

/** Connected entries that ping every 2 s and get a load report each second. */
async function linkSlopes(side: RunningProcess): Promise<Slope[]> {
  const {program} = side;
  const cpu: Point[] = [];
  const memory: Point[] = [];
  const received: Point[] = [];
  const sent: Point[] = [];
  for (const size of LINKS) {
    const peers = await connectEntries(side, size);
    const stop = pingEach(peers, (size * 1000) / IDLE_PING_MS);
    await sleep(SETTLE_MS);
    const before = sumCounts(peers);
    cpu.push({size, samples: await windows(program.pid)});
    const after = sumCounts(peers);
    const seconds = (WINDOWS * WINDOW_MS) / 1000;
    const bytes = (a: number, b: number) => [(b - a) / seconds];
    received.push({size, samples: bytes(before.bytesOut, after.bytesOut)});
    sent.push({size, samples: bytes(before.bytesIn, after.bytesIn)});
    memory.push({size, samples: [residentBytes(program.pid)]});
    stop();
    for (const peer of peers) peer.close();
    await sleep(SETTLE_MS);
  }
  return [
    createSlope('head.link_cpu', 'links', 'us/s', cpu),
    createSlope('head.link_memory', 'links', 'B', memory),
    createSlope('head.link_received', 'links', 'B/s', received),
    createSlope('head.link_sent', 'links', 'B/s', sent),
  ];
}

async function pingSlope(side: RunningProcess): Promise<Slope> {
  const peers = await connectEntries(side, 100);
  const points: Point[] = [];
  for (const size of PINGS_PER_S) {
    const stop = pingEach(peers, size);
    await sleep(SETTLE_MS);
    points.push({size, samples: await windows(side.program.pid)});
    stop();
  }
  for (const peer of peers) peer.close();
  return createSlope('head.ping_cpu', 'pings/s', 'us/s', points);
}

/** Everything connects at once: processor time and bytes of all of it. */
export async function reconnectSlopes(
  measured: RunningProcess,
  name: string,
): Promise<Slope[]> {
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const size of RECONNECTS) {
    const samples: number[] = [];
    let exchanged = 0;
    for (let index = 0; index < WINDOWS; index++) {
      const idleUs = await cpuPerSecond(measured.program.pid, SETTLE_MS);
      const startUs = cpuOfProcessUs(measured.program.pid);
      const peers = await connectEntries(measured, size);
      await sleep(SETTLE_MS);
      const idlePart = idleUs * (SETTLE_MS / 1000);
      samples.push(cpuOfProcessUs(measured.program.pid) - startUs - idlePart);
      const {bytesIn, bytesOut} = sumCounts(peers);
      exchanged = bytesIn + bytesOut;
      for (const peer of peers) peer.close();
      await sleep(SETTLE_MS);
    }
    cpu.push({size, samples});
    bytes.push({size, samples: [exchanged]});
  }
  return [
    createSlope(`${name}.reconnect_cpu`, 'connections', 'us', cpu),
    createSlope(`${name}.reconnect_bytes`, 'connections', 'B', bytes),
  ];
}

/** A stage in the middle of a chain of 8. */
export function stageSlopes(): Promise<Slope[]> {
  return withSide(1, async ({side}) => {
    using next = await new RawListener('next', () => undefined).listen();
    const run = (size: number, perSecond: number, bytes: number) =>
      runSteps(side, next.address, `${bytes}-${size}`, perSecond, bytes);
    const steps: Point[] = [];
    for (const size of STEPS_PER_S) {
      steps.push({size, samples: await run(size, size, ACTIVATION_BYTES[0])});
    }
    const bytes: Point[] = [];
    for (const size of ACTIVATION_BYTES) {
      const samples = await run(size, ACTIVATION_STEPS_PER_S, size);
      const perStep = samples.map(us => us / ACTIVATION_STEPS_PER_S);
      bytes.push({size, samples: perStep});
    }
    return [
      createSlope('stage.step_cpu', 'steps/s', 'us/s', steps),
      createSlope('stage.byte_cpu', 'activation bytes', 'us/step', bytes),
      createSlope('stage.log_bytes', 'tokens', 'B', await logPoints(side, run)),
    ];
  });
}

type Run = (size: number, perSecond: number, bytes: number) => Promise<unknown>;

/** The log of the last sequences before and after a known number of tokens. */
async function logPoints(side: RunningProcess, run: Run): Promise<Point[]> {
  const points: Point[] = [];
  for (const size of [100, 200, 300, 400]) {
    const before = await readLogBytes(side);
    const stepsPerRun = (size * (WINDOWS * WINDOW_MS + SETTLE_MS)) / 1000;
    await run(size, size, 512);
    await sleep(SETTLE_MS);
    const bytes = (await readLogBytes(side)) - before;
    points.push({size: stepsPerRun, samples: [bytes]});
  }
  return points;
}

async function readLogBytes({httpUrl}: RunningProcess): Promise<number> {
  const text = await (await fetch(`${httpUrl}/metrics`)).text();
  return Number(/^azurecrank_activation_log_bytes (\d+)/m.exec(text)?.[1]);
}

/** Sends one position of each sequence in turn at the given rate. */
async function runSteps(
  side: RunningProcess,
  next: PeerAddress,
  name: string,
  perSecond: number,
  bytes: number,
): Promise<number[]> {
  const hello = createHello('previous', 'side');
  const peer = await connectRaw(peerAddressOf(side), hello, () => undefined);
  const chain = createChain('m', stage =>
    stage === 1 ? peerAddressOf(side) : next,
  );
  const data = Buffer.alloc(bytes, 7);
  let sent = 0;
  const stop = pace(perSecond, () => {
    const position = Math.floor(sent / SEQUENCES);
    const request = `${name}-${perSecond}-${sent++ % SEQUENCES}`;
    peer.send({
      type: 'activation',
      request,
      attempt: 1,
      position,
      count: 1,
      data,
      rank: 'ordinary',
      entry: next,
      chain,
      stage: 1,
    } as unknown as Message);
  });
  await sleep(SETTLE_MS);
  const samples = await windows(side.program.pid);
  stop();
  peer.close();
  return samples;
}
