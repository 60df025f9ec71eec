/** Estimates which requests an entry that stops can still complete. Pure. */
import type {Route} from '../routing/routing_table.js';

export interface ExpectedRequest {
  readonly route: Pick<Route, 'kind' | 'isResumable' | 'latencyTargetMs'>;
  /** Time after which the caller or the route gives the request up. */
  readonly timeLimitMs: number;
  /**
   * Expected duration of a stream of a model; infinite if no chain can run it.
   * Undefined for a plain call.
   */
  readonly streamDurationMs: number | undefined;
}

/**
 * Time that is kept for what may not be repeated, as a multiple of the expected
 * duration: a call that is cut leaves its caller without a way to go on, while
 * one that is refused goes to another entry at once.
 */
const NON_REPEATABLE_CALL_FACTOR = 2;
const NON_RESUMABLE_STREAM_FACTOR = 1.5;

/**
 * Returns the time for which this entry has to go on so that the request can be
 * expected to complete.
 */
export function timeToCompleteMs({
  route: {kind, isResumable, latencyTargetMs},
  timeLimitMs,
  streamDurationMs,
}: ExpectedRequest): number {
  const callFactor = kind === 'idempotent' ? 1 : NON_REPEATABLE_CALL_FACTOR;
  const streamFactor = isResumable ? 1 : NON_RESUMABLE_STREAM_FACTOR;
  const expectedMs =
    streamDurationMs === undefined
      ? callFactor * latencyTargetMs
      : streamFactor * streamDurationMs;
  return Math.min(timeLimitMs, expectedMs);
}
