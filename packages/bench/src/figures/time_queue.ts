/** Events of a simulation in the order of their times. */
export type SimulatedEvent = (nowMs: number) => void;

interface Entry {
  readonly atMs: number;
  /** Keeps events of the same time in the order in which they were added. */
  readonly order: number;
  readonly run: SimulatedEvent;
}

/** Binary heap. */
export class TimeQueue {
  private readonly heap: Entry[] = [];
  private added = 0;

  add(atMs: number, run: SimulatedEvent): void {
    this.heap.push({atMs, order: this.added++, run});
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  /** Runs all events up to and including `untilMs`. */
  run(untilMs: number): void {
    while (this.heap.length > 0 && this.heap[0].atMs <= untilMs) {
      const next = this.heap[0];
      const last = this.heap.pop()!;
      if (this.heap.length > 0) {
        this.heap[0] = last;
        this.sink();
      }
      next.run(next.atMs);
    }
  }

  private sink(): void {
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.heap.length && this.isBefore(child, least)) {
          least = child;
        }
      }
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const [left, right] = [this.heap[a], this.heap[b]];
    return (left.atMs - right.atMs || left.order - right.order) < 0;
  }

  private swap(a: number, b: number): void {
    [this.heap[a], this.heap[b]] = [this.heap[b], this.heap[a]];
  }
}
