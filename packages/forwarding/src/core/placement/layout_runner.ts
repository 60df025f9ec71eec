/**
 * Sends layout orders to the model servers while this entry is the holder of
 * the layout lease, and polls the servers until the orders are completed.
 */
import {
  type Lease,
  type Logger,
  type Metrics,
  type ServerId,
  type ServiceId,
} from '@azurecrank/core';
import type {LeaseHolder} from 'azurecrank';
import type {ServerControl} from '../adapter/platform_adapter.js';
import {
  hasLoadedRange,
  isSameRange,
  type BackendServer,
} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {LeavingServers} from '../fleet/leaving_servers.js';
import type {ModelSpec, RoutingTable} from '../routing/routing_table.js';
import type {ServerChain} from '../paths/find_chains.js';
import {LayersInUseTracker} from './layers_in_use.js';
import {planLayout, type LayoutOrder} from './plan_layout.js';

export interface LayoutRunnerOptions {
  readonly lease: LeaseHolder;
  readonly control: ServerControl;
  readonly fleet: FleetView;
  readonly leavingServers: LeavingServers;
  readonly table: () => RoutingTable | undefined;
  /** Whether any entry was last seen to hold the lease. */
  readonly isLeaseHeld: () => boolean;
  /** Factor on the delays between attempts to acquire the lease; 1 if absent. */
  readonly attemptDelayFactor?: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  /** Called when a server reports that it holds the ordered layers. */
  readonly onLayersLoaded: () => void;
}

/** Interval of layout checks by the lease holder without pending orders. */
const CHECK_INTERVAL_MS = 500;

/** Interval of layout checks while servers carry out orders. */
const PENDING_ORDERS_CHECK_INTERVAL_MS = 250;

/** Interval of lease renewals; three fit into the duration of the lease. */
const LEASE_RENEWAL_MS = 1000;

/** Mean delay between attempts to acquire the lease. */
const LEASE_ATTEMPT_MEAN_DELAY_MS = 400;

/** Lowest jitter factor on that delay; the highest is 1 more. */
const MIN_JITTER_FACTOR = 0.5;

/**
 * Servers register one after another when an installation starts. The first
 * layout is planned once the number of servers has not changed for this time.
 */
const SERVER_COUNT_STABLE_MS = 1200;

/**
 * For this time after an order was sent, the planner assumes that it will be
 * completed, and its server counts as busy.
 */
const ORDER_PENDING_TIMEOUT_MS = 4000;

/**
 * Servers are polled for the completion of an order for this time. An order
 * waits for the running requests on layers that the server has to release.
 */
const ORDER_POLLING_TIMEOUT_MS = 12_000;

/** Timeout of a report that is fetched before or after an order. */
const REPORT_TIMEOUT_MS = 600;

interface PendingOrder {
  readonly startedAtMs: number;
  readonly order: LayoutOrder;
  readonly sentAtMs: number;
}

/** A layout for which the planner had no orders. */
interface SettledLayout {
  readonly model: ModelSpec;
  readonly inputRevision: number;
}

export class LayoutRunner implements Disposable {
  private readonly pendingOrders = new Map<ServerId, PendingOrder>();
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private refreshedAtMs = -Infinity;
  private isHolder = false;
  private isCheckRunning = false;
  private lastServerCount = 0;
  private highestFence = 0;
  private countChangedAtMs = -Infinity;
  private readonly layersInUse = new LayersInUseTracker();
  private readonly settledLayouts = new Map<ServiceId, SettledLayout>();

  constructor(private readonly options: LayoutRunnerOptions) {}

  start(): void {
    this.schedule(LEASE_ATTEMPT_MEAN_DELAY_MS * Math.random());
  }

  [Symbol.dispose](): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Takes over the lease from an entry that stops. */
  adoptLease(lease: Lease): void {
    const {logger} = this.options;
    if (lease.fence < this.highestFence) {
      const fields = {fence: lease.fence, newer: this.highestFence};
      logger.warn('layout lease was handed over too late', fields);
      return;
    }
    this.options.lease.acceptHandover(lease);
    this.refreshedAtMs = -Infinity;
    this.isHolder = true;
    this.recordFence(lease.fence);
    this.checkNow();
  }

  /** Stops sending orders; returns the lease to pass on to another entry. */
  handOverLease(): Lease | undefined {
    this[Symbol.dispose]();
    this.isHolder = false;
    return this.options.lease.handOver();
  }

  /** Records the chains that new requests of a service take from now on. */
  recordChains(service: ServiceId, chains: readonly ServerChain[]): void {
    this.layersInUse.setChains(service, chains, this.options.nowMs());
  }

