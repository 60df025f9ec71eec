/** The model engine of a backend server that holds a range of layers. */
import type {ModelId} from '../ids/ids.js';

export interface EngineInfo {
  readonly model: ModelId;
  readonly modelVersion: string;
  /** Layers [firstLayer, endLayer) that are loaded; equal if none are. */
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly accelerator: string;
  readonly memoryBytes: number;
  /** Time of one layer for one decode batch, in milliseconds. */
  readonly layerMs: number;
  /** Time of one layer for one prompt token, in milliseconds. */
  readonly prefillLayerMs: number;
  /** Sequences whose cache fits in memory. */
  readonly maxSequences: number;
  /** Whether the engine refuses an order with an old fencing number. */
  readonly checksFence: boolean;
}

/** Work for `count` positions of one sequence. */
export interface EngineStep {
  /** Key of the sequence's cache in the engine. */
  readonly sequence: string;
  readonly position: number;
  readonly count: number;
  /** Token ids, for the first stage. */
  readonly tokens?: readonly number[];
  /** Output of the stage before, for the others. */
  readonly data?: Uint8Array;
  /** 0 is the most urgent. */
  readonly priority: number;
}

export type EngineOutput =
  | {
      readonly kind: 'activation';
      readonly sequence: string;
      readonly data: Uint8Array;
    }
  | {
      readonly kind: 'token';
      readonly sequence: string;
      readonly token: number;
      readonly text: string;
      /** Whether the token ends the answer. */
      readonly finished: boolean;
    }
  | {
      readonly kind: 'failed';
      readonly sequence: string;
      readonly cause: string;
    };

export interface EngineOrder {
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  /** Compared by engines that check it: larger is newer. */
  readonly fence: number;
}

export type OrderOutcome =
  | {readonly kind: 'done'}
  | {readonly kind: 'fenced'; readonly newestFence: number};

export interface EngineLoad {
  readonly runningSequences: number;
  readonly queuedSteps: number;
  /** Age of the report when it was sent, in milliseconds. */
  readonly ageMs: number;
}

export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  /** Hash of a prompt prefix in blocks, as by `prefixHashes`. */
  readonly prefixHash: number;
}

/** The engine gave no usable answer. */
export class EngineError extends Error {
  constructor(
    readonly step: string,
    readonly peer: string,
    cause: string,
  ) {
    super(`engine ${peer}: ${step}: ${cause}`);
    this.name = 'EngineError';
  }
}

/** All methods throw `EngineError` when the engine does not answer. */
export abstract class Engine {
  abstract info(): Promise<EngineInfo>;
  abstract tokenize(text: string): Promise<number[]>;
  /** Runs one batch; the outputs stand in the order of the steps. */
  abstract run(steps: readonly EngineStep[]): Promise<EngineOutput[]>;
  /** Frees the cache of the sequences. */
  abstract release(sequences: readonly string[]): Promise<void>;
  abstract exportKv(sequence: string): Promise<Uint8Array>;
  abstract importKv(sequence: string, data: Uint8Array): Promise<void>;
  /** Events after `afterSeq`; sequence numbers may have gaps. */
  abstract cacheEvents(afterSeq: number): Promise<CacheEvent[]>;
  abstract load(): Promise<EngineLoad>;
  abstract order(order: EngineOrder): Promise<OrderOutcome>;
}
