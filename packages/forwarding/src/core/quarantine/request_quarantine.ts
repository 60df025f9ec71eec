/**
 * Keeps requests with a part that ends servers away from them. A blamed part
 * gets one request at a time as a trial, after each crash later, over all
 * entries: they report crashes, answers and trials to each other. Pure; times
 * are arguments.
 */
import {
  blameSuspects,
  CRASH_SETTLE_MS,
  type BlamedSuspect,
} from './blame_suspects.js';
import {
  CrashEvidence,
  type CrashId,
  type SuspectKey,
  type Suspect,
} from './crash_evidence.js';

/** Evidence for the other entries; ages are in milliseconds. */
export interface QuarantineReport {
  readonly suspects: readonly SuspectReport[];
  /** Parts that others suspect, with the age of the last answer seen here. */
  readonly answered: ReadonlyArray<readonly [SuspectKey, number]>;
}

export interface SuspectReport {
  readonly key: SuspectKey;
  readonly depth: number;
  readonly crashes: ReadonlyArray<readonly [CrashId, number]>;
  /** Time that a trial of the reporting entry may still take; 0 without one. */
  readonly trialLeftMs: number;
}

export type QuarantineChange =
  | {readonly kind: 'evidence'}
  | {readonly kind: 'trial'; readonly key: SuspectKey}
  | {readonly kind: 'blamed'; readonly part: BlamedSuspect}
  | {readonly kind: 'cleared'; readonly key: SuspectKey};

/** Whether a request may start on a server, and how. */
export type StartDecision = 'free' | 'trial' | 'blocked';

/**
 * Time after the last crash for which a blamed part gets no trial, by the
 * number of crashes since it was blamed. The last one applies to all further
 * crashes.
 */
const TRIAL_PAUSES_MS = [0, 3000, 10 * 60_000];

/** Time for which the outcome of a trial is awaited. */
const TRIAL_TIMEOUT_MS = 3000;

/**
 * What this entry has seen is reported for this time, so that lost reports do
 * no harm. Blamed parts are repeated as often for entries that start.
 */
const REPORT_REPEAT_MS = 1000;

/** Answers to parts that were suspected within this time are reported. */
const CONTESTED_MS = 30_000;

/** Bounds the size of a report, and of what is remembered for it. */
const MAX_REPORTED_PARTS = 64;
const MAX_REPORTED_CRASHES = 6;
const MAX_CONTESTED_PARTS = 1024;

/** Interval at which old evidence is dropped. */
const EXPIRY_INTERVAL_MS = 10_000;

interface Trial {
  readonly untilMs: number;
  readonly isOwn: boolean;
}

export class RequestQuarantine {
  private readonly evidence = new CrashEvidence();
  private readonly trials = new Map<SuspectKey, Trial>();
  /** Parts that the store lists as blocked, with the end of the block. */
  private storedBlocks: ReadonlyMap<SuspectKey, number> = new Map();
  /** When each part was last suspected. */
  private readonly contestedAtMs = new Map<SuspectKey, number>();
  private blamedReportedAtMs = -Infinity;
  private blamed = new Map<SuspectKey, BlamedSuspect>();
  private blamedRevision = -1;
  private blamedAtMs = -Infinity;
  private expiredAtMs = 0;

  /** @param onChange called after a change that other entries should know */
  constructor(private readonly onChange: (change: QuarantineChange) => void) {}

  /** Time until a request with these parts may start; 0 if it may at once. */
  blockedForMs(keys: readonly SuspectKey[], nowMs: number): number {
    const blamed = this.currentlyBlamed(nowMs);
    if (blamed.size === 0 && this.storedBlocks.size === 0) return 0;
    const untilMs = keys.map(key => this.blockedUntilMs(key, blamed));
    return Math.max(0, ...untilMs.map(until => until - nowMs));
  }

