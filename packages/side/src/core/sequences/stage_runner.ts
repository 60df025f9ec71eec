/**
 * Runs engine steps in batches, one at a time. Steps that arrive while a batch
 * runs are queued; the next batch is formed by rank with a bounded number of
 * prompt tokens.
 */
import {
  BatchFormer,
  StallDetector,
  type BatchLimits,
  type PickedStep,
  type Engine,
  type EngineOutput,
  type EngineStep,
  type Rank,
  type ReservedShares,
  type RequestId,
} from '@azurecrank/core';

export interface EngineStepJob {
  readonly request: RequestId;
  readonly rank: Rank;
  readonly step: EngineStep;
  onOutput(output: EngineOutput, durationMs: number): void;
}

/** A step in the queue; earlier batches may have run some of its positions. */
class QueuedJob {
  private readonly chunks: Uint8Array[] = [];
  private completedPositions = 0;

  constructor(readonly job: EngineStepJob) {}

  get request(): RequestId {
    return this.job.request;
  }

  get rank(): Rank {
    return this.job.rank;
  }

  /** Number of positions that remain to be run. */
  get count(): number {
    return this.job.step.count - this.completedPositions;
  }

  /** Returns a step for the next `positionCount` positions. */
  sliceStep(positionCount: number): EngineStep {
    const {step} = this.job;
    const from = this.completedPositions;
    const bytesPerPosition = (step.data?.length ?? 0) / step.count;
    return {
      ...step,
      position: step.position + from,
      count: positionCount,
      tokens: step.tokens?.slice(from, from + positionCount),
      data: step.data?.subarray(
        from * bytesPerPosition,
        (from + positionCount) * bytesPerPosition,
      ),
    };
  }

  /** Records the output of a batch. Returns true when the step is complete. */
  recordOutput(
    positionCount: number,
    output: EngineOutput,
    durationMs: number,
  ): boolean {
    this.completedPositions += positionCount;
    if (output.kind === 'activation') this.chunks.push(output.data);
    const isComplete = output.kind === 'failed' || this.count === 0;
    if (isComplete) this.job.onOutput(this.joinOutputs(output), durationMs);
    return isComplete;
  }

  private joinOutputs(output: EngineOutput): EngineOutput {
    const isSplit = output.kind === 'activation' && this.chunks.length > 1;
    return isSplit ? {...output, data: Buffer.concat(this.chunks)} : output;
  }
}

/** Bounds the time that a running batch can delay a queued urgent step. */
export const DEFAULT_BATCH_LIMITS: BatchLimits = {
  maxSteps: 64,
  maxPromptTokens: 2048,
  maxLowerRankPromptTokens: 256,
};

/**
 * Batches shorter than this can exceed the stall factor on a busy host without
 * a fault. A false alarm replaces the stage, which costs a prefill.
 */
const MIN_STALL_THRESHOLD_MS = 1000;

/** Weight of the newest batch in the moving averages of durations (0 to 1). */
const DURATION_SMOOTHING_FACTOR = 0.2;

const STALL_CHECK_INTERVAL_MS = 100;

/** Key of the running batch in the stall detector; only one runs at a time. */
const RUNNING_BATCH_KEY = 'batch';

export class StageRunner implements Disposable {
  private readonly stallDetector = new StallDetector({
    minMs: MIN_STALL_THRESHOLD_MS,
  });
  private readonly stallTimer: NodeJS.Timeout;
  private runningBatch: readonly PickedStep<QueuedJob>[] = [];
  private expectedBatchMs = 0;
  private expectedPositionMs = 0;
  private queue: QueuedJob[] = [];
  private readonly batchFormer: BatchFormer<QueuedJob>;
  private isRunning = false;

  constructor(
    private readonly engine: Engine,
    private readonly onStalled: (request: RequestId) => void = () => {},
    limits: BatchLimits = DEFAULT_BATCH_LIMITS,
  ) {
    this.batchFormer = new BatchFormer(limits);
    this.stallTimer = setInterval(
      () => this.checkForStall(),
      STALL_CHECK_INTERVAL_MS,
    );
    this.stallTimer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.stallTimer);
  }

  /** Extends the running batch's stall timeout by a pause of this process. */
  extendRunningBatch(pausedMs: number): void {
    this.stallDetector.paused(pausedMs);
  }

  setReservedShares(reserved: ReservedShares): void {
    this.batchFormer.setReservedShares(reserved);
  }

  get queuedSteps(): number {
    return this.queue.length;
  }

  submit(job: EngineStepJob): void {
    this.queue.push(new QueuedJob(job));
    if (!this.isRunning) void this.runQueuedJobs();
  }

  private async runQueuedJobs(): Promise<void> {
    this.isRunning = true;
    // Steps that arrive in one iteration of the event loop share a batch.
    await new Promise(resolve => setImmediate(resolve));
    while (this.queue.length > 0) {
      await this.runBatch(this.batchFormer.form(this.queue, performance.now()));
    }
    this.isRunning = false;
  }

  private async runBatch(
    picks: readonly PickedStep<QueuedJob>[],
  ): Promise<void> {
    const startMs = performance.now();
    const steps = picks.map(({step, positionsToRun}) =>
      step.sliceStep(positionsToRun),
    );
    const positions = picks.reduce(
      (sum, {positionsToRun: take}) => sum + take,
      0,
    );
    this.runningBatch = picks;
    this.stallDetector.started(
      RUNNING_BATCH_KEY,
      this.expectedMs(positions),
      startMs,
    );
    const outputs = await this.callEngine(steps);
    this.stallDetector.finished(RUNNING_BATCH_KEY);
    const durationMs = performance.now() - startMs;
    this.updateExpectedDurations(positions, picks.length, durationMs);
    const ended = new Set(
      picks
        .filter(({step, positionsToRun: take}, index) =>
          step.recordOutput(take, outputs[index], durationMs),
        )
        .map(({step}) => step),
    );
    this.queue = this.queue.filter(pending => !ended.has(pending));
  }

  private expectedMs(positions: number): number {
    return this.expectedBatchMs + positions * this.expectedPositionMs;
  }

  /**
   * Batches of only decode steps set the base duration, batches with prompts
   * the duration per position.
   */
  private updateExpectedDurations(
    positions: number,
    steps: number,
    durationMs: number,
  ): void {
    if (positions === steps) {
      this.expectedBatchMs +=
        (durationMs - this.expectedBatchMs) * DURATION_SMOOTHING_FACTOR;
      return;
    }
    const positionMs = durationMs / positions;
    this.expectedPositionMs +=
      (positionMs - this.expectedPositionMs) * DURATION_SMOOTHING_FACTOR;
  }

  private checkForStall(): void {
    if (this.stallDetector.removeStalled(performance.now()).length === 0)
      return;
    for (const {step} of this.runningBatch) this.onStalled(step.request);
  }

  /** Returns `failed` for every step of the batch if the call fails. */
  private async callEngine(
    steps: readonly EngineStep[],
  ): Promise<EngineOutput[]> {
    try {
      return await this.engine.run(steps);
    } catch (error) {
      const cause = String(error);
      return steps.map(({sequence}) => ({kind: 'failed', sequence, cause}));
    }
  }
}
