/**
 * Relays one stream: passes whole events on as they come, and keeps the stream
 * going when a server on its path is lost.
 */
import {
  refuse,
  type Logger,
  type Metrics,
  type RefusalReason,
  type RetryBudget,
} from '@azurecrank/core';
import type {RefusalSender} from 'azurecrank';
import type {
  OrderOutcome,
  ServerControl,
  WireCodec,
} from '../adapter/wire_codec.js';
import type {
  ModelAdmission,
  WaitingRequest,
} from '../admission/model_admission.js';
import type {ChainLoads} from '../admission/chain_loads.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {
  AcceptedRequest,
  CallerExchange,
} from '../gateway/caller_exchange.js';
import {writeHead} from '../gateway/write_answer.js';
import {toChain, type ServerChain} from '../paths/find_chains.js';
import {findPath} from '../paths/find_path.js';
import {
  describePath,
  type PathPart,
  type ServerPath,
} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {
  allowedFirsts,
  callerPatienceMs,
  decideStream,
  type StreamDecision,
} from './decide_stream.js';
import {EventSplitter} from './event_splitter.js';
import type {PathDoctor} from './path_doctor.js';
import type {StreamProgress} from './collective_silence.js';
import type {Exchange, Upstream} from './upstream.js';

export interface StreamRelayOptions {
  readonly upstream: Upstream;
  readonly wire: WireCodec;
  readonly control: ServerControl;
  readonly fleet: FleetView;
  readonly doctor: PathDoctor;
  readonly loads: ChainLoads;
  readonly budget: RetryBudget;
  readonly refusals: RefusalSender;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onOver: (relay: StreamRelay) => void;
}

/** Silence between events after which the path is examined. */
const SILENCE_MS = 300;

/** Silence before the first event after which the path is examined. */
const FIRST_SILENCE_MS = 700;

/**
 * Silence after which a stream moves while others of its server get events;
 * callers leave after 2 s.
 */
const GIVE_UP_SILENCE_MS = 1300;

/** Streams leave a server that will end one after another in this time. */
const LEAVE_ENDING_SPREAD_MS = 500;

/** Time for an order that moves a request to another path. */
const REPATH_TIMEOUT_MS = 400;

/** Time before the deadline at which the caller gets its answer. */
const DEADLINE_MARGIN_MS = 20;

const HTTP_OK = 200;

export class StreamRelay {
  private splitter: EventSplitter;
  private upstream: Exchange | undefined;
  private path: ServerPath = [];
  private reservedAt: ServerAddress | undefined;
  private sentAtMs = 0;
  /** Last time at which the stream got its present path. */
  private movedAtMs = 0;
  private lastEventAtMs = 0;
  private firstEventAtMs: number | undefined;
  private longestPauseMs = 0;
  private attempts = 0;
  private repaths = 0;
  /** Sends that a server refused without running them. */
  private refusals = 0;
  private mayHaveRun = false;
  private hasHead = false;
  private isRepathing = false;
  /** From when on the stream leaves servers that will end. */
  private leaveEndingAtMs = 0;
  /** Whether a begun stream waits for a chain with room. */
  private isWaiting = false;
  private isOver = false;
  private lastCause = '';
  private readonly failedFirsts = new Set<ServerAddress>();
  /** First servers that began to answer. */
  private readonly ranAt = new Set<ServerAddress>();

  constructor(
    private readonly exchange: CallerExchange,
    private readonly accepted: AcceptedRequest,
    private readonly item: WaitingRequest,
    private readonly model: ModelSpec,
    private readonly admission: ModelAdmission,
    private readonly options: StreamRelayOptions,
  ) {
    const given = Number(exchange.facts.lastEventId ?? -1);
    this.splitter = new EventSplitter(Number.isSafeInteger(given) ? given : -1);
    exchange.res.once('close', () => this.noteCallerClosed());
  }

  /** Sends the request; the chain's memory has been reserved. */
  start(chain: ServerChain): void {
    this.reservedAt = chain.path[0].server.address;
    if (this.isOver) return this.releaseMemory();
    this.send(chain.path);
  }

