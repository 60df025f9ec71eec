/** The real decision modules, put together as in a side process. */
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
  type Observation,
  type SimRequest,
} from './scheduler.js';

const QUEUE_OPTIONS = {maxItems: 256, maxPerWorkspace: 64};
const SLOT_OPTIONS = {urgentReserveSlots: 1};
const PROMPT_TOKENS_BESIDE_HIGHER = 128;
const MIN_LIMIT = 4;
const RATE_SMOOTHING = 0.02;

export class FairScheduler extends Scheduler {
  private readonly queue = new FairQueue<SimRequest>(QUEUE_OPTIONS);
  private readonly slots = new SlotRules(SLOT_OPTIONS);
  private readonly expected = new OutputLengthEstimator<Rank>();
  private readonly limit: ConcurrencyLimit;
  private readonly former: BatchFormer<SimRequest>;
  private tokensPerS = 0;

  constructor(private readonly engine: EngineModel) {
    super();
    this.limit = new ConcurrencyLimit({
      minLimit: MIN_LIMIT,
      maxLimit: engine.slots,
    });
    this.former = new BatchFormer({
      maxSteps: engine.slots,
      maxPromptTokens: engine.maxPromptTokens,
      maxLowerRankPromptTokens: PROMPT_TOKENS_BESIDE_HIGHER,
    });
  }

  override offer(
    request: SimRequest,
    running: readonly SimRequest[],
    nowMs: number,
  ): readonly SimRequest[] {
    const item = this.withCost(request);
    if (!this.canMeetDeadline(item, running, nowMs)) return [item];
    return this.queue.enqueue(item).refused.map(refused => refused.item);
  }

  override expire(nowMs: number): readonly SimRequest[] {
    return this.queue.expire(nowMs);
  }

  override preempt(running: readonly SimRequest[]): SimRequest | undefined {
    const victim = this.slots.selectVictim(this.slotState(running));
    return victim as SimRequest | undefined;
  }

  override grant(
    running: readonly SimRequest[],
    nowMs: number,
  ): SimRequest | undefined {
    const allows = this.slots.createFilter(this.slotState(running));
    const granted = this.queue.next(nowMs, allows);
    if (granted) {
      granted.usedReservedShare = this.queue.usedReservedShare(granted);
    }
    return granted;
  }

  override form(
    running: readonly SimRequest[],
    nowMs: number,
  ): readonly PickedStep<SimRequest>[] {
    return this.former.form(running, nowMs);
  }

  override end(request: SimRequest, finished: boolean): void {
    this.queue.settleCost(request, request.positions);
    if (finished) this.expected.observe(request.rank, request.generated);
  }

  override observe({stepMs, tokens, running, nowMs}: Observation): void {
    this.limit.observe(stepMs, running, nowMs);
    const rate = (tokens / stepMs) * 1000;
    this.tokensPerS += (rate - this.tokensPerS) * RATE_SMOOTHING;
  }

  override outstandingCostByRank(): readonly number[] {
    return this.queue.outstandingCostByRank();
  }

  private withCost(request: SimRequest): SimRequest {
    const {rank, arrival, generated} = request;
    const output = this.expected.expectedTokens(
      rank,
      arrival.maxTokens - generated,
    );
    return {
      ...request,
      costTokens: request.promptTokens + output,
      prefillMs: this.prefillMs(request),
    };
  }

  private prefillMs(request: SimRequest): number {
    const {batchMs, promptTokenMs} = this.engine;
    const stepMs = Math.max(this.limit.stepMs, batchMs);
    return (
      stepMs + estimatePrefillMs(request.promptTokens, 1000 / promptTokenMs)
    );
  }

  private canMeetDeadline(
    item: SimRequest,
    running: readonly SimRequest[],
    nowMs: number,
  ): boolean {
    const isFree = running.length < this.limit.limit;
    const estimate = {
      costAheadTokens: this.queue.costAhead(item),
      servedTokensPerS: this.tokensPerS,
      slotWaitMs: isFree ? 0 : this.limit.stepMs,
      promptTokens: item.promptTokens,
      prefillTokensPerS: 1000 / this.engine.promptTokenMs,
    };
    return canMeetDeadline(estimate, item, nowMs);
  }

  private slotState(running: readonly SimRequest[]): SlotState {
    const isUrgentWaiting = this.queue.isWaiting('urgent');
    return {limit: this.limit.limit, running, isUrgentWaiting};
  }
}
