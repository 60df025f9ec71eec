/** The entry process: wires gateway, generations and connections together. */
import {
  Chart,
  ChartRunner,
  DisposableStore,
  HealthServer,
  HttpKeyValueService,
  Logger,
  Metrics,
  PeerNode,
  REFUSALS,
  RETRY_REASONS,
  createInstanceId,
  loadChartDefinition,
  toSilenceOptions,
  type ChartEvent,
  type ConfigVersion,
  type EntrySettings,
  type Message,
  type PeerAddress,
  type PlanVersion,
} from '@azurecrank/core';
import {Gateway} from '../gateway/gateway.js';
import {GenerationTable} from '../generation/generation_table.js';
import {PeerTransport} from './peer_transport.js';
import {RegistrationPlanner} from './registration_planner.js';

const DRAIN_CHECK_MS = 50;

export class EntryProcess implements Disposable {
  readonly metrics = new Metrics();
  private readonly store = new DisposableStore();
  private readonly instance = createInstanceId();
  private readonly logger: Logger;
  private readonly keyValue: HttpKeyValueService;
  private readonly peers: PeerNode;
  private readonly health: HealthServer;
  private readonly generations = new GenerationTable();
  private readonly planner: RegistrationPlanner;
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
          versions: () => ({
            configVersion: 0 as ConfigVersion,
            planVersion: 0 as PlanVersion,
          }),
          onMessage: message => this.receive(message),
          onPeerDown: address => this.generations.onPeerDown(address),
          onConnectionReplaced: () =>
            this.metrics.increment('azurecrank_retries_total', {
              reason: 'connection_replaced',
            }),
        },
        toSilenceOptions(settings),
      ),
    );
    this.planner = this.store.add(new RegistrationPlanner(this.keyValue));
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
      directory: this.planner,
      generations: this.generations,
      generation: {
        transport: new PeerTransport(this.peers),
        policy: this.planner,
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
    await this.planner.start();
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

  private receive(message: Message): void {
    switch (message.type) {
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
