/** The side process: wires connections, stage, head and lifecycle together. */
import {
  ChartRunner,
  Chart,
  DisposableStore,
  HealthServer,
  HttpEngine,
  HttpKeyValueService,
  Logger,
  Metrics,
  PeerNode,
  createInstanceId,
  loadChartDefinition,
  toSilenceOptions,
  toId,
  type ChartEvent,
  type ConfigVersion,
  type Engine,
  type Message,
  type PeerLink,
  type PeerAddress,
  type PlanVersion,
  type RegisteredEngine,
  type ServiceId,
  type SideSettings,
} from '@azurecrank/core';
import {Head} from '../head/head.js';
import {registerServer} from '../registration/registration.js';
import {Stage} from '../sequences/stage.js';
import {PeerTransport} from './peer_transport.js';

const ORPHAN_SWEEP_MS = 1000;
const DRAIN_CHECK_MS = 50;

export class SideProcess implements Disposable {
  readonly metrics = new Metrics();
  private readonly store = new DisposableStore();
  private readonly instance = createInstanceId();
  private readonly logger: Logger;
  private readonly keyValue: HttpKeyValueService;
  private readonly peers: PeerNode;
  private readonly health: HealthServer;
  private readonly lifecycle = new ChartRunner<object, ChartEvent>(
    new Chart(loadChartDefinition('process')),
    {},
  );
  private stage: Stage | undefined;
  private head: Head | undefined;

  constructor(private readonly settings: SideSettings) {
    const {node, availabilityZone, logLevel} = settings;
    this.logger = new Logger(node, logLevel);
    this.keyValue = this.store.add(
      new HttpKeyValueService(settings.keyValueUrl),
    );
    const identity = {
      node,
      instance: this.instance,
      role: 'side',
      availabilityZone,
    } as const;
    this.peers = this.store.add(
      new PeerNode(
        identity,
        {
          versions: () => ({
            configVersion: 0 as ConfigVersion,
            planVersion: 0 as PlanVersion,
          }),
          onMessage: (message, link) => this.receive(message, link),
          onPeerDown: address => this.stage?.reportPeerDown(address),
          onConnectionReplaced: () =>
            this.metrics.increment('azurecrank_retries_total', {
              reason: 'connection_replaced',
            }),
        },
        toSilenceOptions(settings),
      ),
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
    const {address, peerPort, httpPort, engineUrl} = this.settings;
    const {advertisedAddress} = this.settings;
    await this.peers.listen(address, peerPort, advertisedAddress);
    const port = await this.health.listen(address, httpPort);
    const engine = engineUrl ? await this.startStage(engineUrl) : undefined;
    await this.register(engine);
    this.lifecycle.send({type: 'configured'});
    this.logger.info('ready', {peer: this.peers.address});
    return port;
  }

  /** Refuses new work, waits for what is in flight, then disposes. */
  async stop(): Promise<void> {
    if (!this.lifecycle.send({type: 'stop'})) return;
    this.logger.info('leaving');
    this.head?.leave();
    this.peers.broadcast({type: 'leaving', node: this.settings.server});
    await this.drain();
    this[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  private async drain(): Promise<void> {
    const deadlineMs = performance.now() + this.settings.drainDeadlineMs;
    while ((this.stage?.size ?? 0) > 0 && performance.now() < deadlineMs) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MS));
    }
    const isDrained = (this.stage?.size ?? 0) === 0;
    this.lifecycle.send({type: isDrained ? 'drained' : 'deadline'});
    this.logger.info('stopped', {drained: isDrained});
  }

  private async startStage(engineUrl: string): Promise<RegisteredEngine> {
    const engine: Engine = this.store.add(new HttpEngine(engineUrl));
    const info = await engine.info();
    const common = {
      engine,
      transport: new PeerTransport(this.peers),
      metrics: this.metrics,
      logger: this.logger,
      node: this.settings.server,
    };
    const {activationLogBytes, orphanTimeoutMs} = this.settings;
    const stage = new Stage({...common, activationLogBytes, orphanTimeoutMs});
    stage.setInfo(info);
    const {maxQueuedRequests} = this.settings;
    const head = new Head({...common, maxQueuedRequests});
    head.setSlotLimit(info.maxSequences);
    this.store.interval(() => stage.releaseOrphans(), ORPHAN_SWEEP_MS);
    this.stage = stage;
    this.head = head;
    return info;
  }

  private async register(engine?: RegisteredEngine): Promise<void> {
    const {server, host, availabilityZone, region, service} = this.settings;
    await registerServer(this.keyValue, {
      server: toId(server),
      instance: this.instance,
      host,
      address: this.peers.address,
      availabilityZone,
      region,
      state: 'live',
      engine,
      service: service === undefined ? undefined : toId<ServiceId>(service),
    });
  }

  private receive(message: Message, link: PeerLink): void {
    switch (message.type) {
      case 'open':
        return this.head?.open(message);
      case 'step':
        this.head?.confirmGrant(message.request);
        return this.stage?.takeInput(message);
      case 'activation':
        return this.stage?.takeInput(message);
      case 'reroute':
        return this.stage?.reroute(message);
      case 'replay':
        return this.stage?.replay(message);
      case 'release':
        this.stage?.release(message);
        return this.head?.release(message);
      case 'cancel': {
        const {request, attempt} = message;
        const ran = this.head?.cancel(message) ? 'not_run' : 'unknown';
        link.send({type: 'cancelled', request, attempt, ran});
        return;
      }
      default:
        return;
    }
  }
}
