/**
 * Relays plain calls to one server at a time and retries them on other servers
 * where the kind of the call allows it.
 */
import {
  refuse,
  type Logger,
  type Metrics,
  type RefusalReason,
  type RetryReason,
  type ServiceId,
} from '@azurecrank/core';
import type {RefusalSender} from 'azurecrank';
import type {WireCodec} from '../adapter/platform_adapter.js';
import type {BackendServer} from '../fleet/backend_server.js';
import type {LeavingServers} from '../fleet/leaving_servers.js';
import type {
  AcceptedRequest,
  CallerExchange,
} from '../gateway/caller_exchange.js';
import {writeResponse} from '../gateway/write_response.js';
import type {CrashWatch} from '../quarantine/crash_watch.js';
import type {RequestQuarantine} from '../quarantine/request_quarantine.js';
import type {SharedRetryBudget} from '../retry/shared_retry_budget.js';
import {CallServers, type CallServersOptions} from './call_servers.js';
import {
  INVALID_RESPONSE_CAUSES,
  checkResponse,
  unconfirmedRefusal,
  type InvalidResponse,
} from './check_response.js';
import {
  decideCall,
  type AttemptOutcome,
  type CallDecision,
  type CallState,
} from './decide_call.js';
import type {BufferedBody, ResponseMemory} from './response_memory.js';
import {RunGuard} from './run_guard.js';
import {hasKnownLength} from './stream_response.js';
import {isRefusedConnection, type Exchange, type Upstream} from './upstream.js';

export interface CallRelayOptions extends CallServersOptions {
  readonly upstream: Upstream;
  readonly wire: WireCodec;
  readonly leavingServers: LeavingServers;
  /** Whether this incarnation of a server has ended. */
  readonly hasEnded: (server: BackendServer) => Promise<boolean>;
  readonly memory: ResponseMemory;
  readonly quarantine: RequestQuarantine;
  readonly crashWatch: CrashWatch;
  readonly budget: SharedRetryBudget;
  readonly refusals: RefusalSender;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

interface BufferedResponse {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
}

/**
 * Fraction of the route's latency target after which an idempotent call is
 * retried on another server. The second response can still meet the target.
 */
const SLOW_CALL_TARGET_FRACTION = 0.65;

/** Interval at which a slow call looks for another server. */
const SLOW_CALL_CHECK_INTERVAL_MS = 100;

/** Responses are buffered whole, so that incomplete ones can be retried. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Time before the deadline at which the caller gets an error. */
const DEADLINE_MARGIN_MS = 10;

/** Calls that waited for the end of a hold start within this time after it. */
const HOLD_END_SPREAD_MS = 200;

/** Interval at which a call checks whether the trial after a hold has ended. */
const TRIAL_CHECK_INTERVAL_MS = 40;

/** Time after which a call goes again to a server that has broken it off. */
const REPEAT_DELAY_MS = 100;

/** Minimum retry delay reported to the caller when no server ran the call. */
const RETRY_AFTER_MS = 100;

const STOP_CAUSE = 'this entry stops';

const QUARANTINED_CAUSE = 'the request ends servers';

/** Relays one call, including all its attempts. */
export class CallRelay {
  private readonly servers: CallServers;
  private readonly runGuard: RunGuard;
  private upstream: Exchange | undefined;
  /** Body of the response to the last attempt. */
  private body: BufferedBody | undefined;
  private timer: NodeJS.Timeout | undefined;
  private server: BackendServer | undefined;
  private sentAtMs = 0;
  private attempts = 0;
  private serversReached = 0;
  private mayHaveRun = false;
  /** Whether the last attempt ended with its connection. */
  private hasLostConnection = false;
  private isFinished = false;
  private lastResponse: BufferedResponse | undefined;
  private lastCause = '';

  constructor(
    private readonly exchange: CallerExchange,
    private readonly accepted: AcceptedRequest,
    private readonly service: ServiceId,
    private readonly options: CallRelayOptions,
  ) {
    this.servers = new CallServers(service, options);
    this.runGuard = new RunGuard({...options, service, exchange, parts: []});
  }

  start(): void {
    this.exchange.res.once('close', () => {
      this.handleCallerDisconnect();
      this.releaseBody();
    });
    this.startAttempt();
  }

