/** Keeps a copy of a prefix of the store, through outages and lost history. */
import type {Logger} from '@azurecrank/core';
import type {
  PrefixStore,
  StoreChange,
  StoreSnapshot,
} from '../adapter/wire_codec.js';

export interface PrefixFollowerOptions {
  readonly prefix: string;
  /** Changes within this time after a change are fetched together. */
  readonly gatherMs: number;
  readonly store: PrefixStore;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** @param afterOutage whether the store has been away before. */
  readonly onSnapshot: (snapshot: StoreSnapshot, afterOutage: boolean) => void;
  readonly onChanges: (changes: readonly StoreChange[]) => void;
}

/**
 * Longest time of one watch. A connection that went silent shows only after
 * it, but peers pass on what matters; each watch is a priced call.
 */
const WATCH_MS = 8000;

const LEAST_BACK_OFF_MS = 150;
const MOST_BACK_OFF_MS = 600;

export class PrefixFollower implements Disposable {
  private readonly abort = new AbortController();
  private hasFailed = false;
  private lastAnswerMs = -Infinity;

  constructor(private readonly options: PrefixFollowerOptions) {}

  /** Whether the store's last answer was a good one. */
  get isConnected(): boolean {
    return !this.hasFailed && this.lastAnswerMs > -Infinity;
  }

  start(): void {
    void this.run();
  }

  [Symbol.dispose](): void {
    this.abort.abort();
  }

  private async run(): Promise<void> {
    let revision: number | undefined;
    let backOffMs = LEAST_BACK_OFF_MS;
    while (!this.abort.signal.aborted) {
      try {
        revision =
          revision === undefined
            ? await this.read()
            : await this.watch(revision);
        backOffMs = LEAST_BACK_OFF_MS;
      } catch (error) {
        if (this.abort.signal.aborted) return;
        this.noteFailure(error);
        // What lapsed during an outage is not told by a watch.
        revision = undefined;
        await this.sleep(backOffMs * (0.5 + Math.random()));
        backOffMs = Math.min(2 * backOffMs, MOST_BACK_OFF_MS);
      }
    }
  }

  private async read(): Promise<number> {
    const {store, prefix, onSnapshot} = this.options;
    const snapshot = await store.scan(prefix);
    if (this.abort.signal.aborted) return snapshot.revision;
    const afterOutage = this.hasFailed;
    this.noteAnswer();
    onSnapshot(snapshot, afterOutage);
    return snapshot.revision;
  }

  private async watch(revision: number): Promise<number | undefined> {
    const {store, prefix, onChanges} = this.options;
    const {signal} = this.abort;
    const outcome = await store.follow(prefix, revision, WATCH_MS, signal);
    if (signal.aborted) return revision;
    this.noteAnswer();
    if (outcome.kind === 'compacted') {
      this.options.logger.warn('store has lost its history', {prefix});
      return undefined;
    }
    if (outcome.changes.length > 0) {
      onChanges(outcome.changes);
      await this.sleep(this.options.gatherMs);
    }
    return outcome.revision;
  }

  private noteAnswer(): void {
    const {logger, prefix, nowMs} = this.options;
    if (this.hasFailed) logger.info('store is back', {prefix});
    this.hasFailed = false;
    this.lastAnswerMs = nowMs();
  }

  private noteFailure(error: unknown): void {
    const {logger, prefix, nowMs} = this.options;
    if (this.hasFailed) return;
    this.hasFailed = true;
    const ageMs = Math.round(nowMs() - this.lastAnswerMs);
    logger.warn('store is lost', {prefix, cause: String(error), ageMs});
  }

  private sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => {
      setTimeout(resolve, durationMs).unref();
    });
  }
}
