/**
 * Load: one request ends each server that runs it, and comes again every 350 ms
 * at any entry, while others are sent to the same servers.
 */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  QuarantineFleet,
  type Outcomes,
  type QuarantineFleetOptions,
  type RepeatedRequest,
} from './quarantine_fleet.js';

const SEEDS = [1, 2, 3, 4];
const DURATION_MS = 75_000;
/** Time from the third crash after which arrivals count. */
const CONTACT_MS = 3000;
const MAX_LATE_ARRIVALS = 3;

const CRASHING: RepeatedRequest = {
  target: '/crash',
  intervalMs: 350,
  runMs: 40,
  crashesFromMs: 0,
  maxAttempts: 2,
};

/** A sound request that many callers send. */
const FREQUENT: RepeatedRequest = {
  target: '/frequent',
  intervalMs: 80,
  runMs: 30,
  maxAttempts: 2,
};

const RARE: RepeatedRequest = {...FREQUENT, target: '/rare', intervalMs: 2000};

function lateArrivals({arrivalAtMs, crashAtMs}: Outcomes): number {
  const fromMs = (crashAtMs[2] ?? Infinity) + CONTACT_MS;
  return arrivalAtMs.filter(atMs => atMs > fromMs).length;
}

function shareServed({sendings}: Outcomes, fromMs = 0): number {
  const counted = sendings.filter(({atMs}) => atMs >= fromMs);
  const served = counted.filter(({result}) => result === 'answered');
  return served.length / counted.length;
}

/** Longest time over which the request was held at each sending. */
function longestHoldMs({sendings}: Outcomes): number {
  let longestMs = 0;
  let heldSinceMs: number | undefined;
  for (const {atMs, result} of sendings) {
    if (result === 'held') heldSinceMs ??= atMs;
    if (heldSinceMs !== undefined)
      longestMs = Math.max(longestMs, atMs - heldSinceMs);
    if (result === 'answered') heldSinceMs = undefined;
  }
  return longestMs;
}

function fleetOf(options: Partial<QuarantineFleetOptions>): QuarantineFleet {
  return new QuarantineFleet({seed: 1, entries: 8, servers: 3, ...options});
}

// Guards against a request that ends server after server (incident 18).
describe('a request that ends servers', () => {
  describe('stops reaching them', () => {
    for (const entries of [1, 3, 8, 48, 370]) {
      for (const seed of SEEDS) {
        it(`with ${entries} entries (seed ${seed})`, async () => {
          const fleet = fleetOf({seed, entries});
          const crashing = fleet.sendRepeatedly(CRASHING, DURATION_MS);
          const frequent = fleet.sendRepeatedly(FREQUENT, DURATION_MS);
          await fleet.advance(DURATION_MS);
          expect(crashing.crashAtMs.length).toBeGreaterThanOrEqual(2);
          expect(lateArrivals(crashing)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
          const settledMs = 10_000;
          expect(shareServed(frequent, settledMs)).toBeGreaterThanOrEqual(0.95);
        });
      }
    }

    const KINDS: Array<[string, Partial<RepeatedRequest>]> = [
      ['that may run once', {maxAttempts: 1}],
      ['that runs on five servers at most', {maxAttempts: 5}],
      ['that ends servers late', {runMs: 700}],
      ['that was answered before', {crashesFromMs: 5000}],
      ['that is sent often', {intervalMs: 40}],
      ['that is sent rarely', {intervalMs: 1500}],
    ];
    for (const [name, fields] of KINDS) {
      for (const seed of SEEDS) {
        it(`as one ${name} (seed ${seed})`, async () => {
          const fleet = fleetOf({seed});
          const request = {...CRASHING, ...fields};
          const crashing = fleet.sendRepeatedly(request, DURATION_MS);
          fleet.sendRepeatedly(FREQUENT, DURATION_MS);
          await fleet.advance(DURATION_MS);
          expect(crashing.crashAtMs.length).toBeGreaterThanOrEqual(2);
          expect(lateArrivals(crashing)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
        });
      }
    }

    for (const servers of [3, 12]) {
      it(`beside another one, with ${servers} servers`, async () => {
        for (const seed of SEEDS) {
          const fleet = fleetOf({seed, servers});
          const both = ['/crash', '/other'].map(target =>
            fleet.sendRepeatedly({...CRASHING, target}, DURATION_MS),
          );
          await fleet.advance(DURATION_MS);
          for (const outcomes of both)
            expect(lateArrivals(outcomes)).toBeLessThanOrEqual(
              MAX_LATE_ARRIVALS,
            );
        }
      });
    }

    for (const hasStore of [true, false]) {
      it(`while entries restart, ${hasStore ? 'with' : 'without'} a store`, async () => {
        for (const seed of SEEDS) {
          const fleet = fleetOf({seed, hasStore});
          const crashing = fleet.sendRepeatedly(CRASHING, DURATION_MS);
          for (let i = 1; i <= 18; i++)
            fleet.after(i * 4000, () => fleet.restartEntry(i % 8));
          await fleet.advance(DURATION_MS);
          expect(lateArrivals(crashing)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
        }
      });
    }

    it('when all entries restart at once, as the store knows it', async () => {
      for (const seed of SEEDS) {
        const fleet = fleetOf({seed});
        const crashing = fleet.sendRepeatedly(CRASHING, 30_000);
        fleet.after(15_000, () => {
          for (let i = 0; i < 8; i++) fleet.restartEntry(i);
        });
        await fleet.advance(30_000);
        expect(lateArrivals(crashing)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
      }
    });
  });
});

// Guards against sound requests that are held for the ends of servers.
describe('a sound request', () => {
  it('is not held while servers end by themselves, if it is frequent', async () => {
    for (const seed of SEEDS) {
      const fleet = fleetOf({seed, servers: 6});
      const sound = fleet.sendRepeatedly(FREQUENT, DURATION_MS);
      for (let i = 1; i <= 48; i++)
        fleet.after(i * 1500, () => fleet.endServer(i % 6));
      await fleet.advance(DURATION_MS);
      expect(longestHoldMs(sound)).toEqual(0);
      expect(shareServed(sound)).toBeGreaterThanOrEqual(0.99);
    }
  });

  it('is served again at once after the whole service has ended', async () => {
    for (const seed of SEEDS) {
      const fleet = fleetOf({seed, entries: 48});
      const sound = fleet.sendRepeatedly(FREQUENT, 20_000);
      fleet.after(10_000, () => {
        for (let i = 0; i < 3; i++) fleet.endServer(i);
      });
      await fleet.advance(20_000);
      expect(shareServed(sound, 14_000)).toBeGreaterThanOrEqual(0.95);
    }
  });

  it('is held for one pause at most, if it is rare and servers end often', async () => {
    for (const seed of SEEDS) {
      const fleet = fleetOf({seed});
      const sound = fleet.sendRepeatedly({...RARE, runMs: 600}, DURATION_MS);
      for (let i = 1; i <= 70; i++)
        fleet.after(i * 1000, () => fleet.endServer(i % 3));
      await fleet.advance(DURATION_MS);
      expect(longestHoldMs(sound)).toBeLessThanOrEqual(4000);
    }
  });
});