  /** Whether the call has not run and is not with a server. */
  get isWaiting(): boolean {
    const isRunning = this.upstream !== undefined || this.mayHaveRun;
    return !this.isFinished && !isRunning && !this.lastResponse;
  }

  /**
   * Ends the call because this process ends: with a refusal if it has not run,
   * else with an error that leaves that open.
   */
  endForStop(): void {
    if (this.isFinished) return;
    this.clearTimer();
    const wasSent = this.upstream?.wasSent ?? false;
    this.upstream?.abort();
    this.lastCause = STOP_CAUSE;
    if (this.lastResponse) return this.deliver(this.lastResponse);
    if (wasSent || this.mayHaveRun) return this.failUnknown({kind: 'broken'});
    this.isFinished = true;
    const refusal = refuse('leaving', 'call', {detail: STOP_CAUSE});
    this.options.refusals.refuse(this.exchange, refusal);
  }

  private startAttempt(): void {
    const {options, accepted, exchange} = this;
    const nowMs = options.nowMs();
    if (this.runGuard.blockedForMs() > 0) return this.endQuarantined();
    const server = this.servers.select(nowMs);
    if (!server) {
      if (this.waitForHold(nowMs)) return;
      return this.refuseWithoutServer(nowMs);
    }
    if (!this.runGuard.tryStartRun()) return this.endQuarantined();
    this.server = server;
    const isRepeated = this.servers.wasTried(server);
    this.servers.recordAttempt(server, nowMs);
    this.hasLostConnection = false;
    this.sentAtMs = nowMs;
    this.attempts++;
    const remainingMs = accepted.deadlineAtMs - nowMs;
    const headers = options.wire.toServerHeaders(
      exchange.req.rawHeaders,
      {
        deadlineMs: Math.max(1, Math.floor(remainingMs)),
        workspace: accepted.workspace,
        server: server.server,
        path: undefined,
        priority: undefined,
        lastEventId: undefined,
      },
      accepted.stripsApiKey,
    );
    const request = {
      address: server.address,
      method: exchange.method,
      target: exchange.target,
      headers,
      body: accepted.body,
      // An earlier connection may still bring a response to the same id.
      isSingleUse: isRepeated || accepted.route.kind === 'non_idempotent',
    };
    this.sendAndBuffer(request, server);
    this.startAttemptTimer(remainingMs);
  }

  /**
   * Waits for the first hold to end if all untried servers are on hold. Returns
   * false if they are not, or if too little time would be left for the call.
   */
  private waitForHold(nowMs: number): boolean {
    const heldForMs = this.servers.untriedHeldForMs(nowMs);
    if (heldForMs === undefined) return false;
    const {deadlineAtMs, route} = this.accepted;
    const waitMs =
      heldForMs > 0
        ? heldForMs + HOLD_END_SPREAD_MS * Math.random()
        : TRIAL_CHECK_INTERVAL_MS;
    if (nowMs + waitMs + route.latencyTargetMs > deadlineAtMs) return false;
    this.timer = setTimeout(() => this.startAttempt(), waitMs);
    return true;
  }

  /** Sends the call and buffers the whole response. */
  private sendAndBuffer(
    request: Parameters<Upstream['send']>[0],
    server: BackendServer,
  ): void {
    let status = 0;
    let head: string[] = [];
    this.releaseBody();
    const body = this.options.memory.createBody(() =>
      this.discardResponse('buffers_full'),
    );
    this.body = body;
    this.upstream = this.options.upstream.send(request, {
      onHead: (code, headers) => {
        status = code;
        head = [...headers];
        const {wire, limits, holds, leavingServers, nowMs} = this.options;
        const metadata = wire.parseResponse(code, head);
        if (metadata.isServerLeaving) leavingServers.record(server, 'request');
        limits.observe(request.address, metadata.requestLimitPerS, nowMs());
        const sent = this.exchange.request;
        const invalid = checkResponse(metadata, sent, !request.isSingleUse);
        // A refusal without an id proves nothing, but the pause is the server's.
        if (invalid !== 'other_request')
          holds.observe([server], metadata, nowMs());
        if (invalid) return this.discardResponse(invalid);
        if (!metadata.notRun)
          holds.recordAcceptance(server, this.sentAtMs, nowMs());
      },
      onData: chunk => {
        if (body.sizeBytes + chunk.length > MAX_RESPONSE_BYTES)
          this.discardResponse('too_large');
        else body.push(chunk);
      },
      onEnd: () => {
        const response = {status, headers: head, body: body.complete()};
        const mayBeCut = isSuccess(status) && !hasKnownLength(head);
        if (!mayBeCut) this.handleResponse(response);
        else this.handleResponseOfUnknownLength(server, response);
      },
      onFailure: ({cause, mayHaveRun}) => {
        this.hasLostConnection = mayHaveRun;
        if (isRefusedConnection(cause))
          this.options.crashWatch.recordEnd(server);
        if (mayHaveRun) this.handleServerLoss(server, cause);
        else this.failAttempt('not_sent', cause);
      },
    });
  }

