/**
 * Entries that pass the layout lease on to each other before one fleet of
 * servers. Messages take time, and servers take time to load layers. Time is
 * simulated.
 */
import {mock} from 'node:test';
import {
  Logger,
  Metrics,
  type KeyValueService,
  type Lease,
  type ServerId,
} from '@azurecrank/core';
import {
  FleetView,
  isSameRange,
  type BackendServer,
  type FencedLayoutOrder,
  type OrderOutcome,
  type RoutingTable,
  type ServerAddress,
  type ServerControl,
} from '@azurecrank/forwarding';
import {LeaseHolder} from 'azurecrank';
import {LeavingServers} from '../src/core/fleet/leaving_servers.js';
import {LayoutRunner} from '../src/core/placement/layout_runner.js';
import {MODEL, SERVICE, emptyFleet} from './fleet_fixture.js';
import {flushPromises} from './relay_harness.js';

const STEP_MS = 10;
const LEASE_TTL_MS = 3500;
/** Time of each message between an entry and a server, one way. */
const LINK_MS = 20;
/** Time from an accepted order until its server holds the layers. */
const LOAD_MS = 600;
/** Time until entries see a new state of a server or of the lease. */
const WATCH_MS = 100;

/** An order as sent by an entry, and what its server did with it. */
export interface SentOrder {
  readonly entry: number;
  readonly sentAtMs: number;
  readonly order: FencedLayoutOrder;
  outcome: OrderOutcome['kind'] | undefined;
}

interface OrderedServer {
  server: BackendServer;
  orderSequence: number;
  highestFence: number;
  isLoading: boolean;
}

/** The only key of a store, which is bound to a lease. */
class LeaseStore {
  /** Whether calls fail. */
  isAway = false;
  private value: string | undefined;
  private revision = 0;
  private lease: string | undefined;
  private expiresAtMs = -Infinity;
  private lastFence = 10;

  constructor(
    private readonly nowMs: () => number,
    private readonly onWritten: (fence: number) => void,
  ) {}

  get isHeld(): boolean {
    return this.value !== undefined && this.nowMs() < this.expiresAtMs;
  }

  /** The store as an entry reaches it. */
  connect(): KeyValueService {
    return {
      get: async () => {
        this.throwIfAway();
        const {value, revision} = this;
        return this.isHeld ? {value, revision} : undefined;
      },
      grantLease: async (ttlMs: number): Promise<Lease> => {
        const fence = ++this.lastFence;
        return {lease: `${fence}`, fence, ttlMs} as unknown as Lease;
      },
      compareAndSwap: async (
        _: string,
        value: string,
        revision: number,
        lease: Lease,
      ) => {
        if ((this.isHeld ? this.revision : 0) !== revision)
          return {kind: 'conflict'};
        this.value = value;
        this.lease = String(lease.lease);
        this.expiresAtMs = this.nowMs() + lease.ttlMs;
        this.onWritten(lease.fence);
        return {kind: 'written', revision: ++this.revision};
      },
      keepLeaseAlive: async ({lease, ttlMs}: Lease) => {
        this.throwIfAway();
        if (!this.isHeld || String(lease) !== this.lease) return false;
        this.expiresAtMs = this.nowMs() + ttlMs;
        return true;
      },
    } as unknown as KeyValueService;
  }

  private throwIfAway(): void {
    if (this.isAway) throw new Error('the store does not respond');
  }
}

export class LayoutFleet implements Disposable {
  nowMs = 0;
  /** Number of reports that entries asked servers for. */
  queries = 0;
  /** Time from the sending of an order until it arrives. */
  orderDelayMs = LINK_MS;
  readonly orders: SentOrder[] = [];
  readonly runners: LayoutRunner[];
  private readonly views: FleetView[] = [];
  private readonly servers = new Map<ServerAddress, OrderedServer>();
  readonly store: LeaseStore;
  private isHeldSeen = false;

  constructor(entries: number) {
    mock.timers.enable({apis: ['setTimeout']});
    for (const server of emptyFleet()) {
      const state = {
        server,
        orderSequence: 0,
        highestFence: 0,
        isLoading: false,
      };
      this.servers.set(server.address, state);
    }
    this.store = new LeaseStore(
      () => this.nowMs,
      fence => this.announce(fence),
    );
    this.runners = Array.from({length: entries}, (_, i) =>
      this.createRunner(i),
    );
  }

  [Symbol.dispose](): void {
    for (const runner of this.runners) runner[Symbol.dispose]();
    mock.timers.reset();
  }

  /** Number of servers that hold layers. */
  get loaded(): number {
    return [...this.servers.values()].filter(({server}) => server.layers)
      .length;
  }

