import {describe, it} from 'node:test';
import type {ServerId} from '@azurecrank/core';
import {
  FleetView,
  RegistrationHistory,
  type BackendServer,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {SERVICE, emptyFleet} from './fleet_fixture.js';

const RESTORED_AT_MS = 1000;

// A store that is restored from a copy lists registrations that are older than
// those already seen.
describe('FleetView after a restore of the store', () => {
  const [empty] = emptyFleet();
  const registered = (heartbeat: number, fields: Partial<BackendServer> = {}) =>
    ({...empty, heartbeat, ...fields}) as BackendServer;

  const isUsed = (fleet: FleetView) => fleet.usable(SERVICE).length > 0;

  /** A fleet that has seen the ninth heartbeat of a server. */
  const createFleet = (fields: Partial<BackendServer> = {}) => {
    const fleet = new FleetView();
    fleet.put(registered(9, fields), 0);
    return fleet;
  };

  const restore = (fleet: FleetView, listed: BackendServer[]) => {
    fleet.recordRestore(RESTORED_AT_MS);
    fleet.replaceAll(listed, RESTORED_AT_MS, true);
  };

  describe('a removed server', () => {
    // Guards against requests to a server that has left since the copy.
    for (const heartbeat of [7, 9]) {
      it(`is not used at heartbeat ${heartbeat} of 9`, () => {
        const fleet = createFleet();
        fleet.remove(empty.server);
        restore(fleet, [registered(heartbeat)]);
        expect(isUsed(fleet)).toEqual(false);
      });
    }

    it('is used again with a later heartbeat', () => {
      const fleet = createFleet();
      fleet.remove(empty.server);
      restore(fleet, [registered(7)]);
      fleet.put(registered(10), 1100);
      expect(isUsed(fleet)).toEqual(true);
    });

    it('is used again after its next start', () => {
      const fleet = createFleet();
      fleet.remove(empty.server);
      restore(fleet, [registered(1, {startedAtMs: empty.startedAtMs + 1})]);
      expect(isUsed(fleet)).toEqual(true);
    });

    // Guards against a server that is lost for good because the store does not
    // show heartbeats alone.
    it('is used again if its registration does not expire', () => {
      const fleet = createFleet();
      fleet.remove(empty.server);
      restore(fleet, [registered(9)]);
      fleet.expire(RESTORED_AT_MS + 7900);
      expect(isUsed(fleet)).toEqual(false);
      fleet.expire(RESTORED_AT_MS + 8000);
      expect(isUsed(fleet)).toEqual(true);
    });

    for (const isListed of [true, false]) {
      const source = isListed ? 'a watch' : 'a reading';
      it(`stays unused if ${source} shows that it expired`, () => {
        const fleet = createFleet();
        fleet.remove(empty.server);
        restore(fleet, [registered(9)]);
        if (isListed) fleet.remove(empty.server);
        else fleet.replaceAll([], 2000, false);
        fleet.expire(RESTORED_AT_MS + 8000);
        expect(isUsed(fleet)).toEqual(false);
      });
    }

    it('is used again at any heartbeat without a restore', () => {
      const fleet = createFleet();
      fleet.remove(empty.server);
      fleet.put(registered(9), 1000);
      expect(isUsed(fleet)).toEqual(true);
    });
  });

  describe('a registered server', () => {
    // Guards against requests to a server that the copy shows as ready again.
    it('goes on draining', () => {
      const fleet = createFleet({state: 'draining'});
      restore(fleet, [registered(8)]);
      expect(isUsed(fleet)).toEqual(false);
      fleet.expire(RESTORED_AT_MS + 8000);
      expect(isUsed(fleet)).toEqual(false);
    });

    it('keeps its layers', () => {
      const layers = {firstLayer: 0, endLayer: 5};
      const fleet = createFleet({layers});
      restore(fleet, [registered(8)]);
      expect(fleet.get(empty.server)?.layers).toEqual(layers);
    });

    it('is not replaced by an earlier incarnation', () => {
      const fleet = createFleet();
      const startedAtMs = empty.startedAtMs + 1;
      fleet.put(registered(1, {startedAtMs}), 100);
      restore(fleet, [registered(9)]);
      expect(fleet.get(empty.server)?.startedAtMs).toEqual(startedAtMs);
    });

    // Guards against a server that is removed although it is registered.
    it('is kept if the copy lists it after an outage without it', () => {
      const fleet = createFleet();
      fleet.replaceAll([], 500, true);
      restore(fleet, [registered(8)]);
      fleet.expire(RESTORED_AT_MS + 5000);
      expect(isUsed(fleet)).toEqual(true);
    });

    it('is kept for the grace time if the copy lacks it', () => {
      const fleet = createFleet();
      restore(fleet, []);
      fleet.expire(RESTORED_AT_MS + 2000);
      expect(isUsed(fleet)).toEqual(true);
      fleet.expire(RESTORED_AT_MS + 2300);
      expect(isUsed(fleet)).toEqual(false);
    });
  });

  it('remembers a bounded number of removed servers', () => {
    const history = new RegistrationHistory();
    const servers = Array.from({length: 1001}, (_, i) =>
      registered(9, {server: `s${i}` as ServerId}),
    );
    for (const server of servers) {
      history.record(server, 0);
      history.end(server.server);
    }
    history.recordRestore(RESTORED_AT_MS);
    expect(history.record(servers[1000], RESTORED_AT_MS)).toEqual(false);
    expect(history.record(servers[0], RESTORED_AT_MS)).toEqual(true);
  });
});
