/**
 * Keeps requests that end servers away from them: single requests, and all with
 * a part in their prompts. What is blamed gets one request at a time as a trial,
 * after each crash later, over all entries: they report crashes, answers and
 * trials to each other. Pure; times are arguments.
 */
import {
  blameSuspects,
  CRASH_SETTLE_MS,
  type BlamedSuspect,
} from './blame_suspects.js';
import {
  CrashEvidence,
  isStoredCrash,
  type CrashId,
  type Suspect,
} from './crash_evidence.js';
import type {RequestScope} from './request_digest.js';
import {kindOf, type SuspectKey} from './suspect_key.js';
import {SuspectScopes} from './suspect_scopes.js';
import {
  maxPauseSpread,
  MIN_STORED_PAUSE_MS,
  pauseMs,
  shortestStoredPauseMs,
} from './trial_pauses.js';

/** Evidence for the other entries; ages are in milliseconds. */
export interface QuarantineReport {
  readonly suspects: readonly SuspectReport[];
  /** What others suspect, with the age of the last answer seen here. */
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
  | {readonly kind: 'blamed'; readonly suspect: BlamedSuspect}
  | {readonly kind: 'cleared'; readonly key: SuspectKey};

/** Whether a request may start on a server, and how. */
export type StartDecision = 'free' | 'trial' | 'blocked';

/**
 * Longest time after which the caller of a request that is blocked by a trial
 * is to come back. Most trials have an outcome sooner than their timeout.
 */
const MAX_TRIAL_RETRY_MS = 500;

/** Time for which the outcome of a trial is awaited. */
const TRIAL_TIMEOUT_MS = 3000;

/**
 * What this entry has seen is reported for this time, so that lost reports do
 * no harm. What is blamed is repeated as often for entries that start.
 */
const REPORT_REPEAT_MS = 1000;

/** Answers to what was suspected within this time are reported. */
const CONTESTED_MS = 30_000;

/** Bounds the size of a report, and of what is remembered for it. */
const MAX_REPORTED_SUSPECTS = 64;
const MAX_REPORTED_CRASHES = 6;
const MAX_CONTESTED = 1024;

/** Interval at which old evidence is dropped. */
const EXPIRY_INTERVAL_MS = 10_000;

interface Trial {
  readonly untilMs: number;
  readonly isOwn: boolean;
}

export class RequestQuarantine {
  private readonly evidence = new CrashEvidence();
  private readonly trials = new Map<SuspectKey, Trial>();
  /** What the store lists as blocked, with the end of the block. */
  private storedBlocks: ReadonlyMap<SuspectKey, number> = new Map();
  private storedScopes = new SuspectScopes();
  /** When each key was last suspected. */
  private readonly contestedAtMs = new Map<SuspectKey, number>();
  private blamedReportedAtMs = -Infinity;
  private blamed = new Map<SuspectKey, BlamedSuspect>();
  /** Fraction by which the present pause of each suspect is longer here. */
  private readonly pauseSpreads = new Map<SuspectKey, number>();
  private blamedRevision = -1;
  private blamedAtMs = -Infinity;
  private expiredAtMs = 0;

  /**
   * @param onChange called after a change that other entries should know
   * @param random returns numbers from 0 to 1 that differ between entries
   */
  constructor(
    private readonly onChange: (change: QuarantineChange) => void,
    private readonly random: () => number = Math.random,
  ) {}

  /** Whether the digest of some request must be known to decide on it. */
  get suspectsRequests(): boolean {
    return this.evidence.hasRequests || !this.storedScopes.isEmpty;
  }

  /** Whether a request of this scope is suspected or blocked. */
  suspectsScope(scope: RequestScope): boolean {
    return this.evidence.hasScope(scope) || this.storedScopes.has(scope);
  }

  /** Whether there is any evidence against these keys. */
  isSuspect(keys: readonly SuspectKey[]): boolean {
    return keys.some(
      key => this.evidence.suspect(key) || this.storedBlocks.has(key),
    );
  }

  /**
   * Time after which the caller of a blocked request is to come back. A trial
   * may end sooner than the block.
   */
  retryAfterMs(keys: readonly SuspectKey[], nowMs: number): number {
    const blockedForMs = this.blockedForMs(keys, nowMs);
    const isPaused = keys.some(key => this.pausedUntilMs(key) > nowMs);
    return isPaused ? blockedForMs : Math.min(blockedForMs, MAX_TRIAL_RETRY_MS);
  }

  /** Time until a request with these keys may start; 0 if it may at once. */
  blockedForMs(keys: readonly SuspectKey[], nowMs: number): number {
    const blamed = this.currentlyBlamed(nowMs);
    if (blamed.size === 0 && this.storedBlocks.size === 0) return 0;
    const untilMs = keys.map(key => this.blockedUntilMs(key));
    return Math.max(0, ...untilMs.map(until => until - nowMs));
  }

