/** Writes to the key-value service per claimed call. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Bench} from '../framework/bench.js';
import {benchClaims, claimBenchCases} from '../figures/claims.js';

const DURATION_MS = 4000;
const KEY_VALUE_MS = 2;
const CALLS_PER_S = 100;
const PAGES = 64;

export const bench: Bench = {
  name: 'claims',
  description: 'writes per claimed call, defaults against unbatched writes',
  async run({seed, log}) {
    const cases = claimBenchCases().filter(
      ({callsPerS, pages, batchWindowMs, recordDelayMs, maxBatch}) =>
        callsPerS === CALLS_PER_S &&
        pages === PAGES &&
        (maxBatch === 1 || (batchWindowMs === 5 && recordDelayMs === 1000)),
    );
    const figures = [];
    for (const benchCase of cases) {
      const generator = xoroshiro128plus(seed);
      const options = {
        cases: [benchCase],
        durationMs: DURATION_MS,
        keyValueMs: KEY_VALUE_MS,
        random: () => uniformFloat64(generator),
      };
      figures.push(...(await benchClaims(options)));
    }
    for (const figure of figures) {
      log(
        `batch of at most ${figure.maxBatch}: ${figure.calls} calls, ` +
          `${figure.refused} refused, ${figure.writesPerCall.toFixed(2)} ` +
          `writes per call, claim p50 ${figure.claimP50Ms} ms`,
      );
    }
    const [unbatched, ours] = figures;
    return {
      ours: ours.writesPerCall,
      baseline: unbatched.writesPerCall,
      target: 'no target in section 12; writes per call at 100 calls/s',
      met: null,
    };
  },
};
