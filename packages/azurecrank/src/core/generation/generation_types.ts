/** Input, output sink and dependencies of a generation. */
import type {
  Chain,
  Logger,
  MessageTransport,
  Metrics,
  ModelId,
  Rank,
  ExecutionState,
  Refusal,
  RequestId,
  RetryReason,
  ServerId,
  ServiceId,
  WorkspaceId,
} from '@azurecrank/core';

export interface GenerationRequest {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly weight: number;
  readonly rank: Rank;
  readonly service: ServiceId;
  readonly model: ModelId;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Deadlines are times of `performance.now()`. */
  readonly deadlineAtMs: number;
  readonly firstTokenDeadlineAtMs: number;
}

/** Receives the answer. `onEnd` or `onRefused` is the last call. */
export interface GenerationSink {
  onToken(text: string): void;
  onEnd(finish: 'stop' | 'length', promptTokens: number): void;
  onRefused(refusal: Refusal): void;
}

/** Chooses chains, permits retries and records what happened to servers. */
export abstract class GenerationPolicy {
  abstract chooseChain(
    request: GenerationRequest,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined;
  /** Returns the chain with another server for `stage`, if there is one. */
  abstract replaceStage(
    chain: Chain,
    stage: number,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined;
  /** Returns whether a retry is allowed now, and charges the retry budget. */
  abstract allowRetry(
    reason: RetryReason,
    ran: ExecutionState,
    retriesForReason: number,
    remainingMs: number,
  ): boolean;
  abstract recordSuccess(): void;
  /** Records that a server has refused work because it is leaving. */
  abstract recordLeaving(server: ServerId): void;
  /** Records that the stage before a server cannot reach it. */
  abstract recordDown(server: ServerId): void;
  /**
   * Returns the chain with every unusable server after the head replaced, as
   * far as replacements exist.
   */
  abstract replaceUnusable(chain: Chain): Chain;
}

export interface GenerationDependencies {
  readonly transport: MessageTransport;
  readonly policy: GenerationPolicy;
  readonly metrics: Metrics;
  readonly logger: Logger;
}
