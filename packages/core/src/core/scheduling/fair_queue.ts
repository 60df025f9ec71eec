/** The bounded queue of the first stage of a chain (design, section 7.1). */
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

/** Items in `refused` were not run; the new item may be one of them. */
export interface EnqueueOutcome<T> {
  readonly accepted: boolean;
  /** The new item if it was refused, or the one evicted for it. */
  readonly refused: readonly RefusedItem<T>[];
}

/** `isReserved`: whether the item would be served on its reserved share. */
export type ItemFilter<T> = (item: T, isReserved: boolean) => boolean;

const ALLOW_ALL = () => true;

export class FairQueue<T extends QueuedItem> {
  private readonly ranks = RANKS.map(() => new WorkspaceQueues<T>());
  private readonly waiting = new Map<RequestId, T>();
  private readonly byExpiry = new IndexedHeap<T>();
  private readonly served = new Map<T, RankChoice>();
  /** Cost of the items that were served and not settled, by rank. */
  private readonly servedCost = RANKS.map(() => 0);
  private readonly shares: RankShares;
  private reservedItems: readonly number[];

  constructor(private readonly options: FairQueueOptions) {
    const reserved = options.reservedShares ?? DEFAULT_RESERVED_SHARES;
    this.shares = new RankShares(
      reserved,
      options.shareHalfLifeMs ?? DEFAULT_SHARE_HALF_LIFE_MS,
    );
    this.reservedItems = this.toReservedItems(reserved);
  }

  /** Takes new shares, for example of a new configuration. */
  setReservedShares(reserved: ReservedShares): void {
    this.shares.setShares(reserved);
    this.reservedItems = this.toReservedItems(reserved);
  }

  get size(): number {
    return this.waiting.size;
  }

  /** Number of workspaces that occupy memory, over all ranks. */
  get knownWorkspaces(): number {
    return this.ranks.reduce((sum, queues) => sum + queues.knownWorkspaces, 0);
  }

  isWaiting(rank: Rank): boolean {
    return this.ranks[rankIndex(rank)].size > 0;
  }

  /** Adds the item, or refuses it, or evicts another one for it. */
  enqueue(item: T): EnqueueOutcome<T> {
    if (this.waiting.has(item.request)) {
      throw new Error(`request ${item.request} is already queued`);
    }
    const ofWorkspace = this.ranks.reduce(
      (sum, queues) => sum + queues.lengthOf(item.workspace),
      0,
    );
    if (ofWorkspace >= this.options.maxPerWorkspace) {
      return {
        accepted: false,
        refused: [{item, reason: 'workspace_queue_full'}],
      };
    }
    if (this.waiting.size < this.options.maxItems) {
      this.add(item);
      return {accepted: true, refused: []};
    }
    return this.enqueueWhenFull(item);
  }

  /**
   * Takes the item to serve next. `allows` excludes items that may not take
   * the free slot. Call `expire` before it: an expired item is not served and
   * holds back its workspace. Call `settle` once for each returned item.
   */
  next(nowMs: number, allows: ItemFilter<T> = ALLOW_ALL): T | undefined {
    const candidates = (isReserved: boolean) =>
      this.ranks.map(queues =>
        queues.peek(item => expiryMs(item) > nowMs && allows(item, isReserved)),
      );
    const free = candidates(false);
    const reserved = candidates(true);
    const eligible = {
      free: free.map(isPresent),
      reserved: reserved.map(isPresent),
    };
    const choice = this.shares.choose(eligible, nowMs);
    if (!choice) return undefined;
    const item = (choice.isReserved ? reserved : free)[choice.rank] as T;
    this.take(item, choice, nowMs);
    return item;
  }

  /**
   * Whether a served item that is not settled was served on its rank's
   * reserved share, before a waiting higher rank.
   */
  usedReservedShare(item: T): boolean {
    return this.served.get(item)?.isReserved ?? false;
  }

