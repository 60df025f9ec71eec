/**
 * States and transitions of a claim, which ensures that calls with the same
 * idempotency key of a workspace and service run at most once. The transitions
 * are those of the state chart `charts/claim.json`.
 *
 * No other holder can take over a `running` claim. A claim recorded as
 * `not_run` can be claimed again with a new nonce, because its holder will not
 * make the call any more. The guard `isHolder` prevents that holder from
 * recording an outcome on the new claim.
 */
import {Chart, loadChartDefinition} from '../charts/chart.js';
import type {InstanceId} from '../ids/ids.js';

export type ClaimState = 'running' | 'done' | 'not_run';

/** Stored answer of the service. */
export interface ClaimOutcome {
  readonly status: number;
  /** Absent, like the headers, if the answer is too large to store. */
  readonly body?: Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface Claim {
  readonly state: ClaimState;
  /** Random, unique for each attempt to claim. */
  readonly nonce: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  readonly holder: InstanceId;
  /** Wall-clock time after which the holder does not start the call. */
  readonly deadlineMs: number;
  /** Wall-clock time after which the claim is removed from its page. */
  readonly expiresMs: number;
  readonly outcome?: ClaimOutcome;
}

/** A claim requested by a side process; it is `running` once it is written. */
export type NewClaim = Omit<Claim, 'state' | 'outcome'>;

export type ClaimEvent =
  | {readonly type: 'claim'; readonly claim: NewClaim}
  | {
      readonly type: 'record_done';
      readonly nonce: string;
      readonly expiresMs: number;
      readonly outcome: ClaimOutcome;
    }
  | {
      readonly type: 'record_not_run';
      readonly nonce: string;
      readonly expiresMs: number;
    }
  | {readonly type: 'expire'; readonly nowMs: number};

/** Chart state of a key without a claim; not stored in pages. */
const ABSENT = 'absent';

interface ClaimContext {
  readonly claim?: NewClaim & {readonly outcome?: ClaimOutcome};
}

/** Guards and actions of the chart, also used by the model checker. */
export const CLAIM_FUNCTIONS = {
  guards: {
    isHolder: ({claim}: ClaimContext, event: ClaimEvent) =>
      'nonce' in event && event.nonce === claim?.nonce,
    isNewNonce: ({claim}: ClaimContext, event: ClaimEvent) =>
      event.type === 'claim' && event.claim.nonce !== claim?.nonce,
    isExpired: ({claim}: ClaimContext, event: ClaimEvent) =>
      event.type === 'expire' && event.nowMs >= (claim?.expiresMs ?? Infinity),
  },
  actions: {
    storeClaim: (context: ClaimContext, event: ClaimEvent): ClaimContext =>
      event.type === 'claim' ? {claim: event.claim} : context,
    storeOutcome: ({claim}: ClaimContext, event: ClaimEvent): ClaimContext => {
      if (!claim || event.type !== 'record_done') return {claim};
      const {expiresMs, outcome} = event;
      return {claim: {...claim, expiresMs, outcome}};
    },
    storeExpiry: ({claim}: ClaimContext, event: ClaimEvent): ClaimContext => {
      if (!claim || event.type !== 'record_not_run') return {claim};
      return {claim: {...claim, expiresMs: event.expiresMs}};
    },
  },
};

const chart = new Chart<ClaimContext, ClaimEvent>(
  loadChartDefinition('claim'),
  CLAIM_FUNCTIONS,
);

/**
 * Returns the claim after `event`, where undefined means no claim. Returns the
 * same object if the chart has no transition for the event.
 */
export function applyClaimEvent(
  claim: Claim | undefined,
  event: ClaimEvent,
): Claim | undefined {
  const before = {state: claim?.state ?? ABSENT, context: {claim}};
  const after = chart.step(before, event);
  if (after === before) return claim;
  if (after.state === ABSENT || !after.context.claim) return undefined;
  return {...after.context.claim, state: after.state as ClaimState};
}

/**
 * Whether the holder of a running claim may still make or run the call. This is
 * assumed until the claim's deadline plus a margin for clock differences and
 * for a call started just before the deadline. So holders write no heartbeats,
 * but one that failed earlier also counts as running until then.
 */
export function mayBeRunning(
  claim: Claim,
  nowMs: number,
  holderMarginMs: number,
): boolean {
  return claim.state === 'running' && nowMs < claim.deadlineMs + holderMarginMs;
}
