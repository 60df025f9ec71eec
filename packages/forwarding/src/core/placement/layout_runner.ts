/** Gives the orders of the layout while this entry holds the lease for it. */
import {
  type Lease,
  type Logger,
  type Metrics,
  type ServerId,
} from '@azurecrank/core';
import type {LeaseHolder} from 'azurecrank';
import type {ServerControl} from '../adapter/wire_codec.js';
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {RoutingTable} from '../routing/routing_table.js';
import type {ServerChain} from '../paths/find_chains.js';
import {LayersInUseRecord} from './layers_in_use.js';
import {planLayout, type LayoutOrder} from './plan_layout.js';

export interface LayoutRunnerOptions {
  readonly lease: LeaseHolder;
  readonly control: ServerControl;
  readonly fleet: FleetView;
  readonly table: () => RoutingTable | undefined;
  /** Whether another entry is known to hold the lease. */
  readonly isHeldElsewhere: () => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  /** A server was seen to hold what it was ordered to. */
  readonly onLoaded: () => void;
}

const PERIOD_MS = 500;

/** Period while orders are carried out. */
const BUSY_PERIOD_MS = 250;

/** Renewals; three of them fit into the lease. */
const RENEWAL_PERIOD_MS = 1000;

/** Mean wait of an entry that finds the lease free. */
const CAMPAIGN_MS = 400;

/**
 * Servers register one after another at the start of an installation. The
 * first layout waits until no new one has come for this time.
 */
const SETTLE_MS = 1200;

/** Plans count an order as carried out for this time. */
const ORDER_PENDING_MS = 4000;

/**
 * Servers are asked for this time whether an order is done. It may wait for
 * requests on layers that are given up.
 */
const ORDER_FOLLOWED_MS = 12_000;

/** Time for a report before an order. */
const REPORT_TIMEOUT_MS = 600;

interface Pending {
  readonly bornAtMs: number;
  readonly order: LayoutOrder;
  readonly atMs: number;
}

export class LayoutRunner implements Disposable {
  private readonly pending = new Map<ServerId, Pending>();
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private renewedAtMs = -Infinity;
  private isHolder = false;
  private isRunning = false;
  private seenServers = 0;
  private newestFence = 0;
  private changedAtMs = -Infinity;
  private readonly layersInUse = new LayersInUseRecord();

  constructor(private readonly options: LayoutRunnerOptions) {}

  start(): void {
    this.schedule(CAMPAIGN_MS * Math.random());
  }

  [Symbol.dispose](): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Another entry stops and passes its lease to this one. */
  adopt(lease: Lease): void {
    this.options.lease.adopt(lease);
    this.renewedAtMs = -Infinity;
    this.isHolder = true;
    this.noteFence(lease.fence);
    this.hurry();
  }

  /** Gives no more orders; returns the lease for another entry. */
  handOver(): Lease | undefined {
    this[Symbol.dispose]();
    this.isHolder = false;
    return this.options.lease.handOver();
  }

  /** The chains that new requests take have changed. */
  noteChains(chains: readonly ServerChain[]): void {
    this.layersInUse.note(chains, this.options.nowMs());
  }

  /** Something was lost: the layout is checked at once. */
  hurry(): void {
    if (!this.isHolder || this.isRunning) return;
    clearTimeout(this.timer);
    this.schedule(0);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    this.timer = setTimeout(() => void this.turn(), delayMs);
    this.timer.unref();
  }

  private async turn(): Promise<void> {
    const {logger, metrics} = this.options;
    this.isRunning = true;
    try {
      await this.refreshLease();
      if (this.isHolder) {
        await this.watchOrders();
        await this.giveOrders();
      }
    } catch (error) {
      metrics.increment('azurecrank_placement_failures_total');
      logger.warn('layout could not be checked', {
        step: 'route',
        cause: String(error),
      });
    }
    this.isRunning = false;
    const waitMs = CAMPAIGN_MS * (0.5 + Math.random());
    const periodMs = this.pending.size > 0 ? BUSY_PERIOD_MS : PERIOD_MS;
    this.schedule(this.isHolder ? periodMs : waitMs);
  }

  private async refreshLease(): Promise<void> {
    const {lease, isHeldElsewhere, logger, nowMs} = this.options;
    if (!this.isHolder && isHeldElsewhere()) return;
    const now = nowMs();
    if (this.isHolder && now - this.renewedAtMs < RENEWAL_PERIOD_MS) return;
    this.renewedAtMs = now;
    // While the store is away nobody else can take the lease, and servers
    // refuse the fencing number of a holder that has been replaced.
    try {
      this.isHolder = await lease.refresh();
    } catch (error) {
      logger.warn('lease was not renewed', {cause: String(error)});
    }
    if (lease.fence !== undefined) this.noteFence(lease.fence);
  }

  /** Highest fencing number that is known to have been used. */
  get fence(): number {
    return this.newestFence;
  }

  /** Another entry knows of a newer holder. */
  noteFence(fence: number): void {
    this.newestFence = Math.max(this.newestFence, fence);
    const {lease, logger} = this.options;
    const own = lease.fence;
    if (own === undefined || own >= fence) return;
    logger.warn('a newer holder gives the orders', {fence: own, newer: fence});
    lease.stepDown();
    this.isHolder = false;
  }

