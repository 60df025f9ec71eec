/**
 * Relays one stream: forwards complete events as they arrive and continues the
 * stream on another path or chain when a server on its path is lost.
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
import type {
  OrderOutcome,
  ServerControl,
  WireCodec,
} from '../adapter/platform_adapter.js';
import type {
  ModelAdmission,
  WaitingRequest,
} from '../admission/model_admission.js';
import type {ChainLoads} from '../admission/chain_loads.js';
import type {BackendServer, ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {LeavingServers} from '../fleet/leaving_servers.js';
import type {
  AcceptedRequest,
  CallerExchange,
} from '../gateway/caller_exchange.js';
import {writeHead} from '../gateway/write_response.js';
import type {ServerChain} from '../paths/find_chains.js';
import {formatPath, type ServerPath} from '../paths/server_path.js';
import type {CrashWatch} from '../quarantine/crash_watch.js';
import type {RequestQuarantine} from '../quarantine/request_quarantine.js';
import type {ServerHolds} from '../limits/server_holds.js';
import type {SharedServerLimits} from '../limits/shared_server_limits.js';
import type {SharedRetryBudget} from '../retry/shared_retry_budget.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {
  INVALID_RESPONSE_CAUSES,
  mediaType,
  unconfirmedRefusal,
  type InvalidResponse,
} from './check_response.js';
import type {StreamDecision} from './decide_stream.js';
import {EventSplitter} from './event_splitter.js';
import type {PathFailureDetector} from './path_failure_detector.js';
import {RunGuard} from './run_guard.js';
import {StreamContinuation} from './stream_continuation.js';
import {ReplacementPaths} from './replacement_paths.js';
import type {StreamProgress} from './stalled_paths.js';
import {createStreamHandlers, type ErrorResponse} from './stream_response.js';
import type {Exchange, Upstream, UpstreamHandlers} from './upstream.js';

export interface StreamRelayOptions {
  readonly service: ServiceId;
  readonly upstream: Upstream;
  readonly wire: WireCodec;
  readonly control: ServerControl;
  readonly fleet: FleetView;
  readonly leavingServers: LeavingServers;
  readonly failureDetector: PathFailureDetector;
  readonly loads: ChainLoads;
  readonly budget: SharedRetryBudget;
  readonly limits: SharedServerLimits;
  readonly holds: ServerHolds;
  readonly quarantine: RequestQuarantine;
  readonly crashWatch: CrashWatch;
  readonly refusals: RefusalSender;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onFinished: (relay: StreamRelay) => void;
}

/** Time without an event after which the path's first server is queried. */
const STALL_THRESHOLD_MS = 300;

/** The same for a stream that has not had its first event yet. */
const FIRST_EVENT_STALL_THRESHOLD_MS = 700;

/**
 * Time without an event after which a stream leaves its first server if other
 * streams of this server have events. Callers disconnect after 2 s at the
 * earliest.
 */
const ABANDON_SERVER_THRESHOLD_MS = 1300;

/**
 * Time for which the other streams must have had events. After a silence of the
 * whole server, its streams do not go on in the same moment.
 */
const ACTIVE_SERVER_THRESHOLD_MS = 400;

/**
 * Streams leave a draining or slow server at random times within this span, so
 * that they do not all migrate at once.
 */
const MIGRATION_SPREAD_MS = 500;

/** Time after which a path that cannot be left is looked at again. */
const REPLACE_RETRY_INTERVAL_MS = 500;

/** Timeout of the order that migrates a request to another path. */
const REPATH_TIMEOUT_MS = 400;

/** Time before the deadline at which the caller gets its response. */
const DEADLINE_MARGIN_MS = 20;

/** Retry delay reported to the caller when no chain could run the request. */
const NO_CHAIN_RETRY_AFTER_MS = 300;

const HTTP_OK = 200;

/**
 * Orders to replace the suspected servers of a path before it is left, if new
 * stages refuse. Each takes one round trip.
 */
const MAX_REPLACEMENT_ORDERS = 3;

const QUARANTINED_CAUSE = 'the request or a part of its prompt ends servers';

