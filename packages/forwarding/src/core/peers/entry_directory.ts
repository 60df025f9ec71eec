/** Registers this entry in the store, so that the others find it. */
import {
  type KeyValueService,
  type Lease,
  type Logger,
  type PeerAddress,
} from '@azurecrank/core';
import type {StoreChange, StoreSnapshot} from '../adapter/wire_codec.js';

/** Prefix of everything that entries store. */
export const OWN_PREFIX = 'azurecrank/';
const ENTRIES_PREFIX = `${OWN_PREFIX}entries/`;

/** Key of the lease of the entry that gives orders. */
export const LAYOUT_LEASE_KEY = `${OWN_PREFIX}layout`;

/** An entry that ends without notice is forgotten after this time. */
const REGISTRATION_TTL_MS = 12_000;

/** A renewal may be lost twice before the registration lapses. */
const RENEWAL_PERIOD_MS = 4000;

export class EntryDirectory implements Disposable {
  private readonly addresses = new Map<string, PeerAddress>();
  private lease: Lease | undefined;
  private timer: NodeJS.Timeout | undefined;
  private hasLayoutHolder = false;

  constructor(
    private readonly keyValue: KeyValueService,
    private readonly node: string,
    private readonly logger: Logger,
  ) {}

  /** Addresses of all registered entries, also this one. */
  get entries(): Iterable<PeerAddress> {
    return this.addresses.values();
  }

  /** Whether some entry holds the lease for orders, as last seen. */
  get isLayoutHeld(): boolean {
    return this.hasLayoutHolder;
  }

  start(address: PeerAddress): void {
    void this.turn(address);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }

  takeSnapshot({entries}: StoreSnapshot): void {
    this.addresses.clear();
    this.hasLayoutHolder = false;
    this.takeChanges(entries);
  }

  takeChanges(changes: readonly StoreChange[]): void {
    for (const {key, value} of changes) {
      if (key === LAYOUT_LEASE_KEY) this.hasLayoutHolder = value !== undefined;
      if (!key.startsWith(ENTRIES_PREFIX)) continue;
      if (value === undefined) this.addresses.delete(key);
      else this.addresses.set(key, value as PeerAddress);
    }
  }

  private async turn(address: PeerAddress): Promise<void> {
    try {
      const isAlive =
        this.lease && (await this.keyValue.keepLeaseAlive(this.lease));
      if (!isAlive) await this.register(address);
    } catch (error) {
      this.logger.warn('registration was not renewed', {
        step: 'register',
        cause: String(error),
      });
    }
    this.timer = setTimeout(() => void this.turn(address), RENEWAL_PERIOD_MS);
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
