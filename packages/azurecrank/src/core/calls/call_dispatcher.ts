/**
 * Sends calls of plain services to the side processes beside their servers.
 * Chooses the server, applies the retry rules, cancels at the deadline, and
 * reports `not_run` only for calls that are known not to have run.
 */
import {
  FIRST_ATTEMPT,
  RETRIES_COUNTER,
  nextAttempt,
  refuse,
  type Call,
  type CallResult,
  type Logger,
  type Metrics,
  type ExecutionState,
  type Refusal,
  type RefusalReason,
  type Refused,
  type ServerId,
  type ServiceServer,
} from '@azurecrank/core';
import {
  permitAfterLoss,
  permitAfterRefusal,
  toRefusal,
  type RetryPermit,
} from './call_retry.js';
import {
  CallTransportError,
  type CallRetryBudget,
  type CallTransport,
} from './call_transport.js';
import {toCallerHeaders, toServiceHeaders} from './hop_headers.js';
import {chooseServer} from './server_choice.js';

export interface CallDispatcherOptions {
  readonly claimPages: number;
  /** Time to wait for the answer to a cancel message. */
  readonly cancelTimeoutMs: number;
  readonly random: () => number;
  /** Receives one line per retry. */
  readonly logger?: Logger;
}

export const DEFAULT_CALL_DISPATCHER_OPTIONS: CallDispatcherOptions = {
  claimPages: 64,
  cancelTimeoutMs: 500,
  random: Math.random,
};

/** A call as the gateway received it; `deadlineMs` starts with `dispatch`. */
export type CallRequest = Omit<Call, 'type' | 'attempt'>;

type AttemptOutcome =
  | {readonly kind: 'result'; readonly result: CallResult}
  | {
      readonly kind: 'failed';
      readonly refusal: Refusal;
      readonly permit?: RetryPermit;
    };

/** State of one call across its attempts. */
interface DispatchState {
  readonly request: CallRequest;
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal | undefined;
  readonly triedServers: Set<ServerId>;
  /** Reasons for which a retry was made. */
  readonly usedReasons: Set<string>;
  /** Whether an earlier attempt may have run. */
  mayHaveRun: boolean;
  attempt: Call['attempt'];
}

export class CallDispatcher {
  private readonly options: CallDispatcherOptions;
  private readonly outstandingCalls = new Map<ServerId, number>();

  constructor(
    private readonly transport: CallTransport,
    private readonly budget: CallRetryBudget,
    private readonly metrics: Metrics,
    options: Partial<CallDispatcherOptions> = {},
  ) {
    this.options = {...DEFAULT_CALL_DISPATCHER_OPTIONS, ...options};
  }

  /**
   * Sends the call to one server after the other until one answers or a rule
   * forbids another attempt. Never rejects.
   * @param servers servers of the service that accept new calls.
   * @param signal aborted when the caller disconnects.
   */
  async dispatch(
    request: CallRequest,
    servers: readonly ServiceServer[],
    signal?: AbortSignal,
  ): Promise<CallResult | Refusal> {
    const state: DispatchState = {
      request,
      deadlineAtMs: performance.now() + request.deadlineMs,
      signal,
      triedServers: new Set(),
      usedReasons: new Set(),
      mayHaveRun: false,
      attempt: FIRST_ATTEMPT,
    };
    let lastRefusal: Refusal | undefined;
    for (;;) {
      const stop = findStopReason(state);
      if (stop) return this.withOverallRan(state, refuse(stop, 'route'));
      const server = this.chooseUntriedServer(state, servers);
      if (!server) {
        return this.withOverallRan(
          state,
          lastRefusal ?? refuse('no_server', 'route'),
        );
      }
      const outcome = await this.callServer(state, server);
      if (outcome.kind === 'result') {
        this.budget.recordSuccess();
        return toCallerResult(outcome.result);
      }
      lastRefusal = outcome.refusal;
      state.mayHaveRun ||= lastRefusal.ran !== 'not_run';
      const refusal = this.refuseOrRecordRetry(
        state,
        outcome.permit,
        lastRefusal,
      );
      if (refusal) return this.withOverallRan(state, refusal);
      state.attempt = nextAttempt(state.attempt);
    }
  }