export class StreamRelay {
  private splitter: EventSplitter;
  private upstream: Exchange | undefined;
  private path: ServerPath = [];
  /** First server of the chain on which KV-cache tokens are reserved. */
  private reservedFirstServer: ServerAddress | undefined;
  private sentAtMs = 0;
  /** Time at which the stream got its current path. */
  private pathSetAtMs = 0;
  /** Whether an event has come on the current path. */
  private hasEventOnPath = false;
  private lastEventAtMs = 0;
  private firstEventAtMs: number | undefined;
  private longestPauseMs = 0;
  private repaths = 0;
  private isHeadSent = false;
  /** Whether events wait until the caller has read earlier ones. */
  private isCallerBehind = false;
  private callerReadAtMs = 0;
  /** Media type of the head that was sent to the caller. */
  private mediaType = '';
  private isRepathing = false;
  /** Time from which suspected servers of the path are replaced. */
  private replaceFromMs = 0;
  /** Revision of the fleet at which the path was found to be sound. */
  private soundAtRevision = -1;
  /** Time from which the stream leaves draining, refusing and slow servers. */
  private migrateFromMs = 0;
  private isFinished = false;
  private lastCause = '';
  private readonly runGuard: RunGuard;
  private readonly replacements: ReplacementPaths;
  private readonly continuation: StreamContinuation;
  /** First servers to which the request has been sent. */
  private readonly sentTo = new Set<ServerAddress>();

  constructor(
    private readonly exchange: CallerExchange,
    private readonly accepted: AcceptedRequest,
    private readonly queuedRequest: WaitingRequest,
    private readonly model: ModelSpec,
    private readonly admission: ModelAdmission,
    private readonly options: StreamRelayOptions,
  ) {
    const given = Number(exchange.metadata.lastEventId ?? -1);
    this.splitter = new EventSplitter(Number.isSafeInteger(given) ? given : -1);
    const {service, quarantine, crashWatch, nowMs} = options;
    this.runGuard = new RunGuard({
      service,
      exchange,
      parts: exchange.metadata.sharedPromptParts,
      quarantine,
      crashWatch,
      nowMs,
    });
    const {costTokens} = queuedRequest;
    this.replacements = new ReplacementPaths(
      model,
      admission,
      costTokens,
      options,
    );
    this.continuation = new StreamContinuation(
      accepted,
      queuedRequest,
      admission,
      {...options, blockedForMs: () => this.runGuard.blockedForMs()},
    );
    exchange.res.once('close', () => this.handleCallerDisconnect());
  }

  /** Queues the request, unless it is known to end servers. */
  enqueue(): void {
    if (this.isQuarantined) return this.endQuarantined();
    this.admission.enqueue(this.queuedRequest);
  }

  /** Sends the request to a chain on which its tokens have been reserved. */
  start(chain: ServerChain): void {
    this.reservedFirstServer = chain.path[0].server.address;
    if (this.isFinished) return this.releaseReservation();
    this.send(chain.path);
  }

  /** Ends a queued request, which has not run, with a refusal. */
  refuse(reason: RefusalReason, retryAfterMs: number): void {
    if (this.isFinished) return;
    this.finish();
    const refusal = refuse(reason, 'queue', {retryAfterMs});
    this.options.refusals.refuse(this.exchange, refusal);
  }

  /** Whether the stream has not run and is not with a server. */
  get isWaiting(): boolean {
    const hasBegun = this.isHeadSent || this.continuation.mayHaveRun;
    return !this.isFinished && !hasBegun && this.path.length === 0;
  }

  /** Ends the stream because this process ends. */
  endForStop(): void {
    if (this.isFinished) return;
    const wasSent = this.upstream?.wasSent ?? false;
    this.upstream?.abort();
    this.admission.remove(this.queuedRequest.request);
    this.lastCause = 'this entry stops';
    if (this.isHeadSent)
      return this.endIncomplete({kind: 'cut', endedBy: 'stopping'});
    const mayHaveRun = wasSent || this.continuation.mayHaveRun;
    if (mayHaveRun) {
      this.continuation.mayHaveRun = true;
      return this.endIncomplete({kind: 'fail'});
    }
    this.refuse('leaving', 0);
  }

