/** Slopes of an entry process, measured from outside the process. */
import type {Message, Open, StepMessage, TokenMessage} from '@azurecrank/core';
import {streamChat} from '../fleet/chat_client.js';
import type {Fleet, RunningProcess} from '../fleet/fleet.js';
import {createSlope, type Point, type Slope} from './fit.js';
import {reconnectSlopes} from './head_slopes.js';
import {cpuPerSecond, residentBytes, sleep} from './measure.js';
import {RawListener, sumCounts, type RawPeer} from './raw_peer.js';
import {MODEL, createChain, startFleet, writePlan} from './stage_set.js';

const HEADS = [12, 24, 48, 96];
const STREAMS = [15, 30, 60, 120];
const REQUESTS_PER_S = [10, 20, 40, 80];
/** 4 models with 12 chains each. */
const FOLLOWED_HEADS = 48;
const TOKEN_MS = 45;
const LOAD_MS = 1000;
const WINDOWS = 3;
const WINDOW_MS = 2000;
const SETTLE_MS = 2500;
/** Key of a workspace of `configText` that may use `MODEL`. */
const BEARER_KEY = 'key-4';
const PROMPT = 'word '.repeat(1000);
const PROMPT_TOKENS = Array.from({length: 1000}, (_, index) => 20_000 + index);

/** Heads that answer like a whole chain does, one token every 45 ms. */
class Heads implements Disposable {
  readonly listeners: RawListener[] = [];
  /** Messages received, by type. */
  readonly received = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor() {
    this.timer = setInterval(() => this.reportLoad(), LOAD_MS);
  }

  async start(count: number): Promise<this> {
    for (let index = 0; index < count; index++) {
      const listener = new RawListener(`head-${index}`, (message, peer) =>
        this.answer(message, peer),
      );
      this.listeners.push(await listener.listen());
    }
    return this;
  }

  get peers(): RawPeer[] {
    return this.listeners.flatMap(({peers}) => [...peers]);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
    for (const listener of this.listeners) listener[Symbol.dispose]();
  }

  private reportLoad(): void {
    for (const [index, {peers}] of this.listeners.entries()) {
      const report = {
        type: 'load',
        server: `server-${index}-0`,
        queueCostByRank: [1200, 45_000, 130_000],
        running: 48,
        limit: 64,
        stepMs: 38.25,
        prefixes: [],
      };
      for (const peer of peers) peer.send(report as unknown as Message);
    }
  }

  private answer(message: Message, peer: RawPeer): void {
    const {type} = message;
    this.received.set(type, (this.received.get(type) ?? 0) + 1);
    if (type === 'ping') return peer.send({...message, type: 'pong'});
    if (type === 'open') return this.grant(message, peer);
    if (type === 'step')
      setTimeout(() => this.sendToken(message, peer), TOKEN_MS);
  }

  private grant({request, attempt}: Open, peer: RawPeer): void {
    const promptTokens = PROMPT_TOKENS;
    peer.send({type: 'granted', request, attempt, promptTokens});
  }

  private sendToken(step: StepMessage, peer: RawPeer): void {
    const {request, attempt, position, tokens} = step;
    const last = position + tokens.length - 1;
    const token: TokenMessage = {
      type: 'token',
      request,
      attempt,
      position: last,
      token: 12_345,
      text: ' cherry',
      finished: false,
    };
    peer.send(token);
  }
}

interface Part extends Disposable {
  readonly heads: Heads;
  readonly entry: RunningProcess;
  readonly pid: number;
}

async function startPart(headCount: number): Promise<Part> {
  const fleet: Fleet = await startFleet();
  const heads = await new Heads().start(headCount);
  const chains = heads.listeners.map(({address}, index) =>
    createChain(String(index), () => address),
  );
  await writePlan(fleet, chains);
  const entry = await fleet.startEntry('measured', {
    chain_subset_size: headCount,
    log_level: 'error',
  });
  await sleep(SETTLE_MS);
  const {pid} = entry.program;
  const dispose = () => {
    heads[Symbol.dispose]();
    fleet[Symbol.dispose]();
  };
  return {heads, entry, pid, [Symbol.dispose]: dispose};
}

