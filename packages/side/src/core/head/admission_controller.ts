/**
 * Admission control for model requests at the head, the first stage of a chain.
 * Requests of all entries wait in one fair queue for one of a limited number of
 * slots; a request that holds a slot may run.
 */
import {
  ConcurrencyLimit,
  OutputLengthEstimator,
  FairQueue,
  PrefixIndex,
  RANKS,
  SlotRules,
  canMeetDeadline,
  prefixHashes,
  refuse,
  toId,
  type Cancel,
  type Engine,
  type LoadReport,
  type Logger,
  type MessageTransport,
  type Metrics,
  type Open,
  type PeerAddress,
  type Refusal,
  type Release,
  type RequestId,
  type ReservedShares,
  type ServerId,
  type ServiceId,
  type SlotState,
  type StepMessage,
} from '@azurecrank/core';
import {TokenRateMeter} from './token_rate_meter.js';
import {Slot, toQueuedOpen, type QueuedOpen} from './slot.js';

/** Bounds the size of load reports, which are sent as control traffic. */
const MAX_REPORTED_PREFIXES = 16;

/** The concurrency limit never falls below 1/4 of the engine's sequences. */
const MIN_CONCURRENCY_DIVISOR = 4;

export interface AdmissionControllerOptions {
  readonly engine: Engine;
  readonly transport: MessageTransport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly node: string;
  readonly maxQueuedRequests: number;
  readonly maxQueuedPerWorkspace: number;
  readonly urgentReserveSlots: number;
  /** A slot without a step for this long is freed. */
  readonly orphanTimeoutMs: number;
  readonly reservedShares?: ReservedShares;
}

export class AdmissionController {
  private readonly queue: FairQueue<QueuedOpen>;
  private readonly slots = new Map<RequestId, Slot>();
  private readonly slotRules: SlotRules;
  private readonly prefixes = new PrefixIndex();
  private readonly ownServer: ServerId;
  private lastCacheSeq = 0;
  private readonly outputEstimator = new OutputLengthEstimator<ServiceId>();
  private readonly tokenRate = new TokenRateMeter();
  private concurrencyLimit = new ConcurrencyLimit({minLimit: 1, maxLimit: 1});
  private maxSlots = 1;
  private isDraining = false;

  constructor(private readonly options: AdmissionControllerOptions) {
    this.queue = new FairQueue({
      maxItems: options.maxQueuedRequests,
      maxPerWorkspace: options.maxQueuedPerWorkspace,
      reservedShares: options.reservedShares,
    });
    this.slotRules = new SlotRules(options);
    this.ownServer = toId<ServerId>(options.node);
  }

  setReservedShares(reserved: ReservedShares): void {
    this.queue.setReservedShares(reserved);
  }

  get slotsInUse(): number {
    return this.slots.size;
  }

  get waitingRequests(): number {
    return this.queue.size;
  }

  /** Returns the load by which entries choose between chains. */
  currentLoad(): Pick<
    LoadReport,
    'queueCostByRank' | 'running' | 'limit' | 'stepMs' | 'prefixes'
  > {
    return {
      queueCostByRank: this.queue.outstandingCostByRank(),
      running: this.slots.size,
      limit: this.concurrencyLimit.limit,
      stepMs: this.concurrencyLimit.stepMs,
      prefixes: this.prefixes.latestHashes(
        this.ownServer,
        MAX_REPORTED_PREFIXES,
      ),
    };
  }

  /** Sets the number of sequences that fit in the engine's memory. */
  setMaxSlots(maxSlots: number): void {
    if (maxSlots === this.maxSlots) return;
    this.maxSlots = maxSlots;
    const minLimit = Math.max(1, Math.ceil(maxSlots / MIN_CONCURRENCY_DIVISOR));
    this.concurrencyLimit = new ConcurrencyLimit({
      minLimit,
      maxLimit: maxSlots,
    });
    this.grantWaiting();
  }

