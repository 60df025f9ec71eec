import {describe, it} from 'node:test';
import {RetryBudget} from '@azurecrank/core';
import {RETRY_BUDGET} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {ENTRY_COUNT, EntryFleet} from './entry_fleet.js';

/** Limits of the deployment of incident 6, over all entries. */
const RETRY_RATIO = 0.2;
const EXTRA_RETRIES = 366;
const WINDOW_MS = 10_000;

describe('many entries', () => {
  describe('that retry as often as they may', () => {
    const REQUESTS_PER_SECOND = 153;

    /** Returns the retries of all entries in one window. */
    function countRetries(): number {
      const budgets = Array.from(
        {length: ENTRY_COUNT},
        () => new RetryBudget(0, RETRY_BUDGET),
      );
      let retries = 0;
      let arrived = 0;
      for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += 50) {
        for (; arrived < (nowMs * REQUESTS_PER_SECOND) / 1000; arrived++) {
          budgets[arrived % ENTRY_COUNT].recordSuccess(nowMs);
        }
        for (const budget of budgets) {
          while (budget.tryAcquire(nowMs)) retries++;
        }
      }
      return retries;
    }

    // Guards against budgets that each entry applies for itself (incident 6).
    it('together stay within the retry budget of the service', () => {
      const requests = (REQUESTS_PER_SECOND * WINDOW_MS) / 1000;
      const allowed = RETRY_RATIO * requests + EXTRA_RETRIES;
      expect(countRetries()).toBeLessThanOrEqual(allowed);
    });
  });

  describe('whose requests wait for KV-cache tokens', () => {
    const REQUESTS_PER_ENTRY = 20;
    /** More than there are KV-cache tokens for. */
    const URGENT_REQUESTS = 300;
    /** Share that the ranks below the urgent one keep. */
    const RESERVED_SHARE = 0.08;

    function queueRequests(): EntryFleet {
      const fleet = new EntryFleet();
      for (let i = 0; i < REQUESTS_PER_ENTRY; i++) {
        for (const entry of fleet.entries) entry.enqueue(`r${i}`, 'ordinary');
      }
      fleet.advance(1000);
      return fleet;
    }

    // Guards against all entries filling the same free tokens (incident 6).
    it('do not overcommit chains that come back', () => {
      const fleet = queueRequests();
      fleet.registerServers();
      fleet.advance(4000);
      expect(fleet.refused).toEqual(0);
      expect(fleet.sent).toBeGreaterThan(REQUESTS_PER_ENTRY);
    });

    // Guards against ranks that only count within one entry (incident 6).
    it('serve urgent requests of one entry before others of its peers', () => {
      const fleet = queueRequests();
      for (let i = 0; i < URGENT_REQUESTS; i++) {
        fleet.entries[20 + (i % 10)].enqueue(`u${i}`, 'urgent');
      }
      fleet.advance(400);
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
