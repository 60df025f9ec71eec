/**
 * Reports why the requests of a model wait: a metric with the time that they
 * wait for each reason, and at most one log line a second. Times are arguments.
 */
import type {Logger, Metrics, ServiceId} from '@azurecrank/core';

/**
 * Why requests wait.
 * - `no_chain`: no servers together hold all layers.
 * - `no_free_tokens`: the KV-cache tokens of all chains are in use.
 * - `chain_closed`: a chain has free tokens, but it has just refused a request
 *   or a limit that its server names is used up.
 * - `other_entries_first`: tokens are free for requests of other entries.
 * - `interrupted_first`: tokens are kept for streams that lost their chain.
 */
export type WaitReason =
  | 'no_chain'
  | 'no_free_tokens'
  | 'chain_closed'
  | 'other_entries_first'
  | 'interrupted_first';

/** The queue of a model while requests wait in it. */
export interface WaitingQueue {
  readonly requests: number;
  /** Time for which the oldest request has waited. */
  readonly oldestAgeMs: number;
  readonly reason: WaitReason;
  /** Tokens that all chains can admit together. */
  readonly freeTokens: number;
}

/** Minimum time between two log lines. */
const LOG_INTERVAL_MS = 1000;

export interface QueueWaitReporterOptions {
  readonly service: ServiceId;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class QueueWaitReporter {
  private sampledAtMs: number | undefined;
  private loggedAtMs = -Infinity;

  constructor(private readonly options: QueueWaitReporterOptions) {}

  /**
   * Records the queue as it has been since the last sample.
   * @param queue undefined if no request waits
   */
  sample(queue: WaitingQueue | undefined, nowMs: number): void {
    const sinceMs = this.sampledAtMs ?? nowMs;
    this.sampledAtMs = nowMs;
    if (!queue) return;
    const {service, logger, metrics} = this.options;
    metrics.increment(
      'azurecrank_queue_wait_ms_total',
      {reason: queue.reason},
      queue.requests * (nowMs - sinceMs),
    );
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    logger.info('requests wait for a chain', {
      service,
      reason: queue.reason,
      requests: queue.requests,
      oldestAgeMs: Math.round(queue.oldestAgeMs),
      freeTokens: Math.round(queue.freeTokens),
    });
  }
}
