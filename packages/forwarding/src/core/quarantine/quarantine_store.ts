/**
 * Keeps long blocks of requests and prompt parts in the store, so that entries
 * which all restart at once do not try them again. A block ends with its lease.
 */
import type {KeyValueService, Logger} from '@azurecrank/core';
import type {StoreChange, StoreSnapshot} from '../adapter/platform_adapter.js';
import {UnreadableEntries} from '../adapter/unreadable_entries.js';
import {ENTRY_STORE_PREFIX} from '../peers/entry_directory.js';
import type {RequestQuarantine} from './request_quarantine.js';
import type {SuspectKey} from './suspect_key.js';

const BLOCKS_PREFIX = `${ENTRY_STORE_PREFIX}quarantine/`;

/** Interval at which new blocks are written. */
const WRITE_INTERVAL_MS = 500;

/**
 * Span for each entry within which one of them writes a block; the others see
 * it before their turn.
 */
const WRITE_SPREAD_PER_ENTRY_MS = 500;

/** Longest span; most blocks must be written well before they end. */
const MAX_WRITE_SPREAD_MS = 10_000;

/** Shortest and longest time to live of a lease (users' protocol). */
const MIN_LEASE_TTL_MS = 1000;
const MAX_LEASE_TTL_MS = 10 * 60_000;

/** Maximum length of a key (users' protocol). */
const MAX_KEY_CHARS = 200;

export interface QuarantineStoreOptions {
  readonly keyValue: KeyValueService;
  readonly quarantine: RequestQuarantine;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Number of entries that may write the same block. */
  readonly entryCount: () => number;
}

interface StoredBlock {
  /** The end of the block as it is stored, Unix time in milliseconds. */
  readonly value: string;
  readonly untilMs: number;
}

