/** Reads log lines of any number of processes. Pure. */

/** One line as a process wrote it. */
export interface LogLine {
  /** Unix time in milliseconds by the clock of its host. */
  readonly atMs: number;
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface LogText {
  readonly lines: readonly LogLine[];
  /** Lines that are no log lines, for example of another program. */
  readonly unreadable: number;
}

/** Lines may have a prefix, as collectors of logs write them. */
export function readLogText(text: string): LogText {
  const lines: LogLine[] = [];
  let unreadable = 0;
  for (const line of text.split('\n')) {
    if (line.trim() === '') continue;
    const parsed = readLogLine(line);
    if (parsed) lines.push(parsed);
    else unreadable++;
  }
  return {lines, unreadable};
}

function readLogLine(line: string): LogLine | undefined {
  const begin = line.indexOf('{');
  if (begin < 0) return undefined;
  const fields = parseObject(line.slice(begin));
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

/** The request that the line is about, if it is about one. */
export function requestOf({fields}: LogLine): string | undefined {
  const id = fields.request ?? fields.requestId;
  return typeof id === 'string' ? id : undefined;
}