  /** Runs the next check at once if this entry holds the lease. */
  checkNow(): void {
    if (!this.isHolder || this.isCheckRunning) return;
    clearTimeout(this.timer);
    this.schedule(0);
  }

  /** Renews the lease, or acquires it again, with the next check. */
  refreshLeaseNow(): void {
    this.refreshedAtMs = -Infinity;
    this.checkNow();
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    this.timer = setTimeout(() => void this.runCheck(), delayMs);
    this.timer.unref();
  }

  private async runCheck(): Promise<void> {
    const {logger, metrics} = this.options;
    this.isCheckRunning = true;
    try {
      await this.refreshLease();
      if (this.isHolder) {
        await this.pollPendingOrders();
        await this.sendOrders();
      }
    } catch (error) {
      metrics.increment('azurecrank_placement_failures_total');
      logger.warn('layout check failed; it is repeated', {
        step: 'route',
        cause: String(error),
      });
    }
    this.isCheckRunning = false;
    const {attemptDelayFactor = () => 1} = this.options;
    const waitMs =
      LEASE_ATTEMPT_MEAN_DELAY_MS *
      (MIN_JITTER_FACTOR + Math.random()) *
      attemptDelayFactor();
    const periodMs =
      this.pendingOrders.size > 0
        ? PENDING_ORDERS_CHECK_INTERVAL_MS
        : CHECK_INTERVAL_MS;
    this.schedule(this.isHolder ? periodMs : waitMs);
  }

  private async refreshLease(): Promise<void> {
    const {lease, isLeaseHeld, logger, nowMs} = this.options;
    if (!this.isHolder && isLeaseHeld()) return;
    const now = nowMs();
    if (this.isHolder && now - this.refreshedAtMs < LEASE_RENEWAL_MS) return;
    this.refreshedAtMs = now;
    // A holder stays holder while the store is unavailable: no other entry can
    // acquire the lease then, and servers refuse the fencing number of a
    // holder that was replaced.
    try {
      this.isHolder = await lease.acquireOrRenew();
    } catch (error) {
      logger.warn('layout lease could not be refreshed; trying again', {
        cause: String(error),
      });
    }
    if (lease.fence !== undefined) this.recordFence(lease.fence);
  }

  /** Highest fencing number known to this entry. */
  get fence(): number {
    return this.highestFence;
  }

  /**
   * Records a fencing number; steps down if it belongs to a newer holder of
   * the lease than this entry.
   */
  recordFence(fence: number): void {
    this.highestFence = Math.max(this.highestFence, fence);
    const {lease, logger} = this.options;
    const own = lease.fence;
    if (own === undefined || own >= fence) return;
    logger.warn('layout lease has a newer holder; stepping down', {
      fence: own,
      newer: fence,
    });
    this.stepDown();
  }

  private stepDown(): void {
    this.options.lease.stepDown();
    this.isHolder = false;
  }

  private async sendOrders(): Promise<void> {
    const {table, fleet, nowMs} = this.options;
    const services = table()?.services.values() ?? [];
    for (const {service, model} of services) {
      if (!model) continue;
      const servers = fleet.nonLeaving(service);
      const isFirstLayout = servers.every(({layers}) => !layers);
      if (isFirstLayout && !this.isServerCountStable(servers.length)) continue;
      if (this.isSettled(service, model)) continue;
      const expectedServers = fleet
        .usable(service)
        .map(server => this.withPendingOrder(server));
      const orders = planLayout(
        model,
        expectedServers,
        this.layersInUse.get(nowMs()),
      );
      if (orders.length === 0) this.recordSettled(service, model);
      const sendable = this.withoutBusyZones(orders);
      await Promise.all(sendable.map(order => this.sendOrder(order)));
    }
  }

  /** Whether nothing has changed since a plan without orders. */
  private isSettled(service: ServiceId, model: ModelSpec): boolean {
    if (this.pendingOrders.size > 0) return false;
    const settled = this.settledLayouts.get(service);
    return (
      settled?.model === model && settled.inputRevision === this.inputRevision()
    );
  }

  private recordSettled(service: ServiceId, model: ModelSpec): void {
    const inputRevision = this.inputRevision();
    this.settledLayouts.set(service, {model, inputRevision});
  }

  /** Rises with each change of the servers and of the layers in use. */
  private inputRevision(): number {
    const {fleet, nowMs} = this.options;
    return fleet.revision + this.layersInUse.revision(nowMs());
  }

  private isServerCountStable(servers: number): boolean {
    const now = this.options.nowMs();
    if (servers !== this.lastServerCount) {
      this.lastServerCount = servers;
      this.countChangedAtMs = now;
    }
    return servers > 0 && now - this.countChangedAtMs >= SERVER_COUNT_STABLE_MS;
  }

