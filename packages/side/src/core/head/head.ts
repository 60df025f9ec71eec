/**
 * Admission of model requests at the first stage of a chain: requests of all
 * entries wait in one fair queue and take one of a limited number of slots.
 */
import {
  ConcurrencyLimit,
  ExpectedOutput,
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
import {RateMeter} from './rate_meter.js';
import {Slot, toQueuedOpen, type QueuedOpen} from './slot.js';

/** Bounds the size of load reports, which count as control traffic. */
const REPORTED_PREFIXES = 16;

export interface HeadOptions {
  readonly engine: Engine;
  readonly transport: MessageTransport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly node: string;
  readonly maxQueuedRequests: number;
  readonly maxQueuedPerWorkspace: number;
  readonly urgentReserveSlots: number;
  /** Slots without a step for this long are free again. */
  readonly orphanTimeoutMs: number;
  readonly reservedShares?: ReservedShares;
}

export class Head {
  private readonly queue: FairQueue<QueuedOpen>;
  private readonly slots = new Map<RequestId, Slot>();
  private readonly rules: SlotRules;
  private readonly prefixes = new PrefixIndex();
  private readonly own: ServerId;
  private lastCacheSeq = 0;
  private readonly outputs = new ExpectedOutput<ServiceId>();
  private readonly rate = new RateMeter();
  private limit = new ConcurrencyLimit({min: 1, max: 1});
  private maxSlots = 1;
  private isLeaving = false;

  constructor(private readonly options: HeadOptions) {
    this.queue = new FairQueue({
      maxItems: options.maxQueuedRequests,
      maxPerWorkspace: options.maxQueuedPerWorkspace,
      reservedShares: options.reservedShares,
    });
    this.rules = new SlotRules(options);
    this.own = toId<ServerId>(options.node);
  }

  setReservedShares(reserved: ReservedShares): void {
    this.queue.setReservedShares(reserved);
  }

  get runningRequests(): number {
    return this.slots.size;
  }

  get waitingRequests(): number {
    return this.queue.size;
  }

  /** What entries need to know to choose between chains. */
  load(): Pick<
    LoadReport,
    'queueCostByRank' | 'running' | 'limit' | 'stepMs' | 'prefixes'
  > {
    return {
      queueCostByRank: this.queue.outstandingCostByRank(),
      running: this.slots.size,
      limit: this.limit.limit,
      stepMs: this.limit.stepMs,
      prefixes: this.prefixes.latest(this.own, REPORTED_PREFIXES),
    };
  }

  /** Sequences for which the engine has memory. */
  setMaxSlots(maxSlots: number): void {
    if (maxSlots === this.maxSlots) return;
    this.maxSlots = maxSlots;
    const min = Math.max(1, Math.ceil(maxSlots / 4));
    this.limit = new ConcurrencyLimit({min, max: maxSlots});
    this.grantWaiting();
  }

  /** Refuses what waits and everything that comes. */
  leave(): void {
    this.isLeaving = true;
    for (;;) {
      const item = this.queue.next(-Infinity);
      if (!item) return;
      this.queue.settle(item, 0);
      this.refuse(item.open, refuse('leaving', 'queue'));
    }
  }

  open(open: Open): void {
    const slot = this.slots.get(open.request);
    if (slot && slot.attempt >= open.attempt) return this.grant(slot);
    if (slot) this.free(slot);
    if (this.isLeaving) return this.refuse(open, refuse('leaving', 'queue'));
    // A repeated open replaces the one that waits.
    this.queue.remove(open.request);
    const nowMs = performance.now();
    const item = toQueuedOpen(open, this.expectedOutput(open), nowMs);
    if (!this.canServe(item, nowMs)) {
      return this.refuse(open, refuse('deadline_unreachable', 'queue'));
    }
    for (const refused of this.queue.enqueue(item).refused) {
      this.refuse(refused.item.open, refuse(refused.reason, 'queue'));
    }
    this.grantWaiting();
  }

  /** Learns from the engine which prompt prefixes it holds. */
  async readCacheEvents(): Promise<void> {
    try {
      const events = await this.options.engine.cacheEvents(this.lastCacheSeq);
      const seqs = events.map(({seq}) => seq);
      this.lastCacheSeq = Math.max(this.lastCacheSeq, ...seqs);
      this.prefixes.applyEvents(this.own, events, performance.now());
    } catch (error) {
      const {node} = this.options;
      const fields = {step: 'route', peer: node, cause: String(error)};
      this.options.logger.debug('engine sent no cache events', fields);
    }
  }

  /** Returns whether the request was waiting and will not be granted. */
  cancel(message: Cancel): boolean {
    return this.queue.remove(message.request) !== undefined;
  }

  release(message: Release): void {
    const slot = this.slots.get(message.request);
    if (!slot || slot.attempt > message.attempt) return;
    this.free(slot);
    this.grantWaiting();
  }

  /**
   * Frees the slots of an entry that cannot be reached, because no release
   * will come. Its waiting requests are granted in turn and freed the same way.
   */
  freeSlotsOf(entry: PeerAddress): void {
    this.freeWhere(slot => slot.item.open.entry === entry);
  }

  /** Frees slots whose release was lost. */
  releaseOrphans(): void {
    const oldestMs = performance.now() - this.options.orphanTimeoutMs;
    this.freeWhere(slot => slot.lastUsedMs < oldestMs);
  }

  /** A step shows that the grant has arrived and how fast tokens flow. */
  noteStep(message: StepMessage): void {
    const slot = this.slots.get(message.request);
    if (!slot) return;
    this.options.transport.settle(slot.item.open.entry, slot.grantKey);
    const nowMs = performance.now();
    this.rate.add(message.tokens.length, nowMs);
    const betweenMs = slot.noteStep(message, nowMs);
    if (betweenMs === undefined) return;
    this.limit.observe(betweenMs, this.slots.size, nowMs);
    this.options.metrics.observeMs('azurecrank_between_steps_ms', betweenMs);
  }

  /** Drops what can no longer be served in time and fills free slots. */
  tick(): void {
    for (const {open} of this.queue.expire(performance.now())) {
      this.refuse(open, refuse('deadline_unreachable', 'queue'));
    }
    this.grantWaiting();
  }

  private expectedOutput(open: Open): number {
    return this.outputs.expect(open.service, open.maxTokens);
  }

  private canServe(item: QueuedOpen, nowMs: number): boolean {
    const isFree = this.slots.size < this.limit.limit;
    const servedTokensPerS = isFree ? 0 : this.rate.perSecond(nowMs);
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
      const filter = this.rules.filter(this.slotState());
      const item = this.queue.next(nowMs, filter);
      if (!item) break;
      const slot = new Slot(item, this.queue.usedReservedShare(item), nowMs);
      this.slots.set(item.request, slot);
      const hashes = prefixHashes(item.open.prompt);
      this.prefixes.noteSent(this.own, hashes, nowMs);
      this.options.metrics.observeMs(
        'azurecrank_head_wait_ms',
        nowMs - item.enqueuedAtMs,
        {rank: item.rank},
      );
      void this.tokenize(slot);
    }
    this.preemptIfNeeded();
  }

  private preemptIfNeeded(): void {
    const chosen = this.rules.preempt(this.slotState());
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
      limit: this.limit.limit,
      running: [...this.slots.values()],
      isUrgentWaiting: this.queue.isWaiting(RANKS[0]),
    };
  }

  private freeWhere(isOrphan: (slot: Slot) => boolean): void {
    const orphans = [...this.slots.values()].filter(isOrphan);
    for (const slot of orphans) {
      this.options.metrics.increment('azurecrank_orphan_slots_total');
      this.free(slot);
    }
    if (orphans.length > 0) this.grantWaiting();
  }

  private free(slot: Slot): void {
    const {open} = slot.item;
    this.slots.delete(open.request);
    this.options.transport.settle(open.entry, slot.grantKey);
    this.queue.settle(slot.item, slot.positions);
    const generated = slot.positions - slot.promptLength;
    if (generated > 0) this.outputs.observe(open.service, generated);
  }

  private async tokenize(slot: Slot): Promise<void> {
    const {open} = slot.item;
    try {
      slot.promptTokens = await this.options.engine.tokenize(open.prompt);
      if (this.slots.get(open.request) === slot) this.grant(slot);
    } catch (error) {
      this.free(slot);
      const detail = String(error);
      this.refuse(open, refuse('service_failed', 'prefill', {detail}));
      this.grantWaiting();
    }
  }

  private grant(slot: Slot): void {
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

  private refuse(open: Open, refusal: Refusal): void {
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