  /** The request will not be served; it has not run. */
  refuse(reason: RefusalReason, retryAfterMs: number): void {
    if (this.isOver) return;
    this.end();
    const refusal = refuse(reason, 'queue', {retryAfterMs});
    this.options.refusals.refuse(this.exchange, refusal);
  }

  /** Its path and last event, while a server sends events. */
  get progress(): StreamProgress | undefined {
    const isSending =
      !this.isOver && !this.isRepathing && this.firstEventAtMs !== undefined;
    if (!isSending || this.path.length === 0) return undefined;
    const sinceMs = Math.max(this.lastEventAtMs, this.movedAtMs);
    const hasMoved = this.movedAtMs >= this.lastEventAtMs;
    const eventAtMs = hasMoved ? undefined : this.lastEventAtMs;
    return {path: this.path, sinceMs, eventAtMs};
  }

  /** Ends the stream after an error of this program. */
  failInternally(error: unknown): void {
    if (this.isOver) return;
    const detail = error instanceof Error ? (error.stack ?? '') : String(error);
    this.upstream?.abort();
    this.end();
    const refusal = refuse('internal_error', 'respond', {
      ran: 'unknown',
      detail,
    });
    this.options.refusals.refuse(this.exchange, refusal);
    if (this.hasHead) this.exchange.res.destroy();
  }

  /** Looks at silence and deadline; called some times a second. */
  tick(nowMs: number): void {
    if (this.isOver) return;
    if (nowMs >= this.accepted.deadlineAtMs - DEADLINE_MARGIN_MS) {
      return this.expire();
    }
    if (this.isWaiting) return this.waitForRoom(nowMs);
    if (this.path.length === 0 || this.isRepathing) return;
    const isFirst = this.firstEventAtMs === undefined;
    const silentMs = nowMs - Math.max(this.lastEventAtMs, this.movedAtMs);
    if (this.suspectedParts().length > 0) {
      this.leaveSuspected().catch(error => this.failInternally(error));
      return;
    }
    if (nowMs >= this.leaveEndingAtMs && this.shouldLeave().length > 0) {
      // Once for each path, and not all streams in the same moment.
      this.leaveEndingAtMs = Infinity;
      this.leaveEnding().catch(error => this.failInternally(error));
    }
    const {doctor} = this.options;
    const first = this.path[0].server.address;
    // Where all streams are silent the path is overloaded, and moving them
    // would only add to it.
    const isAlone = doctor.isActive(first, nowMs);
    if (silentMs >= GIVE_UP_SILENCE_MS && !isFirst && isAlone) {
      return this.abandonServer('silent while other streams are not');
    }
    const limitMs = isFirst ? FIRST_SILENCE_MS : SILENCE_MS;
    if (silentMs >= limitMs) doctor.examine(first);
  }

  private waitForRoom(nowMs: number): void {
    const silentMs = nowMs - this.lastEventAtMs;
    if (silentMs > callerPatienceMs(this.accepted.route)) {
      return this.stop('cut');
    }
    // A chain that failed this stream before may serve it again by now.
    this.failedFirsts.clear();
    this.resume();
  }

  private send(path: ServerPath): void {
    const {options, exchange, accepted} = this;
    const now = options.nowMs();
    this.path = path;
    this.sentAtMs = now;
    this.movedAtMs = now;
    this.leaveEndingAtMs = now + LEAVE_ENDING_SPREAD_MS * Math.random();
    if (!this.hasHead) this.lastEventAtMs = now;
    this.attempts++;
    const {lastEventId} = this.splitter;
    const headers = options.wire.toServer(
      exchange.req.rawHeaders,
      {
        deadlineMs: Math.max(1, Math.floor(accepted.deadlineAtMs - now)),
        workspace: accepted.workspace,
        server: path[0].server.server,
        path,
        priority: accepted.priority,
        lastEventId: lastEventId >= 0 ? String(lastEventId) : undefined,
      },
      accepted.dropsKey,
    );
    this.upstream = options.upstream.send(
      {
        address: path[0].server.address,
        method: exchange.method,
        target: exchange.target,
        headers,
        body: accepted.body,
        isSingleUse: false,
      },
      this.handlers(),
    );
  }

