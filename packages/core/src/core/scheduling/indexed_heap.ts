/** Binary min-heap whose items can be removed and given a new key. */
interface Entry<T> {
  readonly item: T;
  key: number;
  /** Insertion order; breaks ties, so that results are deterministic. */
  readonly order: number;
  index: number;
}

export class IndexedHeap<T> {
  private readonly entries: Entry<T>[] = [];
  private readonly byItem = new Map<T, Entry<T>>();
  private nextOrder = 0;

  get size(): number {
    return this.entries.length;
  }

  has(item: T): boolean {
    return this.byItem.has(item);
  }

  peek(): T | undefined {
    return this.entries[0]?.item;
  }

  /** Key of the first item; infinite if the heap is empty. */
  peekKey(): number {
    return this.entries[0]?.key ?? Infinity;
  }

  items(): T[] {
    return this.entries.map(entry => entry.item);
  }

  /**
   * First item in key order for which `test` holds. Scans all items if the
   * first one does not pass.
   */
  findMin(test: (item: T) => boolean): T | undefined {
    const first = this.entries[0];
    if (!first || test(first.item)) return first?.item;
    let best: Entry<T> | undefined;
    for (const entry of this.entries) {
      if ((!best || precedes(entry, best)) && test(entry.item)) best = entry;
    }
    return best?.item;
  }

  /** Inserts the item or changes its key. */
  set(item: T, key: number): void {
    let entry = this.byItem.get(item);
    if (!entry) {
      entry = {item, key, order: this.nextOrder++, index: this.entries.length};
      this.byItem.set(item, entry);
      this.entries.push(entry);
    }
    entry.key = key;
    this.restoreOrder(entry);
  }

  delete(item: T): boolean {
    const entry = this.byItem.get(item);
    if (!entry) return false;
    this.byItem.delete(item);
    const last = this.entries.pop() as Entry<T>;
    if (last !== entry) {
      this.place(last, entry.index);
      this.restoreOrder(last);
    }
    return true;
  }

  private restoreOrder(entry: Entry<T>): void {
    this.moveUp(entry);
    this.moveDown(entry);
  }

  private moveUp(entry: Entry<T>): void {
    while (entry.index > 0) {
      const parent = this.entries[(entry.index - 1) >> 1];
      if (!precedes(entry, parent)) return;
      this.swap(entry, parent);
    }
  }

  private moveDown(entry: Entry<T>): void {
    for (;;) {
      const left = this.entries[2 * entry.index + 1];
      const right = this.entries[2 * entry.index + 2];
      const child = right && precedes(right, left) ? right : left;
      if (!child || !precedes(child, entry)) return;
      this.swap(entry, child);
    }
  }

  private swap(a: Entry<T>, b: Entry<T>): void {
    const index = a.index;
    this.place(a, b.index);
    this.place(b, index);
  }

  private place(entry: Entry<T>, index: number): void {
    this.entries[index] = entry;
    entry.index = index;
  }
}

function precedes<T>(a: Entry<T>, b: Entry<T>): boolean {
  return a.key < b.key || (a.key === b.key && a.order < b.order);
}
