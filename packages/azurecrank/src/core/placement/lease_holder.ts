/**
 * Acquires and renews a key-value lease, by default that of the process which
 * computes the plan. Any entry process may hold it. The lease alone does not
 * stop a former holder from writing; the plan's compare-and-swap does.
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

/** Key under which the holder of the placement lease is stored. */
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

  /** Fencing number of the lease; undefined unless it is certainly held. */
  get fence(): number | undefined {
    return this.runner.state === 'holding' ? this.lease?.fence : undefined;
  }

  /**
   * Suspends the use of the lease until it is renewed, because it may have
   * expired while this process was paused.
   */
  suspendUntilRenewed(): void {
    this.runner.send({type: 'paused'});
  }

  /** Starts to use a lease that its former holder has handed over. */
  acceptHandover(lease: Lease): void {
    this.lease = lease;
    this.runner.send({type: 'acquired'});
    this.logger.info('took over the placement lease', {fence: lease.fence});
  }

  /** Stops using the lease and returns it, for another process to take over. */
  handOver(): Lease | undefined {
    const lease = this.fence === undefined ? undefined : this.lease;
    this.stepDown();
    return lease;
  }

  /** Stops using the lease, which another process is known to hold. */
  stepDown(): void {
    this.lease = undefined;
    this.runner.send({type: 'lost'});
  }

  /** Acquires or renews the lease; returns whether it is held. */
  async acquireOrRenew(): Promise<boolean> {
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
    // If the answer is lost, a lease remains that nobody renews; it expires.
    if (outcome.kind !== 'written') return false;
    this.lease = lease;
    this.runner.send({type: 'acquired'});
    this.logger.info('acquired the placement lease', {fence: lease.fence});
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
