/** The closed list of reasons for which this system sends something again. */
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
