/** The entry process in front of engines that forward among themselves. */
import {createServer, type Server} from 'node:http';
import {
  DisposableStore,
  HealthServer,
  Logger,
  Metrics,
  PauseMonitor,
  RetryBudget,
  createInstanceId,
  declareProcessMetrics,
  listenOn,
  type KeyValueService,
  type PeerAddress,
  type RunnableProcess,
  type ServiceId,
} from '@azurecrank/core';
import {LeaseHolder, RefusalSender} from 'azurecrank';
import polka, {type Request} from 'polka';
import type {PlatformAdapter, StoreChange} from '../adapter/wire_codec.js';
import {ChainLoads} from '../admission/chain_loads.js';
import {ModelAdmission} from '../admission/model_admission.js';
import type {BackendServer} from '../fleet/backend_server.js';
import {FleetView} from '../fleet/fleet_view.js';
import {PrefixFollower} from '../fleet/prefix_follower.js';
import {ForwardingGateway} from '../gateway/forwarding_gateway.js';
import {
  EntryDirectory,
  LAYOUT_LEASE_KEY,
  OWN_PREFIX,
} from '../peers/entry_directory.js';
import {EntryMesh} from '../peers/entry_mesh.js';
import {describePath} from '../paths/server_path.js';
import {LayoutRunner} from '../placement/layout_runner.js';
import {CallLoadBalancer} from '../relay/call_servers.js';
import {
  MARKED_SERVER_CHECK_INTERVAL_MS,
  PathFailureDetector,
} from '../relay/path_doctor.js';
import {HttpUpstream} from '../relay/upstream.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {TableHolder} from '../routing/table_holder.js';
import type {ForwardingSettings} from './forwarding_settings.js';

/** Period at which waiting requests are looked at. */
const PUMP_PERIOD_MS = 25;

/** Lease of the entry that gives orders. */
const LAYOUT_LEASE_MS = 3500;

/** Time after a stop signal in which the balancer may still send callers. */
const BALANCER_GRACE_MS = 3000;

/** Time kept for the end of the process before it is killed. */
const STOP_MARGIN_MS = 600;

const DRAIN_CHECK_MS = 50;

/** A new table must be in force everywhere within 2 s. */
const TABLE_GATHER_MS = 100;

/** A leaving server must get nothing new after 2 s. */
const SERVERS_GATHER_MS = 300;

/** Entries come and go rarely, and peers tell each other the rest. */
const ENTRIES_GATHER_MS = 1000;

/** Listener backlog; callers come in bursts after an outage. */
const BACKLOG = 1024;

/** Headers are bounded before a routing table with their limit is known. */
const MAX_HEADER_BYTES = 64 * 1024;

/** After a pause of its own this process blames no server for so long. */
const OWN_PAUSE_MS = 700;

/**
 * Eight entries together stay below a budget of a fifth of the requests and
 * some 400 more in 10 s.
 */
const RETRIES = {perSuccess: 0.15, perSecond: 1, capacity: 40};

export class ForwardingProcess implements RunnableProcess, Disposable {
  readonly metrics = new Metrics();
  private readonly store = new DisposableStore();
  private readonly logger: Logger;
  private readonly fleet = new FleetView();
  private readonly loads = new ChainLoads();
  private readonly callServers = new CallLoadBalancer();
  private readonly admissions = new Map<ServiceId, ModelAdmission>();
  private readonly table: TableHolder;
  private readonly directory: EntryDirectory;
  private readonly mesh: EntryMesh;
  private readonly gateway: ForwardingGateway;
  private readonly pauses = new PauseMonitor();
  private callers: Server | undefined;
  private layout: LayoutRunner | undefined;
  private serversFollower: PrefixFollower | undefined;
  private stopBeganMs = Infinity;
  private hasServers = false;
  private isStopping = false;
  private boundPeerAddress = '' as PeerAddress;

