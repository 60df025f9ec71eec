/**
 * What the forwarding entry needs from the formats of a platform. An adapter
 * implements these classes; it translates and decides nothing.
 */
import type {ServerId} from '@azurecrank/core';
import type {
  BackendServer,
  LayerRange,
  ServerAddress,
} from '../fleet/backend_server.js';
import type {ServerPath} from '../paths/server_path.js';
import type {RoutingTable} from '../routing/routing_table.js';

/** Raw header list: name, value, name, value and so on. */
export type RawHeaders = readonly string[];

/** What a caller's headers say. */
export interface CallerFacts {
  /** Unique for each attempt of a caller; empty if it is missing. */
  readonly request: string;
  /** Time the caller waits, in milliseconds; undefined if it did not say. */
  readonly deadlineMs: number | undefined;
  /** API key; undefined if there is none. */
  readonly key: string | undefined;
  /** The last event that the caller has; undefined for a new stream. */
  readonly lastEventId: string | undefined;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the answer's tokens. */
  readonly expectedAnswerTokens: number | undefined;
}

/** What is told to a server about a request, besides what the caller sent. */
export interface ServerFacts {
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  /** The only server that may run the request. */
  readonly server: ServerId;
  /** Undefined for a plain call. */
  readonly path: ServerPath | undefined;
  /** 0 is the most urgent; undefined for a plain call. */
  readonly priority: number | undefined;
  readonly lastEventId: string | undefined;
}

/** What a server's status and headers say. */
export interface ResponseFacts {
  /** Request that the response belongs to; empty if it does not say. */
  readonly request: string;
  /** The server states that it did not run the request. */
  readonly notRun: boolean;
  /** The server on the path that is at fault. */
  readonly faultyAddress: ServerAddress | undefined;
}

export abstract class WireCodec {
  abstract readCaller(headers: RawHeaders): CallerFacts;

  /** Returns the headers for the server, without those of one channel. */
  abstract toServer(
    headers: RawHeaders,
    facts: ServerFacts,
    dropsKey: boolean,
  ): string[];

  abstract readResponse(status: number, headers: RawHeaders): ResponseFacts;

  /** Returns the headers for the caller, without those of one channel. */
  abstract toCaller(headers: RawHeaders): string[];
}

/** A stored value that cannot be used. */
export interface DecodeError {
  readonly kind: 'unreadable';
  readonly step: string;
  readonly cause: string;
}

export type Decoded<T> =
  {readonly kind: 'decoded'; readonly value: T} | DecodeError;

/** One change below a prefix of the store. */
export interface StoreChange {
  readonly key: string;
  /** Undefined if the key was removed. */
  readonly value: string | undefined;
}

export interface StoreSnapshot {
  readonly entries: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
  }>;
  /** Revision from which a watch continues. */
  readonly revision: number;
}

export type WatchOutcome =
  | {
      readonly kind: 'changes';
      readonly changes: readonly StoreChange[];
      readonly revision: number;
    }
  /** The history is gone; everything has to be read again. */
  | {readonly kind: 'compacted'};

/** Reads and follows whole prefixes of the platform's store. */
export abstract class PrefixStore {
  /** @throws KeyValueUnavailableError */
  abstract scan(prefix: string): Promise<StoreSnapshot>;

  /** @throws KeyValueUnavailableError */
  abstract follow(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<WatchOutcome>;
}

/** Where the platform keeps what, and how it is written. */
export abstract class StoreCodec {
  /** Prefix and key of the routing table. */
  abstract readonly tablePrefix: string;
  abstract readonly tableKey: string;
  abstract readonly serversPrefix: string;
  abstract decodeTable(value: string): Decoded<RoutingTable>;
  /** @returns the id even if the rest cannot be used. */
  abstract serverIdOf(key: string): ServerId;
  abstract decodeServer(key: string, value: string): Decoded<BackendServer>;
}

/** State of a server as it reports itself. */
export interface ServerReport {
  readonly layers: LayerRange | undefined;
  /** Whether an order is being carried out. */
  readonly isBusy: boolean;
  /** Orders accepted since the start; expected by the next order. */
  readonly orderSequence: number;
  readonly bornAtMs: number;
  /** Above 1 the server is slower than its kind. */
  readonly pace: number;
  /**
   * Memory for requests in tokens times layers while an order is carried out;
   * the layers are those after it.
   */
  readonly reloadingCells: number | undefined;
  /** Requests that began here and wait for another server. */
  readonly stalled: ReadonlyArray<{
    readonly request: string;
    readonly address: ServerAddress;
  }>;
}

export type OrderOutcome =
  | {readonly kind: 'accepted'}
  /** A newer fencing number has been used. */
  | {readonly kind: 'fenced'}
  /** The order does not fit the server's state. */
  | {readonly kind: 'conflict'; readonly faultyAddress?: ServerAddress}
  /** The request is not there. */
  | {readonly kind: 'missing'}
  /** No answer; it may be carried out later. */
  | {readonly kind: 'unknown'; readonly cause: string};

export interface PlaceOrder {
  readonly server: BackendServer;
  readonly range: LayerRange;
  readonly fence: number;
  readonly expectedSequence: number;
}

export type Health =
  | 'healthy'
  /** The server says that it leaves or fails. */
  | 'unhealthy'
  /** The server has no place for the question. */
  | 'busy'
  | 'silent';

export abstract class ServerControl {
  abstract health(
    address: ServerAddress,
    path: string,
    timeoutMs: number,
  ): Promise<Health>;

  /** @throws ServerControlError */
  abstract report(
    address: ServerAddress,
    timeoutMs: number,
  ): Promise<ServerReport>;

  abstract place(order: PlaceOrder): Promise<OrderOutcome>;

  /** Moves a running request to another path with the same first part. */
  abstract repath(
    request: string,
    path: ServerPath,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
}

/** A server gave no usable answer to a control call. */
export class ServerControlError extends Error {
  constructor(
    readonly step: string,
    readonly peer: string,
    cause: string,
  ) {
    super(`server ${peer}: ${step}: ${cause}`);
    this.name = 'ServerControlError';
  }
}

/** Everything that an adapter provides. */
export interface PlatformAdapter {
  readonly wire: WireCodec;
  readonly store: StoreCodec;
  readonly prefixes: PrefixStore;
  readonly control: ServerControl;
  /** Path of the balancer's question whether the entry is ready. */
  readonly readyPath: string;
}
