/** One chain as a server that runs batch after batch. */
import type {PickedStep} from '@azurecrank/core';
import type {EngineModel, Scheduler, SimRequest} from './scheduler.js';

export interface ServerEvents {
  refused(request: SimRequest, nowMs: number): void;
  /** `tokens` positions of the request ran in a batch that ends now. */
  served(request: SimRequest, tokens: number, nowMs: number): void;
  token(request: SimRequest, nowMs: number): void;
  finished(request: SimRequest, nowMs: number): void;
  preempted(request: SimRequest, nowMs: number): void;
  /** Asks for a call of `finish` after the time. */
  wake(finish: (nowMs: number) => void, delayMs: number): void;
}

export class ServerModel {
  private running: SimRequest[] = [];
  private isBusy = false;

  constructor(
    private readonly engine: EngineModel,
    private readonly scheduler: Scheduler,
    private readonly events: ServerEvents,
  ) {}

  outstandingCostByRank(): readonly number[] {
    return this.scheduler.outstandingCostByRank();
  }

  offer(request: SimRequest, nowMs: number): void {
    const refused = this.scheduler.offer(request, this.running, nowMs);
    for (const item of refused) this.events.refused(item, nowMs);
    if (!this.isBusy) this.startBatch(nowMs);
  }

  private startBatch(nowMs: number): void {
    this.fillSlots(nowMs);
    const picks = this.scheduler.form(this.running, nowMs);
    this.isBusy = picks.length > 0;
    if (!this.isBusy) return;
    const stepMs = this.durationMs(picks);
    this.events.wake(endMs => this.endBatch(picks, stepMs, endMs), stepMs);
  }

  private fillSlots(nowMs: number): void {
    for (const item of this.scheduler.expire(nowMs)) {
      this.events.refused(item, nowMs);
    }
    for (;;) {
      const granted = this.scheduler.grant(this.running, nowMs);
      if (granted) {
        this.running.push(granted);
        continue;
      }
      const victim = this.scheduler.preempt(this.running);
      if (!victim) return;
      this.remove(victim, false);
      this.events.preempted(victim, nowMs);
    }
  }

  private durationMs(picks: readonly PickedStep<SimRequest>[]): number {
    const {batchMs, decodeMs, promptTokenMs} = this.engine;
    return picks.reduce((sum, {step, positionsToRun: take}) => {
      return sum + (step.count === 1 ? decodeMs : take * promptTokenMs);
    }, batchMs);
  }

  private endBatch(
    picks: readonly PickedStep<SimRequest>[],
    stepMs: number,
    nowMs: number,
  ): void {
    const running = this.running.length;
    let tokens = 0;
    for (const {step, positionsToRun: take} of picks) {
      tokens += take;
      this.advance(step, take, nowMs);
    }
    this.scheduler.observe({stepMs, tokens, running, nowMs});
    this.startBatch(nowMs);
  }

  private advance(request: SimRequest, take: number, nowMs: number): void {
    request.count -= take;
    request.positions += take;
    this.events.served(request, take, nowMs);
    if (request.count > 0) return;
    request.generated++;
    request.count = 1;
    this.events.token(request, nowMs);
    if (request.generated < request.arrival.outputTokens) return;
    this.remove(request, true);
    this.events.finished(request, nowMs);
  }

  private remove(request: SimRequest, finished: boolean): void {
    this.running = this.running.filter(other => other !== request);
    this.scheduler.end(request, finished);
  }
}
