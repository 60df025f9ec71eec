/**
 * Runs the calls to a plain service on the side process of its backend server:
 * each request id at most once, and each idempotency key of a non-idempotent
 * call at most once.
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
  type ExecutionState,
  type RefusalReason,
  type Refused,
  type ServiceOutcome,
  type RequestStep,
} from '@azurecrank/core';
import {CallSlots} from './call_slots.js';
import {
  ReceivedCalls,
  type CallAnswer,
  type ReceivedCall,
} from './received_calls.js';

export const CALLS_COUNTER = 'azurecrank_side_calls_total';

/** After a pause, messages that waited in sockets are read within this time. */
const PAUSE_BACKLOG_WINDOW_MS = 250;

export interface CallHandlerOptions {
  /** Name of this process in refusals. */
  readonly peer: string;
  readonly maxInFlight: number;
  readonly maxWaiting: number;
  /** Maximum number of request ids that are kept to detect duplicates. */
  readonly maxRequestIds: number;
  /** Upper bound of the deadline of a call; longer ones are capped. */
  readonly maxDeadlineMs: number;
}

export const DEFAULT_CALL_HANDLER_OPTIONS: CallHandlerOptions = {
  peer: '',
  maxInFlight: 64,
  maxWaiting: 256,
  maxRequestIds: 100_000,
  maxDeadlineMs: 600_000,
};

/** State of one call while it is handled. */
interface CallContext {
  readonly call: Call;
  readonly receivedCall: ReceivedCall;
  /** Time of `performance.now()` after which the service is not called. */
  readonly deadlineAtMs: number;
}

export class CallHandler {
  private readonly options: CallHandlerOptions;
  private readonly slots: CallSlots;
  private readonly receivedCalls: ReceivedCalls;
  private readonly drainWaiters: (() => void)[] = [];
  private isDraining = false;
  private activeCalls = 0;
  private lastPauseMs = 0;

