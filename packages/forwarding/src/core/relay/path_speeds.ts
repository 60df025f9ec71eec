/**
 * How fast events come from each chain, against what its servers should do.
 * Pure; times are arguments.
 */
import type {ServerAddress} from '../fleet/backend_server.js';
import {toChain} from '../paths/find_chains.js';
import type {ServerPath} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';

/** Weight of a new interval in the mean. */
const WEIGHT = 0.05;

/** Intervals after which the mean is looked at. */
const LEAST_INTERVALS = 40;

/** Longer intervals are pauses with another cause. */
const LONGEST_MS = 150;

/** A chain is slow at this multiple of the time that it should take. */
const SLOW_FACTOR = 1.6;

/** Tokens in an event (the users' sheets). */
const TOKENS_PER_EVENT = 2;

/** Requests that usually share a batch; each adds to its step. */
const USUAL_BATCH = 40;

/** Time of one token between two servers of a zone. */
const HOP_MS = 0.3;

interface Speed {
  readonly meanMs: number;
  readonly intervals: number;
}

export class PathSpeeds {
  private readonly speeds = new Map<ServerAddress, Speed>();

  /** Returns whether enough is known to look at the path. */
  note(first: ServerAddress, givenMs: number): boolean {
    const intervalMs = Math.min(givenMs, LONGEST_MS);
    const known = this.speeds.get(first);
    const {meanMs, intervals} = known ?? {meanMs: intervalMs, intervals: 0};
    this.speeds.set(first, {
      meanMs: meanMs + WEIGHT * (intervalMs - meanMs),
      intervals: intervals + 1,
    });
    return (intervals + 1) % LEAST_INTERVALS === 0;
  }

  /** The path has changed or was examined. */
  forget(first: ServerAddress): void {
    this.speeds.delete(first);
  }

  isSlow(model: ModelSpec, path: ServerPath): boolean {
    const speed = this.speeds.get(path[0].server.address);
    if (!speed) return false;
    return speed.meanMs > SLOW_FACTOR * expectedIntervalMs(model, path);
  }
}

/** Time between two events of one stream in a usual batch. */
export function expectedIntervalMs(model: ModelSpec, path: ServerPath): number {
  const batchMs = model.stepPerSequenceMs * USUAL_BATCH;
  const {stepMs} = toChain(model, path);
  const loadedMs = stepMs * (1 + batchMs / model.stepMs);
  return TOKENS_PER_EVENT * (loadedMs + HOP_MS * path.length);
}
