/** Stand-in for the weight store, which limits transfers by a token bucket. */
import type {WeightRange} from '@azurecrank/core';
import {StandinServer, parseJson} from '../http/standin_server.js';

const MS_PER_SECOND = 1000;

export class WeightStoreStandin extends StandinServer {
  /** Bytes in the bucket; negative after a transfer larger than its content. */
  private availableBytes: number;
  private lastRefillMs = performance.now();

  constructor(
    private readonly bytesPerSecond: number,
    private readonly bytesPerLayer: number,
  ) {
    super();
    this.availableBytes = bytesPerSecond;
    this.route('POST', '/reservations', async request => {
      const range = parseJson<WeightRange>(request);
      return {status: 200, body: this.reserve(range)};
    });
  }

  private reserve({firstLayer, endLayer}: WeightRange): object {
    this.refill();
    const sizeBytes = (endLayer - firstLayer) * this.bytesPerLayer;
    if (this.availableBytes <= 0) {
      const missingS = (1 - this.availableBytes) / this.bytesPerSecond;
      const retryAfterMs = Math.ceil(missingS * MS_PER_SECOND);
      return {kind: 'limited', retryAfterMs};
    }
    this.availableBytes -= sizeBytes;
    return {kind: 'granted', sizeBytes};
  }

  /** Adds the bytes of the elapsed time; the bucket holds those of 1 s. */
  private refill(): void {
    const nowMs = performance.now();
    const elapsedS = (nowMs - this.lastRefillMs) / MS_PER_SECOND;
    this.lastRefillMs = nowMs;
    this.availableBytes = Math.min(
      this.bytesPerSecond,
      this.availableBytes + elapsedS * this.bytesPerSecond,
    );
  }
}
