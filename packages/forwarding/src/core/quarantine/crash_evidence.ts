/**
 * Evidence on the requests and parts of prompts that may end the servers which
 * answer them. Both are suspected in each crash in which a server was at work on
 * such a request; an answer clears them. Pure; times are arguments.
 */
import type {Branded} from '@azurecrank/core';
import type {BackendServer} from '../fleet/backend_server.js';
import type {RequestScope} from './request_digest.js';
import type {SuspectKey} from './suspect_key.js';
import {SuspectScopes} from './suspect_scopes.js';

/** The end of one incarnation of a server. */
export type CrashId = Branded<string, 'CrashId'>;

export function crashIdOf({server, startedAtMs}: BackendServer): CrashId {
  return `${server}@${startedAtMs}` as CrashId;
}

/** No id of a server begins with it. */
const STORED_CRASH_PREFIX = '*';

/** Number of independent crashes behind each block in the store. */
const STORED_CRASHES = 3;

/** Time between the crashes that are taken for those behind a block. */
const STORED_CRASH_INTERVAL_MS = 1000;

/** Whether a crash is known from the store only, not which server ended. */
export function isStoredCrash(crash: CrashId): boolean {
  return crash.startsWith(STORED_CRASH_PREFIX);
}

/** A request, or a part of its prompt, that a server ran when it ended. */
export interface Suspect {
  readonly key: SuspectKey;
  /**
   * Place of the part in the prompt, and of the request after all its parts:
   * what comes later is shared by fewer requests.
   */
  readonly depth: number;
  /** Times of the crashes since the last answer. */
  readonly crashAtMs: Map<CrashId, number>;
  /** Whether such requests were answered before the first crash. */
  readonly wasAnswered: boolean;
  /** When this entry last learned of a crash, from a peer or by itself. */
  learnedAtMs: number;
  /** When this entry itself last lost a request in a crash. */
  observedAtMs: number;
}

/** The end of a server as seen by this entry or a peer. */
export interface ObservedCrash {
  readonly crash: CrashId;
  readonly atMs: number;
  /** Whether this entry itself lost a request. */
  readonly isOwn: boolean;
}

interface Answer {
  readonly atMs: number;
  /** Whether this entry itself saw the answer. */
  readonly isOwn: boolean;
}

/** Bounds on memory; the oldest records are dropped. */
const MAX_ANSWERED = 4096;
const MAX_SUSPECTS = 1024;
const MAX_CRASHES_PER_SUSPECT = 16;

/** Time after the last crash for which a suspicion stays. */
const EVIDENCE_TTL_MS = 20 * 60_000;

export class CrashEvidence {
  private readonly suspects = new Map<SuspectKey, Suspect>();
  private readonly scopes = new SuspectScopes();
  private readonly answers = new Map<SuspectKey, Answer>();
  private changeCount = 0;
  private lastLearnedAtMs = -Infinity;

  /** When this entry last learned of a crash. */
  get learnedAtMs(): number {
    return this.lastLearnedAtMs;
  }

  /** Rises with each change. */
  get revision(): number {
    return this.changeCount;
  }

  get all(): Iterable<Suspect> {
    return this.suspects.values();
  }

  suspect(key: SuspectKey): Suspect | undefined {
    return this.suspects.get(key);
  }

  /** Whether some request is suspected. */
  get hasRequests(): boolean {
    return !this.scopes.isEmpty;
  }

  /** Whether a request of this scope is suspected. */
  hasScope(scope: RequestScope): boolean {
    return this.scopes.has(scope);
  }

  /** Records that a server survived a request with these keys. */
  recordAnswer(keys: readonly SuspectKey[], nowMs: number): void {
    for (const key of keys) this.setAnswer(key, {atMs: nowMs, isOwn: true});
  }

  /** Applies an answer that a peer saw. */
  recordPeerAnswer(key: SuspectKey, atMs: number): void {
    if ((this.answers.get(key)?.atMs ?? -Infinity) >= atMs) return;
    this.setAnswer(key, {atMs, isOwn: false});
  }

  /** Time of the last answer that this entry itself saw. */
  ownAnswerAtMs(key: SuspectKey): number | undefined {
    const answer = this.answers.get(key);
    return answer?.isOwn ? answer.atMs : undefined;
  }

