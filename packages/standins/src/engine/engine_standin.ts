/** Stand-in for a model engine that holds a range of layers. */
import {Decoder, Encoder} from 'cbor-x';
import {
  prefixHashes,
  type CacheEvent,
  type EngineInfo,
  type EngineOrder,
  type EngineOutput,
  type EngineStep,
} from '@azurecrank/core';
import {StandinServer, delay, parseJson} from '../http/standin_server.js';
import {runLayers, toText, toToken, tokenize} from './reference_model.js';

const encoder = new Encoder({useRecords: false, tagUint8Array: false});
const decoder = new Decoder({mapsAsObjects: true});
const BYTES_PER_POSITION = 4;
const LOAD_REPORT_LAG_MS = 500;

/** Cache events are published late, and each seventh one is lost. */
const CACHE_EVENT_LAG_MS = 500;
const LOST_EVENT_INTERVAL = 7;

/** Prompt prefixes that the cache holds before it evicts the oldest. */
const MAX_PREFIXES = 256;
const MAX_EVENTS = 1000;

interface TimedEvent {
  readonly event: CacheEvent;
  readonly atMs: number;
}

interface Sequence {
  states: Uint32Array;
  nextPosition: number;
}

export interface EngineStandinOptions {
  readonly info: EngineInfo;
  /** Layers of the whole model. */
  readonly modelLayers: number;
  /** Fixed time of each batch, in milliseconds. */
  readonly batchOverheadMs: number;
}

export class EngineStandin extends StandinServer {
  private info: EngineInfo;
  private readonly sequences = new Map<string, Sequence>();
  /** How often each position of each sequence ran, for tests. */
  private readonly executions = new Map<string, number>();
  private readonly events: TimedEvent[] = [];
  private lastEventSeq = 0;
  private readonly prefixes = new Set<number>();
  private newestFence = 0;
  private batch: Promise<unknown> = Promise.resolve();
  private queuedSteps = 0;
  private busyMs = 0;

  constructor(private readonly options: EngineStandinOptions) {
    super();
    this.info = options.info;
    this.addStepRoutes();
    this.addCacheRoutes();
    this.addControlRoutes();
  }

  private addStepRoutes(): void {
    this.route('POST', '/v1/tokenize', async request => {
      const {text} = parseJson<{text: string}>(request);
      this.storePrefixes(text);
      return {status: 200, body: {tokens: tokenize(text)}};
    });
    this.route('POST', '/v1/run', async request => {
      const steps = decoder.decode(request.body) as EngineStep[];
      const outputs = await this.runInTurn(steps);
      return {status: 200, body: encoder.encode(outputs)};
    });
    this.route('POST', '/v1/release', async request => {
      const {sequences} = parseJson<{sequences: string[]}>(request);
      for (const sequence of sequences) this.sequences.delete(sequence);
      return {status: 204};
    });
  }

  private addCacheRoutes(): void {
    this.route('GET', '/v1/kv/:sequence', async ({params}) => {
      const sequence = this.sequences.get(decodeURIComponent(params.sequence));
      if (!sequence) return {status: 404};
      const {states, nextPosition} = sequence;
      const body = encoder.encode({states: [...states], nextPosition});
      return {status: 200, body};
    });
    this.route('PUT', '/v1/kv/:sequence', async ({params, body}) => {
      const {states, nextPosition} = decoder.decode(body) as {
        states: number[];
        nextPosition: number;
      };
      this.sequences.set(decodeURIComponent(params.sequence), {
        states: Uint32Array.from(states),
        nextPosition,
      });
      return {status: 204};
    });
    this.route('GET', '/v1/events', async ({query}) => {
      const after = Number(query.get('after'));
      const shownUntilMs = performance.now() - CACHE_EVENT_LAG_MS;
      const events = this.events
        .filter(({atMs}) => atMs <= shownUntilMs)
        .map(({event}) => event)
        .filter(({seq}) => seq > after && seq % LOST_EVENT_INTERVAL !== 0);
      return {status: 200, body: {events}};
    });
  }

  private addControlRoutes(): void {
    this.route('GET', '/v1/info', async () => ({
      status: 200,
      body: this.info,
    }));
    this.route('GET', '/v1/load', async () => ({
      status: 200,
      body: {
        runningSequences: this.sequences.size,
        queuedSteps: this.queuedSteps,
        ageMs: LOAD_REPORT_LAG_MS,
      },
    }));
    this.route('GET', '/debug', async () => ({
      status: 200,
      body: {
        executions: Object.fromEntries(this.executions),
        sequences: this.sequences.size,
        busyMs: this.busyMs,
      },
    }));
    this.route('GET', '/busy', async () => ({
      status: 200,
      body: {busyMs: this.busyMs},
    }));
    this.route('POST', '/v1/orders', async request => {
      const order = parseJson<EngineOrder>(request);
      if (this.info.checksFence && order.fence < this.newestFence) {
        const body = {kind: 'fenced', newestFence: this.newestFence};
        return {status: 200, body};
      }
      this.newestFence = Math.max(this.newestFence, order.fence);
      this.load(order);
      return {status: 200, body: {kind: 'done'}};
    });
  }

