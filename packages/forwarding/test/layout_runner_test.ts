import {beforeEach, describe, it, mock} from 'node:test';
import {Logger, Metrics, type KeyValueService} from '@azurecrank/core';
import {
  FleetView,
  type FencedLayoutOrder,
  type OrderOutcome,
  type RoutingTable,
  type ServerControl,
} from '@azurecrank/forwarding';
import {LeaseHolder} from 'azurecrank';
import {expect} from 'earl';
import {LeavingServers} from '../src/core/fleet/leaving_servers.js';
import {LayoutRunner} from '../src/core/placement/layout_runner.js';
import {MODEL, SERVICE, emptyFleet} from './fleet_fixture.js';
import {flushPromises} from './relay_harness.js';

const STEP_MS = 50;

/** A lease holder whose servers have no layers yet. */
class RunnerHarness {
  nowMs = 0;
  isLeaseHeld = false;
  readonly orders: FencedLayoutOrder[] = [];
  reports = 0;
  outcomeOf: (order: FencedLayoutOrder) => OrderOutcome = () => ({
    kind: 'accepted',
  });
  readonly runner: LayoutRunner;
  private grantedFence = 10;

  constructor() {
    const logger = new Logger('test', 'silent');
    const fleet = new FleetView();
    for (const server of emptyFleet()) fleet.put(server, 0);
    const keyValue = {
      get: async () => undefined,
      grantLease: async (ttlMs: number) => ({
        lease: 'l',
        fence: this.grantedFence++,
        ttlMs,
      }),
      compareAndSwap: async () => ({kind: 'written', revision: 1}),
      keepLeaseAlive: async () => true,
    } as unknown as KeyValueService;
    const control = {
      fetchReport: async () => {
        this.reports++;
        return {orderSequence: 0, isBusy: false, isLeaving: false};
      },
      placeLayers: async (order: FencedLayoutOrder) => {
        this.orders.push(order);
        return this.outcomeOf(order);
      },
    } as unknown as ServerControl;
    const service = {service: SERVICE, healthPath: '/', model: MODEL};
    const table = {services: new Map([[SERVICE, service]])};
    this.runner = new LayoutRunner({
      lease: new LeaseHolder(keyValue, 'test', 3500, logger),
      control,
      fleet,
      leavingServers: new LeavingServers({
        fleet,
        logger,
        onServerLost: () => {},
      }),
      table: () => table as unknown as RoutingTable,
      isLeaseHeld: () => this.isLeaseHeld,
      logger,
      metrics: new Metrics(),
      nowMs: () => this.nowMs,
      onLayersLoaded: () => {},
    });
  }

  async advance(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      this.nowMs += STEP_MS;
      mock.timers.tick(STEP_MS);
      await flushPromises();
    }
  }
}

describe('LayoutRunner', () => {
  let harness: RunnerHarness;

  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout']});
    harness = new RunnerHarness();
    harness.runner.start();
  });

  // Guards against a former holder that goes on as if it held the lease after
  // a server has refused its fencing number.
  it('is no holder any more after a server has refused its fence', async () => {
    harness.outcomeOf = ({server}) => ({
      kind: server === harness.orders[0].server ? 'fenced' : 'accepted',
    });
    for (let i = 0; i < 100 && harness.orders.length === 0; i++)
      await harness.advance(STEP_MS);
    expect(harness.orders.length).toBeGreaterThan(1);
    harness.isLeaseHeld = true;
    const {reports} = harness;
    await harness.advance(900);
    expect(harness.reports).toEqual(reports);
  });
});
