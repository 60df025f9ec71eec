/**
 * Connects a side process to a model engine: admission, the engine's stage,
 * migration of sequences and the engine's layers.
 */
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
import {SequenceMigrator} from '../handover/sequence_migrator.js';
import {AdmissionController} from '../head/admission_controller.js';
import {Reconciler} from '../reconcile/reconciler.js';
import {Stage} from '../sequences/stage.js';

export interface ModelBackendOptions {
  readonly settings: SideSettings;
  readonly engineUrl: string;
  readonly peers: PeerNode;
  readonly keyValue: KeyValueService;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly plan: () => Plan;
  readonly wasPaused: (windowMs: number) => boolean;
}

const ENGINE_RETRY_INTERVAL_MS = 500;

/** One failed attempt out of this many is logged. */
const ATTEMPTS_PER_LOG_LINE = 10;

/** Interval at which sequences and slots whose release was lost are freed. */
const ORPHAN_SWEEP_INTERVAL_MS = 1000;

/** Interval of the load reports to the connected entries. */
const LOAD_REPORT_INTERVAL_MS = 1000;

/** Interval at which the engine's KV cache events are read. */
const CACHE_EVENTS_INTERVAL_MS = 2000;

/** Interval at which waiting requests with unreachable deadlines are refused. */
const ADMISSION_TICK_INTERVAL_MS = 50;

/** Interval at which a draining server starts migrations. */
const MIGRATION_INTERVAL_MS = 20;

/** Interval at which the engine's layers are compared with the plan. */
const RECONCILE_INTERVAL_MS = 2000;

export class ModelBackend implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly engine: HttpEngine;
  private readonly stage: Stage;
  private readonly admission: AdmissionController;
  private readonly migrator: SequenceMigrator;
  private reconciler: Reconciler | undefined;
  private isReconciling = false;
  /** Whether the engine holds the first layers, so that it admits requests. */
  private isHead = false;

  constructor(private readonly options: ModelBackendOptions) {
    const {settings, peers, metrics, logger, engineUrl} = options;
    this.engine = this.disposables.add(new HttpEngine(engineUrl));
    const sharedOptions = {
      ...settings,
      engine: this.engine,
      transport: new PeerMessageTransport(peers),
      metrics,
      logger,
      node: settings.server,
    };
    this.stage = this.disposables.add(new Stage(sharedOptions));
    this.admission = new AdmissionController(sharedOptions);
    this.migrator = new SequenceMigrator({
      ...sharedOptions,
      server: toId<ServerId>(settings.server),
      stage: this.stage,
      plan: options.plan,
    });
    this.disposables.addInterval(
      () => this.freeOrphans(),
      ORPHAN_SWEEP_INTERVAL_MS,
    );
    this.disposables.addInterval(
      () => this.sendLoadReports(),
      LOAD_REPORT_INTERVAL_MS,
    );
    this.disposables.addInterval(
      () => this.admission.tick(),
      ADMISSION_TICK_INTERVAL_MS,
    );
    this.disposables.addInterval(
      () => void this.admission.readCacheEvents(),
      CACHE_EVENTS_INTERVAL_MS,
    );
    this.addGauges();
  }

  /** Whether no request is running. */
  get isIdle(): boolean {
    return this.stage.sequenceCount === 0 && this.admission.slotsInUse === 0;
  }

  /** Waits until the engine answers; it may start later than this process. */
  async start(): Promise<EngineInfo> {
    const {logger, engineUrl} = this.options;
    for (let attempt = 0; ; attempt++) {
      try {
        const info = await this.engine.info();
        this.applyEngineInfo(info);
        return info;
      } catch (error) {
        if (attempt % ATTEMPTS_PER_LOG_LINE === 0) {
          const fields = {engineUrl, cause: String(error)};
          logger.warn('engine does not answer; retrying', fields);
        }
      }
      await new Promise(resolve =>
        setTimeout(resolve, ENGINE_RETRY_INTERVAL_MS),
      );
    }
  }

  /** Starts to compare the engine's layers with the plan periodically. */
  followPlan(registration: ServerRegistration): void {
    const {settings, plan, wasPaused} = this.options;
    const {weightStoreUrl} = settings;
    const weightStore = weightStoreUrl
      ? new HttpWeightStore(weightStoreUrl)
      : undefined;
    this.reconciler = new Reconciler({
      ...this.options,
      server: toId<ServerId>(settings.server),
      registration,
      engine: this.engine,
      weightStore,
      plan,
      wasPaused,
      onEngineInfo: info => this.applyEngineInfo(info),
    });
    this.disposables.addInterval(
      () => void this.reconcile(),
      RECONCILE_INTERVAL_MS,
    );
  }

  async reconcile(): Promise<void> {
    if (this.isReconciling) return;
    this.isReconciling = true;
    await this.reconciler?.reconcile();
    this.isReconciling = false;
  }

  /** Applies the reserved shares of the operators' file. */
  setReservedShares(reserved: ReservedShares): void {
    this.admission.setReservedShares(reserved);
    this.stage.setReservedShares(reserved);
  }

  /** Refuses new requests; those in flight are migrated or continue. */
  startDraining(): void {
    this.admission.startDraining();
    this.stage.startDraining();
    this.disposables.addInterval(
      () => this.migrator.startMigrations(),
      MIGRATION_INTERVAL_MS,
    );
  }

  /** Excludes a pause of this process from the engine's stall timeout. */
  recordPause(pausedMs: number): void {
    this.stage.runner.extendRunningBatch(pausedMs);
  }

  onPeerDown(address: PeerAddress): void {
    this.stage.reportPeerDown(address);
    this.admission.freeSlotsOf(address);
  }

  receive(message: Message, link: PeerLink): void {
    switch (message.type) {
      case 'open':
        return this.admission.open(message);
      case 'step':
        this.admission.recordStep(message);
        return this.stage.handleInput(message);
      case 'activation':
        return this.stage.handleInput(message);
      case 'reroute':
        return this.stage.reroute(message);
      case 'replay':
        return this.stage.replay(message);
      case 'import_kv':
        void this.migrator.importSequence(message);
        return;
      case 'leaving':
        return this.migrator.excludeServer(toId<ServerId>(message.node));
      case 'release':
        this.migrator.endMigration(message.request);
        this.stage.release(message);
        return this.admission.release(message);
      case 'cancel': {
        const {request, attempt} = message;
        const ran = this.admission.cancel(message) ? 'not_run' : 'unknown';
        link.send({type: 'cancelled', request, attempt, ran});
        return;
      }
      default:
        return;
    }
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  private freeOrphans(): void {
    this.stage.releaseOrphans();
    this.admission.releaseOrphans();
  }

  private applyEngineInfo(info: EngineInfo): void {
    this.stage.setEngineInfo(info);
    this.admission.setMaxSlots(info.maxSequences);
    this.isHead = info.firstLayer === 0;
  }

  /** Sends nothing unless this is a head: entries choose chains by its load. */
  private sendLoadReports(): void {
    if (!this.isHead) return;
    const report: LoadReport = {
      type: 'load',
      server: toId<ServerId>(this.options.settings.server),
      ...this.admission.currentLoad(),
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
    add('azurecrank_waiting_requests', () => this.admission.waitingRequests);
    add(
      'azurecrank_activation_log_bytes',
      () => this.stage.activationLogSizeBytes,
    );
  }
}
