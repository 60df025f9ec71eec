/** The part of a side process that serves a model engine. */
import {
  DisposableStore,
  HttpEngine,
  HttpWeightStore,
  type EngineInfo,
  type KeyValueService,
  type LoadReport,
  type Logger,
  type Message,
  type Metrics,
  type PeerAddress,
  type PeerLink,
  type PeerNode,
  type Plan,
  type ServerId,
  type ServerRegistration,
  type SideSettings,
  toId,
} from '@azurecrank/core';
import {Head} from '../head/head.js';
import {Reconciler} from '../reconcile/reconciler.js';
import {Stage} from '../sequences/stage.js';
import {PeerTransport} from './peer_transport.js';

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

const ORPHAN_SWEEP_MS = 1000;

/** Period of the reports to the entries that follow this head. */
const LOAD_REPORT_MS = 1000;

/** Period at which waiting requests that are too late are refused. */
const HEAD_TICK_MS = 50;

/** Period at which the engine is compared with the plan. */
const RECONCILE_MS = 2000;

export class ModelServer implements Disposable {
  private readonly store = new DisposableStore();
  private readonly engine: HttpEngine;
  private readonly stage: Stage;
  private readonly head: Head;
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
      transport: new PeerTransport(peers),
      metrics,
      logger,
      node: settings.server,
    };
    this.stage = new Stage(common);
    this.head = new Head(common);
    this.store.interval(() => this.stage.releaseOrphans(), ORPHAN_SWEEP_MS);
    this.store.interval(() => this.reportLoad(), LOAD_REPORT_MS);
    this.store.interval(() => this.head.tick(), HEAD_TICK_MS);
    this.addGauges();
  }

  /** Whether no request is in flight. */
  get isIdle(): boolean {
    return this.stage.size === 0 && this.head.runningRequests === 0;
  }

  async start(): Promise<EngineInfo> {
    const info = await this.engine.info();
    this.takeInfo(info);
    return info;
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
      onInfo: info => this.takeInfo(info),
    });
    this.store.interval(() => void this.reconcile(), RECONCILE_MS);
  }

  async reconcile(): Promise<void> {
    if (this.isReconciling) return;
    this.isReconciling = true;
    await this.reconciler?.reconcile();
    this.isReconciling = false;
  }

  /** Takes no new request; those in flight go on. */
  leave(): void {
    this.head.leave();
  }

  onPeerDown(address: PeerAddress): void {
    this.stage.reportPeerDown(address);
  }

  receive(message: Message, link: PeerLink): void {
    switch (message.type) {
      case 'open':
        return this.head.open(message);
      case 'step':
        this.head.noteStep(message);
        return this.stage.takeInput(message);
      case 'activation':
        return this.stage.takeInput(message);
      case 'reroute':
        return this.stage.reroute(message);
      case 'replay':
        return this.stage.replay(message);
      case 'release':
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
      ...this.head.load(),
    };
    for (const link of this.options.peers.links()) {
      if (link.hello?.role === 'entry') link.send(report);
    }
  }

  private addGauges(): void {
    const {metrics} = this.options;
    metrics.gauge('azurecrank_sequences', 'Sequences with a cache here', () => {
      return this.stage.size;
    });
    metrics.gauge('azurecrank_waiting_requests', 'Requests that wait', () => {
      return this.head.waitingRequests;
    });
    metrics.gauge('azurecrank_activation_log_bytes', 'Kept outputs', () => {
      return this.stage.logBytes;
    });
  }
}
