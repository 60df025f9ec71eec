/**
 * Handover of the layout lease between entries. Guards against two entries that
 * act at once, and against layers that are ordered twice.
 */
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {LayoutFleet} from './layout_fleet.js';

/** Numbers of entries of a small and of a large installation. */
const ENTRY_COUNTS = [8, 68];

/** Time that a handover travels to the next entry. */
const HANDOVER_MS = 30;

/** Time within which a holder is found and has ordered all layers. */
const LAYOUT_MS = 15_000;

/** Times from the first query until the handover; orders follow at 40 ms. */
const FIRST_HANDOVERS_AFTER_MS = [10, 30];
const HANDOVERS_AFTER_MS = [10, 30, 50, 70, 200];

/** Delay of orders that arrive after those of the next holder may. */
const LATE_ORDER_MS = 150;

for (const entries of ENTRY_COUNTS) {
  describe(`the layout lease among ${entries} entries`, () => {
    let fleet: LayoutFleet;

    beforeEach(() => {
      fleet = new LayoutFleet(entries);
    });

    afterEach(() => {
      fleet[Symbol.dispose]();
    });

    /** Hands the lease over; returns when the former holder gave it up. */
    async function handOver(from: number, to: number): Promise<number> {
      const lease = fleet.runners[from].handOverLease();
      const handedOverAtMs = fleet.nowMs;
      if (!lease) throw new Error(`entry ${from} does not hold the lease`);
      await fleet.advance(HANDOVER_MS);
      fleet.runners[to].adoptLease(lease);
      return handedOverAtMs;
    }

    /** Lets the first entry become the holder, about to order layers. */
    async function startWithHolder(): Promise<void> {
      fleet.runners[0].start();
      await fleet.advanceUntil(LAYOUT_MS, () => fleet.queries > 0);
      for (const runner of fleet.runners.slice(1)) runner.start();
    }

    async function expectLayout(): Promise<void> {
      const {loaded} = fleet;
      await fleet.advance(LAYOUT_MS);
      expect(fleet.loaded).toBeGreaterThan(loaded);
      expect(fleet.acceptedTwice).toEqual([]);
    }

    for (const afterMs of FIRST_HANDOVERS_AFTER_MS) {
      it(`is used by one if handed over ${afterMs} ms after a query`, async () => {
        await startWithHolder();
        await fleet.advance(afterMs);
        const handedOverAtMs = await handOver(0, 1);
        await expectLayout();
        expect(fleet.sentBy(0, handedOverAtMs)).toEqual([]);
        expect(fleet.sentBy(1, handedOverAtMs).length).toBeGreaterThan(0);
        expect(fleet.orders.every(({entry}) => entry <= 1)).toEqual(true);
      });
    }

    for (const afterMs of HANDOVERS_AFTER_MS) {
      it(`brings no order twice if orders arrive late (${afterMs} ms)`, async () => {
        await startWithHolder();
        await expectLayout();
        fleet.restartEveryNth(3);
        const {queries, orders} = fleet;
        const ordersBefore = orders.length;
        await fleet.advanceUntil(LAYOUT_MS, () => fleet.queries > queries);
        fleet.orderDelayMs = LATE_ORDER_MS;
        await fleet.advance(afterMs);
        const handedOverAtMs = await handOver(0, 1);
        await expectLayout();
        expect(orders.length).toBeGreaterThan(ordersBefore);
        expect(fleet.sentBy(0, handedOverAtMs)).toEqual([]);
      });
    }

    it('is used by one while all entries restart in turn', async () => {
      await startWithHolder();
      const endsAtMs: number[] = [];
      for (let next = 1; next < entries; next++) {
        await fleet.advance(HANDOVER_MS);
        endsAtMs.push(await handOver(next - 1, next));
      }
      await expectLayout();
      const late = endsAtMs.flatMap((atMs, i) => fleet.sentBy(i, atMs));
      expect(late).toEqual([]);
    });

    it('is not taken from a later holder while the store is away', async () => {
      await startWithHolder();
      const lease = fleet.runners[0].handOverLease();
      if (!lease) throw new Error('the first entry does not hold the lease');
      await fleet.advanceUntil(LAYOUT_MS, () => fleet.orders.length > 0);
      const holder = fleet.orders[0].entry;
      const late = holder === 1 ? 2 : 1;
      await expectLayout();
      // Only the entry itself can tell now that the lease is an earlier one.
      fleet.store.isAway = true;
      fleet.runners[late].adoptLease(lease);
      fleet.restartEveryNth(3);
      await expectLayout();
      expect(fleet.sentBy(0, 0)).toEqual([]);
      expect(fleet.orders.every(({entry}) => entry === holder)).toEqual(true);
    });
  });
}
