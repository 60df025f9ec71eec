/** Decides which failures of a call permit a retry on another server. */
import type {
  RefusalReason,
  Refused,
  Refusal,
  RetryReason,
} from '@azurecrank/core';

export interface RetryPermit {
  readonly reason: RetryReason;
  readonly costsBudget: boolean;
  /** Whether this reason permits only one retry per call. */
  readonly onlyOnce: boolean;
}

/** Refusals because of the state of one server; another one may accept. */
const SERVER_SPECIFIC_REASONS: readonly RefusalReason[] = [
  'queue_full',
  'workspace_queue_full',
  'starting',
];

/**
 * Returns the permit for a retry after a refusal, if there is one.
 * Only a confirmed `not_run` permits a retry. `service_failed` with `not_run`
 * means that the side process could not connect to its service.
 */
export function permitAfterRefusal(
  refused: Pick<Refused, 'reason' | 'ran'>,
): RetryPermit | undefined {
  if (refused.ran !== 'not_run') return undefined;
  const {reason} = refused;
  if (reason === 'leaving') {
    return {reason: 'server_leaving', costsBudget: false, onlyOnce: false};
  }
  if (SERVER_SPECIFIC_REASONS.includes(reason)) {
    return {reason: 'refused_elsewhere', costsBudget: true, onlyOnce: true};
  }
  if (reason === 'service_failed') {
    return {reason: 'connect_failed', costsBudget: true, onlyOnce: false};
  }
  return undefined;
}

/** A call that may have been sent is sent again only if it is idempotent. */
export function permitAfterLoss(
  mayHaveBeenSent: boolean,
  idempotent: boolean,
): RetryPermit | undefined {
  if (!mayHaveBeenSent) {
    return {reason: 'connect_failed', costsBudget: true, onlyOnce: false};
  }
  if (!idempotent) return undefined;
  return {reason: 'connection_replaced', costsBudget: true, onlyOnce: true};
}

export function toRefusal(refused: Refused): Refusal {
  const {reason, ran, step, peer, detail, retryAfterMs} = refused;
  return {kind: 'refusal', reason, ran, step, peer, detail, retryAfterMs};
}
