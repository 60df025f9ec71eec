/**
 * The process that runs beside a backend server: connects it to the entries and
 * the key-value service and controls startup and draining.
 */
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
import {ModelBackend} from './model_backend.js';
import {ServiceBackend} from './service_backend.js';

const DRAIN_CHECK_INTERVAL_MS = 50;

/** After this time, the process serves without a registration. */
const MAX_REGISTRATION_WAIT_MS = 3000;

/** Time for `reroute` to reach the other stages of a migrated sequence. */
const EXIT_DELAY_MS = 300;

/** Entries that do not answer `leaving` within this time are taken as gone. */
const LEAVING_ACK_TIMEOUT_MS = 3000;

export class SideProcess implements Disposable {
  readonly metrics = new Metrics();
  private readonly disposables = new DisposableStore();
  private readonly instance = createInstanceId();
  private readonly logger: Logger;
  private readonly keyValue: HttpKeyValueService;
  private readonly peers: PeerNode;
  private readonly documents: DocumentExchange;
  private readonly health: HealthServer;
  private readonly pauses = this.disposables.add(new PauseMonitor());
  private readonly lifecycle = new ChartRunner<object, ChartEvent>(
    new Chart(loadChartDefinition('process')),
    {},
  );
  private model: ModelBackend | undefined;
  private service: ServiceBackend | undefined;
  /** Entries that have not yet answered `leaving`. */
  private readonly unacknowledgedEntries = new Set<string>();

  constructor(private readonly settings: SideSettings) {
    const {node, logLevel} = settings;
    this.logger = new Logger(node, logLevel);
    declareProcessMetrics(this.metrics, 'side');
    this.keyValue = this.disposables.add(
      new HttpKeyValueService(settings.keyValueUrl),
    );
    this.peers = this.disposables.add(this.createPeerNode());
    this.documents = this.disposables.add(
      new DocumentExchange({
        ...settings,
        keyValue: this.keyValue,
        links: () => this.peers.links(),
        metrics: this.metrics,
      }),
    );
    this.health = this.disposables.add(
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

  /** Listens, registers the server and accepts work. Returns the HTTP port. */
  async start(): Promise<number> {
    const {address, peerPort, httpPort, advertisedAddress} = this.settings;
    await this.peers.listen(address, peerPort, advertisedAddress);
    const port = await this.health.listen(address, httpPort);
    this.logger.info('listening', {
      address: this.peers.address,
      httpPort: port,
    });
    const engine = await this.startModelBackend();
    this.startServiceBackend();
    const registered = this.register(engine);
    this.pauses.onPause(pausedMs => this.model?.recordPause(pausedMs));
    for (const peer of this.settings.seedPeers) {
      this.peers.link(peer as PeerAddress);
    }
    this.documents.onChange(() => {
      const {config} = this.documents;
      // The first share is unused: the urgent rank gets what the others leave.
      if (config) {
        const [, ...others] = reservedShares(config);
        this.model?.setReservedShares([0, ...others]);
      }
      void this.model?.reconcile();
      this.logger.info('documents in force', {...this.documents.versions()});
    });
    this.documents.start();
    await Promise.race([registered, delay(MAX_REGISTRATION_WAIT_MS)]);
    this.lifecycle.send({type: 'configured'});
    this.logger.info('ready', {address: this.peers.address});
    return port;
  }

  /** Refuses new work, waits until the work in flight is drained and disposes. */
  async stop(): Promise<void> {
    if (!this.lifecycle.send({type: 'stop'})) return;
    this.logger.info('leaving');
    this.model?.startDraining();
    this.service?.startDraining();
    this.announceLeaving();
    void this.registerLeaving();
    await this.drain();
    this[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
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
    const ackDeadlineMs = performance.now() + LEAVING_ACK_TIMEOUT_MS;
    const isAcknowledged = () =>
      this.unacknowledgedEntries.size === 0 ||
      performance.now() > ackDeadlineMs;
    while (
      !(this.isIdle() && isAcknowledged()) &&
      performance.now() < deadlineMs
    ) {
      await new Promise(resolve =>
        setTimeout(resolve, DRAIN_CHECK_INTERVAL_MS),
      );
    }
    const isDrained = this.isIdle();
    if (isDrained) await this.service?.drained();
    // Previous stages may not have received the new path of a sequence yet. They
    // would report the end of the connection as the loss of a stage.
    if (isDrained) await delay(EXIT_DELAY_MS);
    this.lifecycle.send({type: isDrained ? 'drained' : 'deadline'});
    this.logger.info('stopped', {drained: isDrained});
  }

  /**
   * Reports to the entries that this server is draining. If it exited before
   * they know, a call in transit could be lost.
   */
  private announceLeaving(): void {
    for (const link of this.peers.links()) {
      if (link.hello?.role === 'entry') {
        this.unacknowledgedEntries.add(link.hello.node);
      }
    }
    this.peers.broadcast({type: 'leaving', node: this.settings.server});
  }

  /**
   * Registers the state `leaving`, so that the planner stops using the server.
   * Not retried during an outage; the planner then learns of it later.
   */
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
      this.logger.warn(
        'leaving state could not be registered; the planner may still use this server',
        fields,
      );
    }
  }

  private isIdle(): boolean {
    return (this.model?.isIdle ?? true) && (this.service?.isIdle ?? true);
  }

  private startServiceBackend(): void {
    const {serviceUrl, service} = this.settings;
    if (!serviceUrl || service === undefined) return;
    this.service = this.disposables.add(
      new ServiceBackend({
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
   * Only orders to the engine need the registration. A process that is replaced
   * during an outage of the key-value service serves under the current plan.
   */
  private async register(engine: EngineInfo | undefined): Promise<void> {
    const registration = await registerServer(
      this.keyValue,
      this.createRegistrationDraft('live', engine),
      this.logger,
    );
    this.model?.followPlan(registration);
  }

  private async startModelBackend(): Promise<EngineInfo | undefined> {
    const {engineUrl} = this.settings;
    if (!engineUrl) return undefined;
    this.model = this.disposables.add(
      new ModelBackend({
        settings: this.settings,
        engineUrl,
        peers: this.peers,
        keyValue: this.keyValue,
        metrics: this.metrics,
        logger: this.logger,
        plan: () => this.documents.plan,
        wasPaused: windowMs => this.pauses.wasPausedWithin(windowMs),
      }),
    );
    return this.model.start();
  }

  private createRegistrationDraft(
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
      this.unacknowledgedEntries.delete(message.node);
    }
    this.model?.receive(message, link);
    this.service?.receive(message, link);
  }
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
