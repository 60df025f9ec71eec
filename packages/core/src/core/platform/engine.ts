/** Interface of the model engine that runs a range of layers on a backend server. */
import type {ModelId} from '../ids/ids.js';

export interface EngineInfo {
  readonly model: ModelId;
  readonly modelVersion: string;
  /** Loaded layers [firstLayer, endLayer); both are equal if none is loaded. */
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly accelerator: string;
  readonly memoryBytes: number;
  /** Time that one layer takes for one decode batch, in milliseconds. */
  readonly layerMs: number;
  /** Time that one layer takes for one prompt token, in milliseconds. */
  readonly prefillLayerMs: number;
  /** Maximum number of sequences whose KV cache fits in memory. */
  readonly maxSequences: number;
  /** Whether the engine refuses an order with an outdated fencing number. */
  readonly checksFence: boolean;
}

/** Input of the engine for `count` positions of one sequence. */
export interface EngineStep {
  /** Key of the sequence's KV cache in the engine. */
  readonly sequence: string;
  readonly position: number;
  readonly count: number;
  /** Token ids, for the first stage. */
  readonly tokens?: readonly number[];
  /** Output of the previous stage, for all other stages. */
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

/** Order to load a range of layers. */
export interface EngineOrder {
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  /** Fencing number; larger is newer. Some engines ignore it. */
  readonly fence: number;
}

export type OrderOutcome =
  | {readonly kind: 'done'}
  | {readonly kind: 'fenced'; readonly newestFence: number};

export interface EngineLoad {
  readonly runningSequences: number;
  readonly queuedSteps: number;
  /** Age of the report at the time it was sent, in milliseconds. */
  readonly ageMs: number;
}

/** Change of the prompt prefixes that the engine has cached. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  /** Hash of a prompt prefix in whole blocks, as computed by `prefixHashes`. */
  readonly prefixHash: number;
}

/** Thrown when the engine gives no usable answer. */
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

/** Client of an engine. All methods throw `EngineError` if it does not answer. */
export abstract class Engine {
  abstract info(): Promise<EngineInfo>;
  abstract tokenize(text: string): Promise<number[]>;
  /** Runs one batch and returns the outputs in the order of the steps. */
  abstract run(steps: readonly EngineStep[]): Promise<EngineOutput[]>;
  /** Frees the KV caches of the sequences. */
  abstract release(sequences: readonly string[]): Promise<void>;
  abstract exportKv(sequence: string): Promise<Uint8Array>;
  abstract importKv(sequence: string, data: Uint8Array): Promise<void>;
  /** Returns the events after `afterSeq`; sequence numbers may have gaps. */
  abstract cacheEvents(afterSeq: number): Promise<CacheEvent[]>;
  abstract load(): Promise<EngineLoad>;
  /** Orders the engine to load a range of layers. */
  abstract order(order: EngineOrder): Promise<OrderOutcome>;
}
