import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  ClaimPageDraft,
  EMPTY_CLAIM_PAGE,
  MAX_CLAIM_PAGE_BYTES,
  addClaim,
  claimKeyHash,
  claimPageBytes,
  claimPageIndex,
  addClaimToDraft,
  recordOutcomeInDraft,
  expireClaims,
  orderServersForPage,
  parseClaimPage,
  preferredServerForPage,
  recordOutcome,
  requestFingerprint,
  serializeClaimPage,
  toId,
  type ClaimPage,
  type InstanceId,
  type NewClaim,
  type ServerId,
} from '../src/index.js';

const NOW_MS = 1_000_000;
const MARGIN_MS = 100;

function newClaim(nonce: string, change: Partial<NewClaim> = {}): NewClaim {
  return {
    nonce,
    fingerprint: 'f',
    holder: 'side' as InstanceId,
    deadlineMs: NOW_MS + 1000,
    expiresMs: NOW_MS + 10_000,
    ...change,
  };
}

function add(page: ClaimPage, claim: NewClaim, nowMs = NOW_MS) {
  return addClaim(page, 'key', claim, nowMs, MARGIN_MS);
}

function record(page: ClaimPage, nonce: string, status?: number, size = 2) {
  const outcome =
    status === undefined
      ? undefined
      : {status, headers: {}, body: Buffer.alloc(size)};
  return recordOutcome(page, 'key', {
    nonce,
    expiresMs: NOW_MS + 10_000,
    outcome,
  });
}

describe('claim page', () => {
  const {page: running} = add(EMPTY_CLAIM_PAGE, newClaim('a'));

  describe('a key that has a running claim', () => {
    it('is in progress until the deadline plus the margin', () => {
      const lateMs = NOW_MS + 1000 + MARGIN_MS;
      const before = add(running, newClaim('b'), lateMs - 1).verdict;
      const after = add(running, newClaim('b'), lateMs).verdict;
      expect([before.kind, after.kind]).toEqual([
        'in_progress',
        'outcome_unknown',
      ]);
    });

    it('is claimed for its own nonce after a lost answer', () => {
      expect(add(running, newClaim('a'))).toEqual({
        page: running,
        verdict: {kind: 'claimed'},
      });
    });

    it('refuses another request under the key', () => {
      const other = newClaim('b', {fingerprint: 'g'});
      expect(add(running, other).verdict.kind).toEqual('key_reused');
    });

    it('ignores an outcome with another nonce', () => {
      expect(record(running, 'b', 200)).toEqual({
        page: running,
        verdict: 'absent',
      });
    });
  });

  describe('a key with an outcome', () => {
    it('returns the stored answer after serializing and parsing', () => {
      const {page} = record(running, 'a', 201);
      const read = parseClaimPage(serializeClaimPage(page));
      const {verdict} = add(read, newClaim('b'));
      expect(verdict).toEqual({
        kind: 'done',
        outcome: {status: 201, headers: {}, body: Buffer.alloc(2)},
      });
    });

    it('keeps its first outcome when another is recorded', () => {
      const {page} = record(running, 'a', 200);
      expect(record(page, 'a').page).toEqual(page);
    });

    it('may be claimed again after not_run, but not by the old nonce', () => {
      const {page} = record(running, 'a');
      const again = add(page, newClaim('b'));
      expect(again.verdict.kind).toEqual('claimed');
      expect(record(again.page, 'a', 200).verdict).toEqual('absent');
      expect(add(page, newClaim('a')).verdict.kind).toEqual('outcome_unknown');
    });
  });

  describe('retention and size', () => {
    it('removes a claim only when its retention has passed', () => {
      expect(expireClaims(running, NOW_MS + 9999).size).toEqual(1);
      expect(expireClaims(running, NOW_MS + 10_000).size).toEqual(0);
    });

    it('refuses claims beyond the size and still stores all outcomes', () => {
      const claims = new ClaimPageDraft(EMPTY_CLAIM_PAGE);
      const keys: string[] = [];
      for (;;) {
        const key = claimKeyHash(toId('w'), toId('s'), `k${keys.length}`);
        const claim = newClaim(key);
        const verdict = addClaimToDraft(claims, key, claim, NOW_MS, MARGIN_MS);
        if (verdict.kind === 'page_full') break;
        keys.push(key);
      }
      const full = claims.finish();
      expect(claimPageBytes(full)).toBeGreaterThan(MAX_CLAIM_PAGE_BYTES - 1000);
      const outcomes = new ClaimPageDraft(full);
      for (const nonce of keys) {
        const outcome = {status: 200, headers: {}, body: Buffer.alloc(4096)};
        recordOutcomeInDraft(outcomes, nonce, {
          nonce,
          expiresMs: NOW_MS,
          outcome,
        });
      }
      const page = outcomes.finish();
      expect([...page.values()].every(c => c.state === 'done')).toEqual(true);
      expect(serializeClaimPage(page).length).toBeLessThan(1_000_000);
    });
  });
});

describe('claim keys', () => {
  it('differ for parts with the same concatenation', () => {
    const hash = (w: string, s: string, k: string) =>
      claimKeyHash(toId(w), toId(s), k);
    expect(hash('a', 'bc', 'd')).not.toEqual(hash('ab', 'c', 'd'));
    const body = Buffer.from('x');
    expect(requestFingerprint('PUT', '/a', body)).not.toEqual(
      requestFingerprint('PUT', '/ax', Buffer.alloc(0)),
    );
  });

  it('are distributed over all pages', () => {
    const pages = new Set(
      Array.from({length: 400}, (_, index) =>
        claimPageIndex(claimKeyHash(toId('w'), toId('s'), `${index}`), 16),
      ),
    );
    expect(pages.size).toEqual(16);
  });

  it('move only the pages of a server that leaves', () => {
    const servers = ['a', 'b', 'c'] as ServerId[];
    for (let page = 0; page < 50; page++) {
      const [first, second] = orderServersForPage(`p${page}`, servers);
      const left = servers.filter(server => server !== 'a');
      const expected = first === 'a' ? second : first;
      expect(preferredServerForPage(`p${page}`, left)).toEqual(expected);
    }
  });
});
