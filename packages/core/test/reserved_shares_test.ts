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
const SERVED = 400;
const COST = 10;
const STEP_MS = 5;

let count = 0;

function createItem(rank: Rank, nowMs: number): QueuedItem {
  return {
    request: toId<RequestId>(`request-${count++}`),
    // One workspace would fill its own part of the queue with urgent items.
    workspace: toId<WorkspaceId>(`workspace-${rank}`),
    weight: 1,
    rank,
    costTokens: COST,
    deadlineAtMs: Infinity,
    firstTokenDeadlineAtMs: Infinity,
    enqueuedAtMs: nowMs,
  };
}

/** Returns the part of each rank in what is served while all ranks wait. */
function serveAll(queue: FairQueue<QueuedItem>, startMs: number): number[] {
  const served = RANKS.map(() => 0);
  for (let index = 0; index < SERVED; index++) {
    const nowMs = startMs + index * STEP_MS;
    for (const rank of RANKS) queue.enqueue(createItem(rank, nowMs));
    const item = queue.next(nowMs);
    if (item) served[RANKS.indexOf(item.rank)]++;
  }
  return served.map(part => part / SERVED);
}

describe('reserved shares', () => {
  // Guards against shares of the operators' file that are never in force.
  it('can change while requests wait', () => {
    const queue = new FairQueue<QueuedItem>({
      maxItems: MAX_ITEMS,
      maxPerWorkspace: MAX_ITEMS,
    });
    const [, , before] = serveAll(queue, 0);
    queue.setReservedShares([0, 0.1, 0.3]);
    const [urgent, ordinary, overnight] = serveAll(queue, SERVED * STEP_MS);
    expect(before).toBeLessThan(0.04);
    expect(ordinary).toBeGreaterThan(0.08);
    expect(overnight).toBeGreaterThan(0.25);
    expect(urgent).toBeGreaterThan(0.5);
  });
});
