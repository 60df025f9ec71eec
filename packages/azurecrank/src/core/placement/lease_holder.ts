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
  /**
   * Fencing number of the last lease, unless another process is known to hold a
   * newer one. Lower or equal numbers in the stored value are from this holder
   * or from earlier ones.
   */
  private lastFence: number | undefined;

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
    this.hold(lease);
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
    this.lastFence = undefined;
    this.runner.send({type: 'lost'});
  }

  /**
   * Acquires or renews the lease; returns whether it is held. A lease that is
   * lost is acquired again at once, also if the key remains: a restore of the
   * service may bring it back, with a lease that nobody renews.
   */
  async acquireOrRenew(): Promise<boolean> {
    const {lease} = this;
    if (!lease) return this.acquire();
    if (await this.renew(lease)) return true;
    // Undefined if the lease was handed over during the call.
    return this.lastFence !== undefined && this.acquire();
  }

  private async acquire(): Promise<boolean> {
    const current = await this.keyValue.get(this.key);
    if (current && !this.isReplaceable(current.value)) return false;
    const lease = await this.keyValue.grantLease(this.ttlMs);
    const value = JSON.stringify({node: this.node, fence: lease.fence});
    const outcome = await this.keyValue.compareAndSwap(
      this.key,
      value,
      current?.revision ?? 0,
      lease,
    );
    // If the answer is lost, a lease remains that nobody renews; it expires.
    if (outcome.kind !== 'written') return false;
    this.hold(lease);
    this.logger.info('acquired the placement lease', {fence: lease.fence});
    return true;
  }

  async stop(): Promise<void> {
    this.runner.send({type: 'stop'});
    if (this.lease) await this.keyValue.revokeLease(this.lease);
  }

  private hold(lease: Lease): void {
    this.lease = lease;
    this.lastFence = lease.fence;
    this.runner.send({type: 'acquired'});
  }

  /** Whether no later holder than this process has written the value. */
  private isReplaceable(value: string): boolean {
    const fence = parseFence(value);
    return fence !== undefined && fence <= (this.lastFence ?? -Infinity);
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

/** Returns the fencing number in a stored value; undefined if unreadable. */
function parseFence(value: string): number | undefined {
  try {
    const {fence} = JSON.parse(value) as {fence?: unknown};
    return typeof fence === 'number' ? fence : undefined;
  } catch {
    return undefined;
  }
}
