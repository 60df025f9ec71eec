/** Start-time fair queueing over the workspaces of one rank. */
import type {RequestId, WorkspaceId} from '../ids/ids.js';
import type {Rank} from '../ids/rank.js';
import {IndexedHeap} from './indexed_heap.js';

/** A request that waits for a slot. Times are on the clock of the caller. */
export interface QueuedItem {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  /** Weight of the workspace among those of its rank; positive. */
  readonly weight: number;
  readonly rank: Rank;
  /** Prompt tokens plus expected output tokens. */
  readonly costTokens: number;
  readonly deadlineAtMs: number;
  readonly firstTokenDeadlineAtMs: number;
  readonly enqueuedAtMs: number;
  /** Estimated prefill time; the item expires this long before its deadline. */
  readonly prefillMs?: number;
}

/**
 * State of a workspace, kept while it has waiting or unsettled items or its
 * start tag is ahead of the virtual time.
 */
interface Flow<T> {
  readonly workspace: WorkspaceId;
  weight: number;
  /** Virtual start time of the next item, in tokens divided by weight. */
  startTag: number;
  readonly items: T[];
  waitingCost: number;
  /** Number of items that were served and whose actual cost is not known. */
  unsettled: number;
}

export class WorkspaceQueues<T extends QueuedItem> {
  private readonly flows = new Map<WorkspaceId, Flow<T>>();
  /** Flows with waiting items, by start tag. */
  private readonly active = new IndexedHeap<Flow<T>>();
  /** Flows without items whose start tag is ahead of the virtual time. */
  private readonly idle = new IndexedHeap<Flow<T>>();
  /** Active flows, indexed by number of items, for O(1) eviction. */
  private readonly byLength: Set<Flow<T>>[] = [];
  private virtualTime = 0;
  private count = 0;
  private cost = 0;

  get size(): number {
    return this.count;
  }

  get waitingCost(): number {
    return this.cost;
  }

  /** Number of workspaces with state in memory. */
  get trackedWorkspaces(): number {
    return this.flows.size;
  }

  lengthOf(workspace: WorkspaceId): number {
    return this.flows.get(workspace)?.items.length ?? 0;
  }

  push(item: T): void {
    const flow = this.flows.get(item.workspace) ?? this.createFlow(item);
    flow.weight = item.weight;
    if (flow.items.length === 0) {
      this.idle.delete(flow);
      flow.startTag = Math.max(flow.startTag, this.virtualTime);
      this.active.set(flow, flow.startTag);
    }
    this.changeItems(flow, () => flow.items.push(item), item.costTokens);
  }

  /** First item of the workspace with the lowest start tag that is allowed. */
  peek(allows: (item: T) => boolean): T | undefined {
    return this.active.findMin(flow => allows(flow.items[0]))?.items[0];
  }

  /** Removes an item that `peek` returned and charges its workspace for it. */
  serve(item: T): void {
    const flow = this.flows.get(item.workspace) as Flow<T>;
    // `allows` may skip earlier flows. The virtual time follows the earliest.
    this.virtualTime = Math.max(this.virtualTime, this.active.peekKey());
    flow.startTag += item.costTokens / item.weight;
    flow.unsettled++;
    this.removeFromFlow(flow, item);
    this.pruneIdleFlows();
  }

  /** Charges the workspace for the actual cost instead of the estimate. */
  settleCost(item: T, actualCost: number): void {
    const flow = this.flows.get(item.workspace) as Flow<T>;
    flow.startTag += (actualCost - item.costTokens) / item.weight;
    flow.unsettled--;
    if (flow.items.length > 0) this.active.set(flow, flow.startTag);
    else this.idle.set(flow, flow.startTag);
    this.pruneIdleFlows();
  }

  /** Removes a waiting item without charging its workspace. */
  remove(item: T): void {
    this.removeFromFlow(this.flows.get(item.workspace) as Flow<T>, item);
    this.pruneIdleFlows();
  }

  /** Newest item of the workspace with the most waiting items. */
  newestOfLongestQueue(): T | undefined {
    const [flow] = this.byLength.at(-1) ?? [];
    return flow?.items.at(-1);
  }

  /** Number of waiting items of the workspace with the most. */
  longestQueueLength(): number {
    return this.byLength.length - 1;
  }

  /**
   * Cost in tokens that is served before a new item of its workspace: the whole
   * waiting cost of that workspace, and from each other workspace what fair
   * queueing serves until the item's virtual start time.
   */
  costAhead(item: QueuedItem): number {
    const flow = this.flows.get(item.workspace);
    const flowStartTag = Math.max(flow?.startTag ?? 0, this.virtualTime);
    const own = flow?.waitingCost ?? 0;
    const itemStartTag = flowStartTag + own / item.weight;
    let ahead = own;
    for (const other of this.active.items()) {
      if (other === flow) continue;
      const served = (itemStartTag - other.startTag) * other.weight;
      ahead += Math.min(other.waitingCost, Math.max(served, 0));
    }
    return ahead;
  }

  private createFlow(item: T): Flow<T> {
    const {workspace, weight} = item;
    const flow = {
      workspace,
      weight,
      startTag: this.virtualTime,
      items: [],
      waitingCost: 0,
      unsettled: 0,
    };
    this.flows.set(workspace, flow);
    return flow;
  }

  private removeFromFlow(flow: Flow<T>, item: T): void {
    const index = flow.items.indexOf(item);
    this.changeItems(flow, () => flow.items.splice(index, 1), -item.costTokens);
    if (flow.items.length > 0) {
      this.active.set(flow, flow.startTag);
      return;
    }
    this.active.delete(flow);
    this.idle.set(flow, flow.startTag);
  }

  private changeItems(
    flow: Flow<T>,
    change: () => void,
    costChange: number,
  ): void {
    const before = flow.items.length;
    this.byLength[before]?.delete(flow);
    change();
    const after = flow.items.length;
    if (after > 0) (this.byLength[after] ??= new Set()).add(flow);
    this.byLength[0] ??= new Set();
    while (this.byLength.length > 1 && !this.byLength.at(-1)?.size) {
      this.byLength.pop();
    }
    flow.waitingCost += costChange;
    this.cost += costChange;
    this.count += after - before;
  }

  /**
   * Removes idle flows that the virtual time has caught up with, so that memory
   * and time depend only on recently active workspaces. When nothing waits, the
   * virtual time advances to the next idle flow, as no flow competes with it.
   */
  private pruneIdleFlows(): void {
    while (this.idle.size > 0) {
      if (this.active.size === 0) {
        this.virtualTime = Math.max(this.virtualTime, this.idle.peekKey());
      }
      if (this.idle.peekKey() > this.virtualTime) return;
      const flow = this.idle.peek() as Flow<T>;
      this.idle.delete(flow);
      // A flow with unsettled items is kept; `settleCost` adds it to the heap.
      if (flow.unsettled === 0) this.flows.delete(flow.workspace);
    }
  }
}
