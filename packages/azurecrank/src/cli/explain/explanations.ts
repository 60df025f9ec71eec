/** Explanations of all refusal and retry reasons, for operators. */
import {
  REFUSALS,
  refusalData,
  type RefusalReason,
  type RetryReason,
} from '@azurecrank/core';

export interface Explanation {
  readonly reason: string;
  readonly kind: 'refusal' | 'retry';
  /** HTTP status; refusals only. */
  readonly status?: number;
  readonly meaning: string;
  /** Whether the request ran. */
  readonly ran: string;
  readonly action: string;
}

const NOT_RUN = 'no; it is safe to send it again';
const SEE_RAN = 'see the field `ran` of the problem document';
const RAN_IF_SENT =
  'perhaps, if it had been sent to a server; see the field `ran`';

const REFUSAL_RAN: Readonly<Record<RefusalReason, string>> = {
  invalid_request: NOT_RUN,
  unauthorized: NOT_RUN,
  forbidden_service: NOT_RUN,
  unknown_model: NOT_RUN,
  unknown_service: NOT_RUN,
  unknown_path: NOT_RUN,
  method_not_allowed: NOT_RUN,
  request_timeout: NOT_RUN,
  body_too_large: NOT_RUN,
  key_reused: 'this request did not; the earlier one with the key may have',
  claim_in_progress: 'unknown; the earlier call with the key has not ended',
  queue_full: NOT_RUN,
  workspace_queue_full: NOT_RUN,
  caller_left: RAN_IF_SENT,
  internal_error: SEE_RAN,
  service_failed: SEE_RAN,
  stage_lost: 'in part; the answer is incomplete',
  outcome_unknown: 'unknown',
  starting: NOT_RUN,
  leaving: NOT_RUN,
  no_chain: NOT_RUN,
  no_server: NOT_RUN,
  server_limit_reached: NOT_RUN,
  server_backoff: NOT_RUN,
  shed_for_higher_rank: NOT_RUN,
  deadline_unreachable: NOT_RUN,
  crashing_prompt: NOT_RUN,
  crashing_request: NOT_RUN,
  claim_store_unavailable: NOT_RUN,
  claim_page_full: NOT_RUN,
  retry_budget_exhausted: SEE_RAN,
  wrong_range: 'no; the stage refused the message before it ran a layer',
  stale_plan: 'no; the chain was refused before it ran a layer',
  deadline_exceeded: RAN_IF_SENT,
};

type RetryExplanation = Pick<Explanation, 'meaning' | 'ran' | 'action'>;

const NO_ACTION_NEEDED = 'nothing; the system continues by itself';

const RETRY_EXPLANATIONS: Readonly<Record<RetryReason, RetryExplanation>> = {
  server_leaving: {
    meaning:
      'A server refused because it is leaving; another one is used at once.',
    ran: 'no; the refusal confirms it',
    action: NO_ACTION_NEEDED,
  },
  refused_elsewhere: {
    meaning: 'One server was full or starting; one other server is tried.',
    ran: 'no; the refusal confirms it',
    action: 'if it is frequent, add servers or lower the load',
  },
  connect_failed: {
    meaning: 'The connection could not be opened; another server is used.',
    ran: 'no; it never left the process',
    action: 'check the server named as peer and the network to it',
  },
  connection_replaced: {
    meaning: 'A silent connection was replaced and messages were sent again.',
    ran: 'at most once; only messages that are safe to repeat are sent again',
    action: 'if it is frequent, check the network to the peer',
  },
  stage_lost: {
    meaning: 'A stage of the chain was lost; a replacement continues.',
    ran: 'each layer once for each token; only the lost stage is rebuilt',
    action: 'check the server named as peer',
  },
  stage_silent: {
    meaning: 'A stage stopped answering and was replaced.',
    ran: 'each layer once for each token; late answers are dropped',
    action: 'check the server named as peer for a freeze',
  },
  engine_stalled: {
    meaning: 'An engine did not finish a step in time; it was replaced.',
    ran: 'each layer once for each token; late answers are dropped',
    action: 'check the engine beside the process named as peer',
  },
  wrong_range: {
    meaning: 'A stage does not hold the layers; the plan is refreshed.',
    ran: 'no; the stage refused before it ran a layer',
    action: NO_ACTION_NEEDED,
  },
  stale_plan: {
    meaning: 'The chain is not in the current plan; the plan is refreshed.',
    ran: 'no; it was refused before it ran a layer',
    action: NO_ACTION_NEEDED,
  },
  preempted: {
    meaning: 'An overnight sequence gave its slot to an urgent request.',
    ran: 'in part; generated tokens are kept and it continues later',
    action: 'if it is frequent, add servers or move work to quiet hours',
  },
  kv_conflict: {
    meaning: 'Another process wrote the key first; it is read again.',
    ran: 'no; the write had no effect',
    action: NO_ACTION_NEEDED,
  },
  kv_unavailable: {
    meaning: 'The key-value service gave no answer to a read.',
    ran: 'no; reads have no effect',
    action: 'check the key-value service; serving continues meanwhile',
  },
  kv_answer_lost: {
    meaning: 'The answer to a write was lost; it is resolved by a read.',
    ran: 'at most once; the read shows whether the write took effect',
    action: NO_ACTION_NEEDED,
  },
};

export const EXPLANATIONS: readonly Explanation[] = [
  ...(Object.keys(REFUSALS) as RefusalReason[]).map(explainRefusal),
  ...(Object.keys(RETRY_EXPLANATIONS) as RetryReason[]).map(
    (reason): Explanation => ({
      reason,
      kind: 'retry',
      ...RETRY_EXPLANATIONS[reason],
    }),
  ),
];

function explainRefusal(reason: RefusalReason): Explanation {
  const {status, title, hint} = refusalData(reason);
  return {
    reason,
    kind: 'refusal',
    status,
    meaning: `${title}.`,
    ran: REFUSAL_RAN[reason],
    action: hint,
  };
}
