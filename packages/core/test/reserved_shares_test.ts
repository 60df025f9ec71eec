import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  FairQueue,
  RANKS,
  toId,
  type QueuedItem,
  type Rank,
  type RequestId,
  type WorkspaceId,
} from '../src/index.js';

const MAX_ITEMS = 60;
const SERVED_ITEMS = 400;
const ITEM_COST_TOKENS = 10;
const STEP_MS = 5;

let count = 0;

function createItem(rank: Rank, nowMs: number): QueuedItem {
  return {
    request: toId<RequestId>(`request-${count++}`),
    // With a single workspace, its urgent items would fill its queue limit.
    workspace: toId<WorkspaceId>(`workspace-${rank}`),
    weight: 1,
    rank,
    costTokens: ITEM_COST_TOKENS,
    deadlineAtMs: Infinity,
    firstTokenDeadlineAtMs: Infinity,
    enqueuedAtMs: nowMs,
  };
}

/** Fraction of the served items that each rank gets while all ranks wait. */
function serveAll(queue: FairQueue<QueuedItem>, startMs: number): number[] {
  const served = RANKS.map(() => 0);
  for (let index = 0; index < SERVED_ITEMS; index++) {
    const nowMs = startMs + index * STEP_MS;
    for (const rank of RANKS) queue.enqueue(createItem(rank, nowMs));
    const item = queue.next(nowMs);
    if (item) served[RANKS.indexOf(item.rank)]++;
  }
  return served.map(items => items / SERVED_ITEMS);
}

describe('reserved shares', () => {
  // Guards against ignoring shares that operators set after the start.
  it('can change while requests wait', () => {
    const queue = new FairQueue<QueuedItem>({
      maxItems: MAX_ITEMS,
      maxPerWorkspace: MAX_ITEMS,
    });
    const [, , before] = serveAll(queue, 0);
    queue.setReservedShares([0, 0.1, 0.3]);
    const [urgent, ordinary, overnight] = serveAll(
      queue,
      SERVED_ITEMS * STEP_MS,
    );
    expect(before).toBeLessThan(0.04);
    expect(ordinary).toBeGreaterThan(0.08);
    expect(overnight).toBeGreaterThan(0.25);
    expect(urgent).toBeGreaterThan(0.5);
  });
});