  private discardResponse(reason: InvalidResponse): void {
    this.options.metrics.increment('azurecrank_invalid_responses_total', {
      reason,
    });
    this.upstream?.abort();
    this.failAttempt('broken', INVALID_RESPONSE_CAUSES[reason]);
  }

  /**
   * Handles a response that ended with its connection. The end of a process
   * closes its connections as well, so the server must be found to go on.
   */
  private handleResponseOfUnknownLength(
    server: BackendServer,
    response: BufferedResponse,
  ): void {
    const {upstream} = this;
    this.options
      .hasEnded(server)
      .then(hasEnded => {
        if (this.isFinished || this.upstream !== upstream) return;
        if (hasEnded)
          this.handleServerLoss(server, 'server ended with its response');
        else this.handleResponse(response);
      })
      .catch(error => this.failAttempt('broken', String(error)));
  }

  private handleResponse({status, headers, body}: BufferedResponse): void {
    const metadata = this.options.wire.parseResponse(status, headers);
    if (metadata.notRun) return this.failAttempt('not_run', `status ${status}`);
    const mayRepeat = this.accepted.route.kind === 'idempotent';
    if (metadata.isRefusalStatus && !mayRepeat)
      return this.failAttempt('broken', unconfirmedRefusal(status));
    this.lastResponse = {status, headers, body};
    this.runGuard.recordAnswer();
    this.clearTimer();
    this.recordOutcome({kind: 'answered', status});
    this.serversReached++;
    this.handleOutcome({kind: 'answered', status});
  }

  /**
   * Ends an attempt whose server broke off. If servers have ended under such a
   * call before, what follows waits until it is known whether this one has.
   */
  private handleServerLoss(server: BackendServer, cause: string): void {
    if (this.isFinished) return;
    const {isSuspect} = this.runGuard;
    const loss = this.runGuard.recordLoss([server]);
    if (!isSuspect) {
      this.failAttempt('broken', cause);
      return void loss.catch(error => this.logLossError(error));
    }
    this.clearTimer();
    this.upstream = undefined;
    this.mayHaveRun = true;
    let isDecided = false;
    const decide = () => {
      if (isDecided) return;
      isDecided = true;
      this.failAttempt('broken', cause);
    };
    const remainingMs = this.accepted.deadlineAtMs - this.options.nowMs();
    this.timer = setTimeout(decide, remainingMs - DEADLINE_MARGIN_MS);
    loss.catch(error => this.logLossError(error)).finally(decide);
  }

  private logLossError(error: unknown): void {
    this.options.logger.warn('end of a server could not be recorded', {
      ...this.exchange.logFields(),
      cause: String(error),
    });
  }

  /** Ends an attempt that got no usable response. */
  private failAttempt(
    kind: 'broken' | 'not_sent' | 'not_run' | 'slow',
    cause: string,
  ) {
    if (this.isFinished) return;
    this.clearTimer();
    this.upstream = undefined;
    this.releaseBody();
    this.lastCause = cause;
    if (kind !== 'not_sent') this.serversReached++;
    if (kind === 'broken' || kind === 'slow') this.exchange.recordLoss();
    else this.runGuard.endRun();
    if (kind === 'slow' && this.server) this.runGuard.abandonRun(this.server);
    this.recordOutcome({kind});
    this.handleOutcome({kind});
  }

  private recordOutcome(outcome: AttemptOutcome): void {
    const {balancer, nowMs} = this.options;
    const address = this.server?.address;
    if (address === undefined) return;
    const now = nowMs();
    const latencyMs = now - this.sentAtMs;
    if (outcome.kind === 'answered') {
      if (outcome.status < 500) balancer.recordSuccess(address, latencyMs, now);
      else balancer.recordFailure(address, now);
    } else if (outcome.kind === 'slow')
      balancer.recordTimeout(address, latencyMs, now);
    else balancer.recordFailure(address, now);
  }

