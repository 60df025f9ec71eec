/** Reports of many entries over relays, under load, losses and restarts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ReportFleet, type ReportEntry} from './report_fleet.js';

const SEEDS = [1, 2, 3];

/** Age up to which what an entry knows may be out of date. */
const MAX_DELAY_MS = 600;

/** The tokens of a lost entry count for this time at the most. */
const USED_TOKENS_RETENTION_MS = 3000;

function createFleet(entries: number, seed = 1, earlierReleases = 0) {
  const random = seededRandom(seed);
  return new ReportFleet({entries, random, earlierReleases});
}

/** A linear congruential generator; its seeds give the same runs anywhere. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Tokens that an entry should know of: one for each other running entry. */
const tokensOfOthers = (fleet: ReportFleet) => () => fleet.alive.length - 1;

function expectAllKnown(fleet: ReportFleet, withinMs: number): void {
  const expected = tokensOfOthers(fleet);
  const isKnown = () => fleet.knowing(expected).length === fleet.alive.length;
  fleet.advanceUntil(withinMs, isKnown);
  const wrong = fleet.alive.filter(e => e.knownTokens !== expected());
  expect(wrong.map(e => [e.node, e.knownTokens])).toEqual([]);
}

function nobodyKnowsMore(fleet: ReportFleet, tokens: number): boolean {
  return fleet.alive.every(entry => entry.knownTokens <= tokens);
}

