/** Accepts requests of callers and passes them to the relay for their kind. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {refuse, type ServiceId, type WorkspaceId} from '@azurecrank/core';
import {readBody, type RefusalSender} from 'azurecrank';
import type {WireCodec} from '../adapter/platform_adapter.js';
import type {
  ModelAdmission,
  WaitingRequest,
} from '../admission/model_admission.js';
import {CallRelay, type CallRelayOptions} from '../relay/call_relay.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import {
  hasEventSince,
  findStalledPaths,
  type StreamProgress,
} from '../relay/stalled_paths.js';
import {StreamRelay, type StreamRelayOptions} from '../relay/stream_relay.js';
import type {SharedRetryBudget} from '../retry/shared_retry_budget.js';
import {streamDurationMs} from '../paths/chain_throughput.js';
import type {ServerChain} from '../paths/find_chains.js';
import type {ModelSpec, Route, RoutingTable} from '../routing/routing_table.js';
import {acceptRequest, type RoutingView} from './accept_request.js';
import {CallerExchange, type AcceptedRequest} from './caller_exchange.js';
import {pickService} from './pick_service.js';
import {timeToCompleteMs} from './requests_at_stop.js';

export interface GatewayOptions {
  readonly wire: WireCodec;
  readonly currentView: () => RoutingView | undefined;
  readonly admissionOf: (service: ServiceId) => ModelAdmission;
  readonly calls: CallRelayOptions;
  readonly streams: Omit<StreamRelayOptions, 'onFinished' | 'service'>;
  readonly budget: SharedRetryBudget;
  readonly refusals: RefusalSender;
  /** Whether the process drains, so callers should reconnect to another one. */
  readonly isDraining: () => boolean;
  /**
   * Whether new requests are accepted while the process drains. False in the
   * last phase of a stop, when they could not complete before the process ends.
   */
  readonly acceptsRequests: () => boolean;
  /** Time until this entry ends open requests; infinite if it does not stop. */
  readonly remainingMs: () => number;
  readonly nowMs: () => number;
}

/** Timeout of reading a request body, after which the caller gets a 408. */
const BODY_TIMEOUT_MS = 10_000;

/** Deadline of a request whose caller gives none. */
const DEFAULT_DEADLINE_MS = 30_000;

/**
 * Fraction of the latency target that a request may be queued; the rest is for
 * the prefill of its prompt.
 */
const MAX_WAIT_TARGET_FRACTION = 0.85;

/** Interval of the stream checks; bounds how soon a lost server is detected. */
const STREAM_CHECK_INTERVAL_MS = 20;

/**
 * If the previous check was longer ago than this, the process itself was paused
 * and missing events do not count as stalls.
 */
const LATE_CHECK_THRESHOLD_MS = 60;

export class ForwardingGateway implements Disposable {
  private readonly streams = new Set<StreamRelay>();
  /** Requests without a whole answer; without a relay while they are read. */
  private readonly open = new Map<
    CallerExchange,
    CallRelay | StreamRelay | undefined
  >();
  /** Runs while there are streams. */
  private timer: NodeJS.Timeout | undefined;
  private lastCheckMs = 0;

  constructor(private readonly options: GatewayOptions) {}

  get inFlight(): number {
    return this.open.size;
  }

  handle(req: IncomingMessage, res: ServerResponse): void {
    const {wire, nowMs, isDraining} = this.options;
    if (isDraining()) res.shouldKeepAlive = false;
    const metadata = wire.parseCallerHeaders(req.rawHeaders);
    const exchange = new CallerExchange(req, res, metadata, nowMs());
    this.open.set(exchange, undefined);
    res.once('close', () => this.open.delete(exchange));
    this.serve(exchange).catch(error => this.failInternally(exchange, error));
  }

  /** Refuses what still waits and cannot complete before this entry ends. */
  refuseWaiting(): void {
    for (const [exchange, relay] of this.open) {
      const {accepted} = exchange;
      if (!accepted || !relay?.isWaiting) continue;
      const {route, table, deadlineAtMs} = accepted;
      if (!this.canComplete(exchange, route, table, deadlineAtMs))
        relay.endForStop();
    }
  }

  /** Asks callers to reconnect after the answers to all open requests. */
  closeConnectionsAfterAnswers(): void {
    for (const {res} of this.open.keys())
      if (!res.headersSent) res.shouldKeepAlive = false;
  }

