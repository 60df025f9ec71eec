import {describe, it} from 'node:test';
import {
  ADMISSIBLE_CAPACITY_FRACTION,
  SharedRetryBudget,
  findChains,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {
  ENTRY_COUNT,
  EntryFleet,
  REQUEST_TOKENS,
  RUN_MS,
  STEP_MS,
} from './entry_fleet.js';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

const WINDOW_MS = 10_000;
/** Limits of the deployment of incident 6, over all entries. */
const LIMITS = {ratio: 0.2, extraRetries: 366, windowMs: WINDOW_MS};

describe('many entries', () => {
  describe('that retry as often as they may', () => {
    const REQUESTS_PER_SECOND = 153;
    const REQUESTS = (REQUESTS_PER_SECOND * WINDOW_MS) / 1000;
    const ALLOWED = LIMITS.ratio * REQUESTS + LIMITS.extraRetries;

    /** Returns the retries of all entries in one window. */
    function countRetries(reachesPeers: boolean): number {
      const budgets = Array.from(
        {length: ENTRY_COUNT},
        () => new SharedRetryBudget(-Infinity, LIMITS),
      );
      for (const budget of budgets) budget.setEntryCount(ENTRY_COUNT);
      let retries = 0;
      let arrived = 0;
      for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += 50) {
        for (; arrived < (nowMs * REQUESTS_PER_SECOND) / 1000; arrived++) {
          budgets[arrived % ENTRY_COUNT].recordRequest(SERVICE, nowMs);
        }
        budgets.forEach((budget, i) => {
          while (budget.tryAcquire(SERVICE, nowMs)) retries++;
          // Each entry reports every 200 ms, at a time of its own.
          if (reachesPeers && (nowMs / 50 + i) % 4 === 0) {
            const counts = budget.report(nowMs);
            budgets.forEach((peer, j) => {
              if (j !== i) peer.setPeerCounts(`entry-${i}`, counts, nowMs);
            });
          }
        });
      }
      return retries;
    }

    // Guards against budgets that each entry applies for itself (incident 6).
    it('together stay within the retry budget of the service', () => {
      expect(countRetries(true)).toBeLessThanOrEqual(ALLOWED);
    });

    it('stay within it if they cannot reach each other', () => {
      expect(countRetries(false)).toBeLessThanOrEqual(ALLOWED);
    });

    it('use most of it', () => {
      expect(countRetries(true)).toBeGreaterThan(ALLOWED * 0.7);
    });
  });

  describe('whose requests wait for KV-cache tokens', () => {
    const REQUESTS_PER_ENTRY = 20;
    /** Requests that fit into the part of all chains that is admitted to. */
    const CONCURRENT_REQUESTS = findChains(MODEL, laidOutFleet()).reduce(
      (sum, {capacityTokens}) =>
        sum +
        Math.floor(
          (capacityTokens * ADMISSIBLE_CAPACITY_FRACTION) / REQUEST_TOKENS,
        ),
      0,
    );
    /** Target for the throughput as a fraction of its bound. */
    const MIN_THROUGHPUT = 0.9;
    /** More than there are KV-cache tokens for. */
    const URGENT_REQUESTS = Math.ceil(CONCURRENT_REQUESTS * 1.1);
    /** Callers leave 2 s after the last event at the earliest. */
    const MAX_RESUME_WAIT_MS = 1800;
    /** Share that the ranks below the urgent one keep. */
    const RESERVED_SHARE = 0.08;

    function queueRequests(): EntryFleet {
      const fleet = new EntryFleet();
      for (let i = 0; i < REQUESTS_PER_ENTRY; i++) {
        for (const entry of fleet.entries) entry.enqueue(`r${i}`, 'ordinary');
      }
      fleet.advance(100);
      return fleet;
    }

    // Guards against all entries filling the same free tokens (incident 6).
    it('do not overcommit chains that come back', () => {
      const fleet = queueRequests();
      fleet.advance(300);
      fleet.registerServers();
      fleet.advance(4000);
      expect(fleet.refused).toEqual(0);
      expect(fleet.sent).toBeGreaterThan(REQUESTS_PER_ENTRY);
    });

    // Guards against tokens that stay free while entries wait for each other.
    it('refuse hardly more than the servers cannot run', () => {
      const fleet = new EntryFleet();
      fleet.registerServers();
      const offered = Math.ceil(CONCURRENT_REQUESTS * 8.15);
      // A third more than the servers can run.
      const intervalMs = RUN_MS / (CONCURRENT_REQUESTS * (4 / 3));
      for (let i = 0; i < offered; i++) {
        const entry = fleet.entries[(i * 13) % ENTRY_COUNT];
        entry.enqueue(`r${i}`, 'ordinary', 425);
        if (fleet.nowMs < i * intervalMs) fleet.advance(STEP_MS);
      }
      const bound = CONCURRENT_REQUESTS * (1 + fleet.nowMs / RUN_MS);
      expect(bound).toBeLessThan(offered);
      expect(fleet.accepted.length).toBeGreaterThanOrEqual(
        bound * MIN_THROUGHPUT,
      );
    });

    // Guards against streams that wait in vain, most of their work done, while
    // new requests take each token that becomes free (incident LOST).
    it('continue the requests of a lost chain before new ones', () => {
      const fleet = new EntryFleet();
      fleet.registerServers();
      const intervalMs = RUN_MS / (CONCURRENT_REQUESTS * (4 / 3));
      const lossAtMs = 2 * RUN_MS;
      let isLost = false;
      for (let i = 0; fleet.nowMs < 2 * lossAtMs; i++) {
        const entry = fleet.entries[(i * 13) % ENTRY_COUNT];
        entry.enqueue(`r${i}`, i % 3 === 0 ? 'urgent' : 'ordinary', 425);
        if (fleet.nowMs < i * intervalMs) fleet.advance(STEP_MS);
        if (isLost || fleet.nowMs < lossAtMs) continue;
        isLost = true;
        const chains = [...fleet.entries[0].admission.currentChains()];
        chains.sort((a, b) => a.capacityTokens - b.capacityTokens);
        fleet.loseChain(chains[0]);
      }
      const waitsMs = [...fleet.resumedAfterMs].sort((a, b) => a - b);
      expect(fleet.interrupted).toBeGreaterThan(10);
      expect(waitsMs.length).toEqual(fleet.interrupted);
      expect(waitsMs.at(-1) ?? Infinity).toBeLessThanOrEqual(
        MAX_RESUME_WAIT_MS,
      );
    });

    // Guards against ranks that only count within one entry (incident 6).
    it('serve urgent requests of one entry before others of its peers', () => {
      const fleet = queueRequests();
      for (let i = 0; i < URGENT_REQUESTS; i++) {
        fleet.entries[20 + (i % 10)].enqueue(`u${i}`, 'urgent');
      }
      fleet.advance(300);
      fleet.registerServers();
      fleet.advance(1000);
      const others = fleet.accepted.filter(rank => rank !== 'urgent');
      expect(fleet.accepted.length).toBeGreaterThan(100);
      expect(others.length).toBeLessThanOrEqual(
        fleet.accepted.length * RESERVED_SHARE,
      );
    });
  });
});
