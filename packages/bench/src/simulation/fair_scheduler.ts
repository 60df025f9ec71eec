/** Scheduler built from the production modules, combined as in a side process. */
import {
  BatchFormer,
  ConcurrencyLimit,
  OutputLengthEstimator,
  FairQueue,
  SlotRules,
  canMeetDeadline,
  estimatePrefillMs,
  type PickedStep,
  type Rank,
  type SlotState,
} from '@azurecrank/core';
import {
  Scheduler,
  type EngineModel,
  type BatchObservation,
  type SimRequest,
} from './scheduler.js';

const QUEUE_OPTIONS = {maxItems: 256, maxPerWorkspace: 64};
const SLOT_OPTIONS = {urgentReserveSlots: 1};
/** Prompt tokens of lower ranks in a batch while a higher rank has a step waiting. */
const MAX_PROMPT_TOKENS_BESIDE_HIGHER_RANK = 128;
const MIN_CONCURRENT_REQUESTS = 4;
/** Weight of the newest batch in the moving average of served tokens/s. */
const TOKEN_RATE_SMOOTHING_FACTOR = 0.02;

export class FairScheduler extends Scheduler {
  private readonly queue = new FairQueue<SimRequest>(QUEUE_OPTIONS);
  private readonly slotRules = new SlotRules(SLOT_OPTIONS);
  private readonly expectedOutput = new OutputLengthEstimator<Rank>();
  private readonly concurrencyLimit: ConcurrencyLimit;
  private readonly batchFormer: BatchFormer<SimRequest>;
  private servedTokensPerS = 0;

  constructor(private readonly engine: EngineModel) {
    super();
    this.concurrencyLimit = new ConcurrencyLimit({
      minLimit: MIN_CONCURRENT_REQUESTS,
      maxLimit: engine.slots,
    });
    this.batchFormer = new BatchFormer({
      maxSteps: engine.slots,
      maxPromptTokens: engine.maxPromptTokensPerBatch,
      maxLowerRankPromptTokens: MAX_PROMPT_TOKENS_BESIDE_HIGHER_RANK,
    });
  }

  override enqueue(
    request: SimRequest,
    running: readonly SimRequest[],
    nowMs: number,
  ): readonly SimRequest[] {
    const item = this.withEstimatedCost(request);
    if (!this.canMeetDeadline(item, running, nowMs)) return [item];
    return this.queue.enqueue(item).refused.map(refused => refused.item);
  }

  override removeExpired(nowMs: number): readonly SimRequest[] {
    return this.queue.expire(nowMs);
  }

  override selectVictim(
    running: readonly SimRequest[],
  ): SimRequest | undefined {
    const victim = this.slotRules.selectVictim(this.slotState(running));
    return victim as SimRequest | undefined;
  }

  override dequeue(
    running: readonly SimRequest[],
    nowMs: number,
  ): SimRequest | undefined {
    const allows = this.slotRules.createFilter(this.slotState(running));
    const granted = this.queue.next(nowMs, allows);
    if (granted) {
      granted.usedReservedShare = this.queue.usedReservedShare(granted);
    }
    return granted;
  }

  override formBatch(
    running: readonly SimRequest[],
    nowMs: number,
  ): readonly PickedStep<SimRequest>[] {
    return this.batchFormer.form(running, nowMs);
  }

  override release(request: SimRequest, finished: boolean): void {
    this.queue.settleCost(request, request.positions);
    if (finished) this.expectedOutput.observe(request.rank, request.generated);
  }

  override recordBatch({
    stepMs,
    tokens,
    running,
    nowMs,
  }: BatchObservation): void {
    this.concurrencyLimit.observe(stepMs, running, nowMs);
    const rate = (tokens / stepMs) * 1000;
    this.servedTokensPerS +=
      (rate - this.servedTokensPerS) * TOKEN_RATE_SMOOTHING_FACTOR;
  }

  override outstandingCostByRank(): readonly number[] {
    return this.queue.outstandingCostByRank();
  }

  private withEstimatedCost(request: SimRequest): SimRequest {
    const {rank, arrival, generated} = request;
    const outputTokens = this.expectedOutput.expectedTokens(
      rank,
      arrival.maxTokens - generated,
    );
    return {
      ...request,
      costTokens: request.promptTokens + outputTokens,
      prefillMs: this.estimatePrefillMs(request),
    };
  }

  private estimatePrefillMs(request: SimRequest): number {
    const {batchOverheadMs, promptTokenMs} = this.engine;
    const stepMs = Math.max(this.concurrencyLimit.stepMs, batchOverheadMs);
    return (
      stepMs + estimatePrefillMs(request.promptTokens, 1000 / promptTokenMs)
    );
  }

  private canMeetDeadline(
    item: SimRequest,
    running: readonly SimRequest[],
    nowMs: number,
  ): boolean {
    const isSlotFree = running.length < this.concurrencyLimit.limit;
    const estimate = {
      costAheadTokens: this.queue.costAhead(item),
      servedTokensPerS: this.servedTokensPerS,
      slotWaitMs: isSlotFree ? 0 : this.concurrencyLimit.stepMs,
      promptTokens: item.promptTokens,
      prefillTokensPerS: 1000 / this.engine.promptTokenMs,
    };
    return canMeetDeadline(estimate, item, nowMs);
  }

  private slotState(running: readonly SimRequest[]): SlotState {
    const isUrgentWaiting = this.queue.isWaiting('urgent');
    return {limit: this.concurrencyLimit.limit, running, isUrgentWaiting};
  }
}
