/** Decides what follows an attempt of a plain call. Pure. */
import type {CallKind} from '../routing/routing_table.js';

export type AttemptOutcome =
  /** The server sent a complete response. */
  | {readonly kind: 'answered'; readonly status: number}
  /** The server states that it did not run the call. */
  | {readonly kind: 'not_run'}
  /** No byte of the call can have reached the server. */
  | {readonly kind: 'not_sent'}
  /** No complete response; the call may have run. */
  | {readonly kind: 'broken'}
  /** No response before the attempt's timeout; the call may have run. */
  | {readonly kind: 'slow'};

export interface CallState {
  readonly kind: CallKind;
  /** Number of servers that the call has reached. */
  readonly serversReached: number;
  readonly maxAttempts: number;
  /** Number of attempts, including those that reached no server. */
  readonly attempts: number;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Time until the call's deadline. */
  readonly remainingMs: number;
  /** Whether the retry budget allows another attempt. */
  readonly hasRetryBudget: boolean;
}

export type CallDecision =
  /** Forward the server's response to the caller. */
  | 'deliver'
  /** Send the call to another server. */
  | 'retry'
  /** Report to the caller that the call has not run. */
  | 'refuse'
  /** Report to the caller that the outcome is unknown. */
  | 'fail';

/** Maximum number of attempts, including those that reached no server. */
const MAX_TOTAL_ATTEMPTS = 4;

/** With less time until the deadline, another attempt cannot complete. */
const MIN_REMAINING_MS = 15;

export function decideCall(
  state: CallState,
  outcome: AttemptOutcome,
): CallDecision {
  if (outcome.kind === 'answered') {
    const isServerFault = outcome.status >= 500;
    const isRetryableFault = state.kind === 'idempotent' && isServerFault;
    return isRetryableFault && canRetry(state) ? 'retry' : 'deliver';
  }
  const mayHaveRunBefore = state.mayHaveRun;
  const mayHaveRunNow = outcome.kind === 'broken' || outcome.kind === 'slow';
  const isRetryable =
    state.kind === 'idempotent' || !(mayHaveRunBefore || mayHaveRunNow);
  if (isRetryable && canRetry(state)) return 'retry';
  return mayHaveRunBefore || mayHaveRunNow ? 'fail' : 'refuse';
}

function canRetry(state: CallState): boolean {
  const {serversReached, maxAttempts, attempts, remainingMs, hasRetryBudget} =
    state;
  if (attempts >= MAX_TOTAL_ATTEMPTS || remainingMs < MIN_REMAINING_MS)
    return false;
  return serversReached < maxAttempts && hasRetryBudget;
}
