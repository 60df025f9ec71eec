/** Computes and stores the plan while this process holds the placement lease. */
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
  /** Interval at which the lease holder checks whether the plan must change. */
  readonly planIntervalMs: number;
  /** Mean interval of attempts to acquire the lease while another holds it. */
  readonly acquireIntervalMs: number;
}

/**
 * The plan is checked for changes by a watch with this timeout, which answers
 * without the value if there is none. The value of a plan for 610 servers has
 * 83 KB, which a read would transfer in each interval.
 */
const PLAN_WATCH_TIMEOUT_MS = 1;

/** Random delays lie between 0.5 and 1.5 times their mean. */
const MIN_DELAY_FACTOR = 0.5;

/** Typical one-way latencies; the planner only compares them. */
const SAME_ZONE_LATENCY_MS = 0.05;
const CROSS_ZONE_LATENCY_MS = 0.25;
const CROSS_REGION_LATENCY_MS = 20;

export class PlacementRunner implements Disposable {
  private readonly membership = new MembershipView();
  private timer: NodeJS.Timeout | undefined;
  /** The plan as read last; undefined after each write. */
  private storedPlan: KeyValueEntry | undefined;
  private isStopped = false;

  constructor(private readonly options: PlacementOptions) {}

  start(): void {
    void this.runOnce();
  }

  [Symbol.dispose](): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private async runOnce(): Promise<void> {
    let isHolder = false;
    try {
      isHolder = await this.options.lease.acquireOrRenew();
      if (isHolder) await this.updatePlan();
    } catch (error) {
      this.options.metrics.increment('azurecrank_placement_failures_total');
      const fields = {step: 'route', cause: String(error)};
      this.options.logger.warn(
        'plan could not be updated; trying again',
        fields,
      );
    }
    if (this.isStopped) return;
    const {planIntervalMs, acquireIntervalMs} = this.options;
    const delayMs = isHolder
      ? planIntervalMs
      : acquireIntervalMs * (MIN_DELAY_FACTOR + Math.random());
    this.timer = setTimeout(() => void this.runOnce(), delayMs);
    this.timer.unref();
  }

  private async updatePlan(): Promise<void> {
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
      this.membership.filterPlaceable(registrations),
      toPlacementModels(config),
      linkLatencyMs,
      previous,
    );
    // A new holder also writes an unchanged plan. That changes its revision, so
    // a write of an earlier holder fails from then on.
    const isNewHolder = previous.fence !== fence;
    if (planned === previous && !isNewHolder) return;
    const version = (previous.version + 1) as PlanVersion;
    await this.writePlan({...planned, version, fence}, stored?.revision ?? 0);
  }

  /** Gives up the lease: the stored plan was written under a newer one. */
  private stepDown(newerFence: number): void {
    this.options.logger.warn(
      'a newer lease holder has written the plan; giving up the placement lease',
      {fence: newerFence},
    );
    this.options.lease.stepDown();
  }

  /** A plan that changes after this read only makes the next write fail. */
  private async readPlan(): Promise<KeyValueEntry | undefined> {
    const {keyValue} = this.options;
    const lastRead = this.storedPlan;
    this.storedPlan = lastRead
      ? ((await keyValue.watch(
          PLAN_KEY,
          lastRead.revision,
          PLAN_WATCH_TIMEOUT_MS,
        )) ?? lastRead)
      : await keyValue.get(PLAN_KEY);
    return this.storedPlan;
  }

  /** Fails with a conflict if another holder has written since `revision`. */
  private async writePlan(plan: Plan, revision: number): Promise<void> {
    const value = JSON.stringify(plan);
    const outcome = await this.options.keyValue.compareAndSwap(
      PLAN_KEY,
      value,
      revision,
    );
    const labels = {outcome: outcome.kind};
    this.options.metrics.increment('azurecrank_plan_writes_total', labels);
    // Reads the value again, also after a conflict: a watch answers for a
    // removed key as for an unchanged one.
    this.storedPlan = undefined;
    if (outcome.kind !== 'written') return;
    const {version, chains} = plan;
    this.options.logger.info('wrote a plan', {version, chains: chains.length});
  }

  /** Updates the states of hosts; without an answer the last ones stay. */
  private async updateHosts(): Promise<void> {
    if (!this.options.hostList) return;
    try {
      this.membership.updateHosts(await this.options.hostList.list());
    } catch (error) {
      this.options.metrics.increment('azurecrank_host_list_failures_total');
      const fields = {step: 'route', cause: String(error)};
      this.options.logger.warn(
        'host list did not answer; using the last one',
        fields,
      );
    }
  }
}

function toPlacementModels(config: OperatorConfig): PlacementModel[] {
  return [...config.models.values()].map(model => ({
    model: model.model,
    modelVersion: model.version,
    layers: model.layers,
    layerBytes: model.bytesPerLayer,
    tokenShare: 1,
  }));
}

function linkLatencyMs(
  from: ServerRegistration,
  to: ServerRegistration,
): number {
  if (from.region !== to.region) return CROSS_REGION_LATENCY_MS;
  const isSameZone = from.availabilityZone === to.availabilityZone;
  return isSameZone ? SAME_ZONE_LATENCY_MS : CROSS_ZONE_LATENCY_MS;
}