  /** Corrects the charge of a served item when it has ended in any way. */
  settle(item: T, actualCost: number): void {
    const choice = this.served.get(item);
    if (!choice) return;
    this.served.delete(item);
    const {rank} = choice;
    this.servedCost[rank] -= item.costTokens;
    this.ranks[rank].settle(item, actualCost);
    this.shares.correct(
      choice,
      actualCost - item.costTokens,
      this.waitingRanks(),
    );
  }

  /** Removes a waiting request, for example because the caller left. */
  remove(request: RequestId): T | undefined {
    const item = this.waiting.get(request);
    if (item) this.drop(item);
    return item;
  }

  /** Removes and returns the items that can no longer meet a deadline. */
  expire(nowMs: number): T[] {
    const expired: T[] = [];
    while (this.byExpiry.peekKey() <= nowMs) {
      const item = this.byExpiry.peek() as T;
      this.drop(item);
      expired.push(item);
    }
    return expired;
  }

  /** Waiting cost in tokens, indexed by rank. */
  waitingCostByRank(): number[] {
    return this.ranks.map(queues => queues.waitingCost);
  }

  /**
   * Cost of waiting and of running items, indexed by rank, for `LoadReport`.
   * With the waiting cost alone, a chain full of running urgent requests and
   * an empty queue would look better than one that runs overnight requests.
   */
  outstandingCostByRank(): number[] {
    return this.waitingCostByRank().map(
      (cost, rank) => cost + this.servedCost[rank],
    );
  }

  /** Tokens that are served before `item` if no other request arrives. */
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
    const ownLength = queues.lengthOf(item.workspace) + 1;
    if (isSameRank && ownLength >= queues.longest()) {
      const reason = this.refusalOf(victimRank);
      return {accepted: false, refused: [{item, reason}]};
    }
    const reason = isSameRank ? 'queue_full' : 'shed_for_higher_rank';
    const victim = queues.newestOfLongest() as T;
    this.drop(victim);
    this.add(item);
    return {accepted: true, refused: [{item: victim, reason}]};
  }

  /** A rank whose items were all evicted could not use its reserved share. */
  private toReservedItems(reserved: ReservedShares): number[] {
    return reserved.map(share => Math.ceil(share * this.options.maxItems));
  }

  /** A rank within its reserved part is kept out by the others. */
  private refusalOf(rank: number): RefusalReason {
    const isWithin = this.ranks[rank].size <= this.reservedItems[rank];
    return rank > 0 && isWithin ? 'shed_for_higher_rank' : 'queue_full';
  }

  /** The lowest rank that exceeds its reserved part of the queue. */
  private rankToEvict(incomingRank: number): number {
    for (let rank = RANKS.length - 1; rank > 0; rank--) {
      const incoming = rank === incomingRank ? 1 : 0;
      const length = this.ranks[rank].size + incoming;
      if (length > this.reservedItems[rank]) return rank;
    }
    return 0;
  }

  private waitingRanks(): boolean[] {
    return this.ranks.map(queues => queues.size > 0);
  }

  private take(item: T, choice: RankChoice, nowMs: number): void {
    const {costTokens} = item;
    this.shares.charge(choice, costTokens, this.waitingRanks(), nowMs);
    this.waiting.delete(item.request);
    this.byExpiry.delete(item);
    this.ranks[choice.rank].serve(item);
    this.served.set(item, choice);
    this.servedCost[choice.rank] += costTokens;
  }

  private add(item: T): void {
    this.waiting.set(item.request, item);
    this.byExpiry.set(item, expiryMs(item));
    this.ranks[rankIndex(item.rank)].push(item);
  }

  private drop(item: T): void {
    this.waiting.delete(item.request);
    this.byExpiry.delete(item);
    this.ranks[rankIndex(item.rank)].remove(item);
  }
}

/** Latest start with which the first token can still be in time. */
function expiryMs(item: QueuedItem): number {
  const deadlineAtMs = Math.min(item.deadlineAtMs, item.firstTokenDeadlineAtMs);
  return deadlineAtMs - (item.prefillMs ?? 0);
}

function isPresent(value: unknown): boolean {
  return value !== undefined;
}
