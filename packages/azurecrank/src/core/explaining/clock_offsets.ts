/**
 * How far the clocks of hosts differ, from what they tell each other: a line
 * with a `source` follows the line of that process about the same server
 * within a few milliseconds. Pure.
 */
import type {LogLine} from './log_lines.js';

/** Lines further apart than this are about different events. */
const MAX_DISTANCE_MS = 10_000;

/** Smaller differences do not change the order of decisions. */
const LEAST_OFFSET_MS = 50;

/**
 * Milliseconds by which the clock of each process is ahead of that of
 * `reference`; processes that share no event with it are left out.
 */
export function clockOffsets(
  lines: readonly LogLine[],
  reference: string,
): ReadonlyMap<string, number> {
  const samples = new Map<string, number[]>();
  const told = lines.filter(({fields}) => typeof fields.source === 'string');
  for (const line of told) {
    const source = String(line.fields.source);
    const isAbout = [source, line.node].includes(reference);
    const origin = isAbout ? originOf(lines, line, source) : undefined;
    if (!origin) continue;
    const aheadMs = line.atMs - origin.atMs;
    const other = source === reference ? line.node : source;
    const offsetMs = source === reference ? aheadMs : -aheadMs;
    samples.set(other, [...(samples.get(other) ?? []), offsetMs]);
  }
  const offsets = [...samples].map(([node, values]): [string, number] => [
    node,
    median(values),
  ]);
  return new Map(offsets.filter(([, ms]) => Math.abs(ms) >= LEAST_OFFSET_MS));
}

/** The nearest line of the source about the same server. */
function originOf(
  lines: readonly LogLine[],
  told: LogLine,
  source: string,
): LogLine | undefined {
  let nearest: LogLine | undefined;
  let nearestMs = MAX_DISTANCE_MS;
  for (const line of lines) {
    const isSame =
      line.node === source &&
      line.message === told.message &&
      line.fields.peer === told.fields.peer &&
      line.fields.source === undefined;
    const distanceMs = Math.abs(told.atMs - line.atMs);
    if (!isSame || distanceMs >= nearestMs) continue;
    nearest = line;
    nearestMs = distanceMs;
  }
  return nearest;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
