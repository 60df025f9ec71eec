/**
 * The entry process: creates the gateways, the router, the placement runner and
 * the peer connections, and controls startup and shutdown.
 */
import {
  Chart,
  ChartRunner,
  DisposableStore,
  HealthServer,
  DocumentExchange,
  HttpHostList,
  HttpKeyValueService,
  PauseMonitor,
  toId,
  type Hello,
  type Leaving,
  Logger,
  METRICS,
  Metrics,
  PeerMessageTransport,
  PeerNode,
  createInstanceId,
  declareProcessMetrics,
  loadChartDefinition,
  toSilenceOptions,
  type ChartEvent,
  type EntrySettings,
  type Message,
  type PeerAddress,
  type PeerLink,
  type ServerId,
} from '@azurecrank/core';
import {CallDispatcher} from '../calls/call_dispatcher.js';
import {PeerCallTransport} from '../calls/peer_call_transport.js';
import {RouterCallBudget} from '../calls/router_call_budget.js';
import {CallGateway} from '../gateway/call_gateway.js';
import {answerClientErrors} from '../gateway/client_errors.js';
import {ConfigDirectory} from '../gateway/config_directory.js';
import {ChatGateway} from '../gateway/chat_gateway.js';
import {refuseUnmatchedRequest} from '../gateway/unmatched_requests.js';
import {RefusalSender} from '../gateway/refusal_sender.js';
import {RequestGate} from '../gateway/request_gate.js';
import {GenerationTable} from '../generation/generation_table.js';
import {LeaseHolder} from '../placement/lease_holder.js';
import {PlacementRunner} from '../placement/placement_runner.js';
import {ChainRouter} from '../routing/chain_router.js';

/** Interval at which a stopping process checks for requests in flight. */
const DRAIN_POLL_INTERVAL_MS = 50;

/** Interval at which the holder of the placement lease updates the plan. */
const PLAN_INTERVAL_MS = 1000;

/** Interval at which lost connections to servers are opened again. */
const RECONNECT_INTERVAL_MS = 2000;

/** Longest wait at startup for an answer of the key-value service. */
const KEY_VALUE_WAIT_TIMEOUT_MS = 2000;

/** Interval of the log line of a process that waits for its configuration. */
const WAITING_LOG_INTERVAL_MS = 2000;

/** Longest wait at startup for a plan. */
const PLAN_WAIT_TIMEOUT_MS = 5000;

/** Interval at which the waits at startup check their condition. */
const STARTUP_POLL_INTERVAL_MS = 20;

/** Mean number of attempts to acquire the lease within one lease time. */
const ACQUIRE_ATTEMPTS_PER_LEASE = 2;

export class EntryProcess implements Disposable {
  readonly metrics = new Metrics();
  private readonly disposables = new DisposableStore();
  private readonly instance = createInstanceId();
  private readonly logger: Logger;
  private readonly keyValue: HttpKeyValueService;
  private readonly peers: PeerNode;
  private readonly health: HealthServer;
  private readonly generations = new GenerationTable();
  private readonly documents: DocumentExchange;
  private readonly router: ChainRouter;
  private readonly pauseMonitor = new PauseMonitor();
  private readonly lifecycle = new ChartRunner<object, ChartEvent>(
    new Chart(loadChartDefinition('process')),
    {},
  );
  private readonly callTransport: PeerCallTransport;
  private gate: RequestGate | undefined;
  private isAccepting = true;

  constructor(private readonly settings: EntrySettings) {
    const {node, availabilityZone, logLevel} = settings;
    this.logger = new Logger(node, logLevel);
    declareProcessMetrics(this.metrics, 'entry');
    this.keyValue = this.disposables.add(
      new HttpKeyValueService(settings.keyValueUrl),
    );
    const identity = {
      node,
      instance: this.instance,
      role: 'entry',
      availabilityZone,
    } as const;
    this.peers = this.disposables.add(
      new PeerNode(
        identity,
        {
          versions: () => this.documents.versions(),
          onMessage: (message, link) => this.onMessage(message, link),
          onPeerDown: (address, cause) =>
            this.onPeerUnreachable(address, cause),
          onMessageLost: lost => this.callTransport.onMessageLost(lost),
          onConnectionReplaced: peer => {
            const reason = 'connection_replaced';
            this.metrics.increment('azurecrank_retries_total', {reason});
            this.logger.info('retry', {reason, peer});
          },
        },
        toSilenceOptions(settings),
      ),
    );
    this.callTransport = new PeerCallTransport(this.peers);
    this.documents = this.disposables.add(
      new DocumentExchange({
        node,
        availabilityZone,
        keyValue: this.keyValue,
        links: () => this.peers.links(),
        metrics: this.metrics,
      }),
    );
    this.router = new ChainRouter({
      ...settings,
      plan: () => this.documents.plan,
    });
    this.disposables.add(this.pauseMonitor);
    this.health = this.disposables.add(
      new HealthServer({
        isReady: () => this.lifecycle.state === 'ready',
        metrics: this.metrics,
      }),
    );
  }

