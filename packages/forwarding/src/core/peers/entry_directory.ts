/** Registers this entry in the store and tracks the other entries. */
import {
  isSocketAddress,
  type KeyValueService,
  type Lease,
  type Logger,
  type PeerAddress,
} from '@azurecrank/core';
import type {StoreChange, StoreSnapshot} from '../adapter/platform_adapter.js';
import {UnreadableEntries} from '../adapter/unreadable_entries.js';

/** Prefix of all keys that entries write. */
export const ENTRY_STORE_PREFIX = 'azurecrank/';
const ENTRIES_PREFIX = `${ENTRY_STORE_PREFIX}entries/`;

/** Key of the lease whose holder orders the layout of layers. */
export const LAYOUT_LEASE_KEY = `${ENTRY_STORE_PREFIX}layout`;

/** Time after which the registration of a crashed entry expires. */
const REGISTRATION_TTL_MS = 12_000;

/** A third of the TTL, so that two renewals may fail before it expires. */
const REGISTRATION_RENEWAL_INTERVAL_MS = 4000;

export class EntryDirectory implements Disposable {
  private readonly addresses = new Map<string, PeerAddress>();
  private readonly unreadable: UnreadableEntries;
  private lease: Lease | undefined;
  private timer: NodeJS.Timeout | undefined;
  private layoutLeaseExists = false;

  constructor(
    private readonly keyValue: KeyValueService,
    private readonly node: string,
    private readonly logger: Logger,
    private readonly nowMs: () => number,
  ) {
    this.unreadable = new UnreadableEntries(
      logger,
      'entry registration has no valid address; ignored',
    );
  }

  /** Addresses of all registered entries, including this one. */
  get entries(): Iterable<PeerAddress> {
    return this.addresses.values();
  }

  /** Number of registered entries, including this one; 1 at the least. */
  get entryCount(): number {
    return Math.max(1, this.addresses.size);
  }

  /** Whether an entry held the layout lease at the last update. */
  get hasLayoutLeaseHolder(): boolean {
    return this.layoutLeaseExists;
  }

  start(address: PeerAddress): void {
    void this.renewRegistration(address);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }

  applySnapshot({entries}: StoreSnapshot): void {
    this.addresses.clear();
    this.layoutLeaseExists = false;
    this.applyChanges(entries);
  }

  applyChanges(changes: readonly StoreChange[]): void {
    for (const {key, value} of changes) {
      if (key === LAYOUT_LEASE_KEY)
        this.layoutLeaseExists = value !== undefined;
      if (!key.startsWith(ENTRIES_PREFIX)) continue;
      if (value === undefined) this.removeAddress(key);
      else this.setAddress(key, value);
    }
  }

  /** Other writers may have stored something else than an address. */
  private setAddress(key: string, value: string): void {
    if (!isSocketAddress(value)) {
      this.addresses.delete(key);
      this.unreadable.report(key, {step: 'address'}, this.nowMs());
      return;
    }
    this.addresses.set(key, value as PeerAddress);
    this.unreadable.clear(key);
  }

  private removeAddress(key: string): void {
    this.addresses.delete(key);
    this.unreadable.clear(key);
  }

  /** Renews the registration's lease, or registers again; then repeats. */
  private async renewRegistration(address: PeerAddress): Promise<void> {
    try {
      const isLeaseAlive =
        this.lease && (await this.keyValue.keepLeaseAlive(this.lease));
      if (!isLeaseAlive) await this.register(address);
    } catch (error) {
      this.logger.warn('entry registration could not be renewed; retrying', {
        step: 'register',
        cause: String(error),
      });
    }
    this.timer = setTimeout(
      () => void this.renewRegistration(address),
      REGISTRATION_RENEWAL_INTERVAL_MS,
    );
    this.timer.unref();
  }

  private async register(address: PeerAddress): Promise<void> {
    const key = ENTRIES_PREFIX + this.node;
    this.lease = undefined;
    const lease = await this.keyValue.grantLease(REGISTRATION_TTL_MS);
    const current = await this.keyValue.get(key);
    const outcome = await this.keyValue.compareAndSwap(
      key,
      address,
      current?.revision ?? 0,
      lease,
    );
    if (outcome.kind === 'written') this.lease = lease;
    this.logger.info('entry registered', {address, outcome: outcome.kind});
  }
}
