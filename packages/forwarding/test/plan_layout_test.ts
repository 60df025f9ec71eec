import {describe, it} from 'node:test';
import {
  LayersInUseTracker,
  countAddedLayers,
  applyOrders,
  kvCapacityTokens,
  findChains,
  planLayout,
  layersUsedByChains,
  type BackendServer,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, emptyFleet, laidOutFleet} from './fleet_fixture.js';

/** Plans until nothing changes, as the holder of the lease does. */
function settleLayout(servers: readonly BackendServer[]): BackendServer[] {
  let current = [...servers];
  for (let turn = 0; turn < 10; turn++) {
    const orders = planLayout(MODEL, current);
    if (orders.length === 0) return current;
    current = applyOrders(current, orders);
  }
  return current;
}

function memoryUse({accelerator, layers}: BackendServer): number {
  const held = layers ? layers.endLayer - layers.firstLayer : 0;
  const memoryMb = MODEL.accelerators.get(accelerator)?.memoryMb ?? 0;
  return (held * MODEL.layerMb) / memoryMb;
}

describe('planLayout', () => {
  const fleet = laidOutFleet();

  it('gives each zone a chain of its own', () => {
    const chains = findChains(MODEL, fleet);
    const zones = chains.map(
      ({path}) => new Set(path.map(({server}) => server.availabilityZone)),
    );
    expect(zones.map(zone => zone.size)).toEqual([1, 1, 1]);
  });

  it('runs every layer once and in order on each chain', () => {
    for (const {path} of findChains(MODEL, fleet)) {
      let next = 0;
      for (const {firstLayer, endLayer} of path) {
        expect(firstLayer).toEqual(next);
        next = endLayer;
      }
      expect(next).toEqual(MODEL.layers);
    }
  });

  it('never orders more layers than a card holds', () => {
    expect(Math.max(...fleet.map(memoryUse))).toBeLessThanOrEqual(1);
  });

  it('leaves alone what is laid out', () => {
    expect(planLayout(MODEL, fleet)).toEqual([]);
  });

  it('carries the usual load with room to spare (calm day)', () => {
    const tokens = findChains(MODEL, fleet)
      .map(({capacityTokens}) => capacityTokens)
      .reduce((sum, capacity) => sum + capacity, 0);
    // 45 requests a second of some 3 s and 860 tokens each.
    expect(tokens).toBeGreaterThan(45 * 3 * 860);
  });

  it('restores three chains inside zones after any single loss', () => {
    for (const lost of fleet) {
      const left = settleLayout(fleet.filter(server => server !== lost));
      const chains = findChains(MODEL, left);
      expect(chains.length).toEqual(3);
      expect(Math.max(...left.map(memoryUse))).toBeLessThanOrEqual(1);
      for (const {path} of chains) {
        const zones = new Set(path.map(p => p.server.availabilityZone));
        expect(zones.size).toEqual(1);
      }
    }
  });

  it('brings a chain back with few and short loads (single loss)', () => {
    // Callers leave after 2 s without an event; 14 s load all 80 layers, 6 at
    // a time at full speed. The two fastest kinds hold too much for this.
    const small = fleet.filter(({accelerator}) =>
      ['l4', 't4'].includes(accelerator),
    );
    const inUse = layersUsedByChains(findChains(MODEL, fleet));
    for (const lost of small) {
      const left = fleet.filter(server => server !== lost);
      const orders = planLayout(MODEL, left, inUse);
      const added = orders.map(o => countAddedLayers(o.server, o.range));
      const rounds = Math.max(1, orders.length / 6);
      const loadMs = Math.max(0, ...added) * (14_000 / 80) * rounds;
      expect(loadMs).toBeLessThan(1500);
      expect(findChains(MODEL, applyOrders(left, orders)).length).toEqual(3);
    }
  });

  it('gives up nothing that requests pass through if copies can go', () => {
    const inUse = layersUsedByChains(findChains(MODEL, fleet));
    const lost = fleet.find(
      s => s.availabilityZone === 'depot' && s.accelerator === 'l4',
    );
    const left = fleet.filter(server => server !== lost);
    for (const {server, range} of planLayout(MODEL, left, inUse)) {
      const used = inUse.get(server.server) ?? range;
      expect(range.firstLayer).toBeLessThanOrEqual(used.firstLayer);
      expect(range.endLayer).toBeGreaterThanOrEqual(used.endLayer);
    }
  });

  it('comes to rest after several losses in one zone', () => {
    for (const zone of ['river', 'mill', 'depot']) {
      let left = fleet;
      for (let losses = 0; losses < 3; losses++) {
        const inZone = left.filter(s => s.availabilityZone === zone);
        const lost = inZone[(losses * 5) % inZone.length];
        left = settleLayout(left.filter(server => server !== lost));
        expect(planLayout(MODEL, left)).toEqual([]);
      }
    }
  });

  it('uses a server that joins empty, without moving the others', () => {
    const [newcomer] = emptyFleet().filter(s => s.accelerator === 'l4');
    const lost = fleet.find(s => s.server === newcomer.server);
    const left = settleLayout(fleet.filter(server => server !== lost));
    const orders = planLayout(MODEL, [...left, newcomer]);
    expect(orders.map(({server}) => server.server)).toInclude(newcomer.server);
  });

  it('makes a chain over zones when no zone can have one', () => {
    const few = emptyFleet().filter(
      ({accelerator, availabilityZone}) =>
        accelerator !== 'l4' || availabilityZone === 'mill',
    );
    const left = few.filter(s => s.accelerator !== 't4');
    const chains = findChains(MODEL, settleLayout(left));
    expect(chains.length).toBeGreaterThanOrEqual(1);
  });

  it('gives the same orders for the same servers in any order', () => {
    const reversed = planLayout(MODEL, emptyFleet().reverse());
    const key = (orders: ReturnType<typeof planLayout>) =>
      orders
        .map(({server, range}) => `${server.server}:${range.firstLayer}`)
        .sort();
    expect(key(reversed)).toEqual(key(planLayout(MODEL, emptyFleet())));
  });

  it('gives nothing to servers of an unknown kind', () => {
    const strange = emptyFleet().map(s => ({...s, accelerator: 'unknown'}));
    expect(planLayout(MODEL, strange)).toEqual([]);
  });
});

describe('cacheCapacityTokens', () => {
  it('counts only the layers that requests use', () => {
    const [server] = emptyFleet();
    const holding = {...server, layers: {firstLayer: 0, endLayer: 20}};
    const all = kvCapacityTokens(MODEL, holding, 20);
    const half = kvCapacityTokens(MODEL, holding, 10);
    expect(Math.round(half / all)).toEqual(2);
  });

  it('is that before an order while the server carries it out', () => {
    const [server] = emptyFleet();
    const layers = {firstLayer: 0, endLayer: 8};
    const reloading = {...server, layers, reloadingLayerTokens: 80_000};
    expect(kvCapacityTokens(MODEL, reloading, 8)).toEqual(10_000);
  });
});

describe('LayersInUseRecord', () => {
  const [chain] = findChains(MODEL, laidOutFleet());
  const {server} = chain.path[0].server;

  it('counts a chain while requests that were sent to it may run', () => {
    const record = new LayersInUseTracker();
    record.setChains([chain], 0);
    record.setChains([], 1000);
    expect(record.get(4000).has(server)).toEqual(true);
    expect(record.get(6000).has(server)).toEqual(false);
  });
});