export class QuarantineStore implements Disposable {
  /** Blocks that the store lists. */
  private readonly stored = new Map<SuspectKey, StoredBlock>();
  /** Blocks that were removed; a restore of the store may bring them back. */
  private readonly removed = new Map<SuspectKey, StoredBlock>();
  /** Blocks that a restore of the store has lost; they are written again. */
  private readonly lost = new Map<SuspectKey, number>();
  /** Blocks to be written, with the time at which it is this entry's turn. */
  private readonly dueAtMs = new Map<SuspectKey, number>();
  private readonly unreadable: UnreadableEntries;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: QuarantineStoreOptions) {
    this.unreadable = new UnreadableEntries(
      options.logger,
      'block of a suspect is unreadable; ignored',
    );
  }

  start(): void {
    this.timer = setInterval(() => this.writeDueBlocks(), WRITE_INTERVAL_MS);
    this.timer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  /** @param afterRestore whether the store was restored before this reading */
  applySnapshot({entries}: StoreSnapshot, afterRestore = false): void {
    if (afterRestore) {
      for (const [suspect, {untilMs}] of this.stored)
        this.lost.set(suspect, untilMs);
    }
    this.stored.clear();
    this.applyChanges(entries);
    if (afterRestore) this.removeRestored();
  }

  applyChanges(changes: readonly StoreChange[]): void {
    for (const change of changes) {
      if (change.key.startsWith(BLOCKS_PREFIX)) this.applyChange(change);
    }
    this.updateQuarantine();
  }

  /** Skips what other writers may have stored under the prefix. */
  private applyChange({key, value}: StoreChange): void {
    const {nowMs} = this.options;
    const suspect = suspectOf(key);
    const untilUnixMs = Number(value);
    if (suspect !== undefined && value === undefined)
      this.recordRemoval(suspect);
    if (value === undefined) return this.unreadable.clear(key);
    if (suspect === undefined || !Number.isFinite(untilUnixMs)) {
      if (suspect !== undefined) this.stored.delete(suspect);
      return this.unreadable.report(key, {step: 'quarantine'}, nowMs());
    }
    const leftMs = Math.min(MAX_LEASE_TTL_MS, untilUnixMs - Date.now());
    this.stored.set(suspect, {value, untilMs: nowMs() + leftMs});
    this.lost.delete(suspect);
    this.unreadable.clear(key);
  }

  private recordRemoval(suspect: SuspectKey): void {
    const block = this.stored.get(suspect);
    if (block) this.removed.set(suspect, block);
    this.stored.delete(suspect);
  }

  private updateQuarantine(): void {
    const blocks = new Map(this.lost);
    for (const [suspect, {untilMs}] of this.stored)
      blocks.set(suspect, untilMs);
    const {quarantine, nowMs} = this.options;
    quarantine.setStoredBlocks(blocks, nowMs());
  }

  /** Removes the blocks that a restore of the store has brought back. */
  private removeRestored(): void {
    for (const [suspect, {value}] of this.removed) {
      if (this.stored.get(suspect)?.value !== value) continue;
      this.removeBlock(suspect);
      this.stored.delete(suspect);
    }
    this.updateQuarantine();
  }

  /** Removes the block of what a server has answered. */
  removeBlock(suspect: SuspectKey): void {
    this.lost.delete(suspect);
    if (!this.stored.has(suspect)) return;
    const {keyValue, logger} = this.options;
    const key = keyOf(suspect);
    keyValue
      .get(key)
      .then(entry => entry && keyValue.remove(key, entry.revision))
      .catch(error => {
        logger.warn('block of a suspect could not be removed; it expires', {
          suspect,
          cause: String(error),
        });
      });
  }

  private writeDueBlocks(): void {
    const {quarantine, nowMs, entryCount} = this.options;
    const now = nowMs();
    for (const [suspect, untilMs] of this.lost) {
      if (untilMs <= now) this.lost.delete(suspect);
    }
    for (const [suspect, {untilMs}] of this.removed) {
      if (untilMs <= now) this.removed.delete(suspect);
    }
    const blocks = new Map([...this.lost, ...quarantine.longBlocks(now)]);
    for (const suspect of this.dueAtMs.keys()) {
      if (!blocks.has(suspect)) this.dueAtMs.delete(suspect);
    }
    for (const [suspect, untilMs] of blocks) {
      if (this.stored.has(suspect) || keyOf(suspect).length > MAX_KEY_CHARS)
        continue;
      const spreadMs = Math.min(
        entryCount() * WRITE_SPREAD_PER_ENTRY_MS,
        MAX_WRITE_SPREAD_MS,
      );
      const dueAtMs =
        this.dueAtMs.get(suspect) ?? now + Math.random() * spreadMs;
      this.dueAtMs.set(suspect, dueAtMs);
      if (now < dueAtMs) continue;
      this.dueAtMs.set(suspect, now + spreadMs);
      void this.writeBlock(suspect, untilMs - now);
    }
  }

  private async writeBlock(suspect: SuspectKey, leftMs: number): Promise<void> {
    const {keyValue, logger} = this.options;
    const ttlMs = Math.min(
      MAX_LEASE_TTL_MS,
      Math.max(MIN_LEASE_TTL_MS, Math.round(leftMs)),
    );
    try {
      const value = String(Math.round(Date.now() + leftMs));
      const lease = await keyValue.grantLease(ttlMs);
      const outcome = await keyValue.compareAndSwap(
        keyOf(suspect),
        value,
        0,
        lease,
      );
      logger.info('block of a suspect stored', {
        suspect,
        ttlMs,
        outcome: outcome.kind,
      });
    } catch (error) {
      logger.warn('block of a suspect could not be stored; retrying', {
        suspect,
        cause: String(error),
      });
    }
  }
}

function keyOf(suspect: SuspectKey): string {
  return BLOCKS_PREFIX + encodeURIComponent(suspect);
}

/** Returns undefined for a key that `keyOf` does not return. */
function suspectOf(key: string): SuspectKey | undefined {
  try {
    return decodeURIComponent(key.slice(BLOCKS_PREFIX.length)) as SuspectKey;
  } catch {
    // The only error is an invalid escape sequence; the caller logs the key.
    return undefined;
  }
}
