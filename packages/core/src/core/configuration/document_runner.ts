/** Watches or polls the key-value service on behalf of a `DocumentFollower`. */
import type {
  KeyValueEntry,
  KeyValueService,
} from '../platform/key_value_service.js';
import type {DocumentKind} from '../wire/messages.js';
import {
  DOCUMENT_KEYS,
  DOCUMENT_KINDS,
  type DocumentFollower,
} from './document_follower.js';
import {LONELY_AFTER_MS} from './watcher_election.js';

export interface RunnerTimes {
  /** Longest time of one watch call. */
  readonly watchMs: number;
  /** Mean time between polls of a process that does not watch. */
  readonly pollMs: number;
  /** Time after which a process without contact watches by itself. */
  readonly lonelyAfterMs: number;
  readonly leastBackOffMs: number;
  readonly mostBackOffMs: number;
}

export const DEFAULT_RUNNER_TIMES: RunnerTimes = {
  // A silent connection shows only after a watch and its grace time, and the
  // next call waits up to 1.5 times the back-off: 1.5 + 0.5 + 1.5 s stays below
  // the 4 s in which a configuration has to be in force.
  watchMs: 1500,
  pollMs: 30_000,
  lonelyAfterMs: LONELY_AFTER_MS,
  leastBackOffMs: 200,
  mostBackOffMs: 1000,
};

/**
 * A poll is a watch this short: unlike a read, it transfers the value only if
 * it has changed. Reading 460 KB every 30 s would take 15 KB/s, more than a
 * node's whole control budget.
 */
const POLL_WATCH_MS = 1;

/** How often a polling process checks whether it has to watch instead. */
const ROLE_CHECK_MS = 500;

export interface RunnerHooks {
  isElected(): boolean;
  /** Returns whether the held document is the offered one. */
  offer(what: DocumentKind, json: string): boolean;
  nowMs(): number;
  /** Called after each call to the service, with its error if it failed. */
  onCall?(what: DocumentKind, error?: unknown): void;
}

/** What the service answered last. */
interface Seen {
  /** Revision of the key, 0 if it is absent. */
  readonly revision: number;
  /** Whether the process holds exactly that value. */
  readonly isHeld: boolean;
}

export class DocumentRunner implements Disposable {
  private readonly abort = new AbortController();

  constructor(
    private readonly keyValue: KeyValueService,
    private readonly follower: DocumentFollower,
    private readonly hooks: RunnerHooks,
    private readonly times: RunnerTimes = DEFAULT_RUNNER_TIMES,
  ) {}

  start(): void {
    for (const what of DOCUMENT_KINDS) void this.follow(what);
  }

  [Symbol.dispose](): void {
    this.abort.abort();
  }

  private get stopped(): boolean {
    return this.abort.signal.aborted;
  }

  private shouldWatch(): boolean {
    const nowMs = this.hooks.nowMs();
    const isLonely =
      this.follower.contactAgeMs(nowMs) >= this.times.lonelyAfterMs;
    return isLonely || this.hooks.isElected();
  }

  private async follow(what: DocumentKind): Promise<void> {
    let seen: Seen | undefined;
    let backOffMs = this.times.leastBackOffMs;
    while (!this.stopped) {
      try {
        const watching = seen !== undefined && this.shouldWatch();
        seen = await this.callOnce(what, seen, watching);
        this.hooks.onCall?.(what);
        backOffMs = this.times.leastBackOffMs;
        if (!watching) await this.waitForPoll();
      } catch (error) {
        if (this.stopped) return;
        this.hooks.onCall?.(what, error);
        await this.sleep(backOffMs * (0.5 + Math.random()));
        backOffMs = Math.min(backOffMs * 2, this.times.mostBackOffMs);
      }
    }
  }

  private async callOnce(
    what: DocumentKind,
    seen: Seen | undefined,
    watching: boolean,
  ): Promise<Seen> {
    const key = DOCUMENT_KEYS[what];
    if (!seen) return this.take(what, await this.keyValue.get(key));
    return watching ? this.watchOnce(what, seen) : this.pollOnce(what, seen);
  }

  /**
   * A removed key looks like an unchanged one here. That is harmless, because
   * a removal changes nothing in force and the next write is seen.
   */
  private async pollOnce(what: DocumentKind, seen: Seen): Promise<Seen> {
    const entry = await this.keyValue.watch(
      DOCUMENT_KEYS[what],
      seen.revision,
      POLL_WATCH_MS,
      this.abort.signal,
    );
    if (entry) return this.take(what, entry);
    this.confirm(what, seen.isHeld);
    return seen;
  }

  private async watchOnce(what: DocumentKind, seen: Seen): Promise<Seen> {
    const {watchMs, leastBackOffMs} = this.times;
    const startMs = this.hooks.nowMs();
    const key = DOCUMENT_KEYS[what];
    const {signal} = this.abort;
    const entry = await this.keyValue.watch(
      key,
      seen.revision,
      watchMs,
      signal,
    );
    if (entry) return this.take(what, entry);
    if (this.hooks.nowMs() - startMs >= watchMs / 2) {
      this.confirm(what, seen.isHeld);
      return seen;
    }
    // An early empty answer means that the key was removed. The wait keeps a
    // service that always answers early from being called without pause.
    await this.sleep(leastBackOffMs);
    return this.take(what, undefined);
  }

  private take(what: DocumentKind, entry: KeyValueEntry | undefined): Seen {
    if (this.stopped) return {revision: 0, isHeld: false};
    if (entry) {
      const isHeld = this.hooks.offer(what, entry.value);
      return {revision: entry.revision, isHeld};
    }
    const isHeld = this.follower.version(what) === 0;
    this.confirm(what, isHeld);
    return {revision: 0, isHeld};
  }

  private confirm(what: DocumentKind, isHeld: boolean): void {
    const nowMs = this.hooks.nowMs();
    if (isHeld) this.follower.confirm(what, nowMs);
    else this.follower.recordContact(nowMs);
  }

  /** Ends early when this process has to watch. */
  private async waitForPoll(): Promise<void> {
    const waitMs = this.times.pollMs * (0.75 + Math.random() / 2);
    const endMs = this.hooks.nowMs() + waitMs;
    while (!this.stopped && this.hooks.nowMs() < endMs) {
      if (this.shouldWatch()) return;
      const leftMs = endMs - this.hooks.nowMs();
      await this.sleep(Math.max(1, Math.min(ROLE_CHECK_MS, leftMs)));
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
