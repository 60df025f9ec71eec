/**
 * Logs entries of the store that cannot be used. Their writer may write them
 * anew with each heartbeat, or under ever new keys, so each is logged once until
 * it is usable, and only so many within a time. Times are arguments.
 */
import type {Logger, LogFields} from '@azurecrank/core';

/** Warnings within `WINDOW_MS`; the next one states how many were left out. */
const MAX_WARNINGS = 10;
const WINDOW_MS = 60_000;

/** Bounds the memory; beyond it, an entry may be logged again. */
const MAX_REMEMBERED_KEYS = 1000;

/** Maximum length of a key in the log. */
const MAX_LOGGED_KEY_CHARS = 200;

export class UnreadableEntries {
  private readonly logged = new Set<string>();
  private windowBeganAtMs = -Infinity;
  private warnings = 0;
  private leftOut = 0;

  /** @param message states what happens to the entry */
  constructor(
    private readonly logger: Logger,
    private readonly message: string,
  ) {}

  /** Logs the entry unless it was logged since it was last usable. */
  report(key: string, fields: LogFields, nowMs: number): void {
    if (this.logged.has(key)) return;
    if (this.logged.size >= MAX_REMEMBERED_KEYS) this.logged.clear();
    this.logged.add(key);
    if (nowMs - this.windowBeganAtMs >= WINDOW_MS) {
      this.windowBeganAtMs = nowMs;
      this.warnings = 0;
    }
    if (this.warnings >= MAX_WARNINGS) {
      this.leftOut++;
      return;
    }
    this.warnings++;
    this.logger.warn(this.message, {
      key: key.slice(0, MAX_LOGGED_KEY_CHARS),
      ...fields,
      ...(this.leftOut > 0 && {leftOut: this.leftOut}),
    });
    this.leftOut = 0;
  }

  /** Records that the entry is usable or was removed. */
  clear(key: string): void {
    this.logged.delete(key);
  }
}