  /** Address at which this process listens for peers. */
  get peerAddress(): PeerAddress {
    return this.peers.boundAddress;
  }

  /** Starts to listen, and resolves with the HTTP port once ready for callers. */
  async start(): Promise<number> {
    const {address, peerPort, httpPort} = this.settings;
    const {advertisedAddress} = this.settings;
    await this.peers.listen(address, peerPort, advertisedAddress);
    this.addRoutes();
    const port = await this.health.listen(address, httpPort);
    this.logger.info('listening', {
      address: this.peers.address,
      httpPort: port,
    });
    await this.followDocuments();
    this.lifecycle.send({type: 'configured'});
    this.logger.info('ready', {address: this.peers.address});
    return port;
  }

  /**
   * Reports that the process is not ready, accepts requests until the load
   * balancer has noticed, and then waits for the requests in flight, at most
   * until the drain deadline.
   */
  async stop(): Promise<void> {
    if (!this.lifecycle.send({type: 'stop'})) return;
    this.logger.info('leaving');
    const {balancerGraceMs, drainDeadlineMs} = this.settings;
    await new Promise(resolve => setTimeout(resolve, balancerGraceMs));
    this.isAccepting = false;
    const deadlineMs = performance.now() + drainDeadlineMs;
    while (!this.hasNoRequests() && performance.now() < deadlineMs) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_INTERVAL_MS));
    }
    const isDrained = this.hasNoRequests();
    this.lifecycle.send({type: isDrained ? 'drained' : 'deadline'});
    this.logger.info('stopped', {drained: isDrained});
    this[Symbol.dispose]();
  }

  private hasNoRequests(): boolean {
    return (this.gate?.inFlight ?? 0) === 0;
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  /**
   * Starts to follow configuration and plan and to run the placement. Resolves
   * once there is a configuration, and a plan if one came in time.
   */
  private async followDocuments(): Promise<void> {
    for (const peer of this.settings.seedPeers) {
      this.peers.link(peer as PeerAddress);
    }
    this.documents.onChange(() => this.connectToServers());
    this.documents.onChange(() => {
      this.logger.info('documents in force', {...this.documents.versions()});
    });
    this.documents.start();
    const {node, keyValueUrl, hostListUrl, placementLeaseMs} = this.settings;
    const {logger, metrics} = this;
    // Watches that wait occupy connections of their client, which must not delay
    // a renewal of the lease.
    const keyValue = this.disposables.add(new HttpKeyValueService(keyValueUrl));
    const lease = new LeaseHolder(keyValue, node, placementLeaseMs, logger);
    this.pauseMonitor.onPause(() => lease.suspendUntilRenewed());
    const placement = new PlacementRunner({
      keyValue,
      hostList: hostListUrl ? new HttpHostList(hostListUrl) : undefined,
      lease,
      metrics,
      logger,
      config: () => this.documents.config,
      planIntervalMs: PLAN_INTERVAL_MS,
      acquireIntervalMs: placementLeaseMs / ACQUIRE_ATTEMPTS_PER_LEASE,
    });
    this.disposables.add(placement).start();
    this.disposables.addInterval(
      () => this.connectToServers(),
      RECONNECT_INTERVAL_MS,
    );
    const waitingLogTimer = setInterval(
      () => this.logger.warn('waiting for a configuration', {keyValueUrl}),
      WAITING_LOG_INTERVAL_MS,
    );
    await this.documents.whenConfigured();
    clearInterval(waitingLogTimer);
    await this.waitForKeyValueService();
    await this.waitForPlan();
  }

  /**
   * Waits until the key-value service has confirmed the configuration, because
   * the version from a peer may be outdated. During an outage the newest version
   * of the peers is used after the timeout.
   */
  private async waitForKeyValueService(): Promise<void> {
    const deadlineMs = performance.now() + KEY_VALUE_WAIT_TIMEOUT_MS;
    const {documents: store} = this.documents;
    const ageMs = () => store.confirmedAgeMs('config', performance.now());
    while (ageMs() === Infinity && performance.now() < deadlineMs) {
      await new Promise(resolve =>
        setTimeout(resolve, STARTUP_POLL_INTERVAL_MS),
      );
    }
  }

  /**
   * Waits for a plan, without which every request would be refused. The wait
   * has a timeout, because a new installation has no plan before servers
   * register.
   */
  private async waitForPlan(): Promise<void> {
    const deadlineMs = performance.now() + PLAN_WAIT_TIMEOUT_MS;
    while (this.documents.plan.version === 0) {
      if (performance.now() > deadlineMs) return;
      await new Promise(resolve =>
        setTimeout(resolve, STARTUP_POLL_INTERVAL_MS),
      );
    }
  }

  /**
   * Connects to the servers that report load, and to lost servers, whose hello
   * shows that they are back.
   */
  private connectToServers(): void {
    const {router, peers} = this;
    const addresses = [
      ...router.headServerAddresses(),
      ...router.addressesToReconnect(),
    ];
    for (const address of addresses) peers.link(address);
  }

  private onPeerUnreachable(address: PeerAddress, cause: string): void {
    const server = this.router.findServerByAddress(address);
    this.logger.warn('peer cannot be reached', {peer: address, server, cause});
    if (server) this.router.membership.markDown(server);
    this.generations.onPeerDown(address);
  }

  private onServerLeaving({node}: Leaving): void {
    const server = toId<ServerId>(node);
    this.router.recordLeaving(server);
    const address = this.router.findAddress(server);
    if (!address) return;
    const confirmation = {
      type: 'leaving_noted',
      node: this.settings.node,
    } as const;
    this.peers.send(address, confirmation);
  }

  private onHello({address, instance}: Hello): void {
    const server = this.router.findServerByAddress(address);
    if (server) this.router.membership.recordHello(server, instance);
  }

  /** Adds the routes for callers; they refuse with `starting` until it is ready. */
  private addRoutes(): void {
    const {health, metrics, logger, router} = this;
    const directory = new ConfigDirectory(() => this.documents.config);
    const refusals = new RefusalSender(metrics, logger);
    const gate = new RequestGate({
      ...this.settings,
      instance: this.instance,
      directory,
      metrics,
      refusals,
      unavailableReason: () => {
        if (this.lifecycle.state === 'starting') return 'starting';
        return this.isAccepting ? undefined : 'leaving';
      },
    });
    this.gate = gate;
    const {help} = METRICS.azurecrank_requests_in_flight;
    metrics.gauge('azurecrank_requests_in_flight', help, () => gate.inFlight);
    const generationDependencies = {
      transport: new PeerMessageTransport(this.peers),
      policy: router,
      metrics,
      logger,
    };
    const {generations} = this;
    const sharedOptions = {gate, refusals, directory};
    new ChatGateway({
      ...sharedOptions,
      generations,
      generationDependencies,
    }).addRoutes(health);
    new CallGateway({
      ...sharedOptions,
      dispatcher: new CallDispatcher(
        this.callTransport,
        new RouterCallBudget(router),
        metrics,
        {logger},
      ),
      usableServers: service =>
        router.membership.usableServers(this.documents.plan, service),
    }).addRoutes(health.app);
    health.answerUnmatched = (req, res) =>
      refuseUnmatchedRequest(gate, req, res);
    health.configureServer = server =>
      answerClientErrors(server, metrics, logger);
  }

  private onMessage(message: Message, link: PeerLink): void {
    if (message.type === 'hello') this.onHello(message);
    if (this.documents.handle(message, link)) return;
    switch (message.type) {
      case 'load':
        return this.router.applyLoadReport(message);
      case 'leaving':
        return this.onServerLeaving(message);
      case 'call_result':
      case 'cancelled':
        this.callTransport.resolveAnswer(message);
        return;
      case 'refused':
        if (this.callTransport.resolveAnswer(message)) return;
        return this.generations.receive(message);
      case 'granted':
      case 'token':
      case 'gap':
      case 'stage_failed':
      case 'replay_refused':
      case 'preempt':
      case 'imported':
        return this.generations.receive(message);
      default:
        return;
    }
  }
}
