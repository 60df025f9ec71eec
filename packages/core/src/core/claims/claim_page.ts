/**
 * A claim page is one value of the key-value service with the claims of many
 * keys, replaced as a whole by compare-and-swap. Page objects are immutable.
 * Times are wall-clock milliseconds, because several hosts read them.
 */
import * as z from 'zod';
import type {InstanceId} from '../ids/ids.js';
import {
  mayBeRunning,
  applyClaimEvent,
  type Claim,
  type ClaimOutcome,
  type NewClaim,
} from './claim.js';

/** Less than the limit of 1 MB for values of the key-value service. */
export const MAX_CLAIM_PAGE_BYTES = 960_000;

/** Reserved for each running claim, so that the status of its outcome fits. */
const OUTCOME_RESERVE_BYTES = 64;

/** Braces of the JSON text of a page. */
const EMPTY_PAGE_BYTES = 2;

/** Quotes, colon and comma of an entry in the JSON text. */
const ENTRY_OVERHEAD_BYTES = 4;

export type ClaimPage = ReadonlyMap<string, Claim>;

export const EMPTY_CLAIM_PAGE: ClaimPage = new Map();

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
    ([key, claim]) => `${JSON.stringify(key)}:${serializeClaim(claim)}`,
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

/** Claims are immutable, so each is serialized once and not in every write. */
const serializedClaims = new WeakMap<Claim, string>();

/** Sizes of pages, which are immutable; a draft updates the size per change. */
const pageSizes = new WeakMap<ClaimPage, number>();

function serializeClaim(claim: Claim): string {
  let text = serializedClaims.get(claim);
  if (text === undefined) {
    text = JSON.stringify(toStored(claim));
    serializedClaims.set(claim, text);
  }
  return text;
}

/** Bytes of the claim in its page, including the reserve of a running claim. */
function claimBytes(keyHash: string, claim: Claim): number {
  const reserve = claim.state === 'running' ? OUTCOME_RESERVE_BYTES : 0;
  const textBytes = Buffer.byteLength(serializeClaim(claim));
  return textBytes + keyHash.length + ENTRY_OVERHEAD_BYTES + reserve;
}

/** Upper bound of the serialized size of the page, including reserves. */
export function claimPageBytes(page: ClaimPage): number {
  let sizeBytes = pageSizes.get(page);
  if (sizeBytes === undefined) {
    sizeBytes = EMPTY_PAGE_BYTES;
    for (const [key, claim] of page) sizeBytes += claimBytes(key, claim);
    pageSizes.set(page, sizeBytes);
  }
  return sizeBytes;
}

/**
 * Collects the changes of one write. The page is copied once and not for each
 * change, because it may hold thousands of claims.
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

  /** Stores the claim, or returns false if the page would be too large. */
  set(keyHash: string, claim: Claim): boolean {
    const found = this.get(keyHash);
    const removedBytes = found ? claimBytes(keyHash, found) : 0;
    const sizeBytes =
      this.sizeBytes + claimBytes(keyHash, claim) - removedBytes;
    if (sizeBytes > MAX_CLAIM_PAGE_BYTES) return false;
    this.changed ??= new Map(this.base);
    this.changed.set(keyHash, claim);
    this.sizeBytes = sizeBytes;
    return true;
  }

  /** Returns the changed page, or the original object if nothing changed. */
  finish(): ClaimPage {
    if (!this.changed) return this.base;
    pageSizes.set(this.changed, this.sizeBytes);
    return this.changed;
  }
}

/** Removes claims whose retention time has passed. */
export function expireClaims(page: ClaimPage, nowMs: number): ClaimPage {
  // Most claims are not expired and need no evaluation of the chart.
  const kept = [...page].filter(
    ([, claim]) =>
      nowMs < claim.expiresMs ||
      applyClaimEvent(claim, {type: 'expire', nowMs}),
  );
  return kept.length === page.size ? page : new Map(kept);
}

