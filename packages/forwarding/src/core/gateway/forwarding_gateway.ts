/** Takes requests of callers and hands them to the relay of their kind. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  RANKS,
  refuse,
  type Rank,
  type ServiceId,
  type WorkspaceId,
} from '@azurecrank/core';
import {readBody, type RefusalSender} from 'azurecrank';
import type {WireCodec} from '../adapter/wire_codec.js';
import type {
  ModelAdmission,
  WaitingRequest,
} from '../admission/model_admission.js';
import {CallRelay, type CallRelayOptions} from '../relay/call_relay.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import {
  hasProgress,
  silentPaths,
  type StreamProgress,
} from '../relay/collective_silence.js';
import {StreamRelay, type StreamRelayOptions} from '../relay/stream_relay.js';
import type {ModelSpec, Route} from '../routing/routing_table.js';
import {acceptRequest, type RoutingView} from './accept_request.js';
import {CallerExchange, type AcceptedRequest} from './caller_exchange.js';
import {pickService} from './pick_service.js';

export interface GatewayOptions {
  readonly wire: WireCodec;
  readonly view: () => RoutingView | undefined;
  readonly admissionOf: (service: ServiceId) => ModelAdmission;
  readonly calls: CallRelayOptions;
  readonly streams: Omit<StreamRelayOptions, 'onFinished'>;
  readonly refusals: RefusalSender;
  /** Whether callers are asked to open a new channel, to another process. */
  readonly isLeaving: () => boolean;
  /**
   * False in the last part of a planned stop: what is accepted then could not
   * end before the process does.
   */
  readonly takesNew: () => boolean;
  readonly nowMs: () => number;
}

/** Time allowed for a body, beyond which the caller gets 408. */
const BODY_TIMEOUT_MS = 10_000;

/** Waits no longer than the caller when the caller does not say how long. */
const DEFAULT_DEADLINE_MS = 30_000;

/**
 * Part of the latency target that a request may wait for room; the rest is for
 * reading its prompt.
 */
const WAIT_SHARE = 0.85;

/** Period at which streams are looked at; bounds how soon a loss is seen. */
const TICK_MS = 20;

/** After a tick this late the process itself was silent. */
const LATE_TICK_MS = 60;

export class ForwardingGateway implements Disposable {
  private readonly streams = new Set<StreamRelay>();
  private readonly timer: NodeJS.Timeout;
  private requestsInFlight = 0;
  private lastTickMs = 0;

  constructor(private readonly options: GatewayOptions) {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  get inFlight(): number {
    return this.requestsInFlight;
  }

  handle(req: IncomingMessage, res: ServerResponse): void {
    const {wire, nowMs, isLeaving} = this.options;
    this.requestsInFlight++;
    res.once('close', () => this.requestsInFlight--);
    if (isLeaving()) res.shouldKeepAlive = false;
    const facts = wire.readCaller(req.rawHeaders);
    const exchange = new CallerExchange(req, res, facts, nowMs());
    void this.serve(exchange);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private async serve(exchange: CallerExchange): Promise<void> {
    const {options} = this;
    const {req, facts, target, receivedAtMs} = exchange;
    if (options.isLeaving() && !options.takesNew()) {
      return options.refusals.refuse(exchange, refuse('leaving', 'accept'));
    }
    const view = options.view();
    const host = req.headers.host ?? '';
    const decision = acceptRequest(view, host, target, facts);
    if (decision.kind === 'refused' || !view) {
      if (decision.kind === 'refused') {
        options.refusals.refuse(exchange, decision.refusal);
      }
      return;
    }
    const {route, workspace} = decision;
    const {maxBodyBytes} = view.table.limits;
    const limits = {maxBodyBytes, bodyTimeoutMs: BODY_TIMEOUT_MS};
    const read = hasBody(req)
      ? await readBody(req, limits)
      : ({kind: 'whole', body: undefined} as const);
    if (read.kind === 'left') return;
    if (read.kind !== 'whole') {
      const reason =
        read.kind === 'late' ? 'request_timeout' : 'body_too_large';
      return options.refusals.refuse(exchange, refuse(reason, 'accept'));
    }
    const waitMs = Math.min(
      facts.deadlineMs ?? DEFAULT_DEADLINE_MS,
      route.timeoutMs,
    );
    const accepted: AcceptedRequest = {
      route,
      workspace: workspace?.workspace,
      priority: workspace?.priority ?? route.priority,
      dropsKey: view.table.workspaces !== undefined,
      table: view.table,
      body: read.body,
      deadlineAtMs: receivedAtMs + waitMs,
    };
    exchange.accepted = accepted;
    this.relay(exchange, accepted);
  }

  private relay(exchange: CallerExchange, accepted: AcceptedRequest): void {
    const {route, table} = accepted;
    const service = pickService(route, exchange.request);
    const model = table.services.get(service)?.model;
    if (route.kind === 'stream' && model) {
      return this.relayStream(exchange, accepted, service, model);
    }
    new CallRelay(exchange, accepted, service, this.options.calls).start();
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
      rank: toRank(accepted.priority),
      costTokens: expectedTokens(exchange, model),
      deadlineAtMs: accepted.deadlineAtMs,
      firstTokenDeadlineAtMs: nowMs + firstTokenWaitMs(route),
      enqueuedAtMs: nowMs,
      admit: chain => relay.start(chain),
      refuse: (reason, afterMs) => relay.refuse(reason, afterMs),
    };
    const relay = new StreamRelay(exchange, accepted, item, model, admission, {
      ...this.options.streams,
      onFinished: over => this.streams.delete(over),
    });
    this.streams.add(relay);
    admission.enqueue(item);
  }

  /** Whether a stream through the server had an event since then. */
  hasProgress(address: ServerAddress, sinceMs: number): boolean {
    return hasProgress(this.progress(), address, sinceMs);
  }

  private progress(): StreamProgress[] {
    return [...this.streams].flatMap(({progress}) => progress ?? []);
  }

  private examineSilentPaths(nowMs: number): void {
    const {failureDetector} = this.options.streams;
    const silent = silentPaths(this.progress(), nowMs);
    for (const path of silent) failureDetector.probePath(path);
  }

  private tick(): void {
    const nowMs = this.options.nowMs();
    const wasLate = nowMs - this.lastTickMs > LATE_TICK_MS;
    this.lastTickMs = nowMs;
    if (!wasLate) this.examineSilentPaths(nowMs);
    for (const stream of [...this.streams]) {
      try {
        stream.tick(nowMs);
      } catch (error) {
        // One faulty stream must not end the process and all others.
        stream.failInternally(error);
      }
    }
  }
}

function hasBody(req: IncomingMessage): boolean {
  const {headers} = req;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] ?? '0') !== '0'
  );
}

function toRank(priority: number): Rank {
  return RANKS[Math.min(Math.max(0, priority), RANKS.length - 1)];
}

/** Prompt and half of the answer: what a request holds on average. */
function expectedTokens({facts}: CallerExchange, model: ModelSpec): number {
  const answer = Math.min(
    facts.expectedAnswerTokens ?? model.usualAnswerTokens,
    facts.maxAnswerTokens || Infinity,
  );
  return Math.ceil(facts.promptTokens + answer / 2);
}

function firstTokenWaitMs({latencyTargetMs}: Route): number {
  return latencyTargetMs * WAIT_SHARE;
}
