/**
 * Interfaces between the forwarding entry and a platform: HTTP headers, stored
 * values, and calls to the store and to the servers. An adapter implements
 * them; it translates formats and makes no decisions.
 */
import type {PromptPartId, ServerId} from '@azurecrank/core';
import type {
  BackendServer,
  LayerRange,
  ServerAddress,
} from '../fleet/backend_server.js';
import type {ServerPath} from '../paths/server_path.js';
import type {RoutingTable} from '../routing/routing_table.js';

/** Headers as a flat list of alternating names and values. */
export type RawHeaders = readonly string[];

/** Metadata of a request in the headers of its caller. */
export interface CallerMetadata {
  /** Request id, unique for each attempt of a caller; empty if missing. */
  readonly request: string;
  /** Time until the caller gives up; undefined if it is not stated. */
  readonly deadlineMs: number | undefined;
  /** API key; undefined if there is none. */
  readonly key: string | undefined;
  /** Id of the last event that the caller has; undefined for a new stream. */
  readonly lastEventId: string | undefined;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the tokens of the answer. */
  readonly expectedAnswerTokens: number | undefined;
  /**
   * Parts of the prompt that other requests may share, in their order. The part
   * that belongs to the request or its session is left out.
   */
  readonly sharedPromptParts: readonly PromptPartId[];
}

/** Metadata of a request that is sent to a server with the caller's headers. */
export interface ServerRequestMetadata {
  /** Remaining time until the caller gives up. */
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  /** The server that the request is for; any other one refuses it. */
  readonly server: ServerId;
  /** Undefined for a plain call. */
  readonly path: ServerPath | undefined;
  /** 0 is the most urgent; undefined for a plain call. */
  readonly priority: number | undefined;
  readonly lastEventId: string | undefined;
}

/** Metadata of a response in its status and headers. */
export interface ResponseMetadata {
  /** Id of the request that was answered; empty if it is not stated. */
  readonly request: string;
  /** Whether the server states that it did not run the request. */
  readonly notRun: boolean;
  /**
   * Whether callers take the status of the response for the statement that the
   * request has not run.
   */
  readonly isRefusalStatus: boolean;
  /** The server on the path that failed, if the response names one. */
  readonly faultyAddress: ServerAddress | undefined;
  /** Whether the server that responded states that it leaves. */
  readonly isServerLeaving: boolean;
  /**
   * Requests a second that the server takes from all entries together, as long
   * as its responses say so; undefined if it names no limit.
   */
  readonly requestLimitPerS: number | undefined;
  /**
   * Time for which the refusing server, `faultyAddress` if there is one, wants
   * no more requests from this entry; undefined if it names none.
   */
  readonly retryAfterMs: number | undefined;
}

/** Translates between the HTTP headers of a platform and metadata. */
export abstract class WireCodec {
  abstract parseCallerHeaders(headers: RawHeaders): CallerMetadata;

  /**
   * Returns the headers for the server, without hop-by-hop headers.
   * @param dropsKey whether to leave out the API key of the caller.
   */
  abstract toServerHeaders(
    headers: RawHeaders,
    metadata: ServerRequestMetadata,
    dropsKey: boolean,
  ): string[];

  abstract parseResponse(status: number, headers: RawHeaders): ResponseMetadata;

  /** Returns the headers for the caller, without hop-by-hop headers. */
  abstract toCallerHeaders(headers: RawHeaders): string[];
}

/** A stored value that could not be decoded. */
export interface DecodeError {
  readonly kind: 'unreadable';
  readonly step: string;
  readonly cause: string;
}

export type Decoded<T> =
  {readonly kind: 'decoded'; readonly value: T} | DecodeError;

/** A change of a key with a watched prefix. */
export interface StoreChange {
  readonly key: string;
  /** The new value; undefined if the key was removed. */
  readonly value: string | undefined;
}

export interface StoreSnapshot {
  readonly entries: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
  }>;
  /** Revision from which a watch has to start. */
  readonly revision: number;
  /** Rises each time that the store is restored from an older copy. */
  readonly era: number;
}

export type WatchOutcome =
  | {
      readonly kind: 'changes';
      readonly changes: readonly StoreChange[];
      readonly revision: number;
    }
  /**
   * The store no longer has the changes after the revision, because it was
   * compacted or restored; the whole prefix has to be read again.
   */
  | {readonly kind: 'history_lost'};

/**
 * The store came back from an older copy. It has lost later writes and all
 * later leases, and what it counts as its next era has begun.
 */