  /**
   * Records the end of a server that ran a request with this key. A crash before
   * the last answer is ignored.
   * @returns whether this is new evidence
   */
  recordCrash(
    key: SuspectKey,
    depth: number,
    {crash, atMs, isOwn}: ObservedCrash,
    nowMs: number,
  ): boolean {
    const answeredAtMs = this.answers.get(key)?.atMs ?? -Infinity;
    if (atMs <= answeredAtMs) return false;
    const known = this.suspects.get(key);
    const suspect = known ?? {
      key,
      depth,
      crashAtMs: new Map<CrashId, number>(),
      wasAnswered: answeredAtMs > -Infinity,
      learnedAtMs: nowMs,
      observedAtMs: -Infinity,
    };
    if (isOwn) suspect.observedAtMs = nowMs;
    if (suspect.crashAtMs.has(crash)) return false;
    suspect.crashAtMs.set(crash, atMs);
    dropOldest(suspect.crashAtMs, MAX_CRASHES_PER_SUSPECT);
    suspect.learnedAtMs = nowMs;
    this.lastLearnedAtMs = nowMs;
    if (!known) this.scopes.add(key);
    // Those with the latest evidence come last.
    this.suspects.delete(key);
    this.suspects.set(key, suspect);
    this.dropExcess();
    this.changeCount++;
    return true;
  }

  /**
   * Records the crashes behind a block in the store, unless as many are known.
   * Once the block has ended they make the next request a trial.
   */
  recordStoredCrashes(
    key: SuspectKey,
    lastCrashAtMs: number,
    nowMs: number,
  ): void {
    const known = this.suspects.get(key)?.crashAtMs.size ?? 0;
    if (known >= STORED_CRASHES) return;
    for (let i = 0; i < STORED_CRASHES; i++) {
      const crash = `${STORED_CRASH_PREFIX}${i}` as CrashId;
      const atMs = lastCrashAtMs - i * STORED_CRASH_INTERVAL_MS;
      this.recordCrash(key, 0, {crash, atMs, isOwn: false}, nowMs);
    }
  }

  /** Forgets the crashes behind a block that was removed from the store. */
  dropStoredCrashes(key: SuspectKey): void {
    const suspect = this.suspects.get(key);
    if (!suspect) return;
    for (const crash of suspect.crashAtMs.keys()) {
      if (isStoredCrash(crash)) suspect.crashAtMs.delete(crash);
    }
    if (suspect.crashAtMs.size === 0) this.drop(key);
    this.changeCount++;
  }

  /** Drops suspects without a crash for a long time. */
  expire(nowMs: number): void {
    for (const [key, {learnedAtMs}] of this.suspects) {
      if (nowMs - learnedAtMs < EVIDENCE_TTL_MS) break;
      this.drop(key);
      this.changeCount++;
    }
  }

  /**
   * Drops a suspect if there are too many: the oldest with a single crash, since
   * each crash makes suspects of all that the server ran.
   */
  private dropExcess(): void {
    if (this.suspects.size <= MAX_SUSPECTS) return;
    let oldest: SuspectKey | undefined;
    for (const [key, {crashAtMs}] of this.suspects) {
      oldest ??= key;
      if (crashAtMs.size === 1) return this.drop(key);
    }
    if (oldest !== undefined) this.drop(oldest);
  }

  private drop(key: SuspectKey): void {
    if (this.suspects.delete(key)) this.scopes.remove(key);
  }

  private setAnswer(key: SuspectKey, answer: Answer): void {
    this.answers.delete(key);
    this.answers.set(key, answer);
    dropOldest(this.answers, MAX_ANSWERED);
    const suspect = this.suspects.get(key);
    if (!suspect) return;
    for (const [crash, atMs] of suspect.crashAtMs) {
      if (atMs <= answer.atMs) suspect.crashAtMs.delete(crash);
    }
    if (suspect.crashAtMs.size === 0) this.drop(key);
    else this.suspects.set(key, {...suspect, wasAnswered: true});
    this.changeCount++;
  }
}

/** Drops the first entries of a map until it has at most `maxSize`. */
function dropOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
