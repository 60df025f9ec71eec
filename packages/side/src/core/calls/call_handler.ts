/**
 * Runs calls of a plain service beside its server: each request id at most
 * once, and each idempotency key of a non-idempotent call at most once.
 */
import {
  refuse,
  type Call,
  type CallResult,
  type Cancel,
  type Cancelled,
  type ClaimAnswer,
  type ClaimStore,
  type ClaimTicket,
  type Metrics,
  type PauseMonitor,
  type PlainService,
  type RanState,
  type RefusalReason,
  type Refused,
  type ServiceOutcome,
  type Step,
} from '@azurecrank/core';
import {CallSlots} from './call_slots.js';
import {SeenCalls, type CallAnswer, type SeenCall} from './seen_calls.js';

export const CALLS_COUNTER = 'azurecrank_side_calls_total';

/** Time after a pause in which messages that waited in sockets are read. */
const PAUSE_BACKLOG_MS = 250;

export interface CallHandlerOptions {
  /** Name of this process in refusals. */
  readonly peer: string;
  readonly maxInFlight: number;
  readonly maxWaiting: number;
  /** Request ids kept against duplicates. */
  readonly maxIds: number;
  /** Longer deadlines are cut to this. */
  readonly maxDeadlineMs: number;
}

export const DEFAULT_CALL_HANDLER_OPTIONS: CallHandlerOptions = {
  peer: '',
  maxInFlight: 64,
  maxWaiting: 256,
  maxIds: 100_000,
  maxDeadlineMs: 600_000,
};

/** What is known about one call while it is handled. */
interface CallContext {
  readonly call: Call;
  readonly seen: SeenCall;
  /** Time of `performance.now()` after which the service is not called. */
  readonly deadlineAtMs: number;
}

export class CallHandler {
  private readonly options: CallHandlerOptions;
  private readonly slots: CallSlots;
  private readonly seen: SeenCalls;
  private readonly drainWaiters: (() => void)[] = [];
  private isLeaving = false;
  private active = 0;
  private lastPauseMs = 0;

  /** @param claims absent if the side has no key-value service. */
  constructor(
    private readonly service: PlainService,
    private readonly claims: ClaimStore | undefined,
    private readonly pauses: PauseMonitor,
    private readonly metrics: Metrics,
    options: Partial<CallHandlerOptions> = {},
  ) {
    this.options = {...DEFAULT_CALL_HANDLER_OPTIONS, ...options};
    this.slots = new CallSlots(
      this.options.maxInFlight,
      this.options.maxWaiting,
    );
    this.seen = new SeenCalls(this.options.maxIds);
    pauses.onPause(pausedMs => {
      this.lastPauseMs = pausedMs;
    });
  }

  /** Calls that are running or waiting. */
  get inFlight(): number {
    return this.active;
  }

  /** Never rejects. A duplicate gets the answer of the first call. */
  handle(call: Call): Promise<CallAnswer> {
    const earlier = this.seen.get(call.request);
    if (earlier) return this.answerDuplicate(call, earlier);
    if (this.isLeaving) return this.refuseNow(call, 'leaving', 'queue');
    const seen = this.seen.add(call.request, 'waiting');
    if (!seen) return this.refuseNow(call, 'queue_full', 'queue');
    const deadlineAtMs = performance.now() + this.remainingMs(call);
    this.active++;
    seen.answer = this.run({call, seen, deadlineAtMs});
    return seen.answer;
  }

  /**
   * `not_run` means that the call was not made and will not be. A request id
   * that was never seen gets `unknown`, because an earlier process at this
   * address may have run it; it is remembered, so this process never will.
   */
  cancel({request, attempt}: Cancel): Cancelled {
    const seen = this.seen.get(request);
    if (!seen) this.seen.add(request, 'blocked');
    if (seen?.phase === 'waiting') {
      seen.cancelled = true;
      seen.withdraw();
    }
    return {type: 'cancelled', request, attempt, ran: ranAfterCancel(seen)};
  }

