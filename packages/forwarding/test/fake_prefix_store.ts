/** A store with one prefix, of which each entry has a client. */
import {
  PrefixStore,
  type StoreChange,
  type StoreSnapshot,
  type WatchOutcome,
} from '@azurecrank/forwarding';

export class FakeStore {
  era = 1;
  revision = 10;
  calls = 0;
  readonly values = new Map([['servers/a', '1']]);
  private readonly changes: Array<StoreChange & {revision: number}> = [];
  private readonly wakers = new Set<() => void>();

  put(key: string, value: string | undefined): void {
    this.revision++;
    if (value === undefined) this.values.delete(key);
    else this.values.set(key, value);
    this.changes.push({key, value, revision: this.revision});
    const wakers = [...this.wakers];
    this.wakers.clear();
    for (const wake of wakers) wake();
  }

  async waitForChange(afterRevision: number): Promise<void> {
    if (this.revision > afterRevision) return;
    await new Promise<void>(resolve => this.wakers.add(resolve));
  }

  changesAfter(revision: number): StoreChange[] {
    return this.changes
      .filter(change => change.revision > revision)
      .map(({key, value}) => ({key, value}));
  }
}

export class StoreClient extends PrefixStore {
  isCutOff = false;

  constructor(private readonly store: FakeStore) {
    super();
  }

  override async scan(): Promise<StoreSnapshot> {
    this.recordCall();
    const {values, revision, era} = this.store;
    const entries = [...values].map(([key, value]) => ({key, value}));
    return {entries, revision, era};
  }

  override async watchPrefix(
    _prefix: string,
    afterRevision: number,
  ): Promise<WatchOutcome> {
    this.recordCall();
    await this.store.waitForChange(afterRevision);
    // A connection that is cut off hangs.
    if (this.isCutOff) await new Promise(() => {});
    const changes = this.store.changesAfter(afterRevision);
    return {kind: 'changes', changes, revision: this.store.revision};
  }

  override onRestore(): Disposable {
    return {[Symbol.dispose]: () => {}};
  }

  private recordCall(): void {
    this.store.calls++;
    if (this.isCutOff) throw new Error('cut off');
  }
}
