/**
 * Queues the requests of one model until a chain has enough free KV-cache
 * tokens. Admits them by rank, and fairly among workspaces.
 */
import {
  FairQueue,
  RANKS,
  type QueuedItem,
  type RefusalReason,
  rankIndex,
  type RequestId,
} from '@azurecrank/core';
import {
  totalStreamsPerS,
  typicalStreamTokens,
} from '../paths/chain_throughput.js';
import type {ServerChain} from '../paths/find_chains.js';
import {ChainPlaces, type ChainPlacesOptions} from './chain_places.js';
import {
  InterruptedStreams,
  type InterruptedStream,
} from './interrupted_streams.js';
import type {ServiceQueues} from './peer_queues.js';
import type {WaitingQueue, WaitReason} from './queue_wait_reporter.js';
import {AdmissionRateMeter} from './admission_rate_meter.js';
import {RetryAfterSchedule} from './retry_after_schedule.js';

export interface WaitingRequest extends QueuedItem {
  /** Called once with the chain on which the request's tokens are reserved. */
  readonly admit: (chain: ServerChain) => void;
  /**
   * Called once if the request will not be served; it has not run. The caller
   * should retry after `retryAfterMs`.
   */
  readonly refuse: (reason: RefusalReason, retryAfterMs: number) => void;
}

/**
 * Tokens of a typical request: its prompt and half of its response, according
 * to the users' data sheets.
 */
const TYPICAL_REQUEST_TOKENS = 860;

/** Bounds the memory that queued requests take in this process. */
const MAX_QUEUED_REQUESTS = 400;

/**
 * A request is refused at once if its expected wait exceeds its maximum wait by
 * this factor, because a late refusal leaves the caller no time for another
 * attempt. Below this factor the estimate is too rough to refuse a request that
 * may still meet its deadline.
 */
const EARLY_REFUSAL_WAIT_FACTOR = 1.5;

const MS_PER_SECOND = 1000;

/**
 * Time for which free tokens are left to interrupted streams of other entries;
 * longer than the interval of their reports.
 */
const MAX_YIELD_MS = 300;

/** Bounds the share of the queue that one workspace can take. */
const MAX_QUEUED_PER_WORKSPACE = 200;

export class ModelAdmission {
  private readonly queue = new FairQueue<WaitingRequest>({
    maxItems: MAX_QUEUED_REQUESTS,
    maxPerWorkspace: MAX_QUEUED_PER_WORKSPACE,
  });
  private readonly interrupted = new InterruptedStreams();
  /** Time since which free tokens are left to streams of other entries. */
  private yieldingSinceMs: number | undefined;
  private readonly rateMeter = new AdmissionRateMeter();
  private readonly retrySchedule = new RetryAfterSchedule();
  /** The chains of the model and their free tokens. */
  readonly places: ChainPlaces;

  constructor(private readonly options: ChainPlacesOptions) {
    this.places = new ChainPlaces(options);
  }

  /**
   * The waiting requests, for the reports to other entries. While this entry
   * may send to no chain, there are none for which others should leave tokens.
   */
  queues(): ServiceQueues {
    const {service, nowMs} = this.options;
    const now = nowMs();
    if (this.places.heldForMs(now) > 0) {
      const none = {tokens: 0, oldestAgeMs: 0};
      return {service, ranks: RANKS.map(() => none)};
    }
    const interrupted = this.interrupted.report(this.reportedChains(now), now);
    const tokens = this.queue.waitingCostByRank();
    const oldestAtMs = this.queue.oldestEnqueuedAtMs();
    return {
      service,
      interrupted,
      ranks: RANKS.map((_, rank) => ({
        tokens: tokens[rank],
        oldestAgeMs: now - (oldestAtMs[rank] ?? now),
      })),
    };
  }

  /**
   * Chains on which others should leave tokens for interrupted streams. There
   * are none while a chain is closed to this entry: others would leave tokens
   * there, which its streams cannot use.
   */
  private reportedChains(nowMs: number): ServerChain[] {
    const open = this.places.open(nowMs);
    return open.length === this.currentChains().length ? open : [];
  }

