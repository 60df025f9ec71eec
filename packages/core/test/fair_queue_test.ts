import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {FairQueue, RANKS, type QueuedItem, type Rank} from '../src/index.js';
import type {RequestId, WorkspaceId} from '../src/index.js';

const SEED = Number(process.env.TEST_SEED ?? Date.now() % 1_000_000);
console.log(`seed ${SEED}; repeat with TEST_SEED=${SEED}`);

let created = 0;
function item(
  workspace: string,
  rank: Rank = 'ordinary',
  fields: Partial<QueuedItem> = {},
): QueuedItem {
  return {
    request: `r${created++}` as RequestId,
    workspace: workspace as WorkspaceId,
    weight: 1,
    rank,
    costTokens: 100,
    deadlineAtMs: Infinity,
    firstTokenDeadlineAtMs: Infinity,
    enqueuedAtMs: 0,
    ...fields,
  };
}

function queue(maxItems = 100, maxPerWorkspace = maxItems) {
  return new FairQueue<QueuedItem>({maxItems, maxPerWorkspace});
}

/** Serves `count` items and settles each at its estimated cost. */
function serve(fair: FairQueue<QueuedItem>, count: number): QueuedItem[] {
  const served: QueuedItem[] = [];
  for (let index = 0; index < count; index++) {
    const next = fair.next(index);
    if (!next) break;
    fair.settleCost(next, next.costTokens);
    served.push(next);
  }
  return served;
}

function check(property: fc.IRawProperty<unknown>): void {
  fc.assert(property, {seed: SEED, numRuns: 200});
}