  constructor(
    private readonly settings: ForwardingSettings,
    private readonly adapter: PlatformAdapter,
    private readonly keyValue: KeyValueService,
    writeLine: (line: string) => void,
  ) {
    const {node, logLevel, availabilityZone} = settings;
    this.logger = new Logger(node, logLevel, writeLine);
    const {logger, metrics, fleet, loads} = this;
    declareProcessMetrics(metrics, 'entry');
    const nowMs = () => performance.now();
    this.table = new TableHolder(adapter.store, logger, table =>
      this.applyTable(table),
    );
    this.directory = this.store.add(new EntryDirectory(keyValue, node, logger));
    this.mesh = this.store.add(
      new EntryMesh({
        node,
        instance: createInstanceId(),
        availabilityZone,
        loads,
        fleet,
        logger,
        nowMs,
        waiting: () => this.waiting(),
        heldTable: () => this.table.stored,
        offerTable: text => this.table.offer(text, 'peer'),
        hasProgress: (address, sinceMs) =>
          this.gateway.hasProgress(address, sinceMs),
        onServerLost: () => this.layout?.hurry(),
        isStopping: () => this.isStopping,
        onLayoutHandover: lease => this.layout?.adopt(lease),
        layoutFence: () => this.layout?.fence ?? 0,
        onLayoutFence: fence => this.layout?.noteFence(fence),
      }),
    );
    const upstream = this.store.add(new HttpUpstream());
    const refusals = new RefusalSender(metrics, logger, 'fractions');
    const budget = new RetryBudget(nowMs(), RETRIES);
    const common = {
      upstream,
      wire: adapter.wire,
      fleet,
      budget,
      refusals,
      metrics,
      logger,
      nowMs,
    };
    const failureDetector = new PathFailureDetector({
      control: adapter.control,
      fleet,
      logger,
      nowMs,
      wasPaused: () => this.pauses.pausedWithin(OWN_PAUSE_MS),
      healthPathOf: service =>
        this.table.table?.services.get(service)?.healthPath ?? '/',
      hasEventSince: (address, sinceMs) =>
        this.gateway.hasProgress(address, sinceMs),
      onServerLost: () => {
        this.mesh.share();
        this.layout?.hurry();
      },
    });
    this.store.interval(
      () => void failureDetector.checkMarkedServers(),
      MARKED_SERVER_CHECK_INTERVAL_MS,
    );
    this.gateway = this.store.add(
      new ForwardingGateway({
        wire: adapter.wire,
        currentView: () => this.table.view,
        admissionOf: service => this.admissionOf(service),
        calls: {...common, availabilityZone, balancer: this.callServers},
        streams: {...common, control: adapter.control, failureDetector, loads},
        refusals,
        isDraining: () => this.isStopping,
        acceptsRequests: () =>
          performance.now() - this.stopBeganMs < BALANCER_GRACE_MS,
        nowMs,
      }),
    );
    this.store.add(this.pauses);
  }

  get peerAddress(): PeerAddress {
    return this.boundPeerAddress;
  }

  async start(): Promise<number> {
    const {settings, logger} = this;
    logger.info('starting', {zone: settings.availabilityZone});
    const {peerHost, peerPort, metricsPort} = settings;
    this.boundPeerAddress = await this.mesh.listen(peerHost, peerPort);
    await this.listenForCallers();
    await this.listenForBalancer();
    const health = this.store.add(
      new HealthServer({isReady: () => this.isReady(), metrics: this.metrics}),
    );
    await health.listen(peerHost, metricsPort);
    this.mesh.setPeers(settings.seedPeers as PeerAddress[]);
    this.follow();
    this.directory.start(this.boundPeerAddress);
    this.startLayout();
    this.store.interval(() => this.pump(), PUMP_PERIOD_MS);
    const [, port] = splitAddress(settings.callerAddress);
    return port;
  }

