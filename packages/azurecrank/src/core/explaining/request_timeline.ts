/**
 * Builds the timeline of one request from the logs of all processes: its own
 * lines, and lines that show what the entry process knew when it decided. Pure
 * functions.
 */
import {estimateClockOffsets} from './clock_offsets.js';
import {requestIdOf, type LogLine} from './log_lines.js';

export interface TimelineEvent {
  /** Time since the start of the request, by the clock of its entry process. */
  readonly sinceMs: number;
  readonly node: string;
  readonly message: string;
  /** Whether the line belongs to the request; other lines are context. */
  readonly isOwn: boolean;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface RequestTimeline {
  readonly request: string;
  /** Entry process that received the request. */
  readonly node: string;
  readonly events: readonly TimelineEvent[];
  /** Line that ended the request. */
  readonly end: TimelineEvent | undefined;
  /** Descriptions of lines that the logs lack. */
  readonly missing: readonly string[];
  /** Milliseconds by which other clocks are ahead of the entry process's. */
  readonly clockOffsetsMs: Readonly<Record<string, number>>;
}

/** Messages that end a request. */
const END_MESSAGES = new Set([
  'stream completed',
  'stream cut',
  'stream failed at the server',
  'call answered',
  'request refused',
  'caller left',
]);

/** Messages about servers; context if a line of the request names the server. */
const SERVER_MESSAGES = new Set([
  'server suspected',
  'server answers again',
  'server leaves',
  'server refuses requests',
  'server takes requests again',
  'server has another pace',
  'suspicion is not shared by events',
  'layers ordered',
  'order was not given',
]);

/** Messages about servers that reduce the capacity of chains. */
const CAPACITY_LOSS_MESSAGES = new Set([
  'server suspected',
  'server leaves',
  'server refuses requests',
  'server has another pace',
]);

/** Messages about the entry process and its dependencies. */
const ENTRY_MESSAGES = new Set([
  'starting',
  'leaving',
  'stopped',
  'routing table in force',
  'store is lost',
  'store is back',
  'log lines left out',
]);

/** Events up to this time before the request may have affected it. */
const CONTEXT_BEFORE_MS = 10_000;

/** Context lines up to this time after the last line are included. */
const CONTEXT_AFTER_MS = 500;

const CHAINS_MESSAGE = 'chains in use';

/** Returns the timeline, or undefined if no line names the request. */
export function buildTimeline(
  request: string,
  lines: readonly LogLine[],
): RequestTimeline | undefined {
  const own = lines.filter(line => requestIdOf(line) === request);
  if (own.length === 0) return undefined;
  const {node} = own[0];
  const offsets = estimateClockOffsets(lines, node);
  const timeOf = (line: LogLine) => line.atMs - (offsets.get(line.node) ?? 0);
  const sorted = [...own].sort((a, b) => timeOf(a) - timeOf(b));
  const beginMs = timeOf(sorted[0]) - loggedDurationMs(sorted[0]);
  const endMs = timeOf(sorted[sorted.length - 1]);
  const isNear = (line: LogLine) =>
    timeOf(line) >= beginMs - CONTEXT_BEFORE_MS &&
    timeOf(line) <= endMs + CONTEXT_AFTER_MS;
  const near = lines.filter(isNear);
  const servers = extractAddresses(sorted);
  const lacksCapacity = sorted.some(isCapacityFailure);
  const context = near.filter(
    line =>
      isContext(line, node, servers) || (lacksCapacity && isCapacityLoss(line)),
  );
  const chains = findChainLines(lines, node, timeOf, beginMs, endMs);
  const toEvent = (line: LogLine): TimelineEvent => ({
    sinceMs: timeOf(line) - beginMs,
    node: line.node,
    message: line.message,
    isOwn: requestIdOf(line) === request,
    fields: withoutCommonFields(line.fields),
  });
  const events = [...sorted, ...context, ...chains]
    .map(toEvent)
    .sort((a, b) => a.sinceMs - b.sinceMs || Number(b.isOwn) - Number(a.isOwn));
  const end = events.find(
    ({isOwn, message}) => isOwn && END_MESSAGES.has(message),
  );
  return {
    request,
    node,
    events,
    end,
    missing: findMissing(end, events, lines, node),
    clockOffsetsMs: Object.fromEntries(offsets),
  };
}

/** Returns the duration that a line at the end of a request contains, or 0. */
function loggedDurationMs({fields}: LogLine): number {
  return typeof fields.durationMs === 'number' ? fields.durationMs : 0;
}

/** Reasons of refusals for which no chain had capacity. */
const CAPACITY_CAUSES = new Set(['deadline_unreachable', 'no_chain']);

/** Whether the line ends a request because no chain had capacity. */
function isCapacityFailure({message, fields}: LogLine): boolean {
  return message === 'stream cut' || CAPACITY_CAUSES.has(String(fields.reason));
}

/** Whether the line is a process's own report of a lost server, not a peer's. */
function isCapacityLoss({message, fields}: LogLine): boolean {
  return CAPACITY_LOSS_MESSAGES.has(message) && fields.source === undefined;
}

/** Whether the line shows what the entry process knew about its servers. */
function isContext(
  line: LogLine,
  node: string,
  servers: ReadonlySet<string>,
): boolean {
  const {message, fields} = line;
  if (ENTRY_MESSAGES.has(message)) return line.node === node;
  return SERVER_MESSAGES.has(message) && servers.has(String(fields.peer));
}

/** Returns the chains known when the request arrived, and changes until its end. */
function findChainLines(
  lines: readonly LogLine[],
  node: string,
  timeOf: (line: LogLine) => number,
  beginMs: number,
  endMs: number,
): LogLine[] {
  const own = lines.filter(
    l => l.node === node && l.message === CHAINS_MESSAGE,
  );
  const before = own.filter(line => timeOf(line) <= beginMs);
  const during = own.filter(
    line => timeOf(line) > beginMs && timeOf(line) <= endMs,
  );
  return [...before.slice(-1), ...during];
}

const ADDRESS = /\d+\.\d+\.\d+\.\d+:\d+/g;

function extractAddresses(lines: readonly LogLine[]): ReadonlySet<string> {
  return new Set(
    lines.flatMap(({fields}) => JSON.stringify(fields).match(ADDRESS) ?? []),
  );
}

function withoutCommonFields(
  fields: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  const {time, level, node, message, request, requestId, ...rest} = fields;
  void [time, level, node, message, request, requestId];
  return rest;
}

function findMissing(
  end: TimelineEvent | undefined,
  events: readonly TimelineEvent[],
  lines: readonly LogLine[],
  node: string,
): string[] {
  const missing: string[] = [];
  if (!end) {
    const hasRestarted = events.some(({message}) => message === 'starting');
    missing.push(
      hasRestarted
        ? `the end of the request; ${node} has started again meanwhile`
        : 'the end of the request',
    );
  }
  if (events.some(({message}) => message === 'log lines left out')) {
    missing.push(`lines that ${node} left out because they were too many`);
  }
  const loggingNodes = new Set(lines.map(line => line.node));
  const sources = events
    .filter(({message}) => SERVER_MESSAGES.has(message))
    .flatMap(({fields: {source}}) => (source === undefined ? [] : [source]));
  for (const source of new Set(sources.map(String))) {
    if (!loggingNodes.has(source)) missing.push(`all lines of ${source}`);
  }
  return missing;
}
