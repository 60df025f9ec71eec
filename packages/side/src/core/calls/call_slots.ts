/** Limits the number of calls in flight; others wait in a queue by rank. */
import {
  RANKS,
  rankIndex,
  type Rank,
  type RefusalReason,
} from '@azurecrank/core';

export type SlotOutcome =
  | {readonly kind: 'granted'}
  | {readonly kind: 'refused'; readonly reason: RefusalReason};

interface Waiter {
  readonly rank: Rank;
  resolve(answer: SlotOutcome): void;
}

/** Request of a call for a slot. */
export interface SlotTicket {
  readonly granted: Promise<SlotOutcome>;
  /** Refuses a waiting call with this reason; no effect once granted. */
  withdraw(reason: RefusalReason): void;
}

export class CallSlots {
  private readonly queues: Waiter[][] = RANKS.map(() => []);
  private slotsInUse = 0;

  constructor(
    private readonly limit: number,
    private readonly maxWaiting: number,
  ) {}

  get running(): number {
    return this.slotsInUse;
  }

  get waiting(): number {
    return this.queues.reduce((sum, queue) => sum + queue.length, 0);
  }

  /** Requests a slot; a granted one must be returned with `release`. */
  requestSlot(rank: Rank): SlotTicket {
    if (this.slotsInUse < this.limit) {
      this.slotsInUse++;
      return resolvedTicket({kind: 'granted'});
    }
    if (this.waiting >= this.maxWaiting && !this.shedLowerRank(rank)) {
      return resolvedTicket({kind: 'refused', reason: 'queue_full'});
    }
    return this.enqueue(rank);
  }

  /** Returns a slot, which the oldest waiter of the highest rank gets. */
  release(): void {
    const queue = this.queues.find(waiters => waiters.length > 0);
    const next = queue?.shift();
    if (next) next.resolve({kind: 'granted'});
    else this.slotsInUse--;
  }

  private enqueue(rank: Rank): SlotTicket {
    const queue = this.queues[rankIndex(rank)];
    let resolve: Waiter['resolve'] = () => {};
    const granted = new Promise<SlotOutcome>(resolvePromise => {
      resolve = resolvePromise;
    });
    const waiter = {rank, resolve};
    queue.push(waiter);
    const withdraw = (reason: RefusalReason) => {
      const index = queue.indexOf(waiter);
      if (index < 0) return;
      queue.splice(index, 1);
      resolve({kind: 'refused', reason});
    };
    return {granted, withdraw};
  }

  /**
   * Refuses the newest call of the lowest rank that is below `rank`. Returns
   * false if there is none.
   */
  private shedLowerRank(rank: Rank): boolean {
    for (let index = RANKS.length - 1; index > rankIndex(rank); index--) {
      const dropped = this.queues[index].pop();
      if (!dropped) continue;
      dropped.resolve({kind: 'refused', reason: 'shed_for_higher_rank'});
      return true;
    }
    return false;
  }
}

function resolvedTicket(answer: SlotOutcome): SlotTicket {
  return {granted: Promise.resolve(answer), withdraw: () => {}};
}
