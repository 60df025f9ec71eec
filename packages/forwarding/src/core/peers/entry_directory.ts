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
import type {RegisteredEntry} from './relay_plan.js';

/** Prefix of all keys that entries write. */
export const ENTRY_STORE_PREFIX = 'azurecrank/';
const ENTRIES_PREFIX = `${ENTRY_STORE_PREFIX}entries/`;

/** Key of the lease whose holder orders the layout of layers. */
export const LAYOUT_LEASE_KEY = `${ENTRY_STORE_PREFIX}layout`;

/** Time after which the registration of a crashed entry expires. */
const REGISTRATION_TTL_MS = 12_000;

/** A third of the TTL, so that two renewals may fail before it expires. */
const REGISTRATION_RENEWAL_INTERVAL_MS = 4000;

/**
 * Interval of an entry on which others rely to read the store. The renewal is
 * the cheapest call that shows whether the store can be reached.
 */
const RELAY_RENEWAL_INTERVAL_MS = 1000;

/** Time after which a renewal shows that the store cannot be reached. */
const RENEWAL_RESPONSE_MS = 700;

/**
 * Entries whose registration is missing after an outage or a restore of the
 * store register again within this time, if they still run.
 */
const MISSING_ENTRY_GRACE_MS = 6000;

/** Span over which the entries register again after a restore of the store. */
const RESTORE_SPREAD_MS = 1000;

export interface EntryDirectoryOptions {
  readonly keyValue: KeyValueService;
  /** Name of this entry. */
  readonly node: string;
  readonly availabilityZone?: string;
  /** Whether others read the store by way of this entry. */
  readonly isRelay?: () => boolean;
  /** Called with each renewal: whether the store could be reached in time. */
  readonly onRenewal?: (isStoreReachable: boolean) => void;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Called when missing entries are no longer kept. */
  readonly onExpiry: () => void;
}

export class EntryDirectory implements Disposable {
  private readonly addresses = new Map<string, PeerAddress>();
  private readonly unreadable: UnreadableEntries;
  /** Keys of entries that are kept although they are missing. */
  private readonly missing = new Set<string>();
  private graceTimer: NodeJS.Timeout | undefined;
  private address = '' as PeerAddress;
  private lease: Lease | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private isRenewing = false;
  /** Whether the store was restored since the registration was written. */
  private isRestored = false;
  private layoutLeaseExists = false;

  constructor(private readonly options: EntryDirectoryOptions) {
    this.unreadable = new UnreadableEntries(
      options.logger,
      'entry registration has no valid address; ignored',
    );
  }

  /** Addresses of all registered entries, including this one. */
  get entries(): Iterable<PeerAddress> {
    return this.addresses.values();
  }

  /** All registered entries, including this one, with their zones. */
  get registered(): RegisteredEntry[] {
    const byAddress = new Map<PeerAddress, RegisteredEntry>();
    for (const [key, address] of this.addresses) {
      const availabilityZone = zoneOf(key);
      const known = byAddress.get(address);
      // An entry that was upgraded may still be registered by its old key.
      if (known?.availabilityZone === undefined)
        byAddress.set(address, {address, availabilityZone});
    }
    return [...byAddress.values()];
  }

  /** Number of registered entries, including this one; 1 at the least. */
  get entryCount(): number {
    return Math.max(1, new Set(this.addresses.values()).size);
  }

  /** Whether an entry held the layout lease at the last update. */
  get hasLayoutLeaseHolder(): boolean {
    return this.layoutLeaseExists;
  }

  start(address: PeerAddress): void {
    this.address = address;
    void this.renewRegistration();
  }

