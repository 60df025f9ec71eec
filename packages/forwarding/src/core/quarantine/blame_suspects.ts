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

/**
 * Number of crashes within that time of which one is taken for independent: a
 * request that is sent often ends all servers of a small service so fast.
 */
const MANY_CLOSE_CRASHES = 3;

/**
 * Number of independent crashes from which a part is blamed whose requests
 * were answered before. A request that was answered before the crashes counts
 * as any other, because each later answer clears it.
 */
const MIN_CRASHES_AFTER_ANSWERS = 4;

/** Number of crashes from which others no longer excuse a request. */
const MIN_CRASHES_BY_ITSELF = 3;

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
  const all: Candidate[] = [...suspects]
    .filter(({crashAtMs}) => crashAtMs.size >= MIN_CRASHES)
    .map(suspect => {
      const crashes = settledCrashes(suspect, nowMs);
      return {suspect, crashes, unexplained: crashes};
    });
  const blamed = new Map<SuspectKey, BlamedSuspect>();
  const blame = (candidate: Candidate) =>
    blamed.set(candidate.suspect.key, toBlamedSuspect(candidate));
  let candidates = all.filter(isBlamable);
  while (candidates.length > 0) {
    const most = Math.max(...candidates.map(c => c.unexplained.length));
    const first = candidates.filter(c => c.unexplained.length === most);
    const depth = Math.max(...first.map(c => c.suspect.depth));
    const chosen = first.filter(c => c.suspect.depth === depth);
    chosen.forEach(blame);
    candidates = withoutExplained(candidates, chosen).filter(isBlamable);
  }
  all.filter(isBlamedByItself).forEach(blame);
  return [...blamed.values()];
}

/** Takes the crashes of those that are blamed from the others. */
function withoutExplained(
  candidates: readonly Candidate[],
  blamed: readonly Candidate[],
): Candidate[] {
  const explained = new Set(
    blamed.flatMap(({crashes}) => crashes.map(({crash}) => crash)),
  );
  return candidates.map(candidate => ({
    ...candidate,
    unexplained: candidate.unexplained.filter(
      ({crash}) => !explained.has(crash),
    ),
  }));
}

interface Candidate {
  readonly suspect: Suspect;
  readonly crashes: readonly Crash[];
  readonly unexplained: readonly Crash[];
}

function isBlamable({suspect, unexplained}: Candidate): boolean {
  return excessCrashes(suspect, unexplained) >= 0;
}

/**
 * Whether a suspect is blamed even if others explain all its crashes. Two
 * requests that end servers are often at the same ones.
 */
function isBlamedByItself({suspect, crashes}: Candidate): boolean {
  return (
    kindOf(suspect.key) === 'request' && crashes.length >= MIN_CRASHES_BY_ITSELF
  );
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
    case 'request':
      if (length < MIN_CRASHES) return -1;
      return independent + countLargeBursts(crashes) - 1;
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
  return burstSizes(crashes).length;
}

function countLargeBursts(crashes: readonly Crash[]): number {
  const isLarge = (size: number) => size >= MANY_CLOSE_CRASHES;
  return burstSizes(crashes).filter(isLarge).length;
}

/** Numbers of crashes that follow each other at once. */
function burstSizes(crashes: readonly Crash[]): number[] {
  const sizes: number[] = [];
  let beganAtMs = -Infinity;
  for (const {atMs} of crashes) {
    if (atMs - beganAtMs < SAME_CAUSE_MS) {
      sizes[sizes.length - 1]++;
      continue;
    }
    beganAtMs = atMs;
    sizes.push(1);
  }
  return sizes;
}
