/**
 * Finds paths on which all streams fell silent together. That shows the loss
 * of a server well before a single stream would be taken as silent, and before
 * the lagging reports of servers tell it. Pure.
 */
import type {ServerAddress} from '../fleet/backend_server.js';
import type {ServerPath} from '../paths/server_path.js';

export interface StreamProgress {
  readonly path: ServerPath;
  /** Time of the last event, or of the last change of the path. */
  readonly sinceMs: number;
  /** Time of the last event on this path; undefined before the first. */
  readonly eventAtMs?: number | undefined;
}

/**
 * Whether a stream that passes the server had an event since then. Such a
 * server lives, whatever probes say: their answers get lost on bad links.
 */
export function hasProgress(
  streams: Iterable<StreamProgress>,
  address: ServerAddress,
  sinceMs: number,
): boolean {
  for (const {path, eventAtMs = -Infinity} of streams) {
    if (eventAtMs < sinceMs) continue;
    if (path.some(({server}) => server.address === address)) return true;
  }
  return false;
}

/**
 * Silence of several streams after which their path is examined. Events of one
 * stream come every 30 to 100 ms under load, those of three or more together
 * much more often; a pause of up to 200 ms is still on time.
 */
const SILENCE_OF_SEVERAL_MS = 60;
const SEVERAL = 3;

/** The same for one or two streams. */
const SILENCE_OF_FEW_MS = 150;

/** Returns one path for each first server whose streams are all silent. */
export function silentPaths(
  streams: Iterable<StreamProgress>,
  nowMs: number,
): ServerPath[] {
  const groups = new Map<
    ServerAddress,
    {path: ServerPath; count: number; lastMs: number}
  >();
  for (const {path, sinceMs} of streams) {
    const first = path[0].server.address;
    const group = groups.get(first);
    if (!group) {
      groups.set(first, {path, count: 1, lastMs: sinceMs});
      continue;
    }
    group.count++;
    group.lastMs = Math.max(group.lastMs, sinceMs);
  }
  return [...groups.values()]
    .filter(({count, lastMs}) => {
      const limitMs =
        count >= SEVERAL ? SILENCE_OF_SEVERAL_MS : SILENCE_OF_FEW_MS;
      return nowMs - lastMs >= limitMs;
    })
    .map(({path}) => path);
}