  /** Refuses all waiting requests now and all new ones from now on. */
  startDraining(): void {
    this.isDraining = true;
    for (;;) {
      const item = this.queue.next(-Infinity);
      if (!item) return;
      this.queue.settleCost(item, 0);
      this.sendRefused(item.open, refuse('leaving', 'queue'));
    }
  }

  /** Queues or refuses a request; a repeat of a granted one is granted again. */
  open(open: Open): void {
    const slot = this.slots.get(open.request);
    if (slot && slot.attempt >= open.attempt) return this.sendGranted(slot);
    if (slot) this.freeSlot(slot);
    if (this.isDraining)
      return this.sendRefused(open, refuse('leaving', 'queue'));
    // A repeated open replaces the one in the queue.
    this.queue.remove(open.request);
    const nowMs = performance.now();
    const item = toQueuedOpen(open, this.expectedOutputTokens(open), nowMs);
    if (!this.canServeInTime(item, nowMs)) {
      return this.sendRefused(open, refuse('deadline_unreachable', 'queue'));
    }
    for (const refused of this.queue.enqueue(item).refused) {
      this.sendRefused(refused.item.open, refuse(refused.reason, 'queue'));
    }
    this.grantWaiting();
  }

  /** Updates the index of prompt prefixes in the engine's KV cache. */
  async readCacheEvents(): Promise<void> {
    try {
      const events = await this.options.engine.cacheEvents(this.lastCacheSeq);
      const seqs = events.map(({seq}) => seq);
      this.lastCacheSeq = Math.max(this.lastCacheSeq, ...seqs);
      this.prefixes.applyEvents(this.ownServer, events, performance.now());
    } catch (error) {
      const {node} = this.options;
      const fields = {step: 'route', peer: node, cause: String(error)};
      this.options.logger.debug(
        'cache events could not be read from the engine',
        fields,
      );
    }
  }

  /** Removes a waiting request. Returns false if it was not waiting. */
  cancel(message: Cancel): boolean {
    return this.queue.remove(message.request) !== undefined;
  }

  release(message: Release): void {
    const slot = this.slots.get(message.request);
    if (!slot || slot.attempt > message.attempt) return;
    this.freeSlot(slot);
    this.grantWaiting();
  }

  /**
   * Frees the slots of an unreachable entry, which cannot send a release. Its
   * requests in the queue stay; they are granted in turn and freed the same way.
   */
  freeSlotsOf(entry: PeerAddress): void {
    this.freeOrphans(slot => slot.item.open.entry === entry);
  }

  /** Frees slots without a step for the orphan timeout: a release was lost. */
  releaseOrphans(): void {
    const minLastUsedAtMs = performance.now() - this.options.orphanTimeoutMs;
    this.freeOrphans(slot => slot.lastUsedAtMs < minLastUsedAtMs);
  }

  /**
   * Records a step of a request: it proves that `granted` arrived and measures
   * the token rate.
   */
  recordStep(message: StepMessage): void {
    const slot = this.slots.get(message.request);
    if (!slot) return;
    this.options.transport.settle(slot.item.open.entry, slot.grantKey);
    const nowMs = performance.now();
    this.tokenRate.add(message.tokens.length, nowMs);
    const betweenMs = slot.recordStep(message, nowMs);
    if (betweenMs === undefined) return;
    this.concurrencyLimit.observe(betweenMs, this.slots.size, nowMs);
    this.options.metrics.observeMs('azurecrank_between_steps_ms', betweenMs);
  }

  /** Refuses requests whose deadline is unreachable and fills free slots. */
  tick(): void {
    for (const {open} of this.queue.expire(performance.now())) {
      this.sendRefused(open, refuse('deadline_unreachable', 'queue'));
    }
    this.grantWaiting();
  }

  private expectedOutputTokens(open: Open): number {
    return this.outputEstimator.expectedTokens(open.service, open.maxTokens);
  }

