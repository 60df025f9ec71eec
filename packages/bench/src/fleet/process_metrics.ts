/** Reads the metrics and the CPU time of processes. */
import {readFileSync} from 'node:fs';
import {request} from 'undici';

/** Unit of the CPU times in `/proc` on Linux. */
const CLOCK_TICKS_PER_S = 100;
/**
 * Index of the user time in `/proc/PID/stat` among the fields after the process
 * name; the system time is the next field.
 */
const USER_TIME_FIELD_INDEX = 11;

/** Returns the values of all series of a process, by name with labels. */
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

/** Returns the sum of all series of a metric. */
export function sumOfSeries(
  metrics: ReadonlyMap<string, number>,
  name: string,
): number {
  return [...metrics]
    .filter(([key]) => key === name || key.startsWith(`${name}{`))
    .reduce((sum, [, value]) => sum + value, 0);
}

/** Returns the user and system CPU time of a process since its start. */
export function readCpuTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name, in parentheses, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_FIELD_INDEX]) +
    Number(fields[USER_TIME_FIELD_INDEX + 1]);
  return (ticks * 1000) / CLOCK_TICKS_PER_S;
}