  /** Notes a prompt's prefixes as stored, and evicts the oldest ones. */
  private storePrefixes(text: string): void {
    for (const prefixHash of prefixHashes(text)) {
      if (this.prefixes.has(prefixHash)) continue;
      this.prefixes.add(prefixHash);
      this.publish('stored', prefixHash);
    }
    for (const prefixHash of this.prefixes) {
      if (this.prefixes.size <= MAX_PREFIXES) return;
      this.prefixes.delete(prefixHash);
      this.publish('evicted', prefixHash);
    }
  }

  private publish(kind: CacheEvent['kind'], prefixHash: number): void {
    const event = {seq: ++this.lastEventSeq, kind, prefixHash};
    this.events.push({event, atMs: performance.now()});
    this.events.splice(0, Math.max(0, this.events.length - MAX_EVENTS));
  }

  private load(order: EngineOrder): void {
    const {model, modelVersion, firstLayer, endLayer} = order;
    const isSame =
      model === this.info.model &&
      modelVersion === this.info.modelVersion &&
      firstLayer === this.info.firstLayer &&
      endLayer === this.info.endLayer;
    if (isSame) return;
    this.sequences.clear();
    this.info = {...this.info, model, modelVersion, firstLayer, endLayer};
  }

  /** Batches run one after the other, as on one accelerator. */
  private runInTurn(steps: readonly EngineStep[]): Promise<EngineOutput[]> {
    this.queuedSteps += steps.length;
    const run = this.batch.then(async () => {
      const durationMs = this.durationMs(steps);
      this.busyMs += durationMs;
      // A timer takes at least 1 ms, even for an engine without step time.
      if (durationMs > 0) await delay(durationMs);
      this.queuedSteps -= steps.length;
      return steps.map(step => this.runStep(step));
    });
    this.batch = run.catch(() => undefined);
    return run;
  }

  private durationMs(steps: readonly EngineStep[]): number {
    const {firstLayer, endLayer, layerMs, prefillLayerMs} = this.info;
    const layers = endLayer - firstLayer;
    const prefillTokens = steps
      .filter(step => step.count > 1)
      .reduce((sum, step) => sum + step.count, 0);
    const perLayerMs = layerMs + prefillTokens * prefillLayerMs;
    return this.options.batchOverheadMs + layers * perLayerMs;
  }

  private runStep(step: EngineStep): EngineOutput {
    const sequence = this.findSequence(step);
    if (!sequence || sequence.nextPosition !== step.position) {
      const cause = `cache is at ${sequence?.nextPosition ?? 'nothing'}`;
      return {kind: 'failed', sequence: step.sequence, cause};
    }
    const {firstLayer, endLayer} = this.info;
    const output = Buffer.alloc(step.count * BYTES_PER_POSITION);
    let hidden = 0;
    for (let index = 0; index < step.count; index++) {
      const input = readInput(step, index);
      hidden = runLayers(sequence.states, firstLayer, endLayer, input);
      output.writeUInt32LE(hidden, index * BYTES_PER_POSITION);
      this.countExecution(step.sequence, step.position + index);
    }
    sequence.nextPosition += step.count;
    return this.toOutput(step, hidden, output);
  }

  private toOutput(
    step: EngineStep,
    hidden: number,
    output: Buffer,
  ): EngineOutput {
    if (this.info.endLayer < this.options.modelLayers) {
      return {kind: 'activation', sequence: step.sequence, data: output};
    }
    const token = toToken(hidden);
    return {
      kind: 'token',
      sequence: step.sequence,
      token,
      text: toText(token),
      finished: false,
    };
  }

  private findSequence(step: EngineStep): Sequence | undefined {
    const existing = this.sequences.get(step.sequence);
    if (existing || step.position > 0) return existing;
    const layers = this.info.endLayer - this.info.firstLayer;
    const created = {states: new Uint32Array(layers), nextPosition: 0};
    this.sequences.set(step.sequence, created);
    return created;
  }

  private countExecution(sequence: string, position: number): void {
    const key = `${sequence}@${position}`;
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
  }
}

function readInput(step: EngineStep, index: number): number {
  if (step.tokens) return step.tokens[index];
  const data = step.data ?? new Uint8Array();
  const view = new DataView(data.buffer, data.byteOffset, data.byteLength);
  return view.getUint32(index * BYTES_PER_POSITION, true);
}
