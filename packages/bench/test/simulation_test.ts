import {describe, it} from 'node:test';
import {expect} from 'earl';
import {formatResult} from '../src/framework/bench.js';
import {bench as floodUrgent} from '../src/benches/flood_urgent.js';
import {jainIndex, percentile} from '../src/simulation/statistics.js';

const SEED = 2;

describe('simulation', () => {
  it('returns the same result for the same seed', async () => {
    const options = {seed: SEED, log: () => undefined};
    const first = await floodUrgent.run(options);
    expect(await floodUrgent.run(options)).toEqual(first);
    expect(first.met).toEqual(true);
  });

  it('counts refused requests as infinite in a percentile', () => {
    expect(percentile([1, 2, 3, Infinity], 0.75)).toEqual(3);
    expect(percentile([1, 2, 3, Infinity], 0.95)).toEqual(Infinity);
  });

  it('computes Jain’s index from its definition', () => {
    expect(jainIndex([5, 5])).toEqual(1);
    expect(jainIndex([5, 0])).toEqual(0.5);
  });

  it('prints null for values that JSON cannot hold', () => {
    const outcome = {ours: 1, baseline: Infinity, target: 't', met: true};
    expect(JSON.parse(formatResult('n', 1, outcome))).toEqual({
      name: 'n',
      seed: 1,
      ours: 1,
      baseline: null,
      ratio: 0,
      target: 't',
      met: true,
    });
  });
});