  /** Decides on a start; a request with a blamed part starts as its trial. */
  tryStart(keys: readonly SuspectKey[], nowMs: number): StartDecision {
    if (this.blockedForMs(keys, nowMs) > 0) return 'blocked';
    const blamed = this.currentlyBlamed(nowMs);
    const onTrial = keys.filter(key => blamed.has(key));
    for (const key of onTrial) {
      this.trials.set(key, {untilMs: nowMs + TRIAL_TIMEOUT_MS, isOwn: true});
      this.onChange({kind: 'trial', key});
    }
    return onTrial.length > 0 ? 'trial' : 'free';
  }

  /** Ends a trial of this entry that had no outcome. */
  endTrial(keys: readonly SuspectKey[]): void {
    for (const key of keys) {
      if (this.trials.get(key)?.isOwn) this.trials.delete(key);
    }
  }

  /** Records that a server goes on with the answer to these parts. */
  recordAnswer(keys: readonly SuspectKey[], nowMs: number): void {
    const cleared = keys.filter(
      key => this.blamed.has(key) || this.storedBlocks.has(key),
    );
    this.evidence.recordAnswer(keys, nowMs);
    for (const key of cleared) {
      this.trials.delete(key);
      this.onChange({kind: 'cleared', key});
    }
  }

  /**
   * Records that a server ended while it began to answer a prompt with these
   * parts, which are in their order.
   */
  recordCrash(
    keys: readonly SuspectKey[],
    crash: CrashId,
    nowMs: number,
  ): void {
    let isNew = false;
    keys.forEach((key, depth) => {
      const observed = {crash, atMs: nowMs, isOwn: true};
      const isEvidence = this.evidence.recordCrash(key, depth, observed, nowMs);
      if (isEvidence) isNew = true;
      this.markContested(key, nowMs);
    });
    if (isNew) this.onChange({kind: 'evidence'});
  }

  /** Evidence that other entries may not have. */
  report(nowMs: number): QuarantineReport {
    const blamed = this.currentlyBlamed(nowMs);
    const repeatsBlamed = nowMs - this.blamedReportedAtMs >= REPORT_REPEAT_MS;
    if (repeatsBlamed) this.blamedReportedAtMs = nowMs;
    const suspects = [...this.evidence.suspectParts]
      .filter(
        ({key, observedAtMs}) =>
          nowMs - observedAtMs < REPORT_REPEAT_MS ||
          this.trials.get(key)?.isOwn ||
          (repeatsBlamed && blamed.has(key)),
      )
      .slice(-MAX_REPORTED_PARTS)
      .map(part => this.toSuspectReport(part, nowMs));
    return {suspects, answered: this.contestedAnswers(nowMs)};
  }

  /** Applies the evidence of a peer. */
  applyPeerReport(report: QuarantineReport, nowMs: number): void {
    for (const [key, ageMs] of report.answered) {
      const wasSuspect = this.evidence.suspect(key) !== undefined;
      this.evidence.recordPeerAnswer(key, nowMs - ageMs);
      if (wasSuspect && !this.evidence.suspect(key)) this.trials.delete(key);
    }
    for (const {key, depth, crashes, trialLeftMs} of report.suspects) {
      const isUnknown = crashes.map(([crash, ageMs]) => {
        const observed = {crash, atMs: nowMs - ageMs, isOwn: false};
        return this.evidence.recordCrash(key, depth, observed, nowMs);
      });
      // The peer may not know of an answer that was seen here.
      const isCleared = this.evidence.suspect(key) === undefined;
      if (isCleared || isUnknown.includes(true)) this.markContested(key, nowMs);
      const isKnown = (this.trials.get(key)?.untilMs ?? 0) > nowMs;
      if (trialLeftMs > 0 && !isKnown) {
        this.trials.set(key, {untilMs: nowMs + trialLeftMs, isOwn: false});
      }
    }
  }

  /** Replaces the blocks that the store lists, with the end of each. */
  setStoredBlocks(blocks: ReadonlyMap<SuspectKey, number>): void {
    this.storedBlocks = blocks;
  }

