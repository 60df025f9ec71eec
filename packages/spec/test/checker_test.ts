import {describe, it} from 'node:test';
import {expect} from 'earl';
import {checkSpecification, type Specification} from '../src/index.js';

/** Two counters from 0 to 3; the goal cannot be reached once `a` is above 0. */
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
    expect(checkSpecification(COUNTERS).stateCount).toEqual(16);
  });

  it('reports the shortest path to a violation', () => {
    const violation = checkSpecification(COUNTERS).violations[0];
    expect(violation.invariant).toEqual('sum below 5');
    expect(violation.events.length).toEqual(5);
  });

  it('reports a state from which the goal cannot be reached', () => {
    const violation = checkSpecification(COUNTERS).violations[1];
    expect(violation.invariant).toEqual('b alone');
    expect(violation.events).toEqual(['a']);
  });

  // An exploration that ended at its limit must not count as a proof.
  it('is not complete when it hits the limit', () => {
    expect(checkSpecification(COUNTERS, {maxStates: 5}).complete).toEqual(
      false,
    );
  });

  it('stops at the violation that a control looks for', () => {
    const result = checkSpecification(COUNTERS, {
      stopAtInvariant: 'sum below 5',
    });
    expect(result.stateCount < 16).toEqual(true);
    expect(result.violations.length).toEqual(1);
  });
});
