import {beforeEach, describe, it} from 'node:test';
import {
  ChainLoads,
  ChainPlaces,
  FleetView,
  PeerQueues,
  type BackendServer,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

describe('ChainPlaces', () => {
  let nowMs: number;
  let fleet: FleetView;
  let places: ChainPlaces;
  let idle: BackendServer;

  beforeEach(() => {
    nowMs = 0;
    fleet = new FleetView();
    for (const server of laidOutFleet()) fleet.put(server, 0);
    idle = {...laidOutFleet()[0], server: 'idle' as never, address: 'x:1'};
    places = new ChainPlaces({
      service: SERVICE,
      availabilityZone: 'river',
      fleet,
      loads: new ChainLoads(),
      peerQueues: new PeerQueues(),
      model: () => MODEL,
      nowMs: () => nowMs,
      onChainsChanged: () => {},
    });
    places.current();
  });

  /** Makes the fleet change without an effect on the chains. */
  function changeIdleServer(): void {
    const {layers} = fleet.get(idle.server) ?? {};
    fleet.put({...idle, layers: layers ? undefined : idle.layers}, nowMs);
  }

  // Guards against entries that derive chains all the time while many servers
  // of a large fleet change.
  it('derives chains a few times a second at the most', () => {
    const derived = new Set<unknown>();
    for (; nowMs < 1000; nowMs += 5) {
      changeIdleServer();
      derived.add(places.current());
    }
    expect(derived.size).toBeLessThanOrEqual(1000 / fleet.size);
    expect(derived.size).toBeGreaterThan(5);
  });

  it('derives chains at once if a server of one is lost', () => {
    for (let i = 0; i < 10; i++) {
      const {address} = places.current()[0].path[0].server;
      expect(fleet.suspect(address)).toEqual(true);
      const used = places.current().flatMap(({path}) => path);
      expect(used.map(({server}) => server.address)).not.toInclude(address);
      fleet.clearSuspicion(address);
      nowMs += 1000;
      places.current();
    }
  });

  it('takes up a new server after a short time', () => {
    const [{path}] = places.current();
    const {server} = path[0];
    fleet.suspect(server.address);
    places.current();
    nowMs += 1000;
    fleet.clearSuspicion(server.address);
    const firsts = () => places.current().map(c => c.path[0].server.address);
    expect(firsts()).toInclude(server.address);
  });

  // Guards against entries that do nothing but derive chains while servers of
  // a very large fleet are lost one after the other.
  describe('of a very large fleet', () => {
    const COPIES = 10;

    beforeEach(() => {
      for (let copy = 1; copy < COPIES; copy++) {
        for (const server of laidOutFleet()) {
          fleet.put(
            {
              ...server,
              server: `${server.server}-${copy}` as never,
              address: `${copy}.${server.address}`,
              availabilityZone: `${server.availabilityZone}-${copy}`,
            },
            0,
          );
        }
      }
      nowMs = 1000;
      places.current();
    });

    it('keeps the chains that lost no server', () => {
      const before = places.current();
      expect(before.length).toBeGreaterThan(20);
      for (let i = 0; i < 5; i++) {
        const [lost, ...others] = places.current();
        fleet.suspect(lost.path[0].server.address);
        // Chains that were derived anew would be other objects.
        expect(places.current().every((c, n) => c === others[n])).toEqual(true);
        nowMs += 50;
      }
      nowMs += 1000;
      fleet.suspect(places.current()[0].path[0].server.address);
      expect(places.current().length).toBeGreaterThan(20);
    });
  });
});
