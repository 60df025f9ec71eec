/** Scheduler interface, requests and engine model of a simulated server. */
import type {PickedStep, QueuedItem, RunnableStep} from '@azurecrank/core';
import type {Arrival} from './workload.js';

/** A queued or running request of a simulated server. */
export interface SimRequest extends QueuedItem, RunnableStep {
  readonly arrival: Arrival;
  /** Prompt tokens to prefill, including the output of preempted attempts. */
  readonly promptTokens: number;
  /** Positions still to run before the next output token; 1 while decoding. */
  count: number;
  /** Positions run in this attempt. */
  positions: number;
  usedReservedShare: boolean;
  /** Output tokens generated in all attempts. */
  generated: number;
}

/** Capacity and timing of the engine that stands for a whole chain. */
export interface EngineModel {
  readonly slots: number;
  /** Fixed time of each batch. */
  readonly batchOverheadMs: number;
  readonly decodeTokenMs: number;
  readonly promptTokenMs: number;
  readonly maxPromptTokensPerBatch: number;
}

/** As on accelerators, most of a batch's time is the fixed cost of reading the weights. */
export const DEFAULT_ENGINE: EngineModel = {
  slots: 32,
  batchOverheadMs: 20,
  decodeTokenMs: 0.1,
  promptTokenMs: 0.03,
  maxPromptTokensPerBatch: 1024,
};

/** Measurements of a batch that has ended. */
export interface BatchObservation {
  readonly stepMs: number;
  /** Prompt and output positions that ran in the batch. */
  readonly tokens: number;
  /** Number of running requests, including those that finish with the batch. */
  readonly running: number;
  readonly nowMs: number;
}

export abstract class Scheduler {
  /** Queues a request; returns the requests that are refused because of it. */
  abstract enqueue(
    request: SimRequest,
    running: readonly SimRequest[],
    nowMs: number,
  ): readonly SimRequest[];
  /** Removes and returns queued requests that can no longer meet their deadline. */
  abstract removeExpired(nowMs: number): readonly SimRequest[];
  /** Selects a running request to be preempted for an urgent one. */
  abstract selectVictim(running: readonly SimRequest[]): SimRequest | undefined;
  /** Removes and returns the next request to run, if a slot is available to it. */
  abstract dequeue(
    running: readonly SimRequest[],
    nowMs: number,
  ): SimRequest | undefined;
  /** Selects the requests of the next batch and how many positions each runs. */
  abstract formBatch(
    running: readonly SimRequest[],
    nowMs: number,
  ): readonly PickedStep<SimRequest>[];
  /** Settles a request that finished or was preempted. */
  abstract release(request: SimRequest, finished: boolean): void;
  /** Updates the estimates after a batch. */
  abstract recordBatch(observation: BatchObservation): void;
  /** Returns the cost in tokens of queued and running requests, by rank. */
  abstract outstandingCostByRank(): readonly number[];
}
