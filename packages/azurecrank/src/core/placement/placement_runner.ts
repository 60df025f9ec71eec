/** Computes and writes the plan while this process holds the lease. */
import {
  EMPTY_PLAN,
  MembershipView,
  PLAN_KEY,
  SERVERS_PREFIX,
  planChains,
  type HostList,
  type KeyValueEntry,
  type KeyValueService,
  type Logger,
  type Metrics,
  type OperatorConfig,
  type PlacementModel,
  type Plan,
  type PlanVersion,
  type ServerRegistration,
} from '@azurecrank/core';
import type {LeaseHolder} from './lease_holder.js';

export interface PlacementOptions {
  readonly keyValue: KeyValueService;
  readonly hostList: HostList | undefined;
  readonly lease: LeaseHolder;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly config: () => OperatorConfig | undefined;
  /** Period of the holder's look at the registrations, in milliseconds. */
  readonly periodMs: number;
  /** Mean time between attempts of other processes to take the lease. */
  readonly campaignMs: number;
}

/**
 * An unchanged plan is asked for by a watch this short, which answers without
 * the value: at 610 servers the value would be 83 KB in each period.
 */
const PLAN_WATCH_MS = 1;

const SAME_ZONE_MS = 0.05;
const SAME_REGION_MS = 0.25;
const OTHER_REGION_MS = 20;

export class PlacementRunner implements Disposable {
  private readonly membership = new MembershipView();
  private timer: NodeJS.Timeout | undefined;
  /** The plan as it was read last, unless a write has failed since. */
  private stored: KeyValueEntry | undefined;
  private isStopped = false;

  constructor(private readonly options: PlacementOptions) {}

  start(): void {
    void this.turn();
  }

  [Symbol.dispose](): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private async turn(): Promise<void> {
    let isHolder = false;
    try {
      isHolder = await this.options.lease.refresh();
      if (isHolder) await this.plan();
    } catch (error) {
      this.options.metrics.increment('azurecrank_placement_failures_total');
      const fields = {step: 'route', cause: String(error)};
      this.options.logger.warn('placement could not run', fields);
    }
    if (this.isStopped) return;
    const {periodMs, campaignMs} = this.options;
    const delayMs = isHolder ? periodMs : campaignMs * (0.5 + Math.random());
    this.timer = setTimeout(() => void this.turn(), delayMs);
    this.timer.unref();
  }

  private async plan(): Promise<void> {
    const config = this.options.config();
    if (!config) return;
    const entries = await this.options.keyValue.list(SERVERS_PREFIX);
    const registrations = entries.map(
      ({value}) => JSON.parse(value) as ServerRegistration,
    );
    this.membership.updateRegistrations(registrations);
    await this.updateHosts();
    const stored = await this.readPlan();
    const previous = stored ? (JSON.parse(stored.value) as Plan) : EMPTY_PLAN;
    const {fence} = this.options.lease;
    if (fence === undefined) return;
    if (previous.fence > fence) return this.stepDown(previous.fence);
    const planned = planChains(
      this.membership.placeable(registrations),
      toPlacementModels(config),
      linkTimeMs,
      previous,
    );
    // A new holder writes even an unchanged plan: from then on the revision
    // that an earlier holder has read no longer matches.
    const isNewHolder = previous.fence !== fence;
    if (planned === previous && !isNewHolder) return;
    const version = (previous.version + 1) as PlanVersion;
    await this.write({...planned, version, fence}, stored?.revision ?? 0);
  }

  /** Another process holds the lease, whatever this one believes. */
  private stepDown(newerFence: number): void {
    this.options.logger.warn('a newer holder has written the plan', {
      fence: newerFence,
    });
    this.options.lease.stepDown();
  }

  /** A plan that has changed in between only makes the next write fail. */
  private async readPlan(): Promise<KeyValueEntry | undefined> {
    const {keyValue} = this.options;
    const known = this.stored;
    this.stored = known
      ? ((await keyValue.watch(PLAN_KEY, known.revision, PLAN_WATCH_MS)) ??
        known)
      : await keyValue.get(PLAN_KEY);
    return this.stored;
  }

  /** The revision fences: a holder that was paused finds it has changed. */
  private async write(plan: Plan, revision: number): Promise<void> {
    const value = JSON.stringify(plan);
    const outcome = await this.options.keyValue.compareAndSwap(
      PLAN_KEY,
      value,
      revision,
    );
    const labels = {outcome: outcome.kind};
    this.options.metrics.increment('azurecrank_plan_writes_total', labels);
    // Also after a conflict, because a removed key looks like an unchanged one.
    this.stored = undefined;
    if (outcome.kind !== 'written') return;
    const {version, chains} = plan;
    this.options.logger.info('wrote a plan', {version, chains: chains.length});
  }

  /** A host list that does not answer leaves the last one in force. */
  private async updateHosts(): Promise<void> {
    if (!this.options.hostList) return;
    try {
      this.membership.updateHosts(await this.options.hostList.list());
    } catch (error) {
      this.options.metrics.increment('azurecrank_host_list_failures_total');
      const fields = {step: 'route', cause: String(error)};
      this.options.logger.warn('host list gave no answer', fields);
    }
  }
}

function toPlacementModels(config: OperatorConfig): PlacementModel[] {
  return [...config.models.values()].map(model => ({
    model: model.model,
    modelVersion: model.version,
    layers: model.layers,
    layerBytes: model.bytesPerLayer,
    share: 1,
  }));
}

/** Typical one-way times; the planner only compares them. */
function linkTimeMs(from: ServerRegistration, to: ServerRegistration): number {
  if (from.region !== to.region) return OTHER_REGION_MS;
  const isSameZone = from.availabilityZone === to.availabilityZone;
  return isSameZone ? SAME_ZONE_MS : SAME_REGION_MS;
}
