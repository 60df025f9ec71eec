/** Engine without a network, for tests of the modules that use one. */
import {
  Engine,
  type EngineInfo,
  type EngineOutput,
  type EngineStep,
  type ModelId,
  type OrderOutcome,
} from '@azurecrank/core';
import {runLayers, toText, toToken, tokenize} from '@azurecrank/standins';

const BYTES_PER_POSITION = 4;

interface Cache {
  readonly states: Uint32Array;
  nextPosition: number;
}

export class InMemoryEngine extends Engine {
  /** How often each position of each cache ran. */
  readonly executions = new Map<string, number>();
  private readonly caches = new Map<string, Cache>();

  constructor(
    private readonly firstLayer: number,
    private readonly endLayer: number,
    private readonly modelLayers: number,
  ) {
    super();
  }

  static tokensOf(prompt: string): number[] {
    return tokenize(prompt);
  }

  describe(model: ModelId, modelVersion: string): EngineInfo {
    const {firstLayer, endLayer} = this;
    return {
      model,
      modelVersion,
      firstLayer,
      endLayer,
      accelerator: 'memory',
      memoryBytes: 0,
      layerMs: 0,
      prefillLayerMs: 0,
      maxSequences: 8,
      checksFence: true,
    };
  }

  override async run(steps: readonly EngineStep[]): Promise<EngineOutput[]> {
    return steps.map(step => this.runStep(step));
  }

  override async release(sequences: readonly string[]): Promise<void> {
    for (const sequence of sequences) this.caches.delete(sequence);
  }

  override async info(): Promise<EngineInfo> {
    throw new Error('not used');
  }

  override async tokenize(text: string): Promise<number[]> {
    return tokenize(text);
  }

  override async exportKv(): Promise<Uint8Array> {
    throw new Error('not used');
  }

  override async importKv(): Promise<void> {}

  override async cacheEvents(): Promise<[]> {
    return [];
  }

  override async load() {
    return {runningSequences: this.caches.size, queuedSteps: 0, ageMs: 0};
  }

  override async order(): Promise<OrderOutcome> {
    return {kind: 'done'};
  }

  private runStep(step: EngineStep): EngineOutput {
    const {sequence, position, count} = step;
    const cache = this.caches.get(sequence) ?? this.create(sequence);
    if (cache.nextPosition !== position) {
      const cause = `cache is at ${cache.nextPosition}, not ${position}`;
      return {kind: 'failed', sequence, cause};
    }
    const data = Buffer.alloc(count * BYTES_PER_POSITION);
    let hidden = 0;
    for (let index = 0; index < count; index++) {
      const input = step.tokens
        ? step.tokens[index]
        : Buffer.from(step.data ?? []).readUInt32LE(index * BYTES_PER_POSITION);
      const {firstLayer, endLayer} = this;
      hidden = runLayers(cache.states, firstLayer, endLayer, input);
      data.writeUInt32LE(hidden, index * BYTES_PER_POSITION);
      const key = `${sequence}@${position + index}`;
      this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    }
    cache.nextPosition += count;
    if (this.endLayer < this.modelLayers) {
      return {kind: 'activation', sequence, data};
    }
    const token = toToken(hidden);
    const text = toText(token);
    return {kind: 'token', sequence, token, text, finished: false};
  }

  private create(sequence: string): Cache {
    const states = new Uint32Array(this.endLayer - this.firstLayer);
    const cache = {states, nextPosition: 0};
    this.caches.set(sequence, cache);
    return cache;
  }
}