  /** Path and last event while a server sends events; undefined otherwise. */
  get progress(): StreamProgress | undefined {
    const isSending =
      !this.isFinished &&
      !this.isRepathing &&
      !this.isCallerBehind &&
      this.firstEventAtMs !== undefined;
    if (!isSending || this.path.length === 0) return undefined;
    const sinceMs = this.eventsAwaitedSinceMs;
    const eventAtMs = this.hasEventOnPath ? this.lastEventAtMs : undefined;
    return {path: this.path, sinceMs, eventAtMs};
  }

  /** Ends the stream after an internal error. */
  failInternally(error: unknown): void {
    if (this.isFinished) return;
    const detail = error instanceof Error ? (error.stack ?? '') : String(error);
    this.upstream?.abort();
    this.finish();
    const refusal = refuse('internal_error', 'respond', {
      ran: 'unknown',
      detail,
    });
    this.options.refusals.refuse(this.exchange, refusal);
    if (this.isHeadSent) this.exchange.res.destroy();
  }

  /** Periodic check of the deadline, the path's servers and the last event. */
  tick(nowMs: number): void {
    if (this.isFinished) return;
    if (nowMs >= this.accepted.deadlineAtMs - DEADLINE_MARGIN_MS) {
      return this.handleDeadline();
    }
    const isWaiting = this.continuation.isWaiting;
    const {shouldStopRun} = this.runGuard;
    if ((isWaiting || shouldStopRun) && this.isQuarantined)
      return this.endQuarantined();
    if (isWaiting) return this.continuation.forgetFailures();
    if (this.path.length === 0) return;
    if (shouldStopRun) return this.abandonServer(QUARANTINED_CAUSE);
    if (this.isRepathing) return;
    const awaitsFirstEvent = this.firstEventAtMs === undefined;
    const silentMs = nowMs - this.eventsAwaitedSinceMs;
    if (!this.isPathSound() && this.leaveUnsoundPath(nowMs)) return;
    if (this.isCallerBehind) return;
    const {failureDetector} = this.options;
    const first = this.path[0].server.address;
    // If all streams of the server have stalled, the path is overloaded, and
    // migrating them would add to the load.
    const hasOtherActiveStreams =
      failureDetector.activeForMs(first, nowMs) >= ACTIVE_SERVER_THRESHOLD_MS;
    if (
      silentMs >= ABANDON_SERVER_THRESHOLD_MS &&
      // Until then it may be queued, or its tokens are processed again.
      this.hasEventOnPath &&
      hasOtherActiveStreams &&
      this.continuation.canContinueElsewhere(first)
    ) {
      return this.abandonServer('stalled while other streams have events');
    }
    const thresholdMs = awaitsFirstEvent
      ? FIRST_EVENT_STALL_THRESHOLD_MS
      : STALL_THRESHOLD_MS;
    if (silentMs >= thresholdMs) failureDetector.queryServer(first);
  }

  /** Whether nothing has changed since the path was found to be sound. */
  private isPathSound(): boolean {
    return this.soundAtRevision === this.options.fleet.revision;
  }

  /**
   * Leaves suspected servers of the path, or others that it should not use.
   * @returns whether the path has suspected servers
   */
  private leaveUnsoundPath(nowMs: number): boolean {
    const {fleet, holds} = this.options;
    if (this.replacements.suspectedServers(this.path).length > 0) {
      if (nowMs < this.replaceFromMs) return true;
      this.replaceSuspectedServers().catch(error => this.failInternally(error));
      return true;
    }
    const mayMigrate = nowMs >= this.migrateFromMs;
    const hasMigrated = this.migrateFromMs === Infinity;
    const isImpaired =
      mayMigrate && this.replacements.impairedServers(this.path).length > 0;
    if (!isImpaired) {
      if (mayMigrate || hasMigrated) this.soundAtRevision = fleet.revision;
      return false;
    }
    if (!holds.maySend(this.path[0].server, nowMs)) return false;
    // Once per attempt, at a time that differs between streams.
    this.migrateFromMs = Infinity;
    this.migrateFromImpairedServers().catch(error =>
      this.failInternally(error),
    );
    return false;
  }

