/** Baseline scheduler: one bounded FIFO queue that ignores ranks and workspaces. */
import type {PickedStep} from '@azurecrank/core';
import {Scheduler, type EngineModel, type SimRequest} from './scheduler.js';

const MAX_QUEUED_REQUESTS = 256;

export class FifoScheduler extends Scheduler {
  private readonly queue: SimRequest[] = [];
  private runningCostTokens = 0;

  constructor(private readonly engine: EngineModel) {
    super();
  }

  override enqueue(request: SimRequest): readonly SimRequest[] {
    if (this.queue.length >= MAX_QUEUED_REQUESTS) return [request];
    this.queue.push(request);
    return [];
  }

  override removeExpired(): readonly SimRequest[] {
    return [];
  }

  override selectVictim(): undefined {
    return undefined;
  }

  override dequeue(running: readonly SimRequest[]): SimRequest | undefined {
    if (running.length >= this.engine.slots) return undefined;
    const granted = this.queue.shift();
    this.runningCostTokens += granted?.costTokens ?? 0;
    return granted;
  }

  /**
   * Includes all decode steps, and prompts in FIFO order up to the limit of
   * prompt tokens that the fair scheduler also has.
   */
  override formBatch(running: readonly SimRequest[]): PickedStep<SimRequest>[] {
    let remainingPromptTokens = this.engine.maxPromptTokensPerBatch;
    return running
      .map(step => {
        const positionsToRun =
          step.count === 1 ? 1 : Math.min(step.count, remainingPromptTokens);
        if (step.count > 1) remainingPromptTokens -= positionsToRun;
        return {step, positionsToRun};
      })
      .filter(pick => pick.positionsToRun > 0);
  }

  override release(request: SimRequest): void {
    this.runningCostTokens -= request.costTokens;
  }

  override recordBatch(): void {}

  override outstandingCostByRank(): readonly number[] {
    const costs = this.queue.map(item => item.costTokens);
    return [
      costs.reduce((sum, cost) => sum + cost, this.runningCostTokens),
      0,
      0,
    ];
  }
}
