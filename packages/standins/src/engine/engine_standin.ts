/**
 * Stand-in for a model engine that holds a range of layers. It computes tokens
 * with the reference model, simulates the duration of batches, and delays and
 * drops cache events.
 */
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
/** Age that every load report states. */
const LOAD_REPORT_AGE_MS = 500;

/**
 * Cache events become visible after a delay, and every seventh one is dropped:
 * engines do not guarantee that events arrive at once or at all.
 */
const CACHE_EVENT_DELAY_MS = 500;
const DROPPED_EVENT_INTERVAL = 7;

/** Number of prompt prefixes above which the cache evicts the oldest ones. */
const MAX_CACHED_PREFIXES = 256;
const MAX_RETAINED_EVENTS = 1000;

interface TimedEvent {
  readonly event: CacheEvent;
  readonly publishedAtMs: number;
}

/** The KV cache of one sequence: a state per layer. */
interface Sequence {
  states: Uint32Array;
  nextPosition: number;
}

export interface EngineStandinOptions {
  readonly info: EngineInfo;
  /** Number of layers of the whole model. */
  readonly modelLayers: number;
  /** Fixed time that each batch takes, in addition to its layers and tokens. */
  readonly batchOverheadMs: number;
}

export class EngineStandin extends StandinServer {
  private info: EngineInfo;
  private readonly sequences = new Map<string, Sequence>();
  /** Number of runs by `SEQUENCE@POSITION`; tests read it from `/debug`. */
  private readonly executionCounts = new Map<string, number>();
  private readonly events: TimedEvent[] = [];
  private lastEventSeq = 0;
  private readonly cachedPrefixes = new Set<number>();
  private newestFence = 0;
  private lastBatch: Promise<unknown> = Promise.resolve();
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
      this.cachePrefixes(text);
      return {status: 200, body: {tokens: tokenize(text)}};
    });
    this.route('POST', '/v1/run', async request => {
      const steps = decoder.decode(request.body) as EngineStep[];
      const outputs = await this.runBatchSerially(steps);
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
      const visibleUntilMs = performance.now() - CACHE_EVENT_DELAY_MS;
      const events = this.events
        .filter(({publishedAtMs}) => publishedAtMs <= visibleUntilMs)
        .map(({event}) => event)
        .filter(({seq}) => seq > after && seq % DROPPED_EVENT_INTERVAL !== 0);
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
        ageMs: LOAD_REPORT_AGE_MS,
      },
    }));
    this.route('GET', '/debug', async () => ({
      status: 200,
      body: {
        executions: Object.fromEntries(this.executionCounts),
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
      this.loadLayers(order);
      return {status: 200, body: {kind: 'done'}};
    });
  }

  /** Adds a prompt's prefixes to the cache and evicts the oldest ones. */
  private cachePrefixes(text: string): void {
    for (const prefixHash of prefixHashes(text)) {
      if (this.cachedPrefixes.has(prefixHash)) continue;
      this.cachedPrefixes.add(prefixHash);
      this.publishCacheEvent('stored', prefixHash);
    }
    for (const prefixHash of this.cachedPrefixes) {
      if (this.cachedPrefixes.size <= MAX_CACHED_PREFIXES) return;
      this.cachedPrefixes.delete(prefixHash);
      this.publishCacheEvent('evicted', prefixHash);
    }
  }

  private publishCacheEvent(
    kind: CacheEvent['kind'],
    prefixHash: number,
  ): void {
    const event = {seq: ++this.lastEventSeq, kind, prefixHash};
    this.events.push({event, publishedAtMs: performance.now()});
    this.events.splice(
      0,
      Math.max(0, this.events.length - MAX_RETAINED_EVENTS),
    );
  }

  private loadLayers(order: EngineOrder): void {
    const {model, modelVersion, firstLayer, endLayer} = order;
    const isAlreadyLoaded =
      model === this.info.model &&
      modelVersion === this.info.modelVersion &&
      firstLayer === this.info.firstLayer &&
      endLayer === this.info.endLayer;
    if (isAlreadyLoaded) return;
    this.sequences.clear();
    this.info = {...this.info, model, modelVersion, firstLayer, endLayer};
  }

  /** Runs batches one at a time, since an engine has a single accelerator. */
  private runBatchSerially(
    steps: readonly EngineStep[],
  ): Promise<EngineOutput[]> {
    this.queuedSteps += steps.length;
    const run = this.lastBatch.then(async () => {
      const durationMs = this.batchDurationMs(steps);
      this.busyMs += durationMs;
      // Skipped at 0, because a timer takes at least 1 ms.
      if (durationMs > 0) await delay(durationMs);
      this.queuedSteps -= steps.length;
      return steps.map(step => this.runStep(step));
    });
    this.lastBatch = run.catch(() => undefined);
    return run;
  }

  private batchDurationMs(steps: readonly EngineStep[]): number {
    const {firstLayer, endLayer, layerMs, prefillLayerMs} = this.info;
    const layers = endLayer - firstLayer;
    const prefillTokens = steps
      .filter(step => step.count > 1)
      .reduce((sum, step) => sum + step.count, 0);
    const perLayerMs = layerMs + prefillTokens * prefillLayerMs;
    return this.options.batchOverheadMs + layers * perLayerMs;
  }

  private runStep(step: EngineStep): EngineOutput {
    const sequence = this.findOrCreateSequence(step);
    if (!sequence || sequence.nextPosition !== step.position) {
      const cause = `the next position in the KV cache is ${sequence?.nextPosition ?? 'none'}`;
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

  private findOrCreateSequence(step: EngineStep): Sequence | undefined {
    const existing = this.sequences.get(step.sequence);
    if (existing || step.position > 0) return existing;
    const layers = this.info.endLayer - this.info.firstLayer;
    const created = {states: new Uint32Array(layers), nextPosition: 0};
    this.sequences.set(step.sequence, created);
    return created;
  }

  private countExecution(sequence: string, position: number): void {
    const key = `${sequence}@${position}`;
    this.executionCounts.set(key, (this.executionCounts.get(key) ?? 0) + 1);
  }
}

/** Returns a step's input at `index`: a token or a hidden state. */
function readInput(step: EngineStep, index: number): number {
  if (step.tokens) return step.tokens[index];
  const data = step.data ?? new Uint8Array();
  const view = new DataView(data.buffer, data.byteOffset, data.byteLength);
  return view.getUint32(index * BYTES_PER_POSITION, true);
}
