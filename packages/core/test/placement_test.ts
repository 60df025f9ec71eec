import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  findReplacement,
  maxThroughput,
  planChains,
  planThroughput,
  splitLayers,
  type Chain,
  type Plan,
  type ServerRegistration,
  type SplitStage,
} from '../src/index.js';
import {
  LAYERS,
  MODEL,
  createEngine,
  createHolder,
  zeroLinkTimeMs,
} from './placement_fixtures.js';

const seed = Number(process.env['SEED'] ?? Date.now() % 1_000_000);
console.log(`placement seed ${seed}`);

const stageArbitrary: fc.Arbitrary<SplitStage> = fc.record({
  layerMs: fc.integer({min: 1, max: 9}),
  maxLayers: fc.integer({min: 1, max: 6}),
  linkMs: fc.integer({min: 0, max: 5}),
});

const fleetArbitrary = fc
  .array(
    fc.record({
      layerMs: fc.integer({min: 1, max: 4}),
      memoryBytes: fc.integer({min: 1, max: 14}),
      zone: fc.constantFrom('z1', 'z2'),
    }),
    {maxLength: 14},
  )
  .map(items =>
    items.map(({zone, ...engine}, i) => createEngine(`s${i}`, engine, zone)),
  );

/** Lowest time of the slowest stage over all splits, by exhaustive search. */
function searchSplit(stages: readonly SplitStage[], layers: number): number {
  const [first, ...rest] = stages;
  if (!first) return layers === 0 ? 0 : Infinity;
  let bestMs = Infinity;
  for (let count = 1; count <= Math.min(first.maxLayers, layers); count++) {
    const ownMs = count * first.layerMs + first.linkMs;
    const restMs = searchSplit(rest, layers - count);
    bestMs = Math.min(bestMs, Math.max(ownMs, restMs));
  }
  return bestMs;
}

/** Expects each layer exactly once per chain, within the memory of servers. */
function expectValid(plan: Plan, servers: readonly ServerRegistration[]) {
  const seen = new Set<string>();
  for (const {stages} of plan.chains) {
    let nextLayer = 0;
    for (const stage of stages) {
      const {engine} = servers.find(s => s.server === stage.server)!;
      expect(stage.firstLayer).toEqual(nextLayer);
      expect(stage.endLayer - stage.firstLayer <= engine!.memoryBytes).toEqual(
        true,
      );
      expect(seen.has(stage.server)).toEqual(false);
      seen.add(stage.server);
      nextLayer = stage.endLayer;
    }
    expect(nextLayer).toEqual(LAYERS);
  }
}

const plan = (
  servers: readonly ServerRegistration[],
  previous?: Plan,
  reassignHolders = false,
) => planChains(servers, [MODEL], zeroLinkTimeMs, previous, {reassignHolders});

const isIn = (chain: Chain, chains: readonly Chain[]) =>
  chains.some(other => other.chain === chain.chain);

const rangesOf = ({chains}: Plan) =>
  chains.map(c => c.stages.map(s => `${s.server}:${s.firstLayer}`).join(' '));

/** A server that holds the half of the model that starts at a layer. */
const createHalf = (name: string, firstLayer: number, layerMs = 1) =>
  createEngine(name, {firstLayer, endLayer: firstLayer + 6, layerMs});

/** Returns a plan with one chain for each pair of servers, and the servers. */
function planPairs(pairs: readonly (readonly ServerRegistration[])[]) {
  const chains = pairs
    .flatMap(pair => plan(pair).chains)
    .sort((a, b) => (a.chain < b.chain ? -1 : 1));
  const before: Plan = {...plan([]), chains};
  return {servers: pairs.flat(), before};
}

