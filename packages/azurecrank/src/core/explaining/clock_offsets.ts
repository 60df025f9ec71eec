/**
 * Estimates how far the clocks of hosts differ. When a process reports an event
 * of a server to its peers, they log it with the reporter as `source`, within a
 * few milliseconds after the reporter's own line. Pure functions.
 */
import type {LogLine} from './log_lines.js';

/** Lines further apart than this belong to different events. */
const MAX_MATCH_DISTANCE_MS = 10_000;

/** Smaller offsets are ignored; they do not change the order of decisions. */
const MIN_OFFSET_MS = 50;

/**
 * Returns the milliseconds by which the clock of each process is ahead of that
 * of the process `reference`. Processes that share no event with it are left
 * out, as are offsets below the minimum.
 */
export function estimateClockOffsets(
  lines: readonly LogLine[],
  reference: string,
): ReadonlyMap<string, number> {
  const samples = new Map<string, number[]>();
  const reported = lines.filter(
    ({fields}) => typeof fields.source === 'string',
  );
  for (const line of reported) {
    const source = String(line.fields.source);
    const involvesReference = [source, line.node].includes(reference);
    const original = involvesReference
      ? findOriginalLine(lines, line, source)
      : undefined;
    if (!original) continue;
    const aheadMs = line.atMs - original.atMs;
    const other = source === reference ? line.node : source;
    const offsetMs = source === reference ? aheadMs : -aheadMs;
    samples.set(other, [...(samples.get(other) ?? []), offsetMs]);
  }
  const offsets = [...samples].map(([node, values]): [string, number] => [
    node,
    median(values),
  ]);
  return new Map(offsets.filter(([, ms]) => Math.abs(ms) >= MIN_OFFSET_MS));
}

/** Returns the line of `source` about the same event that is nearest in time. */
function findOriginalLine(
  lines: readonly LogLine[],
  reported: LogLine,
  source: string,
): LogLine | undefined {
  let nearest: LogLine | undefined;
  let nearestMs = MAX_MATCH_DISTANCE_MS;
  for (const line of lines) {
    const isSameEvent =
      line.node === source &&
      line.message === reported.message &&
      line.fields.peer === reported.fields.peer &&
      line.fields.source === undefined;
    const distanceMs = Math.abs(reported.atMs - line.atMs);
    if (!isSameEvent || distanceMs >= nearestMs) continue;
    nearest = line;
    nearestMs = distanceMs;
  }
  return nearest;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
