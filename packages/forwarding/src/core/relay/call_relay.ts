/** Makes plain calls: one server at a time, repeated only where allowed. */
import {
  refuse,
  type Logger,
  type Metrics,
  type RetryBudget,
  type ServiceId,
} from '@azurecrank/core';
import type {RefusalSender} from 'azurecrank';
import type {WireCodec} from '../adapter/wire_codec.js';
import type {BackendServer, ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {
  AcceptedRequest,
  CallerExchange,
} from '../gateway/caller_exchange.js';
import {writeAnswer} from '../gateway/write_answer.js';
import type {CallServers} from './call_servers.js';
import {
  decideCall,
  type AttemptOutcome,
  type CallDecision,
} from './decide_call.js';
import type {Exchange, Upstream} from './upstream.js';

export interface CallRelayOptions {
  readonly availabilityZone: string;
  readonly upstream: Upstream;
  readonly wire: WireCodec;
  readonly fleet: FleetView;
  readonly servers: CallServers;
  readonly budget: RetryBudget;
  readonly refusals: RefusalSender;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

interface Answer {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
}

/**
 * Part of the target after which an idempotent call goes to another server:
 * the second answer can still come in time.
 */
const SLOW_SHARE = 0.65;

/** Answers are held back whole, so that broken ones can be repeated. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** Time before the deadline at which the caller gets its answer. */
const DEADLINE_MARGIN_MS = 10;

/** Callers come back after this time when every server refused. */
const RETRY_AFTER_MS = 100;

/** One call with all its attempts. */
export class CallRelay {
  private readonly excluded = new Set<ServerAddress>();
  private upstream: Exchange | undefined;
  private timer: NodeJS.Timeout | undefined;
  private server: BackendServer | undefined;
  private sentAtMs = 0;
  private attempts = 0;
  private reached = 0;
  private mayHaveRun = false;
  private isOver = false;
  private lastAnswer: Answer | undefined;
  private lastCause = '';

  constructor(
    private readonly exchange: CallerExchange,
    private readonly accepted: AcceptedRequest,
    private readonly service: ServiceId,
    private readonly options: CallRelayOptions,
  ) {}

  start(): void {
    this.exchange.res.once('close', () => this.noteCallerClosed());
    this.attempt();
  }

  private attempt(): void {
    const {options, accepted, exchange} = this;
    const nowMs = options.nowMs();
    const server = this.chooseServer(nowMs);
    if (!server) return this.giveUp('no server is left');
    this.server = server;
    this.sentAtMs = nowMs;
    this.attempts++;
    this.excluded.add(server.address);
    options.servers.began(server.address, nowMs);
    const leftMs = accepted.deadlineAtMs - nowMs;
    const headers = options.wire.toServer(
      exchange.req.rawHeaders,
      {
        deadlineMs: Math.max(1, Math.floor(leftMs)),
        workspace: accepted.workspace,
        server: server.server,
        path: undefined,
        priority: undefined,
        lastEventId: undefined,
      },
      accepted.dropsKey,
    );
    const request = {
      address: server.address,
      method: exchange.method,
      target: exchange.target,
      headers,
      body: accepted.body,
      isSingleUse: accepted.route.kind === 'non_idempotent',
    };
    this.collect(request);
    this.armTimer(leftMs);
  }

  private chooseServer(nowMs: number): BackendServer | undefined {
    const {fleet, servers, availabilityZone} = this.options;
    const choose = (candidates: BackendServer[]) =>
      servers.choose(candidates, this.excluded, availabilityZone, nowMs);
    return (
      choose(fleet.usable(this.service)) ?? choose(fleet.staying(this.service))
    );
  }

  /** Sends the call and gathers the whole answer. */
  private collect(request: Parameters<Upstream['send']>[0]): void {
    let status = 0;
    let head: string[] = [];
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const upstream = this.options.upstream.send(request, {
      onHead: (code, headers) => {
        status = code;
        head = [...headers];
        const facts = this.options.wire.readResponse(code, head);
        const isForeign =
          facts.request !== '' && facts.request !== this.exchange.request;
        if (isForeign) this.breakOff('the answer belongs to another request');
      },
      onData: chunk => {
        sizeBytes += chunk.length;
        if (sizeBytes > MAX_ANSWER_BYTES)
          this.breakOff('the answer is too long');
        else chunks.push(chunk);
      },
      onEnd: () => {
        this.finishAttempt(status, head, Buffer.concat(chunks));
      },
      onFailure: ({cause, mayHaveRun}) => {
        this.settle(mayHaveRun ? 'broken' : 'not_sent', cause);
      },
    });
    this.upstream = upstream;
  }

  private breakOff(cause: string): void {
    this.upstream?.abort();
    this.settle('broken', cause);
  }

  private finishAttempt(status: number, headers: string[], body: Buffer): void {
    const facts = this.options.wire.readResponse(status, headers);
    if (facts.notRun) return this.settle('not_run', `status ${status}`);
    this.lastAnswer = {status, headers, body};
    this.clearTimer();
    this.noteServer({kind: 'answered', status});
    this.reached++;
    this.decide({kind: 'answered', status});
  }

  /** Ends an attempt without an answer. */
  private settle(
    kind: 'broken' | 'not_sent' | 'not_run' | 'slow',
    cause: string,
  ) {
    if (this.isOver) return;
    this.clearTimer();
    this.lastCause = cause;
    if (kind !== 'not_sent') this.reached++;
    this.noteServer({kind});
    this.decide({kind});
  }

  private noteServer(outcome: AttemptOutcome): void {
    const {servers, nowMs} = this.options;
    const address = this.server?.address;
    if (address === undefined) return;
    const now = nowMs();
    const tookMs = now - this.sentAtMs;
    if (outcome.kind === 'answered') {
      if (outcome.status < 500) servers.answered(address, tookMs, now);
      else servers.failed(address, now);
    } else if (outcome.kind === 'slow') servers.timedOut(address, tookMs, now);
    else servers.failed(address, now);
  }

  private decide(outcome: AttemptOutcome): void {
    const {route, deadlineAtMs} = this.accepted;
    const {nowMs, budget} = this.options;
    const now = nowMs();
    const state = {
      kind: route.kind,
      reached: this.reached,
      maxAttempts: route.maxAttempts,
      attempts: this.attempts,
      mayHaveRun: this.mayHaveRun,
      leftMs: deadlineAtMs - now,
      mayRetry: budget.available(now) >= 1,
    };
    const decision = decideCall(state, outcome);
    if (outcome.kind === 'broken' || outcome.kind === 'slow') {
      this.mayHaveRun = true;
    }
    if (decision === 'retry' && this.retry(outcome, now)) return;
    this.finish(decision, outcome);
  }

  private retry(outcome: AttemptOutcome, nowMs: number): boolean {
    const next = this.chooseServer(nowMs);
    if (!next) return false;
    const {budget, metrics, logger} = this.options;
    if (outcome.kind !== 'not_sent') budget.take(nowMs);
    const reason =
      outcome.kind === 'not_sent' ? 'connect_failed' : 'refused_elsewhere';
    metrics.increment('azurecrank_retries_total', {reason});
    logger.info('call retried', {
      ...this.exchange.logFields(),
      step: 'call',
      peer: this.server?.address,
      outcome: outcome.kind,
      cause: this.lastCause,
      attempt: this.attempts,
      next: next.address,
    });
    this.attempt();
    return true;
  }

  private finish(decision: CallDecision, outcome: AttemptOutcome): void {
    if (this.lastAnswer) return this.deliver(this.lastAnswer);
    const isUnknown = decision === 'fail' || this.mayHaveRun;
    if (isUnknown) return this.fail(outcome);
    this.giveUp(this.lastCause);
  }

  private deliver({status, headers, body}: Answer): void {
    if (this.isOver) return;
    this.isOver = true;
    const {budget, nowMs, logger, wire} = this.options;
    if (status < 500) budget.succeeded(nowMs());
    writeAnswer(this.exchange.res, status, wire.toCaller(headers), body);
    logger.info('call answered', {
      ...this.exchange.logFields(),
      peer: this.server?.address,
      status,
      attempts: this.attempts,
      durationMs: Math.round(nowMs() - this.exchange.receivedAtMs),
    });
  }

  /** The call did not run anywhere. */
  private giveUp(cause: string): void {
    if (this.isOver) return;
    if (this.lastAnswer) return this.deliver(this.lastAnswer);
    if (this.mayHaveRun) return this.fail({kind: 'broken'});
    this.isOver = true;
    const refusal = refuse('no_server', 'call', {
      detail: cause,
      peer: this.server?.address,
      retryAfterMs: RETRY_AFTER_MS,
    });
    this.options.refusals.refuse(this.exchange, refusal);
  }

  private fail(outcome: AttemptOutcome): void {
    if (this.isOver) return;
    this.isOver = true;
    const isLate =
      this.accepted.deadlineAtMs <= this.options.nowMs() + DEADLINE_MARGIN_MS;
    const reason = isLate ? 'deadline_exceeded' : 'outcome_unknown';
    const refusal = refuse(reason, 'call', {
      ran: 'unknown',
      peer: this.server?.address,
      detail: `${outcome.kind}: ${this.lastCause}`,
    });
    this.options.refusals.refuse(this.exchange, refusal);
  }

  /** Bounds the attempt by the deadline, and by what is usual if it may move. */
  private armTimer(leftMs: number): void {
    const {kind, latencyTargetMs, maxAttempts} = this.accepted.route;
    const mayMove = kind === 'idempotent' && this.reached + 1 < maxAttempts;
    const slowMs = mayMove ? latencyTargetMs * SLOW_SHARE : Infinity;
    const waitMs = Math.min(leftMs - DEADLINE_MARGIN_MS, slowMs);
    this.timer = setTimeout(
      () => this.breakOffSlow(slowMs < leftMs),
      Math.max(1, waitMs),
    );
  }

  private breakOffSlow(isSlow: boolean): void {
    const wasSent = this.upstream?.wasSent ?? false;
    this.upstream?.abort();
    const cause = isSlow ? 'slower than usual' : 'the deadline has passed';
    this.settle(wasSent ? 'slow' : 'not_sent', cause);
  }

  private clearTimer(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private noteCallerClosed(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.clearTimer();
    this.upstream?.abort();
    const {servers, nowMs, logger} = this.options;
    if (this.server) servers.abandoned(this.server.address, nowMs());
    logger.info('caller left', {
      ...this.exchange.logFields(),
      peer: this.server?.address,
    });
  }
}
