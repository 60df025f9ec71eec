/**
 * A page of claims: one value of the key-value service that is replaced as a
 * whole by compare-and-swap. Pages are immutable; times are wall-clock
 * milliseconds, because several hosts read them.
 */
import {z} from 'zod';
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
  return JSON.stringify(
    Object.fromEntries([...page].map(([key, claim]) => [key, toStored(claim)])),
  );
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

/** Claims are immutable, so each is measured once and not for each write. */
const measuredBytes = new WeakMap<Claim, number>();

/** Bytes that the claim takes in its page, with the reserve while it runs. */
function claimBytes(keyHash: string, claim: Claim): number {
  let storedBytes = measuredBytes.get(claim);
  if (storedBytes === undefined) {
    storedBytes = Buffer.byteLength(JSON.stringify(toStored(claim)));
    measuredBytes.set(claim, storedBytes);
  }
  const reserve = claim.state === 'running' ? OUTCOME_RESERVE_BYTES : 0;
  return storedBytes + keyHash.length + 4 + reserve;
}

/** Upper bound of the serialized size of the page and its reserves. */
export function claimPageBytes(page: ClaimPage): number {
  let sizeBytes = 2;
  for (const [keyHash, claim] of page) sizeBytes += claimBytes(keyHash, claim);
  return sizeBytes;
}

/** Removes claims whose retention has passed. */
export function expireClaims(page: ClaimPage, nowMs: number): ClaimPage {
  const kept = [...page].filter(([, claim]) =>
    stepClaim(claim, {type: 'expire', nowMs}),
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

export interface PageChange<Verdict> {
  /** The same object when nothing is to be written. */
  readonly page: ClaimPage;
  readonly verdict: Verdict;
}

/**
 * Adds a claim unless the key has one. A claim that already carries the
 * request's nonce is its own, written by a write whose answer was lost.
 */
export function addClaim(
  page: ClaimPage,
  keyHash: string,
  claim: NewClaim,
  nowMs: number,
  marginMs: number,
): PageChange<ClaimVerdict> {
  const found = page.get(keyHash);
  const verdict = found && judgeFound(found, claim, nowMs, marginMs);
  if (verdict) return {page, verdict};
  const next = stepClaim(found, {type: 'claim', claim});
  if (!next || next === found) {
    return {page, verdict: {kind: 'outcome_unknown'}};
  }
  const changed = new Map(page).set(keyHash, next);
  if (claimPageBytes(changed) > MAX_PAGE_BYTES) {
    return {page, verdict: {kind: 'page_full'}};
  }
  return {page: changed, verdict: {kind: 'claimed'}};
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
export function recordOutcome(
  page: ClaimPage,
  keyHash: string,
  record: ClaimRecord,
): PageChange<'recorded' | 'absent'> {
  const found = page.get(keyHash);
  if (found?.nonce !== record.nonce) return {page, verdict: 'absent'};
  const next = stepRecord(found, record);
  if (next === found || !next) return {page, verdict: 'recorded'};
  const changed = new Map(page).set(keyHash, next);
  if (claimPageBytes(changed) <= MAX_PAGE_BYTES || !next.outcome) {
    return {page: changed, verdict: 'recorded'};
  }
  const {status} = next.outcome;
  changed.set(keyHash, {...next, outcome: {status}});
  return {page: changed, verdict: 'recorded'};
}

function stepRecord(claim: Claim, record: ClaimRecord): Claim | undefined {
  const {nonce, expiresMs, outcome} = record;
  return outcome
    ? stepClaim(claim, {type: 'record_done', nonce, expiresMs, outcome})
    : stepClaim(claim, {type: 'record_not_run', nonce, expiresMs});
}
