/** Intervals of the reports between entries. */

/** Interval of `ReportExchange.tick`, at which relays pass reports on. */
export const EXCHANGE_TICK_MS = 100;

/** Interval of reports while they change. */
export const REPORT_INTERVAL_MS = 200;

/**
 * Time after which all others know of a report that goes over relays: the next
 * report, the relay's next tick and its next answer.
 */
export const MAX_REPORT_DELAY_MS = 600;

/** Interval of reports that say the same as the one before. */
export const UNCHANGED_REPORT_INTERVAL_MS = 600;

/** Timers fire up to this much early. */
const TIMER_TOLERANCE_MS = 5;

/** Whether the interval since the last time is over, or will be in a moment. */
export function isDue(
  lastMs: number,
  intervalMs: number,
  nowMs: number,
): boolean {
  return nowMs - lastMs >= intervalMs - TIMER_TOLERANCE_MS;
}
