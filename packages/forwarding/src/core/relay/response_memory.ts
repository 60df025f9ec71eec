/**
 * Bounds the memory of all responses that are buffered at the same time, so that
 * a faulty server cannot end the requests of other callers with the process.
 */
import {ChunkBuffer} from '@azurecrank/core';

/**
 * A host with 160 MB for this process leaves some 60 MB beside its code, part of
 * which holds what was dropped until it is collected.
 */
const DEFAULT_LIMIT_BYTES = 16 * 1024 * 1024;

export class ResponseMemory {
  private usedBytes = 0;
  private readonly responses = new Set<BufferedBody>();

  constructor(private readonly limitBytes = DEFAULT_LIMIT_BYTES) {}

  /** Memory of all responses that are not released, in bytes. */
  get inUseBytes(): number {
    return this.usedBytes;
  }

  /** @param onDrop called if the body has to be given up for want of memory */
  createBody(onDrop: () => void): BufferedBody {
    const body = new BufferedBody(
      added => this.account(added),
      () => this.responses.delete(body),
      onDrop,
    );
    this.responses.add(body);
    return body;
  }

  private account(addedBytes: number): void {
    this.usedBytes += addedBytes;
    while (this.usedBytes > this.limitBytes && this.dropLargest());
  }

  /** The largest body is most likely that of a faulty server. */
  private dropLargest(): boolean {
    let largest: BufferedBody | undefined;
    for (const body of this.responses) {
      const isLarger = body.memoryBytes > (largest?.memoryBytes ?? 0);
      if (!body.isComplete && isLarger) largest = body;
    }
    largest?.drop();
    return largest !== undefined;
  }
}

/** The body of one response, whose memory counts until it is released. */
export class BufferedBody implements Disposable {
  private chunks = new ChunkBuffer();
  private countedBytes = 0;
  private isReleased = false;
  private isWhole = false;

  constructor(
    private readonly account: (addedBytes: number) => void,
    private readonly onRelease: () => void,
    private readonly onDrop: () => void,
  ) {}

  /** Number of bytes that were received. */
  get sizeBytes(): number {
    return this.chunks.sizeBytes;
  }

  get memoryBytes(): number {
    return this.countedBytes;
  }

  /** Whether the whole body has arrived, so that it will be delivered. */
  get isComplete(): boolean {
    return this.isWhole;
  }

  push(chunk: Buffer): void {
    if (this.isReleased) return;
    this.chunks.push(chunk);
    this.updateCount(this.chunks.memoryBytes);
  }

  /** Returns the whole body. Its memory still counts. */
  complete(): Buffer {
    this.isWhole = true;
    const body = this.chunks.concat();
    this.chunks = new ChunkBuffer();
    this.updateCount(body.length);
    return body;
  }

  drop(): void {
    this[Symbol.dispose]();
    this.onDrop();
  }

  /** Ends the count of its memory; nothing is buffered any more. */
  [Symbol.dispose](): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.chunks = new ChunkBuffer();
    this.onRelease();
    this.updateCount(0);
  }

  private updateCount(memoryBytes: number): void {
    const addedBytes = memoryBytes - this.countedBytes;
    if (addedBytes === 0) return;
    this.countedBytes = memoryBytes;
    this.account(addedBytes);
  }
}