  private send(path: ServerPath): void {
    const {options, exchange, accepted} = this;
    if (!this.runGuard.tryStartRun()) return this.endQuarantined();
    const now = options.nowMs();
    this.path = path;
    this.sentAtMs = now;
    this.pathSetAtMs = now;
    this.hasEventOnPath = false;
    this.replaceFromMs = now;
    this.migrateFromMs = now + MIGRATION_SPREAD_MS * Math.random();
    this.soundAtRevision = -1;
    if (!this.isHeadSent) this.lastEventAtMs = now;
    this.continuation.recordAttempt();
    const {lastEventId} = this.splitter;
    const headers = options.wire.toServerHeaders(
      exchange.req.rawHeaders,
      {
        deadlineMs: Math.max(1, Math.floor(accepted.deadlineAtMs - now)),
        workspace: accepted.workspace,
        server: path[0].server.server,
        path,
        priority: accepted.priority,
        lastEventId: lastEventId >= 0 ? String(lastEventId) : undefined,
      },
      accepted.stripsApiKey,
    );
    const {address} = path[0].server;
    options.limits.recordSend(address, now);
    for (const {server} of path) options.holds.recordSend(server, now);
    // A repeated refusal of this request has the same id as its next response.
    const isSingleUse = this.sentTo.has(address);
    this.sentTo.add(address);
    this.upstream = options.upstream.send(
      {
        address,
        method: exchange.method,
        target: exchange.target,
        headers,
        body: accepted.body,
        isSingleUse,
      },
      this.createHandlers(path, !isSingleUse),
    );
  }

  private createHandlers(
    path: ServerPath,
    mayBeReused: boolean,
  ): UpstreamHandlers {
    const {wire, limits, holds, leavingServers, nowMs} = this.options;
    const servers = path.map(({server}) => server);
    const [first] = servers;
    return createStreamHandlers({
      wire,
      request: this.exchange.request,
      mayBeReused,
      onMetadata: (metadata, invalid) => {
        const {isServerLeaving, requestLimitPerS} = metadata;
        // A response comes from the first server of its path, so the statement
        // is that server's, even if the response names another faulty server.
        if (isServerLeaving) leavingServers.record(first, 'request');
        limits.observe(first.address, requestLimitPerS, nowMs());
        if (invalid !== 'other_request')
          holds.observe(servers, metadata, nowMs());
      },
      onHead: headers => this.forwardHead(headers),
      onData: chunk => this.forwardData(chunk),
      onEnd: isLengthKnown => {
        if (isLengthKnown) this.complete();
        else this.completeIfServerLives();
      },
      onErrorResponse: response => this.handleErrorResponse(response),
      onInvalidResponse: reason => this.discardResponse(reason),
      onFailure: ({cause, mayHaveRun}) =>
        this.handleServerLoss(cause, mayHaveRun),
    });
  }

  /** Forwards the response head of the first server that responds. */
  private forwardHead(headers: string[]): void {
    const first = this.path[0].server.address;
    this.continuation.recordRun(first);
    const {loads, holds, nowMs} = this.options;
    loads.recordAcceptance(first);
    for (const {server} of this.path)
      holds.recordAcceptance(server, this.sentAtMs, nowMs());
    if (this.isFinished) return;
    const type = mediaType(headers);
    if (this.isHeadSent) {
      if (type !== this.mediaType) this.discardResponse('other_media_type');
      return;
    }
    this.isHeadSent = true;
    this.mediaType = type;
    writeHead(
      this.exchange.res,
      HTTP_OK,
      this.options.wire.toCallerHeaders(headers),
    );
  }

  /** Forwards complete events, up to the first bytes that are none. */
  private forwardData(chunk: Buffer): void {
    const events = this.splitter.push(chunk);
    if (events.eventCount > 0) this.recordEvents(events.eventCount);
    if (events.bytes.length > 0) this.forwardEvents(events.bytes);
    if (events.isInvalid) this.discardResponse('not_an_event');
  }

