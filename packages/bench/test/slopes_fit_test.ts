import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createSlope, fitLine, median} from '../src/slopes/fit.js';

describe('fitLine', () => {
  // A wrong fit would put wrong figures into docs/CAPACITY.md unnoticed.
  it('finds intercept and slope of an exact line', () => {
    const points = [1, 2, 4, 8].map(size => ({
      size,
      samples: [5 + 3 * size],
    }));
    const line = fitLine(points);
    expect(Math.round(line.intercept * 1e6)).toEqual(5_000_000);
    expect(Math.round(line.slope * 1e6)).toEqual(3_000_000);
    expect(line.r2).toBeGreaterThan(0.999);
    expect(line.spread).toEqual(0);
  });

  // One sample that another process on the machine delayed must not count.
  it('uses the median of the samples and reports their spread', () => {
    const points = [1, 2, 3, 4].map(size => ({
      size,
      samples: [size, size, 10 * size],
    }));
    const slope = createSlope('name', 'links', 'us', points);
    expect(Math.round(slope.slope * 1e6)).toEqual(1_000_000);
    expect(slope.spread).toEqual(9);
  });

  it('shows a low r2 for points that are not on a line', () => {
    const values = [1, 9, 2, 8];
    const points = values.map((value, size) => ({size, samples: [value]}));
    expect(fitLine(points).r2).toBeLessThan(0.5);
  });
});

describe('median', () => {
  it('is the mean of the middle two of an even number', () => {
    expect(median([4, 1, 3, 2])).toEqual(2.5);
  });
});
