import {describe, it} from 'node:test';
import {expect} from 'earl';
import {StreamFleet} from './stream_fleet.js';

const SEEDS = [1, 2, 3];
const ENTRY_COUNTS = [8, 48];

/** More than the limited servers take. */
const LOAD = {soundPerSecond: 45, crashingPerSecond: 0};
const LIMIT_PER_S = 7.5;

const CONTACT_MS = 3000;
const WINDOW_MS = 4000;
/** Largest number of requests that a server may get in a window. */
const MAX_ARRIVALS = (1.5 * LIMIT_PER_S * WINDOW_MS) / 1000 + 5;
/** Least part of the limit that entries must use while requests wait. */
const MIN_USE = 0.7;

/** Largest number of requests that one server got within a window. */
function mostArrivals(fleet: StreamFleet, fromMs: number): number {
  const counts = fleet.firstServers().flatMap(address => {
    const times = fleet
      .arrivalsAt(address)
      .map(({atMs}) => atMs)
      .filter(atMs => atMs >= fromMs);
    return times.map(
      startMs =>
        times.filter(atMs => atMs >= startMs && atMs < startMs + WINDOW_MS)
          .length,
    );
  });
  return Math.max(0, ...counts);
}

/** Part of the limits of all servers that was used. */
function useOfLimits(fleet: StreamFleet, fromMs: number): number {
  const firsts = fleet.firstServers();
  const arrivals = firsts.flatMap(address => fleet.arrivalsAt(address));
  const seconds = (fleet.nowMs - fromMs) / 1000;
  const later = arrivals.filter(({atMs}) => atMs >= fromMs).length;
  return later / (firsts.length * seconds * LIMIT_PER_S);
}

/** Runs entries until servers have named limits for `CONTACT_MS`. */
async function limitedFleet(
  seed: number,
  entries: number,
): Promise<StreamFleet> {
  const fleet = new StreamFleet(seed, entries);
  await fleet.advance(4000, LOAD);
  fleet.nameLimits(LIMIT_PER_S);
  await fleet.advance(CONTACT_MS, LOAD);
  return fleet;
}

describe('servers that name a limit', () => {
  for (const entries of ENTRY_COUNTS) {
    for (const seed of SEEDS) {
      // Guards against entries that each take the limit for their own
      // (incident 8).
      it(`get no more requests than that from ${entries} entries (seed ${seed})`, async () => {
        const fleet = await limitedFleet(seed, entries);
        const fromMs = fleet.nowMs;
        await fleet.advance(12_000, LOAD);
        expect(mostArrivals(fleet, fromMs)).toBeLessThanOrEqual(MAX_ARRIVALS);
        expect(useOfLimits(fleet, fromMs)).toBeGreaterThanOrEqual(MIN_USE);
      });
    }
  }

  // Guards against shares of a limit that idle entries leave unused.
  it('get as many as that if all callers are at two of 48 entries', async () => {
    const fleet = await limitedFleet(4, 48);
    fleet.callersAt = 2;
    await fleet.advance(2000, LOAD);
    const fromMs = fleet.nowMs;
    await fleet.advance(10_000, LOAD);
    expect(mostArrivals(fleet, fromMs)).toBeLessThanOrEqual(MAX_ARRIVALS);
    expect(useOfLimits(fleet, fromMs)).toBeGreaterThanOrEqual(MIN_USE);
  });

  it('get no more than that from entries that do not hear of each other', async () => {
    const fleet = await limitedFleet(5, 48);
    fleet.areEntriesConnected = false;
    await fleet.advance(CONTACT_MS, LOAD);
    const fromMs = fleet.nowMs;
    await fleet.advance(12_000, LOAD);
    expect(mostArrivals(fleet, fromMs)).toBeLessThanOrEqual(MAX_ARRIVALS);
  });

  it('get no more than that while entries are restarted', async () => {
    const fleet = await limitedFleet(6, 8);
    const fromMs = fleet.nowMs;
    for (let i = 0; i < 4; i++) {
      fleet.restartEntry(i);
      await fleet.advance(2000, LOAD);
    }
    expect(mostArrivals(fleet, fromMs)).toBeLessThanOrEqual(MAX_ARRIVALS);
  });

  it('get all requests again once they name none', async () => {
    const fleet = await limitedFleet(7, 8);
    fleet.nameLimits(undefined);
    await fleet.advance(3000, LOAD);
    const fromMs = fleet.nowMs;
    await fleet.advance(6000, LOAD);
    const begun = fleet.fractionBegun(fromMs, fleet.nowMs - 1000, () => true);
    expect(begun).toBeGreaterThanOrEqual(0.9);
  });
});