  /** Records when events of the stream arrived. */
  private recordEvents(eventCount: number): void {
    const now = this.options.nowMs();
    if (this.firstEventAtMs === undefined) {
      this.firstEventAtMs = now;
      this.options.metrics.observeMs(
        'azurecrank_first_token_ms',
        now - this.exchange.receivedAtMs,
        {rank: this.queuedRequest.rank},
      );
    } else {
      const pauseMs = now - this.lastEventAtMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
      if (this.hasEventOnPath) {
        const intervalMs = pauseMs / eventCount;
        this.options.failureDetector.recordInterval(
          this.model,
          this.path,
          intervalMs,
        );
      }
    }
    this.lastEventAtMs = now;
    this.hasEventOnPath = true;
    this.continuation.recordEvent();
    this.runGuard.recordEvents();
    this.options.failureDetector.recordEvent(this.path[0].server.address, now);
  }

  private forwardEvents(bytes: Buffer): void {
    const {res} = this.exchange;
    if (res.write(bytes)) return;
    // Backpressure: pause the server while the caller reads slowly.
    const {upstream} = this;
    upstream?.pause();
    this.isCallerBehind = true;
    res.once('drain', () => {
      upstream?.resume();
      this.isCallerBehind = false;
      this.callerReadAtMs = this.options.nowMs();
    });
  }

  /**
   * Completes a response that ended with its connection, unless the server has
   * ended too: an end of the process closes connections like a complete answer.
   */
  private completeIfServerLives(): void {
    const {path, upstream} = this;
    if (path.length === 0) return;
    this.options.failureDetector
      .hasEnded(path[0].server)
      .then(hasEnded => {
        if (this.isFinished || this.upstream !== upstream) return;
        if (hasEnded)
          this.handleServerLoss('server ended with its response', true);
        else this.complete();
      })
      .catch(error => this.failInternally(error));
  }

  private complete(): void {
    if (this.splitter.hasPartial) {
      return this.handleServerLoss(
        'server ended the stream within an event',
        true,
      );
    }
    if (this.splitter.lastEventId < 0 && this.firstEventAtMs === undefined) {
      return this.handleServerLoss('server ended an empty stream', true);
    }
    const {res} = this.exchange;
    res.end();
    this.runGuard.recordAnswer();
    this.finish();
    this.log('stream completed');
  }

  /**
   * Handles a complete response other than 200: continues elsewhere if the
   * request has not run, else forwards the response to the caller.
   */
  private handleErrorResponse({status, headers, body}: ErrorResponse): void {
    const {wire, failureDetector} = this.options;
    const {notRun, isRefusalStatus, faultyAddress, retryAfterMs} =
      wire.parseResponse(status, headers);
    const first = this.path[0].server.address;
    if (notRun) {
      const faulty = faultyAddress ?? first;
      // It may have failed, be draining or reloading, or have no free KV cache.
      if (!retryAfterMs) failureDetector.checkAfterRefusal(faulty);
      const {loads, nowMs} = this.options;
      loads.recordRefusal(first, this.sentAtMs, nowMs());
      this.runGuard.endRun();
      this.lastCause = `status ${status} at ${faulty}`;
      return this.continueOrEnd(first, true);
    }
    this.continuation.mayHaveRun = true;
    if (this.isHeadSent) return this.handleServerLoss(`status ${status}`, true);
    if (isRefusalStatus && !this.accepted.route.isResumable)
      return this.handleServerLoss(unconfirmedRefusal(status), true);
    const {res} = this.exchange;
    writeHead(res, status, wire.toCallerHeaders(headers));
    res.end(body);
    this.finish();
    this.log('stream failed at the server', {status});
  }

  private handleServerLoss(cause: string, mayHaveRun: boolean): void {
    if (this.isFinished || this.path.length === 0) return;
    const servers = this.path.map(({server}) => server);
    const first = servers[0].address;
    this.lastCause = cause;
    if (!mayHaveRun) {
      this.runGuard.endRun();
      this.options.failureDetector.suspectServer(first, cause, this.sentAtMs);
      return this.continueOrEnd(first, false);
    }
    this.continuation.recordRun(first);
    this.exchange.recordLoss();
    const {isSuspect} = this.runGuard;
    const loss = this.runGuard.recordLoss(servers);
    if (isSuspect) {
      // The request may have ended the server and would end the next one too.
      this.path = [];
      this.upstream = undefined;
    } else {
      this.continueOrEnd(first, false);
    }
    loss
      .then(() => isSuspect && this.continueOrEnd(first, false))
      .catch(error => this.failInternally(error));
  }

