/**
 * A page of claims: one value of the key-value service that is replaced as a
 * whole by compare-and-swap. Pages are immutable; times are wall-clock
 * milliseconds, because several hosts read them.
 */
import * as z from 'zod';
import type {InstanceId} from '../ids/ids.js';
import {
  mayBeRunning,
  stepClaim,
  type Claim,
  type ClaimOutcome,
  type NewClaim,
} from './claim.js';

/** Values of the key-value service end at 1 MB; the rest is headroom. */
export const MAX_PAGE_BYTES = 960_000;

/** Kept free for each running claim, so that its outcome always fits. */
const OUTCOME_RESERVE_BYTES = 64;

/** Quotes, colon and comma around an entry. */
const PER_CLAIM_BYTES = 4;

export type ClaimPage = ReadonlyMap<string, Claim>;

export const EMPTY_PAGE: ClaimPage = new Map();

const storedClaim = z.object({
  s: z.enum(['running', 'done', 'not_run']),
  n: z.string(),
  f: z.string(),
  h: z.string(),
  d: z.number(),
  e: z.number(),
  c: z.number().optional(),
  b: z.string().optional(),
  m: z.record(z.string(), z.string()).optional(),
});

const storedPage = z.record(z.string(), storedClaim);

/** @throws Error if the text is not a page. */
export function parseClaimPage(text: string): ClaimPage {
  const stored = storedPage.parse(JSON.parse(text));
  return new Map(
    Object.entries(stored).map(([key, item]) => [key, fromStored(item)]),
  );
}

export function serializeClaimPage(page: ClaimPage): string {
  const items = [...page].map(
    ([key, claim]) => `${JSON.stringify(key)}:${claimText(claim)}`,
  );
  return `{${items.join(',')}}`;
}

function fromStored(item: z.infer<typeof storedClaim>): Claim {
  const outcome =
    item.c === undefined
      ? undefined
      : {
          status: item.c,
          body:
            item.b === undefined ? undefined : Buffer.from(item.b, 'base64'),
          headers: item.m,
        };
  return {
    state: item.s,
    nonce: item.n,
    fingerprint: item.f,
    holder: item.h as InstanceId,
    deadlineMs: item.d,
    expiresMs: item.e,
    outcome,
  };
}

function toStored(claim: Claim): z.infer<typeof storedClaim> {
  const {outcome} = claim;
  return {
    s: claim.state,
    n: claim.nonce,
    f: claim.fingerprint,
    h: claim.holder,
    d: claim.deadlineMs,
    e: claim.expiresMs,
    c: outcome?.status,
    b: outcome?.body && Buffer.from(outcome.body).toString('base64'),
    m: outcome?.headers,
  };
}

/** Claims are immutable, so each is serialized once and not for each write. */
const claimTexts = new WeakMap<Claim, string>();

/** Pages are immutable; the size of a changed page follows from the change. */
const pageSizes = new WeakMap<ClaimPage, number>();

function claimText(claim: Claim): string {
  let text = claimTexts.get(claim);
  if (text === undefined) {
    text = JSON.stringify(toStored(claim));
    claimTexts.set(claim, text);
  }
  return text;
}

/** Bytes that the claim takes in its page, with the reserve while it runs. */
function claimBytes(keyHash: string, claim: Claim): number {
  const reserve = claim.state === 'running' ? OUTCOME_RESERVE_BYTES : 0;
  const textBytes = Buffer.byteLength(claimText(claim));
  return textBytes + keyHash.length + PER_CLAIM_BYTES + reserve;
}

/** Upper bound of the serialized size of the page and its reserves. */
export function claimPageBytes(page: ClaimPage): number {
  let sizeBytes = pageSizes.get(page);
  if (sizeBytes === undefined) {
    sizeBytes = 2;
    for (const [key, claim] of page) sizeBytes += claimBytes(key, claim);
    pageSizes.set(page, sizeBytes);
  }
  return sizeBytes;
}

/**
 * Changes to a page within one write. The page is copied once and not for each
 * change, since it may hold thousands of claims.
 */
export class ClaimPageDraft {
  private changed: Map<string, Claim> | undefined;
  private sizeBytes: number;

  constructor(private readonly base: ClaimPage) {
    this.sizeBytes = claimPageBytes(base);
  }

  get(keyHash: string): Claim | undefined {
    return (this.changed ?? this.base).get(keyHash);
  }

  /** Returns false, without a change, if the page would be too large. */
  set(keyHash: string, claim: Claim): boolean {
    const found = this.get(keyHash);
    const removedBytes = found ? claimBytes(keyHash, found) : 0;
    const sizeBytes =
      this.sizeBytes + claimBytes(keyHash, claim) - removedBytes;
    if (sizeBytes > MAX_PAGE_BYTES) return false;
    this.changed ??= new Map(this.base);
    this.changed.set(keyHash, claim);
    this.sizeBytes = sizeBytes;
    return true;
  }

