/**
 * What happened to one request, in order over all processes: its own lines,
 * and the lines that say what the deciding processes knew. Pure.
 */
import {clockOffsets} from './clock_offsets.js';
import {requestOf, type LogLine} from './log_lines.js';

export interface StoryEvent {
  /** Since the first line of the request, by the clock of its entry. */
  readonly sinceMs: number;
  readonly node: string;
  readonly message: string;
  /** Whether the line is the request's own; the others are what was known. */
  readonly isOwn: boolean;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface RequestStory {
  readonly request: string;
  /** The process that the caller reached. */
  readonly node: string;
  readonly events: readonly StoryEvent[];
  /** The line that ended the request. */
  readonly end: StoryEvent | undefined;
  readonly missing: readonly string[];
  /** Milliseconds by which other clocks are ahead of the entry's. */
  readonly clockOffsetsMs: Readonly<Record<string, number>>;
}

/** Lines that end a request. */
const ENDS = new Set([
  'stream completed',
  'stream cut',
  'stream failed at the server',
  'call answered',
  'request refused',
  'caller left',
]);

/** Lines about servers that a request's lines name. */
const SERVER_MESSAGES = new Set([
  'server suspected',
  'server answers again',
  'server refuses requests',
  'server takes requests again',
  'server has another pace',
  'suspicion is not shared by events',
  'layers ordered',
  'order was not given',
]);

const LOSSES = new Set([
  'server suspected',
  'server refuses requests',
  'server has another pace',
]);

/** Lines about the entry itself and what it depends on. */
const ENTRY_MESSAGES = new Set([
  'starting',
  'leaving',
  'stopped',
  'routing table in force',
  'store is lost',
  'store is back',
  'log lines left out',
]);

/** What happened this long before the request may have decided it. */
const BEFORE_MS = 10_000;

const AFTER_MS = 500;

const CHAINS = 'chains in use';

/** Returns undefined if no line names the request. */
export function requestStory(
  request: string,
  lines: readonly LogLine[],
): RequestStory | undefined {
  const own = lines.filter(line => requestOf(line) === request);
  if (own.length === 0) return undefined;
  const {node} = own[0];
  const offsets = clockOffsets(lines, node);
  const timeOf = (line: LogLine) => line.atMs - (offsets.get(line.node) ?? 0);
  const sorted = [...own].sort((a, b) => timeOf(a) - timeOf(b));
  const beginMs = timeOf(sorted[0]) - durationMs(sorted[0]);
  const endMs = timeOf(sorted[sorted.length - 1]);
  const isNear = (line: LogLine) =>
    timeOf(line) >= beginMs - BEFORE_MS && timeOf(line) <= endMs + AFTER_MS;
  const near = lines.filter(isNear);
  const servers = addressesIn(sorted);
  const wantsRoom = sorted.some(isForWantOfRoom);
  const known = near.filter(
    line =>
      isKnowledge(line, node, servers) || (wantsRoom && isLossOfRoom(line)),
  );
  const chains = chainsKnown(lines, node, timeOf, beginMs, endMs);
  const toEvent = (line: LogLine): StoryEvent => ({
    sinceMs: timeOf(line) - beginMs,
    node: line.node,
    message: line.message,
    isOwn: requestOf(line) === request,
    fields: withoutHeader(line.fields),
  });
  const events = [...sorted, ...known, ...chains]
    .map(toEvent)
    .sort((a, b) => a.sinceMs - b.sinceMs || Number(b.isOwn) - Number(a.isOwn));
  const end = events.find(({isOwn, message}) => isOwn && ENDS.has(message));
  return {
    request,
    node,
    events,
    end,
    missing: findMissing(end, events, lines, node),
    clockOffsetsMs: Object.fromEntries(offsets),
  };
}

/** Lines of ends tell how long the request has taken. */
function durationMs({fields}: LogLine): number {
  return typeof fields.durationMs === 'number' ? fields.durationMs : 0;
}

const ROOM_REASONS = new Set(['deadline_unreachable', 'no_chain']);

function isForWantOfRoom({message, fields}: LogLine): boolean {
  return message === 'stream cut' || ROOM_REASONS.has(String(fields.reason));
}

/** First reports of servers that were lost to all chains. */
function isLossOfRoom({message, fields}: LogLine): boolean {
  return LOSSES.has(message) && fields.source === undefined;
}

function isKnowledge(
  line: LogLine,
  node: string,
  servers: ReadonlySet<string>,
): boolean {
  const {message, fields} = line;
  if (ENTRY_MESSAGES.has(message)) return line.node === node;
  return SERVER_MESSAGES.has(message) && servers.has(String(fields.peer));
}

/** The chains that the entry knew when the request came, and changes since. */
function chainsKnown(
  lines: readonly LogLine[],
  node: string,
  timeOf: (line: LogLine) => number,
  beginMs: number,
  endMs: number,
): LogLine[] {
  const own = lines.filter(l => l.node === node && l.message === CHAINS);
  const before = own.filter(line => timeOf(line) <= beginMs);
  const during = own.filter(
    line => timeOf(line) > beginMs && timeOf(line) <= endMs,
  );
  return [...before.slice(-1), ...during];
}

const ADDRESS = /\d+\.\d+\.\d+\.\d+:\d+/g;

function addressesIn(lines: readonly LogLine[]): ReadonlySet<string> {
  return new Set(
    lines.flatMap(({fields}) => JSON.stringify(fields).match(ADDRESS) ?? []),
  );
}

function withoutHeader(
  fields: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  const {time, level, node, message, request, requestId, ...rest} = fields;
  void [time, level, node, message, request, requestId];
  return rest;
}

function findMissing(
  end: StoryEvent | undefined,
  events: readonly StoryEvent[],
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
  const logged = new Set(lines.map(line => line.node));
  const sources = events
    .filter(({message}) => SERVER_MESSAGES.has(message))
    .flatMap(({fields: {source}}) => (source === undefined ? [] : [source]));
  for (const source of new Set(sources.map(String))) {
    if (!logged.has(source)) missing.push(`all lines of ${source}`);
  }
  return missing;
}
