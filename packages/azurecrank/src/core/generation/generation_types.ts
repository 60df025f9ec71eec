/** What a generation is given and what it depends on. */
import type {
  Chain,
  Logger,
  MessageTransport,
  Metrics,
  ModelId,
  Rank,
  RanState,
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
  /** Times by `performance.now()`. */
  readonly deadlineAtMs: number;
  readonly firstTokenDeadlineAtMs: number;
}

/** Receives the answer; after `onEnd` or `onRefused` nothing follows. */
export interface GenerationSink {
  onToken(text: string): void;
  onEnd(finish: 'stop' | 'length', promptTokens: number): void;
  onRefused(refusal: Refusal): void;
}

/** Choice of chains and permission for retries. */
export abstract class GenerationPolicy {
  abstract chooseChain(
    request: GenerationRequest,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined;
  /** Returns the chain with stage `stage` on another server, if there is one. */
  abstract replaceStage(
    chain: Chain,
    stage: number,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined;
  /** Whether a retry for this reason is allowed now. */
  abstract allowRetry(
    reason: RetryReason,
    ran: RanState,
    retriesForReason: number,
    remainingMs: number,
  ): boolean;
  abstract recordSuccess(): void;
  /** A server has refused work because it is leaving. */
  abstract noteLeaving(server: ServerId): void;
  /** A server cannot be reached by the stage before it. */
  abstract noteLost(server: ServerId): void;
  /** Returns the chain with usable servers after its head, where there are. */
  abstract withUsableStages(chain: Chain): Chain;
}

export interface GenerationDependencies {
  readonly transport: MessageTransport;
  readonly policy: GenerationPolicy;
  readonly metrics: Metrics;
  readonly logger: Logger;
}
