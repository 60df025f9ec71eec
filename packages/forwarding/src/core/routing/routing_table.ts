/** Routing table: the operators' configuration as the entry uses it. */
import type {ServiceId, WorkspaceId} from '@azurecrank/core';

/** The kind alone determines whether a request may be retried. */
export type CallKind = 'idempotent' | 'non_idempotent' | 'stream';

export interface WeightedService {
  readonly service: ServiceId;
  /** Share of the route's requests relative to the other weights; positive. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Maximum time that a caller waits for the complete response. */
  readonly timeoutMs: number;
  /** Target time to the response, or to the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Maximum number of servers that one request may reach. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly allowsAnonymous: boolean;
  /** Whether a stream may continue on another server. */
  readonly isResumable: boolean;
  /** Target for the longest pause between two events of a stream. */
  readonly pauseTargetMs: number;
  readonly services: readonly WeightedService[];
}

/** A kind of accelerator. Its factors apply to the model's base times. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMb: number;
  /** Factor on the time of a decode step. */
  readonly decodeFactor: number;
  /** Factor on the time of prefill. */
  readonly prefillFactor: number;
}

/** A model whose layers are spread over the servers of a service. */
export interface ModelSpec {
  readonly layers: number;
  readonly layerMb: number;
  /** KV-cache size of one token over all layers. */
  readonly kvBytesPerToken: number;
  /** Base time of a decode step over all layers. */
  readonly stepMs: number;
  /** Added to a step by each sequence in its batch. */
  readonly stepPerSequenceMs: number;
  readonly prefillTokensPerMs: number;
  /** Maximum number of requests that a first server runs concurrently. */
  readonly slots: number;
  /** Activation bytes sent from one server to the next for each token. */
  readonly activationBytes: number;
  /** Bandwidth shared by all transfers between two availability zones. */
  readonly crossZoneBandwidthMbps: number;
  readonly typicalPromptTokens: number;
  readonly typicalResponseTokens: number;
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
  /** Compared before the priority of the route, which decides between equals. */
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