  /** Retries the call or ends it, depending on the outcome of an attempt. */
  private handleOutcome(outcome: AttemptOutcome): void {
    const now = this.options.nowMs();
    const decision = decideCall(this.stateAt(now), outcome);
    if (outcome.kind === 'broken' || outcome.kind === 'slow') {
      this.mayHaveRun = true;
    }
    if (decision === 'retry' && this.runGuard.blockedForMs() > 0)
      return this.endQuarantined();
    if (decision === 'retry' && this.retry(outcome, now)) return;
    this.finish(decision, outcome);
  }

  private stateAt(nowMs: number): CallState {
    const {route, deadlineAtMs} = this.accepted;
    return {
      kind: route.kind,
      serversReached: this.serversReached,
      maxAttempts: route.maxAttempts,
      attempts: this.attempts,
      mayHaveRun: this.mayHaveRun,
      remainingMs: deadlineAtMs - nowMs,
      hasRetryBudget: this.options.budget.available(this.service, nowMs) >= 1,
    };
  }

  /** Starts another attempt; returns false if there is no server for it. */
  private retry(outcome: AttemptOutcome, nowMs: number): boolean {
    const next = this.servers.select(nowMs) ?? this.selectAgain(nowMs);
    if (!next) return false;
    const {budget, metrics, logger} = this.options;
    if (outcome.kind !== 'not_sent') budget.tryAcquire(this.service, nowMs);
    metrics.increment('azurecrank_retries_total', {
      reason: this.retryReason(outcome),
    });
    logger.info('call retried', {
      ...this.exchange.logFields(),
      step: 'call',
      peer: this.server?.address,
      outcome: outcome.kind,
      cause: this.lastCause,
      attempt: this.attempts,
      next: next.address,
    });
    if (this.servers.wasTried(next))
      this.timer = setTimeout(() => this.startAttempt(), REPEAT_DELAY_MS);
    else this.startAttempt();
    return true;
  }

  /** Selects the server that broke the call off, for want of another one. */
  private selectAgain(nowMs: number): BackendServer | undefined {
    const remainingMs = this.accepted.deadlineAtMs - nowMs;
    if (!this.hasLostConnection || !this.server) return undefined;
    if (remainingMs <= 2 * REPEAT_DELAY_MS) return undefined;
    this.servers.allowAgain(this.server);
    return this.servers.select(nowMs);
  }

  private retryReason({kind}: AttemptOutcome): RetryReason {
    if (kind === 'not_sent') return 'connect_failed';
    const isLeaving = this.server && this.options.fleet.isLeaving(this.server);
    return kind === 'not_run' && isLeaving
      ? 'server_leaving'
      : 'refused_elsewhere';
  }

  private finish(decision: CallDecision, outcome: AttemptOutcome): void {
    if (this.lastResponse) return this.deliver(this.lastResponse);
    const isUnknown = decision === 'fail' || this.mayHaveRun;
    if (isUnknown) return this.failUnknown(outcome);
    this.refuseNotRun(this.lastCause);
  }

  private deliver({status, headers, body}: BufferedResponse): void {
    if (this.isFinished) return;
    this.isFinished = true;
    const {nowMs, logger, wire} = this.options;
    writeResponse(
      this.exchange.res,
      status,
      wire.toCallerHeaders(headers),
      body,
    );
    logger.info('call answered', {
      ...this.exchange.logFields(),
      peer: this.server?.address,
      status,
      attempts: this.attempts,
      durationMs: Math.round(nowMs() - this.exchange.receivedAtMs),
    });
  }

  /** Ends a call that no server must get, as it ends servers. */
  private endQuarantined(): void {
    if (this.isFinished) return;
    this.lastCause = QUARANTINED_CAUSE;
    if (this.lastResponse) return this.deliver(this.lastResponse);
    if (this.mayHaveRun) return this.failUnknown({kind: 'broken'});
    this.isFinished = true;
    const refusal = refuse(this.runGuard.refusalReason, 'call', {
      detail: QUARANTINED_CAUSE,
      retryAfterMs: Math.ceil(this.runGuard.retryAfterMs()),
    });
    this.options.refusals.refuse(this.exchange, refusal);
  }

