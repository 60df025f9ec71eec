/** The side process: wires connections, backend server and lifecycle. */
import {
  Chart,
  ChartRunner,
  DisposableStore,
  DocumentExchange,
  HealthServer,
  HttpKeyValueService,
  Logger,
  Metrics,
  PauseMonitor,
  PeerNode,
  SERVERS_PREFIX,
  createInstanceId,
  declareProcessMetrics,
  loadChartDefinition,
  reservedShares,
  toId,
  toSilenceOptions,
  type ChartEvent,
  type EngineInfo,
  type Message,
  type PeerAddress,
  type PeerLink,
  type ServerRegistration,
  type ServiceId,
  type SideSettings,
} from '@azurecrank/core';
import {
  registerServer,
  type RegistrationDraft,
} from '../registration/registration.js';
import {ModelServer} from './model_server.js';
import {ServiceServer} from './service_server.js';

const DRAIN_CHECK_MS = 50;

/** Longest wait for the registration before the process serves without it. */
const REGISTRATION_WAIT_MS = 3000;

/** Time in which `reroute` reaches the other stages of a moved sequence. */
const LINGER_MS = 300;

/** Entries that do not answer `leaving` for this long are taken for gone. */
const NOTICE_TIMEOUT_MS = 3000;

export class SideProcess implements Disposable {
  readonly metrics = new Metrics();
  private readonly store = new DisposableStore();
  private readonly instance = createInstanceId();
  private readonly logger: Logger;
  private readonly keyValue: HttpKeyValueService;
  private readonly peers: PeerNode;
  private readonly documents: DocumentExchange;
  private readonly health: HealthServer;
  private readonly pauses = this.store.add(new PauseMonitor());
  private readonly lifecycle = new ChartRunner<object, ChartEvent>(
    new Chart(loadChartDefinition('process')),
    {},
  );
  private model: ModelServer | undefined;
  private service: ServiceServer | undefined;
  /** Entries that have not yet answered `leaving`. */
  private readonly unnoticedEntries = new Set<string>();

  constructor(private readonly settings: SideSettings) {
    const {node, logLevel} = settings;
    this.logger = new Logger(node, logLevel);
    declareProcessMetrics(this.metrics, 'side');
    this.keyValue = this.store.add(
      new HttpKeyValueService(settings.keyValueUrl),
    );
    this.peers = this.store.add(this.createPeerNode());
    this.documents = this.store.add(
      new DocumentExchange({
        ...settings,
        keyValue: this.keyValue,
        links: () => this.peers.links(),
        metrics: this.metrics,
      }),
    );
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

  /** Listens, registers the server and takes work. Returns the HTTP port. */
  async start(): Promise<number> {
    const {address, peerPort, httpPort, advertisedAddress} = this.settings;
    await this.peers.listen(address, peerPort, advertisedAddress);
    const port = await this.health.listen(address, httpPort);
    this.logger.info('listening', {
      address: this.peers.address,
      httpPort: port,
    });
    const engine = await this.startModel();
    this.startService();
    const registered = this.register(engine);
    this.pauses.onPause(pausedMs => this.model?.notePause(pausedMs));
    for (const peer of this.settings.seedPeers) {
      this.peers.link(peer as PeerAddress);
    }
    this.documents.onChange(() => {
      const {config} = this.documents;
      // The first entry is unused: the urgent rank has what the others leave.
      if (config) {
        const [, ...others] = reservedShares(config);
        this.model?.setReservedShares([0, ...others]);
      }
      void this.model?.reconcile();
      this.logger.info('documents in force', {...this.documents.versions()});
    });
    this.documents.start();
    await Promise.race([registered, delay(REGISTRATION_WAIT_MS)]);
    this.lifecycle.send({type: 'configured'});
    this.logger.info('ready', {address: this.peers.address});
    return port;
  }

  /** Refuses new work, waits for what is in flight, then disposes. */
  async stop(): Promise<void> {
    if (!this.lifecycle.send({type: 'stop'})) return;
    this.logger.info('leaving');
    this.model?.leave();
    this.service?.leave();
    this.announceLeaving();
    void this.registerLeaving();
    await this.drain();
    this[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  private createPeerNode(): PeerNode {
    const {node, availabilityZone} = this.settings;
    const {instance} = this;
    const identity = {node, instance, role: 'side', availabilityZone} as const;
    const handlers = {
      versions: () => this.documents.versions(),
      onMessage: (message: Message, link: PeerLink) =>
        this.receive(message, link),
      onPeerDown: (peer: PeerAddress, cause: string) => {
        this.logger.warn('peer cannot be reached', {peer, cause});
        this.model?.onPeerDown(peer);
      },
      onConnectionReplaced: (peer: PeerAddress) => {
        const reason = 'connection_replaced';
        this.logger.info('retry', {reason, peer});
        this.metrics.increment('azurecrank_retries_total', {reason});
      },
    };
    return new PeerNode(identity, handlers, toSilenceOptions(this.settings));
  }

  private async drain(): Promise<void> {
    const deadlineMs = performance.now() + this.settings.drainDeadlineMs;
    const noticeDeadlineMs = performance.now() + NOTICE_TIMEOUT_MS;
    const isNoticed = () =>
      this.unnoticedEntries.size === 0 || performance.now() > noticeDeadlineMs;
    while (!(this.isIdle() && isNoticed()) && performance.now() < deadlineMs) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MS));
    }
    const isDrained = this.isIdle();
    if (isDrained) await this.service?.drained();
    // Stages before this one may not have taken the new chain yet; to them the
    // end of the connection would look like the loss of a stage.
    if (isDrained) await delay(LINGER_MS);
    this.lifecycle.send({type: isDrained ? 'drained' : 'deadline'});
    this.logger.info('stopped', {drained: isDrained});
  }

