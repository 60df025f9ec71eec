import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  LoadView,
  PrefixIndex,
  chooseChain,
  chooseChainSubset,
  prefixHashes,
  type CacheEvent,
  type Chain,
  type ChainQuery,
  type LoadReport,
  type ServerId,
} from '../src/index.js';

const seed = Number(process.env['SEED'] ?? Date.now() % 1_000_000);
console.log(`routing seed ${seed}`);

const createChain = (name: string, zone = 'z1') =>
  ({
    chain: name,
    stages: [{server: `head-${name}`, availabilityZone: zone}],
  }) as unknown as Chain;

const head = (name: string) => `head-${name}` as ServerId;

const createReport = (name: string, queued: number): LoadReport => ({
  type: 'load',
  server: head(name),
  queueCostByRank: [0, queued, 0],
  running: 0,
  limit: 1,
  stepMs: 1,
  prefixes: [],
});

const VIEWER = {node: 'entry-1', availabilityZone: 'z1', region: 'r1'};
const regionOf = (zone: string) => (zone === 'z3' ? 'r2' : 'r1');

describe('routing', () => {
  describe('chooseSubset', () => {
    it('prefers the own availability zone, then the own region', () => {
      const chains = ['z3', 'z2', 'z1'].map(zone => createChain(zone, zone));
      const subset = chooseChainSubset(chains, VIEWER, regionOf);
      expect(subset.map(chain => `${chain.chain}`)).toEqual(['z1', 'z2', 'z3']);
    });

    it('changes at most one member when a chain is removed', () => {
      const property = fc.property(fc.integer({min: 1, max: 40}), count => {
        const chains = Array.from({length: count}, (_, i) =>
          createChain(`${i}`),
        );
        const before = chooseChainSubset(chains, VIEWER, regionOf);
        const after = chooseChainSubset(chains.slice(1), VIEWER, regionOf);
        const kept = before.filter(chain => after.includes(chain));
        expect(before.length - kept.length <= 1).toEqual(true);
      });
      fc.assert(property, {seed});
    });
  });

  describe('LoadView', () => {
    const wait = (view: LoadView, name: string, nowMs: number) =>
      view.waitMs(head(name), 1, nowMs);

    it('adds sent work that the report does not include yet', () => {
      const view = new LoadView({reportLagMs: 100});
      view.recordSent(head('a'), 1, 50, 1000);
      view.recordSent(head('a'), 1, 7, 1150);
      view.applyReport(createReport('a', 10), 1200);
      expect(wait(view, 'a', 1200)).toEqual(17);
    });

    it('leaves out work of lower ranks and removed work', () => {
      const view = new LoadView();
      view.applyReport(createReport('a', 10), 0);
      view.recordSent(head('a'), 2, 50, 1);
      view.recordSent(head('a'), 0, 5, 1);
      view.recordSent(head('a'), 1, 8, 1);
      view.removeSent(head('a'), 1, 8);
      expect(wait(view, 'a', 1)).toEqual(15);
    });

    it('replaces an old report by the mean of fresh ones', () => {
      const view = new LoadView();
      view.applyReport(createReport('a', 0), 0);
      view.applyReport(createReport('b', 100), 60_000);
      const waitMs = wait(view, 'a', 60_000);
      expect(waitMs > 99 && waitMs <= 100).toEqual(true);
    });
  });

  describe('PrefixIndex', () => {
    const server = head('a');
    const event = (
      seq: number,
      prefixHash: number,
      kind: CacheEvent['kind'] = 'stored',
    ): CacheEvent => ({seq, kind, prefixHash});

    it('hashes equal prefixes equally and only complete blocks', () => {
      const [first, second] = [
        prefixHashes('abcdXY', 2),
        prefixHashes('abcdZ', 2),
      ];
      expect(first.length).toEqual(3);
      expect(second).toEqual(first.slice(0, 2));
    });

    it('ignores events older than the last applied one', () => {
      const index = new PrefixIndex();
      index.applyEvents(server, [event(1, 7), event(2, 7, 'evicted')], 0);
      index.applyEvents(server, [event(1, 7)], 1);
      expect(index.matchedBlocks(server, [7], 1)).toEqual(0);
    });

    it('matches a long prefix although an event was lost', () => {
      const index = new PrefixIndex();
      index.applyEvents(server, [event(1, 7), event(3, 9)], 0);
      expect(index.matchedBlocks(server, [7, 8, 9], 1)).toEqual(3);
    });

    it('expires entries from before a gap sooner', () => {
      const index = new PrefixIndex({expiresAfterMs: 100});
      index.applyEvents(server, [event(1, 7)], 0);
      index.applyEvents(server, [event(5, 9)], 0);
      expect(index.matchedBlocks(server, [7], 60)).toEqual(0);
      expect(index.matchedBlocks(server, [9], 60)).toEqual(1);
    });

    it('keeps a bounded number of entries', () => {
      const index = new PrefixIndex({maxPerServer: 2});
      index.recordSent(server, [1, 2, 3], 0);
      expect(index.latestHashes(server, 9)).toEqual([3, 2]);
    });
  });

  describe('chooseChain', () => {
    const chains = ['a', 'b', 'c', 'd'].map(name => createChain(name));
    const choose = (
      query: Partial<ChainQuery>,
      load = new LoadView(),
      prefixes = new PrefixIndex(),
    ) =>
      chooseChain(
        {
          chains,
          rankIndex: 1,
          hashes: [],
          excluded: new Set(),
          nowMs: 0,
          random: [0, 0],
          ...query,
        },
        {load, prefixes, linkMs: () => 1},
      );

    it('chooses the better of two random candidates', () => {
      const load = new LoadView();
      load.applyReport(createReport('a', 20), 0);
      load.applyReport(createReport('b', 10), 0);
      load.applyReport(createReport('c', 0), 0);
      expect(`${choose({}, load)?.chain.chain}`).toEqual('b');
    });

    it('chooses a cached prefix only if the wait does not outweigh it', () => {
      const prefixes = new PrefixIndex();
      prefixes.recordSent(head('d'), [1, 2], 0);
      const load = new LoadView();
      for (const name of ['a', 'b'])
        load.applyReport(createReport(name, 10), 0);
      load.applyReport(createReport('d', 30), 0);
      const hashes = [1, 2];
      const near = choose({hashes}, load, prefixes);
      expect(`${near?.chain.chain}`).toEqual('d');
      load.applyReport(createReport('d', 90), 0);
      const far = choose({hashes}, load, prefixes);
      expect(`${far?.chain.chain}`).toEqual('a');
    });

    it('never chooses an excluded chain and none when all are', () => {
      const property = fc.property(
        fc.subarray(chains),
        fc.double({min: 0, max: 0.999, noNaN: true}),
        fc.double({min: 0, max: 0.999, noNaN: true}),
        (left, first, second) => {
          const excluded = new Set(left.map(chain => chain.stages[0].server));
          const choice = choose({excluded, random: [first, second]});
          const all = left.length === chains.length;
          expect(choice === undefined).toEqual(all);
          if (choice) expect(left.includes(choice.chain)).toEqual(false);
        },
      );
      fc.assert(property, {seed});
    });
  });
});
