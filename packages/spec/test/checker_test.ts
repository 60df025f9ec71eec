import {describe, it} from 'node:test';
import {expect} from 'earl';
import {check, type Specification} from '../src/index.js';

/** Two counters below 4; the goal cannot be reached once `a` is 3. */
const COUNTERS: Specification<{a: number; b: number}> = {
  initial: {a: 0, b: 0},
  successors: ({a, b}) => [
    ...(a < 3 ? [['a', {a: a + 1, b}] as const] : []),
    ...(b < 3 ? [['b', {a, b: b + 1}] as const] : []),
  ],
  invariants: {'sum below 5': ({a, b}) => a + b < 5},
  progress: {name: 'b alone', goal: ({a, b}) => a === 0 && b === 3},
};

describe('checker', () => {
  it('visits each reachable state once', () => {
    expect(check(COUNTERS).states).toEqual(16);
  });

  it('reports the shortest path to a violation', () => {
    const violation = check(COUNTERS).violations[0];
    expect(violation.invariant).toEqual('sum below 5');
    expect(violation.events.length).toEqual(5);
  });

  it('reports a state from which the goal cannot be reached', () => {
    const violation = check(COUNTERS).violations[1];
    expect(violation.invariant).toEqual('b alone');
    expect(violation.events).toEqual(['a']);
  });

  // A run that was cut short must not count as a proof.
  it('is not complete when it hits the limit', () => {
    expect(check(COUNTERS, {limit: 5}).complete).toEqual(false);
  });

  it('stops at the violation that a control looks for', () => {
    const result = check(COUNTERS, {stopAt: 'sum below 5'});
    expect(result.states < 16).toEqual(true);
    expect(result.violations.length).toEqual(1);
  });
});
