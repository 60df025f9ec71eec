/**
 * Makes the engine load the layers that the plan assigns to this server. An
 * order states the layers to hold. An engine receives orders only from the side
 * process of its own server.
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
  /** Whether this process was paused within the last `windowMs`. */
  readonly wasPaused: (windowMs: number) => boolean;
  readonly onEngineInfo: (info: EngineInfo) => void;
}

/**
 * No order is sent if the read of the epoch took longer than this, or if this
 * process was paused within this time.
 */
const MAX_CHECK_AGE_MS = 200;

/**
 * Fencing numbers hold the epoch above the plan version, so that a newer run of
 * a side process always wins. Plan versions stay below 2^24, which is enough
 * for 780 changes a day for 58 years.
 */
const PLAN_VERSIONS_PER_EPOCH = 2 ** 24;

export type ReconcileOutcome =
  'in_order' | 'ordered' | 'fenced' | 'superseded' | 'waiting' | 'failed';

export function toFencingNumber(epoch: number, planVersion: number): number {
  return epoch * PLAN_VERSIONS_PER_EPOCH + planVersion;
}

export class Reconciler {
  constructor(private readonly options: ReconcilerOptions) {}

  /** Compares the engine with the plan once and orders layers if they differ. */
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
      this.options.onEngineInfo(info);
      const order = this.createPlannedOrder();
      if (!order || isFulfilled(order, info)) return 'in_order';
      return await this.sendOrder(order);
    } catch (error) {
      const fields = {step: 'route', peer: server, cause: String(error)};
      logger.warn(
        'engine could not be brought to the planned layers; retrying later',
        fields,
      );
      return 'failed';
    }
  }

  private createPlannedOrder(): EngineOrder | undefined {
    const {server, registration} = this.options;
    const plan = this.options.plan();
    for (const chain of plan.chains) {
      const stage = chain.stages.find(candidate => candidate.server === server);
      if (!stage) continue;
      const {model, modelVersion} = chain;
      const {firstLayer, endLayer} = stage;
      const fence = toFencingNumber(registration.epoch, plan.version);
      return {model, modelVersion, firstLayer, endLayer, fence};
    }
    return undefined;
  }

  private async sendOrder(order: EngineOrder): Promise<ReconcileOutcome> {
    const {engine, weightStore, logger} = this.options;
    const reservation = await weightStore?.reserve(order);
    if (reservation?.kind === 'limited') return 'waiting';
    const checkedAtMs = performance.now();
    if (!(await this.isLatestEpoch())) return 'superseded';
    const isStale = performance.now() - checkedAtMs > MAX_CHECK_AGE_MS;
    if (isStale || this.options.wasPaused(MAX_CHECK_AGE_MS)) return 'waiting';
    const outcome = await engine.order(order);
    if (outcome.kind === 'fenced') return 'fenced';
    const {firstLayer, endLayer} = order;
    logger.info('engine was ordered to load layers', {firstLayer, endLayer});
    this.options.onEngineInfo(await engine.info());
    return 'ordered';
  }

  /**
   * Whether no later side process of this server is registered. The only
   * protection of engines that do not check fencing numbers.
   */
  private async isLatestEpoch(): Promise<boolean> {
    const {keyValue, server, registration} = this.options;
    const entry = await keyValue.get(SERVERS_PREFIX + server);
    if (!entry) return false;
    const latest = JSON.parse(entry.value) as ServerRegistration;
    return latest.epoch === registration.epoch;
  }
}

function isFulfilled(order: EngineOrder, info: EngineInfo): boolean {
  return (
    order.model === info.model &&
    order.modelVersion === info.modelVersion &&
    order.firstLayer === info.firstLayer &&
    order.endLayer === info.endLayer
  );
}
