/**
 * Bounded queue of requests at the first stage of a chain: ranks by priority
 * with reserved shares, workspaces within a rank by weighted fair queueing
 * (design, section 7.1).
 */
import type {RefusalReason} from '../errors/errors_data.js';
import type {RequestId} from '../ids/ids.js';
import {RANKS, rankIndex, type Rank} from '../ids/rank.js';
import {IndexedHeap} from './indexed_heap.js';
import {
  DEFAULT_RESERVED_SHARES,
  DEFAULT_SHARE_HALF_LIFE_MS,
  RankShares,
  type RankChoice,
  type ReservedShares,
} from './rank_shares.js';
import {WorkspaceQueues, type QueuedItem} from './workspace_queues.js';

export interface FairQueueOptions {
  readonly maxItems: number;
  /** Waiting items of one workspace, over all ranks. */
  readonly maxPerWorkspace: number;
  readonly reservedShares?: ReservedShares;
  readonly shareHalfLifeMs?: number;
}

export interface RefusedItem<T> {
  readonly item: T;
  readonly reason: RefusalReason;
}

export interface EnqueueOutcome<T> {
  readonly accepted: boolean;
  /**
   * The new item if it was refused, or the waiting item evicted for it.
   * Neither has been run.
   */
  readonly refused: readonly RefusedItem<T>[];
}

/** `isReserved`: whether the rank's reserved share would serve the item. */
export type ItemFilter<T> = (item: T, isReserved: boolean) => boolean;

const ALLOW_ALL = () => true;

export class FairQueue<T extends QueuedItem> {
  private readonly ranks = RANKS.map(() => new WorkspaceQueues<T>());
  private readonly waiting = new Map<RequestId, T>();
  private readonly byExpiry = new IndexedHeap<T>();
  /** Items that were served and whose actual cost is not known yet. */
  private readonly unsettled = new Map<T, RankChoice>();
  /** Estimated cost in tokens of the unsettled items, indexed by rank. */
  private readonly unsettledCost = RANKS.map(() => 0);
  private readonly shares: RankShares;
  /** Queue entries reserved for each rank, indexed by rank. */
  private reservedItemCounts: readonly number[];

  constructor(private readonly options: FairQueueOptions) {
    const reserved = options.reservedShares ?? DEFAULT_RESERVED_SHARES;
    this.shares = new RankShares(
      reserved,
      options.shareHalfLifeMs ?? DEFAULT_SHARE_HALF_LIFE_MS,
    );
    this.reservedItemCounts = this.toReservedItemCounts(reserved);
  }

  /** Replaces the reserved shares, for example after a configuration change. */
  setReservedShares(reserved: ReservedShares): void {
    this.shares.setShares(reserved);
    this.reservedItemCounts = this.toReservedItemCounts(reserved);
  }

  get size(): number {
    return this.waiting.size;
  }

  /** Number of workspaces with state in memory, summed over all ranks. */
  get trackedWorkspaces(): number {
    return this.ranks.reduce(
      (sum, queues) => sum + queues.trackedWorkspaces,
      0,
    );
  }

  isWaiting(rank: Rank): boolean {
    return this.ranks[rankIndex(rank)].size > 0;
  }

  /** Adds the item, refuses it, or evicts another item to make space for it. */
  enqueue(item: T): EnqueueOutcome<T> {
    if (this.waiting.has(item.request)) {
      throw new Error(`request ${item.request} is already queued`);
    }
    const workspaceItems = this.ranks.reduce(
      (sum, queues) => sum + queues.lengthOf(item.workspace),
      0,
    );
    if (workspaceItems >= this.options.maxPerWorkspace) {
      return {
        accepted: false,
        refused: [{item, reason: 'workspace_queue_full'}],
      };
    }
    if (this.waiting.size < this.options.maxItems) {
      this.insert(item);
      return {accepted: true, refused: []};
    }
    return this.enqueueWhenFull(item);
  }

  /**
   * Removes and returns the item to serve next. `allows` excludes items that
   * may not use the free slot. Call `expire` first: an expired item is not
   * served, and it blocks the later items of its workspace. Call `settleCost`
   * once for each returned item.
   */
  next(nowMs: number, allows: ItemFilter<T> = ALLOW_ALL): T | undefined {
    const candidates = (isReserved: boolean) =>
      this.ranks.map(queues =>
        queues.peek(item => expiryMs(item) > nowMs && allows(item, isReserved)),
      );
    const free = candidates(false);
    const reserved = candidates(true);
    const eligible = {
      byPriority: free.map(isPresent),
      onReservedShare: reserved.map(isPresent),
    };
    const choice = this.shares.choose(eligible, nowMs);
    if (!choice) return undefined;
    const item = (choice.isReserved ? reserved : free)[choice.rank] as T;
    this.dequeue(item, choice, nowMs);
    return item;
  }

  /**
   * Whether an unsettled item was served on its rank's reserved share, before
   * a waiting higher rank.
   */
  usedReservedShare(item: T): boolean {
    return this.unsettled.get(item)?.isReserved ?? false;
  }

