/** The part of a side process that serves a model engine. */
import {
  METRICS,
  DisposableStore,
  HttpEngine,
  HttpWeightStore,
  PeerMessageTransport,
  type EngineInfo,
  type KeyValueService,
  type LoadReport,
  type Logger,
  type Message,
  type MetricName,
  type Metrics,
  type PeerAddress,
  type PeerLink,
  type PeerNode,
  type Plan,
  type ReservedShares,
  type ServerId,
  type ServerRegistration,
  type SideSettings,
  toId,
} from '@azurecrank/core';
import {SequenceMigrator} from '../handover/handover.js';
import {AdmissionController} from '../head/head.js';
import {Reconciler} from '../reconcile/reconciler.js';
import {Stage} from '../sequences/stage.js';

export interface ModelServerOptions {
  readonly settings: SideSettings;
  readonly engineUrl: string;
  readonly peers: PeerNode;
  readonly keyValue: KeyValueService;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly plan: () => Plan;
  readonly wasPaused: (windowMs: number) => boolean;
}

const ENGINE_RETRY_MS = 500;

/** One in so many failed tries is logged. */
const LOGGED_ATTEMPTS = 10;

const ORPHAN_SWEEP_MS = 1000;

/** Period of the reports to the entries that follow this head. */
const LOAD_REPORT_MS = 1000;

/** Period at which the engine's cache events are read. */
const CACHE_EVENTS_MS = 2000;

/** Period at which waiting requests that are too late are refused. */
const HEAD_TICK_MS = 50;

/** Period at which a leaving server moves sequences. */
const HANDOVER_MS = 20;

/** Period at which the engine is compared with the plan. */
const RECONCILE_MS = 2000;

export class ModelServer implements Disposable {
  private readonly store = new DisposableStore();
  private readonly engine: HttpEngine;
  private readonly stage: Stage;
  private readonly head: AdmissionController;
  private readonly handover: SequenceMigrator;
  private reconciler: Reconciler | undefined;
  private isReconciling = false;
  /** Whether the engine holds the first layers, so that requests queue here. */
  private isHead = false;

  constructor(private readonly options: ModelServerOptions) {
    const {settings, peers, metrics, logger, engineUrl} = options;
    this.engine = this.store.add(new HttpEngine(engineUrl));
    const common = {
      ...settings,
      engine: this.engine,
      transport: new PeerMessageTransport(peers),
      metrics,
      logger,
      node: settings.server,
    };
    this.stage = this.store.add(new Stage(common));
    this.head = new AdmissionController(common);
    this.handover = new SequenceMigrator({
      ...common,
      server: toId<ServerId>(settings.server),
      stage: this.stage,
      plan: options.plan,
    });
    this.store.interval(() => this.releaseOrphans(), ORPHAN_SWEEP_MS);
    this.store.interval(() => this.reportLoad(), LOAD_REPORT_MS);
    this.store.interval(() => this.head.tick(), HEAD_TICK_MS);
    this.store.interval(
      () => void this.head.readCacheEvents(),
      CACHE_EVENTS_MS,
    );
    this.addGauges();
  }

  /** Whether no request is in flight. */
  get isIdle(): boolean {
    return this.stage.sequenceCount === 0 && this.head.runningRequests === 0;
  }

  /** Waits for an engine that starts later than this process. */
  async start(): Promise<EngineInfo> {
    const {logger, engineUrl} = this.options;
    for (let attempt = 0; ; attempt++) {
      try {
        const info = await this.engine.info();
        this.takeInfo(info);
        return info;
      } catch (error) {
        if (attempt % LOGGED_ATTEMPTS === 0) {
          const fields = {engineUrl, cause: String(error)};
          logger.warn('engine gives no answer; tries again', fields);
        }
      }
      await new Promise(resolve => setTimeout(resolve, ENGINE_RETRY_MS));
    }
  }

  /** Compares engine and plan from now on. */
  followPlan(registration: ServerRegistration): void {
    const {settings, plan, wasPaused} = this.options;
    const {weightStoreUrl} = settings;
    const store = weightStoreUrl
      ? new HttpWeightStore(weightStoreUrl)
      : undefined;
    this.reconciler = new Reconciler({
      ...this.options,
      server: toId<ServerId>(settings.server),
      registration,
      engine: this.engine,
      weightStore: store,
      plan,
      wasPaused,
      onEngineInfo: info => this.takeInfo(info),
    });
    this.store.interval(() => void this.reconcile(), RECONCILE_MS);
  }

  async reconcile(): Promise<void> {
    if (this.isReconciling) return;
    this.isReconciling = true;
    await this.reconciler?.reconcile();
    this.isReconciling = false;
  }

  /** Puts the shares of the operators' file in force. */
  setReservedShares(reserved: ReservedShares): void {
    this.head.setReservedShares(reserved);
    this.stage.setReservedShares(reserved);
  }

  /** Takes no new request; those in flight move or go on. */
  leave(): void {
    this.head.startDraining();
    this.stage.startDraining();
    this.store.interval(() => this.handover.startMigrations(), HANDOVER_MS);
  }

  notePause(pausedMs: number): void {
    this.stage.runner.extendRunningBatch(pausedMs);
  }

  onPeerDown(address: PeerAddress): void {
    this.stage.reportPeerDown(address);
    this.head.freeSlotsOf(address);
  }

  receive(message: Message, link: PeerLink): void {
    switch (message.type) {
      case 'open':
        return this.head.open(message);
      case 'step':
        this.head.recordStep(message);
        return this.stage.takeInput(message);
      case 'activation':
        return this.stage.takeInput(message);
      case 'reroute':
        return this.stage.reroute(message);
      case 'replay':
        return this.stage.replay(message);
      case 'import_kv':
        void this.handover.importSequence(message);
        return;
      case 'leaving':
        return this.handover.excludeServer(toId<ServerId>(message.node));
      case 'release':
        this.handover.endMigration(message.request);
        this.stage.release(message);
        return this.head.release(message);
      case 'cancel': {
        const {request, attempt} = message;
        const ran = this.head.cancel(message) ? 'not_run' : 'unknown';
        link.send({type: 'cancelled', request, attempt, ran});
        return;
      }
      default:
        return;
    }
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  private releaseOrphans(): void {
    this.stage.releaseOrphans();
    this.head.releaseOrphans();
  }

  private takeInfo(info: EngineInfo): void {
    this.stage.setInfo(info);
    this.head.setMaxSlots(info.maxSequences);
    this.isHead = info.firstLayer === 0;
  }

  /** Entries choose a chain by its head, so other stages have no report. */
  private reportLoad(): void {
    if (!this.isHead) return;
    const report: LoadReport = {
      type: 'load',
      server: toId<ServerId>(this.options.settings.server),
      ...this.head.currentLoad(),
    };
    for (const link of this.options.peers.links()) {
      if (link.hello?.role === 'entry') link.send(report);
    }
  }

  private addGauges(): void {
    const {metrics} = this.options;
    const add = (name: MetricName, read: () => number) =>
      metrics.gauge(name, METRICS[name].help, read);
    add('azurecrank_sequences', () => this.stage.sequenceCount);
    add('azurecrank_waiting_requests', () => this.head.waitingRequests);
    add(
      'azurecrank_activation_log_bytes',
      () => this.stage.activationLogSizeBytes,
    );
  }
}
