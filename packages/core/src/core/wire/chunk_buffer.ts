/**
 * Collects received bytes in blocks, so that the memory they take depends on
 * their number and not on that of the pieces in which they arrive.
 */

/** Size of the first block. It doubles with the bytes that are collected. */
const MIN_BLOCK_BYTES = 4 * 1024;
const MAX_BLOCK_BYTES = 256 * 1024;

export class ChunkBuffer {
  /** Full blocks, then the one that is being filled. */
  private readonly blocks: Buffer[] = [];
  private lastFilledBytes = 0;
  private totalBytes = 0;
  private allocatedBytes = 0;

  /** Number of bytes that were collected. */
  get sizeBytes(): number {
    return this.totalBytes;
  }

  /** Memory that the collected bytes take. */
  get memoryBytes(): number {
    return this.allocatedBytes;
  }

  push(chunk: Buffer): void {
    let offset = 0;
    while (offset < chunk.length) {
      const block = this.blockWithRoom(chunk.length - offset);
      const copied = chunk.copy(block, this.lastFilledBytes, offset);
      this.lastFilledBytes += copied;
      offset += copied;
    }
    this.totalBytes += chunk.length;
  }

  /** Returns all collected bytes. */
  concat(): Buffer {
    const [only] = this.blocks;
    if (this.blocks.length === 1) return only.subarray(0, this.totalBytes);
    return Buffer.concat(this.blocks, this.totalBytes);
  }

  private blockWithRoom(neededBytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last && this.lastFilledBytes < last.length) return last;
    const sizeBytes = this.nextBlockBytes(neededBytes);
    const block = Buffer.allocUnsafe(sizeBytes);
    this.blocks.push(block);
    this.allocatedBytes += sizeBytes;
    this.lastFilledBytes = 0;
    return block;
  }

  /** The first chunk is often the whole of a body, so it gets what it needs. */
  private nextBlockBytes(neededBytes: number): number {
    const {totalBytes} = this;
    if (totalBytes === 0) return Math.min(neededBytes, MAX_BLOCK_BYTES);
    return Math.min(Math.max(totalBytes, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES);
  }
}
