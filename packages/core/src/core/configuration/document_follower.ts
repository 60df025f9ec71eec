/** Holds the highest version of configuration and plan that was seen. */
import {EMPTY_PLAN, PLAN_KEY, type Plan} from '../placement/plan.js';
import type {DocumentKind} from '../wire/messages.js';
import {CONFIG_KEY, decodeConfigRecord} from './config_record.js';

export const DOCUMENT_KINDS: readonly DocumentKind[] = ['config', 'plan'];

export const DOCUMENT_KEYS: Readonly<Record<DocumentKind, string>> = {
  config: CONFIG_KEY,
  plan: PLAN_KEY,
};

export interface HeldDocument {
  readonly what: DocumentKind;
  readonly version: number;
  /** The value as it is stored in the key-value service. */
  readonly json: string;
}

export type DocumentSource = 'key_value' | 'peer';

export type OfferOutcome =
  /** The document is newer and is held now. */
  | 'taken'
  | 'same'
  /** Lower than the held version; nothing changes. */
  | 'revert_refused'
  /** The same version with other content; the held one stays. */
  | 'fork_refused'
  | 'unreadable';

/** Returns the version inside a stored value, or undefined if unreadable. */
export function versionOfDocument(
  what: DocumentKind,
  json: string,
): number | undefined {
  try {
    const version =
      what === 'config' ? decodeConfigRecord(json).version : planOf(json);
    return Number.isSafeInteger(version) && version > 0 ? version : undefined;
  } catch {
    return undefined;
  }
}

function planOf(json: string): number {
  const plan = JSON.parse(json) as Plan;
  if (!Array.isArray(plan.chains)) throw new TypeError('chains is not a list');
  return plan.version;
}

interface State {
  held: HeldDocument | undefined;
  /** Time of the last answer of the key-value service about this document. */
  confirmedMs: number;
}

/** Pure: times are arguments, from any clock that does not go back. */
export class DocumentFollower {
  private readonly states: Readonly<Record<DocumentKind, State>> = {
    config: {held: undefined, confirmedMs: -Infinity},
    plan: {held: undefined, confirmedMs: -Infinity},
  };
  private contactMs = -Infinity;
  private readonly outcomes = new Map<string, number>();

  held(what: DocumentKind): HeldDocument | undefined {
    return this.states[what].held;
  }

  /** Returns 0 if no version is held. */
  version(what: DocumentKind): number {
    return this.states[what].held?.version ?? 0;
  }

  /** Takes a document if its version is higher than the held one. */
  offer(
    what: DocumentKind,
    json: string,
    source: DocumentSource,
    nowMs: number,
  ): OfferOutcome {
    const outcome = this.decide(what, json);
    const counter = `${outcome}/${source}`;
    this.outcomes.set(counter, (this.outcomes.get(counter) ?? 0) + 1);
    if (outcome !== 'unreadable') this.recordContact(nowMs);
    if (source !== 'key_value') return outcome;
    if (outcome === 'taken' || outcome === 'same') this.confirm(what, nowMs);
    return outcome;
  }

  /** The key-value service answered that the held version is current. */
  confirm(what: DocumentKind, nowMs: number): void {
    this.states[what].confirmedMs = nowMs;
    this.recordContact(nowMs);
  }

  /** A peer or the key-value service has told its versions. */
  recordContact(nowMs: number): void {
    this.contactMs = Math.max(this.contactMs, nowMs);
  }

  /** Time since the key-value service confirmed the held version. */
  confirmedAgeMs(what: DocumentKind, nowMs: number): number {
    return nowMs - this.states[what].confirmedMs;
  }

  /** Time since anyone told this process its versions. */
  contactAgeMs(nowMs: number): number {
    return nowMs - this.contactMs;
  }

  /** Number of offers with this outcome, from one source or from all. */
  count(outcome: OfferOutcome, source?: DocumentSource): number {
    const sources = source ? [source] : (['key_value', 'peer'] as const);
    return sources
      .map(from => this.outcomes.get(`${outcome}/${from}`) ?? 0)
      .reduce((sum, count) => sum + count, 0);
  }

  private decide(what: DocumentKind, json: string): OfferOutcome {
    const state = this.states[what];
    if (state.held?.json === json) return 'same';
    const version = versionOfDocument(what, json);
    if (version === undefined) return 'unreadable';
    const heldVersion = this.version(what);
    if (version < heldVersion) return 'revert_refused';
    if (version === heldVersion) return 'fork_refused';
    state.held = {what, version, json};
    return 'taken';
  }
}

/** Returns the plan of a held document. */
export function readPlan(held: HeldDocument | undefined): Plan {
  return held ? (JSON.parse(held.json) as Plan) : EMPTY_PLAN;
}
