/** What each retry reason permits (design, section 6). */
import type {RefusalReason} from '../errors/errors_data.js';
import type {RanState} from '../errors/refusal.js';
import type {RetryReason} from '../errors/retry_reasons.js';
import type {RetryBudget} from './retry_budget.js';

export type RetryAction =
  /** Send to another server or chain, without back-off. */
  | 'elsewhere'
  /** Send the same message on a new connection to the same peer. */
  | 'resend'
  /** Replace the lost stage (design, section 4.2). */
  | 'recover'
  /** Refresh the plan and pick again. */
  | 'refresh_plan'
  /** Open again when a slot is free. */
  | 'later'
  /** Repeat the key-value operation after a jittered wait. */
  | 'repeat_kv';

export interface RetryRule {
  readonly action: RetryAction;
  readonly costsBudget: boolean;
  /** Retries of one request for this reason; undefined leaves it open. */
  readonly maxPerRequest?: number;
  /** The request must be known not to have run, whatever it is. */
  readonly requiresNotRun: boolean;
}

/**
 * Bounds the passes over a plan that changes while requests are routed, and
 * the recoveries of one request when many stages die one after another.
 */
const MAX_PLAN_REFRESHES = 3;
const MAX_RECOVERIES = 4;
const MAX_KV_REPEATS = 4;

const RECOVERY: RetryRule = {
  action: 'recover',
  costsBudget: true,
  maxPerRequest: MAX_RECOVERIES,
  requiresNotRun: false,
};
const REFRESH: RetryRule = {
  action: 'refresh_plan',
  costsBudget: false,
  maxPerRequest: MAX_PLAN_REFRESHES,
  requiresNotRun: false,
};
const KEY_VALUE: RetryRule = {
  action: 'repeat_kv',
  costsBudget: false,
  maxPerRequest: MAX_KV_REPEATS,
  requiresNotRun: false,
};

export const RETRY_RULES: Readonly<Record<RetryReason, RetryRule>> = {
  server_leaving: {
    action: 'elsewhere',
    costsBudget: false,
    requiresNotRun: true,
  },
  refused_elsewhere: {
    action: 'elsewhere',
    costsBudget: true,
    maxPerRequest: 1,
    requiresNotRun: true,
  },
  connect_failed: {
    action: 'elsewhere',
    costsBudget: true,
    requiresNotRun: true,
  },
  connection_replaced: {
    action: 'resend',
    costsBudget: false,
    requiresNotRun: false,
  },
  stage_lost: RECOVERY,
  stage_silent: RECOVERY,
  engine_stalled: RECOVERY,
  wrong_range: REFRESH,
  stale_plan: REFRESH,
  preempted: {action: 'later', costsBudget: false, requiresNotRun: false},
  kv_conflict: KEY_VALUE,
  kv_unavailable: KEY_VALUE,
  kv_answer_lost: KEY_VALUE,
};

/** Refusals by one candidate after which one other candidate may be tried. */
const REFUSED_ELSEWHERE: ReadonlySet<RefusalReason> = new Set([
  'queue_full',
  'workspace_queue_full',
  'starting',
]);

/** Returns the retry reason for a refusal by a peer, if there is one. */
export function retryReasonOf(reason: RefusalReason): RetryReason | undefined {
  if (REFUSED_ELSEWHERE.has(reason)) return 'refused_elsewhere';
  if (reason === 'leaving') return 'server_leaving';
  if (reason === 'stage_lost') return 'stage_lost';
  if (reason === 'wrong_range' || reason === 'stale_plan') return reason;
  return undefined;
}

export interface RetryQuestion {
  readonly reason: RetryReason;
  readonly ran: RanState;
  /** Model steps, idempotent calls and messages that peers deduplicate. */
  readonly safeToRepeat: boolean;
  /** Earlier retries of this request for this reason. */
  readonly retriesForReason: number;
  /** Time left to the request's deadline, in milliseconds. */
  readonly remainingMs: number;
  readonly nowMs: number;
}

export type RetryDecision =
  | {readonly kind: 'retry'; readonly action: RetryAction}
  | {
      readonly kind: 'give_up';
      readonly cause:
        | 'may_have_run'
        | 'limit_reached'
        | 'deadline_exceeded'
        | 'retry_budget_exhausted';
    };

/**
 * Decides on one retry and takes its token from the budget. A call that may
 * have run and is not safe to repeat is never retried, whatever the reason.
 */
export function decideRetry(
  question: RetryQuestion,
  budget: RetryBudget,
): RetryDecision {
  const rule = RETRY_RULES[question.reason];
  const mayHaveRun = question.ran !== 'not_run';
  if (mayHaveRun && (rule.requiresNotRun || !question.safeToRepeat)) {
    return {kind: 'give_up', cause: 'may_have_run'};
  }
  if (question.remainingMs <= 0) {
    return {kind: 'give_up', cause: 'deadline_exceeded'};
  }
  if (question.retriesForReason >= (rule.maxPerRequest ?? Infinity)) {
    return {kind: 'give_up', cause: 'limit_reached'};
  }
  if (rule.costsBudget && !budget.take(question.nowMs)) {
    return {kind: 'give_up', cause: 'retry_budget_exhausted'};
  }
  return {kind: 'retry', action: rule.action};
}
