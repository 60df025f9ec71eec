/**
 * Admission of model requests at the first stage of a chain: requests of all
 * entries wait here and take one of a limited number of slots.
 */
import {
  type Cancel,
  RANKS,
  type Engine,
  type LoadReport,
  type Logger,
  type Metrics,
  type Open,
  type Refusal,
  type Release,
  type RequestId,
  refuse,
} from '@azurecrank/core';
import type {StageTransport} from '../sequences/stage.js';

export interface HeadOptions {
  readonly engine: Engine;
  readonly transport: StageTransport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly node: string;
  readonly maxQueuedRequests: number;
}

interface Slot {
  readonly open: Open;
  promptTokens: readonly number[] | undefined;
}

export class Head {
  private readonly waiting: Open[] = [];
  private readonly slots = new Map<RequestId, Slot>();
  private slotLimit = 0;
  private isLeaving = false;

  constructor(private readonly options: HeadOptions) {}

  get runningRequests(): number {
    return this.slots.size;
  }

  get waitingRequests(): number {
    return this.waiting.length;
  }

  /** What entries need to know to choose between chains. */
  load(): Pick<
    LoadReport,
    'queueCostByRank' | 'running' | 'limit' | 'stepMs' | 'prefixes'
  > {
    const queueCostByRank = RANKS.map(rank =>
      this.waiting
        .filter(open => open.rank === rank)
        .reduce((sum, open) => sum + open.maxTokens, 0),
    );
    const stepMs = this.options.metrics.percentileMs(
      'azurecrank_engine_batch_ms',
      50,
    );
    return {
      queueCostByRank,
      running: this.slots.size,
      limit: this.slotLimit,
      stepMs,
      prefixes: [],
    };
  }

  setSlotLimit(limit: number): void {
    this.slotLimit = limit;
    this.grantWaiting();
  }

  /** Refuses what waits and everything that comes. */
  leave(): void {
    this.isLeaving = true;
    for (const open of this.waiting.splice(0)) {
      this.refuse(open, refuse('leaving', 'queue'));
    }
  }

  open(open: Open): void {
    const slot = this.slots.get(open.request);
    if (slot && slot.open.attempt >= open.attempt) return this.grant(slot);
    if (this.waiting.some(({request}) => request === open.request)) return;
    if (this.isLeaving) return this.refuse(open, refuse('leaving', 'queue'));
    if (this.waiting.length >= this.options.maxQueuedRequests) {
      return this.refuse(open, refuse('queue_full', 'queue'));
    }
    this.waiting.push(open);
    this.grantWaiting();
  }

  cancel(message: Cancel): boolean {
    const index = this.waiting.findIndex(
      ({request}) => request === message.request,
    );
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    return true;
  }

  release(message: Release): void {
    const slot = this.slots.get(message.request);
    if (!slot || slot.open.attempt > message.attempt) return;
    this.slots.delete(message.request);
    this.options.transport.settle(slot.open.entry, grantKey(message.request));
    this.grantWaiting();
  }

  /** The first step shows that the grant has arrived. */
  confirmGrant(request: RequestId): void {
    const slot = this.slots.get(request);
    if (slot) this.options.transport.settle(slot.open.entry, grantKey(request));
  }

  private grantWaiting(): void {
    while (this.slots.size < this.slotLimit) {
      const open = this.waiting.shift();
      if (!open) return;
      const slot: Slot = {open, promptTokens: undefined};
      this.slots.set(open.request, slot);
      void this.tokenize(slot);
    }
  }

  private async tokenize(slot: Slot): Promise<void> {
    const {open} = slot;
    try {
      slot.promptTokens = await this.options.engine.tokenize(open.prompt);
      this.grant(slot);
    } catch (error) {
      this.slots.delete(open.request);
      const detail = String(error);
      this.refuse(open, refuse('service_failed', 'prefill', {detail}));
      this.grantWaiting();
    }
  }

  private grant({open, promptTokens}: Slot): void {
    if (!promptTokens) return;
    const {request, attempt, entry} = open;
    this.options.transport.sendExpecting(entry, grantKey(request), {
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

function grantKey(request: RequestId): string {
  return `granted:${request}`;
}
