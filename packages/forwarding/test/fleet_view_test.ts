import {describe, it} from 'node:test';
import {FleetView, type BackendServer} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {SERVICE, emptyFleet} from './fleet_fixture.js';

const OLD = {firstLayer: 0, endLayer: 5};
const NEW = {firstLayer: 5, endLayer: 10};

describe('FleetView', () => {
  const [empty] = emptyFleet();
  const registered: BackendServer = {...empty, layers: OLD};
  const held = (orderSequence: number, layers: typeof OLD) => ({
    server: empty.server,
    bornAtMs: empty.startedAtMs,
    orderSequence,
    layers,
  });

  it('knows only the last of two servers at one address', () => {
    const fleet = new FleetView();
    const id = 'again' as BackendServer['server'];
    fleet.put(
      {...registered, server: id, startedAtMs: empty.startedAtMs + 1},
      0,
    );
    fleet.put(registered, 0);
    expect(fleet.usable(SERVICE).map(({server}) => server)).toEqual([id]);
    expect(fleet.at(registered.address)?.server).toEqual(id);
  });

  describe('a server that reports to be slow', () => {
    const {address} = registered;
    const paceOf = (fleet: FleetView) =>
      fleet.usable(SERVICE)[0].slowdownFactor ?? 1;

    it('has another pace until it reports to be well', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      expect(fleet.notePace(address, 12, 100)).toEqual(true);
      expect([paceOf(fleet), fleet.isVerySlow(address)]).toEqual([12, true]);
      expect(fleet.notePace(address, 1, 200)).toEqual(true);
      expect(paceOf(fleet)).toEqual(1);
    });

    it('is forgotten when nobody repeats what a peer told', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.notePaceAsTold(address, 4, 100);
      expect([paceOf(fleet), fleet.ownSlow()]).toEqual([4, []]);
      fleet.expire(2000);
      expect(paceOf(fleet)).toEqual(1);
    });
  });

  describe('layers that a server reports', () => {
    it('count before its registration follows', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(2, NEW), 1000);
      fleet.put({...registered, state: 'ready'}, 1100);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW);
    });

    it('do not hide a registration that says something new', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(1, OLD), 1000);
      fleet.put({...registered, layers: NEW}, 1100);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW);
    });

    it('are replaced by what a peer saw after a later order', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(1, OLD), 1000);
      fleet.observeAsTold(held(2, NEW), 1200);
      fleet.observeAsTold(held(1, OLD), 1400);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW);
    });

    it('of a peer do not come back after a newer registration', () => {
      const fleet = new FleetView();
      fleet.put({...registered, layers: undefined}, 0);
      fleet.observeAsTold(held(0, OLD), 900);
      fleet.put({...registered, layers: NEW}, 1000);
      fleet.observeAsTold(held(0, OLD), 1100);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW);
    });

    it('come with the memory that an order has not freed yet', () => {
      const fleet = new FleetView();
      const reloadingCells = () =>
        fleet.get(empty.server)?.reloadingLayerTokens ?? 'none';
      fleet.put(registered, 0);
      fleet.observe({...held(1, NEW), reloadingCells: 5000}, 1000);
      expect(reloadingCells()).toEqual(5000);
      expect(fleet.recentObservations(1100).length).toEqual(1);
      fleet.observe(held(1, NEW), 1200);
      expect(reloadingCells()).toEqual('none');
    });

    it('show that the registered run has ended (restart at once)', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      const again = {...held(0, OLD), bornAtMs: empty.startedAtMs + 1};
      fleet.observe({...again, layers: undefined}, 100);
      expect(fleet.usable(SERVICE)).toEqual([]);
      fleet.put({...registered, startedAtMs: empty.startedAtMs + 1}, 200);
      expect(fleet.usable(SERVICE).length).toEqual(1);
    });

    it('are not told to peers if registrations tell them', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(0, OLD), 900);
      expect(fleet.recentObservations(1000)).toEqual([]);
      fleet.observe(held(1, NEW), 1000);
      expect(fleet.recentObservations(1100).length).toEqual(1);
    });

    it('yield to the registration when nobody confirms them', () => {
      const fleet = new FleetView();
      fleet.put({...registered, layers: NEW}, 0);
      fleet.observeAsTold(held(1, OLD), 100);
      fleet.expire(1700, false);
      expect(fleet.get(empty.server)?.layers).toEqual(OLD);
      fleet.expire(1700, true);
      expect(fleet.get(empty.server)?.layers).toEqual(NEW);
    });

    it('end when a later registration still does not tell them', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.observe(held(1, NEW), 1000);
      fleet.put(registered, 8000);
      expect(fleet.get(empty.server)?.layers).toEqual(OLD);
    });

    it('are ignored if they are those of an earlier incarnation', () => {
      const fleet = new FleetView();
      fleet.put({...registered, startedAtMs: 2}, 0);
      fleet.observe(held(9, NEW), 1000);
      expect(fleet.get(empty.server)?.layers).toEqual(OLD);
    });
  });

  describe('an outage of the directory', () => {
    it('keeps servers whose entries lapsed for the grace time only', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.replaceAll([], 1000, true);
      fleet.expire(3000);
      expect(fleet.usable(SERVICE).length).toEqual(1);
      fleet.expire(3300);
      expect(fleet.usable(SERVICE).length).toEqual(0);
    });
  });

  describe('marks', () => {
    it('of peers end when they are no longer repeated', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.suspectAsTold(empty.address, 1000);
      expect(fleet.usable(SERVICE).length).toEqual(0);
      fleet.expire(2600);
      expect(fleet.usable(SERVICE).length).toEqual(1);
    });

    it('of this entry stay until they are cleared', () => {
      const fleet = new FleetView();
      fleet.put(registered, 0);
      fleet.noteRefusing(empty.address);
      fleet.expire(1e9);
      expect(fleet.usable(SERVICE).length).toEqual(0);
      fleet.clearRefusing(empty.address);
      expect(fleet.usable(SERVICE).length).toEqual(1);
    });
  });

  it('gives no work to a server that a peer saw leaving', () => {
    const fleet = new FleetView();
    fleet.put(registered, 0);
    fleet.noteLeaving(empty.server, empty.startedAtMs);
    expect(fleet.usable(SERVICE).length).toEqual(0);
  });
});