  private canServeInTime(item: QueuedOpen, nowMs: number): boolean {
    const isFree = this.slots.size < this.concurrencyLimit.limit;
    const servedTokensPerS = isFree ? 0 : this.tokenRate.tokensPerSecond(nowMs);
    return canMeetDeadline(
      {
        costAheadTokens: this.queue.costAhead(item),
        servedTokensPerS,
        slotWaitMs: 0,
        promptTokens: 0,
        prefillTokensPerS: 0,
      },
      item,
      nowMs,
    );
  }

  private grantWaiting(): void {
    const nowMs = performance.now();
    for (;;) {
      const filter = this.slotRules.createFilter(this.slotState());
      const item = this.queue.next(nowMs, filter);
      if (!item) break;
      const slot = new Slot(item, this.queue.usedReservedShare(item), nowMs);
      this.slots.set(item.request, slot);
      const hashes = prefixHashes(item.open.prompt);
      this.prefixes.recordSent(this.ownServer, hashes, nowMs);
      this.options.metrics.observeMs(
        'azurecrank_head_wait_ms',
        nowMs - item.enqueuedAtMs,
        {rank: item.rank},
      );
      void this.tokenizeAndGrant(slot);
    }
    this.preemptIfNeeded();
  }

  private preemptIfNeeded(): void {
    const chosen = this.slotRules.selectVictim(this.slotState());
    const slot = chosen && this.slots.get(chosen.request);
    if (!slot || slot.isPreempted) return;
    slot.isPreempted = true;
    this.options.metrics.increment('azurecrank_preemptions_total');
    const {attempt} = slot;
    const {request, entry} = slot.item.open;
    this.options.transport.send(entry, {type: 'preempt', request, attempt});
  }

  private slotState(): SlotState {
    return {
      limit: this.concurrencyLimit.limit,
      running: [...this.slots.values()],
      isUrgentWaiting: this.queue.isWaiting(RANKS[0]),
    };
  }

  private freeOrphans(isOrphan: (slot: Slot) => boolean): void {
    const orphans = [...this.slots.values()].filter(isOrphan);
    for (const slot of orphans) {
      this.options.metrics.increment('azurecrank_orphan_slots_total');
      this.freeSlot(slot);
    }
    if (orphans.length > 0) this.grantWaiting();
  }

  private freeSlot(slot: Slot): void {
    const {open} = slot.item;
    this.slots.delete(open.request);
    this.options.transport.settle(open.entry, slot.grantKey);
    this.queue.settleCost(slot.item, slot.positions);
    const generated = slot.positions - slot.promptTokenCount;
    if (generated > 0) this.outputEstimator.observe(open.service, generated);
  }

  private async tokenizeAndGrant(slot: Slot): Promise<void> {
    const {open} = slot.item;
    try {
      slot.promptTokens = await this.options.engine.tokenize(open.prompt);
      if (this.slots.get(open.request) === slot) this.sendGranted(slot);
    } catch (error) {
      this.freeSlot(slot);
      const detail = String(error);
      this.sendRefused(open, refuse('service_failed', 'prefill', {detail}));
      this.grantWaiting();
    }
  }

  private sendGranted(slot: Slot): void {
    const {promptTokens, attempt} = slot;
    if (!promptTokens) return;
    const {request, entry} = slot.item.open;
    this.options.transport.sendRepeatable(entry, slot.grantKey, {
      type: 'granted',
      request,
      attempt,
      promptTokens,
    });
  }

  private sendRefused(open: Open, refusal: Refusal): void {
    const {request, attempt, entry} = open;
    const {reason, ran, step, detail, retryAfterMs} = refusal;
    this.options.metrics.increment('azurecrank_refusals_total', {reason});
    this.options.transport.send(entry, {
      type: 'refused',
      request,
      attempt,
      reason,
      ran,
      step,
      peer: this.options.node,
      detail,
      retryAfterMs,
    });
  }
}