  /** Returns the queue and why its requests wait; undefined if none does. */
  waitingQueue(): WaitingQueue | undefined {
    if (this.queue.size === 0) return undefined;
    const now = this.options.nowMs();
    const oldestAtMs = this.queue.oldestEnqueuedAtMs();
    return {
      requests: this.queue.size,
      oldestAgeMs: now - Math.min(...oldestAtMs.map(atMs => atMs ?? now)),
      reason: this.waitReason(now),
      freeTokens: sum(this.places.freeTokens(now)),
    };
  }

  private waitReason(now: number): WaitReason {
    const {loads} = this.options;
    const chains = this.currentChains();
    if (chains.length === 0) return 'no_chain';
    if (this.places.hasFreeTokens(TYPICAL_REQUEST_TOKENS)) {
      const isKept =
        this.interrupted.eligible(this.places.open(now)).length > 0;
      return isKept ? 'interrupted_first' : 'other_entries_first';
    }
    const isAnyClosed = chains.some(
      chain => loads.unusedTokens(chain, now) >= TYPICAL_REQUEST_TOKENS,
    );
    return isAnyClosed ? 'chain_closed' : 'no_free_tokens';
  }

  /** Whether requests wait, or have until a short time ago. */
  get hasWaiting(): boolean {
    return (
      this.queue.size > 0 ||
      this.interrupted.size > 0 ||
      this.rateMeter.isMeasuring
    );
  }

  /** Number of queued requests. */
  get size(): number {
    return this.queue.size;
  }

  enqueue(request: WaitingRequest): void {
    if (this.wouldMissDeadline(request)) {
      return this.refuse(request, this.refusalReason(this.options.nowMs()));
    }
    const {refused} = this.queue.enqueue(request);
    for (const {item, reason} of refused) this.refuse(item, reason);
    this.processQueue();
  }

  /**
   * Whether holds on all chains or the queue are so long that the request would
   * miss its deadline.
   */
  private wouldMissDeadline(request: WaitingRequest): boolean {
    const nowMs = this.options.nowMs();
    const heldForMs = this.places.heldForMs(nowMs);
    if (heldForMs > 0)
      return request.firstTokenDeadlineAtMs <= nowMs + heldForMs;
    if (this.places.hasFreeTokens(request.costTokens)) return false;
    const maxWaitMs = request.firstTokenDeadlineAtMs - nowMs;
    const expectedWaitMs = this.expectedWaitMs(request, nowMs);
    return expectedWaitMs > maxWaitMs * EARLY_REFUSAL_WAIT_FACTOR;
  }

  /**
   * Estimates the wait behind the requests that go first at all entries, at the
   * rate of all entries: this entry stands for each one whose requests wait.
   * Returns 0 if nothing is known.
   */
  private expectedWaitMs(request: WaitingRequest, nowMs: number): number {
    const {model, peerQueues, service} = this.options;
    const spec = model();
    const chains = this.currentChains();
    if (!spec || chains.length === 0) return 0;
    const requestTokens = typicalStreamTokens(spec);
    const expectedTokensPerMs =
      (totalStreamsPerS(spec, chains) * requestTokens) / MS_PER_SECOND;
    const entries = 1 + peerQueues.waitingPeers(service, nowMs);
    const tokensPerMs =
      entries *
      this.rateMeter.estimateTokensPerMs(
        expectedTokensPerMs / entries,
        requestTokens,
        nowMs,
      );
    const tokensAhead =
      this.interrupted.report(chains, nowMs).tokens +
      this.queue.costAhead(request) +
      this.tokensAhead(request, false, nowMs);
    return (tokensAhead + request.costTokens) / tokensPerMs;
  }

  private refusalReason(nowMs: number): RefusalReason {
    if (this.places.heldForMs(nowMs) > 0) return 'server_backoff';
    return this.currentChains().length > 0
      ? 'deadline_unreachable'
      : 'no_chain';
  }

  private refuse(item: WaitingRequest, reason: RefusalReason): void {
    const nowMs = this.options.nowMs();
    const requestsPerMs = this.rateMeter.requestsPerMs(nowMs);
    const leftMs = item.deadlineAtMs - nowMs;
    item.refuse(
      reason,
      this.retrySchedule.nextDelayMs(
        nowMs,
        leftMs,
        requestsPerMs,
        this.places.heldForMs(nowMs),
      ),
    );
  }

  /** Queues an admitted request again that a server refused to run. */
  requeue(request: WaitingRequest): void {
    this.queue.settleCost(request, 0);
    this.enqueue(request);
  }

