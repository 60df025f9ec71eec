/** Models a whole chain as a single server that runs one batch at a time. */
import type {PickedStep} from '@azurecrank/core';
import type {EngineModel, Scheduler, SimRequest} from './scheduler.js';

export interface ServerEvents {
  onRefused(request: SimRequest, nowMs: number): void;
  /** Called at the end of a batch that ran `tokens` positions of the request. */
  onServed(request: SimRequest, tokens: number, nowMs: number): void;
  /** Called when the request has generated an output token. */
  onToken(request: SimRequest, nowMs: number): void;
  onFinished(request: SimRequest, nowMs: number): void;
  onPreempted(request: SimRequest, nowMs: number): void;
  /** Schedules a call of `finish` in `delayMs` of simulated time. */
  schedule(finish: (nowMs: number) => void, delayMs: number): void;
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

  submit(request: SimRequest, nowMs: number): void {
    const refused = this.scheduler.enqueue(request, this.running, nowMs);
    for (const item of refused) this.events.onRefused(item, nowMs);
    if (!this.isBusy) this.startBatch(nowMs);
  }

  private startBatch(nowMs: number): void {
    this.fillSlots(nowMs);
    const picks = this.scheduler.formBatch(this.running, nowMs);
    this.isBusy = picks.length > 0;
    if (!this.isBusy) return;
    const stepMs = this.batchDurationMs(picks);
    this.events.schedule(endMs => this.endBatch(picks, stepMs, endMs), stepMs);
  }

  private fillSlots(nowMs: number): void {
    for (const item of this.scheduler.removeExpired(nowMs)) {
      this.events.onRefused(item, nowMs);
    }
    for (;;) {
      const granted = this.scheduler.dequeue(this.running, nowMs);
      if (granted) {
        this.running.push(granted);
        continue;
      }
      const victim = this.scheduler.selectVictim(this.running);
      if (!victim) return;
      this.remove(victim, false);
      this.events.onPreempted(victim, nowMs);
    }
  }

  private batchDurationMs(picks: readonly PickedStep<SimRequest>[]): number {
    const {batchOverheadMs, decodeTokenMs, promptTokenMs} = this.engine;
    return picks.reduce((sum, {step, positionsToRun}) => {
      return (
        sum +
        (step.count === 1 ? decodeTokenMs : positionsToRun * promptTokenMs)
      );
    }, batchOverheadMs);
  }

  private endBatch(
    picks: readonly PickedStep<SimRequest>[],
    stepMs: number,
    nowMs: number,
  ): void {
    const runningCount = this.running.length;
    let tokens = 0;
    for (const {step, positionsToRun} of picks) {
      tokens += positionsToRun;
      this.advance(step, positionsToRun, nowMs);
    }
    this.scheduler.recordBatch({stepMs, tokens, running: runningCount, nowMs});
    this.startBatch(nowMs);
  }

  private advance(
    request: SimRequest,
    positionsToRun: number,
    nowMs: number,
  ): void {
    request.count -= positionsToRun;
    request.positions += positionsToRun;
    this.events.onServed(request, positionsToRun, nowMs);
    if (request.count > 0) return;
    request.generated++;
    request.count = 1;
    this.events.onToken(request, nowMs);
    if (request.generated < request.arrival.outputTokens) return;
    this.remove(request, true);
    this.events.onFinished(request, nowMs);
  }

  private remove(request: SimRequest, finished: boolean): void {
    this.running = this.running.filter(other => other !== request);
    this.scheduler.release(request, finished);
  }
}