  [Symbol.dispose](): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    clearTimeout(this.graceTimer);
  }

  /** Registers soon again, as the store may have lost the registration. */
  handleRestore(): void {
    this.isRestored = true;
    if (this.isRenewing || this.timer === undefined) return;
    clearTimeout(this.timer);
    this.scheduleRenewal();
  }

  /**
   * @param mayLackEntries whether registrations may be missing only because the
   *     store was unavailable or restored; these entries are kept for a while
   */
  applySnapshot({entries}: StoreSnapshot, mayLackEntries = false): void {
    const before = [...this.addresses];
    this.addresses.clear();
    this.missing.clear();
    this.layoutLeaseExists = false;
    this.applyChanges(entries);
    clearTimeout(this.graceTimer);
    if (mayLackEntries) this.keepMissing(before);
  }

  private keepMissing(before: Iterable<[string, PeerAddress]>): void {
    for (const [key, address] of before) {
      if (this.addresses.has(key)) continue;
      this.addresses.set(key, address);
      this.missing.add(key);
    }
    if (this.missing.size === 0) return;
    this.graceTimer = setTimeout(
      () => this.dropMissing(),
      MISSING_ENTRY_GRACE_MS,
    );
    this.graceTimer.unref();
  }

  private dropMissing(): void {
    for (const key of this.missing) this.addresses.delete(key);
    this.missing.clear();
    this.options.onExpiry();
  }

  applyChanges(changes: readonly StoreChange[]): void {
    for (const {key, value} of changes) {
      if (key === LAYOUT_LEASE_KEY)
        this.layoutLeaseExists = value !== undefined;
      if (!key.startsWith(ENTRIES_PREFIX)) continue;
      this.missing.delete(key);
      if (value === undefined) this.removeAddress(key);
      else this.setAddress(key, value);
    }
  }

  /** Other writers may have stored something else than an address. */
  private setAddress(key: string, value: string): void {
    if (!isSocketAddress(value)) {
      this.addresses.delete(key);
      this.unreadable.report(key, {step: 'address'}, this.options.nowMs());
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
  private async renewRegistration(): Promise<void> {
    const {isRestored} = this;
    this.isRenewing = true;
    this.isRestored = false;
    const {onRenewal = () => {}} = this.options;
    const slowTimer = setTimeout(() => onRenewal(false), RENEWAL_RESPONSE_MS);
    slowTimer.unref();
    try {
      const isLeaseAlive =
        this.lease && (await this.options.keyValue.keepLeaseAlive(this.lease));
      if (!isLeaseAlive) await this.register();
      onRenewal(true);
    } catch (error) {
      onRenewal(false);
      this.options.logger.warn(
        'entry registration could not be renewed; retrying',
        {
          step: 'register',
          cause: String(error),
        },
      );
    }
    clearTimeout(slowTimer);
    this.isRenewing = false;
    if (isRestored && !this.lease) this.isRestored = true;
    this.scheduleRenewal();
  }

  private scheduleRenewal(): void {
    if (this.isStopped) return;
    const intervalMs = this.options.isRelay?.()
      ? RELAY_RENEWAL_INTERVAL_MS
      : REGISTRATION_RENEWAL_INTERVAL_MS;
    const delayMs = this.isRestored
      ? Math.random() * RESTORE_SPREAD_MS
      : intervalMs;
    this.timer = setTimeout(() => void this.renewRegistration(), delayMs);
    this.timer.unref();
  }

  private async register(): Promise<void> {
    const {address} = this;
    const {node, availabilityZone} = this.options;
    const key = entryKey(node, availabilityZone);
    this.lease = undefined;
    const lease = await this.options.keyValue.grantLease(REGISTRATION_TTL_MS);
    const current = await this.options.keyValue.get(key);
    const outcome = await this.options.keyValue.compareAndSwap(
      key,
      address,
      current?.revision ?? 0,
      lease,
    );
    if (outcome.kind === 'written') this.lease = lease;
    this.options.logger.info('entry registered', {
      address,
      outcome: outcome.kind,
    });
  }
}

/**
 * Key of an entry's registration. Entries of earlier releases give no zone, and
 * read the keys with one like their own.
 */
function entryKey(node: string, availabilityZone: string | undefined): string {
  const zone = availabilityZone && `${encodeURIComponent(availabilityZone)}/`;
  return `${ENTRIES_PREFIX}${zone ?? ''}${node}`;
}

function zoneOf(key: string): string | undefined {
  const name = key.slice(ENTRIES_PREFIX.length);
  const end = name.indexOf('/');
  if (end < 0) return undefined;
  try {
    return decodeURIComponent(name.slice(0, end));
  } catch {
    return name.slice(0, end);
  }
}