  async advance(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      this.nowMs += STEP_MS;
      this.isHeldSeen &&= this.store.isHeld;
      mock.timers.tick(STEP_MS);
      await flushPromises();
    }
  }

  /** Lets time pass until the condition holds; throws if it never does. */
  async advanceUntil(maxMs: number, condition: () => boolean): Promise<void> {
    const endMs = this.nowMs + maxMs;
    while (!condition()) {
      if (this.nowMs >= endMs) throw new Error(`not within ${maxMs} ms`);
      await this.advance(STEP_MS);
    }
  }

  /** Orders that an entry sent after a time. */
  sentBy(entry: number, afterMs: number): readonly SentOrder[] {
    return this.orders.filter(
      order => order.entry === entry && order.sentAtMs > afterMs,
    );
  }

  /** Accepted orders for layers that their server had last been ordered. */
  get acceptedTwice(): readonly SentOrder[] {
    const lastOrders = new Map<ServerId, FencedLayoutOrder>();
    return this.orders.filter(({order, outcome}) => {
      if (outcome !== 'accepted') return false;
      const {server} = order.server;
      const last = lastOrders.get(server);
      lastOrders.set(server, order);
      return last !== undefined && isSameRange(last.range, order.range);
    });
  }

  /** Makes every n-th server start again, without layers. */
  restartEveryNth(n: number): void {
    [...this.servers.values()].forEach((state, i) => {
      if (i % n !== 0) return;
      const old = state.server;
      const server = `${old.server}-again` as ServerId;
      state.orderSequence = 0;
      state.highestFence = 0;
      state.isLoading = false;
      state.server = {
        ...old,
        server,
        layers: undefined,
        startedAtMs: this.nowMs,
      };
      for (const fleet of this.views) {
        fleet.remove(old.server);
        fleet.put(state.server, this.nowMs);
      }
    });
  }

  private createRunner(entry: number): LayoutRunner {
    const logger = new Logger('test', 'silent');
    const fleet = new FleetView();
    this.views.push(fleet);
    for (const {server} of this.servers.values()) fleet.put(server, 0);
    const service = {service: SERVICE, healthPath: '/', model: MODEL};
    const table = {services: new Map([[SERVICE, service]])};
    return new LayoutRunner({
      lease: new LeaseHolder(
        this.store.connect(),
        `entry-${entry}`,
        LEASE_TTL_MS,
        logger,
      ),
      control: this.createControl(entry),
      fleet,
      leavingServers: new LeavingServers({
        fleet,
        logger,
        onServerLost: () => {},
      }),
      table: () => table as unknown as RoutingTable,
      isLeaseHeld: () => this.isHeldSeen,
      logger,
      metrics: new Metrics(),
      nowMs: () => this.nowMs,
      onLayersLoaded: () => {},
    });
  }

  private createControl(entry: number): ServerControl {
    return {
      fetchReport: async (address: ServerAddress) => {
        this.queries++;
        await this.delay(LINK_MS);
        const {server, orderSequence, isLoading} = this.find(address);
        const {layers, startedAtMs} = server;
        await this.delay(LINK_MS);
        return {
          layers,
          startedAtMs,
          orderSequence,
          isBusy: isLoading,
          isLeaving: false,
        };
      },
      placeLayers: async (order: FencedLayoutOrder) => {
        const sent: SentOrder = {
          entry,
          sentAtMs: this.nowMs,
          order,
          outcome: undefined,
        };
        this.orders.push(sent);
        await this.delay(this.orderDelayMs);
        const outcome = this.receive(order);
        sent.outcome = outcome.kind;
        await this.delay(LINK_MS);
        return outcome;
      },
    } as unknown as ServerControl;
  }

  private receive(order: FencedLayoutOrder): OrderOutcome {
    const {server, range, fence, expectedSequence} = order;
    const state = this.find(server.address);
    if (fence < state.highestFence) return {kind: 'fenced'};
    state.highestFence = fence;
    if (expectedSequence !== state.orderSequence) return {kind: 'conflict'};
    state.orderSequence++;
    state.isLoading = true;
    void this.delay(LOAD_MS).then(async () => {
      if (state.server.server !== server.server) return;
      state.isLoading = false;
      state.server = {...state.server, layers: range};
      await this.delay(WATCH_MS);
      for (const fleet of this.views) fleet.put(state.server, this.nowMs);
    });
    return {kind: 'accepted'};
  }

  /** Shows the entries, after some time, who holds the lease. */
  private announce(fence: number): void {
    void this.delay(WATCH_MS).then(() => {
      this.isHeldSeen = true;
      for (const runner of this.runners) runner.recordFence(fence);
    });
  }

  private find(address: ServerAddress): OrderedServer {
    const state = this.servers.get(address);
    if (!state) throw new Error(`unknown server ${address}`);
    return state;
  }

  private delay(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
  }
}
