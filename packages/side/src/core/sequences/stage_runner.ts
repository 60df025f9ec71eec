/**
 * Feeds the engine one batch at a time: while a batch runs, arriving steps
 * gather and form the next one, the most urgent first.
 */
import {
  rankIndex,
  type Engine,
  type EngineOutput,
  type EngineStep,
  type Rank,
  type RequestId,
} from '@azurecrank/core';

export interface StageWork {
  readonly request: RequestId;
  readonly rank: Rank;
  readonly step: EngineStep;
  done(output: EngineOutput, durationMs: number): void;
}

/** Bounds the time that a batch can delay an urgent step behind it. */
const MAX_BATCH_STEPS = 64;

export class StageRunner {
  private readonly queue: StageWork[] = [];
  private isRunning = false;

  constructor(
    private readonly engine: Engine,
    private readonly maxBatchSteps = MAX_BATCH_STEPS,
  ) {}

  get queuedSteps(): number {
    return this.queue.length;
  }

  submit(work: StageWork): void {
    this.queue.push(work);
    if (!this.isRunning) void this.runAll();
  }

  private async runAll(): Promise<void> {
    this.isRunning = true;
    // Steps that arrive in the same turn of the event loop share a batch.
    await new Promise(resolve => setImmediate(resolve));
    while (this.queue.length > 0) await this.runBatch(this.takeBatch());
    this.isRunning = false;
  }

  private takeBatch(): StageWork[] {
    this.queue.sort((a, b) => rankIndex(a.rank) - rankIndex(b.rank));
    return this.queue.splice(0, this.maxBatchSteps);
  }

  private async runBatch(batch: readonly StageWork[]): Promise<void> {
    const startMs = performance.now();
    let outputs: EngineOutput[];
    try {
      outputs = await this.engine.run(batch.map(({step}) => step));
    } catch (error) {
      const cause = String(error);
      outputs = batch.map(({step}) => ({
        kind: 'failed',
        sequence: step.sequence,
        cause,
      }));
    }
    const durationMs = performance.now() - startMs;
    batch.forEach((work, index) => work.done(outputs[index], durationMs));
  }
}
