/**
 * Decides which suspects explain the crashes. A server takes all its requests
 * along when it ends, so most suspects of a crash are neighbours of the request
 * that caused it. Pure.
 */
import type {CrashId, Suspect} from './crash_evidence.js';
import {kindOf, type SuspectKey} from './suspect_key.js';

/** A suspect that is blamed for crashes. */
export interface BlamedSuspect {
  readonly key: SuspectKey;
  /** Number of crashes beyond those for which it is blamed. */
  readonly excessCrashes: number;
  readonly lastCrashAtMs: number;
}

/**
 * Crashes within this time are not independent: the servers may have ended for
 * the same other reason, such as a rack that lost power.
 */
const SAME_CAUSE_MS = 300;

/** Number of crashes from which a suspect without any answer is blamed. */
const MIN_CRASHES = 2;

/** Number of crashes that one cause hardly explains, however close they are. */
const MANY_CRASHES = 3;

/**
 * Number of independent crashes from which a part is blamed whose requests
 * were answered before. A request that was answered before the crashes counts
 * as any other, because each later answer clears it.
 */
const MIN_CRASHES_AFTER_ANSWERS = 4;

/**
 * Number of crashes from which a request is blamed whose stream goes on for a
 * while each time. It is long at servers, so more of them end by chance.
 */
const MIN_CRASHES_WHILE_RUNNING = 3;

/**
 * Time for which a crash does not count yet, so that the reports of all entries
 * that had requests on the server have arrived.
 */
export const CRASH_SETTLE_MS = 250;

/**
 * Returns the suspects that are blamed: those that together explain the crashes,
 * beginning with the one that was seen in most of them. Of several such suspects
 * the last in the prompt is blamed, and the request before its parts, as fewer
 * sound requests share it.
 */
export function blameSuspects(
  suspects: Iterable<Suspect>,
  nowMs: number,
): BlamedSuspect[] {
  let candidates = [...suspects]
    .filter(({crashAtMs}) => crashAtMs.size >= MIN_CRASHES)
    .map(suspect => {
      const crashes = settledCrashes(suspect, nowMs);
      return {suspect, crashes, unexplained: crashes};
    });
  const blamed: BlamedSuspect[] = [];
  for (;;) {
    candidates = candidates.filter(isBlamable);
    const most = Math.max(...candidates.map(c => c.unexplained.length));
    const first = candidates.filter(c => c.unexplained.length === most);
    const depth = Math.max(...first.map(c => c.suspect.depth));
    const chosen = first.filter(c => c.suspect.depth === depth);
    if (chosen.length === 0) return blamed;
    blamed.push(...chosen.map(toBlamedSuspect));
    const explained = new Set(
      chosen.flatMap(c => c.crashes.map(({crash}) => crash)),
    );
    candidates = candidates.map(c => ({
      ...c,
      unexplained: c.unexplained.filter(({crash}) => !explained.has(crash)),
    }));
  }
}

interface Candidate {
  readonly suspect: Suspect;
  readonly crashes: readonly Crash[];
  readonly unexplained: readonly Crash[];
}

function isBlamable({suspect, unexplained}: Candidate): boolean {
  return excessCrashes(suspect, unexplained) >= 0;
}

function toBlamedSuspect({suspect, crashes}: Candidate): BlamedSuspect {
  return {
    key: suspect.key,
    excessCrashes: excessCrashes(suspect, crashes),
    lastCrashAtMs: Math.max(...crashes.map(({atMs}) => atMs)),
  };
}

interface Crash {
  readonly crash: CrashId;
  readonly atMs: number;
}

/** Crashes beyond those for which a suspect is blamed; negative before that. */
function excessCrashes(
  {key, wasAnswered}: Suspect,
  crashes: readonly Crash[],
): number {
  const {length} = crashes;
  const independent = countIndependent(crashes);
  switch (kindOf(key)) {
    case 'running_request':
      return length - MIN_CRASHES_WHILE_RUNNING;
    case 'request': {
      if (length < MIN_CRASHES) return -1;
      const closeCrashes = length >= MANY_CRASHES ? 1 : 0;
      return Math.max(independent - 1, closeCrashes);
    }
    case 'prompt_part':
      if (wasAnswered) return independent - MIN_CRASHES_AFTER_ANSWERS;
      return length < MIN_CRASHES ? -1 : independent - 1;
  }
}

function settledCrashes({crashAtMs}: Suspect, nowMs: number): Crash[] {
  return [...crashAtMs]
    .map(([crash, atMs]) => ({crash, atMs}))
    .filter(({atMs}) => nowMs - atMs >= CRASH_SETTLE_MS)
    .sort((a, b) => a.atMs - b.atMs);
}

/** Counts crashes, but those that follow each other at once only once. */
function countIndependent(crashes: readonly Crash[]): number {
  let count = 0;
  let beganAtMs = -Infinity;
  for (const {atMs} of crashes) {
    if (atMs - beganAtMs < SAME_CAUSE_MS) continue;
    beganAtMs = atMs;
    count++;
  }
  return count;
}
