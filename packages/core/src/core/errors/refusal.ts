/** Refusals of requests, and the problem document for callers (RFC 9457). */
import type {RequestId} from '../ids/ids.js';
import {refusalData, type RefusalReason} from './errors_data.js';

/**
 * Whether the request took effect at a backend server. `not_run` means that it
 * certainly did not and will not.
 */
export type ExecutionState = 'not_run' | 'ran' | 'unknown';

/** Step of request processing at which an error occurred. */
export type RequestStep =
  | 'accept'
  | 'route'
  | 'queue'
  | 'prefill'
  | 'decode'
  | 'recover'
  | 'claim'
  | 'call'
  | 'record'
  | 'respond';

export interface Refusal {
  readonly kind: 'refusal';
  readonly reason: RefusalReason;
  readonly ran: ExecutionState;
  readonly step: RequestStep;
  /** Server or process at which the error occurred; empty for this process. */
  readonly peer: string;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Carries a refusal through code that throws. */
export class RefusalError extends Error {
  constructor(readonly refusal: Refusal) {
    super(`${refusal.reason}: ${refusal.detail}`);
    this.name = 'RefusalError';
  }
}

export interface RefusalOptions {
  readonly ran?: ExecutionState;
  readonly peer?: string;
  readonly detail?: string;
  readonly retryAfterMs?: number;
}

/** Creates a refusal; by default the request was not run, at this process. */
export function refuse(
  reason: RefusalReason,
  step: RequestStep,
  options: RefusalOptions = {},
): Refusal {
  const data = refusalData(reason);
  const defaultRetryAfterMs =
    data.retryAfterS === undefined ? undefined : data.retryAfterS * 1000;
  return {
    kind: 'refusal',
    reason,
    step,
    ran: options.ran ?? 'not_run',
    peer: options.peer ?? '',
    detail: options.detail ?? data.title,
    retryAfterMs: options.retryAfterMs ?? defaultRetryAfterMs,
  };
}

/** Body of an `application/problem+json` response. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly reason: RefusalReason;
  readonly ran: ExecutionState;
  readonly requestId: string;
  readonly step: RequestStep;
  readonly peer: string;
  readonly hint: string;
}

export function toProblemDocument(
  refusal: Refusal,
  requestId: RequestId | '',
): ProblemDocument {
  const data = refusalData(refusal.reason);
  return {
    type: `urn:azurecrank:refusal:${refusal.reason}`,
    title: data.title,
    status: data.status,
    detail: refusal.detail,
    reason: refusal.reason,
    ran: refusal.ran,
    requestId,
    step: refusal.step,
    peer: refusal.peer,
    hint: data.hint,
  };
}