describe('placement', () => {
  describe('splitLayers', () => {
    it('finds the same slowest stage as a search over all splits', () => {
      const stages = fc.array(stageArbitrary, {minLength: 1, maxLength: 4});
      const property = fc.property(stages, fc.nat(12), (list, layers) => {
        const split = splitLayers(list, layers);
        expect(split?.slowestMs ?? Infinity).toEqual(searchSplit(list, layers));
      });
      fc.assert(property, {seed, numRuns: 300});
    });
  });

  describe('planChains', () => {
    it('returns the same valid chains for any order of servers', () => {
      const property = fc.property(fleetArbitrary, servers => {
        const result = plan(servers);
        expectValid(result, servers);
        expect(plan([...servers].reverse())).toEqual(result);
        const rate = planThroughput(result, servers, zeroLinkTimeMs);
        expect(rate <= maxThroughput(servers, LAYERS) + 1e-6).toEqual(true);
      });
      fc.assert(property, {seed, numRuns: 100});
    });

    it('leaves chains alone that lose no server', () => {
      const property = fc.property(
        fleetArbitrary,
        fc.nat(),
        (servers, pick) => {
          const before = plan(servers);
          const rest = servers.filter((_, i) => i !== pick % servers.length);
          const lost = servers[pick % servers.length]?.server;
          const after = plan(rest, before);
          expectValid(after, rest);
          const unharmed = before.chains.filter(c =>
            c.stages.every(stage => stage.server !== lost),
          );
          expect(after.chains.filter(c => isIn(c, unharmed))).toEqual(unharmed);
        },
      );
      fc.assert(property, {seed, numRuns: 100});
    });

    // Guards against a loss that changes chains other than the broken one: a
    // member of the dissolved chain replaced the slow stage of another.
    it('gives no member of a dissolved chain to a chain without a loss', () => {
      const {servers, before} = planPairs([
        [createHalf('s1', 0), createHalf('s2', 6, 4)],
        [createHalf('s3', 0), createHalf('s4', 6)],
      ]);
      const rest = servers.filter(({server}) => server !== 's3');
      expect(rangesOf(plan(rest, before))).toEqual(['s1:0 s2:6']);
    });

    // Guards against a loss that changes chains other than the broken ones: a
    // repaired chain released a stage, which a chain without a loss then took.
    it('gives no stage of a repaired chain to a chain without a loss', () => {
      const {servers, before} = planPairs([
        [createHalf('s1', 0), createHalf('s2', 6, 9)],
        [createHalf('s3', 0), createHalf('s4', 6, 4)],
        [createHalf('s5', 0), createHalf('s6', 6)],
      ]);
      const rest = servers.filter(s => s.server !== 's3' && s.server !== 's5');
      const after = plan([...rest, createHalf('s7', 0)], before);
      expect(rangesOf(after).sort()).toEqual(['s1:0 s2:6', 's7:0 s6:6']);
    });

    it('returns the previous plan when nothing changes', () => {
      const servers = [createEngine('s1'), createEngine('s2')];
      const before = plan(servers);
      expect(plan(servers, before) === before).toEqual(true);
    });

    it('forms the most chains possible of holders without loading', () => {
      // Pairing 0-4 with 4-6 would leave 0-6 and 4-12 without a partner.
      const servers = [
        createHolder('s1', 0, 6),
        createHolder('s2', 6, 12),
        createHolder('s3', 0, 4),
        createHolder('s4', 4, 12),
        createHolder('s5', 4, 6),
      ];
      const result = plan(servers);
      expect(result.chains.length).toEqual(2);
      expect(rangesOf(result).sort()).toEqual(['s1:0 s2:6', 's3:0 s4:4']);
    });

    it('forms chains within availability zones', () => {
      const servers = ['z1', 'z2'].flatMap((zone, i) => [
        createEngine(`s${i}`, {}, zone),
        createEngine(`s${i + 2}`, {}, zone),
      ]);
      expect(rangesOf(plan(servers)).sort()).toEqual([
        's0:0 s2:6',
        's1:0 s3:6',
      ]);
    });

    it('repairs with a holder of the range before an empty server', () => {
      const before = plan([
        createHolder('s1', 0, 6),
        createHolder('s2', 6, 12),
      ]);
      const after = plan(
        [
          createHolder('s1', 0, 6),
          createEngine('s3', {layerMs: 0.1}),
          createHolder('s4', 6, 12),
        ],
        before,
      );
      expect(rangesOf(after)).toEqual(['s1:0 s4:6']);
      expect(after.chains[0].chain).toEqual(before.chains[0].chain);
    });

    it('repairs one of two broken chains with a server of the other', () => {
      const halves = [
        createHolder('s1', 0, 6),
        createHolder('s2', 6, 12),
        createHolder('s3', 0, 6),
        createHolder('s4', 6, 12),
      ];
      const before = plan(halves);
      const [first, second] = before.chains;
      const lost = [first.stages[0].server, second.stages[1].server];
      const rest = halves.filter(({server}) => !lost.includes(server));
      const after = plan(rest, before);
      expectValid(after, rest);
      expect(after.chains.length).toEqual(1);
    });

    it('reassigns holders only if the option is set', () => {
      const holders = [createHolder('s1', 0, 4), createHolder('s2', 0, 6)];
      expect(plan(holders).chains).toEqual([]);
      expect(plan(holders, undefined, true).chains.length).toEqual(1);
    });

    it('rebuilds a bounded number of chains, and only for a clear gain', () => {
      // With equal ranges, the slower server of each chain limits its rate.
      const servers = [1, 2].flatMap(i => [
        createEngine(`s${i}`, {endLayer: 6, layerMs: i * 2, memoryBytes: 12}),
        createEngine(`s${i + 2}`, {
          firstLayer: 6,
          endLayer: 12,
          layerMs: 3 - i,
          memoryBytes: 12,
        }),
      ]);
      const before = plan(servers);
      const rebuild = (rebuildChains: number) =>
        planChains(servers, [MODEL], zeroLinkTimeMs, before, {
          maxRebuiltChains: rebuildChains,
        });
      const after = rebuild(1);
      expectValid(after, servers);
      const rate = (p: Plan) => planThroughput(p, servers, zeroLinkTimeMs);
      expect(rate(after) > rate(before) * 1.05).toEqual(true);
      expect(after.chains.filter(c => isIn(c, before.chains)).length).toEqual(
        1,
      );
      expect(rebuild(0) === before).toEqual(true);
    });

    it('replaces a slow stage by a spare that holds its range', () => {
      const before = plan([
        createHolder('s1', 0, 6),
        createHolder('s2', 6, 12),
      ]);
      const slow = {firstLayer: 6, endLayer: 12, layerMs: 9};
      const after = plan(
        [
          createHolder('s1', 0, 6),
          createEngine('s2', slow),
          createHolder('s3', 6, 12),
        ],
        before,
      );
      expect(rangesOf(after)).toEqual(['s1:0 s3:6']);
    });

    it('lists the servers of plain services', () => {
      const server = {...createEngine('s1'), engine: undefined, service: 'ocr'};
      const {services} = plan([server as ServerRegistration]);
      expect(Object.keys(services)).toEqual(['ocr']);
    });
  });

  describe('findReplacement', () => {
    const holders = ['s1', 's2', 's3', 's4'].map((name, i) =>
      createHolder(name, i % 2 === 0 ? 0 : 6, i % 2 === 0 ? 6 : 12),
    );
    const current = plan(holders);
    const chain = current.chains[0];
    const other = current.chains[1].stages[1].server;

    it('prefers a spare to a member of another chain', () => {
      const spare = createHolder('s9', 6, 12);
      const registrations = [...holders, spare];
      const found = findReplacement(
        current,
        registrations,
        chain,
        1,
        new Set(),
      );
      expect(found?.server).toEqual(spare.server);
    });

    it('finds a member of another chain and no other range', () => {
      const find = (excluded: Set<typeof other>) =>
        findReplacement(current, [], chain, 1, excluded)?.server;
      expect(find(new Set())).toEqual(other);
      expect(find(new Set([other]))).toEqual(undefined);
    });
  });
});