  /** Ends the draft; the page is the one given if nothing changed. */
  finish(): ClaimPage {
    if (!this.changed) return this.base;
    pageSizes.set(this.changed, this.sizeBytes);
    return this.changed;
  }
}

/** Removes claims whose retention has passed. */
export function expireClaims(page: ClaimPage, nowMs: number): ClaimPage {
  // Most claims are young; the chart is asked only about the others.
  const kept = [...page].filter(
    ([, claim]) =>
      nowMs < claim.expiresMs || stepClaim(claim, {type: 'expire', nowMs}),
  );
  return kept.length === page.size ? page : new Map(kept);
}

/** What a request to claim a key finds. */
export type ClaimVerdict =
  | {readonly kind: 'claimed'}
  | {readonly kind: 'done'; readonly outcome: ClaimOutcome}
  | {readonly kind: 'in_progress'}
  | {readonly kind: 'outcome_unknown'}
  | {readonly kind: 'key_reused'}
  | {readonly kind: 'page_full'};

/**
 * Adds a claim unless the key has one. A claim that already carries the
 * request's nonce is its own, written by a write whose answer was lost.
 */
export function draftClaim(
  draft: ClaimPageDraft,
  keyHash: string,
  claim: NewClaim,
  nowMs: number,
  marginMs: number,
): ClaimVerdict {
  const found = draft.get(keyHash);
  const verdict = found && judgeFound(found, claim, nowMs, marginMs);
  if (verdict) return verdict;
  const next = stepClaim(found, {type: 'claim', claim});
  if (!next || next === found) return {kind: 'outcome_unknown'};
  return {kind: draft.set(keyHash, next) ? 'claimed' : 'page_full'};
}

/** Returns undefined if the key may be claimed. */
function judgeFound(
  found: Claim,
  claim: NewClaim,
  nowMs: number,
  marginMs: number,
): ClaimVerdict | undefined {
  if (found.nonce === claim.nonce) {
    const kind = found.state === 'running' ? 'claimed' : 'outcome_unknown';
    return {kind};
  }
  if (found.fingerprint !== claim.fingerprint) return {kind: 'key_reused'};
  if (found.state === 'not_run') return undefined;
  if (found.outcome) return {kind: 'done', outcome: found.outcome};
  const isAlive = mayBeRunning(found, nowMs, marginMs);
  return {kind: isAlive ? 'in_progress' : 'outcome_unknown'};
}

/** `outcome` undefined records that the call was not and will not be made. */
export interface ClaimRecord {
  readonly nonce: string;
  readonly expiresMs: number;
  readonly outcome?: ClaimOutcome;
}

/**
 * Records the outcome of a claim under its nonce; a claim that is gone or has
 * another nonce stays as it is. The body is dropped when the page has no room.
 */
export function draftOutcome(
  draft: ClaimPageDraft,
  keyHash: string,
  record: ClaimRecord,
): 'recorded' | 'absent' {
  const found = draft.get(keyHash);
  if (found?.nonce !== record.nonce) return 'absent';
  const next = stepRecord(found, record);
  if (!next || next === found || draft.set(keyHash, next)) return 'recorded';
  // The reserve of the running claim covers the status alone.
  const status = next.outcome?.status;
  if (status !== undefined) draft.set(keyHash, {...next, outcome: {status}});
  return 'recorded';
}

function stepRecord(claim: Claim, record: ClaimRecord): Claim | undefined {
  const {nonce, expiresMs, outcome} = record;
  return outcome
    ? stepClaim(claim, {type: 'record_done', nonce, expiresMs, outcome})
    : stepClaim(claim, {type: 'record_not_run', nonce, expiresMs});
}

export interface PageChange<Verdict> {
  /** The same object when nothing is to be written. */
  readonly page: ClaimPage;
  readonly verdict: Verdict;
}

/** `draftClaim` as a function from page to page. */
export function addClaim(
  page: ClaimPage,
  keyHash: string,
  claim: NewClaim,
  nowMs: number,
  marginMs: number,
): PageChange<ClaimVerdict> {
  const draft = new ClaimPageDraft(page);
  const verdict = draftClaim(draft, keyHash, claim, nowMs, marginMs);
  return {page: draft.finish(), verdict};
}

/** `draftOutcome` as a function from page to page. */
export function recordOutcome(
  page: ClaimPage,
  keyHash: string,
  record: ClaimRecord,
): PageChange<'recorded' | 'absent'> {
  const draft = new ClaimPageDraft(page);
  const verdict = draftOutcome(draft, keyHash, record);
  return {page: draft.finish(), verdict};
}
