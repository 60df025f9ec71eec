/** Explains in a few sentences why a request ended as it did. Pure functions. */
import type {StreamCutReason} from '@azurecrank/core';
import type {RequestTimeline, TimelineEvent} from './request_timeline.js';

/** Maximum number of lost servers in an explanation; more are not helpful. */
const MAX_LOSSES = 4;

export function explainOutcome(timeline: RequestTimeline): string[] {
  const {end} = timeline;
  if (!end) return ['not known: the line that ends the request is missing'];
  switch (end.message) {
    case 'request refused':
      return explainRefusal(timeline, end);
    case 'stream cut':
      return [
        `its server was lost and ${describeCut(end)} (${fieldText(end, 'cause')})`,
        ...describeRetries(timeline),
        ...describeLosses(timeline),
      ];
    case 'stream failed at the server':
      return [`a server answered with status ${fieldText(end, 'status')}`];
    case 'caller left':
      return [
        'the caller closed its connection' + describeSilence(end),
        ...describeRetries(timeline),
        ...describeLosses(timeline),
      ];
    case 'call answered':
      return [
        `answered by ${fieldText(end, 'peer')} with status ${fieldText(end, 'status')} ` +
          `after ${fieldText(end, 'durationMs')} ms`,
        ...describeRetries(timeline),
      ];
    default:
      return [
        `served: first event after ${fieldText(end, 'firstEventMs')} ms, longest ` +
          `pause ${fieldText(end, 'longestPauseMs')} ms`,
        ...describeRetries(timeline),
        ...describeLosses(timeline),
      ];
  }
}

function explainRefusal(
  timeline: RequestTimeline,
  end: TimelineEvent,
): string[] {
  const ran =
    fieldText(end, 'ran') === 'unknown' ? 'may have run' : 'has not run';
  const peer = fieldText(end, 'peer');
  const at = peer ? ` at ${peer}` : '';
  const detail = fieldText(end, 'detail');
  const first =
    `refused with ${fieldText(end, 'reason')} in step ${fieldText(end, 'step')}${at}` +
    `${detail ? `: ${detail}` : ''}; it ${ran}`;
  const isCapacityRefusal = fieldText(end, 'step') === 'queue';
  return [
    first,
    ...describeRetries(timeline),
    ...(isCapacityRefusal
      ? [describeChains(timeline), ...describeLosses(timeline)]
      : []),
  ];
}

/** Describes the chains that the entry process knew at the end. */
function describeChains({events, end}: RequestTimeline): string {
  const known = events.filter(
    ({message, sinceMs}) =>
      message === 'chains in use' && sinceMs <= (end?.sinceMs ?? Infinity),
  );
  const last = known[known.length - 1];
  if (!last) return 'no line says which chains the entry knew';
  const chains = Array.isArray(last.fields.chains) ? last.fields.chains : [];
  const capacities = chains.map(chain => String(chain).split(':')[0]);
  const ageMs = Math.round((end?.sinceMs ?? 0) - last.sinceMs);
  return chains.length > 0
    ? `known ${ageMs} ms before: ${chains.length} chains (${capacities.join(', ')})`
    : `known ${ageMs} ms before: no chain`;
}

/** Describes how the request was moved or sent again, in order. */
function describeRetries({events}: RequestTimeline): string[] {
  return events
    .filter(({isOwn}) => isOwn)
    .flatMap(event => {
      switch (event.message) {
        case 'stream looks for another chain':
          return [
            `lost server ${fieldText(event, 'lost')}: ${fieldText(event, 'cause')}`,
          ];
        case 'stream resumed':
          return ['resumed on another chain'];
        case 'stream moved to another path':
          return [`moved to another path: ${fieldText(event, 'outcome')}`];
        case 'call retried':
          return [`sent again: ${fieldText(event, 'cause')}`];
        default:
          return [];
      }
    });
}

const LOSS_MESSAGES = new Set([
  'server suspected',
  'server leaves',
  'server refuses requests',
  'server has another pace',
]);

/** Describes the first report about each lost server, for the last of them. */
function describeLosses({events, end}: RequestTimeline): string[] {
  const first = new Map<string, TimelineEvent>();
  for (const event of events) {
    const peer = fieldText(event, 'peer');
    const isFirst = LOSS_MESSAGES.has(event.message) && !first.has(peer);
    if (isFirst && event.fields.source === undefined) first.set(peer, event);
  }
  return [...first.values()].slice(-MAX_LOSSES).map(event => {
    const beforeMs = Math.round((end?.sinceMs ?? 0) - event.sinceMs);
    const cause = fieldText(event, 'cause') || fieldText(event, 'pace');
    return (
      `${beforeMs} ms before the end ${event.node} reported: ` +
      `${event.message} ${fieldText(event, 'peer')}${cause ? ` (${cause})` : ''}`
    );
  });
}

const CUT_DESCRIPTIONS: Readonly<Record<StreamCutReason, string>> = {
  not_resumable: 'it may not be resumed',
  attempts: 'it had been sent to servers as often as allowed',
  deadline: 'no chain had capacity in time',
  quarantined: 'it, or a part of its prompt, ends servers',
  stopping: 'its entry stopped',
};

/** Describes the limit that ended a stream and what the stream waited for. */
function describeCut(end: TimelineEvent): string {
  const endedBy = fieldText(end, 'endedBy') as StreamCutReason;
  const description = CUT_DESCRIPTIONS[endedBy] ?? CUT_DESCRIPTIONS.deadline;
  const waitsFor = fieldText(end, 'waitsFor');
  if (!waitsFor) return description;
  return `${description}, after ${fieldText(end, 'waitedMs')} ms without ${waitsFor}`;
}

function describeSilence(end: TimelineEvent): string {
  const silentMs = fieldText(end, 'silentMs');
  return silentMs ? ` after ${silentMs} ms without an event` : '';
}

function fieldText({fields}: TimelineEvent, field: string): string {
  const value = fields[field];
  return value === undefined || value === null ? '' : String(value);
}
