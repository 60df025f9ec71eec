/**
 * Reads the configuration and the plan from the key-value service: elected or
 * isolated processes watch it, the others poll it at long intervals.
 */
import type {
  KeyValueEntry,
  KeyValueService,
} from '../platform/key_value_service.js';
import type {DocumentKind} from '../wire/messages.js';
import {
  DOCUMENT_KEYS,
  DOCUMENT_KINDS,
  type DocumentStore,
} from './document_store.js';
import {ISOLATED_AFTER_MS} from './watcher_election.js';

export interface WatcherTimes {
  /** Timeout of one watch call. */
  readonly watchMs: number;
  /** Mean interval between polls of a process that does not watch. */
  readonly pollMs: number;
  /** Time without contact after which a process watches without election. */
  readonly lonelyAfterMs: number;
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
}

export const DEFAULT_WATCHER_TIMES: WatcherTimes = {
  // A silent connection is detected only after the watch timeout and its grace
  // period, and the next call waits up to 1.5 times the backoff:
  // 1.5 + 0.5 + 1.5 s stays below the 4 s within which a configuration has to
  // be in force.
  watchMs: 1500,
  pollMs: 30_000,
  lonelyAfterMs: ISOLATED_AFTER_MS,
  minBackoffMs: 200,
  maxBackoffMs: 1000,
};

/**
 * A poll is a watch with this short timeout: unlike a read, it transfers the
 * value only if it has changed. Reading 460 KB every 30 s would take 15 KB/s,
 * more than the traffic budget of a process for all control messages.
 */
const POLL_WATCH_TIMEOUT_MS = 1;

/** Interval at which a polling process checks whether it has to watch. */
const ELECTION_CHECK_INTERVAL_MS = 500;

/** Jitter spreads the backoff over 0.5 to 1.5 times its nominal value. */
const MIN_BACKOFF_FACTOR = 0.5;

/** Jitter spreads the poll interval over 0.75 to 1.25 times its mean. */
const MIN_POLL_FACTOR = 0.75;

export interface WatcherHooks {
  /** Whether this process is one of the elected watchers of its zone. */
  isElected(): boolean;
  /**
   * Passes on a document that was read.
   * @returns whether the process now holds exactly this document.
   */
  offer(kind: DocumentKind, json: string): boolean;
  nowMs(): number;
  /** Called after each call to the key-value service, with its error if any. */
  onCall?(kind: DocumentKind, error?: unknown): void;
}

/** Last answer of the key-value service about one document. */
interface LastAnswer {
  /** Revision of the key; 0 if the key is absent. */
  readonly revision: number;
  /** Whether the process holds exactly the stored value. */
  readonly isHeld: boolean;
}

export class DocumentWatcher implements Disposable {
  private readonly abort = new AbortController();

  constructor(
    private readonly keyValue: KeyValueService,
    private readonly store: DocumentStore,
    private readonly hooks: WatcherHooks,
    private readonly times: WatcherTimes = DEFAULT_WATCHER_TIMES,
  ) {}

  start(): void {
    for (const kind of DOCUMENT_KINDS) void this.followDocument(kind);
  }

  [Symbol.dispose](): void {
    this.abort.abort();
  }

  private get stopped(): boolean {
    return this.abort.signal.aborted;
  }

  private shouldWatch(): boolean {
    const nowMs = this.hooks.nowMs();
    const isIsolated =
      this.store.contactAgeMs(nowMs) >= this.times.lonelyAfterMs;
    return isIsolated || this.hooks.isElected();
  }

  private async followDocument(kind: DocumentKind): Promise<void> {
    let last: LastAnswer | undefined;
    let backoffMs = this.times.minBackoffMs;
    while (!this.stopped) {
      try {
        const isWatching = last !== undefined && this.shouldWatch();
        last = await this.callOnce(kind, last, isWatching);
        this.hooks.onCall?.(kind);
        backoffMs = this.times.minBackoffMs;
        if (!isWatching) await this.waitForPoll();
      } catch (error) {
        if (this.stopped) return;
        this.hooks.onCall?.(kind, error);
        await this.sleep(backoffMs * (MIN_BACKOFF_FACTOR + Math.random()));
        backoffMs = Math.min(backoffMs * 2, this.times.maxBackoffMs);
      }
    }
  }

  private async callOnce(
    kind: DocumentKind,
    last: LastAnswer | undefined,
    isWatching: boolean,
  ): Promise<LastAnswer> {
    const key = DOCUMENT_KEYS[kind];
    if (!last) return this.processEntry(kind, await this.keyValue.get(key));
    return isWatching ? this.watchOnce(kind, last) : this.pollOnce(kind, last);
  }

  /**
   * A poll cannot tell a removed key from an unchanged one. This is harmless:
   * a removal does not change the document in force, and the next write is
   * seen.
   */
  private async pollOnce(
    kind: DocumentKind,
    last: LastAnswer,
  ): Promise<LastAnswer> {
    const entry = await this.keyValue.watch(
      DOCUMENT_KEYS[kind],
      last.revision,
      POLL_WATCH_TIMEOUT_MS,
      this.abort.signal,
    );
    if (entry) return this.processEntry(kind, entry);
    this.recordAnswer(kind, last.isHeld);
    return last;
  }

  private async watchOnce(
    kind: DocumentKind,
    last: LastAnswer,
  ): Promise<LastAnswer> {
    const {watchMs, minBackoffMs} = this.times;
    const startMs = this.hooks.nowMs();
    const key = DOCUMENT_KEYS[kind];
    const {signal} = this.abort;
    const entry = await this.keyValue.watch(
      key,
      last.revision,
      watchMs,
      signal,
    );
    if (entry) return this.processEntry(kind, entry);
    if (this.hooks.nowMs() - startMs >= watchMs / 2) {
      this.recordAnswer(kind, last.isHeld);
      return last;
    }
    // An empty answer before the timeout means that the key was removed. The
    // delay avoids a busy loop if the service always answers early.
    await this.sleep(minBackoffMs);
    return this.processEntry(kind, undefined);
  }

  private processEntry(
    kind: DocumentKind,
    entry: KeyValueEntry | undefined,
  ): LastAnswer {
    if (this.stopped) return {revision: 0, isHeld: false};
    if (entry) {
      const isHeld = this.hooks.offer(kind, entry.value);
      return {revision: entry.revision, isHeld};
    }
    const isHeld = this.store.version(kind) === 0;
    this.recordAnswer(kind, isHeld);
    return {revision: 0, isHeld};
  }

  /** Records contact, or a confirmation if the held document is the stored one. */
  private recordAnswer(kind: DocumentKind, isHeld: boolean): void {
    const nowMs = this.hooks.nowMs();
    if (isHeld) this.store.recordConfirmation(kind, nowMs);
    else this.store.recordContact(nowMs);
  }

  /** Waits for the poll interval, or until this process has to watch. */
  private async waitForPoll(): Promise<void> {
    const waitMs = this.times.pollMs * (MIN_POLL_FACTOR + Math.random() / 2);
    const endMs = this.hooks.nowMs() + waitMs;
    while (!this.stopped && this.hooks.nowMs() < endMs) {
      if (this.shouldWatch()) return;
      const remainingMs = endMs - this.hooks.nowMs();
      await this.sleep(
        Math.max(1, Math.min(ELECTION_CHECK_INTERVAL_MS, remainingMs)),
      );
    }
  }

  private sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => {
      const {signal} = this.abort;
      const end = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, durationMs);
      timer.unref();
      signal.addEventListener('abort', end);
    });
  }
}
