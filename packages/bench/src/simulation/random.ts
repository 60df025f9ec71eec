/** Seeded random number generator for reproducible simulations. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const MAX_SEED = 0x7fffffff;

export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Creates a generator that is seeded with the next number of this one. */
  split(): Random {
    return new Random(this.integer(1, MAX_SEED));
  }

  /** Returns a uniform integer from `min` to `max`, both included. */
  integer(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  exponential(mean: number): number {
    return -mean * Math.log(1 - uniformFloat64(this.generator));
  }
}