  private discardResponse(reason: InvalidResponse): void {
    this.options.metrics.increment('azurecrank_invalid_responses_total', {
      reason,
    });
    this.abandonServer(INVALID_RESPONSE_CAUSES[reason]);
  }

  private abandonServer(cause: string): void {
    const wasSent = this.upstream?.wasSent ?? false;
    this.upstream?.abort();
    if (wasSent) return this.handleServerLoss(cause, true);
    // Nothing has reached the first server, which may be sound.
    this.lastCause = cause;
    this.runGuard.endRun();
    this.continueOrEnd(this.path[0].server.address, false);
  }

  /**
   * Continues the request on another chain or ends it, after its first server
   * was lost or refused it.
   */
  private continueOrEnd(first: ServerAddress, isRefusal: boolean): void {
    if (this.isFinished) return;
    if (this.isQuarantined) return this.endQuarantined();
    const {nowMs, budget, metrics, service} = this.options;
    const now = nowMs();
    const availableRetries = budget.available(service, now);
    this.continuation.recordFailure(first, isRefusal);
    const decision = this.continuation.decide(this.isHeadSent);
    const reason = this.retryReason(isRefusal);
    this.releaseReservation();
    this.path = [];
    this.upstream = undefined;
    const {kind} = decision;
    if (kind === 'queue_again' || kind === 'resume') {
      metrics.increment('azurecrank_retries_total', {reason});
      this.log('stream looks for another chain', {
        decision: kind,
        lost: first,
        cause: this.lastCause,
        availableRetries,
      });
      this.splitter.startResponse(this.isHeadSent);
      // The queue knows no limit on the servers that a request may run on.
      const mayQueue =
        kind === 'queue_again' && !this.continuation.isRestricted;
      if (!mayQueue) return this.continueOnChain();
      budget.tryAcquire(service, now);
      return this.admission.requeue(this.queuedRequest);
    }
    this.endIncomplete(decision);
  }

  private retryReason(isRefusal: boolean): RetryReason {
    if (!isRefusal) return 'stage_lost';
    const isLeaving = this.options.fleet.isLeaving(this.path[0].server);
    return isLeaving ? 'server_leaving' : 'refused_elsewhere';
  }

  /** Continues on a chain with free capacity, at once or when there is one. */
  private continueOnChain(): void {
    const {continuation} = this;
    continuation.waitForChain(this.lastEventAtMs, ({path}) => {
      this.reservedFirstServer = path[0].server.address;
      const next = formatPath(path);
      this.log('stream resumed', {next, ...this.waitFields()});
      continuation.stopWaiting();
      this.send(path);
    });
    if (!continuation.isWaiting || this.isFinished) return;
    const {waitsFor} = continuation;
    this.log('stream waits for a chain', {waitsFor, ...this.waitFields()});
  }

  /** Times that tell which limit a waiting stream may reach. */
  private waitFields(): object {
    const remainingMs = this.accepted.deadlineAtMs - this.options.nowMs();
    return {
      silentMs: this.silentMs(),
      remainingMs: Math.round(remainingMs),
      waitedMs: this.continuation.waitedMs,
    };
  }

  /** Ends a stream that cannot be completed. */
  private endIncomplete(decision: StreamDecision): void {
    const {refusals} = this.options;
    const peer = this.path[0]?.server.address;
    const detail = this.lastCause;
    const {waitsFor} = this.continuation;
    this.finish();
    if (decision.kind === 'cut') {
      const {endedBy} = decision;
      this.options.metrics.increment('azurecrank_streams_cut_total', {
        reason: endedBy,
      });
      this.log('stream cut', {
        cause: detail,
        lastEventId: this.splitter.lastEventId,
        endedBy,
        waitsFor,
        ...this.waitFields(),
      });
      this.exchange.res.destroy();
      return;
    }
    const isNotRun =
      decision.kind === 'refuse' || !this.continuation.mayHaveRun;
    const refusal = isNotRun
      ? refuse('no_chain', 'prefill', {
          peer,
          detail,
          retryAfterMs: NO_CHAIN_RETRY_AFTER_MS,
        })
      : refuse('stage_lost', 'prefill', {ran: 'unknown', peer, detail});
    refusals.refuse(this.exchange, refusal);
  }

