/** `azurecrank explain ID --logs FILE...`: explains what happened to a request. */
import {parseLog, type LogLine} from '../../core/explaining/log_lines.js';
import {
  buildTimeline,
  type RequestTimeline,
  type TimelineEvent,
} from '../../core/explaining/request_timeline.js';
import {explainOutcome} from '../../core/explaining/request_outcome.js';
import {readFile, type CommandResult} from '../common.js';
import {ExitCode} from '../exit_codes.js';

/** File argument that stands for standard input. */
const STANDARD_INPUT = '-';
const STANDARD_INPUT_PATH = '/dev/stdin';

/** Longer values of fields, such as paths, are truncated in the text. */
const MAX_VALUE_CHARS = 160;

export function explainRequest(
  request: string,
  files: readonly string[],
): CommandResult {
  const lines: LogLine[] = [];
  let unreadableCount = 0;
  for (const file of files) {
    const path = file === STANDARD_INPUT ? STANDARD_INPUT_PATH : file;
    const read = readFile(path);
    if (read.kind === 'failed') return read.result;
    const log = parseLog(read.text);
    for (const line of log.lines) lines.push(line);
    unreadableCount += log.unreadableCount;
  }
  const timeline = buildTimeline(request, lines);
  if (!timeline) {
    const message =
      `no line of ${lines.length} names request ${request}` +
      ` (${unreadableCount} lines are no log lines); give the logs of all entries`;
    const json = {outcome: 'unknown_request', message};
    return {exitCode: ExitCode.notKnown, json, text: message};
  }
  const cause = explainOutcome(timeline);
  return {
    exitCode: ExitCode.ok,
    json: {...timeline, cause, unreadableLines: unreadableCount},
    text: formatTimeline(timeline, cause),
  };
}

function formatTimeline(
  timeline: RequestTimeline,
  cause: readonly string[],
): string {
  const offsets = Object.entries(timeline.clockOffsetsMs).map(
    ([node, ms]) => `the clock of ${node} is ${Math.round(ms)} ms ahead`,
  );
  return [
    `request ${timeline.request} at ${timeline.node}`,
    ...timeline.events.map(formatEvent),
    ...timeline.missing.map(what => `missing: ${what}`),
    ...offsets.map(offset => `corrected: ${offset}`),
    `cause: ${cause[0]}`,
    ...cause.slice(1).map(reason => `  ${reason}`),
  ].join('\n');
}

function formatEvent(event: TimelineEvent): string {
  const {sinceMs, node, message, isOwn, fields} = event;
  const values = Object.entries(fields)
    .filter(([, value]) => value !== '' && value !== undefined)
    .map(([name, value]) => `${name}=${truncate(value)}`);
  const ownMark = isOwn ? '*' : ' ';
  const at = `${Math.round(sinceMs)} ms`.padStart(10);
  return `${ownMark}${at}  ${node}  ${message}  ${values.join(' ')}`.trimEnd();
}

function truncate(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return text.length > MAX_VALUE_CHARS
    ? `${text.slice(0, MAX_VALUE_CHARS)}…`
    : text;
}
