/** A caller's request and response while the request is served. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {LogFields, Rank, RequestId, WorkspaceId} from '@azurecrank/core';
import type {CallerMetadata} from '../adapter/platform_adapter.js';
import {
  digestOf,
  scopeOf,
  type DigestedRequest,
  type RequestDigest,
  type RequestScope,
} from '../quarantine/request_digest.js';
import type {Route, RoutingTable} from '../routing/routing_table.js';

export interface AcceptedRequest {
  readonly route: Route;
  /** Undefined for an anonymous caller. */
  readonly workspace: WorkspaceId | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly rank: Rank;
  /** Whether the caller's API key is removed before the server gets it. */
  readonly stripsApiKey: boolean;
  readonly table: RoutingTable;
  readonly body: Buffer | undefined;
  /** Deadline on the monotonic clock of the process, in milliseconds. */
  readonly deadlineAtMs: number;
}

export class CallerExchange {
  readonly request: RequestId;
  accepted: AcceptedRequest | undefined;
  private knownDigest: RequestDigest | undefined;
  private knownScope: RequestScope | undefined;
  private hasLostServer = false;

  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly metadata: CallerMetadata,
    readonly receivedAtMs: number,
  ) {
    this.request = metadata.request as RequestId;
  }

  get target(): string {
    return this.req.url ?? '/';
  }

  get method(): string {
    return this.req.method ?? 'GET';
  }

  /** Computed when it is first asked for, once the body has been read. */
  get digest(): RequestDigest {
    this.knownDigest ??= digestOf(this.digested);
    return this.knownDigest;
  }

  /** As `digest`, at a cost that does not depend on the body. */
  get scope(): RequestScope {
    this.knownScope ??= scopeOf(this.digested);
    return this.knownScope;
  }

  private get digested(): DigestedRequest {
    const {req, method, target, accepted} = this;
    return {
      workspace: accepted?.workspace,
      method,
      host: req.headers?.host ?? '',
      target,
      body: accepted?.body,
    };
  }

  /** Whether the caller closed the connection before the response ended. */
  get isDisconnected(): boolean {
    const {req, res} = this;
    const isClosing = res.destroyed || req.socket?.readableEnded === true;
    return isClosing && !res.writableFinished;
  }

  /** Records that a server was lost with the request. */
  recordLoss(): void {
    this.hasLostServer = true;
  }

  /** Has the digest of a request with which a server was lost. */
  logFields(): LogFields {
    const {request, accepted} = this;
    return {
      request,
      ...(this.hasLostServer && {digest: this.digest}),
      workspace: accepted?.workspace,
      route: accepted?.route.name,
      priority: accepted?.priority,
      rank: accepted?.rank,
      configVersion: accepted?.table.version,
    };
  }
}