  /** Decides on a start; a request with a blamed key starts as its trial. */
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

  /** Records that a server survived a request with these keys. */
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
   * Records that a server ended while it ran a request with these keys: the
   * parts of its prompt in their order, then the request.
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

  /** Makes the next report have all that is blamed, for an entry that starts. */
  repeatBlamed(): void {
    this.blamedReportedAtMs = -Infinity;
  }

  /** Whether something is blamed. */
  get hasBlamed(): boolean {
    return this.blamed.size > 0;
  }

  /** Evidence that other entries may not have. */
  report(nowMs: number): QuarantineReport {
    const blamed = this.currentlyBlamed(nowMs);
    const repeatsBlamed = nowMs - this.blamedReportedAtMs >= REPORT_REPEAT_MS;
    if (repeatsBlamed) this.blamedReportedAtMs = nowMs;
    const suspects = [...this.evidence.all]
      .filter(
        suspect =>
          (nowMs - suspect.observedAtMs < REPORT_REPEAT_MS &&
            concernsPeers(suspect)) ||
          this.trials.get(suspect.key)?.isOwn ||
          (repeatsBlamed && blamed.has(suspect.key)),
      )
      .slice(-MAX_REPORTED_SUSPECTS)
      .map(suspect => this.toSuspectReport(suspect, nowMs));
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
  setStoredBlocks(
    blocks: ReadonlyMap<SuspectKey, number>,
    nowMs: number,
  ): void {
    for (const [key, untilMs] of this.storedBlocks) {
      const isRemoved = !blocks.has(key) && untilMs > nowMs;
      if (isRemoved) this.evidence.dropStoredCrashes(key);
    }
    this.storedBlocks = blocks;
    this.storedScopes = new SuspectScopes();
    for (const [key, untilMs] of blocks) {
      this.storedScopes.add(key);
      const lastCrashAtMs = Math.min(
        nowMs,
        untilMs - shortestStoredPauseMs(key),
      );
      this.evidence.recordStoredCrashes(key, lastCrashAtMs, nowMs);
    }
  }

  /** What is blocked beyond the life of this process, with the end of each block. */
  longBlocks(nowMs: number): ReadonlyMap<SuspectKey, number> {
    return new Map(
      [...this.currentlyBlamed(nowMs).values()]
        .filter(suspect => pauseMs(suspect) >= MIN_STORED_PAUSE_MS)
        .map((suspect): [SuspectKey, number] => [
          suspect.key,
          suspect.lastCrashAtMs + pauseMs(suspect),
        ])
        .filter(([, untilMs]) => untilMs > nowMs),
    );
  }

  private markContested(key: SuspectKey, nowMs: number): void {
    this.contestedAtMs.delete(key);
    if (this.contestedAtMs.size >= MAX_CONTESTED) return;
    this.contestedAtMs.set(key, nowMs);
  }

  private blockedUntilMs(key: SuspectKey): number {
    const pausedUntilMs = this.pausedUntilMs(key);
    if (!this.blamed.has(key)) return pausedUntilMs;
    return Math.max(pausedUntilMs, this.trials.get(key)?.untilMs ?? 0);
  }

  /** Time until which no trial may start, whether or not one is under way. */
  private pausedUntilMs(key: SuspectKey): number {
    const storedUntilMs = this.storedBlocks.get(key) ?? 0;
    const suspect = this.blamed.get(key);
    if (!suspect) return storedUntilMs;
    const spread = 1 + (this.pauseSpreads.get(key) ?? 0);
    const pausedForMs = spread * pauseMs(suspect);
    return Math.max(storedUntilMs, suspect.lastCrashAtMs + pausedForMs);
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
    const suspects = blameSuspects(this.evidence.all, nowMs);
    this.blamed = new Map(suspects.map(suspect => [suspect.key, suspect]));
    for (const suspect of suspects) {
      const known = before.get(suspect.key)?.excessCrashes;
      if (known === suspect.excessCrashes) continue;
      const spread = maxPauseSpread(suspect) * this.random();
      this.pauseSpreads.set(suspect.key, spread);
      this.onChange({kind: 'blamed', suspect});
    }
    for (const key of this.pauseSpreads.keys()) {
      if (!this.blamed.has(key)) this.pauseSpreads.delete(key);
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

  private toSuspectReport(suspect: Suspect, nowMs: number): SuspectReport {
    const {key, depth, crashAtMs} = suspect;
    const trial = this.trials.get(key);
    return {
      key,
      depth,
      crashes: [...crashAtMs]
        .filter(([crash]) => !isStoredCrash(crash))
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
    return answered.slice(-MAX_REPORTED_SUSPECTS);
  }
}

/**
 * Whether other entries should know of a suspect. A stream goes on at the entry
 * that it began at, so its first crash concerns no other.
 */
function concernsPeers({key, crashAtMs}: Suspect): boolean {
  return kindOf(key) !== 'running_request' || crashAtMs.size > 1;
}