  private handlers() {
    let status = 0;
    let head: string[] = [];
    const failureBody: Buffer[] = [];
    return {
      onHead: (code: number, headers: readonly string[]) => {
        status = code;
        head = [...headers];
        const facts = this.options.wire.readResponse(code, head);
        const isForeign =
          facts.request !== '' && facts.request !== this.exchange.request;
        if (isForeign) {
          return this.abandonServer('the answer belongs to another request');
        }
        if (code === HTTP_OK) this.begin(head);
      },
      onData: (chunk: Buffer) => {
        if (status === HTTP_OK) this.pass(chunk);
        else failureBody.push(chunk);
      },
      onEnd: () => {
        if (status === HTTP_OK) this.complete();
        else this.takeFailure(status, head, Buffer.concat(failureBody));
      },
      onFailure: ({cause, mayHaveRun}: {cause: string; mayHaveRun: boolean}) =>
        this.loseServer(cause, mayHaveRun),
    };
  }

  /** The caller keeps the head of the first server that answered. */
  private begin(headers: string[]): void {
    this.mayHaveRun = true;
    this.ranAt.add(this.path[0].server.address);
    if (this.hasHead || this.isOver) return;
    this.hasHead = true;
    writeHead(this.exchange.res, HTTP_OK, this.options.wire.toCaller(headers));
  }

  private pass(chunk: Buffer): void {
    const {bytes, events} = this.splitter.push(chunk);
    if (events === 0) return;
    const now = this.options.nowMs();
    if (this.firstEventAtMs === undefined) {
      this.firstEventAtMs = now;
      this.options.metrics.observeMs(
        'azurecrank_first_token_ms',
        now - this.exchange.receivedAtMs,
        {rank: this.item.rank},
      );
    } else {
      const pauseMs = now - this.lastEventAtMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
      const hasMoved = this.movedAtMs >= this.lastEventAtMs;
      if (!hasMoved) {
        const eventMs = pauseMs / events;
        this.options.doctor.noteInterval(this.model, this.path, eventMs);
      }
    }
    this.lastEventAtMs = now;
    this.options.doctor.noteEvent(this.path[0].server.address, now);
    const {res} = this.exchange;
    if (res.write(bytes)) return;
    // A slow reader stops the server instead of filling this process's memory.
    const {upstream} = this;
    upstream?.pause();
    res.once('drain', () => upstream?.resume());
  }

  private complete(): void {
    if (this.splitter.hasPartial && this.accepted.route.isResumable) {
      return this.loseServer('the stream ended within an event', true);
    }
    const {res} = this.exchange;
    const rest = this.splitter.takePartial();
    if (rest) res.write(rest);
    res.end();
    this.options.budget.succeeded(this.options.nowMs());
    this.end();
    this.log('stream completed');
  }

  /** A whole answer that is not a stream. */
  private takeFailure(status: number, headers: string[], body: Buffer): void {
    const {wire, doctor} = this.options;
    const {notRun, faultyAddress} = wire.readResponse(status, headers);
    const first = this.path[0].server.address;
    if (notRun) {
      const faulty = faultyAddress ?? first;
      // It may be dead, leaving, reloading or short of memory.
      doctor.examineRefusal(faulty);
      this.options.loads.noteFull(first, this.options.nowMs());
      this.lastCause = `status ${status} at ${faulty}`;
      return this.decide(first, true);
    }
    this.mayHaveRun = true;
    if (this.hasHead) return this.loseServer(`status ${status}`, true);
    const {res} = this.exchange;
    writeHead(res, status, wire.toCaller(headers));
    res.end(body);
    this.end();
    this.log('stream failed at the server', {status});
  }

