import {describe, it} from 'node:test';
import {expect} from 'earl';
import {findChartFaults, readCharts} from '../src/index.js';

describe('state charts', () => {
  for (const chart of readCharts()) {
    it(`${chart.name} is well formed`, () => {
      expect(findChartFaults(chart)).toEqual([]);
    });
  }

  it('reports targets, unreachable states and dead ends', () => {
    const faults = findChartFaults({
      name: 'broken',
      definition: {
        name: 'broken',
        initial: 'first',
        states: {
          first: {on: {go: [{target: 'stuck'}, {target: 'missing'}]}},
          stuck: {on: {again: [{target: 'stuck'}]}},
          island: {on: {go: [{target: 'first'}]}},
        },
      },
    });
    expect(faults).toEqual([
      'first: target missing does not exist',
      'stuck: no way out and not an intended final state',
      'island: not reachable',
    ]);
  });
});
