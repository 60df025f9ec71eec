import {describe, it} from 'node:test';
import {
  ServerHolds,
  type BackendServer,
  type ServerAddress,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {emptyFleet} from './fleet_fixture.js';
import {StreamFleet} from './stream_fleet.js';

const SEEDS = [1, 2, 3];
const LIGHT_LOAD = {soundPerSecond: 45, crashingPerSecond: 0};
/** More than the chains run, so that requests wait for KV-cache tokens. */
const HEAVY_LOAD = {soundPerSecond: 95, crashingPerSecond: 0};

const PAUSE_MS = 3000;
/** Time after a refusal in which requests may still be on their way. */
const IN_FLIGHT_MS = 500;
/** Shorter than any server of the simulation takes to accept a request. */
const ACCEPTANCE_MS = 40;

/** Requests that reached a server while it wanted none from their entry. */
function arrivalsInPauses(fleet: StreamFleet): number {
  const counts = fleet.firstServers().map(address => {
    const arrivals = fleet.arrivalsAt(address);
    const refused = arrivals.filter(({pauseMs}) => pauseMs !== undefined);
    return arrivals.filter(({atMs, entry}) =>
      refused.some(
        r =>
          r.entry === entry &&
          atMs > r.atMs + IN_FLIGHT_MS &&
          atMs < r.atMs + (r.pauseMs ?? 0),
      ),
    ).length;
  });
  return Math.max(...counts);
}

function arrivalsBetween(
  fleet: StreamFleet,
  address: ServerAddress,
  fromMs: number,
  toMs: number,
) {
  return fleet
    .arrivalsAt(address)
    .filter(({atMs}) => atMs >= fromMs && atMs < toMs);
}

describe('servers that ask for a pause', () => {
  for (const seed of SEEDS) {
    // Guards against entries that come back before the end of the back-off that
    // a server has named.
    it(`get no streams in it, other chains do (seed ${seed})`, async () => {
      const fleet = new StreamFleet(seed, 2);
      await fleet.advance(2000, LIGHT_LOAD);
      const [address] = fleet.firstServers();
      const fromMs = fleet.nowMs;
      fleet.askForPause(address, PAUSE_MS);
      await fleet.advance(PAUSE_MS, LIGHT_LOAD);
      const endMs = fleet.nowMs;
      await fleet.advance(2000, LIGHT_LOAD);
      expect(arrivalsInPauses(fleet)).toEqual(0);
      const after = arrivalsBetween(fleet, address, endMs, fleet.nowMs);
      expect(after.length).toBeGreaterThan(5);
      const begun = fleet.requests.filter(
        ({sentAtMs, arrivals}) => sentAtMs >= fromMs && arrivals > 0,
      );
      const sent = fleet.requests.filter(({sentAtMs}) => sentAtMs >= fromMs);
      expect(begun.length / sent.length).toBeGreaterThanOrEqual(0.9);
    });

    // Guards against all waiting requests being sent at the end of the pause.
    it(`get one stream first of each entry whose requests wait (seed ${seed})`, async () => {
      const fleet = new StreamFleet(seed, 2);
      await fleet.advance(3000, HEAVY_LOAD);
      const firsts = fleet.firstServers();
      for (const address of firsts) fleet.askForPause(address, PAUSE_MS);
      await fleet.advance(PAUSE_MS + 2000, HEAVY_LOAD);
      expect(arrivalsInPauses(fleet)).toEqual(0);
      for (const address of firsts) {
        for (const {node} of fleet.entries) {
          const served = fleet
            .arrivalsAt(address)
            .filter(({atMs, entry}) => entry === node && atMs > PAUSE_MS + 3000)
            .map(({atMs}) => atMs);
          expect(served.length).toBeGreaterThan(1);
          expect(served[1] - served[0]).toBeGreaterThanOrEqual(ACCEPTANCE_MS);
        }
      }
    });

    // Guards against one entry's hold keeping others away.
    it(`get those of other entries (seed ${seed})`, async () => {
      const fleet = new StreamFleet(seed, 2);
      await fleet.advance(2000, LIGHT_LOAD);
      const [held, other] = fleet.entries.map(({node}) => node);
      const firsts = fleet.firstServers();
      const fromMs = fleet.nowMs;
      for (const address of firsts) fleet.askForPause(address, PAUSE_MS, held);
      await fleet.advance(PAUSE_MS, LIGHT_LOAD);
      expect(arrivalsInPauses(fleet)).toEqual(0);
      const arrivals = firsts.flatMap(address => [
        ...arrivalsBetween(fleet, address, fromMs + IN_FLIGHT_MS, fleet.nowMs),
      ]);
      const ofOther = arrivals.filter(({entry}) => entry === other);
      const expected = (LIGHT_LOAD.soundPerSecond / 2) * 2.5;
      expect(ofOther.length).toBeGreaterThan(expected * 0.7);
    });
  }
});

describe('ServerHolds', () => {
  const [server, later] = emptyFleet();

  function createHolds(logged: number[] = []): ServerHolds {
    return new ServerHolds((_, holdMs) => void logged.push(holdMs));
  }

  function observe(
    holds: ServerHolds,
    retryAfterMs: number | undefined,
    nowMs: number,
    faultyAddress?: ServerAddress,
  ): void {
    holds.observe([server, later], {retryAfterMs, faultyAddress}, nowMs);
  }

  it('allow all requests without a time to wait', () => {
    const holds = createHolds();
    observe(holds, undefined, 0);
    observe(holds, 0, 0);
    expect(holds.maySend(server, 0)).toEqual(true);
    expect(holds.remainingMs(server, 0)).toEqual(0);
  });

  it('last for the time that the server names', () => {
    const holds = createHolds();
    observe(holds, 1500, 1000);
    expect(holds.maySend(server, 2499)).toEqual(false);
    expect(holds.remainingMs(server, 2000)).toEqual(500);
    expect(holds.maySend(server, 2500)).toEqual(true);
    expect(holds.maySend(later, 1000)).toEqual(true);
  });

  it('belong to the server that answered and to the one that it names', () => {
    const holds = createHolds();
    observe(holds, 1500, 0, later.address);
    expect(holds.maySend(server, 0)).toEqual(false);
    expect(holds.maySend(later, 0)).toEqual(false);
  });

  it('belong only to the server that answered if it names none of the path', () => {
    const holds = createHolds();
    observe(holds, 1500, 0, '10.9.9.9:80');
    expect(holds.maySend(server, 0)).toEqual(false);
    expect(holds.maySend(later, 0)).toEqual(true);
  });

  it('are never shortened, and reported when they begin', () => {
    const logged: number[] = [];
    const holds = createHolds(logged);
    observe(holds, 2000, 0);
    observe(holds, 500, 100);
    observe(holds, 3000, 200);
    expect(holds.remainingMs(server, 200)).toEqual(3000);
    expect(logged).toEqual([2000]);
  });

  it('are limited to an hour', () => {
    const holds = createHolds();
    observe(holds, Number.MAX_VALUE, 0);
    expect(holds.remainingMs(server, 0)).toEqual(3_600_000);
  });

  it('end with the incarnation of the server', () => {
    const holds = createHolds();
    observe(holds, 2000, 0);
    const restarted: BackendServer = {...server, startedAtMs: 2};
    expect(holds.maySend(restarted, 100)).toEqual(true);
  });

  // Guards against requests within a pause after a registration was unreadable
  // for a moment.
  it('last until their end, also while servers are not listed', () => {
    const holds = createHolds();
    observe(holds, 2000, 0);
    holds.expire(1000);
    expect(holds.maySend(server, 1500)).toEqual(false);
    holds.expire(60_000);
    expect(holds.maySend(server, 60_000)).toEqual(true);
  });

  describe('after their end', () => {
    function endedHolds(): ServerHolds {
      const holds = createHolds();
      observe(holds, 1000, 0);
      holds.recordSend(server, 1000);
      return holds;
    }

    it('allow a trial only until it is accepted', () => {
      const holds = endedHolds();
      expect(holds.maySend(server, 1100)).toEqual(false);
      expect(holds.remainingMs(server, 1100)).toEqual(0);
      holds.recordAcceptance(server, 1000, 1200);
      expect(holds.maySend(server, 1200)).toEqual(true);
    });

    it('allow another trial when the first is not answered', () => {
      expect(endedHolds().maySend(server, 2000)).toEqual(true);
    });

    it('do not take requests from before the hold for a trial', () => {
      const holds = endedHolds();
      holds.recordAcceptance(server, -100, 1200);
      expect(holds.maySend(server, 1200)).toEqual(false);
    });

    it('are forgotten', () => {
      const holds = endedHolds();
      holds.recordSend(server, 6001);
      expect(holds.maySend(server, 6001)).toEqual(true);
    });
  });
});
