/** What a simulated server asks before each batch. */
import type {PickedStep, QueuedItem, RunnableStep} from '@azurecrank/core';
import type {Arrival} from './workload.js';

/** A request at a server, while it waits and while it runs. */
export interface SimRequest extends QueuedItem, RunnableStep {
  readonly arrival: Arrival;
  /** Prompt positions to run; includes output of preempted attempts. */
  readonly promptTokens: number;
  /** Positions still to be run before the next token. */
  count: number;
  /** Positions run in this attempt. */
  positions: number;
  usedReservedShare: boolean;
  /** Tokens generated in all attempts. */
  generated: number;
}

/** One engine of a simulated chain. */
export interface EngineModel {
  readonly slots: number;
  readonly batchMs: number;
  readonly decodeMs: number;
  readonly promptTokenMs: number;
  readonly maxPromptTokens: number;
}

/** Time of a batch is dominated by reading the weights, as on accelerators. */
export const ENGINE: EngineModel = {
  slots: 32,
  batchMs: 20,
  decodeMs: 0.1,
  promptTokenMs: 0.03,
  maxPromptTokens: 1024,
};

export interface Observation {
  readonly stepMs: number;
  readonly tokens: number;
  readonly running: number;
  readonly nowMs: number;
}

export abstract class Scheduler {
  /** Offers a request; returns the ones that are refused. */
  abstract offer(
    request: SimRequest,
    running: readonly SimRequest[],
    nowMs: number,
  ): readonly SimRequest[];
  /** Waiting requests that can no longer be served in time. */
  abstract expire(nowMs: number): readonly SimRequest[];
  /** A running request to be released for an urgent one. */
  abstract preempt(running: readonly SimRequest[]): SimRequest | undefined;
  /** The next request to run, if a slot may be taken. */
  abstract grant(
    running: readonly SimRequest[],
    nowMs: number,
  ): SimRequest | undefined;
  abstract form(
    running: readonly SimRequest[],
    nowMs: number,
  ): readonly PickedStep<SimRequest>[];
  /** A running request has ended or was preempted. */
  abstract end(request: SimRequest, finished: boolean): void;
  abstract observe(observation: Observation): void;
  abstract outstandingCostByRank(): readonly number[];
}
