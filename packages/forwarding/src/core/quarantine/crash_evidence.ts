/**
 * Evidence on the parts of prompts that may end the servers which answer them.
 * A part is suspected in each crash in which a request with it had just begun;
 * an answer that goes on clears all parts of its prompt. Pure; times are
 * arguments.
 */
import type {Branded, PromptPartId, ServiceId} from '@azurecrank/core';
import type {BackendServer} from '../fleet/backend_server.js';

/** A part of the prompts of one service. */
export type SuspectKey = Branded<string, 'SuspectKey'>;

/** The end of one incarnation of a server. */
export type CrashId = Branded<string, 'CrashId'>;

export function promptPartKey(
  service: ServiceId,
  part: PromptPartId,
): SuspectKey {
  return `${service}/${part}` as SuspectKey;
}

export function crashIdOf({server, startedAtMs}: BackendServer): CrashId {
  return `${server}@${startedAtMs}` as CrashId;
}

/** A part that was in the prompt of a request that had just begun in a crash. */
export interface Suspect {
  readonly key: SuspectKey;
  /** Place of the part in the prompt; later parts are shared by fewer requests. */
  readonly depth: number;
  /** Times of the crashes since the last answer. */
  readonly crashAtMs: Map<CrashId, number>;
  /** Whether requests with the part were answered before the first crash. */
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
const MAX_ANSWERED_PARTS = 4096;
const MAX_SUSPECT_PARTS = 1024;
const MAX_CRASHES_PER_PART = 16;

/** Time after the last crash for which a part stays suspected. */
const EVIDENCE_TTL_MS = 20 * 60_000;

export class CrashEvidence {
  private readonly suspects = new Map<SuspectKey, Suspect>();
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

  get suspectParts(): Iterable<Suspect> {
    return this.suspects.values();
  }

  suspect(key: SuspectKey): Suspect | undefined {
    return this.suspects.get(key);
  }

  /** Records that an answer on a prompt with these parts goes on. */
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
   * Records the end of a server on which a request with this part had just
   * begun. A crash before the last answer is ignored.
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
    const part = this.suspects.get(key) ?? {
      key,
      depth,
      crashAtMs: new Map<CrashId, number>(),
      wasAnswered: answeredAtMs > -Infinity,
      learnedAtMs: nowMs,
      observedAtMs: -Infinity,
    };
    if (isOwn) part.observedAtMs = nowMs;
    if (part.crashAtMs.has(crash)) return false;
    part.crashAtMs.set(crash, atMs);
    dropOldest(part.crashAtMs, MAX_CRASHES_PER_PART);
    part.learnedAtMs = nowMs;
    this.lastLearnedAtMs = nowMs;
    // The parts with the latest evidence are dropped last.
    this.suspects.delete(key);
    this.suspects.set(key, part);
    dropOldest(this.suspects, MAX_SUSPECT_PARTS);
    this.changeCount++;
    return true;
  }

  /** Drops parts without a crash for a long time. */
  expire(nowMs: number): void {
    for (const [key, {learnedAtMs}] of this.suspects) {
      if (nowMs - learnedAtMs < EVIDENCE_TTL_MS) break;
      this.suspects.delete(key);
      this.changeCount++;
    }
  }

  private setAnswer(key: SuspectKey, answer: Answer): void {
    this.answers.delete(key);
    this.answers.set(key, answer);
    dropOldest(this.answers, MAX_ANSWERED_PARTS);
    const part = this.suspects.get(key);
    if (!part) return;
    for (const [crash, atMs] of part.crashAtMs) {
      if (atMs <= answer.atMs) part.crashAtMs.delete(crash);
    }
    if (part.crashAtMs.size === 0) this.suspects.delete(key);
    else this.suspects.set(key, {...part, wasAnswered: true});
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
