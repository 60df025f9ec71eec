/**
 * Decides which suspect parts explain the crashes. A server takes all its
 * requests along when it ends, so most parts that are seen in a crash are those
 * of neighbours. Pure.
 */
import type {CrashId, SuspectKey, Suspect} from './crash_evidence.js';

/** A part that is blamed for crashes. */
export interface BlamedSuspect {
  readonly key: SuspectKey;
  /** Number of independent crashes beyond those for which it is blamed. */
  readonly excessCrashes: number;
  readonly lastCrashAtMs: number;
}

/**
 * Crashes within this time are not independent: the servers may have ended for
 * the same other reason, such as a rack that lost power.
 */
const SAME_CAUSE_MS = 300;

/** Number of crashes from which a part without any answer is blamed. */
const MIN_CRASHES = 2;

/**
 * Number of independent crashes from which a part is blamed whose requests
 * were answered before.
 */
const MIN_CRASHES_AFTER_ANSWERS = 4;

/**
 * Time for which a crash does not count yet, so that the reports of all entries
 * that had requests on the server have arrived.
 */
export const CRASH_SETTLE_MS = 250;

/**
 * Returns the parts that are blamed: those that together explain the crashes,
 * beginning with the part that was seen in most of them. Of several such parts
 * the last in the prompt is blamed, as fewer sound requests share it.
 */
export function blameSuspects(
  suspects: Iterable<Suspect>,
  nowMs: number,
): BlamedSuspect[] {
  let candidates = [...suspects].map(part => {
    const crashes = settledCrashes(part, nowMs);
    return {part, crashes, unexplained: crashes};
  });
  const blamed: BlamedSuspect[] = [];
  for (;;) {
    candidates = candidates.filter(isBlamable);
    const most = Math.max(...candidates.map(c => c.unexplained.length));
    const first = candidates.filter(c => c.unexplained.length === most);
    const depth = Math.max(...first.map(c => c.part.depth));
    const chosen = first.filter(c => c.part.depth === depth);
    if (chosen.length === 0) return blamed;
    blamed.push(...chosen.map(toBlamedPart));
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
  readonly part: Suspect;
  readonly crashes: readonly Crash[];
  readonly unexplained: readonly Crash[];
}

function isBlamable({part, unexplained}: Candidate): boolean {
  return part.wasAnswered
    ? countIndependent(unexplained) >= MIN_CRASHES_AFTER_ANSWERS
    : unexplained.length >= MIN_CRASHES;
}

function toBlamedPart({part, crashes}: Candidate): BlamedSuspect {
  const minIndependent = part.wasAnswered ? MIN_CRASHES_AFTER_ANSWERS : 1;
  return {
    key: part.key,
    excessCrashes: countIndependent(crashes) - minIndependent,
    lastCrashAtMs: Math.max(...crashes.map(({atMs}) => atMs)),
  };
}

interface Crash {
  readonly crash: CrashId;
  readonly atMs: number;
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
