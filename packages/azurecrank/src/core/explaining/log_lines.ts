/** Parses log lines, of any number of processes. Pure functions. */

/** A line as a process wrote it. */
export interface LogLine {
  /** Unix time in milliseconds, by the clock of the process's host. */
  readonly atMs: number;
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface ParsedLog {
  readonly lines: readonly LogLine[];
  /** Number of lines that are not log lines, for example of other programs. */
  readonly unreadableCount: number;
}

/** Parses a log. Lines may have a prefix, as log collectors add it. */
export function parseLog(text: string): ParsedLog {
  const lines: LogLine[] = [];
  let unreadableCount = 0;
  for (const line of text.split('\n')) {
    if (line.trim() === '') continue;
    const parsed = parseLogLine(line);
    if (parsed) lines.push(parsed);
    else unreadableCount++;
  }
  return {lines, unreadableCount};
}

function parseLogLine(line: string): LogLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  const fields = parseObject(line.slice(start));
  if (!fields) return undefined;
  const {time, node, message} = fields;
  const atMs = Date.parse(String(time));
  if (typeof node !== 'string' || typeof message !== 'string') return undefined;
  return Number.isNaN(atMs) ? undefined : {atMs, node, message, fields};
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === 'object' && value !== null;
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Returns the id of the request that the line belongs to, if any. Processes name
 * the field `request` or `requestId`.
 */
export function requestIdOf({fields}: LogLine): string | undefined {
  const id = fields.request ?? fields.requestId;
  return typeof id === 'string' ? id : undefined;
}
