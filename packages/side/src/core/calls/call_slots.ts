/** Bounded number of calls in flight, with a bounded queue ordered by rank. */
import {
  RANKS,
  rankIndex,
  type Rank,
  type RefusalReason,
} from '@azurecrank/core';

export type SlotAnswer =
  | {readonly kind: 'granted'}
  | {readonly kind: 'refused'; readonly reason: RefusalReason};

interface Waiter {
  readonly rank: Rank;
  settle(answer: SlotAnswer): void;
}

/** Handle of a call that waits for or holds a slot. */
export interface SlotTicket {
  readonly granted: Promise<SlotAnswer>;
  /** Leaves the queue with this reason; no effect once granted. */
  withdraw(reason: RefusalReason): void;
}

export class CallSlots {
  private readonly queues: Waiter[][] = RANKS.map(() => []);
  private inUse = 0;

  constructor(
    private readonly limit: number,
    private readonly maxWaiting: number,
  ) {}

  get running(): number {
    return this.inUse;
  }

  get waiting(): number {
    return this.queues.reduce((sum, queue) => sum + queue.length, 0);
  }

  /** Each granted slot must be given back with `release`. */
  enter(rank: Rank): SlotTicket {
    if (this.inUse < this.limit) {
      this.inUse++;
      return settledTicket({kind: 'granted'});
    }
    if (this.waiting >= this.maxWaiting && !this.shedBelow(rank)) {
      return settledTicket({kind: 'refused', reason: 'queue_full'});
    }
    return this.enqueue(rank);
  }

  release(): void {
    const queue = this.queues.find(waiters => waiters.length > 0);
    const next = queue?.shift();
    if (next) next.settle({kind: 'granted'});
    else this.inUse--;
  }

  private enqueue(rank: Rank): SlotTicket {
    const queue = this.queues[rankIndex(rank)];
    let settle: Waiter['settle'] = () => {};
    const granted = new Promise<SlotAnswer>(resolve => {
      settle = resolve;
    });
    const waiter = {rank, settle};
    queue.push(waiter);
    const withdraw = (reason: RefusalReason) => {
      const index = queue.indexOf(waiter);
      if (index < 0) return;
      queue.splice(index, 1);
      settle({kind: 'refused', reason});
    };
    return {granted, withdraw};
  }

  /** Drops the newest call of the lowest rank if that is below `rank`. */
  private shedBelow(rank: Rank): boolean {
    for (let index = RANKS.length - 1; index > rankIndex(rank); index--) {
      const dropped = this.queues[index].pop();
      if (!dropped) continue;
      dropped.settle({kind: 'refused', reason: 'shed_for_higher_rank'});
      return true;
    }
    return false;
  }
}

function settledTicket(answer: SlotAnswer): SlotTicket {
  return {granted: Promise.resolve(answer), withdraw: () => {}};
}
