/** All limits that end a started stream, which are also labels of a counter. */
export const STREAM_CUT_REASONS = [
  /** Its route does not allow it to be resumed. */
  'not_resumable',
  /** It has been sent to servers as often as allowed. */
  'attempts',
  /** The time limit of its caller or route has passed. */
  'deadline',
  /** Its prompt is known to end servers. */
  'quarantined',
  /** The process of the entry ends. */
  'stopping',
] as const;

export type StreamCutReason = (typeof STREAM_CUT_REASONS)[number];
