/**
 * Outputs of this stage, kept so that they can be sent again: to answer a
 * repeated input, and to rebuild the cache of a replaced successor.
 */
import type {RequestId} from '@azurecrank/core';

interface LogEntry {
  /** First position that is still kept. */
  firstPosition: number;
  chunks: Uint8Array[];
  sizeBytes: number;
  bytesPerPosition: number;
  nextPosition: number;
}

export interface LoggedOutput {
  readonly position: number;
  readonly count: number;
  readonly data: Uint8Array;
}

export class ActivationLog {
  /** Ordered by last use; the first is trimmed first. */
  private readonly entries = new Map<RequestId, LogEntry>();
  private totalBytes = 0;

  constructor(private readonly limitBytes: number) {}

  get sizeBytes(): number {
    return this.totalBytes;
  }

  append(
    request: RequestId,
    position: number,
    count: number,
    data: Uint8Array,
  ): void {
    const entry = this.entryFor(request, position);
    entry.chunks.push(data);
    entry.sizeBytes += data.length;
    entry.nextPosition = position + count;
    entry.bytesPerPosition = data.length / count;
    this.totalBytes += data.length;
    this.trim(request);
  }

  /**
   * Returns the outputs from `fromPosition` to the newest, or undefined if
   * they are no longer all kept.
   */
  read(request: RequestId, fromPosition: number): LoggedOutput | undefined {
    const entry = this.entries.get(request);
    if (!entry || fromPosition < entry.firstPosition) return undefined;
    const count = entry.nextPosition - fromPosition;
    if (count <= 0) return undefined;
    const all = Buffer.concat(entry.chunks);
    const skip = (fromPosition - entry.firstPosition) * entry.bytesPerPosition;
    return {position: fromPosition, count, data: all.subarray(skip)};
  }

  /** Returns the newest output. */
  readLast(request: RequestId): LoggedOutput | undefined {
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

  private entryFor(request: RequestId, position: number): LogEntry {
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
   * Drops the logs of the sequences used longest ago, then the oldest outputs
   * of the newest one. Its last output stays, to answer a repeated input.
   */
  private trim(newest: RequestId): void {
    for (const request of this.entries.keys()) {
      if (this.totalBytes <= this.limitBytes) return;
      if (request !== newest) this.remove(request);
    }
    const entry = this.entries.get(newest);
    while (entry && entry.chunks.length > 1) {
      if (this.totalBytes <= this.limitBytes) return;
      const [oldest] = entry.chunks.splice(0, 1);
      entry.firstPosition += oldest.length / entry.bytesPerPosition;
      entry.sizeBytes -= oldest.length;
      this.totalBytes -= oldest.length;
    }
  }
}
