/**
 * Decides whether and where a stream continues that lost its server, and has it
 * wait for a chain. Knows on which servers the stream has run.
 */
import type {ServiceId} from '@azurecrank/core';
import type {ChainLack} from '../admission/chain_places.js';
import type {
  ModelAdmission,
  WaitingRequest,
} from '../admission/model_admission.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {AcceptedRequest} from '../gateway/caller_exchange.js';
import type {ServerChain} from '../paths/find_chains.js';
import type {SharedRetryBudget} from '../retry/shared_retry_budget.js';
import {
  allowedFirstServers,
  decideStream,
  type StreamDecision,
} from './decide_stream.js';

export interface StreamContinuationOptions {
  readonly service: ServiceId;
  readonly budget: SharedRetryBudget;
  readonly fleet: FleetView;
  /** Time for which no server may get the prompt; 0 if it may be sent. */
  readonly blockedForMs: () => number;
  readonly nowMs: () => number;
}

/** What keeps a waiting stream from continuing. */
export type StreamLack =
  | ChainLack
  | 'retry_budget'
  /** A part of its prompt is blamed for lost servers. */
  | 'cleared_prompt'
  /** Several servers broke it off before its next event. */
  | 'next_attempt';

/**
 * Time before the next attempt, by the number of losses since the last event.
 * Spreads the attempts over about the time that callers wait for an event:
 * servers that fail for a moment would use up all of them.
 */
const ATTEMPT_DELAYS_MS = [0, 0, 200, 400, 800];

export class StreamContinuation {
  /** Whether a server may have run the request. */
  mayHaveRun = false;
  private startedAttempts = 0;
  /** Number of attempts that a server refused without running them. */
  private refusedAttempts = 0;
  private waitingSinceMs: number | undefined;
  private lossesSinceEvent = 0;
  /** Time before which the next attempt does not start. */
  private nextAttemptAtMs = -Infinity;
  private readonly failedFirstServers = new Set<ServerAddress>();
  /** First servers that may have run the request. */
  private readonly mayHaveRunOn = new Set<ServerAddress>();

  constructor(
    private readonly accepted: AcceptedRequest,
    private readonly request: WaitingRequest,
    private readonly admission: ModelAdmission,
    private readonly options: StreamContinuationOptions,
  ) {}

  get attempts(): number {
    return this.startedAttempts;
  }

  /** Whether the stream waits for a chain with free capacity or for a retry. */
  get isWaiting(): boolean {
    return this.waitingSinceMs !== undefined;
  }

  recordAttempt(): void {
    this.startedAttempts++;
  }

  /** Records that the first server may have run the request. */
  recordRun(first: ServerAddress): void {
    this.mayHaveRun = true;
    this.mayHaveRunOn.add(first);
  }

  recordEvent(): void {
    this.lossesSinceEvent = 0;
  }

  /**
   * Records that the request does not go on at this first server.
   * @param isRefusal whether the server refused it without running it
   */
  recordFailure(first: ServerAddress, isRefusal: boolean): void {
    // A refused request has not run and does not count as an attempt.
    if (isRefusal) this.refusedAttempts++;
    else this.delayNextAttempt();
    this.failedFirstServers.add(first);
  }

  private delayNextAttempt(): void {
    const last = ATTEMPT_DELAYS_MS.length - 1;
    const delayMs = ATTEMPT_DELAYS_MS[Math.min(this.lossesSinceEvent, last)];
    this.nextAttemptAtMs = this.options.nowMs() + delayMs;
    this.lossesSinceEvent++;
  }

  /** Forgets the failed servers: they may have recovered. */
  forgetFailures(): void {
    this.failedFirstServers.clear();
  }

  /** Decides what follows if the stream has lost its server. */
  decide(isHeadSent: boolean): StreamDecision {
    const {route, deadlineAtMs} = this.accepted;
    return decideStream({
      isResumable: route.isResumable,
      isHeadSent,
      mayHaveRun: this.mayHaveRun,
      attempts: this.startedAttempts - this.refusedAttempts,
      remainingMs: deadlineAtMs - this.options.nowMs(),
      hasRetryBudget: this.availableRetries >= 1,
    });
  }

  /** Whether a started stream would go on at once if it left its server. */
  canContinueElsewhere(first: ServerAddress): boolean {
    if (this.decide(true).kind !== 'resume') return false;
    if (this.availableRetries < 1 || this.isBlocked) return false;
    const mayContinueOn = this.chainFilter();
    return this.admission.places.hasFreeTokensOn(
      this.request.costTokens,
      address => address !== first && mayContinueOn(address),
    );
  }

  /** Whether the route's limit restricts the servers that may run it. */
  get isRestricted(): boolean {
    return this.allowedServers() !== undefined;
  }

  /**
   * Continues on a chain with free capacity, at once or when there is one.
   * @param resume called with the chain on which the tokens are reserved, after
   *     a retry was taken from the budget
   */
  waitForChain(
    lastEventAtMs: number,
    resume: (chain: ServerChain) => void,
  ): void {
    const {budget, service, nowMs} = this.options;
    const {request, rank, costTokens} = this.request;
    this.waitingSinceMs = nowMs();
    this.admission.resume({
      request,
      rank,
      costTokens,
      interruptedAtMs: lastEventAtMs,
      mayContinueOn: first => this.mayAttempt && this.chainFilter()(first),
      isRestricted: () => this.isRestricted,
      availableRetries: () => this.availableRetries,
      resume: chain => {
        budget.tryAcquire(service, nowMs());
        resume(chain);
      },
    });
  }

  stopWaiting(): void {
    this.waitingSinceMs = undefined;
  }

  /** Time for which the stream has waited; undefined if it does not wait. */
  get waitedMs(): number | undefined {
    if (this.waitingSinceMs === undefined) return undefined;
    return Math.round(this.options.nowMs() - this.waitingSinceMs);
  }

  /** What keeps the stream from continuing; undefined if it does not wait. */
  get waitsFor(): StreamLack | undefined {
    if (!this.isWaiting) return undefined;
    if (this.isBlocked) return 'cleared_prompt';
    if (!this.mayAttempt) return 'next_attempt';
    if (this.availableRetries < 1) return 'retry_budget';
    return this.admission.places.lackOf(
      this.request.costTokens,
      this.chainFilter(),
    );
  }

  private get isBlocked(): boolean {
    return this.options.blockedForMs() > 0;
  }

  private get mayAttempt(): boolean {
    return !this.isBlocked && this.options.nowMs() >= this.nextAttemptAtMs;
  }

  private get availableRetries(): number {
    const {budget, service, nowMs} = this.options;
    return budget.available(service, nowMs());
  }

  /** Returns whether the stream may continue on the chain of a first server. */
  private chainFilter(): (first: ServerAddress) => boolean {
    const allowed = this.allowedServers();
    return first =>
      allowed ? allowed.has(first) : !this.failedFirstServers.has(first);
  }

  /**
   * First servers to which the route's limit restricts the request, if any. A
   * suspected server counts as long as it is registered, since it may be alive.
   */
  private allowedServers(): ReadonlySet<ServerAddress> | undefined {
    const {fleet} = this.options;
    return allowedFirstServers(
      this.mayHaveRunOn,
      address => !fleet.findByAddress(address),
      this.accepted.route.maxAttempts,
    );
  }
}
