import {describe, it} from 'node:test';
import {SharedServerLimits} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {SERVICE} from './fleet_fixture.js';
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

describe('SharedServerLimits', () => {
  const ADDRESS = '10.0.0.1:80';
  const MINUTE_MS = 60_000;
  const LIMIT_OF_ONE_IN_10_S = 0.1;

  function createLimits(node = 'entry', entryCount = 1): SharedServerLimits {
    return new SharedServerLimits({
      node,
      entryCount: () => entryCount,
      waitingPeers: () => 0,
      onChange: () => {},
    });
  }

  /** Sends as many requests as the limits allow; returns their number. */
  function sendAll(
    limits: SharedServerLimits,
    fromMs: number,
    durationMs: number,
  ): number {
    let sent = 0;
    for (let ms = fromMs; ms < fromMs + durationMs; ms += 20) {
      if (!limits.maySend(ADDRESS, SERVICE, ms)) continue;
      limits.recordSend(ADDRESS, ms);
      sent++;
      limits.observe(ADDRESS, LIMIT_OF_ONE_IN_10_S, ms);
    }
    return sent;
  }

  it('do not restrict servers that name no limit', () => {
    const limits = createLimits();
    limits.observe(ADDRESS, undefined, 0);
    expect(limits.maySend(ADDRESS, SERVICE, 0)).toEqual(true);
    expect(limits.report(0)).toEqual([]);
  });

  it('allow less than one request in the usual window', () => {
    const limits = createLimits();
    limits.observe(ADDRESS, LIMIT_OF_ONE_IN_10_S, 0);
    const sent = sendAll(limits, 0, MINUTE_MS);
    expect(sent).toBeGreaterThanOrEqual(4);
    expect(sent).toBeLessThanOrEqual(7);
  });

  it('take the latest response that any entry had', () => {
    const [a, b] = ['a', 'b'].map(node => createLimits(node, 2));
    a.observe(ADDRESS, 0, 1000);
    b.setPeerReport('a', a.report(1010), 1010);
    expect(b.maySend(ADDRESS, SERVICE, 1010)).toEqual(false);
    b.observe(ADDRESS, undefined, 1200);
    a.setPeerReport('b', b.report(1210), 1210);
    expect(a.maySend(ADDRESS, SERVICE, 1210)).toEqual(true);
  });

  it('forget a limit that no response has named for long', () => {
    const limits = createLimits();
    limits.observe(ADDRESS, 0, 0);
    expect(limits.maySend(ADDRESS, SERVICE, 9000)).toEqual(false);
    expect(limits.maySend(ADDRESS, SERVICE, 11_000)).toEqual(true);
  });

  it('forget servers that are gone', () => {
    const limits = createLimits();
    limits.observe(ADDRESS, 5, 0);
    limits.retainServers(new Set());
    expect(limits.report(0)).toEqual([]);
  });
});
