/** What follows from a new routing table, beside the routes. */
import {describe, it} from 'node:test';
import {Logger, type ServiceId} from '@azurecrank/core';
import {
  ChainLoads,
  ChainPlaces,
  FleetView,
  PeerQueues,
  TableHolder,
  type PlatformAdapter,
  type RoutingTable,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

/** Copies of the fleet, which make it a very large one. */
const COPIES = 10;

interface StoredTable {
  readonly version: number;
  readonly slots?: number;
  readonly services?: readonly ServiceId[];
}

/** Decodes each table to objects of its own, like the codec of a platform. */
const codec = {
  decodeTable: (text: string) => ({
    kind: 'decoded',
    value: toTable(JSON.parse(text) as StoredTable),
  }),
} as unknown as PlatformAdapter['store'];

function toTable({
  version,
  slots = MODEL.slots,
  services = [SERVICE],
}: StoredTable): RoutingTable {
  const model = {...structuredClone(MODEL), slots};
  return {
    version,
    routes: [],
    services: new Map(
      services.map(service => [service, {service, healthPath: '/h', model}]),
    ),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces: undefined,
  };
}

function createHolder(): TableHolder {
  return new TableHolder(codec, new Logger('test', 'silent'), () => {});
}

function apply(holder: TableHolder, table: StoredTable): void {
  holder.updateIfNewer(JSON.stringify(table), 'store');
}

describe('TableHolder', () => {
  it('keeps services of former tables', () => {
    const holder = createHolder();
    apply(holder, {version: 1});
    apply(holder, {version: 2, services: []});
    expect(holder.table?.services.size).toEqual(0);
    expect(holder.findService(SERVICE)?.model?.slots).toEqual(MODEL.slots);
  });

  it('returns a service as the newest table has it', () => {
    const holder = createHolder();
    apply(holder, {version: 1});
    apply(holder, {version: 2, slots: 3});
    expect(holder.findService(SERVICE)?.model?.slots).toEqual(3);
    expect(holder.table?.services.get(SERVICE)?.model?.slots).toEqual(3);
  });

  // Guards against chains and layouts that every entry derives anew whenever
  // the configuration changes, though their model is the same.
  it('keeps the objects of services that a new table does not change', () => {
    const holder = createHolder();
    apply(holder, {version: 1});
    const before = holder.table?.services.get(SERVICE);
    apply(holder, {version: 2});
    expect(holder.table?.version).toEqual(2);
    expect(holder.table?.services.get(SERVICE) === before).toEqual(true);
    expect(holder.findService(SERVICE) === before).toEqual(true);
  });

  // Guards against streams that get other chains since a server is lost in the
  // moment in which the configuration changes.
  it('leaves the chains of a very large fleet when one is lost beside it', () => {
    const holder = createHolder();
    apply(holder, {version: 1});
    const fleet = new FleetView();
    for (let copy = 0; copy < COPIES; copy++) {
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
    const places = new ChainPlaces({
      service: SERVICE,
      availabilityZone: 'river',
      fleet,
      loads: new ChainLoads(),
      peerQueues: new PeerQueues(),
      model: () => holder.findService(SERVICE)?.model,
      nowMs: () => 1000,
      onChainsChanged: () => {},
    });
    const [lost, ...others] = places.current();
    expect(others.length).toBeGreaterThan(20);
    apply(holder, {version: 2});
    fleet.suspect(lost.path[0].server.address);
    expect(places.current().every((c, i) => c === others[i])).toEqual(true);
  });
});
