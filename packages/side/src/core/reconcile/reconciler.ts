/**
 * Brings the engine to the layers that the plan gives this server. Orders are
 * declarative; only the side process beside an engine orders it.
 */
import {
  SERVERS_PREFIX,
  type Engine,
  type EngineInfo,
  type EngineOrder,
  type KeyValueService,
  type Logger,
  type Metrics,
  type Plan,
  type ServerId,
  type ServerRegistration,
  type WeightStore,
} from '@azurecrank/core';

export interface ReconcilerOptions {
  readonly server: ServerId;
  readonly registration: ServerRegistration;
  readonly engine: Engine;
  readonly keyValue: KeyValueService;
  readonly weightStore: WeightStore | undefined;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly plan: () => Plan;
  /** Whether the own event loop was paused within the last milliseconds. */
  readonly wasPaused: (windowMs: number) => boolean;
  readonly onInfo: (info: EngineInfo) => void;
}

/** A read older than this, or a pause within it, does not justify an order. */
const CHECK_VALID_MS = 200;

/**
 * Plan versions stay below 2^24 (780 changes a day for 58 years), so the
 * epoch above them decides between two runs of a side process.
 */
const EPOCH_FACTOR = 2 ** 24;

export type ReconcileOutcome =
  'in_order' | 'ordered' | 'fenced' | 'superseded' | 'waiting' | 'failed';

export function toFence(epoch: number, planVersion: number): number {
  return epoch * EPOCH_FACTOR + planVersion;
}

export class Reconciler {
  constructor(private readonly options: ReconcilerOptions) {}

  /** Compares engine and plan once and orders what is missing. */
  async reconcile(): Promise<ReconcileOutcome> {
    const outcome = await this.tryReconcile();
    const {metrics} = this.options;
    metrics.increment('azurecrank_reconciles_total', {outcome});
    return outcome;
  }

  private async tryReconcile(): Promise<ReconcileOutcome> {
    const {engine, logger, server} = this.options;
    try {
      const info = await engine.info();
      this.options.onInfo(info);
      const order = this.wantedOrder();
      if (!order || isHeld(order, info)) return 'in_order';
      return await this.order(order);
    } catch (error) {
      const fields = {step: 'route', peer: server, cause: String(error)};
      logger.warn('engine could not be reconciled', fields);
      return 'failed';
    }
  }

  private wantedOrder(): EngineOrder | undefined {
    const {server, registration} = this.options;
    const plan = this.options.plan();
    for (const chain of plan.chains) {
      const stage = chain.stages.find(candidate => candidate.server === server);
      if (!stage) continue;
      const {model, modelVersion} = chain;
      const {firstLayer, endLayer} = stage;
      const fence = toFence(registration.epoch, plan.version);
      return {model, modelVersion, firstLayer, endLayer, fence};
    }
    return undefined;
  }

  private async order(order: EngineOrder): Promise<ReconcileOutcome> {
    const {engine, weightStore, logger} = this.options;
    const reserved = await weightStore?.reserve(order);
    if (reserved?.kind === 'limited') return 'waiting';
    const checkedAtMs = performance.now();
    if (!(await this.isNewestRun())) return 'superseded';
    const isStale = performance.now() - checkedAtMs > CHECK_VALID_MS;
    if (isStale || this.options.wasPaused(CHECK_VALID_MS)) return 'waiting';
    const outcome = await engine.order(order);
    if (outcome.kind === 'fenced') return 'fenced';
    const {firstLayer, endLayer} = order;
    logger.info('engine loads layers', {firstLayer, endLayer});
    this.options.onInfo(await engine.info());
    return 'ordered';
  }

  /** Engines that ignore fencing numbers rely on this check alone. */
  private async isNewestRun(): Promise<boolean> {
    const {keyValue, server, registration} = this.options;
    const entry = await keyValue.get(SERVERS_PREFIX + server);
    if (!entry) return false;
    const newest = JSON.parse(entry.value) as ServerRegistration;
    return newest.epoch === registration.epoch;
  }
}

function isHeld(order: EngineOrder, info: EngineInfo): boolean {
  return (
    order.model === info.model &&
    order.modelVersion === info.modelVersion &&
    order.firstLayer === info.firstLayer &&
    order.endLayer === info.endLayer
  );
}