  /** Exiting before the entries know could lose a call that is under way. */
  private announceLeaving(): void {
    for (const link of this.peers.links()) {
      if (link.hello?.role === 'entry') {
        this.unnoticedEntries.add(link.hello.node);
      }
    }
    this.peers.broadcast({type: 'leaving', node: this.settings.server});
  }

  /** The planner stops using the server; during an outage it learns later. */
  private async registerLeaving(): Promise<void> {
    const key = SERVERS_PREFIX + this.settings.server;
    try {
      const entry = await this.keyValue.get(key);
      if (!entry) return;
      const current = JSON.parse(entry.value) as ServerRegistration;
      if (current.instance !== this.instance) return;
      const value = JSON.stringify({...current, state: 'leaving'});
      await this.keyValue.compareAndSwap(key, value, entry.revision);
    } catch (error) {
      const fields = {step: 'route', cause: String(error)};
      this.logger.warn('leaving could not be registered', fields);
    }
  }

  private isIdle(): boolean {
    return (this.model?.isIdle ?? true) && (this.service?.isIdle ?? true);
  }

  private startService(): void {
    const {serviceUrl, service} = this.settings;
    if (!serviceUrl || service === undefined) return;
    this.service = this.store.add(
      new ServiceServer({
        settings: this.settings,
        serviceUrl,
        service: toId<ServiceId>(service),
        instance: this.instance,
        keyValue: this.keyValue,
        metrics: this.metrics,
        pauses: this.pauses,
      }),
    );
  }

  /**
   * Serving does not need the registration, only orders to the engine do: a
   * process that is replaced in an outage takes work under the plan in force.
   */
  private async register(engine: EngineInfo | undefined): Promise<void> {
    const registration = await registerServer(
      this.keyValue,
      this.draftRegistration('live', engine),
      this.logger,
    );
    this.model?.followPlan(registration);
  }

  private async startModel(): Promise<EngineInfo | undefined> {
    const {engineUrl} = this.settings;
    if (!engineUrl) return undefined;
    this.model = this.store.add(
      new ModelServer({
        settings: this.settings,
        engineUrl,
        peers: this.peers,
        keyValue: this.keyValue,
        metrics: this.metrics,
        logger: this.logger,
        plan: () => this.documents.plan,
        wasPaused: windowMs => this.pauses.pausedWithin(windowMs),
      }),
    );
    return this.model.start();
  }

  private draftRegistration(
    state: 'live' | 'leaving',
    engine: EngineInfo | undefined,
  ): RegistrationDraft {
    const {server, host, availabilityZone, region, service} = this.settings;
    return {
      server: toId(server),
      instance: this.instance,
      host,
      address: this.peers.address,
      availabilityZone,
      region,
      state,
      engine,
      service: service === undefined ? undefined : toId<ServiceId>(service),
    };
  }

  private receive(message: Message, link: PeerLink): void {
    if (this.documents.handle(message, link)) return;
    if (message.type === 'leaving_noted') {
      this.unnoticedEntries.delete(message.node);
    }
    this.model?.receive(message, link);
    this.service?.receive(message, link);
  }
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
