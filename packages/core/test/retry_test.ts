import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  RETRY_REASONS,
  RETRY_RULES,
  RetryBudget,
  decideRetry,
  retryReasonOf,
  type RetryContext,
} from '../src/index.js';

const seed = Number(process.env['SEED'] ?? Date.now() % 1_000_000);
console.log(`retry seed ${seed}`);

const CONTEXT: RetryContext = {
  reason: 'connect_failed',
  ran: 'not_run',
  safeToRepeat: false,
  retriesForReason: 0,
  remainingMs: 1000,
  nowMs: 0,
};

const emptyBudget = () => new RetryBudget(0, {capacity: 0});

describe('retry', () => {
  describe('decideRetry', () => {
    it('never retries a call that may have run unless safe to repeat', () => {
      const property = fc.property(
        fc.constantFrom(...RETRY_REASONS),
        fc.constantFrom('ran' as const, 'unknown' as const),
        fc.nat(5),
        (reason, ran, retriesForReason) => {
          const context = {...CONTEXT, reason, ran, retriesForReason};
          const decision = decideRetry(context, new RetryBudget(0));
          expect(decision).toEqual({kind: 'give_up', cause: 'may_have_run'});
        },
      );
      fc.assert(property, {seed});
    });

    it('uses the budget exactly for the reasons whose rule says so', () => {
      for (const reason of RETRY_REASONS) {
        const budget = new RetryBudget(0, {perSecond: 0});
        const before = budget.availableTokens(0);
        decideRetry({...CONTEXT, reason}, budget);
        const cost = before - budget.availableTokens(0);
        expect(cost).toEqual(RETRY_RULES[reason].usesBudget ? 1 : 0);
      }
    });

    it('moves a call off a leaving server with an empty budget', () => {
      const context = {...CONTEXT, reason: 'server_leaving'} as const;
      expect(decideRetry(context, emptyBudget())).toEqual({
        kind: 'retry',
        action: 'elsewhere',
      });
    });

    it('tries one other candidate after a refusal and no more', () => {
      const context = {...CONTEXT, reason: 'refused_elsewhere'} as const;
      const decide = (retriesForReason: number) =>
        decideRetry({...context, retriesForReason}, new RetryBudget(0)).kind;
      expect([decide(0), decide(1)]).toEqual(['retry', 'give_up']);
    });

    it('gives up without budget and after the deadline', () => {
      const late = {...CONTEXT, remainingMs: 0};
      expect(decideRetry(CONTEXT, emptyBudget())).toEqual({
        kind: 'give_up',
        cause: 'retry_budget_exhausted',
      });
      expect(decideRetry(late, new RetryBudget(0)).kind).toEqual('give_up');
    });

    it('returns no retry reason for refusals that are final', () => {
      expect(retryReasonOf('deadline_unreachable')).toEqual(undefined);
      expect(retryReasonOf('outcome_unknown')).toEqual(undefined);
      expect(retryReasonOf('leaving')).toEqual('server_leaving');
    });
  });

  describe('RetryBudget', () => {
    it('allows retries for a fraction of the successes', () => {
      const budget = new RetryBudget(0, {perSecond: 0, capacity: 5});
      while (budget.tryAcquire(0)) {
        // Uses the initial tokens.
      }
      for (let i = 0; i < 21; i++) budget.recordSuccess(0);
      expect([
        budget.tryAcquire(0),
        budget.tryAcquire(0),
        budget.tryAcquire(0),
      ]).toEqual([true, true, false]);
    });

    it('refills slowly without successes and never beyond its capacity', () => {
      const budget = new RetryBudget(0, {perSecond: 1, capacity: 2});
      expect(budget.availableTokens(60_000)).toEqual(2);
      budget.tryAcquire(60_000);
      expect(budget.availableTokens(60_500)).toEqual(1.5);
    });
  });
});
