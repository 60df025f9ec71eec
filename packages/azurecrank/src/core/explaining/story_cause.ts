/** The cause of how a request ended, in one or a few sentences. Pure. */
import type {RequestStory, StoryEvent} from './request_story.js';

/** Longest chain of reasons that is worth reading. */
const MOST_LOSSES = 4;

export function storyCause(story: RequestStory): string[] {
  const {end} = story;
  if (!end) return ['not known: the line that ends the request is missing'];
  switch (end.message) {
    case 'request refused':
      return refusalCause(story, end);
    case 'stream cut':
      return [
        `its server was lost and no chain had room in time (${text(end, 'cause')})`,
        ...movesOf(story),
        ...lossesOf(story),
      ];
    case 'stream failed at the server':
      return [`a server answered with status ${text(end, 'status')}`];
    case 'caller left':
      return [
        'the caller closed its channel' + silence(end),
        ...movesOf(story),
        ...lossesOf(story),
      ];
    case 'call answered':
      return [
        `answered by ${text(end, 'peer')} with status ${text(end, 'status')} ` +
          `after ${text(end, 'durationMs')} ms`,
        ...movesOf(story),
      ];
    default:
      return [
        `served: first event after ${text(end, 'firstEventMs')} ms, longest ` +
          `pause ${text(end, 'longestPauseMs')} ms`,
        ...movesOf(story),
        ...lossesOf(story),
      ];
  }
}

function refusalCause(story: RequestStory, end: StoryEvent): string[] {
  const ran = text(end, 'ran') === 'unknown' ? 'may have run' : 'has not run';
  const peer = text(end, 'peer');
  const at = peer ? ` at ${peer}` : '';
  const detail = text(end, 'detail');
  const first =
    `refused with ${text(end, 'reason')} in step ${text(end, 'step')}${at}` +
    `${detail ? `: ${detail}` : ''}; it ${ran}`;
  const isForRoom = text(end, 'step') === 'queue';
  return [
    first,
    ...movesOf(story),
    ...(isForRoom ? [chainsOf(story), ...lossesOf(story)] : []),
  ];
}

/** The chains that the entry knew at the end. */
function chainsOf({events, end}: RequestStory): string {
  const known = events.filter(
    ({message, sinceMs}) =>
      message === 'chains in use' && sinceMs <= (end?.sinceMs ?? Infinity),
  );
  const last = known[known.length - 1];
  if (!last) return 'no line says which chains the entry knew';
  const chains = Array.isArray(last.fields.chains) ? last.fields.chains : [];
  const rooms = chains.map(chain => String(chain).split(':')[0]);
  const ageMs = Math.round((end?.sinceMs ?? 0) - last.sinceMs);
  return chains.length > 0
    ? `known ${ageMs} ms before: ${chains.length} chains (${rooms.join(', ')})`
    : `known ${ageMs} ms before: no chain`;
}

function movesOf({events}: RequestStory): string[] {
  return events
    .filter(({isOwn}) => isOwn)
    .flatMap(event => {
      switch (event.message) {
        case 'stream looks for another chain':
          return [`left ${text(event, 'lost')}: ${text(event, 'cause')}`];
        case 'stream resumed':
          return ['went on at another chain'];
        case 'stream moved to another path':
          return [`moved to another path: ${text(event, 'outcome')}`];
        case 'call retried':
          return [`sent again: ${text(event, 'cause')}`];
        default:
          return [];
      }
    });
}

const LOSSES = new Set([
  'server suspected',
  'server refuses requests',
  'server has another pace',
]);

/** The first report of each server that was lost, the latest ones. */
function lossesOf({events, end}: RequestStory): string[] {
  const first = new Map<string, StoryEvent>();
  for (const event of events) {
    const peer = text(event, 'peer');
    const isFirst = LOSSES.has(event.message) && !first.has(peer);
    if (isFirst && event.fields.source === undefined) first.set(peer, event);
  }
  return [...first.values()].slice(-MOST_LOSSES).map(event => {
    const beforeMs = Math.round((end?.sinceMs ?? 0) - event.sinceMs);
    const cause = text(event, 'cause') || text(event, 'pace');
    return (
      `${beforeMs} ms before the end ${event.node} found: ` +
      `${event.message} ${text(event, 'peer')}${cause ? ` (${cause})` : ''}`
    );
  });
}

function silence(end: StoryEvent): string {
  const silentMs = text(end, 'silentMs');
  return silentMs ? ` after ${silentMs} ms without an event` : '';
}

function text({fields}: StoryEvent, field: string): string {
  const value = fields[field];
  return value === undefined || value === null ? '' : String(value);
}
