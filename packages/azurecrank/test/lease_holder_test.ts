import {beforeEach, describe, it} from 'node:test';
import {
  KeyValueService,
  Logger,
  type KeyValueEntry,
  type Lease,
  type WriteOutcome,
} from '@azurecrank/core';
import {LeaseHolder} from 'azurecrank';
import {expect} from 'earl';

const KEY = 'leases/test';

/** One key in memory, whose leases end as the test says. */
class FakeKeyValueService extends KeyValueService {
  entry: KeyValueEntry | undefined;
  isLeaseAlive = true;
  isAvailable = true;
  grantedFence = 10;

  override get(): Promise<KeyValueEntry | undefined> {
    return Promise.resolve(this.entry);
  }

  override list(): Promise<KeyValueEntry[]> {
    return Promise.resolve(this.entry ? [this.entry] : []);
  }

  override compareAndSwap(
    key: string,
    value: string,
    expectedRevision: number,
  ): Promise<WriteOutcome> {
    const {entry} = this;
    const revision = entry?.revision ?? 0;
    if (!this.isAvailable || revision !== expectedRevision) {
      return Promise.resolve({kind: 'conflict', current: entry});
    }
    this.entry = {key, value, revision: revision + 1};
    return Promise.resolve({kind: 'written', revision: revision + 1});
  }

  override remove(): Promise<WriteOutcome> {
    this.entry = undefined;
    return Promise.resolve({kind: 'written', revision: 0});
  }

  override watch(): Promise<KeyValueEntry | undefined> {
    return Promise.resolve(undefined);
  }

  override grantLease(ttlMs: number): Promise<Lease> {
    const fence = this.grantedFence++;
    return Promise.resolve({lease: `l${fence}`, fence, ttlMs});
  }

  override keepLeaseAlive(): Promise<boolean> {
    return Promise.resolve(this.isLeaseAlive);
  }

  override revokeLease(): Promise<void> {
    return Promise.resolve();
  }

  /** Stores what a holder with this fencing number would have written. */
  storeHolder(fence: number): void {
    const value = JSON.stringify({node: 'other', fence});
    this.entry = {key: KEY, value, revision: 100};
  }
}

describe('LeaseHolder', () => {
  let keyValue: FakeKeyValueService;
  let holder: LeaseHolder;

  beforeEach(async () => {
    keyValue = new FakeKeyValueService();
    const logger = new Logger('test', 'silent');
    holder = new LeaseHolder(keyValue, 'test', 1000, logger, KEY);
    expect(await holder.acquireOrRenew()).toEqual(true);
    expect(holder.fence).toEqual(10);
  });

  describe('whose lease is lost', () => {
    beforeEach(() => {
      keyValue.isLeaseAlive = false;
    });

    // Guards against a holder that waits for its own lease to expire, which a
    // restore of the service has brought back with the key.
    it('replaces its own value', async () => {
      expect(await holder.acquireOrRenew()).toEqual(true);
      expect(holder.fence).toEqual(11);
    });

    // Guards against waiting for the lease of a former holder that a restore
    // has brought back.
    it('replaces the value of a former holder', async () => {
      keyValue.storeHolder(9);
      expect(await holder.acquireOrRenew()).toEqual(true);
      expect(holder.fence).toEqual(11);
    });

    it('replaces its own value later if a write fails', async () => {
      keyValue.isAvailable = false;
      expect(await holder.acquireOrRenew()).toEqual(false);
      expect(holder.fence).toEqual(undefined);
      keyValue.isAvailable = true;
      expect(await holder.acquireOrRenew()).toEqual(true);
    });

    it('acquires another one if the key is gone', async () => {
      keyValue.entry = undefined;
      expect(await holder.acquireOrRenew()).toEqual(true);
    });

    it('leaves the value of a later holder', async () => {
      keyValue.storeHolder(11);
      expect(await holder.acquireOrRenew()).toEqual(false);
      expect(holder.fence).toEqual(undefined);
    });

    it('leaves an unreadable value', async () => {
      keyValue.entry = {key: KEY, value: 'unreadable', revision: 100};
      expect(await holder.acquireOrRenew()).toEqual(false);
    });
  });

  it('leaves its value to the process that took the lease over', async () => {
    expect(holder.handOver()?.fence).toEqual(10);
    expect(await holder.acquireOrRenew()).toEqual(false);
  });

  it('leaves its value after a newer holder is known', async () => {
    holder.stepDown();
    expect(await holder.acquireOrRenew()).toEqual(false);
  });

  it('replaces a value that was handed over to it', async () => {
    holder.handOver();
    const lease = {lease: 'l20', fence: 20, ttlMs: 1000};
    keyValue.storeHolder(20);
    holder.acceptHandover(lease);
    keyValue.isLeaseAlive = false;
    expect(await holder.acquireOrRenew()).toEqual(true);
  });
});