  /** Parts whose block outlives this process, with the end of each block. */
  longBlocks(nowMs: number): ReadonlyMap<SuspectKey, number> {
    const longest = TRIAL_PAUSES_MS.length - 1;
    return new Map(
      [...this.currentlyBlamed(nowMs).values()]
        .filter(({excessCrashes}) => excessCrashes >= longest)
        .map(({key, lastCrashAtMs}): [SuspectKey, number] => [
          key,
          lastCrashAtMs + TRIAL_PAUSES_MS[longest],
        ])
        .filter(([, untilMs]) => untilMs > nowMs),
    );
  }

  private markContested(key: SuspectKey, nowMs: number): void {
    this.contestedAtMs.delete(key);
    if (this.contestedAtMs.size >= MAX_CONTESTED_PARTS) return;
    this.contestedAtMs.set(key, nowMs);
  }

  private blockedUntilMs(
    key: SuspectKey,
    blamed: ReadonlyMap<SuspectKey, BlamedSuspect>,
  ): number {
    const stored = this.storedBlocks.get(key) ?? 0;
    const part = blamed.get(key);
    if (!part) return stored;
    const pause = Math.min(part.excessCrashes, TRIAL_PAUSES_MS.length - 1);
    const trial = this.trials.get(key)?.untilMs ?? 0;
    return Math.max(stored, trial, part.lastCrashAtMs + TRIAL_PAUSES_MS[pause]);
  }

  private currentlyBlamed(
    nowMs: number,
  ): ReadonlyMap<SuspectKey, BlamedSuspect> {
    this.expire(nowMs);
    const isSameEvidence = this.blamedRevision === this.evidence.revision;
    // Evidence settles after a while, which changes no revision.
    const isSettled =
      this.blamedAtMs - this.evidence.learnedAtMs >= CRASH_SETTLE_MS;
    const isRecent = nowMs - this.blamedAtMs < CRASH_SETTLE_MS / 4;
    if (isSameEvidence && (isSettled || isRecent)) return this.blamed;
    this.blamedRevision = this.evidence.revision;
    this.blamedAtMs = nowMs;
    const before = this.blamed;
    const parts = blameSuspects(this.evidence.suspectParts, nowMs);
    this.blamed = new Map(parts.map(part => [part.key, part]));
    for (const part of parts) {
      const known = before.get(part.key)?.excessCrashes;
      if (known !== part.excessCrashes) this.onChange({kind: 'blamed', part});
    }
    return this.blamed;
  }

  private expire(nowMs: number): void {
    if (nowMs - this.expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    this.evidence.expire(nowMs);
    for (const [key, atMs] of this.contestedAtMs) {
      if (nowMs - atMs >= CONTESTED_MS) this.contestedAtMs.delete(key);
    }
    for (const [key, {untilMs}] of this.trials) {
      if (untilMs <= nowMs) this.trials.delete(key);
    }
  }

  private toSuspectReport(part: Suspect, nowMs: number): SuspectReport {
    const {key, depth, crashAtMs} = part;
    const trial = this.trials.get(key);
    return {
      key,
      depth,
      crashes: [...crashAtMs]
        .slice(-MAX_REPORTED_CRASHES)
        .map(([crash, atMs]) => [crash, Math.round(nowMs - atMs)]),
      trialLeftMs: trial?.isOwn ? Math.max(0, trial.untilMs - nowMs) : 0,
    };
  }

  /** Answers seen here that peers may not know of. */
  private contestedAnswers(nowMs: number): Array<[SuspectKey, number]> {
    const answered: Array<[SuspectKey, number]> = [];
    for (const [key, contestedAtMs] of this.contestedAtMs) {
      const atMs = this.evidence.ownAnswerAtMs(key);
      if (atMs === undefined) continue;
      const newsAgeMs = nowMs - Math.max(atMs, contestedAtMs);
      if (newsAgeMs >= REPORT_REPEAT_MS) continue;
      answered.push([key, Math.round(nowMs - atMs)]);
    }
    return answered.slice(-MAX_REPORTED_PARTS);
  }
}
