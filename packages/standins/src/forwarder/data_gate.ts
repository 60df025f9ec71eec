/** One direction of a forwarded connection, which can be held or delayed. */
import {Transform, type TransformCallback} from 'node:stream';

/** Data that a gate takes in before it exerts back-pressure. */
const MAX_QUEUED_BYTES = 256 * 1024;

interface QueuedStep {
  readonly dueMs: number;
  readonly run: () => void;
}

/** Keeps the order of data, end and reset, like the network it stands for. */
export class DataGate extends Transform {
  private readonly queue: QueuedStep[] = [];
  private queuedBytes = 0;
  private isHeld = false;
  private delayMs = 0;
  private timer: NodeJS.Timeout | undefined;

  /** Whether nothing passes; what waits goes on when this is undone. */
  setHeld(isHeld: boolean): void {
    this.isHeld = isHeld;
    this.runDueSteps();
  }

  /** Applies to what comes in from now on. */
  setDelayMs(delayMs: number): void {
    this.delayMs = delayMs;
  }

  /** Runs the step behind all data that came in before. */
  enqueue(run: () => void): void {
    const lastDueMs = this.queue.at(-1)?.dueMs ?? 0;
    const dueMs = Math.max(lastDueMs, performance.now() + this.delayMs);
    this.queue.push({dueMs, run});
    this.runDueSteps();
  }

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: TransformCallback,
  ): void {
    this.queuedBytes += chunk.length;
    const isFull = this.queuedBytes > MAX_QUEUED_BYTES;
    this.enqueue(() => {
      this.queuedBytes -= chunk.length;
      this.push(chunk);
      if (isFull) callback();
    });
    if (!isFull) callback();
  }

  override _flush(callback: TransformCallback): void {
    this.enqueue(() => callback());
  }

  override _destroy(
    error: Error | null,
    callback: (error: Error | null) => void,
  ): void {
    clearTimeout(this.timer);
    this.queue.length = 0;
    callback(error);
  }

  private runDueSteps(): void {
    clearTimeout(this.timer);
    while (!this.isHeld && this.queue.length > 0) {
      const waitMs = this.queue[0].dueMs - performance.now();
      if (waitMs > 0) {
        this.timer = setTimeout(() => this.runDueSteps(), Math.ceil(waitMs));
        return;
      }
      this.queue.shift()?.run();
    }
  }
}
