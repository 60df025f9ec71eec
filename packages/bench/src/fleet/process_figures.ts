/** What processes tell about themselves: metrics and processor time. */
import {readFileSync} from 'node:fs';
import {request} from 'undici';

/** Ticks per second of the counters in `/proc` on Linux. */
const TICKS_PER_S = 100;
const USER_TIME_FIELD = 11;

/** Returns all series of a metrics page by their full names. */
export async function readMetrics(
  httpUrl: string,
): Promise<Map<string, number>> {
  const response = await request(`${httpUrl}/metrics`);
  const text = await response.body.text();
  const series = text
    .split('\n')
    .filter(line => line !== '' && !line.startsWith('#'))
    .map(line => {
      const end = line.lastIndexOf(' ');
      return [line.slice(0, end), Number(line.slice(end + 1))] as const;
    });
  return new Map(series);
}

/** Sum of the series of one family. */
export function sumOf(
  metrics: ReadonlyMap<string, number>,
  name: string,
): number {
  return [...metrics]
    .filter(([key]) => key === name || key.startsWith(`${name}{`))
    .reduce((sum, [, value]) => sum + value, 0);
}

/** Processor time of a process so far, in milliseconds. */
export function processorMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name in parentheses may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
  return (ticks * 1000) / TICKS_PER_S;
}