  /** Refuses new calls from now on; calls already accepted go on. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Resolves when no call is in flight and all outcomes are recorded. */
  async drained(): Promise<void> {
    while (this.active > 0) {
      await new Promise<void>(resolve => this.drainWaiters.push(resolve));
    }
    await this.claims?.settled();
  }

  /**
   * Deadlines arrive as remaining time, so the time that the message waited in
   * the socket while this process was paused is taken off.
   */
  private remainingMs(call: Call): number {
    const {maxDeadlineMs} = this.options;
    const givenMs = Math.min(call.deadlineMs, maxDeadlineMs);
    const wasPaused = this.pauses.pausedWithin(PAUSE_BACKLOG_MS);
    return wasPaused ? givenMs - this.lastPauseMs : givenMs;
  }

  private async run(context: CallContext): Promise<CallAnswer> {
    const {call, seen} = context;
    const answer = await this.runInSlot(context).catch((error: unknown) =>
      this.refused(call, 'internal_error', 'call', {
        ran: seen.phase === 'waiting' ? 'not_run' : 'unknown',
        detail: String(error),
      }),
    );
    this.seen.finish(seen, answer.type === 'refused' ? answer.ran : 'ran');
    this.count(answer);
    this.active--;
    if (this.active === 0) {
      for (const wake of this.drainWaiters.splice(0)) wake();
    }
    return answer;
  }

  private async runInSlot(context: CallContext): Promise<CallAnswer> {
    const {call, seen, deadlineAtMs} = context;
    const slot = this.slots.enter(call.rank);
    seen.withdraw = () => slot.withdraw('caller_left');
    const timer = setTimeout(
      () => slot.withdraw('deadline_exceeded'),
      Math.max(0, deadlineAtMs - performance.now()),
    );
    const granted = await slot.granted;
    clearTimeout(timer);
    if (granted.kind === 'refused') {
      return this.refused(call, granted.reason, 'queue');
    }
    try {
      const stop = this.reasonNotToCall(context);
      if (stop) return this.refused(call, stop, 'queue');
      return await this.claimAndCall(context);
    } finally {
      this.slots.release();
    }
  }

  private async claimAndCall(context: CallContext): Promise<CallAnswer> {
    const {call, deadlineAtMs} = context;
    if (call.idempotent || call.idempotencyKey === '') {
      return this.callOnce(context, undefined);
    }
    const {workspace, idempotencyKey, method, path, body} = call;
    const answer: ClaimAnswer = (await this.claims?.claim({
      workspace,
      idempotencyKey,
      method,
      path,
      body,
      deadlineMs: deadlineAtMs - performance.now(),
    })) ?? {kind: 'unavailable'};
    return answer.kind === 'claimed'
      ? this.callOnce(context, answer.ticket)
      : this.answerUnclaimed(call, answer);
  }

  /** Nothing may be awaited between the checks and the call. */
  private async callOnce(
    context: CallContext,
    ticket: ClaimTicket | undefined,
  ): Promise<CallAnswer> {
    const {call, seen, deadlineAtMs} = context;
    const stop = this.reasonNotToCall(context);
    if (stop) {
      if (ticket) void this.claims?.recordNotRun(ticket);
      return this.refused(call, stop, 'call');
    }
    seen.phase = 'calling';
    const {method, path, headers, body} = call;
    const timeoutMs = Math.ceil(deadlineAtMs - performance.now());
    const outcome = await this.service
      .call({method, path, headers, body, timeoutMs: Math.max(1, timeoutMs)})
      .catch((error: unknown): ServiceOutcome => ({
        kind: 'unknown',
        cause: String(error),
      }));
    return this.finishCall(context, ticket, outcome);
  }

  private reasonNotToCall(context: CallContext): RefusalReason | undefined {
    if (context.seen.cancelled) return 'caller_left';
    // The clock goes on during a pause of this process.
    this.pauses.tick();
    const isLate = performance.now() >= context.deadlineAtMs;
    return isLate ? 'deadline_exceeded' : undefined;
  }

