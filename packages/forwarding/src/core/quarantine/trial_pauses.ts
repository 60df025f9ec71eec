/** How long a blamed suspect gets no trial after a crash. Pure. */
import type {BlamedSuspect} from './blame_suspects.js';
import {kindOf, type SuspectKey, type SuspectKind} from './suspect_key.js';

interface TrialPauses {
  /**
   * By the number of crashes since the suspect was blamed. The last one applies
   * to all further crashes.
   */
  readonly pausesMs: readonly number[];
  /**
   * Fraction of a pause by which it may be longer at an entry. Entries wait
   * differently long, so that hardly two start a trial before they hear of each
   * other.
   */
  readonly maxSpread: number;
}

const TRIAL_PAUSES: Readonly<Record<SuspectKind, TrialPauses>> = {
  prompt_part: {pausesMs: [0, 3000, 10 * 60_000], maxSpread: 0.7},
  // One pause more: a sound request may have been the only work of servers that
  // ended by themselves.
  request: {pausesMs: [0, 3000, 30_000, 10 * 60_000], maxSpread: 0.7},
  // Streams that wait start together when a chain is back.
  running_request: {pausesMs: [3000, 30_000, 10 * 60_000], maxSpread: 2},
};

/** Pauses from this length on are kept in the store. */
export const MIN_STORED_PAUSE_MS = 30_000;

/** Time after the last crash for which a blamed suspect gets no trial. */
export function pauseMs({key, excessCrashes}: BlamedSuspect): number {
  const {pausesMs} = TRIAL_PAUSES[kindOf(key)];
  return pausesMs[Math.min(excessCrashes, pausesMs.length - 1)];
}

export function maxPauseSpread({key}: BlamedSuspect): number {
  return TRIAL_PAUSES[kindOf(key)].maxSpread;
}

export function shortestStoredPauseMs(key: SuspectKey): number {
  const {pausesMs} = TRIAL_PAUSES[kindOf(key)];
  return pausesMs.find(pause => pause >= MIN_STORED_PAUSE_MS) ?? 0;
}