  /**
   * Replaces the estimated cost of a served item by the actual one. Called when
   * the item has ended, whether it succeeded or not.
   */
  settleCost(item: T, actualCost: number): void {
    const choice = this.unsettled.get(item);
    if (!choice) return;
    this.unsettled.delete(item);
    const {rank} = choice;
    this.unsettledCost[rank] -= item.costTokens;
    this.ranks[rank].settleCost(item, actualCost);
    this.shares.correct(
      choice,
      actualCost - item.costTokens,
      this.waitingRanks(),
    );
  }

  /** Removes a waiting request, for example because the caller disconnected. */
  remove(request: RequestId): T | undefined {
    const item = this.waiting.get(request);
    if (item) this.removeItem(item);
    return item;
  }

  /** Removes and returns the items that can no longer meet a deadline. */
  expire(nowMs: number): T[] {
    const expired: T[] = [];
    while (this.byExpiry.peekKey() <= nowMs) {
      const item = this.byExpiry.peek() as T;
      this.removeItem(item);
      expired.push(item);
    }
    return expired;
  }

  /** Time at which the oldest waiting item of each rank was enqueued. */
  oldestEnqueuedAtMs(): (number | undefined)[] {
    const oldest: (number | undefined)[] = RANKS.map(() => undefined);
    for (const {rank, enqueuedAtMs} of this.waiting.values()) {
      const index = rankIndex(rank);
      oldest[index] = Math.min(oldest[index] ?? Infinity, enqueuedAtMs);
    }
    return oldest;
  }

  /** Cost of the waiting items in tokens, indexed by rank. */
  waitingCostByRank(): number[] {
    return this.ranks.map(queues => queues.waitingCost);
  }

  /**
   * Cost of waiting and running items in tokens, indexed by rank, for
   * `LoadReport`. With the waiting cost alone, a chain that runs only urgent
   * requests and has an empty queue would look less loaded than one that runs
   * overnight requests.
   */
  outstandingCostByRank(): number[] {
    return this.waitingCostByRank().map(
      (cost, rank) => cost + this.unsettledCost[rank],
    );
  }

  /** Cost in tokens that is served before `item` if nothing else arrives. */
  costAhead(item: QueuedItem): number {
    const rank = rankIndex(item.rank);
    const higher = this.waitingCostByRank().slice(0, rank);
    const sameRank = this.ranks[rank].costAhead(item);
    return higher.reduce((sum, cost) => sum + cost, sameRank);
  }

  private enqueueWhenFull(item: T): EnqueueOutcome<T> {
    const victimRank = this.rankToEvict(rankIndex(item.rank));
    const isSameRank = victimRank === rankIndex(item.rank);
    const queues = this.ranks[victimRank];
    const lengthWithItem = queues.lengthOf(item.workspace) + 1;
    if (isSameRank && lengthWithItem >= queues.longestQueueLength()) {
      const reason = this.refusalReasonFor(victimRank);
      return {accepted: false, refused: [{item, reason}]};
    }
    const reason = isSameRank ? 'queue_full' : 'shed_for_higher_rank';
    const victim = queues.newestOfLongestQueue() as T;
    this.removeItem(victim);
    this.insert(item);
    return {accepted: true, refused: [{item: victim, reason}]};
  }

  /**
   * Each rank keeps the same share of the queue as of the service: a rank whose
   * items were all evicted could not use its reserved share.
   */
  private toReservedItemCounts(reserved: ReservedShares): number[] {
    return reserved.map(share => Math.ceil(share * this.options.maxItems));
  }

  /**
   * A rank that uses no more than its reserved queue entries is refused because
   * other ranks fill the queue.
   */
  private refusalReasonFor(rank: number): RefusalReason {
    const isWithin = this.ranks[rank].size <= this.reservedItemCounts[rank];
    return rank > 0 && isWithin ? 'shed_for_higher_rank' : 'queue_full';
  }

  /** The lowest rank that uses more than its reserved queue entries. */
  private rankToEvict(incomingRank: number): number {
    for (let rank = RANKS.length - 1; rank > 0; rank--) {
      const incoming = rank === incomingRank ? 1 : 0;
      const length = this.ranks[rank].size + incoming;
      if (length > this.reservedItemCounts[rank]) return rank;
    }
    return 0;
  }

  private waitingRanks(): boolean[] {
    return this.ranks.map(queues => queues.size > 0);
  }

  private dequeue(item: T, choice: RankChoice, nowMs: number): void {
    const {costTokens} = item;
    this.shares.charge(choice, costTokens, this.waitingRanks(), nowMs);
    this.waiting.delete(item.request);
    this.byExpiry.delete(item);
    this.ranks[choice.rank].serve(item);
    this.unsettled.set(item, choice);
    this.unsettledCost[choice.rank] += costTokens;
  }

  private insert(item: T): void {
    this.waiting.set(item.request, item);
    this.byExpiry.set(item, expiryMs(item));
    this.ranks[rankIndex(item.rank)].push(item);
  }

  private removeItem(item: T): void {
    this.waiting.delete(item.request);
    this.byExpiry.delete(item);
    this.ranks[rankIndex(item.rank)].remove(item);
  }
}

/** Latest start at which the first token can still meet both deadlines. */
function expiryMs(item: QueuedItem): number {
  const deadlineAtMs = Math.min(item.deadlineAtMs, item.firstTokenDeadlineAtMs);
  return deadlineAtMs - (item.prefillMs ?? 0);
}

function isPresent(value: unknown): boolean {
  return value !== undefined;
}