  /** The caller does not wait for the record; see `ClaimStore.recordDone`. */
  private finishCall(
    {call, deadlineAtMs}: CallContext,
    ticket: ClaimTicket | undefined,
    outcome: ServiceOutcome,
  ): CallAnswer {
    if (outcome.kind === 'not_sent') {
      if (ticket) void this.claims?.recordNotRun(ticket);
      const detail = outcome.cause;
      return this.refused(call, 'service_failed', 'call', {detail});
    }
    if (outcome.kind === 'unknown') {
      const isLate = performance.now() >= deadlineAtMs;
      const failure = isLate ? 'deadline_exceeded' : 'service_failed';
      const reason = call.idempotent ? failure : 'outcome_unknown';
      const detail = outcome.cause;
      return this.refused(call, reason, 'call', {ran: 'unknown', detail});
    }
    const {status, headers, body} = outcome;
    if (ticket) void this.claims?.recordDone(ticket, {status, headers, body});
    return toResult(call, {status, headers, body}, false);
  }

  private answerUnclaimed(
    call: Call,
    answer: Exclude<ClaimAnswer, {kind: 'claimed'}>,
  ): CallAnswer {
    switch (answer.kind) {
      case 'done':
        return this.answerDone(call, answer.outcome);
      case 'in_progress':
        return this.refused(call, 'claim_in_progress', 'claim', {
          ran: 'unknown',
        });
      case 'outcome_unknown':
        return this.refused(call, 'outcome_unknown', 'claim', {ran: 'unknown'});
      case 'key_reused':
        return this.refused(call, 'key_reused', 'claim');
      case 'page_full':
        return this.refused(call, 'claim_page_full', 'claim');
      case 'unavailable':
        return this.refused(call, 'claim_store_unavailable', 'claim');
    }
  }

  private answerDone(
    call: Call,
    outcome: Extract<ClaimAnswer, {kind: 'done'}>['outcome'],
  ): CallAnswer {
    const {status, headers = {}, body} = outcome;
    if (body) return toResult(call, {status, headers, body}, true);
    const detail = `the call ended with status ${status}; its answer was too large to keep`;
    return this.refused(call, 'outcome_unknown', 'claim', {ran: 'ran', detail});
  }

  private answerDuplicate(call: Call, earlier: SeenCall): Promise<CallAnswer> {
    this.metrics.increment(CALLS_COUNTER, {outcome: 'duplicate'});
    if (earlier.answer) return this.answerAgain(call, earlier.answer);
    if (earlier.phase === 'blocked') {
      return this.refuseNow(call, 'caller_left', 'queue', 'unknown');
    }
    return this.refuseNow(call, 'outcome_unknown', 'call', earlier.ran);
  }

  private async answerAgain(
    {attempt}: Call,
    answer: Promise<CallAnswer>,
  ): Promise<CallAnswer> {
    return {...(await answer), attempt};
  }

  private refuseNow(
    call: Call,
    reason: RefusalReason,
    step: Step,
    ran: RanState = 'not_run',
  ): Promise<Refused> {
    const refused = this.refused(call, reason, step, {ran});
    this.count(refused);
    return Promise.resolve(refused);
  }

  private refused(
    {request, attempt}: Call,
    reason: RefusalReason,
    step: Step,
    options: {readonly ran?: RanState; readonly detail?: string} = {},
  ): Refused {
    const {peer} = this.options;
    const {ran, detail, retryAfterMs} = refuse(reason, step, {
      ...options,
      peer,
    });
    return {
      type: 'refused',
      request,
      attempt,
      reason,
      ran,
      step,
      peer,
      detail,
      ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
    };
  }

  private count(answer: CallAnswer): void {
    const outcome = answer.type === 'refused' ? answer.reason : 'answered';
    this.metrics.increment(CALLS_COUNTER, {outcome});
  }
}

function ranAfterCancel(seen: SeenCall | undefined): RanState {
  if (!seen) return 'unknown';
  if (seen.phase === 'waiting') return 'not_run';
  return seen.phase === 'finished' ? seen.ran : 'unknown';
}

function toResult(
  {request, attempt}: Call,
  answer: Pick<CallResult, 'status' | 'headers' | 'body'>,
  replayed: boolean,
): CallResult {
  return {type: 'call_result', request, attempt, ...answer, replayed};
}
