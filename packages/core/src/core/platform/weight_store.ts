/** The platform's rate-limited store of model weights. */
import {request} from 'undici';
import type {ModelId} from '../ids/ids.js';

export type FetchOutcome =
  | {readonly kind: 'granted'; readonly sizeBytes: number}
  | {readonly kind: 'limited'; readonly retryAfterMs: number};

export class WeightStoreError extends Error {
  readonly step = 'reserve weights';

  constructor(
    readonly peer: string,
    cause: string,
  ) {
    super(`weight store ${peer}: ${cause}`);
    this.name = 'WeightStoreError';
  }
}

export interface WeightRange {
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly firstLayer: number;
  readonly endLayer: number;
}

export abstract class WeightStore {
  /**
   * Reserves the transfer of a range of layers to an engine.
   * Throws `WeightStoreError` when the store does not answer.
   */
  abstract reserve(range: WeightRange): Promise<FetchOutcome>;
}

const TIMEOUT_MS = 5000;

/** Weight store over HTTP with JSON bodies. */
export class HttpWeightStore extends WeightStore {
  constructor(private readonly baseUrl: string) {
    super();
  }

  override async reserve(range: WeightRange): Promise<FetchOutcome> {
    try {
      const response = await request(`${this.baseUrl}/reservations`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(range),
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      return (await response.body.json()) as FetchOutcome;
    } catch (error) {
      throw new WeightStoreError(this.baseUrl, String(error));
    }
  }
}
