/**
 * Holds the lease of the process that computes the plan. Any entry may hold
 * it; the plan's compare-and-swap is what fences a holder that has lost it.
 */
import {
  Chart,
  ChartRunner,
  loadChartDefinition,
  type ChartEvent,
  type KeyValueService,
  type Lease,
  type Logger,
} from '@azurecrank/core';

/** Key that names the process that computes the plan. */
export const PLACEMENT_LEASE_KEY = 'leases/placement';

const LEASE_CHART = new Chart<object, ChartEvent>(loadChartDefinition('lease'));

export class LeaseHolder {
  private readonly runner = new ChartRunner<object, ChartEvent>(
    LEASE_CHART,
    {},
  );
  private lease: Lease | undefined;

  constructor(
    private readonly keyValue: KeyValueService,
    private readonly node: string,
    private readonly ttlMs: number,
    private readonly logger: Logger,
    private readonly key = PLACEMENT_LEASE_KEY,
  ) {}

  /** Fencing number of the lease while it is held for certain. */
  get fence(): number | undefined {
    return this.runner.state === 'holding' ? this.lease?.fence : undefined;
  }

  /** After a pause the lease may have lapsed: nothing is written before a renewal. */
  notePause(): void {
    this.runner.send({type: 'paused'});
  }

  /** Takes a lease that its holder has handed over. */
  adopt(lease: Lease): void {
    this.lease = lease;
    this.runner.send({type: 'acquired'});
    this.logger.info('took over the placement lease', {fence: lease.fence});
  }

  /** Stops to use the lease and returns it, for another process to adopt. */
  handOver(): Lease | undefined {
    const lease = this.fence === undefined ? undefined : this.lease;
    this.stepDown();
    return lease;
  }

  /** Gives the lease up after proof that it has passed to another process. */
  stepDown(): void {
    this.lease = undefined;
    this.runner.send({type: 'lost'});
  }

  /** Acquires or renews the lease; returns whether it is held. */
  async refresh(): Promise<boolean> {
    if (this.lease) return this.renew(this.lease);
    const current = await this.keyValue.get(this.key);
    if (current) return false;
    const lease = await this.keyValue.grantLease(this.ttlMs);
    const value = JSON.stringify({node: this.node, fence: lease.fence});
    const outcome = await this.keyValue.compareAndSwap(
      this.key,
      value,
      0,
      lease,
    );
    // A lost answer leaves a lease that nobody renews; it lapses by itself.
    if (outcome.kind !== 'written') return false;
    this.lease = lease;
    this.runner.send({type: 'acquired'});
    this.logger.info('holds the placement lease', {fence: lease.fence});
    return true;
  }

  async stop(): Promise<void> {
    this.runner.send({type: 'stop'});
    if (this.lease) await this.keyValue.revokeLease(this.lease);
  }

  private async renew(lease: Lease): Promise<boolean> {
    const isAlive = await this.keyValue.keepLeaseAlive(lease);
    this.runner.send({type: isAlive ? 'renewed' : 'lost'});
    if (!isAlive) {
      this.lease = undefined;
      this.logger.warn('lost the placement lease', {fence: lease.fence});
    }
    return isAlive;
  }
}
