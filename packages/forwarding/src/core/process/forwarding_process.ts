/** Entry process for engines that pass activations among themselves. */
import {createServer, type Server} from 'node:http';
import {
  DisposableStore,
  HealthServer,
  Logger,
  METRICS,
  Metrics,
  PauseMonitor,
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
import type {PlatformAdapter} from '../adapter/platform_adapter.js';
import {ChainLoads} from '../admission/chain_loads.js';
import {ModelAdmission} from '../admission/model_admission.js';
import {PeerQueues} from '../admission/peer_queues.js';
import {QueueWaitReporter} from '../admission/queue_wait_reporter.js';
import {FleetView} from '../fleet/fleet_view.js';
import {StoreContact} from '../fleet/store_contact.js';
import {LeavingServers} from '../fleet/leaving_servers.js';
import {ForwardingGateway} from '../gateway/forwarding_gateway.js';
import {EntryDirectory, LAYOUT_LEASE_KEY} from '../peers/entry_directory.js';
import {EntryMesh} from '../peers/entry_mesh.js';
import {RelayedPrefixStore} from '../peers/relayed_prefix_store.js';
import {
  MAX_REPORT_DELAY_MS,
  REPORT_INTERVAL_MS,
} from '../peers/report_timing.js';
import {LayoutRunner} from '../placement/layout_runner.js';
import {CallLoadBalancer} from '../relay/call_load_balancer.js';
import {
  MARKED_SERVER_CHECK_INTERVAL_MS,
  PathFailureDetector,
} from '../relay/path_failure_detector.js';
import {ResponseMemory} from '../relay/response_memory.js';
import {HttpUpstream} from '../relay/upstream.js';
import {ServerHolds} from '../limits/server_holds.js';
import {SharedServerLimits} from '../limits/shared_server_limits.js';
import {
  RequestQuarantine,
  type QuarantineChange,
} from '../quarantine/request_quarantine.js';
import {QuarantineStore} from '../quarantine/quarantine_store.js';
import {CrashWatch} from '../quarantine/crash_watch.js';
import {kindOf} from '../quarantine/suspect_key.js';
import {SharedRetryBudget} from '../retry/shared_retry_budget.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {TableHolder} from '../routing/table_holder.js';
import {chainFields} from './chain_fields.js';
import type {ForwardingSettings} from './forwarding_settings.js';
import {StoreWatchers} from './store_watchers.js';

/** Interval at which queued requests are admitted or refused. */
const QUEUE_INTERVAL_MS = 25;

/** Intervals after which queues are looked at in which nothing waits. */
const IDLE_QUEUE_INTERVALS = 4;

/** TTL of the layout lease, whose holder gives orders to servers. */
const LAYOUT_LEASE_TTL_MS = 3500;

/** Time after a stop signal for which the load balancer may send requests. */
const BALANCER_GRACE_MS = 3000;

/** Part of the grace time reserved for ending the process before its kill. */
const STOP_MARGIN_MS = 600;

/** Interval at which a stopping process checks whether it has drained. */
const DRAIN_CHECK_INTERVAL_MS = 50;

/** The same at most as a fraction of a short grace time. */
const MAX_MARGIN_FRACTION = 1 / 8;

/** Fraction of the margin in which the last answers are handed to the network. */
const LAST_ANSWERS_FRACTION = 1 / 2;
const LAST_ANSWERS_CHECK_INTERVAL_MS = 5;

/** Reports after which others know of what an entry reports over relays. */
const REPORTS_UNTIL_KNOWN_BY_RELAYS = Math.ceil(
  MAX_REPORT_DELAY_MS / REPORT_INTERVAL_MS,
);

/** Factor on the delays of attempts to order layouts of all but relays. */
const NO_RELAY_ATTEMPT_DELAY_FACTOR = 5;

/** Listen backlog for callers, which reconnect in bursts after an outage. */
const CALLER_LISTEN_BACKLOG = 1024;

/** Bounds headers, also before a routing table with their limit is known. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Time after a pause of this process for which it suspects no server. */
const PAUSE_GRACE_MS = 700;

/**
 * Registrations expire after three heartbeats without one. A server that sent
 * one just before an outage misses its first one up to an interval later.
 */
const MIN_HEARTBEATS_TO_EXPIRE = 2;

const MS_PER_SECOND = 1000;

/**
 * Time after the start for which an entry that knows of others is not ready
 * until it has heard of one.
 */
const FIRST_REPORT_WAIT_MS = 500;

/** Added to the idle and header timeouts that callers may use in full. */
const CALLER_TIMEOUT_MARGIN_MS = 1000;

export class ForwardingProcess implements RunnableProcess, Disposable {
  readonly metrics = new Metrics();
  private readonly disposables = new DisposableStore();
  private readonly logger: Logger;
  private readonly fleet = new FleetView();
  private readonly leavingServers: LeavingServers;
  private readonly limits: SharedServerLimits;
  private readonly holds: ServerHolds;
  private readonly loads: ChainLoads;
  private readonly peerQueues = new PeerQueues();
  private readonly callBalancer = new CallLoadBalancer();
  private readonly responseMemory = new ResponseMemory();
  private readonly admissions = new Map<ServiceId, ModelAdmission>();
  private readonly waitReporters = new Map<ServiceId, QueueWaitReporter>();
  private readonly tableHolder: TableHolder;
  private readonly directory: EntryDirectory;
  private readonly mesh: EntryMesh;
  private readonly prefixes: RelayedPrefixStore;
  private readonly retryBudget: SharedRetryBudget;
  private readonly quarantine = new RequestQuarantine(change =>
    this.handleQuarantineChange(change),
  );
  private readonly quarantineStore: QuarantineStore;
  private readonly crashWatch: CrashWatch;
  private isBroadcastPending = false;
  private queueIntervals = 0;
  private readonly gateway: ForwardingGateway;
  private readonly pauses = new PauseMonitor();
  private callerServer: Server | undefined;
  private layoutRunner: LayoutRunner | undefined;
  private readonly storeWatchers: StoreWatchers;
  private readonly storeContact: StoreContact;
  private startedAtMs = Infinity;
  private stopBeganAtMs = Infinity;
  /** Time at which a stopping process ends the requests that are left. */
  private drainEndsAtMs = Infinity;
  private isStopping = false;

  constructor(
    private readonly settings: ForwardingSettings,
    private readonly adapter: PlatformAdapter,
    private readonly keyValue: KeyValueService,
    writeLine: (line: string) => void,
  ) {
    const {node, logLevel, availabilityZone} = settings;
    this.logger = new Logger(node, logLevel, writeLine);
    const {logger, metrics, fleet} = this;
    declareProcessMetrics(metrics, 'entry');
    this.limits = new SharedServerLimits({
      node,
      entryCount: () => this.directory.entryCount,
      reportDelayMs: () =>
        this.mesh.usesRelays ? MAX_REPORT_DELAY_MS : REPORT_INTERVAL_MS,
      waitingPeers: (service, nowMs) =>
        this.peerQueues.waitingPeers(service, nowMs),
      onChange: (peer, limitPerS) => {
        logger.info('server names another limit', {peer, limitPerS});
        this.broadcastSoon();
      },
    });
    const holds = new ServerHolds((peer, holdMs) =>
      logger.info('server wants no requests for now', {peer, holdMs}),
    );
    this.holds = holds;
    const loads = new ChainLoads(this.limits, holds);
    this.loads = loads;
    const nowMs = () => performance.now();
    this.storeContact = new StoreContact(
      settings.serverHeartbeatMs * MIN_HEARTBEATS_TO_EXPIRE,
    );
    this.tableHolder = new TableHolder(adapter.store, logger, table =>
      this.applyTable(table),
    );
    this.directory = this.disposables.add(
      new EntryDirectory({
        keyValue,
        node,
        availabilityZone,
        logger,
        nowMs,
        isRelay: () => this.mesh.isRelay,
        onRenewal: isReachable => this.handleRenewal(isReachable),
        onExpiry: () => this.handleEntriesChange(),
      }),
    );
    this.retryBudget = new SharedRetryBudget(nowMs(), {
      ratio: settings.retryRatio,
      extraRetries: settings.extraRetries,
      windowMs: settings.retryWindowS * MS_PER_SECOND,
    });
    this.quarantineStore = this.disposables.add(
      new QuarantineStore({
        keyValue,
        quarantine: this.quarantine,
        logger,
        nowMs,
        entryCount: () => this.directory.entryCount,
      }),
    );
    this.mesh = this.disposables.add(
      new EntryMesh({
        node,
        instance: createInstanceId(),
        availabilityZone,
        loads,
        retryBudget: this.retryBudget,
        quarantine: this.quarantine,
        limits: this.limits,
        fleet,
        logger,
        nowMs,
        peerQueues: this.peerQueues,
        queues: () => [...this.admissions.values()].map(a => a.queues()),
        storedTable: () => this.tableHolder.stored,
        updateTable: text => this.tableHolder.updateIfNewer(text, 'peer'),
        hasEventSince: (address, sinceMs) =>
          this.gateway.hasEventSince(address, sinceMs),
        onServerLost: () => this.layoutRunner?.checkNow(),
        onPeerJoined: () => this.tellBlamed(),
        isStopping: () => this.isStopping,
        onLayoutHandover: lease => this.layoutRunner?.adoptLease(lease),
        layoutFence: () => this.layoutRunner?.fence ?? 0,
        onLayoutFence: fence => this.layoutRunner?.recordFence(fence),
        readStoreFor: request => this.prefixes.answer(request),
      }),
    );
    this.prefixes = this.disposables.add(
      new RelayedPrefixStore({
        store: adapter.prefixes,
        nowMs,
        relays: () => this.mesh.storeRelays(),
        ask: (relay, question, signal) =>
          this.mesh.askStore(relay, question, signal),
        onRead: source =>
          metrics.increment('azurecrank_store_reads_total', {source}),
      }),
    );
    this.declarePeerTraffic();
    const upstream = this.disposables.add(new HttpUpstream());
    const refusals = new RefusalSender(metrics, logger, 'fractions');
    const onServerLost = () => {
      this.mesh.broadcastShares();
      this.layoutRunner?.checkNow();
    };
    const leavingServers = new LeavingServers({fleet, logger, onServerLost});
    this.leavingServers = leavingServers;
    const common = {
      upstream,
      wire: adapter.wire,
      fleet,
      leavingServers,
      budget: this.retryBudget,
      limits: this.limits,
      holds,
      refusals,
      metrics,
      logger,
      nowMs,
      quarantine: this.quarantine,
    };
    const failureDetector = new PathFailureDetector({
      control: adapter.control,
      fleet,
      leavingServers,
      holds,
      logger,
      nowMs,
      wasPaused: () => this.pauses.wasPausedWithin(PAUSE_GRACE_MS),
      healthPathOf: service =>
        this.tableHolder.findService(service)?.healthPath ?? '/',
      hasEventSince: (address, sinceMs) =>
        this.gateway.hasEventSince(address, sinceMs),
      onServerLost,
      onServerEnded: server => this.crashWatch.recordEnd(server),
    });
    this.crashWatch = new CrashWatch({
      quarantine: this.quarantine,
      hasEnded: server => failureDetector.hasEnded(server),
      stateOf: server => fleet.stateOf(server),
      nowMs,
    });
    this.disposables.addInterval(
      () => void failureDetector.checkMarkedServers(),
      MARKED_SERVER_CHECK_INTERVAL_MS,
    );
    this.gateway = this.disposables.add(
      new ForwardingGateway({
        wire: adapter.wire,
        currentView: () => this.tableHolder.view,
        admissionOf: service => this.admissionOf(service),
        calls: {
          ...common,
          availabilityZone,
          balancer: this.callBalancer,
          memory: this.responseMemory,
          hasEnded: server => failureDetector.hasEnded(server),
          crashWatch: this.crashWatch,
        },
        streams: {
          ...common,
          control: adapter.control,
          failureDetector,
          loads,
          crashWatch: this.crashWatch,
        },
        budget: this.retryBudget,
        refusals,
        isDraining: () => this.isStopping,
        acceptsRequests: () =>
          performance.now() - this.stopBeganAtMs < BALANCER_GRACE_MS,
        remainingMs: () => this.drainEndsAtMs - performance.now(),
        nowMs,
      }),
    );
    this.storeWatchers = this.disposables.add(
      new StoreWatchers({
        adapter: {...adapter, prefixes: this.prefixes},
        fleet,
        contact: this.storeContact,
        tableHolder: this.tableHolder,
        logger,
        nowMs,
        onRestore: () => {
          this.layoutRunner?.refreshLeaseNow();
          this.directory.handleRestore();
        },
        onServersChange: () => this.handleFleetChange(),
        onEntriesSnapshot: (snapshot, {afterOutage, afterRestore}) => {
          this.directory.applySnapshot(snapshot, afterOutage || afterRestore);
          this.quarantineStore.applySnapshot(snapshot, afterRestore);
          this.handleEntriesChange();
        },
        onEntriesChanges: changes => {
          this.directory.applyChanges(changes);
          this.quarantineStore.applyChanges(changes);
          this.handleEntriesChange();
        },
      }),
    );
    this.disposables.add(this.pauses);
  }

  get peerAddress(): PeerAddress {
    return this.mesh.boundAddress;
  }

  async start(): Promise<number> {
    const {settings, logger} = this;
    const {retryRatio, extraRetries, retryWindowS} = settings;
    logger.info('starting', {
      zone: settings.availabilityZone,
      retryRatio,
      extraRetries,
      retryWindowS,
    });
    const {peerHost, peerPort, peerAdvertisedAddress, metricsPort} = settings;
    const peerAddress = await this.mesh.listen(
      peerHost,
      peerPort,
      peerAdvertisedAddress,
    );
    this.startedAtMs = performance.now();
    await this.listenForCallers();
    await this.listenForReadinessChecks();
    const health = this.disposables.add(
      new HealthServer({isReady: () => this.isReady(), metrics: this.metrics}),
    );
    await health.listen(peerHost, metricsPort);
    this.mesh.setPeers(settings.seedPeers as PeerAddress[]);
    this.storeWatchers.start();
    this.directory.start(peerAddress);
    this.quarantineStore.start();
    this.startLayoutRunner();
    this.disposables.addInterval(() => this.processQueues(), QUEUE_INTERVAL_MS);
    const [, port] = splitAddress(settings.callerAddress);
    return port;
  }

  /**
   * Reports not ready, accepts requests until the load balancer has noticed and
   * ends when no request is in flight. Near the end of the grace time it ends
   * those that are left with an answer.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const beganMs = performance.now();
    this.stopBeganAtMs = beganMs;
    const {graceMs} = this.settings;
    const marginMs = Math.min(STOP_MARGIN_MS, graceMs * MAX_MARGIN_FRACTION);
    this.drainEndsAtMs = beganMs + graceMs - marginMs;
    this.logger.info('leaving', {inFlight: this.gateway.inFlight});
    this.gateway.closeConnectionsAfterAnswers();
    this.handOverLayoutLease();
    const elapsedMs = () => performance.now() - beganMs;
    const isDrained = () =>
      elapsedMs() >= BALANCER_GRACE_MS && this.gateway.inFlight === 0;
    while (!isDrained() && performance.now() < this.drainEndsAtMs) {
      this.gateway.refuseWaiting();
      await sleep(DRAIN_CHECK_INTERVAL_MS);
    }
    if (this.gateway.inFlight > 0) {
      this.logger.warn('ending requests', {inFlight: this.gateway.inFlight});
      this.gateway.endAllForStop();
    }
    const endMs = elapsedMs() + marginMs * LAST_ANSWERS_FRACTION;
    while (this.gateway.inFlight > 0 && elapsedMs() < endMs)
      await sleep(LAST_ANSWERS_CHECK_INTERVAL_MS);
    this.callerServer?.close();
    this.logger.info('stopped', {inFlight: this.gateway.inFlight});
    this[Symbol.dispose]();
  }

  private handOverLayoutLease(): void {
    const lease = this.layoutRunner?.handOverLease();
    if (!lease) return;
    const peer = this.mesh.handOverLease(lease);
    this.logger.info('layout lease handed over', {fence: lease.fence, peer});
    // Without an eligible peer, another entry acquires the lease once released.
    if (peer === undefined) {
      this.keyValue.revokeLease(lease).catch(error => {
        this.logger.warn('layout lease could not be revoked; it will expire', {
          cause: String(error),
        });
      });
    }
  }

  /** Only logs: settings are read at the start and do not change later. */
  reload(): void {
    this.logger.info('reload requested', {
      configVersion: this.tableHolder.stored.version,
    });
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  private isReady(): boolean {
    return (
      !this.isStopping &&
      this.tableHolder.view !== undefined &&
      this.storeWatchers.hasServerList &&
      this.hasHeardOfPeers()
    );
  }

  /** Peers tell at once which requests end servers. */
  private hasHeardOfPeers(): boolean {
    const waitedMs = performance.now() - this.startedAtMs;
    return !this.mesh.awaitsFirstReport || waitedMs >= FIRST_REPORT_WAIT_MS;
  }

  private async listenForCallers(): Promise<void> {
    const app = polka({
      onNoMatch: (req, res) => this.gateway.handle(req, res),
    });
    const server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, requestTimeout: 0},
      (req, res) => app.handler(req as Request, res),
    );
    this.callerServer = server;
    const [host, port] = splitAddress(this.settings.callerAddress);
    await listenOn(server, host, port, 'caller_address', CALLER_LISTEN_BACKLOG);
    this.disposables.defer(() => {
      server.close();
      server.closeAllConnections();
    });
  }

  private async listenForReadinessChecks(): Promise<void> {
    const app = polka();
    app.get(this.adapter.readyPath, (_, res) => {
      const isReady = this.isReady();
      res.statusCode = isReady ? 200 : 503;
      res.end(isReady ? 'ready\n' : 'not ready\n');
    });
    const server = createServer((req, res) => app.handler(req as Request, res));
    const [host, port] = splitAddress(this.settings.readyAddress);
    await listenOn(server, host, port, 'ready_address');
    this.disposables.defer(() => {
      server.close();
      server.closeAllConnections();
    });
  }

  private declarePeerTraffic(): void {
    const {metrics, mesh} = this;
    const name = 'azurecrank_peer_bytes';
    const help = METRICS[name].help;
    metrics.gauge(name, help, () => mesh.traffic.receivedBytes, {
      direction: 'received',
    });
    metrics.gauge(name, help, () => mesh.traffic.sentBytes, {
      direction: 'sent',
    });
  }

  private handleRenewal(isStoreReachable: boolean): void {
    if (isStoreReachable) this.storeContact.recordResponse(performance.now());
    else this.storeContact.recordFailure();
    this.prefixes.setStoreReachable(isStoreReachable);
  }

  private handleEntriesChange(): void {
    this.mesh.setEntries(this.directory.registered);
    this.retryBudget.setEntryCount(this.directory.entryCount);
    this.retryBudget.setReportsUntilKnown(
      this.mesh.usesRelays ? REPORTS_UNTIL_KNOWN_BY_RELAYS : 1,
    );
  }

  private handleQuarantineChange(change: QuarantineChange): void {
    const {logger} = this;
    switch (change.kind) {
      case 'blamed':
        logger.warn('suspect ends servers', {
          ...change.suspect,
          kind: kindOf(change.suspect.key),
        });
        break;
      case 'trial':
        logger.info('trial of a suspect', {suspect: change.key});
        break;
      case 'cleared':
        logger.info('suspect cleared', {suspect: change.key});
        this.quarantineStore.removeBlock(change.key);
        break;
      default:
    }
    this.broadcastSoon();
  }

  /** Tells an entry that has just connected what ends servers. */
  private tellBlamed(): void {
    if (!this.quarantine.hasBlamed) return;
    this.quarantine.repeatBlamed();
    this.broadcastSoon();
  }

  /** Sends one report for all changes of this step of the event loop. */
  private broadcastSoon(): void {
    if (this.isBroadcastPending) return;
    this.isBroadcastPending = true;
    setImmediate(() => {
      this.isBroadcastPending = false;
      if (!this.isStopping) this.mesh.broadcastShares();
    });
  }

  /** Informs the dependents of the fleet that its servers have changed. */
  private handleFleetChange(): void {
    const servers = [...this.fleet.all()];
    const addresses = new Set(servers.map(({address}) => address));
    this.callBalancer.retainServers(addresses);
    this.limits.retainServers(addresses);
    this.holds.expire(performance.now());
    this.crashWatch.checkRegistrations();
    this.layoutRunner?.checkNow();
    this.logger.info('servers changed', {
      servers: servers.length,
      leaving: servers.filter(server => this.fleet.isLeaving(server)).length,
    });
  }

  private startLayoutRunner(): void {
    const {keyValue, logger, metrics, fleet, leavingServers, adapter} = this;
    const {node} = this.settings;
    const lease = new LeaseHolder(
      keyValue,
      node,
      LAYOUT_LEASE_TTL_MS,
      logger,
      LAYOUT_LEASE_KEY,
    );
    this.pauses.onPause(() => lease.suspendUntilRenewed());
    const runner = new LayoutRunner({
      lease,
      control: adapter.control,
      fleet,
      leavingServers,
      table: () => this.tableHolder.table,
      isLeaseHeld: () => this.directory.hasLayoutLeaseHolder,
      attemptDelayFactor: () =>
        this.mesh.isRelay ? 1 : NO_RELAY_ATTEMPT_DELAY_FACTOR,
      logger,
      metrics,
      nowMs: () => performance.now(),
      onLayersLoaded: () => this.mesh.broadcastShares(),
    });
    this.layoutRunner = this.disposables.add(runner);
    runner.start();
  }

  private applyTable(table: RoutingTable): void {
    const {callerServer} = this;
    if (callerServer) {
      // Callers reuse idle connections for nearly as long as the limit allows.
      callerServer.keepAliveTimeout =
        table.limits.idleTimeoutMs + CALLER_TIMEOUT_MARGIN_MS;
      callerServer.headersTimeout =
        table.limits.headerTimeoutMs + CALLER_TIMEOUT_MARGIN_MS;
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
        peerQueues: this.peerQueues,
        model: () => this.tableHolder.findService(service)?.model,
        nowMs: () => performance.now(),
        onChainsChanged: chains => {
          this.layoutRunner?.recordChains(service, chains);
          const model = this.tableHolder.findService(service)?.model;
          const fields = {service, ...chainFields(model, chains)};
          this.logger.info('chains in use', fields);
        },
      });
      this.admissions.set(service, admission);
      const {logger, metrics} = this;
      const reporter = new QueueWaitReporter({service, logger, metrics});
      this.waitReporters.set(service, reporter);
    }
    return admission;
  }

  /** Expires stale fleet state and processes the queues of all models. */
  private processQueues(): void {
    const hasWaiting = [...this.admissions.values()].some(a => a.hasWaiting);
    this.queueIntervals++;
    if (!hasWaiting && this.queueIntervals % IDLE_QUEUE_INTERVALS > 0) return;
    const {isConnected} = this.storeWatchers;
    this.fleet.expire(performance.now(), isConnected);
    for (const [service, admission] of this.admissions) {
      admission.processQueue();
      const reporter = this.waitReporters.get(service);
      reporter?.sample(admission.waitingQueue(), performance.now());
    }
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function splitAddress(address: string): [string, number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