  private chooseUntriedServer(
    {request, triedServers, attempt}: DispatchState,
    servers: readonly ServiceServer[],
  ): ServiceServer | undefined {
    const candidates = servers.filter(({server}) => !triedServers.has(server));
    const call: Call = {type: 'call', ...request, attempt};
    return chooseServer(call, candidates, this.outstandingCalls, this.options);
  }

  private async callServer(
    state: DispatchState,
    server: ServiceServer,
  ): Promise<AttemptOutcome> {
    const {request, deadlineAtMs, triedServers, attempt} = state;
    triedServers.add(server.server);
    const call: Call = {
      type: 'call',
      ...request,
      attempt,
      headers: toServiceHeaders(request.headers),
      deadlineMs: deadlineAtMs - performance.now(),
    };
    this.addOutstanding(server.server, 1);
    try {
      return await this.sendUntilDeadline(state, server, call);
    } finally {
      this.addOutstanding(server.server, -1);
    }
  }

  private async sendUntilDeadline(
    state: DispatchState,
    server: ServiceServer,
    call: Call,
  ): Promise<AttemptOutcome> {
    const answer = this.send(server, call);
    const stop = await waitForStopOrAnswer(state, answer);
    if (!stop) return answer;
    const ran = await this.cancelUnlessAnswered(server, call, answer);
    if (typeof ran !== 'string') return ran;
    const refusal = refuse(stop, 'call', {ran, peer: server.server});
    return {kind: 'failed', refusal};
  }

  private async send(
    server: ServiceServer,
    call: Call,
  ): Promise<AttemptOutcome> {
    try {
      const answer = await this.transport.send(server, call);
      return toAttemptOutcome(answer);
    } catch (error) {
      return this.handleLostAnswer(server, call, error);
    }
  }

  /**
   * Finds out by a cancel whether a call without an answer has run. Errors
   * other than CallTransportError do not tell whether the call was sent, so it
   * counts as sent.
   */
  private async handleLostAnswer(
    server: ServiceServer,
    call: Call,
    error: unknown,
  ): Promise<AttemptOutcome> {
    const mayHaveBeenSent =
      !(error instanceof CallTransportError) || error.mayHaveBeenSent;
    const ran = mayHaveBeenSent
      ? await this.requestCancel(server, call)
      : 'not_run';
    const lostReason = call.idempotent ? 'service_failed' : 'outcome_unknown';
    const reason = ran === 'not_run' ? 'no_server' : lostReason;
    const refusal = refuse(reason, 'call', {
      ran,
      peer: server.server,
      detail: String(error),
    });
    // After a confirmed cancel the call is as safe to repeat as one never sent.
    const permit = permitAfterLoss(ran !== 'not_run', call.idempotent);
    return {kind: 'failed', refusal, permit};
  }

  /** Cancels the call, unless its answer arrives before that of the cancel. */
  private async cancelUnlessAnswered(
    server: ServiceServer,
    call: Call,
    answer: Promise<AttemptOutcome>,
  ): Promise<ExecutionState | AttemptOutcome> {
    const result = answer.then(outcome =>
      outcome.kind === 'result' ? outcome : never<AttemptOutcome>(),
    );
    return Promise.race([this.requestCancel(server, call), result]);
  }

  /**
   * Asks the side process to cancel and returns whether the call ran. Once a
   * call was sent, only the side process can confirm `not_run`.
   */
  private async requestCancel(
    server: ServiceServer,
    {request, attempt}: Call,
  ): Promise<ExecutionState> {
    const timeout = new AbortController();
    const cancelled = this.transport
      .cancel(server, {type: 'cancel', request, attempt})
      .then(({ran}) => ran)
      .catch((): ExecutionState => 'unknown');
    const timedOut = resolveAfter(this.options.cancelTimeoutMs, timeout.signal);
    const ran = await Promise.race([cancelled, timedOut]);
    timeout.abort();
    return ran ?? 'unknown';
  }