async function windows(pid: number): Promise<number[]> {
  const samples: number[] = [];
  for (let index = 0; index < WINDOWS; index++) {
    samples.push(await cpuPerSecond(pid, WINDOW_MS));
  }
  return samples;
}

/** Bytes per second in both directions while `run` takes its samples. */
async function withBytes(heads: Heads, run: () => Promise<number[]>) {
  const before = sumCounts(heads.peers);
  const startMs = performance.now();
  const samples = await run();
  const seconds = (performance.now() - startMs) / 1000;
  const after = sumCounts(heads.peers);
  const bytes =
    after.bytesIn + after.bytesOut - before.bytesIn - before.bytesOut;
  return {samples, bytesPerS: bytes / seconds};
}

/** Idle links to heads that report their load each second. */
export async function entryLinkSlopes(): Promise<Slope[]> {
  const cpu: Point[] = [];
  const memory: Point[] = [];
  const bytes: Point[] = [];
  for (const size of HEADS) {
    using part = await startPart(size);
    const {pid, heads} = part;
    const {samples, bytesPerS} = await withBytes(heads, () => windows(pid));
    cpu.push({size, samples});
    bytes.push({size, samples: [bytesPerS]});
    memory.push({size, samples: [residentBytes(pid)]});
  }
  return [
    createSlope('entry.link_cpu', 'links', 'us/s', cpu),
    createSlope('entry.link_memory', 'links', 'B', memory),
    createSlope('entry.link_bytes', 'links', 'B/s', bytes),
  ];
}

export async function entryLoadSlopes(): Promise<Slope[]> {
  using part = await startPart(FOLLOWED_HEADS);
  const {pid, entry} = part;
  const tokens = await tokenSlopes(part);
  const requests: Point[] = [];
  for (const size of REQUESTS_PER_S) {
    const stop = openEvery(entry, 1000 / size);
    await sleep(SETTLE_MS);
    requests.push({size, samples: await windows(pid)});
    stop();
    await sleep(SETTLE_MS);
  }
  return [
    ...tokens,
    createSlope('entry.request_cpu', 'requests/s', 'us/s', requests),
    ...(await reconnectSlopes(entry, 'entry')),
  ];
}

/** Long streams at one token every 45 ms, with 48 busy links. */
async function tokenSlopes({heads, entry, pid}: Part): Promise<Slope[]> {
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  const pings: Point[] = [];
  const memory: Point[] = [];
  for (const streams of STREAMS) {
    const done = Array.from({length: streams}, () => chat(entry, 220));
    await sleep(SETTLE_MS);
    const before = new Map(heads.received);
    const startMs = performance.now();
    const {samples, bytesPerS} = await withBytes(heads, () => windows(pid));
    const seconds = (performance.now() - startMs) / 1000;
    const rate = (type: string) =>
      ((heads.received.get(type) ?? 0) - (before.get(type) ?? 0)) / seconds;
    const size = rate('step');
    cpu.push({size, samples});
    bytes.push({size, samples: [bytesPerS]});
    pings.push({size: streams, samples: [rate('ping')]});
    memory.push({size: streams, samples: [residentBytes(pid)]});
    await Promise.all(done);
  }
  return [
    createSlope('entry.token_cpu', 'tokens/s', 'us/s', cpu),
    createSlope('entry.token_bytes', 'tokens/s', 'B/s', bytes),
    createSlope('entry.pings', 'streams', '1/s', pings),
    createSlope('entry.stream_memory', 'streams', 'B', memory),
  ];
}

/** @throws Error if the answer is not whole, because nothing was measured. */
async function chat({httpUrl}: RunningProcess, maxTokens: number) {
  const outcome = await streamChat({
    url: httpUrl,
    bearerKey: BEARER_KEY,
    service: `chat_${MODEL}`,
    prompt: PROMPT,
    maxTokens,
    headers: {'azurecrank-deadline-ms': '60000'},
  });
  if (!outcome.isComplete) throw new Error(`chat failed: ${outcome.reason}`);
}

function openEvery(entry: RunningProcess, periodMs: number): () => void {
  const timer = setInterval(() => void chat(entry, 1), periodMs);
  return () => clearInterval(timer);
}
