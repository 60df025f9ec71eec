import {describe, it} from 'node:test';
import {expect} from 'earl';
import {CASES} from '../src/index.js';

for (const specification of CASES) {
  describe(specification.name, () => {
    it('holds in every reachable state', () => {
      const result = specification.check();
      expect(result.violations).toEqual([]);
      expect(result.complete).toEqual(true);
    });

    for (const removed of specification.controls) {
      it(`fails without: ${removed}`, () => {
        const violation = specification.checkControl(removed);
        expect(violation === undefined).toEqual(false);
      });
    }

    for (const removed of specification.redundantGuards) {
      it(`still holds without: ${removed}`, () => {
        const result = specification.checkRedundantGuard(removed);
        expect(result.violations).toEqual([]);
        expect(result.complete).toEqual(true);
      });
    }
  });
}