  /**
   * Turns readiness off, goes on accepting until the balancer has noticed and
   * ends when nothing is in flight or the grace time is over.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const beganMs = performance.now();
    this.stopBeganMs = beganMs;
    const {graceMs} = this.settings;
    this.logger.info('leaving', {inFlight: this.gateway.inFlight});
    this.handOverLayout();
    const elapsedMs = () => performance.now() - beganMs;
    const isDone = () =>
      elapsedMs() >= BALANCER_GRACE_MS && this.gateway.inFlight === 0;
    while (!isDone() && elapsedMs() < graceMs - STOP_MARGIN_MS) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MS));
    }
    this.callers?.close();
    this.logger.info('stopped', {inFlight: this.gateway.inFlight});
    this[Symbol.dispose]();
  }

  private handOverLayout(): void {
    const lease = this.layout?.handOver();
    if (!lease) return;
    const peer = this.mesh.handOver(lease);
    this.logger.info('layout lease handed over', {fence: lease.fence, peer});
    // Without a fit peer another entry takes the lease as soon as it is free.
    if (peer === undefined) {
      this.keyValue.revokeLease(lease).catch(error => {
        this.logger.warn('lease was not ended', {cause: String(error)});
      });
    }
  }

  /** Settings are read at the start only; the file has the same content. */
  reload(): void {
    this.logger.info('reload requested', {
      configVersion: this.table.stored.version,
    });
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  private isReady(): boolean {
    return !this.isStopping && this.table.view !== undefined && this.hasServers;
  }

  private async listenForCallers(): Promise<void> {
    const app = polka({
      onNoMatch: (req, res) => this.gateway.handle(req, res),
    });
    const server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, requestTimeout: 0},
      (req, res) => app.handler(req as Request, res),
    );
    this.callers = server;
    const [host, port] = splitAddress(this.settings.callerAddress);
    await listenOn(server, host, port, 'caller_address', BACKLOG);
    this.store.defer(() => {
      server.close();
      server.closeAllConnections();
    });
  }

  private async listenForBalancer(): Promise<void> {
    const app = polka();
    app.get(this.adapter.readyPath, (_, res) => {
      const isReady = this.isReady();
      res.statusCode = isReady ? 200 : 503;
      res.end(isReady ? 'ready\n' : 'not ready\n');
    });
    const server = createServer((req, res) => app.handler(req as Request, res));
    const [host, port] = splitAddress(this.settings.readyAddress);
    await listenOn(server, host, port, 'ready_address');
    this.store.defer(() => {
      server.close();
      server.closeAllConnections();
    });
  }

  private follow(): void {
    const {store: codec, prefixes} = this.adapter;
    const {logger} = this;
    const nowMs = () => performance.now();
    const common = {store: prefixes, logger, nowMs};
    const takeTable = (changes: readonly StoreChange[]) => {
      for (const {key, value} of changes) {
        if (key !== codec.tableKey || value === undefined) continue;
        this.table.offer(value, 'store');
      }
    };
    const followers = [
      new PrefixFollower({
        ...common,
        prefix: codec.tablePrefix,
        gatherMs: TABLE_GATHER_MS,
        onSnapshot: ({entries}) => takeTable(entries),
        onChanges: takeTable,
      }),
      new PrefixFollower({
        ...common,
        prefix: codec.serversPrefix,
        gatherMs: SERVERS_GATHER_MS,
        onSnapshot: ({entries}, afterOutage) => {
          const servers = entries.flatMap(entry => this.decodeServer(entry));
          this.fleet.replaceAll(servers, nowMs(), afterOutage);
          this.hasServers = true;
          this.noteFleet();
        },
        onChanges: changes => this.takeServerChanges(changes),
      }),
      new PrefixFollower({
        ...common,
        prefix: OWN_PREFIX,
        gatherMs: ENTRIES_GATHER_MS,
        onSnapshot: snapshot => {
          this.directory.takeSnapshot(snapshot);
          this.mesh.setPeers(this.directory.entries);
        },
        onChanges: changes => {
          this.directory.takeChanges(changes);
          this.mesh.setPeers(this.directory.entries);
        },
      }),
    ];
    this.serversFollower = followers[1];
    for (const follower of followers) this.store.add(follower).start();
  }

  private takeServerChanges(changes: readonly StoreChange[]): void {
    for (const {key, value} of changes) {
      if (value === undefined) {
        const server = this.adapter.store.serverIdOf(key);
        this.fleet.remove(server);
        this.logger.info('server gone', {server});
        continue;
      }
      for (const server of this.decodeServer({key, value})) {
        this.fleet.put(server, performance.now());
      }
    }
    this.noteFleet();
  }

  /** An entry that cannot be read names no server to use. */
  private decodeServer(entry: {key: string; value: string}): BackendServer[] {
    const {key, value} = entry;
    const decoded = this.adapter.store.decodeServer(key, value);
    if (decoded.kind === 'decoded') return [decoded.value];
    const {step, cause} = decoded;
    this.logger.warn('server entry is unreadable', {key, step, cause});
    this.fleet.remove(this.adapter.store.serverIdOf(key));
    return [];
  }

  private noteFleet(): void {
    const servers = [...this.fleet.all()];
    this.callServers.retainServers(
      new Set(servers.map(({address}) => address)),
    );
    this.mesh.share();
    this.layout?.hurry();
    this.logger.info('servers changed', {
      servers: servers.length,
      leaving: servers.filter(server => this.fleet.isLeaving(server)).length,
    });
  }

  private startLayout(): void {
    const {keyValue, logger, metrics, fleet, adapter} = this;
    const {node} = this.settings;
    const lease = new LeaseHolder(
      keyValue,
      node,
      LAYOUT_LEASE_MS,
      logger,
      LAYOUT_LEASE_KEY,
    );
    this.pauses.onPause(() => lease.notePause());
    const runner = new LayoutRunner({
      lease,
      control: adapter.control,
      fleet,
      table: () => this.table.table,
      isHeldElsewhere: () => this.directory.isLayoutHeld,
      logger,
      metrics,
      nowMs: () => performance.now(),
      onLoaded: () => this.mesh.share(),
    });
    this.layout = this.store.add(runner);
    runner.start();
  }

  private applyTable(table: RoutingTable): void {
    const {callers} = this;
    if (callers) {
      // Callers reuse channels up to nearly this time.
      callers.keepAliveTimeout = table.limits.idleTimeoutMs + 1000;
      callers.headersTimeout = table.limits.headerTimeoutMs + 1000;
    }
    for (const {service, model} of table.services.values()) {
      if (model) this.admissionOf(service);
    }
  }

  private admissionOf(service: ServiceId): ModelAdmission {
    let admission = this.admissions.get(service);
    if (!admission) {
      admission = new ModelAdmission({
        service,
        availabilityZone: this.settings.availabilityZone,
        fleet: this.fleet,
        loads: this.loads,
        model: () => this.table.table?.services.get(service)?.model,
        nowMs: () => performance.now(),
        onChainsChanged: chains => {
          this.layout?.noteChains(chains);
          this.logger.info('chains in use', {
            service,
            chains: chains.map(
              ({path, capacityTokens}) =>
                `${Math.round(capacityTokens)} tokens: ${describePath(path)}`,
            ),
          });
        },
      });
      this.admissions.set(service, admission);
    }
    return admission;
  }

  private waiting(): number[] {
    return [...this.admissions.values()].reduce<number[]>(
      (sums, admission) =>
        admission.waitingByRank().map((count, i) => count + (sums[i] ?? 0)),
      [],
    );
  }

  private pump(): void {
    const isLive = this.serversFollower?.isConnected ?? false;
    this.fleet.expire(performance.now(), isLive);
    for (const admission of this.admissions.values()) admission.processQueue();
  }
}

function splitAddress(address: string): [string, number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
