/** What operators have configured, as the forwarding entry uses it. */
import type {ServiceId, WorkspaceId} from '@azurecrank/core';

/** What may be repeated follows from the kind alone. */
export type CallKind = 'idempotent' | 'non_idempotent' | 'stream';

export interface ServiceShare {
  readonly service: ServiceId;
  /** Relative part of the route's requests; positive. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly allowsAnonymous: boolean;
  /** Whether a stream may continue on another server. */
  readonly isResumable: boolean;
  /** Longest pause between two events of a stream. */
  readonly pauseTargetMs: number;
  readonly services: readonly ServiceShare[];
}

/** A kind of accelerator. Times are relative to the engine's base times. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMb: number;
  /** Factor on the time of a decode step. */
  readonly decodeFactor: number;
  /** Factor on the time of reading prompts. */
  readonly prefillFactor: number;
}

/** A model whose layers are spread over the servers of a service. */
export interface ModelSpec {
  readonly layers: number;
  readonly layerMb: number;
  /** KV cache of one token over all layers. */
  readonly kvBytesPerToken: number;
  /** Base time of a decode step over all layers. */
  readonly stepMs: number;
  /** Added to a step by each sequence in its batch. */
  readonly stepPerSequenceMs: number;
  readonly prefillTokensPerMs: number;
  /** Requests that a first server takes at once. */
  readonly slots: number;
  /** Bytes that pass between servers for each token. */
  readonly activationBytes: number;
  /** Shared by all transfers between two availability zones. */
  readonly zonePipeMbps: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly accelerators: ReadonlyMap<string, AcceleratorKind>;
}

export interface ServiceSpec {
  readonly service: ServiceId;
  readonly healthPath: string;
  /** Absent for a plain service. */
  readonly model?: ModelSpec;
}

export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface Workspace {
  readonly workspace: WorkspaceId;
  /** Takes precedence over the priority of a route. */
  readonly priority: number | undefined;
}

export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServiceSpec>;
  readonly limits: CallerLimits;
  /** By API key; undefined if callers need no key. */
  readonly workspaces: ReadonlyMap<string, Workspace> | undefined;
}