  private loseServer(cause: string, mayHaveRun: boolean): void {
    if (this.isOver || this.path.length === 0) return;
    const first = this.path[0].server.address;
    this.lastCause = cause;
    if (mayHaveRun) this.mayHaveRun = true;
    else this.options.doctor.suspect(first, cause, this.sentAtMs);
    this.decide(first, false);
  }

  private abandonServer(cause: string): void {
    this.upstream?.abort();
    this.loseServer(cause, true);
  }

  private decide(first: ServerAddress, isLive: boolean): void {
    if (this.isOver) return;
    const {nowMs, budget, metrics} = this.options;
    const now = nowMs();
    // A server that refused did not run it; that is no attempt.
    if (isLive) this.refusals++;
    this.failedFirsts.add(first);
    const decision = decideStream({
      isResumable: this.accepted.route.isResumable,
      hasBegun: this.hasHead,
      mayHaveRun: this.mayHaveRun,
      attempts: this.attempts - this.refusals,
      leftMs: this.accepted.deadlineAtMs - now,
      mayRetry: budget.available(now) >= 1,
      silentMs: now - this.lastEventAtMs,
      patienceMs: callerPatienceMs(this.accepted.route),
    });
    this.releaseMemory();
    this.path = [];
    this.upstream = undefined;
    if (decision === 'queue_again' || decision === 'resume') {
      budget.take(now);
      const reason = isLive ? 'refused_elsewhere' : 'stage_lost';
      metrics.increment('azurecrank_retries_total', {reason});
      this.log('stream looks for another chain', {
        decision,
        lost: first,
        cause: this.lastCause,
      });
      this.splitter.discardPartial();
      if (decision === 'queue_again') this.admission.enqueueAgain(this.item);
      else this.resume();
      return;
    }
    this.stop(decision);
  }

  /** Continues on a chain with room; `tick` tries again if there is none. */
  private resume(): void {
    const {fleet} = this.options;
    const allowed = allowedFirsts(
      this.ranAt,
      address => fleet.isSuspected(address) || !fleet.at(address),
      this.accepted.route.maxAttempts,
    );
    const chain = this.admission.chainElsewhere(
      this.item.costTokens,
      address =>
        allowed ? allowed.has(address) : !this.failedFirsts.has(address),
    );
    this.isWaiting = chain === undefined;
    if (!chain) return;
    this.reservedAt = chain.path[0].server.address;
    this.log('stream resumed', {next: describePath(chain.path)});
    this.send(chain.path);
  }

  /** Ends the stream without its last event. */
  private stop(decision: StreamDecision): void {
    const {refusals} = this.options;
    const peer = this.path[0]?.server.address;
    const detail = this.lastCause;
    this.end();
    if (this.hasHead) {
      this.log('stream cut', {
        cause: detail,
        lastEventId: this.splitter.lastEventId,
      });
      this.exchange.res.destroy();
      return;
    }
    const isNotRun = decision === 'refuse' || !this.mayHaveRun;
    const refusal = isNotRun
      ? refuse('no_chain', 'prefill', {peer, detail, retryAfterMs: 300})
      : refuse('stage_lost', 'prefill', {ran: 'unknown', peer, detail});
    refusals.refuse(this.exchange, refusal);
  }

  private suspectedParts(): ServerAddress[] {
    const {fleet} = this.options;
    return this.path
      .map(({server}) => server.address)
      .filter(address => fleet.isSuspected(address));
  }

  /** Replaces the suspected parts of the path, or leaves the path. */
  private async leaveSuspected(): Promise<void> {
    const {fleet} = this.options;
    const [first] = this.path;
    if (fleet.isSuspected(first.server.address)) {
      return this.abandonServer('the first server does not answer');
    }
    const path = this.pathAround(first);
    if (!path)
      return this.abandonServer('no near server holds the lost layers');
    const outcome = await this.moveTo(path);
    if (!outcome || outcome.kind === 'accepted') return;
    this.abandonServer(`the path could not be changed: ${outcome.kind}`);
  }

