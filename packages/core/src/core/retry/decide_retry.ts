/** Decides whether and how a failure is retried (design, section 6). */
import type {RefusalReason} from '../errors/errors_data.js';
import type {ExecutionState} from '../errors/refusal.js';
import type {RetryReason} from '../errors/retry_reasons.js';
import type {RetryBudget} from './retry_budget.js';

export type RetryAction =
  /** Send to another server or chain at once, without backoff. */
  | 'elsewhere'
  /** Send the same message to the same peer on a new connection. */
  | 'resend'
  /** Replace the lost stage (design, section 4.2). */
  | 'recover'
  /** Refresh the plan and choose again. */
  | 'refresh_plan'
  /** Send again when a slot is free. */
  | 'later'
  /** Repeat the key-value operation after a backoff with jitter. */
  | 'repeat_kv';

export interface RetryRule {
  readonly action: RetryAction;
  /** Whether each retry uses a token of the retry budget. */
  readonly usesBudget: boolean;
  /** Highest number of retries per request and reason; unlimited if absent. */
  readonly maxPerRequest?: number;
  /** Whether even a request that is safe to repeat must not have run. */
  readonly requiresNotRun: boolean;
}

/** Bounds the retries of a request while the plan keeps changing. */
const MAX_PLAN_REFRESHES_PER_REQUEST = 3;
/** Bounds the recoveries of a request whose stages fail one after another. */
const MAX_RECOVERIES_PER_REQUEST = 4;
const MAX_KEY_VALUE_REPEATS_PER_REQUEST = 4;

const RECOVERY_RULE: RetryRule = {
  action: 'recover',
  usesBudget: true,
  maxPerRequest: MAX_RECOVERIES_PER_REQUEST,
  requiresNotRun: false,
};
const PLAN_REFRESH_RULE: RetryRule = {
  action: 'refresh_plan',
  usesBudget: false,
  maxPerRequest: MAX_PLAN_REFRESHES_PER_REQUEST,
  requiresNotRun: false,
};
const KEY_VALUE_RULE: RetryRule = {
  action: 'repeat_kv',
  usesBudget: false,
  maxPerRequest: MAX_KEY_VALUE_REPEATS_PER_REQUEST,
  requiresNotRun: false,
};

export const RETRY_RULES: Readonly<Record<RetryReason, RetryRule>> = {
  server_leaving: {
    action: 'elsewhere',
    usesBudget: false,
    requiresNotRun: true,
  },
  refused_elsewhere: {
    action: 'elsewhere',
    usesBudget: true,
    maxPerRequest: 1,
    requiresNotRun: true,
  },
  connect_failed: {
    action: 'elsewhere',
    usesBudget: true,
    requiresNotRun: true,
  },
  connection_replaced: {
    action: 'resend',
    usesBudget: false,
    requiresNotRun: false,
  },
  stage_lost: RECOVERY_RULE,
  stage_silent: RECOVERY_RULE,
  engine_stalled: RECOVERY_RULE,
  wrong_range: PLAN_REFRESH_RULE,
  stale_plan: PLAN_REFRESH_RULE,
  preempted: {action: 'later', usesBudget: false, requiresNotRun: false},
  kv_conflict: KEY_VALUE_RULE,
  kv_unavailable: KEY_VALUE_RULE,
  kv_answer_lost: KEY_VALUE_RULE,
};

/** Refusals after which one other server or chain may be tried. */
const REFUSED_ELSEWHERE: ReadonlySet<RefusalReason> = new Set([
  'queue_full',
  'workspace_queue_full',
  'starting',
]);

/** Retry reason for a refusal by a peer; undefined if the refusal is final. */
export function retryReasonOf(reason: RefusalReason): RetryReason | undefined {
  if (REFUSED_ELSEWHERE.has(reason)) return 'refused_elsewhere';
  if (reason === 'leaving') return 'server_leaving';
  if (reason === 'stage_lost') return 'stage_lost';
  if (reason === 'wrong_range' || reason === 'stale_plan') return reason;
  return undefined;
}

/** Facts about one failure on which the decision depends. */
export interface RetryContext {
  readonly reason: RetryReason;
  readonly ran: ExecutionState;
  /** True for model steps, idempotent calls and deduplicated messages. */
  readonly safeToRepeat: boolean;
  /** Earlier retries of this request for this reason. */
  readonly retriesForReason: number;
  /** Time until the request's deadline, in milliseconds. */
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
 * Decides whether to retry and uses a token of the budget if the rule says so.
 * A call that may have run and is not safe to repeat is never retried.
 */
export function decideRetry(
  context: RetryContext,
  budget: RetryBudget,
): RetryDecision {
  const rule = RETRY_RULES[context.reason];
  const mayHaveRun = context.ran !== 'not_run';
  if (mayHaveRun && (rule.requiresNotRun || !context.safeToRepeat)) {
    return {kind: 'give_up', cause: 'may_have_run'};
  }
  if (context.remainingMs <= 0) {
    return {kind: 'give_up', cause: 'deadline_exceeded'};
  }
  if (context.retriesForReason >= (rule.maxPerRequest ?? Infinity)) {
    return {kind: 'give_up', cause: 'limit_reached'};
  }
  if (rule.usesBudget && !budget.tryAcquire(context.nowMs)) {
    return {kind: 'give_up', cause: 'retry_budget_exhausted'};
  }
  return {kind: 'retry', action: rule.action};
}
