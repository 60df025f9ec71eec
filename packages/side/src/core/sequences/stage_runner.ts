/**
 * Feeds the engine one batch at a time: while a batch runs, arriving steps
 * gather; the next one is formed by rank and with a bound on prompt tokens.
 */
import {
  BatchFormer,
  StallDetector,
  type BatchLimits,
  type BatchPick,
  type Engine,
  type EngineOutput,
  type EngineStep,
  type Rank,
  type ReservedShares,
  type RequestId,
} from '@azurecrank/core';

export interface StageWork {
  readonly request: RequestId;
  readonly rank: Rank;
  readonly step: EngineStep;
  done(output: EngineOutput, durationMs: number): void;
}

/** A step of which some positions may have run already. */
class PendingWork {
  private readonly chunks: Uint8Array[] = [];
  private donePositions = 0;

  constructor(readonly work: StageWork) {}

  get request(): RequestId {
    return this.work.request;
  }

  get rank(): Rank {
    return this.work.rank;
  }

  /** Positions that remain to be run. */
  get count(): number {
    return this.work.step.count - this.donePositions;
  }

  /** The next `take` positions as a step of their own. */
  nextStep(take: number): EngineStep {
    const {step} = this.work;
    const from = this.donePositions;
    const bytesPerPosition = (step.data?.length ?? 0) / step.count;
    return {
      ...step,
      position: step.position + from,
      count: take,
      tokens: step.tokens?.slice(from, from + take),
      data: step.data?.subarray(
        from * bytesPerPosition,
        (from + take) * bytesPerPosition,
      ),
    };
  }

  /** Takes a batch's output; returns true when the step has ended. */
  finish(take: number, output: EngineOutput, durationMs: number): boolean {
    this.donePositions += take;
    if (output.kind === 'activation') this.chunks.push(output.data);
    const isOver = output.kind === 'failed' || this.count === 0;
    if (isOver) this.work.done(this.wholeOutput(output), durationMs);
    return isOver;
  }

  private wholeOutput(output: EngineOutput): EngineOutput {
    const isPart = output.kind === 'activation' && this.chunks.length > 1;
    return isPart ? {...output, data: Buffer.concat(this.chunks)} : output;
  }
}

/** Bounds the time that a batch can delay an urgent step behind it. */
export const DEFAULT_BATCH_LIMITS: BatchLimits = {
  maxSteps: 64,
  maxPromptTokens: 2048,
  promptTokensBesideHigher: 256,
};

/**
 * Shorter batches vary by more than the stall factor on a busy host, and a
 * stage that is replaced for nothing costs a prefill.
 */
const MIN_STALL_MS = 1000;

/** Weight of one batch in the expected time per position. */
const SMOOTHING = 0.2;

const STALL_CHECK_MS = 100;

/** Key of the batch that runs; there is one at a time. */
const BATCH = 'batch';

export class StageRunner implements Disposable {
  private readonly stalls = new StallDetector({minMs: MIN_STALL_MS});
  private readonly stallTimer: NodeJS.Timeout;
  private running: readonly BatchPick<PendingWork>[] = [];
  private expectedBatchMs = 0;
  private expectedPositionMs = 0;
  private queue: PendingWork[] = [];
  private readonly former: BatchFormer<PendingWork>;
  private isRunning = false;

  constructor(
    private readonly engine: Engine,
    private readonly onStalled: (request: RequestId) => void = () => {},
    limits: BatchLimits = DEFAULT_BATCH_LIMITS,
  ) {
    this.former = new BatchFormer(limits);
    this.stallTimer = setInterval(() => this.checkStall(), STALL_CHECK_MS);
    this.stallTimer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.stallTimer);
  }

  /** Extends the running batch's time by a pause of this process. */
  notePause(pausedMs: number): void {
    this.stalls.paused(pausedMs);
  }

  setReservedShares(reserved: ReservedShares): void {
    this.former.setReservedShares(reserved);
  }

  get queuedSteps(): number {
    return this.queue.length;
  }

  submit(work: StageWork): void {
    this.queue.push(new PendingWork(work));
    if (!this.isRunning) void this.runAll();
  }

  private async runAll(): Promise<void> {
    this.isRunning = true;
    // Steps that arrive in the same turn of the event loop share a batch.
    await new Promise(resolve => setImmediate(resolve));
    while (this.queue.length > 0) {
      await this.runBatch(this.former.form(this.queue, performance.now()));
    }
    this.isRunning = false;
  }

  private async runBatch(
    picks: readonly BatchPick<PendingWork>[],
  ): Promise<void> {
    const startMs = performance.now();
    const steps = picks.map(({step, take}) => step.nextStep(take));
    const positions = picks.reduce((sum, {take}) => sum + take, 0);
    this.running = picks;
    this.stalls.started(BATCH, this.expectedMs(positions), startMs);
    const outputs = await this.callEngine(steps);
    this.stalls.finished(BATCH);
    const durationMs = performance.now() - startMs;
    this.learn(positions, picks.length, durationMs);
    const ended = new Set(
      picks
        .filter(({step, take}, index) =>
          step.finish(take, outputs[index], durationMs),
        )
        .map(({step}) => step),
    );
    this.queue = this.queue.filter(pending => !ended.has(pending));
  }

  private expectedMs(positions: number): number {
    return this.expectedBatchMs + positions * this.expectedPositionMs;
  }

  /** Decode batches give the base time, prompts the time per position. */
  private learn(positions: number, steps: number, durationMs: number): void {
    if (positions === steps) {
      this.expectedBatchMs += (durationMs - this.expectedBatchMs) * SMOOTHING;
      return;
    }
    const positionMs = durationMs / positions;
    this.expectedPositionMs +=
      (positionMs - this.expectedPositionMs) * SMOOTHING;
  }

  private checkStall(): void {
    if (this.stalls.tick(performance.now()).length === 0) return;
    for (const {step} of this.running) this.onStalled(step.request);
  }

  /** An engine that does not answer fails every step of the batch. */
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