  /** Leaves servers that still serve it but will end soon or are slow. */
  private async leaveEnding(): Promise<void> {
    const left = this.shouldLeave();
    const path = this.pathAround(this.path[0]);
    const keeps = path?.some(({server}) => left.includes(server.address));
    if (path && !keeps) await this.moveTo(path);
  }

  /** Servers that another path should avoid, if there is one. */
  private shouldLeave(): ServerAddress[] {
    const {fleet} = this.options;
    return this.path
      .map(({server}) => server)
      .filter(s => fleet.isEnding(s) || fleet.isVerySlow(s.address))
      .map(({address}) => address);
  }

  /** Returns undefined if the stream has ended or lost its server meanwhile. */
  private async moveTo(path: ServerPath): Promise<OrderOutcome | undefined> {
    const {control, nowMs} = this.options;
    this.isRepathing = true;
    const {upstream} = this;
    const {request} = this.exchange;
    const outcome = await control.repath(request, path, REPATH_TIMEOUT_MS);
    this.isRepathing = false;
    if (this.isOver || this.upstream !== upstream) return undefined;
    this.log('stream moved to another path', {
      outcome: outcome.kind,
      suspected: this.suspectedParts().join(','),
      next: describePath(path),
    });
    if (outcome.kind === 'accepted') {
      this.repaths++;
      this.path = path;
      this.movedAtMs = nowMs();
    }
    return outcome;
  }

  /**
   * A path with the same first part, without suspected servers and inside the
   * zones of the present one: its new parts read all tokens so far again.
   * Undefined also if other chains have more room than the replacement.
   */
  private pathAround(first: PathPart): ServerPath | undefined {
    const {fleet, loads, nowMs} = this.options;
    const zones = new Set(this.path.map(({server}) => server.availabilityZone));
    const path = findPath({
      model: this.model,
      servers: fleet
        .usable(first.server.service)
        .filter(({availabilityZone}) => zones.has(availabilityZone)),
      current: this.path,
      firstPart: first,
    });
    if (!path) return undefined;
    const chain = toChain(this.model, path);
    const isCrowded = loads.usedPart(chain, nowMs()) > 1;
    const {costTokens} = this.item;
    const canMove = this.admission.hasRoomElsewhere(
      costTokens,
      first.server.address,
    );
    return isCrowded && canMove ? undefined : path;
  }

  private expire(): void {
    this.upstream?.abort();
    if (this.hasHead) {
      this.lastCause = 'the deadline has passed';
      return this.stop('cut');
    }
    const wasSent = this.upstream?.wasSent ?? false;
    this.end();
    const refusal = refuse('deadline_exceeded', wasSent ? 'prefill' : 'queue', {
      ran: wasSent ? 'unknown' : 'not_run',
    });
    this.options.refusals.refuse(this.exchange, refusal);
  }

  private noteCallerClosed(): void {
    if (this.isOver) return;
    this.upstream?.abort();
    this.admission.remove(this.item.request);
    this.end();
    this.log('caller left', {silentMs: this.silentMs()});
  }

  private silentMs(): number {
    return Math.round(this.options.nowMs() - this.lastEventAtMs);
  }

  private releaseMemory(): void {
    if (this.reservedAt === undefined) return;
    this.options.loads.release(this.reservedAt, this.item.costTokens);
    this.reservedAt = undefined;
  }

  private end(): void {
    this.isOver = true;
    this.releaseMemory();
    this.admission.settle(this.item, this.item.costTokens);
    this.options.onOver(this);
  }

  private log(message: string, fields: object = {}): void {
    const {receivedAtMs} = this.exchange;
    const since = (atMs: number | undefined) =>
      atMs === undefined ? undefined : Math.round(atMs - receivedAtMs);
    this.options.logger.info(message, {
      ...this.exchange.logFields(),
      path: describePath(this.path),
      attempts: this.attempts,
      repaths: this.repaths,
      sentMs: since(this.sentAtMs),
      firstEventMs: since(this.firstEventAtMs),
      longestPauseMs: Math.round(this.longestPauseMs),
      durationMs: since(this.options.nowMs()),
      ...fields,
    });
  }
}
