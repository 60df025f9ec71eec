/**
 * Remembers what this entry has read of a prefix of the store, so that it can
 * answer others in place of the store. Pure.
 */
import type {
  StoreChange,
  StoreSnapshot,
  WatchOutcome,
} from '../adapter/platform_adapter.js';

/** Changes that are kept for watches that begin before the last one. */
const MAX_KEPT_CHANGES = 2000;

/** Changes that one watch has returned. */
interface ChangeBatch {
  readonly revision: number;
  readonly changes: readonly StoreChange[];
}

export class PrefixRecord {
  private readonly values = new Map<string, string>();
  private batches: ChangeBatch[] = [];
  /** Revision before the first kept batch. */
  private firstRevision = 0;
  private lastRevision = 0;
  private lastEra = 0;

  get revision(): number {
    return this.lastRevision;
  }

  get era(): number {
    return this.lastEra;
  }

  get entries(): StoreSnapshot['entries'] {
    return [...this.values].map(([key, value]) => ({key, value}));
  }

  reset({entries, revision, era}: StoreSnapshot): void {
    this.values.clear();
    for (const {key, value} of entries) this.values.set(key, value);
    this.batches = [];
    this.firstRevision = revision;
    this.lastRevision = revision;
    this.lastEra = era;
  }

  append(changes: readonly StoreChange[], revision: number): void {
    for (const {key, value} of changes) {
      if (value === undefined) this.values.delete(key);
      else this.values.set(key, value);
    }
    if (changes.length > 0) this.batches.push({revision, changes});
    this.lastRevision = revision;
    this.dropOldBatches();
  }

  /**
   * Returns the changes after a revision; undefined if there are none yet. A
   * batch is returned whole: its changes lead to the same state if some of them
   * are applied again.
   */
  changesAfter(revision: number): WatchOutcome | undefined {
    if (revision < this.firstRevision) return {kind: 'history_lost'};
    const changes = this.batches
      .filter(batch => batch.revision > revision)
      .flatMap(batch => batch.changes);
    if (changes.length === 0) return undefined;
    return {kind: 'changes', changes, revision: this.lastRevision};
  }

  private dropOldBatches(): void {
    let kept = this.batches.reduce((sum, b) => sum + b.changes.length, 0);
    while (kept > MAX_KEPT_CHANGES && this.batches.length > 1) {
      const [oldest, ...rest] = this.batches;
      this.batches = rest;
      this.firstRevision = oldest.revision;
      kept -= oldest.changes.length;
    }
  }
}
