/** Start-time fair queueing over the workspaces of one rank. */
import type {RequestId, WorkspaceId} from '../ids/ids.js';
import type {Rank} from '../ids/rank.js';
import {IndexedHeap} from './indexed_heap.js';

/** A request that waits for a slot. Times are those of the queue's clock. */
export interface QueuedItem {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  /** Relative share of the workspace within its rank; positive. */
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

/** What is kept of a workspace while it waits or has service to pay for. */
interface Flow<T> {
  readonly workspace: WorkspaceId;
  weight: number;
  /** Virtual start time of the next item, in tokens per weight. */
  tag: number;
  readonly items: T[];
  waitingCost: number;
  /** Items that were served and not yet settled. */
  unsettled: number;
}

export class WorkspaceQueues<T extends QueuedItem> {
  private readonly flows = new Map<WorkspaceId, Flow<T>>();
  /** Flows with waiting items, by tag. */
  private readonly active = new IndexedHeap<Flow<T>>();
  /** Flows without items whose tag is still ahead of the virtual time. */
  private readonly idle = new IndexedHeap<Flow<T>>();
  /** Active flows by number of items, for O(1) eviction. */
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

  /** Number of workspaces that occupy memory. */
  get knownWorkspaces(): number {
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
      flow.tag = Math.max(flow.tag, this.virtualTime);
      this.active.set(flow, flow.tag);
    }
    this.changeItems(flow, () => flow.items.push(item), item.costTokens);
  }

  /** First item in fair order whose workspace is allowed. */
  peek(allows: (item: T) => boolean): T | undefined {
    return this.active.findMin(flow => allows(flow.items[0]))?.items[0];
  }

  /** Takes an item that `peek` returned and charges its workspace. */
  serve(item: T): void {
    const flow = this.flows.get(item.workspace) as Flow<T>;
    // An item may be served out of order; the virtual time follows the first.
    this.virtualTime = Math.max(this.virtualTime, this.active.peekKey());
    flow.tag += item.costTokens / item.weight;
    flow.unsettled++;
    this.detach(flow, item);
    this.forgetPaid();
  }

  /** Charges the difference between the actual cost and the estimate. */
  settle(item: T, actualCost: number): void {
    const flow = this.flows.get(item.workspace) as Flow<T>;
    flow.tag += (actualCost - item.costTokens) / item.weight;
    flow.unsettled--;
    if (flow.items.length > 0) this.active.set(flow, flow.tag);
    else this.idle.set(flow, flow.tag);
    this.forgetPaid();
  }

  /** Removes a waiting item without charge. */
  remove(item: T): void {
    this.detach(this.flows.get(item.workspace) as Flow<T>, item);
    this.forgetPaid();
  }

  /** Newest item of the longest queue. */
  newestOfLongest(): T | undefined {
    const [flow] = this.byLength.at(-1) ?? [];
    return flow?.items.at(-1);
  }

  /** Length of the longest queue of a workspace. */
  longest(): number {
    return this.byLength.length - 1;
  }

  /**
   * Cost that is served before a new item of this workspace: all of its own,
   * and of each other workspace at most its weighted part of that time.
   */
  costAhead(item: QueuedItem): number {
    const flow = this.flows.get(item.workspace);
    const tag = Math.max(flow?.tag ?? 0, this.virtualTime);
    const own = flow?.waitingCost ?? 0;
    const startTag = tag + own / item.weight;
    let ahead = own;
    for (const other of this.active.items()) {
      if (other === flow) continue;
      const served = (startTag - other.tag) * other.weight;
      ahead += Math.min(other.waitingCost, Math.max(served, 0));
    }
    return ahead;
  }

  private createFlow(item: T): Flow<T> {
    const {workspace, weight} = item;
    const flow = {
      workspace,
      weight,
      tag: this.virtualTime,
      items: [],
      waitingCost: 0,
      unsettled: 0,
    };
    this.flows.set(workspace, flow);
    return flow;
  }

  private detach(flow: Flow<T>, item: T): void {
    const index = flow.items.indexOf(item);
    this.changeItems(flow, () => flow.items.splice(index, 1), -item.costTokens);
    if (flow.items.length > 0) {
      this.active.set(flow, flow.tag);
      return;
    }
    this.active.delete(flow);
    this.idle.set(flow, flow.tag);
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
   * Drops flows whose service is paid for, so that memory and time depend on
   * recently active workspaces only. When nothing waits, the virtual time
   * jumps ahead: there is nobody to be fair to.
   */
  private forgetPaid(): void {
    while (this.idle.size > 0) {
      if (this.active.size === 0) {
        this.virtualTime = Math.max(this.virtualTime, this.idle.peekKey());
      }
      if (this.idle.peekKey() > this.virtualTime) return;
      const flow = this.idle.peek() as Flow<T>;
      this.idle.delete(flow);
      // An unsettled flow stays known; `settle` returns it to the heap.
      if (flow.unsettled === 0) this.flows.delete(flow.workspace);
    }
  }
}