  /** Removes a request that has ended, wherever it waits. */
  remove(request: RequestId): void {
    this.queue.remove(request);
    this.interrupted.remove(request);
  }

  /** Continues a stream that lost its chain, at once or before new requests. */
  resume(stream: InterruptedStream): void {
    this.interrupted.add(stream);
    this.resumeInterrupted(this.options.nowMs());
  }

  /** Records the tokens that an ended request has used, for fair queueing. */
  recordUsage(request: WaitingRequest, usedTokens: number): void {
    this.queue.settleCost(request, usedTokens);
  }

  /**
   * Continues streams that lost their chain, admits requests that fit, and
   * refuses those past their deadline or with one before the first chain takes
   * requests again.
   */
  processQueue(): void {
    const now = this.options.nowMs();
    this.places.current();
    if (!this.hasWaiting) return;
    const heldForMs = this.places.heldForMs(now);
    for (const item of this.queue.expire(now + heldForMs)) {
      this.refuse(item, this.refusalReason(now));
    }
    // The rate during a hold does not show how long requests wait after it.
    if (heldForMs > 0) return this.rateMeter.stopMeasuring();
    this.resumeInterrupted(now);
    this.admitWaiting(now);
    if (this.queue.size > 0) this.rateMeter.startMeasuring(now);
    else if (this.places.hasFreeTokens(TYPICAL_REQUEST_TOKENS))
      this.rateMeter.stopMeasuring();
  }

  private admitWaiting(now: number): void {
    const chains = this.currentChains();
    if (chains.length === 0 || this.queue.size === 0) return;
    for (;;) {
      const free = this.interrupted.tokensLeft(
        chains,
        this.places.freeTokens(now),
      );
      const totalFree = sum(free);
      const largestFree = Math.max(...free);
      const item = this.queue.next(
        now,
        (waiting, isReserved) =>
          waiting.costTokens <= largestFree &&
          waiting.costTokens + this.tokensAhead(waiting, isReserved, now) <=
            totalFree,
      );
      if (!item) return;
      const open = chains.filter((_, i) => free[i] >= item.costTokens);
      const chain = this.places.reserve(
        open,
        item.request,
        item.costTokens,
        now,
      );
      if (!chain) return;
      this.rateMeter.recordAdmission(item.costTokens, now);
      item.admit(chain);
    }
  }

  private resumeInterrupted(now: number): void {
    for (const stream of this.interrupted.eligible(this.places.open(now))) {
      const {request, costTokens, mayContinueOn} = stream;
      // A resumed stream uses a retry, and may be lost again at once.
      if (stream.availableRetries() < 1) return;
      if (!this.interrupted.has(stream)) continue;
      if (!this.isFirst(stream, now)) continue;
      const allowed = this.currentChains().filter(({path}) =>
        mayContinueOn(path[0].server.address),
      );
      const chain = this.places.reserve(allowed, request, costTokens, now);
      if (!chain) continue;
      this.interrupted.remove(request);
      stream.resume(chain);
    }
  }

  /**
   * Whether the free tokens suffice for the stream and for those that other
   * entries continue before it. Tokens that these have not taken in time are
   * left to them no longer: their entries may not be able to use them.
   */
  private isFirst(stream: InterruptedStream, now: number): boolean {
    const {costTokens, interruptedAtMs, mayContinueOn} = stream;
    if (stream.isRestricted()) return true;
    if (!this.places.hasFreeTokensOn(costTokens, mayContinueOn)) {
      this.yieldingSinceMs = undefined;
      return false;
    }
    const {peerQueues, service} = this.options;
    const ahead = peerQueues.interruptedAhead(service, interruptedAtMs, now);
    if (costTokens + ahead <= sum(this.places.freeTokens(now))) return true;
    this.yieldingSinceMs ??= now;
    return now - this.yieldingSinceMs >= MAX_YIELD_MS;
  }

  /** Tokens of the requests that other entries admit before this one. */
  private tokensAhead(
    {rank, enqueuedAtMs}: WaitingRequest,
    isOnReservedShare: boolean,
    nowMs: number,
  ): number {
    const {peerQueues, service} = this.options;
    const place = {
      rankIndex: rankIndex(rank),
      enqueuedAtMs,
      isOnReservedShare,
    };
    return peerQueues.tokensAhead(service, place, nowMs);
  }

  /** Chains of usable servers. */
  currentChains(): ServerChain[] {
    return this.places.current();
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
