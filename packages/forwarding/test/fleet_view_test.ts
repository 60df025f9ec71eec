import {describe, it} from 'node:test';
import {FleetView, type BackendServer} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {SERVICE, emptyFleet} from './fleet_fixture.js';

const OLD_LAYERS = {firstLayer: 0, endLayer: 5};
const NEW_LAYERS = {firstLayer: 5, endLayer: 10};

describe('FleetView', () => {
  const [empty] = emptyFleet();
  const registered: BackendServer = {...empty, layers: OLD_LAYERS};
  const held = (orderSequence: number, layers: typeof OLD_LAYERS) => ({
    server: empty.server,
    startedAtMs: empty.startedAtMs,
    orderSequence,
    layers,
  });

  it('uses only the newest of two servers with the same address', () => {
    const fleet = new FleetView();
    const id = 'restarted' as BackendServer['server'];
    fleet.put(
      {...registered, server: id, startedAtMs: empty.startedAtMs + 1},
      0,
    );
    fleet.put(registered, 0);
    expect(fleet.usable(SERVICE).map(({server}) => server)).toEqual([id]);
    expect(fleet.findByAddress(registered.address)?.server).toEqual(id);
  });

  // Guards against deriving all chains anew with each heartbeat of a server.
  it('changes its revision only with the state of a server', () => {
    const fleet = new FleetView();
    fleet.put(registered, 0);
    const {revision} = fleet;
    fleet.put({...registered, layers: {...OLD_LAYERS}}, 1000);
    expect(fleet.revision).toEqual(revision);
    fleet.put({...registered, layers: NEW_LAYERS}, 2000);
    fleet.put({...registered, layers: NEW_LAYERS, state: 'draining'}, 3000);
    expect(fleet.revision).toEqual(revision + 2);
  });

  describe('a server that reports a slowdown factor', () => {
    const {address} = registered;
    const slowdownFactorOf = (fleet: FleetView) =>
      fleet.usable(SERVICE)[0].slowdownFactor ?? 1;

    it('has that factor until it reports to be normal', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      expect(fleet.recordSlowdown(address, 12, 100)).toEqual(true);
      expect([slowdownFactorOf(fleet), fleet.isVerySlow(address)]).toEqual([
        12,
        true,
      ]);
      expect(fleet.recordSlowdown(address, 1, 200)).toEqual(true);
      expect(slowdownFactorOf(fleet)).toEqual(1);
    });

    it('counts as normal when a peer no longer repeats the report', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.recordSlowdownFromPeer(address, 4, 100);
      expect([slowdownFactorOf(fleet), fleet.ownSlowServers()]).toEqual([
        4,
        [],
      ]);
      fleet.expire(2000);
      expect(slowdownFactorOf(fleet)).toEqual(1);
    });
  });

  describe('layers that a server reports', () => {
    it('take precedence until its registration changes', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(2, NEW_LAYERS), 1000);
      fleet.put({...registered, state: 'ready'}, 1100);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW_LAYERS);
    });

    it('yield to a registration with changed layers', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(1, OLD_LAYERS), 1000);
      fleet.put({...registered, layers: NEW_LAYERS}, 1100);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW_LAYERS);
    });

    it('are replaced by a report to a peer after a later order', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(1, OLD_LAYERS), 1000);
      fleet.observeFromPeer(held(2, NEW_LAYERS), 1200);
      fleet.observeFromPeer(held(1, OLD_LAYERS), 1400);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW_LAYERS);
    });

    it('do not return from a peer after a newer registration', () => {
      const fleet = new FleetView();
      fleet.put({...registered, layers: undefined}, 0);
      fleet.observeFromPeer(held(0, OLD_LAYERS), 900);
      fleet.put({...registered, layers: NEW_LAYERS}, 1000);
      fleet.observeFromPeer(held(0, OLD_LAYERS), 1100);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW_LAYERS);
    });

    it('include the KV-cache capacity while an order is carried out', () => {
      const fleet = new FleetView();
      const reloadingLayerTokens = () =>
        fleet.get(empty.server)?.reloadingLayerTokens ?? 'none';
      fleet.put(registered, 0);
      fleet.observe({...held(1, NEW_LAYERS), reloadingLayerTokens: 5000}, 1000);
      expect(reloadingLayerTokens()).toEqual(5000);
      expect(fleet.recentObservations(1100).length).toEqual(1);
      fleet.observe(held(1, NEW_LAYERS), 1200);
      expect(reloadingLayerTokens()).toEqual('none');
    });

    it('show that the registered incarnation has ended (quick restart)', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      const restarted = {
        ...held(0, OLD_LAYERS),
        startedAtMs: empty.startedAtMs + 1,
      };
      fleet.observe({...restarted, layers: undefined}, 100);
      expect(fleet.usable(SERVICE)).toEqual([]);
      fleet.put({...registered, startedAtMs: empty.startedAtMs + 1}, 200);
      expect(fleet.usable(SERVICE).length).toEqual(1);
    });

    it('are sent to peers only if the registration does not show them', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(0, OLD_LAYERS), 900);
      expect(fleet.recentObservations(1000)).toEqual([]);
      fleet.observe(held(1, NEW_LAYERS), 1000);
      expect(fleet.recentObservations(1100).length).toEqual(1);
    });

    it('yield to the registration when no report confirms them', () => {
      const fleet = new FleetView();
      fleet.put({...registered, layers: NEW_LAYERS}, 0);
      fleet.observeFromPeer(held(1, OLD_LAYERS), 100);
      fleet.expire(1700, false);
      expect(fleet.get(empty.server)?.layers).toEqual(OLD_LAYERS);
      fleet.expire(1700, true);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW_LAYERS);
    });

    it('yield to a much later registration without them', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(1, NEW_LAYERS), 1000);
      fleet.put(registered, 8000);
      expect(fleet.get(empty.server)?.layers).toEqual(OLD_LAYERS);
    });

    it('are ignored if an earlier incarnation reported them', () => {
      const fleet = new FleetView();
      fleet.put({...registered, startedAtMs: 2}, 0);
      fleet.observe(held(9, NEW_LAYERS), 1000);
      expect(fleet.get(empty.server)?.layers).toEqual(OLD_LAYERS);
    });
  });

  describe('an outage of the store', () => {
    it('keeps servers with expired registrations for the grace time', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.replaceAll([], 1000, true);
      fleet.expire(3000);
      expect(fleet.usable(SERVICE).length).toEqual(1);
      fleet.expire(3300);
      expect(fleet.usable(SERVICE).length).toEqual(0);
    });
  });

  describe('exclusions', () => {
    it('reported by a peer expire when they are not repeated', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.suspectFromPeer(empty.address, 1000);
      expect(fleet.usable(SERVICE).length).toEqual(0);
      fleet.expire(2600);
      expect(fleet.usable(SERVICE).length).toEqual(1);
    });

    it('by this entry last until they are cleared', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.markRefusing(empty.address);
      fleet.expire(1e9);
      expect(fleet.usable(SERVICE).length).toEqual(0);
      fleet.clearRefusing(empty.address);
      expect(fleet.usable(SERVICE).length).toEqual(1);
    });
  });

  it('excludes a server that a peer reported as leaving', () => {
    const fleet = new FleetView();
    fleet.put(registered, 0);
    fleet.markLeaving(empty.server, empty.startedAtMs);
    expect(fleet.usable(SERVICE).length).toEqual(0);
  });

  // Guards against peers that undo the mark by repeating that an earlier
  // incarnation with the same id has left.
  it('excludes each incarnation that was reported as leaving', () => {
    const fleet = new FleetView();
    const [first, second] = [1, 2].map(i => empty.startedAtMs + i);
    fleet.put({...registered, startedAtMs: second}, 0);
    fleet.markLeaving(empty.server, second);
    fleet.markLeaving(empty.server, first);
    expect(fleet.usable(SERVICE)).toEqual([]);
    expect(fleet.leavingServers()).toEqual([
      [empty.server, second],
      [empty.server, first],
    ]);
  });

  // Guards against reports and memory that grow with each server that has ever
  // left.
  it('forgets leaving servers some time after their registration', () => {
    const fleet = new FleetView();
    fleet.put(registered, 0);
    fleet.markLeaving(empty.server, empty.startedAtMs);
    const afterMs = (nowMs: number) => {
      fleet.expire(nowMs);
      return fleet.leavingServers().length;
    };
    expect(afterMs(100_000)).toEqual(1);
    fleet.remove(empty.server);
    expect(afterMs(100_025)).toEqual(1);
    expect(afterMs(129_000)).toEqual(1);
    expect(afterMs(131_000)).toEqual(0);
    // A peer that still reports it changes nothing until all have stopped.
    expect(fleet.markLeaving(empty.server, empty.startedAtMs)).toEqual(false);
    fleet.put(registered, 140_000);
    expect(fleet.usable(SERVICE)).toEqual([]);
    fleet.remove(empty.server);
    afterMs(141_000);
    afterMs(202_000);
    fleet.put(registered, 203_000);
    expect(fleet.usable(SERVICE).length).toEqual(1);
  });
});