  /** @param claims undefined if the process has no key-value service. */
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
    this.receivedCalls = new ReceivedCalls(this.options.maxRequestIds);
    pauses.onPause(pausedMs => {
      this.lastPauseMs = pausedMs;
    });
  }

  /** Calls that are running or waiting. */
  get inFlight(): number {
    return this.activeCalls;
  }

  /** Runs a call. Never rejects; a duplicate gets the first call's answer. */
  handle(call: Call): Promise<CallAnswer> {
    const earlier = this.receivedCalls.get(call.request);
    if (earlier) return this.answerDuplicate(call, earlier);
    if (this.isDraining) return this.refuseNow(call, 'leaving', 'queue');
    const receivedCall = this.receivedCalls.add(call.request, 'waiting');
    if (!receivedCall) return this.refuseNow(call, 'queue_full', 'queue');
    const deadlineAtMs = performance.now() + this.remainingTimeMs(call);
    this.activeCalls++;
    receivedCall.answer = this.runAndCount({call, receivedCall, deadlineAtMs});
    return receivedCall.answer;
  }

  /**
   * `not_run` means that the call was not made and will not be. A request id
   * that was never received gets `unknown`, because an earlier process at this
   * address may have run it. The id is kept, so that this process will not run
   * it.
   */
  cancel({request, attempt}: Cancel): Cancelled {
    const receivedCall = this.receivedCalls.get(request);
    if (!receivedCall) this.receivedCalls.add(request, 'blocked');
    if (receivedCall?.phase === 'waiting') {
      receivedCall.cancelled = true;
      receivedCall.withdraw();
    }
    return {
      type: 'cancelled',
      request,
      attempt,
      ran: ranStateAfterCancel(receivedCall),
    };
  }

  /** Refuses new calls from now on; calls already accepted continue. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Resolves when no call is in flight and all outcomes are recorded. */
  async drained(): Promise<void> {
    while (this.activeCalls > 0) {
      await new Promise<void>(resolve => this.drainWaiters.push(resolve));
    }
    await this.claims?.flushOutcomes();
  }

  /**
   * Messages carry the deadline as remaining time. The time that a message may
   * have waited in the socket during a pause of this process is subtracted.
   */
  private remainingTimeMs(call: Call): number {
    const {maxDeadlineMs} = this.options;
    const cappedDeadlineMs = Math.min(call.deadlineMs, maxDeadlineMs);
    const wasPaused = this.pauses.wasPausedWithin(PAUSE_BACKLOG_WINDOW_MS);
    return wasPaused ? cappedDeadlineMs - this.lastPauseMs : cappedDeadlineMs;
  }

  private async runAndCount(context: CallContext): Promise<CallAnswer> {
    const {call, receivedCall} = context;
    const answer = await this.runInSlot(context).catch((error: unknown) =>
      this.createRefused(call, 'internal_error', 'call', {
        ran: receivedCall.phase === 'waiting' ? 'not_run' : 'unknown',
        detail: String(error),
      }),
    );
    this.receivedCalls.finish(
      receivedCall,
      answer.type === 'refused' ? answer.ran : 'ran',
    );
    this.countOutcome(answer);
    this.activeCalls--;
    if (this.activeCalls === 0) {
      for (const wake of this.drainWaiters.splice(0)) wake();
    }
    return answer;
  }

  private async runInSlot(context: CallContext): Promise<CallAnswer> {
    const {call, receivedCall, deadlineAtMs} = context;
    const slot = this.slots.requestSlot(call.rank);
    receivedCall.withdraw = () => slot.withdraw('caller_left');
    const timer = setTimeout(
      () => slot.withdraw('deadline_exceeded'),
      Math.max(0, deadlineAtMs - performance.now()),
    );
    const granted = await slot.granted;
    clearTimeout(timer);
    if (granted.kind === 'refused') {
      return this.createRefused(call, granted.reason, 'queue');
    }
    try {
      const refusalReason = this.findRefusalReason(context);
      if (refusalReason)
        return this.createRefused(call, refusalReason, 'queue');
      return await this.claimAndCall(context);
    } finally {
      this.slots.release();
    }
  }

  private async claimAndCall(context: CallContext): Promise<CallAnswer> {
    const {call, deadlineAtMs} = context;
    if (call.idempotent || call.idempotencyKey === '') {
      return this.callService(context, undefined);
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
      ? this.callService(context, answer.ticket)
      : this.answerUnclaimed(call, answer);
  }

  /**
   * Calls the service unless the call was cancelled or is late. Nothing may be
   * awaited between these checks and the call.
   */
  private async callService(
    context: CallContext,
    ticket: ClaimTicket | undefined,
  ): Promise<CallAnswer> {
    const {call, receivedCall, deadlineAtMs} = context;
    const refusalReason = this.findRefusalReason(context);
    if (refusalReason) {
      if (ticket) void this.claims?.recordNotRun(ticket);
      return this.createRefused(call, refusalReason, 'call');
    }
    receivedCall.phase = 'calling';
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

  private findRefusalReason(context: CallContext): RefusalReason | undefined {
    if (context.receivedCall.cancelled) return 'caller_left';
    // Detects a pause that ended just now; the clock runs on during a pause.
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
      return this.createRefused(call, 'service_failed', 'call', {detail});
    }
    if (outcome.kind === 'unknown') {
      const isLate = performance.now() >= deadlineAtMs;
      const failure = isLate ? 'deadline_exceeded' : 'service_failed';
      const reason = call.idempotent ? failure : 'outcome_unknown';
      const detail = outcome.cause;
      return this.createRefused(call, reason, 'call', {ran: 'unknown', detail});
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
        return this.answerFromRecord(call, answer.outcome);
      case 'in_progress':
        return this.createRefused(call, 'claim_in_progress', 'claim', {
          ran: 'unknown',
        });
      case 'outcome_unknown':
        return this.createRefused(call, 'outcome_unknown', 'claim', {
          ran: 'unknown',
        });
      case 'key_reused':
        return this.createRefused(call, 'key_reused', 'claim');
      case 'page_full':
        return this.createRefused(call, 'claim_page_full', 'claim');
      case 'unavailable':
        return this.createRefused(call, 'claim_store_unavailable', 'claim');
    }
  }

  private answerFromRecord(
    call: Call,
    outcome: Extract<ClaimAnswer, {kind: 'done'}>['outcome'],
  ): CallAnswer {
    const {status, headers = {}, body} = outcome;
    if (body) return toResult(call, {status, headers, body}, true);
    const detail = `the call ended with status ${status}; its answer was too large to keep`;
    return this.createRefused(call, 'outcome_unknown', 'claim', {
      ran: 'ran',
      detail,
    });
  }

  private answerDuplicate(
    call: Call,
    earlier: ReceivedCall,
  ): Promise<CallAnswer> {
    this.metrics.increment(CALLS_COUNTER, {outcome: 'duplicate'});
    if (earlier.answer) return this.repeatAnswer(call, earlier.answer);
    if (earlier.phase === 'blocked') {
      return this.refuseNow(call, 'caller_left', 'queue', 'unknown');
    }
    return this.refuseNow(call, 'outcome_unknown', 'call', earlier.ran);
  }

  private async repeatAnswer(
    {attempt}: Call,
    answer: Promise<CallAnswer>,
  ): Promise<CallAnswer> {
    return {...(await answer), attempt};
  }

  private refuseNow(
    call: Call,
    reason: RefusalReason,
    step: RequestStep,
    ran: ExecutionState = 'not_run',
  ): Promise<Refused> {
    const refused = this.createRefused(call, reason, step, {ran});
    this.countOutcome(refused);
    return Promise.resolve(refused);
  }

  private createRefused(
    {request, attempt}: Call,
    reason: RefusalReason,
    step: RequestStep,
    options: {readonly ran?: ExecutionState; readonly detail?: string} = {},
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

  private countOutcome(answer: CallAnswer): void {
    const outcome = answer.type === 'refused' ? answer.reason : 'answered';
    this.metrics.increment(CALLS_COUNTER, {outcome});
  }
}

function ranStateAfterCancel(
  receivedCall: ReceivedCall | undefined,
): ExecutionState {
  if (!receivedCall) return 'unknown';
  if (receivedCall.phase === 'waiting') return 'not_run';
  return receivedCall.phase === 'finished' ? receivedCall.ran : 'unknown';
}

function toResult(
  {request, attempt}: Call,
  answer: Pick<CallResult, 'status' | 'headers' | 'body'>,
  replayed: boolean,
): CallResult {
  return {type: 'call_result', request, attempt, ...answer, replayed};
}