/** Result of a request to claim a key. */
export type ClaimVerdict =
  | {readonly kind: 'claimed'}
  | {readonly kind: 'done'; readonly outcome: ClaimOutcome}
  | {readonly kind: 'in_progress'}
  | {readonly kind: 'outcome_unknown'}
  | {readonly kind: 'key_reused'}
  | {readonly kind: 'page_full'};

/**
 * Adds a claim to the draft unless the key has one. An existing claim with the
 * same nonce comes from an earlier write of this request whose answer was lost.
 */
export function addClaimToDraft(
  draft: ClaimPageDraft,
  keyHash: string,
  claim: NewClaim,
  nowMs: number,
  holderMarginMs: number,
): ClaimVerdict {
  const found = draft.get(keyHash);
  const verdict =
    found && verdictOnExisting(found, claim, nowMs, holderMarginMs);
  if (verdict) return verdict;
  const next = applyClaimEvent(found, {type: 'claim', claim});
  if (!next || next === found) return {kind: 'outcome_unknown'};
  return {kind: draft.set(keyHash, next) ? 'claimed' : 'page_full'};
}

/** Returns undefined if the key may be claimed. */
function verdictOnExisting(
  found: Claim,
  claim: NewClaim,
  nowMs: number,
  holderMarginMs: number,
): ClaimVerdict | undefined {
  if (found.nonce === claim.nonce) {
    const kind = found.state === 'running' ? 'claimed' : 'outcome_unknown';
    return {kind};
  }
  if (found.fingerprint !== claim.fingerprint) return {kind: 'key_reused'};
  if (found.state === 'not_run') return undefined;
  if (found.outcome) return {kind: 'done', outcome: found.outcome};
  const isAlive = mayBeRunning(found, nowMs, holderMarginMs);
  return {kind: isAlive ? 'in_progress' : 'outcome_unknown'};
}

/** Without `outcome`, records that the call was not and will not be made. */
export interface ClaimRecord {
  readonly nonce: string;
  readonly expiresMs: number;
  readonly outcome?: ClaimOutcome;
}

/**
 * Records the outcome of the claim with the record's nonce. Does nothing if the
 * key has no claim or one with another nonce. If the page would be too large,
 * only the status is stored.
 */
export function recordOutcomeInDraft(
  draft: ClaimPageDraft,
  keyHash: string,
  record: ClaimRecord,
): 'recorded' | 'absent' {
  const found = draft.get(keyHash);
  if (found?.nonce !== record.nonce) return 'absent';
  const next = applyRecord(found, record);
  if (!next || next === found || draft.set(keyHash, next)) return 'recorded';
  // The reserve of the running claim covers the status alone.
  const status = next.outcome?.status;
  if (status !== undefined) draft.set(keyHash, {...next, outcome: {status}});
  return 'recorded';
}

function applyRecord(claim: Claim, record: ClaimRecord): Claim | undefined {
  const {nonce, expiresMs, outcome} = record;
  return outcome
    ? applyClaimEvent(claim, {type: 'record_done', nonce, expiresMs, outcome})
    : applyClaimEvent(claim, {type: 'record_not_run', nonce, expiresMs});
}

export interface PageChange<Verdict> {
  /** The same object when nothing is to be written. */
  readonly page: ClaimPage;
  readonly verdict: Verdict;
}

/** Returns the page after `addClaimToDraft`. */
export function addClaim(
  page: ClaimPage,
  keyHash: string,
  claim: NewClaim,
  nowMs: number,
  holderMarginMs: number,
): PageChange<ClaimVerdict> {
  const draft = new ClaimPageDraft(page);
  const verdict = addClaimToDraft(draft, keyHash, claim, nowMs, holderMarginMs);
  return {page: draft.finish(), verdict};
}

/** Returns the page after `recordOutcomeInDraft`. */
export function recordOutcome(
  page: ClaimPage,
  keyHash: string,
  record: ClaimRecord,
): PageChange<'recorded' | 'absent'> {
  const draft = new ClaimPageDraft(page);
  const verdict = recordOutcomeInDraft(draft, keyHash, record);
  return {page: draft.finish(), verdict};
}
