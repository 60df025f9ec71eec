import {describe, it} from 'node:test';
import type {PeerAddress} from '@azurecrank/core';
import {
  RELAYS_PER_GROUP,
  planRelays,
  type RegisteredEntry,
} from '@azurecrank/forwarding';
import {expect} from 'earl';

function entriesIn(zones: number, count: number): RegisteredEntry[] {
  return Array.from({length: count}, (_, i) => ({
    address: `10.${i % zones}.0.${i}:7340` as PeerAddress,
    availabilityZone: `zone-${i % zones}`,
  }));
}

function plansOf(entries: readonly RegisteredEntry[]) {
  return entries.map(entry => ({entry, plan: planRelays(entry, entries)}));
}

describe('planRelays', () => {
  it('has the entries of a small fleet report to all others', () => {
    const entries = entriesIn(3, 16);
    for (const {entry, plan} of plansOf(entries)) {
      expect(plan.isRelay).toEqual(true);
      expect(plan.relays.length).toEqual(15);
      expect(plan.relays).not.toInclude(entry.address);
    }
  });

  for (const [zones, count] of [
    [5, 19],
    [3, 48],
    [5, 68],
    [5, 370],
  ]) {
    describe(`with ${count} entries in ${zones} zones`, () => {
      const entries = entriesIn(zones, count);
      const plans = plansOf(entries);
      const relays = plans.filter(({plan}) => plan.isRelay);
      const members = plans.filter(({plan}) => !plan.isRelay);

      it('gives all entries the same relays', () => {
        const addresses = relays.map(({entry}) => entry.address).sort();
        for (const {entry, plan} of plans) {
          const own = plan.isRelay ? [entry.address] : [];
          expect([...plan.relays, ...own].sort()).toEqual(addresses);
        }
      });

      it('gives each entry two relays, and each relay few entries', () => {
        const entriesOf = new Map<PeerAddress, number>();
        for (const {plan} of members) {
          const [first, second] = plan.candidates;
          expect(first).not.toEqual(second);
          entriesOf.set(first, (entriesOf.get(first) ?? 0) + 1);
        }
        expect(Math.max(...entriesOf.values())).toBeLessThanOrEqual(16);
        expect(relays.length).toBeLessThanOrEqual(
          Math.ceil(count / 8) * RELAYS_PER_GROUP,
        );
      });

      it('lists the entries of the own zone before those of others', () => {
        for (const {entry, plan} of members) {
          const isNear = plan.candidates
            .slice(RELAYS_PER_GROUP)
            .map(address => entries.find(e => e.address === address))
            .map(e => e?.availabilityZone === entry.availabilityZone);
          expect(isNear).toEqual([...isNear].sort().reverse());
        }
      });
    });
  }

  it('exchanges reports directly with entries that know no relays', () => {
    const entries = entriesIn(2, 20);
    const earlier = {
      address: '10.9.0.1:1' as PeerAddress,
      availabilityZone: undefined,
    };
    const plan = planRelays(entries[0], [...entries, earlier]);
    expect(plan.direct).toEqual([earlier.address]);
    expect(plan.relays).not.toInclude(earlier.address);
  });
});
