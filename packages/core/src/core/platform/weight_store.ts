/** Client of the platform's rate-limited store of model weights. */
import {request} from 'undici';
import type {ModelId} from '../ids/ids.js';

/** Outcome of a reservation; `limited` means that the rate limit is reached. */
export type ReservationOutcome =
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

/** Weights of the layers [firstLayer, endLayer) of a model version. */
export interface WeightRange {
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly firstLayer: number;
  readonly endLayer: number;
}

export abstract class WeightStore {
  /**
   * Reserves the transfer of a range of layers to an engine.
   * @throws WeightStoreError if the store does not answer.
   */
  abstract reserve(range: WeightRange): Promise<ReservationOutcome>;
}

const REQUEST_TIMEOUT_MS = 5000;

/** HTTP client of the weight store, with JSON bodies. */
export class HttpWeightStore extends WeightStore {
  constructor(private readonly baseUrl: string) {
    super();
  }

  override async reserve(range: WeightRange): Promise<ReservationOutcome> {
    try {
      const response = await request(`${this.baseUrl}/reservations`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(range),
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      return (await response.body.json()) as ReservationOutcome;
    } catch (error) {
      throw new WeightStoreError(this.baseUrl, String(error));
    }
  }
}
