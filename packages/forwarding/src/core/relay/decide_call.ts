/** What follows after one attempt of a plain call. Pure. */
import type {CallKind} from '../routing/routing_table.js';

export type AttemptOutcome =
  /** A whole answer of the server. */
  | {readonly kind: 'answered'; readonly status: number}
  /** The server states that it did not run the call. */
  | {readonly kind: 'not_run'}
  /** No byte of the call can have reached the server. */
  | {readonly kind: 'not_sent'}
  /** No whole answer; the call may have run. */
  | {readonly kind: 'broken'}
  /** No answer in the time in which servers usually answer. */
  | {readonly kind: 'slow'};

export interface CallState {
  readonly kind: CallKind;
  /** Servers that the call has reached. */
  readonly reached: number;
  readonly maxAttempts: number;
  /** Attempts of all kinds, also those that reached no server. */
  readonly attempts: number;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  readonly leftMs: number;
  readonly mayRetry: boolean;
}

export type CallDecision =
  | 'deliver'
  | 'retry'
  /** Tell the caller that the call has not run. */
  | 'refuse'
  /** Tell the caller that the outcome is not known. */
  | 'fail';

/** Attempts that reached no server are bounded too. */
const MAX_TRIES = 4;

/** With less time left another attempt cannot end in time. */
const LEAST_LEFT_MS = 15;

export function decideCall(
  state: CallState,
  outcome: AttemptOutcome,
): CallDecision {
  if (outcome.kind === 'answered') {
    const isServerFault = outcome.status >= 500;
    const retries = state.kind === 'idempotent' && isServerFault;
    return retries && canRetry(state) ? 'retry' : 'deliver';
  }
  const ranBefore = state.mayHaveRun;
  const ranNow = outcome.kind === 'broken' || outcome.kind === 'slow';
  const isRepeatable = state.kind === 'idempotent' || !(ranBefore || ranNow);
  if (isRepeatable && canRetry(state)) return 'retry';
  return ranBefore || ranNow ? 'fail' : 'refuse';
}

function canRetry(state: CallState): boolean {
  const {reached, maxAttempts, attempts, leftMs, mayRetry} = state;
  if (attempts >= MAX_TRIES || leftMs < LEAST_LEFT_MS) return false;
  return reached < maxAttempts && mayRetry;
}