  /**
   * Whether servers must not get the request because it ends them. A started
   * stream that may be resumed waits if the block ends before its time limit.
   */
  private get isQuarantined(): boolean {
    const blockedForMs = this.runGuard.blockedForMs();
    const {route, deadlineAtMs} = this.accepted;
    const mayWait = this.isHeadSent && route.isResumable;
    const waitMs = mayWait ? deadlineAtMs - this.options.nowMs() : 0;
    return blockedForMs > Math.max(0, waitMs);
  }

  /** Ends a request that a server must not get because it ends servers. */
  private endQuarantined(): void {
    if (this.isFinished) return;
    const isRunning = this.upstream?.wasSent ?? false;
    this.upstream?.abort();
    this.lastCause = QUARANTINED_CAUSE;
    if (this.isHeadSent)
      return this.endIncomplete({kind: 'cut', endedBy: 'quarantined'});
    if (this.continuation.mayHaveRun || isRunning) {
      this.continuation.mayHaveRun = true;
      return this.endIncomplete({kind: 'fail'});
    }
    const {refusalReason} = this.runGuard;
    this.refuse(refusalReason, Math.ceil(this.runGuard.retryAfterMs()));
  }

  /** Replaces the suspected servers of the path, or abandons the path. */
  private async replaceSuspectedServers(): Promise<void> {
    const {fleet} = this.options;
    const [first] = this.path;
    if (fleet.isSuspected(first.server.address)) {
      return this.leaveSuspected('the first server does not answer');
    }
    const loss = this.runGuard.recordLosses(this.suspectedServers());
    if (!this.runGuard.isSuspect)
      loss.catch(error => this.failInternally(error));
    else if (!(await this.mayGoOnAfter(loss))) return;
    let cause = 'no suitable replacement path in its zones';
    for (let order = 1; order <= MAX_REPLACEMENT_ORDERS; order++) {
      const path = this.replacements.find(this.path);
      if (!path) break;
      const outcome = await this.migrateTo(path);
      if (!outcome || outcome.kind === 'accepted') return;
      cause = `order to change the path failed: ${outcome.kind}`;
      const refusing = refusingStage(outcome, path);
      if (!refusing) break;
      this.replacements.exclude(refusing);
    }
    this.leaveSuspected(cause);
  }

  private suspectedServers(): BackendServer[] {
    const {fleet} = this.options;
    return this.path
      .map(({server}) => server)
      .filter(({address}) => fleet.isSuspected(address));
  }

  /**
   * Waits until it is known whether servers have ended under the request, and
   * ends it if it must not be sent to others.
   */
  private async mayGoOnAfter(loss: Promise<void>): Promise<boolean> {
    const {upstream} = this;
    this.isRepathing = true;
    await loss;
    this.isRepathing = false;
    if (this.isFinished || this.upstream !== upstream) return false;
    if (!this.isQuarantined) return true;
    this.endQuarantined();
    return false;
  }

  /**
   * Leaves a path with suspected servers, unless neither this entry nor the
   * caller may repeat the request: the servers may only be silent.
   */
  private leaveSuspected(cause: string): void {
    const mayHaveRun =
      this.continuation.mayHaveRun || (this.upstream?.wasSent ?? false);
    if (this.accepted.route.isResumable || !mayHaveRun)
      return this.abandonServer(cause);
    this.replaceFromMs = this.options.nowMs() + REPLACE_RETRY_INTERVAL_MS;
  }

  /** Migrates the stream away from servers that are draining or very slow. */
  private async migrateFromImpairedServers(): Promise<void> {
    const impaired = this.replacements.impairedServers(this.path);
    const path = this.replacements.find(this.path);
    const usesImpaired = path?.some(({server}) =>
      impaired.includes(server.address),
    );
    if (path && !usesImpaired) await this.migrateTo(path);
  }

