/**
 * States of one claim and its transitions, interpreted from
 * `charts/claim.json`. A claim belongs to one idempotency key of a workspace
 * and a service.
 *
 * A `running` claim is never taken over. A claim recorded as `not_run` may be
 * claimed again with a new nonce: its holder has given up the call for good,
 * and the guard `isHolder` keeps that holder from recording under the new one.
 */
import {Chart, loadChartDefinition} from '../charts/chart.js';
import type {InstanceId} from '../ids/ids.js';

export type ClaimState = 'running' | 'done' | 'not_run';

/** Recorded answer of the service. */
export interface ClaimOutcome {
  readonly status: number;
  /** Absent, with the headers, when the body was too large to keep. */
  readonly body?: Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface Claim {
  readonly state: ClaimState;
  /** Random, one for each attempt to claim. */
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

/** What a side asks for; the claim is `running` once it is written. */
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

/** State outside pages: the key has no claim. */
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
    hold: (context: ClaimContext, event: ClaimEvent): ClaimContext =>
      event.type === 'claim' ? {claim: event.claim} : context,
    keepOutcome: ({claim}: ClaimContext, event: ClaimEvent): ClaimContext => {
      if (!claim || event.type !== 'record_done') return {claim};
      const {expiresMs, outcome} = event;
      return {claim: {...claim, expiresMs, outcome}};
    },
    keepExpiry: ({claim}: ClaimContext, event: ClaimEvent): ClaimContext => {
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
 * Returns the claim after `event`; undefined stands for no claim. The same
 * object is returned when the chart does not take the event.
 */
export function stepClaim(
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
 * Whether the holder of a running claim may still be at work. The claim's own
 * deadline decides, plus a margin for clock differences and a call that was
 * started just before it, so that no heartbeat has to be written. A holder
 * that was lost earlier counts as alive until then.
 */
export function mayBeRunning(
  claim: Claim,
  nowMs: number,
  marginMs: number,
): boolean {
  return claim.state === 'running' && nowMs < claim.deadlineMs + marginMs;
}