  private async giveOrders(): Promise<void> {
    const {table, fleet, nowMs} = this.options;
    const services = table()?.services.values() ?? [];
    for (const {service, model} of services) {
      if (!model) continue;
      const servers = fleet.staying(service);
      const isFresh = servers.every(({layers}) => !layers);
      if (isFresh && !this.isSettled(servers.length)) continue;
      const expected = fleet
        .usable(service)
        .map(server => this.withPending(server));
      const orders = planLayout(
        model,
        expected,
        this.layersInUse.since(nowMs()),
      );
      const ready = this.withoutBusyZones(orders);
      await Promise.all(ready.map(order => this.give(order)));
    }
  }

  private isSettled(servers: number): boolean {
    const now = this.options.nowMs();
    if (servers !== this.seenServers) {
      this.seenServers = servers;
      this.changedAtMs = now;
    }
    return servers > 0 && now - this.changedAtMs >= SETTLE_MS;
  }

  /**
   * Asks the servers with orders what they hold. Their registrations follow a
   * second or two later, and not at all while the store is away.
   */
  private async watchOrders(): Promise<void> {
    const {fleet, control, nowMs, logger, onLoaded} = this.options;
    const servers = [...this.pending.keys()];
    let hasLoaded = false;
    const ask = async (id: ServerId): Promise<void> => {
      const server = fleet.get(id);
      const range = this.pending.get(id)?.order.range;
      if (!server || !range || isDone(server, range)) return;
      try {
        const report = await control.report(server.address, REPORT_TIMEOUT_MS);
        // Reports lag: only one that shows the order done tells something.
        if (!isSameRange(report.layers, range)) return;
        fleet.observe({server: id, ...report}, nowMs());
        hasLoaded = true;
      } catch (error) {
        const fields = {peer: server.address, cause: String(error)};
        logger.info('order cannot be followed', fields);
      }
    };
    await Promise.all(servers.map(ask));
    if (hasLoaded) onLoaded();
  }

  /** The server as it will be once its order is carried out. */
  private withPending(server: BackendServer): BackendServer {
    const pending = this.pending.get(server.server);
    if (!pending) return server;
    const {range} = pending.order;
    const ageMs = this.options.nowMs() - pending.atMs;
    const isOver =
      pending.bornAtMs !== server.bornAtMs ||
      isDone(server, range) ||
      ageMs >= ORDER_FOLLOWED_MS;
    if (isOver) this.pending.delete(server.server);
    const counts = !isOver && ageMs < ORDER_PENDING_MS;
    const {layers} = server;
    return counts && !isSameRange(layers, range)
      ? {...server, layers: range, reloadingCells: undefined}
      : server;
  }

  /**
   * Leaves out the orders of zones in which they would concern a server that
   * still carries out an earlier one: it would refuse, and a part of a plan is
   * worse than the whole plan a little later.
   */
  private withoutBusyZones(orders: readonly LayoutOrder[]): LayoutOrder[] {
    const busyZones = new Set(
      orders
        .filter(({server}) => this.isCarryingOut(server))
        .map(({server}) => server.availabilityZone),
    );
    return orders.filter(({server}) => !busyZones.has(server.availabilityZone));
  }

  private isCarryingOut({server, bornAtMs}: BackendServer): boolean {
    const pending = this.pending.get(server);
    if (!pending || pending.bornAtMs !== bornAtMs) return false;
    const known = this.options.fleet.get(server);
    if (known && isDone(known, pending.order.range)) return false;
    return this.options.nowMs() - pending.atMs < ORDER_PENDING_MS;
  }

  private async give(order: LayoutOrder): Promise<void> {
    const {control, lease, logger, nowMs, metrics} = this.options;
    const {server, range} = order;
    const fence = lease.fence;
    if (fence === undefined) return;
    const fields = {peer: server.address, server: server.server, ...range};
    this.pending.set(server.server, {
      bornAtMs: server.bornAtMs,
      order,
      atMs: nowMs(),
    });
    try {
      const report = await control.report(server.address, REPORT_TIMEOUT_MS);
      if (isSameRange(report.layers, range) || report.isBusy) {
        this.pending.delete(server.server);
        return;
      }
      const outcome = await control.place({
        server,
        range,
        fence,
        expectedSequence: report.orderSequence,
      });
      metrics.increment('azurecrank_layout_orders_total', {
        outcome: outcome.kind,
      });
      logger.info('layers ordered', {...fields, fence, outcome: outcome.kind});
      if (outcome.kind === 'fenced') lease.stepDown();
      // An order without an answer may be carried out later. The same one is
      // given again: the expected sequence lets only one of them begin.
      if (outcome.kind !== 'accepted') this.pending.delete(server.server);
    } catch (error) {
      logger.warn('order was not given', {...fields, cause: String(error)});
      this.pending.delete(server.server);
    }
  }
}

/** The layers are told before those that are given up have been left. */
function isDone(server: BackendServer, range: LayerRange): boolean {
  return (
    server.reloadingCells === undefined && isSameRange(server.layers, range)
  );
}

function isSameRange(a: LayerRange | undefined, b: LayerRange): boolean {
  return a?.firstLayer === b.firstLayer && a.endLayer === b.endLayer;
}
