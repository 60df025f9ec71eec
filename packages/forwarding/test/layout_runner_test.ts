import {afterEach, beforeEach, describe, it, mock} from 'node:test';
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
  /** Called before each report is returned. */
  onReport: () => Promise<void> = async () => {};
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
        await this.onReport();
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

  afterEach(() => {
    harness.runner[Symbol.dispose]();
    mock.timers.reset();
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

  describe('that hands the lease over', () => {
    // Guards against orders of two entries at once: the former holder has asked
    // a server for its state and orders it after the handover.
    it('sends no order for which it waited', async () => {
      let answer = () => {};
      harness.onReport = () => new Promise(resolve => (answer = resolve));
      for (let i = 0; i < 100 && harness.reports === 0; i++)
        await harness.advance(STEP_MS);
      expect(harness.reports).toBeGreaterThan(0);
      expect(harness.runner.handOverLease()).not.toEqual(undefined);
      harness.onReport = async () => {};
      answer();
      await harness.advance(2000);
      expect(harness.orders).toEqual([]);
    });
  });

  describe('that gets a lease handed over', () => {
    const lease = {lease: 'l', fence: 7, ttlMs: 3500};

    it('orders with its fencing number', async () => {
      harness.isLeaseHeld = true;
      harness.runner.adoptLease(lease);
      await harness.advance(3000);
      expect(harness.orders.length).toBeGreaterThan(0);
      expect(harness.orders.every(({fence}) => fence === 7)).toEqual(true);
    });

    // Guards against a handover that arrives late, after another entry has
    // acquired the lease.
    it('does not take it if a newer holder is known', async () => {
      harness.isLeaseHeld = true;
      harness.runner.recordFence(8);
      harness.runner.adoptLease(lease);
      await harness.advance(3000);
      expect(harness.orders).toEqual([]);
    });
  });
});
