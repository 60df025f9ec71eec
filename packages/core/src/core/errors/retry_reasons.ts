/** All reasons for retries, which are also labels of the retry counter. */
export const RETRY_REASONS = [
  'server_leaving',
  'refused_elsewhere',
  'connect_failed',
  'connection_replaced',
  'stage_lost',
  'stage_silent',
  'engine_stalled',
  'wrong_range',
  'stale_plan',
  'preempted',
  'kv_conflict',
  'kv_unavailable',
  'kv_answer_lost',
] as const;

export type RetryReason = (typeof RETRY_REASONS)[number];
