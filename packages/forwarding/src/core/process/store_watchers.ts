/** Watches what the store holds: routing table, backend servers and entries. */
import {DisposableStore, type Logger} from '@azurecrank/core';
import type {
  PlatformAdapter,
  StoreChange,
  StoreSnapshot,
} from '../adapter/platform_adapter.js';
import {UnreadableEntries} from '../adapter/unreadable_entries.js';
import type {BackendServer} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import {PrefixWatcher, type ReadingContext} from '../fleet/prefix_watcher.js';
import {ENTRY_STORE_PREFIX} from '../peers/entry_directory.js';
import type {StoreContact} from '../fleet/store_contact.js';
import type {TableHolder} from '../routing/table_holder.js';

export interface StoreWatchersOptions {
  readonly adapter: PlatformAdapter;
  readonly fleet: FleetView;
  readonly contact: StoreContact;
  readonly tableHolder: TableHolder;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Called when the store was restored from an older copy. */
  readonly onRestore: () => void;
  /** Called after the servers of the fleet have changed. */
  readonly onServersChange: () => void;
  /** Called with all that entries have stored. */
  readonly onEntriesSnapshot: (
    snapshot: StoreSnapshot,
    context: ReadingContext,
  ) => void;
  /** Called with changes of what entries have stored. */
  readonly onEntriesChanges: (changes: readonly StoreChange[]) => void;
}

/**
 * Batch window for changes of the routing table. A new table must be in force
 * everywhere within 2 s.
 */
const TABLE_BATCH_MS = 100;

/**
 * Batch window for changes of the servers. A draining server must get no new
 * requests after 2 s.
 */
const SERVERS_BATCH_MS = 300;

/**
 * Batch window for changes of the entries. They are rare, and entries exchange
 * all other state directly.
 */
const ENTRIES_BATCH_MS = 1000;

/**
 * Time of a watch for the table or the servers. With the time after which the
 * store's client gives a call up, a silent connection is replaced within 3 s.
 * Shorter watches cost more, as the store charges for each call.
 */
const URGENT_WATCH_MS = 1900;

/** Time of a watch for the entries, which detect each other's failures. */
const ENTRIES_WATCH_MS = 4000;

export class StoreWatchers implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly table: PrefixWatcher;
  private readonly servers: PrefixWatcher;
  private readonly entries: PrefixWatcher;
  private readonly unreadableServers: UnreadableEntries;
  private isServerListRead = false;

  constructor(private readonly options: StoreWatchersOptions) {
    const {adapter, contact, logger, nowMs} = options;
    const {onEntriesSnapshot, onEntriesChanges} = options;
    this.unreadableServers = new UnreadableEntries(
      logger,
      'server entry is unreadable; the server is not used',
    );
    this.disposables.add(
      adapter.prefixes.onRestore(({previousEra, era}) => {
        logger.warn('store was restored from an older copy', {
          previousEra,
          era,
        });
        options.onRestore();
      }),
    );
    const common = {store: adapter.prefixes, contact, logger, nowMs};
    this.table = this.disposables.add(
      new PrefixWatcher({
        ...common,
        prefix: adapter.store.tablePrefix,
        watchMs: URGENT_WATCH_MS,
        batchDelayMs: TABLE_BATCH_MS,
        onSnapshot: ({entries}) => this.applyTableChanges(entries),
        onChanges: changes => this.applyTableChanges(changes),
      }),
    );
    this.servers = this.disposables.add(
      new PrefixWatcher({
        ...common,
        prefix: adapter.store.serversPrefix,
        watchMs: URGENT_WATCH_MS,
        batchDelayMs: SERVERS_BATCH_MS,
        onSnapshot: (snapshot, context) => this.applyServers(snapshot, context),
        onChanges: changes => this.applyServerChanges(changes),
      }),
    );
    this.entries = this.disposables.add(
      new PrefixWatcher({
        ...common,
        prefix: ENTRY_STORE_PREFIX,
        watchMs: ENTRIES_WATCH_MS,
        batchDelayMs: ENTRIES_BATCH_MS,
        onSnapshot: onEntriesSnapshot,
        onChanges: changes => onEntriesChanges(changes),
      }),
    );
  }

  /** Whether the servers have been read since the start. */
  get hasServerList(): boolean {
    return this.isServerListRead;
  }

  /** Whether the registrations of servers can be read. */
  get isConnected(): boolean {
    return this.servers.isConnected;
  }

  start(): void {
    for (const watcher of [this.table, this.servers, this.entries])
      watcher.start();
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  private applyTableChanges(changes: readonly StoreChange[]): void {
    const {adapter, tableHolder} = this.options;
    for (const {key, value} of changes) {
      if (key !== adapter.store.tableKey || value === undefined) continue;
      tableHolder.updateIfNewer(value, 'store');
    }
  }

  private applyServers(
    {entries}: StoreSnapshot,
    {afterOutage, afterRestore}: ReadingContext,
  ): void {
    const {fleet, nowMs, onServersChange} = this.options;
    const servers = entries.flatMap(entry => this.decodeServer(entry));
    if (afterRestore) fleet.recordRestore(nowMs());
    fleet.replaceAll(servers, nowMs(), afterOutage || afterRestore);
    this.isServerListRead = true;
    onServersChange();
  }

  private applyServerChanges(changes: readonly StoreChange[]): void {
    const {adapter, fleet, logger, nowMs, onServersChange} = this.options;
    for (const {key, value} of changes) {
      if (value === undefined) {
        const server = adapter.store.serverIdOf(key);
        this.unreadableServers.clear(key);
        fleet.remove(server);
        logger.info('server removed', {server});
        continue;
      }
      for (const server of this.decodeServer({key, value})) {
        fleet.put(server, nowMs());
      }
    }
    onServersChange();
  }

  /** Returns none for an unreadable entry and removes it from the fleet. */
  private decodeServer(entry: {key: string; value: string}): BackendServer[] {
    const {adapter, fleet, nowMs} = this.options;
    const {key, value} = entry;
    const decoded = adapter.store.decodeServer(key, value);
    if (decoded.kind === 'decoded') {
      this.unreadableServers.clear(key);
      return [decoded.value];
    }
    const {step, cause} = decoded;
    this.unreadableServers.report(key, {step, cause}, nowMs());
    fleet.remove(adapter.store.serverIdOf(key));
    return [];
  }
}
