/**
 * Size-bounded log of the activations that this stage has sent. A repeated
 * input is answered from it, and it rebuilds the KV cache of a server that
 * replaces the next stage.
 */
import type {RequestId} from '@azurecrank/core';

interface LogEntry {
  /** First position that has not been evicted. */
  firstPosition: number;
  chunks: Uint8Array[];
  sizeBytes: number;
  bytesPerPosition: number;
  nextPosition: number;
}

export interface LoggedActivations {
  readonly position: number;
  readonly count: number;
  readonly data: Uint8Array;
}

export class ActivationLog {
  /** In order of the last append; the first entry is evicted first. */
  private readonly entries = new Map<RequestId, LogEntry>();
  private totalBytes = 0;

  constructor(private readonly maxBytes: number) {}

  get sizeBytes(): number {
    return this.totalBytes;
  }

  append(
    request: RequestId,
    position: number,
    count: number,
    data: Uint8Array,
  ): void {
    const entry = this.touchEntry(request, position);
    entry.chunks.push(data);
    entry.sizeBytes += data.length;
    entry.nextPosition = position + count;
    entry.bytesPerPosition = data.length / count;
    this.totalBytes += data.length;
    this.evictToLimit(request);
  }

  /**
   * Returns the outputs from `fromPosition` to the newest. Returns undefined
   * if some of them were evicted or there are none.
   */
  read(
    request: RequestId,
    fromPosition: number,
  ): LoggedActivations | undefined {
    const entry = this.entries.get(request);
    if (!entry || fromPosition < entry.firstPosition) return undefined;
    const count = entry.nextPosition - fromPosition;
    if (count <= 0) return undefined;
    const all = Buffer.concat(entry.chunks);
    const skip = (fromPosition - entry.firstPosition) * entry.bytesPerPosition;
    return {position: fromPosition, count, data: all.subarray(skip)};
  }

  /** Returns the output that was appended last. */
  readLast(request: RequestId): LoggedActivations | undefined {
    const entry = this.entries.get(request);
    const chunk = entry?.chunks.at(-1);
    if (!entry || !chunk) return undefined;
    const count = chunk.length / entry.bytesPerPosition;
    return {position: entry.nextPosition - count, count, data: chunk};
  }

  remove(request: RequestId): void {
    const entry = this.entries.get(request);
    if (!entry) return;
    this.totalBytes -= entry.sizeBytes;
    this.entries.delete(request);
  }

  /** Returns the request's entry as the one appended to last. */
  private touchEntry(request: RequestId, position: number): LogEntry {
    const existing = this.entries.get(request);
    this.entries.delete(request);
    const entry = existing ?? {
      firstPosition: position,
      chunks: [],
      sizeBytes: 0,
      bytesPerPosition: 1,
      nextPosition: position,
    };
    this.entries.set(request, entry);
    return entry;
  }

  /**
   * Evicts the entries of the other requests, the least recently appended
   * first, then the oldest outputs of `newest`. The last output of `newest`
   * always stays, to answer a repeated input.
   */
  private evictToLimit(newest: RequestId): void {
    for (const request of this.entries.keys()) {
      if (this.totalBytes <= this.maxBytes) return;
      if (request !== newest) this.remove(request);
    }
    const entry = this.entries.get(newest);
    while (entry && entry.chunks.length > 1) {
      if (this.totalBytes <= this.maxBytes) return;
      const [oldest] = entry.chunks.splice(0, 1);
      entry.firstPosition += oldest.length / entry.bytesPerPosition;
      entry.sizeBytes -= oldest.length;
      this.totalBytes -= oldest.length;
    }
  }
}
