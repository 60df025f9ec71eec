/**
 * Reads a prefix of the store and watches it for changes. A watch that is cut
 * goes on from the same revision. All of the prefix is read again after an
 * outage of the store, and when the store has lost the history.
 */
import type {Logger} from '@azurecrank/core';
import type {
  PrefixStore,
  StoreChange,
  StoreSnapshot,
} from '../adapter/platform_adapter.js';
import type {StoreContact} from './store_contact.js';

/** What has happened to the store since the last reading of a prefix. */
export interface ReadingContext {
  /** Whether the store was unavailable for so long that entries expired. */
  readonly afterOutage: boolean;
  /** Whether the store was restored from an older copy. */
  readonly afterRestore: boolean;
}

export interface PrefixWatcherOptions {
  readonly prefix: string;
  /**
   * How long the store holds a watch open without changes. A connection that
   * has fallen silent is noticed only after this time.
   */
  readonly watchMs: number;
  /** Delay of the next watch after a change, to fetch later changes in one. */
  readonly batchDelayMs: number;
  readonly store: PrefixStore;
  /** Shared by all watchers of this store. */
  readonly contact: StoreContact;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onSnapshot: (
    snapshot: StoreSnapshot,
    context: ReadingContext,
  ) => void;
  readonly onChanges: (changes: readonly StoreChange[]) => void;
}

const MIN_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 600;

/** Lowest jitter factor on the backoff; the highest is 1 more. */
const MIN_JITTER_FACTOR = 0.5;

export class PrefixWatcher implements Disposable {
  private readonly abortController = new AbortController();
  private isFailing = false;
  private lastResponseAtMs = -Infinity;
  private lastEra: number | undefined;
  /** Whether the last call failed without having waited. */
  private hasFailedAtOnce = false;
  /** Whether entries may be missing only because the store was away. */
  private mayLackExpired = false;

  constructor(private readonly options: PrefixWatcherOptions) {}

  /** Whether the last call to the store succeeded. */
  get isConnected(): boolean {
    return !this.isFailing && this.lastResponseAtMs > -Infinity;
  }

  start(): void {
    void this.run();
  }

  [Symbol.dispose](): void {
    this.abortController.abort();
  }

  private async run(): Promise<void> {
    const {nowMs} = this.options;
    let revision: number | undefined;
    let backoffMs = MIN_BACKOFF_MS;
    while (!this.abortController.signal.aborted) {
      const beganAtMs = nowMs();
      try {
        revision =
          revision === undefined
            ? await this.read()
            : await this.watch(revision);
        backoffMs = MIN_BACKOFF_MS;
      } catch (error) {
        if (this.abortController.signal.aborted) return;
        const waitedMs = nowMs() - beganAtMs;
        revision = this.handleFailure(error, revision, waitedMs);
        if (!this.hasFailedAtOnce) backoffMs = MIN_BACKOFF_MS;
        await this.sleep(backoffMs * (MIN_JITTER_FACTOR + Math.random()));
        backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
      }
    }
  }

  /**
   * Returns the revision from which the watch goes on. While the store answers
   * other calls, only a connection has failed and the watch misses nothing.
   */
  private handleFailure(
    error: unknown,
    revision: number | undefined,
    waitedMs: number,
  ): number | undefined {
    const {contact, logger, prefix} = this.options;
    contact.recordFailure();
    const failsAtOnce = waitedMs < MAX_BACKOFF_MS;
    const isCut =
      revision !== undefined && !(failsAtOnce && this.hasFailedAtOnce);
    this.hasFailedAtOnce = failsAtOnce;
    const mayLackExpired = this.updateMayLackExpired();
    if (isCut && !mayLackExpired) {
      logger.info('watch was cut; going on with it', {
        prefix,
        cause: String(error),
        waitedMs: Math.round(waitedMs),
      });
    } else this.recordFailure(error);
    // A watch may miss registrations that expired during the outage.
    return mayLackExpired ? undefined : revision;
  }

  private updateMayLackExpired(): boolean {
    const {contact, nowMs} = this.options;
    this.mayLackExpired ||= contact.mayHaveExpiredSince(
      this.lastResponseAtMs,
      nowMs(),
    );
    return this.mayLackExpired;
  }

  private async read(): Promise<number> {
    const {store, prefix, onSnapshot} = this.options;
    const snapshot = await store.scan(prefix);
    if (this.abortController.signal.aborted) return snapshot.revision;
    const afterOutage = this.isFailing || this.updateMayLackExpired();
    this.mayLackExpired = false;
    this.recordResponse();
    const {era} = snapshot;
    const afterRestore = this.lastEra !== undefined && this.lastEra !== era;
    this.lastEra = era;
    onSnapshot(snapshot, {afterOutage, afterRestore});
    return snapshot.revision;
  }

  private async watch(revision: number): Promise<number | undefined> {
    const {store, prefix, watchMs, onChanges} = this.options;
    const {signal} = this.abortController;
    const outcome = await store.watchPrefix(prefix, revision, watchMs, signal);
    if (signal.aborted) return revision;
    const mayLackExpired = this.updateMayLackExpired();
    this.recordResponse();
    if (outcome.kind === 'history_lost') {
      this.options.logger.warn(
        'watch history is lost; reading the whole prefix again',
        {prefix},
      );
      return undefined;
    }
    const isRemoved = outcome.changes.some(({value}) => value === undefined);
    if (mayLackExpired && isRemoved) return undefined;
    this.mayLackExpired = false;
    if (outcome.changes.length > 0) {
      onChanges(outcome.changes);
      await this.sleep(this.options.batchDelayMs);
    }
    return outcome.revision;
  }

  private recordResponse(): void {
    const {logger, prefix, nowMs} = this.options;
    if (this.isFailing) logger.info('store is back', {prefix});
    this.isFailing = false;
    this.hasFailedAtOnce = false;
    this.lastResponseAtMs = nowMs();
    this.options.contact.recordResponse(this.lastResponseAtMs);
  }

  private recordFailure(error: unknown): void {
    const {logger, prefix, nowMs} = this.options;
    if (this.isFailing) return;
    this.isFailing = true;
    const ageMs = Math.round(nowMs() - this.lastResponseAtMs);
    logger.warn('store is lost', {prefix, cause: String(error), ageMs});
  }

  private sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => {
      setTimeout(resolve, durationMs).unref();
    });
  }
}