  /**
   * Fetches reports from the servers with pending orders. Registrations lag
   * behind the reports by one to two seconds, and are not updated at all while
   * the store is unavailable.
   */
  private async pollPendingOrders(): Promise<void> {
    const {fleet, leavingServers, control, nowMs, logger, onLayersLoaded} =
      this.options;
    const servers = [...this.pendingOrders.keys()];
    let hasLoaded = false;
    const poll = async (id: ServerId): Promise<void> => {
      const server = fleet.get(id);
      const range = this.pendingOrders.get(id)?.order.range;
      if (!server || !range || hasLoadedRange(server, range)) return;
      try {
        const report = await control.fetchReport(
          server.address,
          REPORT_TIMEOUT_MS,
        );
        leavingServers.recordReport(server, report);
        // Reports lag, so one with other layers does not show a failed order.
        if (!isSameRange(report.layers, range)) return;
        fleet.observe({server: id, ...report}, nowMs());
        hasLoaded = true;
      } catch (error) {
        const fields = {peer: server.address, cause: String(error)};
        logger.info('no report on a pending order; asking again', fields);
      }
    };
    await Promise.all(servers.map(poll));
    if (hasLoaded) onLayersLoaded();
  }

  /** Returns the server as it will be after its pending order. */
  private withPendingOrder(server: BackendServer): BackendServer {
    const pending = this.pendingOrders.get(server.server);
    if (!pending) return server;
    const {range} = pending.order;
    const ageMs = this.options.nowMs() - pending.sentAtMs;
    const isOver =
      pending.startedAtMs !== server.startedAtMs ||
      hasLoadedRange(server, range) ||
      ageMs >= ORDER_POLLING_TIMEOUT_MS;
    if (isOver) this.pendingOrders.delete(server.server);
    const counts = !isOver && ageMs < ORDER_PENDING_TIMEOUT_MS;
    const {layers} = server;
    return counts && !isSameRange(layers, range)
      ? {...server, layers: range, reloadingLayerTokens: undefined}
      : server;
  }

  /**
   * Drops all orders of a zone if one of them is for a server that still
   * carries out an earlier order. The server would refuse it, and a plan that
   * is applied in part is worse than the whole plan a little later.
   */
  private withoutBusyZones(orders: readonly LayoutOrder[]): LayoutOrder[] {
    const busyZones = new Set(
      orders
        .filter(({server}) => this.hasOrderInProgress(server))
        .map(({server}) => server.availabilityZone),
    );
    return orders.filter(({server}) => !busyZones.has(server.availabilityZone));
  }

  private hasOrderInProgress({server, startedAtMs}: BackendServer): boolean {
    const pending = this.pendingOrders.get(server);
    if (!pending || pending.startedAtMs !== startedAtMs) return false;
    const known = this.options.fleet.get(server);
    if (known && hasLoadedRange(known, pending.order.range)) return false;
    return this.options.nowMs() - pending.sentAtMs < ORDER_PENDING_TIMEOUT_MS;
  }

  private async sendOrder(order: LayoutOrder): Promise<void> {
    const {control, leavingServers, lease, logger, nowMs, metrics} =
      this.options;
    const {server, range} = order;
    const fence = lease.fence;
    if (fence === undefined) return;
    const fields = {peer: server.address, server: server.server, ...range};
    this.pendingOrders.set(server.server, {
      startedAtMs: server.startedAtMs,
      order,
      sentAtMs: nowMs(),
    });
    try {
      const report = await control.fetchReport(
        server.address,
        REPORT_TIMEOUT_MS,
      );
      leavingServers.recordReport(server, report);
      const hasLayers = isSameRange(report.layers, range);
      if (hasLayers || report.isBusy || report.isLeaving) {
        this.pendingOrders.delete(server.server);
        return;
      }
      // Another entry may have taken over while the server reported.
      if (lease.fence !== fence) {
        this.pendingOrders.delete(server.server);
        return;
      }
      const outcome = await control.placeLayers({
        server,
        range,
        fence,
        expectedSequence: report.orderSequence,
      });
      metrics.increment('azurecrank_layout_orders_total', {
        outcome: outcome.kind,
      });
      logger.info('layers ordered', {...fields, fence, outcome: outcome.kind});
      if (outcome.kind === 'fenced' && lease.fence === fence) this.stepDown();
      // An order without a response may be carried out later. It is sent
      // again; the expected sequence number lets the server accept only one.
      if (outcome.kind !== 'accepted') this.pendingOrders.delete(server.server);
    } catch (error) {
      logger.warn('order was not given', {...fields, cause: String(error)});
      this.pendingOrders.delete(server.server);
    }
  }
}