export interface StoreRestore {
  readonly previousEra: number;
  readonly era: number;
}

/** Reads and watches all keys with a prefix in the store of the platform. */
export abstract class PrefixStore {
  /**
   * Reads all entries.
   * @throws KeyValueUnavailableError
   */
  abstract scan(prefix: string): Promise<StoreSnapshot>;

  /**
   * Waits up to `waitMs` for changes after a revision.
   * @throws KeyValueUnavailableError
   */
  abstract watchPrefix(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<WatchOutcome>;

  /**
   * Calls the listener once for each restore of the store, with the first
   * response that shows it, until the result is disposed.
   */
  abstract onRestore(listener: (restore: StoreRestore) => void): Disposable;
}

/** Keys and formats of what the platform stores. */
export abstract class StoreCodec {
  /** Prefix to watch for the routing table. */
  abstract readonly tablePrefix: string;
  abstract readonly tableKey: string;
  /** Prefix of the registrations of backend servers. */
  abstract readonly serversPrefix: string;
  abstract decodeTable(value: string): Decoded<RoutingTable>;
  /**
   * Returns the server id in the key of a registration, also if the value is
   * invalid.
   */
  abstract serverIdOf(key: string): ServerId;
  abstract decodeServer(key: string, value: string): Decoded<BackendServer>;
}

/** The state that a server reports. */
export interface ServerReport {
  readonly layers: LayerRange | undefined;
  /** Whether the server carries out an order. */
  readonly isBusy: boolean;
  /** Whether the server states that it leaves. */
  readonly isLeaving: boolean;
  /**
   * Number of orders accepted since the start; the next order has to state it.
   */
  readonly orderSequence: number;
  /** Start of this incarnation, Unix time in milliseconds. */
  readonly startedAtMs: number;
  /** How many times slower than its kind the server is; 1 is normal. */
  readonly slowdownFactor: number;
  /**
   * KV-cache capacity in layer tokens (tokens times layers) while the server
   * carries out an order; `layers` are already those after the order.
   */
  readonly reloadingLayerTokens: number | undefined;
  /** Requests with this first server that wait for the server at `address`. */
  readonly stalled: ReadonlyArray<{
    readonly request: string;
    readonly address: ServerAddress;
  }>;
}

/** Outcome of an order to a server. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  /** Refused, as the server has seen a higher fencing number. */
  | {readonly kind: 'fenced'}
  /** Refused, as the order does not match the state of the server. */
  | {readonly kind: 'conflict'; readonly faultyAddress?: ServerAddress}
  /** The server does not have the request. */
  | {readonly kind: 'missing'}
  /** No usable response; the order may be carried out later. */
  | {readonly kind: 'unknown'; readonly cause: string};

/** An order to hold a range of layers. */
export interface FencedLayoutOrder {
  readonly server: BackendServer;
  readonly range: LayerRange;
  /** Fencing number of the holder of the layout lease. */
  readonly fence: number;
  /** The `orderSequence` that the server last reported. */
  readonly expectedSequence: number;
}

/** Result of a health check. */
export type HealthCheckResult =
  | 'healthy'
  /** The server states that it leaves. */
  | 'leaving'
  /** The server answered that it leaves or fails, without saying which. */
  | 'unhealthy'
  /** The server was too busy to run the health check. */
  | 'busy'
  /** The server did not answer. */
  | 'silent';

/** Control calls to the servers of the platform. */
export abstract class ServerControl {
  abstract checkHealth(
    address: ServerAddress,
    path: string,
    timeoutMs: number,
  ): Promise<HealthCheckResult>;

  /** @throws ServerControlError */
  abstract fetchReport(
    address: ServerAddress,
    timeoutMs: number,
  ): Promise<ServerReport>;

  abstract placeLayers(order: FencedLayoutOrder): Promise<OrderOutcome>;

  /** Moves a running request to another path with the same first stage. */
  abstract repath(
    request: string,
    path: ServerPath,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
}

/** A control call got no usable response. */
export class ServerControlError extends Error {
  constructor(
    readonly step: string,
    readonly peer: string,
    cause: string,
  ) {
    super(`server ${peer} gave no usable response to ${step}: ${cause}`);
    this.name = 'ServerControlError';
  }
}

/** Everything that an adapter provides. */
export interface PlatformAdapter {
  readonly wire: WireCodec;
  readonly store: StoreCodec;
  readonly prefixes: PrefixStore;
  readonly control: ServerControl;
  /** URL path of the load balancer's readiness check. */
  readonly readyPath: string;
}