  /**
   * Orders the first server to continue the request on another path.
   * @returns undefined if the stream ended or lost its server meanwhile
   */
  private async migrateTo(path: ServerPath): Promise<OrderOutcome | undefined> {
    const {control, nowMs} = this.options;
    this.isRepathing = true;
    const {upstream} = this;
    const {request} = this.exchange;
    const outcome = await control.repath(request, path, REPATH_TIMEOUT_MS);
    this.isRepathing = false;
    if (this.isFinished || this.upstream !== upstream) return undefined;
    this.log('stream moved to another path', {
      outcome: outcome.kind,
      suspected: this.replacements.suspectedServers(this.path).join(','),
      next: formatPath(path),
    });
    if (outcome.kind === 'accepted') {
      this.repaths++;
      this.path = path;
      this.soundAtRevision = -1;
      this.pathSetAtMs = nowMs();
      this.hasEventOnPath = false;
    }
    return outcome;
  }

  private handleDeadline(): void {
    this.abandonRun();
    this.upstream?.abort();
    if (this.isHeadSent) {
      this.lastCause = 'deadline exceeded';
      return this.endIncomplete({kind: 'cut', endedBy: 'deadline'});
    }
    const wasSent = this.upstream?.wasSent ?? false;
    this.finish();
    const refusal = refuse('deadline_exceeded', wasSent ? 'prefill' : 'queue', {
      ran: wasSent ? 'unknown' : 'not_run',
    });
    this.options.refusals.refuse(this.exchange, refusal);
  }

  private handleCallerDisconnect(): void {
    if (this.isFinished) return;
    this.abandonRun();
    this.upstream?.abort();
    const {waitsFor} = this.continuation;
    this.finish();
    this.log('caller left', {waitsFor, ...this.waitFields()});
  }

  /** Its server may go on with the request, and end under it. */
  private abandonRun(): void {
    const mayRun = this.upstream?.wasSent && this.path.length > 0;
    if (mayRun) this.runGuard.abandonRun(this.path[0].server);
  }

  /** Time since which the server could have sent an event. */
  private get eventsAwaitedSinceMs(): number {
    return Math.max(this.lastEventAtMs, this.pathSetAtMs, this.callerReadAtMs);
  }

  private silentMs(): number {
    return Math.round(this.options.nowMs() - this.lastEventAtMs);
  }

  /** Releases the KV-cache tokens reserved on the current chain. */
  private releaseReservation(): void {
    if (this.reservedFirstServer === undefined) return;
    this.options.loads.release(
      this.reservedFirstServer,
      this.queuedRequest.costTokens,
    );
    this.reservedFirstServer = undefined;
  }

  private finish(): void {
    this.isFinished = true;
    this.runGuard.endRun();
    this.releaseReservation();
    this.admission.remove(this.queuedRequest.request);
    this.admission.recordUsage(
      this.queuedRequest,
      this.queuedRequest.costTokens,
    );
    this.options.onFinished(this);
  }

  private log(message: string, fields: object = {}): void {
    const {receivedAtMs} = this.exchange;
    const since = (atMs: number | undefined) =>
      atMs === undefined ? undefined : Math.round(atMs - receivedAtMs);
    this.options.logger.info(message, {
      ...this.exchange.logFields(),
      promptParts: this.exchange.metadata.sharedPromptParts.join(','),
      path: formatPath(this.path),
      attempts: this.continuation.attempts,
      repaths: this.repaths,
      sentMs: since(this.sentAtMs),
      firstEventMs: since(this.firstEventAtMs),
      longestPauseMs: Math.round(this.longestPauseMs),
      durationMs: since(this.options.nowMs()),
      ...fields,
    });
  }
}

/** Returns the later stage that refused to take part in a path, if it is named. */
function refusingStage(
  outcome: OrderOutcome,
  path: ServerPath,
): ServerAddress | undefined {
  if (outcome.kind !== 'conflict') return undefined;
  const {faultyAddress} = outcome;
  const isLaterStage = path
    .slice(1)
    .some(({server}) => server.address === faultyAddress);
  return isLaterStage ? faultyAddress : undefined;
}
