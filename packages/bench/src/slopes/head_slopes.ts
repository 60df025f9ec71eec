/** Slopes of a side process, measured from outside the process. */
import type {Message, PeerAddress, RequestId} from '@azurecrank/core';
import type {Fleet, RunningProcess} from '../fleet/fleet.js';
import {createSlope, type Point, type Slope} from './fit.js';
import {
  cpuOfProcessUs,
  cpuPerSecond,
  pace,
  residentBytes,
  sleep,
} from './measure.js';
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
const STEPS_PER_S = [200, 400, 800, 1600];
const LOG_TOKENS = [100, 200, 400, 800];
const LOG_BYTES = 1024;
const ACTIVATION_BYTES = [1024, 4096, 16_384, 65_536];
const RECONNECTS = [100, 200, 400, 800];
const WINDOWS = 3;
const WINDOW_MS = 2000;
const SETTLE_MS = 1000;
const IDLE_PING_MS = 2000;
const BATCH_MS = 4;
const SEQUENCES = 105;

/** Sequences whose last position has left the measured stage. */
const idle = new Set<RequestId>();
const ACTIVATION_STEPS_PER_S = 200;

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
  readonly engine: RawEngine;
}

async function withSide(
  stage: number,
  run: (part: Part) => Promise<Slope[]>,
): Promise<Slope[]> {
  using fleet = await startFleet();
  using engine = await new RawEngine(engineInfo(stage), BATCH_MS).start();
  const side = await fleet.startSideProcess(`measured-${stage}`, {
    engine_url: engine.url,
    log_level: 'error',
  });
  await sleep(SETTLE_MS);
  // Awaited, so that the processes are not ended before the measurement.
  return await run({fleet, side, engine});
}

export function headSlopes(): Promise<Slope[]> {
  return withSide(0, async ({side}) => [
    ...(await linkSlopes(side, 'head')),
    await pingSlope(side),
    ...(await reconnectSlopes(side, 'head')),
  ]);
}

/** Connected entries that ping every 2 s and get a load report each second. */
async function linkSlopes(
  side: RunningProcess,
  name: string,
): Promise<Slope[]> {
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
    createSlope(`${name}.link_cpu`, 'links', 'us/s', cpu),
    createSlope(`${name}.link_memory`, 'links', 'B', memory),
    createSlope(`${name}.link_received`, 'links', 'B/s', received),
    createSlope(`${name}.link_sent`, 'links', 'B/s', sent),
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

/** Entries connect to every stage of a chain, not only to its head. */
export function stageLinkSlopes(): Promise<Slope[]> {
  return withSide(1, ({side}) => linkSlopes(side, 'stage'));
}

/** Without the pong the stage would replace the connection. */
function takeOutput(message: Message, peer: RawPeer): void {
  if (message.type === 'ping') peer.send({...message, type: 'pong'});
  if (message.type === 'activation') idle.add(message.request);
}

/** A stage in the middle of a chain of 8. */
export function stageSlopes(): Promise<Slope[]> {
  return withSide(1, async ({side, engine}) => {
    using next = await new RawListener('next', takeOutput).listen();
    const {address} = next;
    const log = await logPoints(side, address);
    const steps: Point[] = [];
    for (const size of STEPS_PER_S) {
      const run = await cpuOfSteps(side, engine, address, size, LOG_BYTES);
      steps.push({size: run.stepsPerS, samples: run.samples});
    }
    const bytes: Point[] = [];
    const perSecond = ACTIVATION_STEPS_PER_S;
    for (const size of ACTIVATION_BYTES) {
      const run = await cpuOfSteps(side, engine, address, perSecond, size);
      bytes.push({size, samples: run.samples.map(us => us / run.stepsPerS)});
    }
    return [
      createSlope('stage.log_bytes', 'tokens of 1 KB', 'B', log),
      createSlope('stage.step_cpu', 'steps/s', 'us/s', steps),
      createSlope('stage.byte_cpu', 'activation bytes', 'us/step', bytes),
    ];
  });
}

/** Log size after a known number of tokens, before orphans are released. */
async function logPoints(
  side: RunningProcess,
  next: PeerAddress,
): Promise<Point[]> {
  const points: Point[] = [];
  let tokens = 0;
  for (const size of LOG_TOKENS) {
    const sender = await startSteps(side, next, `log-${size}`, size, LOG_BYTES);
    await sleep(SETTLE_MS);
    tokens += sender.stop();
    await sleep(SETTLE_MS);
    points.push({size: tokens, samples: [await readLogBytes(side)]});
  }
  return points;
}

async function readLogBytes({httpUrl}: RunningProcess): Promise<number> {
  const text = await (await fetch(`${httpUrl}/metrics`)).text();
  return Number(/^azurecrank_activation_log_bytes (\d+)/m.exec(text)?.[1]);
}

/**
 * Sends a position of a sequence once its last one has left the stage, as a
 * stage before does; positions further ahead would be dropped as gaps.
 * `stop` returns the count.
 */
async function startSteps(
  side: RunningProcess,
  next: PeerAddress,
  name: string,
  perSecond: number,
  bytes: number,
): Promise<{stop: () => number}> {
  const hello = createHello('previous', 'side');
  const address = peerAddressOf(side);
  const peer = await connectRaw(address, hello, () => undefined);
  const chain = createChain('m', stage => (stage === 1 ? address : next));
  const data = Buffer.alloc(bytes, 7);
  const positions = new Map<RequestId, number>();
  idle.clear();
  for (let index = 0; index < SEQUENCES; index++) {
    idle.add(`${name}-${index}` as RequestId);
  }
  let sent = 0;
  const stop = pace(perSecond, () => {
    const [request] = idle;
    if (request === undefined) return;
    idle.delete(request);
    const position = positions.get(request) ?? 0;
    positions.set(request, position + 1);
    sent++;
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
  const end = () => {
    stop();
    setTimeout(() => peer.close(), SETTLE_MS / 2);
    return sent;
  };
  return {stop: end};
}

/** The rate is counted at the engine, because the sender may be behind. */
async function cpuOfSteps(
  side: RunningProcess,
  engine: RawEngine,
  next: PeerAddress,
  perSecond: number,
  bytes: number,
): Promise<{samples: number[]; stepsPerS: number}> {
  // A name of its own, because the stage answers known positions from its log.
  const name = `cpu-${engine.steps}-${perSecond}-${bytes}`;
  const sender = await startSteps(side, next, name, perSecond, bytes);
  await sleep(SETTLE_MS);
  const firstStep = engine.steps;
  const startMs = performance.now();
  const samples = await windows(side.program.pid);
  const seconds = (performance.now() - startMs) / 1000;
  const stepsPerS = (engine.steps - firstStep) / seconds;
  sender.stop();
  return {samples, stepsPerS};
}
