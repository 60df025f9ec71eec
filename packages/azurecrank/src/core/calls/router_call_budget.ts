/** Lets calls share the retry budget of model requests. */
import type {RetryReason} from '@azurecrank/core';
import type {ChainRouter} from '../routing/chain_router.js';
import {CallRetryBudget} from './call_transport.js';

export class RouterCallBudget extends CallRetryBudget {
  constructor(private readonly router: ChainRouter) {
    super();
  }

  override acquire(reason: RetryReason): boolean {
    return this.router.acquireRetry(reason);
  }

  override recordSuccess(): void {
    this.router.recordSuccess();
  }
}