describe('ReportExchange', () => {
  for (const entries of [8, 19, 48, 68]) {
    describe(`with ${entries} entries`, () => {
      it('tells each one of all others, each counted once', () => {
        const fleet = createFleet(entries);
        expectAllKnown(fleet, 2000);
        for (let i = 0; i < 20; i++) {
          fleet.advance(100);
          expect(nobodyKnowsMore(fleet, entries - 1)).toEqual(true);
        }
        expect(fleet.alive.every(e => e.known.entries === entries - 1)).toEqual(
          true,
        );
      });

      it('tells all others of a change in time', () => {
        const fleet = createFleet(entries);
        expectAllKnown(fleet, 2000);
        for (const entry of [fleet.entries[0], fleet.entries[entries - 1]]) {
          const before = entry.state.usedTokens;
          entry.state = {...entry.state, usedTokens: {x: 7}};
          const others = fleet.alive.filter(other => other !== entry);
          const isKnown = () =>
            others.every(other => other.known.usedTokens.x === 7);
          const delayMs = fleet.advanceUntil(5000, isKnown);
          expect(delayMs).toBeLessThanOrEqual(MAX_DELAY_MS);
          entry.state = {...entry.state, usedTokens: before};
          fleet.advance(2000);
        }
      });

      it('tells all of a lost server within 300 ms', () => {
        const fleet = createFleet(entries);
        expectAllKnown(fleet, 2000);
        fleet.entries[entries - 1].suspect('10.9.0.2:80');
        const delayMs = timeUntilSuspected(fleet, '10.9.0.2:80');
        expect(delayMs).toBeLessThan(300);
      });
    });
  }

  it('sends fewer messages for each entry than reports to all others', () => {
    const messagesPerS = (entries: number) => {
      const fleet = createFleet(entries);
      fleet.advance(3000);
      fleet.sentMessages = 0;
      for (let i = 0; i < 50; i++) {
        // All entries have something new to report.
        for (const entry of fleet.entries)
          entry.state = {...entry.state, usedTokens: {x: i}};
        fleet.advance(100);
      }
      return fleet.sentMessages / 5 / entries;
    };
    expect(messagesPerS(68)).toBeLessThan(67 * 5 * 0.2);
    expect(messagesPerS(201)).toBeLessThan(messagesPerS(68) * 2);
  });

  for (const seed of SEEDS) {
    describe(`with 68 entries, seed ${seed}`, () => {
      it('hears of urgent news also while a relay is lost', () => {
        const fleet = createFleet(68, seed);
        expectAllKnown(fleet, 2000);
        const relay = fleet.entries.find(({isRelay}) => isRelay);
        relay?.stop();
        const reporter = fleet.alive.find(({isRelay}) => !isRelay);
        reporter?.suspect('10.9.0.3:80');
        const delayMs = timeUntilSuspected(fleet, '10.9.0.3:80');
        expect(delayMs).toBeLessThan(300);
      });

      // Guards against relays that pass on each of many reports of one loss.
      it('passes on the news of all entries at a bounded rate', () => {
        const fleet = createFleet(68, seed);
        expectAllKnown(fleet, 2000);
        fleet.sentMessages = 0;
        for (const entry of fleet.alive) {
          entry.suspect('10.9.0.5:80');
          fleet.advance(5);
        }
        expect(timeUntilSuspected(fleet, '10.9.0.5:80')).toBeLessThan(300);
        const urgentMessages = fleet.sentMessages - 68 * 2;
        // 10 relays that pass on 6 times to 9 relays and 14 entries.
        expect(urgentMessages).toBeLessThan(10 * 6 * (9 + 14) * 1.5);
      });

      it('forgets nothing as relays are lost one after the other', () => {
        const fleet = createFleet(68, seed);
        expectAllKnown(fleet, 2000);
        for (let i = 0; i < 6; i++) {
          const relays = fleet.alive.filter(({isRelay}) => isRelay);
          relays[Math.floor(fleet.random() * relays.length)].stop();
          const alive = fleet.alive.length;
          for (let step = 0; step < 30; step++) {
            fleet.advance(50);
            for (const entry of fleet.alive) {
              // Lost entries count for a while, running ones all the time.
              expect(entry.knownTokens).toBeGreaterThanOrEqual(alive - 1);
              expect(entry.knownTokens).toBeLessThanOrEqual(67);
            }
          }
          if (i % 2 === 1) fleet.updateDirectories();
        }
        expectAllKnown(fleet, USED_TOKENS_RETENTION_MS + MAX_DELAY_MS);
      });

      it('knows the others again after half of the entries are killed', () => {
        const fleet = createFleet(68, seed);
        expectAllKnown(fleet, 2000);
        const killed = fleet.entries.filter(() => fleet.random() < 0.5);
        for (const entry of killed) entry.stop();
        fleet.advance(1000);
        for (const entry of killed) entry.restart();
        expectAllKnown(fleet, USED_TOKENS_RETENTION_MS + MAX_DELAY_MS);
      });

      it('keeps both sides of a parted zone informed', () => {
        const fleet = createFleet(68, seed);
        expectAllKnown(fleet, 2000);
        const isCut = ({availabilityZone}: ReportEntry) =>
          availabilityZone === 'b';
        fleet.passes = (from, to) => isCut(from) === isCut(to);
        const size = fleet.alive.filter(isCut).length;
        fleet.advance(USED_TOKENS_RETENTION_MS + 2000);
        for (const entry of fleet.alive) {
          const others = isCut(entry) ? size - 1 : 68 - size - 1;
          expect([entry.node, entry.knownTokens]).toEqual([entry.node, others]);
        }
        fleet.advance(5000);
        fleet.passes = () => true;
        expectAllKnown(fleet, 2000);
      });

      it('is told of all in spite of links that are cut one way', () => {
        const fleet = createFleet(68, seed);
        expectAllKnown(fleet, 2000);
        const relay = fleet.entries.find(({isRelay}) => isRelay);
        // Reports reach the relay, but nothing comes from it.
        fleet.passes = from => from !== relay;
        fleet.advance(USED_TOKENS_RETENTION_MS + 2000);
        const others = fleet.alive.filter(entry => entry !== relay);
        const tokens = others.map(entry => entry.knownTokens);
        // Nothing is heard of the relay itself.
        expect([...new Set(tokens)]).toEqual([66]);
        fleet.passes = () => true;
        expectAllKnown(fleet, 2000);
      });

      it('counts nothing twice while a third of the messages is lost', () => {
        const fleet = createFleet(68, seed);
        expectAllKnown(fleet, 2000);
        fleet.passes = () => fleet.random() >= 0.3;
        for (let i = 0; i < 100; i++) {
          fleet.advance(100);
          expect(nobodyKnowsMore(fleet, 67)).toEqual(true);
          const known = fleet.alive.map(entry => entry.knownTokens);
          expect(Math.min(...known)).toBeGreaterThanOrEqual(60);
        }
      });

      it('knows all others when all have started at once', () => {
        const fleet = createFleet(68, seed);
        // Entries learn of each other at different times.
        for (const entry of fleet.entries) entry.setDirectory([]);
        fleet.advance(300);
        for (const entry of fleet.entries) {
          entry.setDirectory(fleet.entries.map(e => e.registration));
          fleet.advance(15);
        }
        expectAllKnown(fleet, 2000);
      });
    });
  }

  it('exchanges reports with entries of the earlier release', () => {
    const fleet = createFleet(24, 1, 3);
    fleet.advance(3000);
    const [earlier, later] = [
      fleet.entries.slice(0, 3),
      fleet.entries.slice(3),
    ];
    expect(new Set(later.map(entry => entry.knownTokens))).toEqual(
      new Set([23]),
    );
    // Earlier ones hear of each entry in a report of its own.
    expect(earlier.every(entry => entry.knownTokens === 1)).toEqual(true);
    earlier[0].suspect('10.9.0.4:80');
    expect(timeUntilSuspected(fleet, '10.9.0.4:80')).toBeLessThan(1000);
  });
});

/** Time until all running entries know of a suspected server. */
function timeUntilSuspected(fleet: ReportFleet, address: string): number {
  const isKnown = () =>
    fleet.alive.every(
      entry =>
        entry.state.suspected.includes(address) ||
        entry.knownSuspects.has(address),
    );
  return fleet.advanceUntil(5000, isKnown);
}
