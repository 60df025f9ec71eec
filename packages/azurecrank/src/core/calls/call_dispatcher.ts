/**
 * Sends calls of plain services to side processes: picks the server, applies
 * the retry rules, cancels at the deadline and reports truly whether the call
 * ran.
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
  type RanState,
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
  /** Time to wait for the answer to a cancel. */
  readonly cancelWaitMs: number;
  readonly random: () => number;
  /** Gets one line for each retry. */
  readonly logger?: Logger;
}

export const DEFAULT_CALL_DISPATCHER_OPTIONS: CallDispatcherOptions = {
  claimPages: 64,
  cancelWaitMs: 500,
  random: Math.random,
};

/** A call as the gateway received it; `deadlineMs` counts from `dispatch`. */
export type CallRequest = Omit<Call, 'type' | 'attempt'>;

type Attempted =
  | {readonly kind: 'result'; readonly result: CallResult}
  | {
      readonly kind: 'failed';
      readonly refusal: Refusal;
      readonly permit?: RetryPermit;
    };

/** What happened to one request so far. */
interface Progress {
  readonly request: CallRequest;
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal | undefined;
  readonly tried: Set<ServerId>;
  readonly usedOnce: Set<string>;
  /** Whether an earlier attempt may have run. */
  mayHaveRun: boolean;
  attempt: Call['attempt'];
}

export class CallDispatcher {
  private readonly options: CallDispatcherOptions;
  private readonly outstanding = new Map<ServerId, number>();

  constructor(
    private readonly transport: CallTransport,
    private readonly budget: CallRetryBudget,
    private readonly metrics: Metrics,
    options: Partial<CallDispatcherOptions> = {},
  ) {
    this.options = {...DEFAULT_CALL_DISPATCHER_OPTIONS, ...options};
  }

  /**
   * Never rejects.
   * @param servers servers of the service that may take new work.
   * @param signal aborted when the caller leaves.
   */
  async dispatch(
    request: CallRequest,
    servers: readonly ServiceServer[],
    signal?: AbortSignal,
  ): Promise<CallResult | Refusal> {
    const progress: Progress = {
      request,
      deadlineAtMs: performance.now() + request.deadlineMs,
      signal,
      tried: new Set(),
      usedOnce: new Set(),
      mayHaveRun: false,
      attempt: FIRST_ATTEMPT,
    };
    let last: Refusal | undefined;
    for (;;) {
      const stop = reasonToStop(progress);
      if (stop) return this.finish(progress, refuse(stop, 'route'));
      const server = this.choose(progress, servers);
      if (!server) {
        return this.finish(progress, last ?? refuse('no_server', 'route'));
      }
      const attempted = await this.attempt(progress, server);
      if (attempted.kind === 'result') {
        this.budget.recordSuccess();
        return toCallerResult(attempted.result);
      }
      last = attempted.refusal;
      progress.mayHaveRun ||= last.ran !== 'not_run';
      const refusal = this.refuseRetry(progress, attempted.permit, last);
      if (refusal) return this.finish(progress, refusal);
      progress.attempt = nextAttempt(progress.attempt);
    }
  }

  private choose(
    {request, tried, attempt}: Progress,
    servers: readonly ServiceServer[],
  ): ServiceServer | undefined {
    const candidates = servers.filter(({server}) => !tried.has(server));
    const call: Call = {type: 'call', ...request, attempt};
    return chooseServer(call, candidates, this.outstanding, this.options);
  }

  private async attempt(
    progress: Progress,
    server: ServiceServer,
  ): Promise<Attempted> {
    const {request, deadlineAtMs, tried, attempt} = progress;
    tried.add(server.server);
    const call: Call = {
      type: 'call',
      ...request,
      attempt,
      headers: toServiceHeaders(request.headers),
      deadlineMs: deadlineAtMs - performance.now(),
    };
    this.addOutstanding(server.server, 1);
    try {
      return await this.sendUntilDeadline(progress, server, call);
    } finally {
      this.addOutstanding(server.server, -1);
    }
  }

  private async sendUntilDeadline(
    progress: Progress,
    server: ServiceServer,
    call: Call,
  ): Promise<Attempted> {
    const answer = this.send(server, call);
    const stop = await waitForStop(progress, answer);
    if (!stop) return answer;
    const ran = await this.cancel(server, call, answer);
    if (typeof ran !== 'string') return ran;
    const refusal = refuse(stop, 'call', {ran, peer: server.server});
    return {kind: 'failed', refusal};
  }

  private async send(server: ServiceServer, call: Call): Promise<Attempted> {
    try {
      const answer = await this.transport.send(server, call);
      return toAttempted(answer);
    } catch (error) {
      return this.afterLoss(server, call, error);
    }
  }