  /**
   * Ends all requests because the process ends. Callers get a refusal for what
   * has not run and an error for what may have run; a stream that has begun is
   * cut, so that it does not look complete.
   */
  endAllForStop(): void {
    for (const [exchange, relay] of this.open) {
      if (relay) relay.endForStop();
      else if (!exchange.res.headersSent) this.refuseLeaving(exchange);
    }
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private refuseLeaving(exchange: CallerExchange): void {
    this.options.refusals.refuse(exchange, refuse('leaving', 'accept'));
  }

  private async serve(exchange: CallerExchange): Promise<void> {
    const {options} = this;
    const {req, metadata, target, receivedAtMs} = exchange;
    if (options.isDraining() && !options.acceptsRequests()) {
      return this.refuseLeaving(exchange);
    }
    const view = options.currentView();
    const host = req.headers.host ?? '';
    const decision = acceptRequest(view, host, target, metadata);
    if (decision.kind === 'refused' || !view) {
      if (decision.kind === 'refused') {
        options.refusals.refuse(exchange, decision.refusal);
      }
      return;
    }
    const {route, workspace} = decision;
    const timeoutMs = Math.min(
      metadata.deadlineMs ?? DEFAULT_DEADLINE_MS,
      route.timeoutMs,
    );
    const deadlineAtMs = receivedAtMs + timeoutMs;
    const canComplete = () =>
      this.canComplete(exchange, route, view.table, deadlineAtMs);
    if (!canComplete()) return this.refuseLeaving(exchange);
    const {maxBodyBytes} = view.table.limits;
    const limits = {maxBodyBytes, bodyTimeoutMs: BODY_TIMEOUT_MS};
    const read = hasBody(req)
      ? await readBody(req, limits)
      : ({kind: 'whole', body: undefined} as const);
    if (read.kind === 'left' || exchange.res.headersSent) return;
    if (read.kind !== 'whole') {
      const reason =
        read.kind === 'late' ? 'request_timeout' : 'body_too_large';
      return options.refusals.refuse(exchange, refuse(reason, 'accept'));
    }
    await nextPoll();
    if (exchange.res.headersSent) return;
    if (exchange.isDisconnected) {
      return options.calls.logger.info(
        'caller left before its request was read',
        {
          ...exchange.logFields(),
        },
      );
    }
    // The time for the body may have used up what was left.
    if (!canComplete()) return this.refuseLeaving(exchange);
    const accepted: AcceptedRequest = {
      route,
      workspace: workspace?.workspace,
      ...view.ranking.urgencyOf(route, workspace),
      stripsApiKey: view.table.workspaces !== undefined,
      table: view.table,
      body: read.body,
      deadlineAtMs,
    };
    exchange.accepted = accepted;
    this.relay(exchange, accepted);
  }

  /**
   * Whether the request can be expected to complete before this entry ends it.
   * If not, it is better refused: it then goes to another entry at once.
   */
  private canComplete(
    exchange: CallerExchange,
    route: Route,
    table: RoutingTable,
    deadlineAtMs: number,
  ): boolean {
    const remainingMs = this.options.remainingMs();
    if (remainingMs === Infinity) return true;
    const service = pickService(route, exchange.request);
    const model = table.services.get(service)?.model;
    const isStream = route.kind === 'stream' && model !== undefined;
    const streamDurationMs = isStream
      ? expectedDurationMs(
          exchange,
          model,
          this.options.admissionOf(service).currentChains(),
        )
      : undefined;
    const timeLimitMs = deadlineAtMs - this.options.nowMs();
    const expected = {route, timeLimitMs, streamDurationMs};
    return timeToCompleteMs(expected) <= remainingMs;
  }

  /** An error in one request must not end the process and all others. */
  private failInternally(exchange: CallerExchange, error: unknown): void {
    const detail = error instanceof Error ? (error.stack ?? '') : String(error);
    const options = {ran: 'unknown', detail} as const;
    const refusal = refuse('internal_error', 'accept', options);
    this.options.refusals.refuse(exchange, refusal);
  }

  private relay(exchange: CallerExchange, accepted: AcceptedRequest): void {
    const {route, table} = accepted;
    const service = pickService(route, exchange.request);
    const model = table.services.get(service)?.model;
    this.options.budget.recordRequest(service, this.options.nowMs());
    if (route.kind === 'stream' && model) {
      return this.relayStream(exchange, accepted, service, model);
    }
    const relay = new CallRelay(
      exchange,
      accepted,
      service,
      this.options.calls,
    );
    this.open.set(exchange, relay);
    relay.start();
  }

  private relayStream(
    exchange: CallerExchange,
    accepted: AcceptedRequest,
    service: ServiceId,
    model: ModelSpec,
  ): void {
    const admission = this.options.admissionOf(service);
    const {route} = accepted;
    const nowMs = this.options.nowMs();
    const item: WaitingRequest = {
      request: exchange.request,
      workspace: accepted.workspace ?? ('' as WorkspaceId),
      weight: 1,
      rank: accepted.rank,
      costTokens: expectedTokens(exchange, model),
      deadlineAtMs: accepted.deadlineAtMs,
      firstTokenDeadlineAtMs: nowMs + maxQueueWaitMs(route),
      enqueuedAtMs: nowMs,
      admit: chain => relay.start(chain),
      refuse: (reason, afterMs) => relay.refuse(reason, afterMs),
    };
    const relay = new StreamRelay(exchange, accepted, item, model, admission, {
      ...this.options.streams,
      service,
      onFinished: finished => this.streams.delete(finished),
    });
    this.streams.add(relay);
    this.timer ??= setInterval(
      () => this.checkStreams(),
      STREAM_CHECK_INTERVAL_MS,
    );
    this.open.set(exchange, relay);
    relay.enqueue();
  }

  /** Whether a stream through the server had an event since the given time. */
  hasEventSince(address: ServerAddress, sinceMs: number): boolean {
    return hasEventSince(this.streamProgress(), address, sinceMs);
  }

  /** Progress of the streams that servers currently send events of. */
  private streamProgress(): StreamProgress[] {
    return [...this.streams].flatMap(({progress}) => progress ?? []);
  }

  private probeStalledPaths(nowMs: number): void {
    const {failureDetector} = this.options.streams;
    const stalled = findStalledPaths(this.streamProgress(), nowMs);
    for (const path of stalled) failureDetector.probePath(path);
  }

  private checkStreams(): void {
    if (this.streams.size === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    const nowMs = this.options.nowMs();
    const wasLate = nowMs - this.lastCheckMs > LATE_CHECK_THRESHOLD_MS;
    this.lastCheckMs = nowMs;
    if (!wasLate) this.probeStalledPaths(nowMs);
    for (const stream of [...this.streams]) {
      try {
        stream.tick(nowMs);
      } catch (error) {
        // An error in one stream must not end the process and all others.
        stream.failInternally(error);
      }
    }
  }
}

/**
 * Resolves after the event loop has polled its sockets once more. On a busy host
 * a request may wait unread until its caller has closed the connection; the
 * close is then read only after the request.
 */
function nextPoll(): Promise<void> {
  return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

function hasBody(req: IncomingMessage): boolean {
  const {headers} = req;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] ?? '0') !== '0'
  );
}

/** Prompt and half of the response: the average KV-cache tokens in use. */
function expectedTokens(exchange: CallerExchange, model: ModelSpec): number {
  const responseTokens = expectedResponseTokens(exchange, model);
  return Math.ceil(exchange.metadata.promptTokens + responseTokens / 2);
}

function expectedResponseTokens(
  {metadata}: CallerExchange,
  model: ModelSpec,
): number {
  return Math.min(
    metadata.expectedAnswerTokens ?? model.typicalResponseTokens,
    metadata.maxAnswerTokens || Infinity,
  );
}

/** Duration on the slowest chain in full use; infinite without a chain. */
function expectedDurationMs(
  exchange: CallerExchange,
  model: ModelSpec,
  chains: readonly ServerChain[],
): number {
  if (chains.length === 0) return Infinity;
  const typicalMs = Math.max(...chains.map(c => streamDurationMs(model, c)));
  const responseTokens = expectedResponseTokens(exchange, model);
  return typicalMs * Math.max(1, responseTokens / model.typicalResponseTokens);
}

function maxQueueWaitMs({latencyTargetMs}: Route): number {
  return latencyTargetMs * MAX_WAIT_TARGET_FRACTION;
}
