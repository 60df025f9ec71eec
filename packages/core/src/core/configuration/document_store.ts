/** Holds the newest known versions of the configuration and the plan. */
import {EMPTY_PLAN, PLAN_KEY, type Plan} from '../placement/plan.js';
import type {DocumentKind} from '../wire/messages.js';
import {CONFIG_KEY, decodeConfigRecord} from './config_record.js';

export const DOCUMENT_KINDS: readonly DocumentKind[] = ['config', 'plan'];

/** Keys of the documents in the key-value service. */
export const DOCUMENT_KEYS: Readonly<Record<DocumentKind, string>> = {
  config: CONFIG_KEY,
  plan: PLAN_KEY,
};

/** A version of the configuration or the plan that the process holds. */
export interface HeldDocument {
  readonly kind: DocumentKind;
  readonly version: number;
  /** The value as stored in the key-value service. */
  readonly json: string;
}

export type DocumentSource = 'key_value' | 'peer';

export type AdoptionOutcome =
  /** The document is newer and replaces the held one. */
  | 'taken'
  /** The document is identical to the held one. */
  | 'same'
  /** The version is lower than the held one; the held document stays. */
  | 'revert_refused'
  /** The version is the held one, with other content; the held one stays. */
  | 'fork_refused'
  /** The document cannot be decoded. */
  | 'unreadable';

/** Returns the version of a stored value, or undefined if it is unreadable. */
export function versionOfDocument(
  kind: DocumentKind,
  json: string,
): number | undefined {
  try {
    const version =
      kind === 'config'
        ? decodeConfigRecord(json).version
        : versionOfPlan(json);
    return Number.isSafeInteger(version) && version > 0 ? version : undefined;
  } catch {
    return undefined;
  }
}

function versionOfPlan(json: string): number {
  const plan = JSON.parse(json) as Plan;
  if (!Array.isArray(plan.chains)) throw new TypeError('chains is not a list');
  return plan.version;
}

interface DocumentState {
  held: HeldDocument | undefined;
  /** Time at which the key-value service last confirmed the held version. */
  lastConfirmedMs: number;
}

/**
 * Adopts documents with rising versions only, from the key-value service or
 * from peers. Reads no clock: callers pass times of any monotonic clock.
 */
export class DocumentStore {
  private readonly states: Readonly<Record<DocumentKind, DocumentState>> = {
    config: {held: undefined, lastConfirmedMs: -Infinity},
    plan: {held: undefined, lastConfirmedMs: -Infinity},
  };
  private lastContactMs = -Infinity;
  private readonly outcomes = new Map<string, number>();

  held(kind: DocumentKind): HeldDocument | undefined {
    return this.states[kind].held;
  }

  /** Returns the held version, or 0 if there is none. */
  version(kind: DocumentKind): number {
    return this.states[kind].held?.version ?? 0;
  }

  /** Replaces the held document if the given one has a higher version. */
  adoptIfNewer(
    kind: DocumentKind,
    json: string,
    source: DocumentSource,
    nowMs: number,
  ): AdoptionOutcome {
    const outcome = this.adopt(kind, json);
    const counter = `${outcome}/${source}`;
    this.outcomes.set(counter, (this.outcomes.get(counter) ?? 0) + 1);
    if (outcome !== 'unreadable') this.recordContact(nowMs);
    if (source !== 'key_value') return outcome;
    if (outcome === 'taken' || outcome === 'same')
      this.recordConfirmation(kind, nowMs);
    return outcome;
  }

  /** Records that the key-value service reported the held version as current. */
  recordConfirmation(kind: DocumentKind, nowMs: number): void {
    this.states[kind].lastConfirmedMs = nowMs;
    this.recordContact(nowMs);
  }

  /** Records that a peer or the key-value service reported its versions. */
  recordContact(nowMs: number): void {
    this.lastContactMs = Math.max(this.lastContactMs, nowMs);
  }

  /** Time since the key-value service confirmed the held version. */
  confirmedAgeMs(kind: DocumentKind, nowMs: number): number {
    return nowMs - this.states[kind].lastConfirmedMs;
  }

  /** Time since a peer or the key-value service last reported its versions. */
  contactAgeMs(nowMs: number): number {
    return nowMs - this.lastContactMs;
  }

  /** Returns how often `outcome` occurred, for one source or for all. */
  count(outcome: AdoptionOutcome, source?: DocumentSource): number {
    const sources = source ? [source] : (['key_value', 'peer'] as const);
    return sources
      .map(from => this.outcomes.get(`${outcome}/${from}`) ?? 0)
      .reduce((sum, count) => sum + count, 0);
  }

  private adopt(kind: DocumentKind, json: string): AdoptionOutcome {
    const state = this.states[kind];
    if (state.held?.json === json) return 'same';
    const version = versionOfDocument(kind, json);
    if (version === undefined) return 'unreadable';
    const heldVersion = this.version(kind);
    if (version < heldVersion) return 'revert_refused';
    if (version === heldVersion) return 'fork_refused';
    state.held = {kind, version, json};
    return 'taken';
  }
}

/** Returns the plan in a held document, or `EMPTY_PLAN` if there is none. */
export function readPlan(held: HeldDocument | undefined): Plan {
  return held ? (JSON.parse(held.json) as Plan) : EMPTY_PLAN;
}