  /** An error of another kind says nothing, so the call may have left. */
  private async afterLoss(
    server: ServiceServer,
    call: Call,
    error: unknown,
  ): Promise<Attempted> {
    const mayHaveLeft =
      !(error instanceof CallTransportError) || error.mayHaveLeft;
    const ran = mayHaveLeft ? await this.askCancelled(server, call) : 'not_run';
    const lostReason = call.idempotent ? 'service_failed' : 'outcome_unknown';
    const reason = ran === 'not_run' ? 'no_server' : lostReason;
    const refusal = refuse(reason, 'call', {
      ran,
      peer: server.server,
      detail: String(error),
    });
    // A confirmed cancel makes the call as safe to repeat as one never sent.
    const permit = permitAfterLoss(ran !== 'not_run', call.idempotent);
    return {kind: 'failed', refusal, permit};
  }

  /** The answer itself may still come while the cancel is under way. */
  private async cancel(
    server: ServiceServer,
    call: Call,
    answer: Promise<Attempted>,
  ): Promise<RanState | Attempted> {
    const result = answer.then(attempted =>
      attempted.kind === 'result' ? attempted : never<Attempted>(),
    );
    return Promise.race([this.askCancelled(server, call), result]);
  }

  /** Only the side's own word permits `not_run` once a call was sent. */
  private async askCancelled(
    server: ServiceServer,
    {request, attempt}: Call,
  ): Promise<RanState> {
    const timeout = new AbortController();
    const cancelled = this.transport
      .cancel(server, {type: 'cancel', request, attempt})
      .then(({ran}) => ran)
      .catch((): RanState => 'unknown');
    const expired = after(this.options.cancelWaitMs, timeout.signal);
    const ran = await Promise.race([cancelled, expired]);
    timeout.abort();
    return ran ?? 'unknown';
  }

  /** Returns the refusal for the caller, or undefined to try elsewhere. */
  private refuseRetry(
    progress: Progress,
    permit: RetryPermit | undefined,
    last: Refusal,
  ): Refusal | undefined {
    if (!permit) return last;
    if (permit.onlyOnce && progress.usedOnce.has(permit.reason)) return last;
    if (permit.costsBudget && !this.budget.take(permit.reason)) {
      return refuse('retry_budget_exhausted', 'route', {
        peer: last.peer,
        detail: `${last.reason}: ${last.detail}`,
      });
    }
    progress.usedOnce.add(permit.reason);
    this.noteRetry(progress.request, permit.reason, last);
    return undefined;
  }

  private noteRetry(
    {request, workspace, rank}: CallRequest,
    reason: RetryPermit['reason'],
    {step, peer, detail}: Refusal,
  ): void {
    this.metrics.increment(RETRIES_COUNTER, {reason});
    const fields = {request, workspace, rank, step, peer, reason, detail};
    this.options.logger?.info('retry', fields);
  }

  /** A later refusal cannot take back that an earlier attempt may have run. */
  private finish({mayHaveRun}: Progress, refusal: Refusal): Refusal {
    if (!mayHaveRun || refusal.ran !== 'not_run') return refusal;
    return {...refusal, ran: 'unknown'};
  }

  private addOutstanding(server: ServerId, change: number): void {
    const count = (this.outstanding.get(server) ?? 0) + change;
    if (count > 0) this.outstanding.set(server, count);
    else this.outstanding.delete(server);
  }
}

function toAttempted(answer: CallResult | Refused): Attempted {
  if (answer.type === 'call_result') return {kind: 'result', result: answer};
  const refusal = toRefusal(answer);
  return {kind: 'failed', refusal, permit: permitAfterRefusal(answer)};
}

function toCallerResult(result: CallResult): CallResult {
  const headers = toCallerHeaders(result.headers);
  if (result.replayed) headers['idempotency-replayed'] = 'true';
  return {...result, headers};
}

function reasonToStop(progress: Progress): RefusalReason | undefined {
  if (progress.signal?.aborted) return 'caller_left';
  const isLate = performance.now() >= progress.deadlineAtMs;
  return isLate ? 'deadline_exceeded' : undefined;
}

/** Resolves with the reason, or undefined when the answer comes first. */
async function waitForStop(
  {signal, deadlineAtMs}: Progress,
  answer: Promise<Attempted>,
): Promise<RefusalReason | undefined> {
  const done = new AbortController();
  const left = new Promise<RefusalReason>(resolve => {
    const leave = () => resolve('caller_left');
    if (signal?.aborted) leave();
    signal?.addEventListener('abort', leave, {signal: done.signal});
  });
  const late = after(deadlineAtMs - performance.now(), done.signal).then(
    (): RefusalReason => 'deadline_exceeded',
  );
  const answered = answer.then(() => undefined);
  const stop = await Promise.race([answered, left, late]);
  done.abort();
  return stop;
}

/** Resolves after the time; never if the signal aborts first. */
function after(durationMs: number, signal: AbortSignal): Promise<undefined> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(undefined), durationMs);
    signal.addEventListener('abort', () => clearTimeout(timer));
  });
}

function never<T>(): Promise<T> {
  return new Promise(() => {});
}