  /** Returns the refusal for the caller, or records a retry on another server. */
  private refuseOrRecordRetry(
    state: DispatchState,
    permit: RetryPermit | undefined,
    refusal: Refusal,
  ): Refusal | undefined {
    if (!permit) return refusal;
    if (permit.onlyOnce && state.usedReasons.has(permit.reason)) return refusal;
    if (permit.costsBudget && !this.budget.acquire(permit.reason)) {
      return refuse('retry_budget_exhausted', 'route', {
        peer: refusal.peer,
        detail: `${refusal.reason}: ${refusal.detail}`,
      });
    }
    state.usedReasons.add(permit.reason);
    this.recordRetry(state.request, permit.reason, refusal);
    return undefined;
  }

  private recordRetry(
    {request, workspace, rank}: CallRequest,
    reason: RetryPermit['reason'],
    {step, peer, detail}: Refusal,
  ): void {
    this.metrics.increment(RETRIES_COUNTER, {reason});
    const fields = {request, workspace, rank, step, peer, reason, detail};
    this.options.logger?.info('retry', fields);
  }

  /** Reports `unknown` instead of `not_run` if an earlier attempt may have run. */
  private withOverallRan(
    {mayHaveRun}: DispatchState,
    refusal: Refusal,
  ): Refusal {
    if (!mayHaveRun || refusal.ran !== 'not_run') return refusal;
    return {...refusal, ran: 'unknown'};
  }

  private addOutstanding(server: ServerId, change: number): void {
    const count = (this.outstandingCalls.get(server) ?? 0) + change;
    if (count > 0) this.outstandingCalls.set(server, count);
    else this.outstandingCalls.delete(server);
  }
}

function toAttemptOutcome(answer: CallResult | Refused): AttemptOutcome {
  if (answer.type === 'call_result') return {kind: 'result', result: answer};
  const refusal = toRefusal(answer);
  return {kind: 'failed', refusal, permit: permitAfterRefusal(answer)};
}

function toCallerResult(result: CallResult): CallResult {
  const headers = toCallerHeaders(result.headers);
  if (result.replayed) headers['idempotency-replayed'] = 'true';
  return {...result, headers};
}

function findStopReason(state: DispatchState): RefusalReason | undefined {
  if (state.signal?.aborted) return 'caller_left';
  const isDeadlineExceeded = performance.now() >= state.deadlineAtMs;
  return isDeadlineExceeded ? 'deadline_exceeded' : undefined;
}

/**
 * Resolves with the reason to stop waiting, or with undefined if the answer
 * comes first.
 */
async function waitForStopOrAnswer(
  {signal, deadlineAtMs}: DispatchState,
  answer: Promise<AttemptOutcome>,
): Promise<RefusalReason | undefined> {
  const done = new AbortController();
  const callerLeft = new Promise<RefusalReason>(resolve => {
    const onAbort = () => resolve('caller_left');
    if (signal?.aborted) onAbort();
    signal?.addEventListener('abort', onAbort, {signal: done.signal});
  });
  const deadlineExceeded = resolveAfter(
    deadlineAtMs - performance.now(),
    done.signal,
  ).then((): RefusalReason => 'deadline_exceeded');
  const answered = answer.then(() => undefined);
  const stop = await Promise.race([answered, callerLeft, deadlineExceeded]);
  done.abort();
  return stop;
}

/** Resolves after the duration; never resolves if the signal aborts first. */
function resolveAfter(
  durationMs: number,
  signal: AbortSignal,
): Promise<undefined> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(undefined), durationMs);
    signal.addEventListener('abort', () => clearTimeout(timer));
  });
}

function never<T>(): Promise<T> {
  return new Promise(() => {});
}
