/** Baseline: one bounded queue, first in first out, without ranks. */
import type {PickedStep} from '@azurecrank/core';
import {Scheduler, type EngineModel, type SimRequest} from './scheduler.js';

const MAX_ITEMS = 256;

export class FifoScheduler extends Scheduler {
  private readonly queue: SimRequest[] = [];
  private runningCost = 0;

  constructor(private readonly engine: EngineModel) {
    super();
  }

  override offer(request: SimRequest): readonly SimRequest[] {
    if (this.queue.length >= MAX_ITEMS) return [request];
    this.queue.push(request);
    return [];
  }

  override expire(): readonly SimRequest[] {
    return [];
  }

  override preempt(): undefined {
    return undefined;
  }

  override grant(running: readonly SimRequest[]): SimRequest | undefined {
    if (running.length >= this.engine.slots) return undefined;
    const granted = this.queue.shift();
    this.runningCost += granted?.costTokens ?? 0;
    return granted;
  }

  /** All decode steps, and prompts in order up to the same limit. */
  override form(running: readonly SimRequest[]): PickedStep<SimRequest>[] {
    let left = this.engine.maxPromptTokens;
    return running
      .map(step => {
        const take = step.count === 1 ? 1 : Math.min(step.count, left);
        if (step.count > 1) left -= take;
        return {step, positionsToRun: take};
      })
      .filter(pick => pick.positionsToRun > 0);
  }

  override end(request: SimRequest): void {
    this.runningCost -= request.costTokens;
  }

  override observe(): void {}

  override outstandingCostByRank(): readonly number[] {
    const costs = this.queue.map(item => item.costTokens);
    return [costs.reduce((sum, cost) => sum + cost, this.runningCost), 0, 0];
  }
}
