/** The entry process: wires gateway, generations and connections together. */
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
  Logger,
  Metrics,
  PeerNode,
  REFUSALS,
  RETRY_REASONS,
  createInstanceId,
  loadChartDefinition,
  toSilenceOptions,
  type ChartEvent,
  type EntrySettings,
  type Message,
  type PeerAddress,
  type PeerLink,
  type ServerId,
} from '@azurecrank/core';
import {ConfigDirectory} from '../gateway/config_directory.js';
import {Gateway} from '../gateway/gateway.js';
import {GenerationTable} from '../generation/generation_table.js';
import {LeaseHolder} from '../placement/lease_holder.js';
import {PlacementRunner} from '../placement/placement_runner.js';
import {ChainRouter} from '../routing/chain_router.js';
import {PeerTransport} from './peer_transport.js';

const DRAIN_CHECK_MS = 50;
const PLACEMENT_PERIOD_MS = 1000;
const RECONNECT_PERIOD_MS = 2000;

export class EntryProcess implements Disposable {
  readonly metrics = new Metrics();
  private readonly store = new DisposableStore();
  private readonly instance = createInstanceId();
  private readonly logger: Logger;
  private readonly keyValue: HttpKeyValueService;
  private readonly peers: PeerNode;
  private readonly health: HealthServer;
  private readonly generations = new GenerationTable();
  private readonly documents: DocumentExchange;
  private readonly router: ChainRouter;
  private readonly pauses = new PauseMonitor();
  private readonly lifecycle = new ChartRunner<object, ChartEvent>(
    new Chart(loadChartDefinition('process')),
    {},
  );
  private isAccepting = true;

  constructor(private readonly settings: EntrySettings) {
    const {node, availabilityZone, logLevel} = settings;
    this.logger = new Logger(node, logLevel);
    this.declareCounters();
    this.keyValue = this.store.add(
      new HttpKeyValueService(settings.keyValueUrl),
    );
    const identity = {
      node,
      instance: this.instance,
      role: 'entry',
      availabilityZone,
    } as const;
    this.peers = this.store.add(
      new PeerNode(
        identity,
        {
          versions: () => this.documents.versions(),
          onMessage: (message, link) => this.receive(message, link),
          onPeerDown: address => this.notePeerDown(address),
          onConnectionReplaced: () =>
            this.metrics.increment('azurecrank_retries_total', {
              reason: 'connection_replaced',
            }),
        },
        toSilenceOptions(settings),
      ),
    );
    this.documents = this.store.add(
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
    this.store.add(this.pauses);
    this.health = this.store.add(
      new HealthServer({
        isReady: () => this.lifecycle.state === 'ready',
        metrics: this.metrics,
      }),
    );
  }

  /** Address of the listener for other processes. */
  get peerAddress(): PeerAddress {
    return this.peers.boundAddress;
  }

  /** Listens and accepts callers. Returns the HTTP port. */
  async start(): Promise<number> {
    const {address, peerPort, httpPort} = this.settings;
    const {advertisedAddress} = this.settings;
    await this.peers.listen(address, peerPort, advertisedAddress);
    const {maxBodyBytes, maxRequests} = this.settings;
    const gateway = new Gateway({
      instance: this.instance,
      directory: new ConfigDirectory(() => this.documents.config),
      generations: this.generations,
      generation: {
        transport: new PeerTransport(this.peers),
        policy: this.router,
        metrics: this.metrics,
        logger: this.logger,
      },
      metrics: this.metrics,
      maxBodyBytes,
      maxRequests,
      unavailable: () => {
        if (this.lifecycle.state === 'starting') return 'starting';
        return this.isAccepting ? undefined : 'leaving';
      },
    });
    gateway.addRoutes(this.health.app);
    const port = await this.health.listen(address, httpPort);
    await this.follow();
    this.lifecycle.send({type: 'configured'});
    this.logger.info('ready', {peer: this.peers.address});
    return port;
  }

  /**
   * Turns readiness off, accepts until the balancer has noticed, then waits
   * for the requests in flight.
   */
  async stop(): Promise<void> {
    if (!this.lifecycle.send({type: 'stop'})) return;
    this.logger.info('leaving');
    const {balancerGraceMs, drainDeadlineMs} = this.settings;
    await new Promise(resolve => setTimeout(resolve, balancerGraceMs));
    this.isAccepting = false;
    const deadlineMs = performance.now() + drainDeadlineMs;
    while (this.generations.size > 0 && performance.now() < deadlineMs) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MS));
    }
    const isDrained = this.generations.size === 0;
    this.lifecycle.send({type: isDrained ? 'drained' : 'deadline'});
    this.logger.info('stopped', {drained: isDrained});
    this[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  /** Follows configuration and plan; returns once there is a configuration. */
  private async follow(): Promise<void> {
    for (const peer of this.settings.seedPeers) {
      this.peers.link(peer as PeerAddress);
    }
    this.documents.onChange(() => this.connectHeads());
    this.documents.start();
    const {node, keyValueUrl, hostListUrl, placementLeaseMs} = this.settings;
    const {logger, metrics} = this;
    // Waiting watches hold connections, so the lease has its own client.
    const keyValue = this.store.add(new HttpKeyValueService(keyValueUrl));
    const lease = new LeaseHolder(keyValue, node, placementLeaseMs, logger);
    this.pauses.onPause(() => lease.notePause());
    const placement = new PlacementRunner({
      keyValue,
      hostList: hostListUrl ? new HttpHostList(hostListUrl) : undefined,
      lease,
      metrics,
      logger,
      config: () => this.documents.config,
      periodMs: PLACEMENT_PERIOD_MS,
      campaignMs: placementLeaseMs / 2,
    });
    this.store.add(placement).start();
    this.store.interval(() => this.connectHeads(), RECONNECT_PERIOD_MS);
    await this.documents.whenConfigured();
  }

  /** Connections bring load reports and show when a lost server is back. */
  private connectHeads(): void {
    const {router, peers} = this;
    const addresses = [...router.headAddresses(), ...router.downAddresses()];
    for (const address of addresses) peers.link(address);
  }

  private notePeerDown(address: PeerAddress): void {
    const server = this.router.serverAt(address);
    if (server) this.router.membership.noteDown(server);
    this.generations.onPeerDown(address);
  }

  private noteHello({address, instance}: Hello): void {
    const server = this.router.serverAt(address);
    if (server) this.router.membership.noteHello(server, instance);
  }

  private declareCounters(): void {
    this.metrics.declareCounter(
      'azurecrank_refusals_total',
      'Requests refused, by reason',
      'reason',
      Object.keys(REFUSALS),
    );
    this.metrics.declareCounter(
      'azurecrank_retries_total',
      'Messages or requests sent again, by reason',
      'reason',
      RETRY_REASONS,
    );
  }

  private receive(message: Message, link: PeerLink): void {
    if (message.type === 'hello') this.noteHello(message);
    if (this.documents.handle(message, link)) return;
    switch (message.type) {
      case 'load':
        return this.router.takeReport(message);
      case 'leaving':
        return this.router.noteLeaving(toId<ServerId>(message.node));
      case 'granted':
      case 'refused':
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
