/** Load that retries add while a part of the servers is lost. */
import {RetryBudget, decideRetry} from '@azurecrank/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export interface StormOptions {
  /** Requests per second of one entry. */
  readonly ratePerS: number;
  readonly durationS: number;
  /** Chance that one attempt fails. */
  readonly failedPart: number;
  /** Attempts per request without a budget. */
  readonly maxAttempts: number;
}

export interface StormFigures {
  /** Attempts per request. */
  readonly amplification: number;
  readonly succeededPart: number;
}

/** Without a budget every failed attempt is retried up to `maxAttempts`. */
export function simulateStorm(
  seed: number,
  withBudget: boolean,
  {ratePerS, durationS, failedPart, maxAttempts}: StormOptions,
): StormFigures {
  const generator = xoroshiro128plus(seed);
  const budget = new RetryBudget(0);
  const requests = ratePerS * durationS;
  let attempts = 0;
  let succeeded = 0;
  for (let request = 0; request < requests; request++) {
    const nowMs = (request / ratePerS) * 1000;
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
      attempts++;
      if (uniformFloat64(generator) >= failedPart) {
        succeeded++;
        budget.recordSuccess(nowMs);
        break;
      }
      if (withBudget && !mayRetry(budget, attempt, nowMs)) break;
    }
  }
  return {
    amplification: attempts / requests,
    succeededPart: succeeded / requests,
  };
}

function mayRetry(
  budget: RetryBudget,
  attempt: number,
  nowMs: number,
): boolean {
  const question = {
    reason: 'connect_failed',
    ran: 'not_run',
    safeToRepeat: true,
    retriesForReason: attempt - 1,
    remainingMs: 1000,
    nowMs,
  } as const;
  return decideRetry(question, budget).kind === 'retry';
}