describe('FairQueue', () => {
  describe('ranks', () => {
    it('serves the highest rank first while no reserved share is due', () => {
      const fair = queue();
      for (const rank of ['overnight', 'ordinary', 'urgent'] as const) {
        fair.enqueue(item('a', rank));
      }
      expect(fair.next(0)?.rank).toEqual('urgent');
    });

    it('serves the reserved shares for any item cost of the ranks', () => {
      const cost = fc.integer({min: 20, max: 2000});
      check(
        fc.property(cost, cost, cost, (urgent, ordinary, overnight) => {
          const costs = {urgent, ordinary, overnight};
          const served = serveBackloggedRanks(costs, 500_000);
          const total = served.urgent + served.ordinary + served.overnight;
          const largest = Math.max(urgent, ordinary, overnight);
          expect(served.ordinary).toBeGreaterThanOrEqual(
            total * 0.06 * 0.9 - largest,
          );
          expect(served.overnight).toBeGreaterThanOrEqual(
            total * 0.02 * 0.9 - largest,
          );
          expect(served.urgent).toBeGreaterThanOrEqual(total * 0.9 - largest);
        }),
      );
    });

    it('gives no reserved share to a rank that just used idle capacity', () => {
      const fair = queue();
      for (let n = 0; n < 20; n++) fair.enqueue(item('a', 'overnight'));
      serve(fair, 10);
      for (let n = 0; n < 5; n++) fair.enqueue(item('b', 'urgent'));
      const ranks = serve(fair, 5).map(served => served.rank);
      expect(ranks).toEqual(Array<Rank>(5).fill('urgent'));
    });
  });

  describe('workspaces', () => {
    it('bounds the service difference of backlogged workspaces', () => {
      const flow = fc.record({
        weight: fc.integer({min: 1, max: 5}),
        costs: fc.array(fc.integer({min: 1, max: 500}), {
          minLength: 20,
          maxLength: 20,
        }),
      });
      check(
        fc.property(flow, flow, (a, b) => {
          const fair = queue();
          const normalized = {a: 0, b: 0};
          for (const costTokens of a.costs) {
            fair.enqueue(item('a', 'ordinary', {costTokens, weight: a.weight}));
          }
          for (const costTokens of b.costs) {
            fair.enqueue(item('b', 'ordinary', {costTokens, weight: b.weight}));
          }
          const left = {a: 20, b: 20};
          const bound = 500 / a.weight + 500 / b.weight;
          while (left.a > 0 && left.b > 0) {
            const [next] = serve(fair, 1);
            const name = next.workspace as string as 'a' | 'b';
            left[name]--;
            normalized[name] += next.costTokens / next.weight;
            const lag = Math.abs(normalized.a - normalized.b);
            expect(lag).toBeLessThanOrEqual(bound);
          }
        }),
      );
    });

    it('gives a workspace no extra service for idle time', () => {
      const fair = queue();
      for (let n = 0; n < 40; n++) fair.enqueue(item('busy'));
      serve(fair, 20);
      for (let n = 0; n < 10; n++) fair.enqueue(item('back'));
      const back = serve(fair, 10).filter(i => i.workspace === 'back');
      expect(back.length).toBeLessThanOrEqual(6);
    });

    it('charges the actual cost instead of the estimated one', () => {
      const fair = queue();
      for (let n = 0; n < 20; n++) {
        fair.enqueue(item('long'));
        fair.enqueue(item('short'));
      }
      for (let n = 0; n < 16; n++) {
        const next = fair.next(n) as QueuedItem;
        fair.settleCost(next, next.workspace === 'long' ? 300 : 100);
      }
      const left = serve(fair, 40).filter(i => i.workspace === 'long').length;
      // Costs of 300 and 100 give `long` about a quarter of the 16 services.
      expect(20 - left).toBeGreaterThanOrEqual(3);
      expect(20 - left).toBeLessThanOrEqual(5);
    });

    it('drops the state of workspaces that are idle and settled', () => {
      const fair = queue();
      for (let n = 0; n < 8000; n++) {
        fair.enqueue(item(`w${n}`));
        serve(fair, 1);
      }
      expect(fair.trackedWorkspaces).toBeLessThanOrEqual(1);
    });
  });

  describe('bounds', () => {
    it('refuses the item of a workspace with a full queue', () => {
      const fair = queue(10, 1);
      fair.enqueue(item('a'));
      const outcome = fair.enqueue(item('a', 'urgent'));
      expect(outcome.refused[0].reason).toEqual('workspace_queue_full');
    });

    it('evicts the newest of the longest queue of the lowest rank', () => {
      const fair = queue(6);
      const waiting = ['a', 'b', 'b', 'b', 'c', 'c'].map(w => item(w));
      for (const one of waiting) fair.enqueue(one);
      const {accepted, refused} = fair.enqueue(item('d', 'urgent'));
      expect(accepted).toEqual(true);
      expect(refused).toEqual([
        {item: waiting[3], reason: 'shed_for_higher_rank'},
      ]);
    });

    it('refuses a new item of the workspace with the longest queue', () => {
      const fair = queue(4);
      for (const w of ['a', 'a', 'a', 'b']) fair.enqueue(item(w));
      expect(fair.enqueue(item('a')).refused[0].reason).toEqual('queue_full');
      expect(fair.enqueue(item('c')).accepted).toEqual(true);
    });

    it('keeps queue entries for a rank, so that it can use its share', () => {
      const fair = queue(100);
      fair.enqueue(item('low', 'overnight'));
      for (let n = 0; n < 300; n++) fair.enqueue(item(`u${n}`, 'urgent'));
      expect(fair.size).toEqual(100);
      expect(fair.isWaiting('overnight')).toEqual(true);
    });
  });

  describe('deadlines', () => {
    it('expires an item when its prefill would end after its deadline', () => {
      const fair = queue();
      const late = {firstTokenDeadlineAtMs: 1000, prefillMs: 100};
      fair.enqueue(item('a', 'ordinary', late));
      expect(fair.expire(899)).toEqual([]);
      expect(fair.expire(900).length).toEqual(1);
      expect(fair.next(900)).toEqual(undefined);
    });
  });

  describe('costAhead', () => {
    it('leaves out the backlog of a large workspace for a small one', () => {
      const fair = queue();
      for (let n = 0; n < 50; n++) fair.enqueue(item('large'));
      expect(fair.costAhead(item('small'))).toEqual(0);
      expect(fair.costAhead(item('large'))).toEqual(5000);
    });
  });

  it('returns each item exactly once', () => {
    const command = fc.record({
      kind: fc.constantFrom('add', 'add', 'next', 'remove', 'expire', 'settle'),
      workspace: fc.constantFrom('a', 'b', 'c'),
      rank: fc.constantFrom(...RANKS),
      costTokens: fc.integer({min: 1, max: 500}),
      pick: fc.nat(),
    });
    check(
      fc.property(fc.array(command, {maxLength: 200}), commands => {
        const fair = queue(12, 6);
        const waiting = new Set<QueuedItem>();
        const running: QueuedItem[] = [];
        const drop = (one: QueuedItem) =>
          expect(waiting.delete(one)).toEqual(true);
        commands.forEach(({kind, workspace, rank, costTokens, pick}, nowMs) => {
          if (kind === 'add') {
            const deadlineAtMs = nowMs + (pick % 100) + 1;
            const added = item(workspace, rank, {costTokens, deadlineAtMs});
            waiting.add(added);
            fair.enqueue(added).refused.forEach(({item: one}) => drop(one));
          } else if (kind === 'next') {
            fair.expire(nowMs).forEach(drop);
            const next = fair.next(nowMs);
            expect(next !== undefined).toEqual(waiting.size > 0);
            if (next) drop(next);
            if (next) running.push(next);
          } else if (kind === 'remove' && waiting.size > 0) {
            const one = [...waiting][pick % waiting.size];
            expect(fair.remove(one.request)).toEqual(one);
            drop(one);
          } else if (kind === 'expire') {
            fair.expire(nowMs).forEach(drop);
          } else if (running.length > 0) {
            fair.settleCost(running.pop() as QueuedItem, pick % 1000);
          }
          const cost = [...waiting].reduce((sum, i) => sum + i.costTokens, 0);
          const reported = fair.waitingCostByRank().reduce((a, b) => a + b);
          expect(reported).toEqual(cost);
          expect(fair.size).toEqual(waiting.size);
        });
      }),
    );
  });
});

/**
 * Serves `tokens` tokens at 0.2 ms each while an item of each rank always
 * waits. Returns the served cost by rank.
 */
function serveBackloggedRanks(
  costs: Record<Rank, number>,
  tokens: number,
): Record<Rank, number> {
  const fair = queue();
  const served = {urgent: 0, ordinary: 0, overnight: 0};
  const refill = (rank: Rank) =>
    fair.enqueue(item(rank, rank, {costTokens: costs[rank]}));
  RANKS.forEach(refill);
  for (let total = 0; total < tokens;) {
    const next = fair.next(total * 0.2) as QueuedItem;
    fair.settleCost(next, next.costTokens);
    total += next.costTokens;
    served[next.rank] += next.costTokens;
    refill(next.rank);
  }
  return served;
}
