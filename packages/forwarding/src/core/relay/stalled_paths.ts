/**
 * Detects paths on which all streams stalled at the same time. This reveals
 * the loss of a server well before a single stream would count as stalled, and
 * before the servers' own reports, which lag, mention it. Pure.
 */
import type {ServerAddress} from '../fleet/backend_server.js';
import type {ServerPath} from '../paths/server_path.js';

export interface StreamProgress {
  readonly path: ServerPath;
  /** Time of the last event or of the last path change, whichever is later. */
  readonly sinceMs: number;
  /** Time of the last event on this path; undefined before the first. */
  readonly eventAtMs?: number | undefined;
}

/**
 * Whether a stream that passes through the server had an event since the given
 * time. Such a server is alive even if probes of it fail: on lossy links their
 * responses get lost.
 */
export function hasEventSince(
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
 * Time without an event on any of several streams after which their path
 * counts as stalled. Under load one stream has an event every 30 to 100 ms and
 * three or more together have one much more often; pauses of up to 200 ms still
 * meet the target.
 */
const MANY_STREAMS_STALL_THRESHOLD_MS = 60;

/** Minimum number of streams for `MANY_STREAMS_STALL_THRESHOLD_MS`. */
const MIN_MANY_STREAMS = 3;

/** Stall threshold of a path with fewer streams than that. */
const FEW_STREAMS_STALL_THRESHOLD_MS = 150;

/** Returns one path for each first server whose streams are all stalled. */
export function findStalledPaths(
  streams: Iterable<StreamProgress>,
  nowMs: number,
): ServerPath[] {
  const groups = new Map<
    ServerAddress,
    {path: ServerPath; count: number; latestMs: number}
  >();
  for (const {path, sinceMs} of streams) {
    const first = path[0].server.address;
    const group = groups.get(first);
    if (!group) {
      groups.set(first, {path, count: 1, latestMs: sinceMs});
      continue;
    }
    group.count++;
    group.latestMs = Math.max(group.latestMs, sinceMs);
  }
  return [...groups.values()]
    .filter(({count, latestMs}) => {
      const thresholdMs =
        count >= MIN_MANY_STREAMS
          ? MANY_STREAMS_STALL_THRESHOLD_MS
          : FEW_STREAMS_STALL_THRESHOLD_MS;
      return nowMs - latestMs >= thresholdMs;
    })
    .map(({path}) => path);
}