  /** Ends a call for which there is no server, or none with a request left. */
  private refuseWithoutServer(nowMs: number): void {
    const {detail, reason, retryAfterMs} = this.servers.explainNone(nowMs);
    this.refuseNotRun(detail, reason, retryAfterMs);
  }

  /** Ends the call with a refusal if no attempt can have run. */
  private refuseNotRun(
    cause: string,
    reason: RefusalReason = 'no_server',
    retryAfterMs = RETRY_AFTER_MS,
  ): void {
    if (this.isFinished) return;
    if (this.lastResponse) return this.deliver(this.lastResponse);
    if (this.mayHaveRun) return this.failUnknown({kind: 'broken'});
    this.isFinished = true;
    const heldForMs = this.servers.heldForMs(this.options.nowMs());
    const refusal = refuse(heldForMs > 0 ? 'server_backoff' : reason, 'call', {
      detail: cause,
      peer: this.server?.address,
      retryAfterMs: Math.max(retryAfterMs, Math.ceil(heldForMs)),
    });
    this.options.refusals.refuse(this.exchange, refusal);
  }

  /** Ends the call with an error that leaves open whether it has run. */
  private failUnknown(outcome: AttemptOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    const isPastDeadline =
      this.accepted.deadlineAtMs <= this.options.nowMs() + DEADLINE_MARGIN_MS;
    const reason = isPastDeadline ? 'deadline_exceeded' : 'outcome_unknown';
    const refusal = refuse(reason, 'call', {
      ran: 'unknown',
      peer: this.server?.address,
      detail: `${outcome.kind}: ${this.lastCause}`,
    });
    this.options.refusals.refuse(this.exchange, refusal);
  }

  /**
   * Bounds the attempt by the deadline, and by a fraction of the latency target
   * if the call may still be retried on another server.
   */
  private startAttemptTimer(remainingMs: number): void {
    const {kind, latencyTargetMs, maxAttempts} = this.accepted.route;
    const canRetryElsewhere =
      kind === 'idempotent' && this.serversReached + 1 < maxAttempts;
    const slowCallMs = canRetryElsewhere
      ? latencyTargetMs * SLOW_CALL_TARGET_FRACTION
      : Infinity;
    this.setAttemptTimer(remainingMs, slowCallMs);
  }

  private setAttemptTimer(remainingMs: number, slowCallMs: number): void {
    const timeoutMs = Math.min(remainingMs - DEADLINE_MARGIN_MS, slowCallMs);
    this.timer = setTimeout(
      () => this.handleAttemptTimeout(slowCallMs < remainingMs),
      Math.max(1, timeoutMs),
    );
  }

  private handleAttemptTimeout(isSlow: boolean): void {
    const wasSent = this.upstream?.wasSent ?? false;
    const kind = wasSent ? 'slow' : 'not_sent';
    const now = this.options.nowMs();
    // The server may be sound, so the attempt is not given up for nothing.
    if (isSlow && !this.canRetryElsewhere(kind, now)) {
      const remainingMs = this.accepted.deadlineAtMs - now;
      this.setAttemptTimer(remainingMs, SLOW_CALL_CHECK_INTERVAL_MS);
      // A call that goes on must not keep a process alive that has ended.
      this.timer?.unref();
      return;
    }
    this.upstream?.abort();
    const cause = isSlow
      ? 'no response in the expected time'
      : 'deadline exceeded';
    this.failAttempt(kind, cause);
  }

  /** Whether the call would be sent to another server if its attempt ended. */
  private canRetryElsewhere(kind: 'slow' | 'not_sent', nowMs: number): boolean {
    const state = this.stateAt(nowMs);
    const serversReached = state.serversReached + (kind === 'slow' ? 1 : 0);
    const decision = decideCall({...state, serversReached}, {kind});
    return decision === 'retry' && this.servers.select(nowMs) !== undefined;
  }

  private releaseBody(): void {
    this.body?.[Symbol.dispose]();
    this.body = undefined;
  }

  private clearTimer(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private handleCallerDisconnect(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.clearTimer();
    const mayRun = this.upstream?.wasSent ?? false;
    if (mayRun && this.server) this.runGuard.abandonRun(this.server);
    this.upstream?.abort();
    const {balancer, nowMs, logger} = this.options;
    if (this.server) balancer.recordCancellation(this.server.address, nowMs());
    logger.info('caller left', {
      ...this.exchange.logFields(),
      peer: this.server?.address,
    });
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
