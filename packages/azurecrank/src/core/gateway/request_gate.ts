/**
 * Authenticates the requests of callers, applies the limits of this process and
 * reads bodies and headers, before a handler takes over.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  refuse,
  type InstanceId,
  type Metrics,
  type RefusalReason,
} from '@azurecrank/core';
import type {Caller, CallerDirectory} from './caller_directory.js';
import {Exchange} from './exchange.js';
import {readBody, type BodyLimits} from './http_body.js';
import type {RefusalSender} from './refusal_sender.js';
import {
  readRequestHeaders,
  type HeadersResult,
  type ServiceLimits,
} from './request_headers.js';

/** Details contain names from the request, which may be very long. */
const MAX_DETAIL_CHARS = 300;

export interface RequestGateOptions extends BodyLimits {
  readonly instance: InstanceId;
  readonly directory: CallerDirectory;
  readonly metrics: Metrics;
  readonly refusals: RefusalSender;
  readonly maxRequests: number;
  /** Returns the reason for which this process refuses requests, if any. */
  readonly unavailableReason: () => RefusalReason | undefined;
}

export class RequestGate {
  /** Number of requests whose answer is not complete. */
  inFlight = 0;

  constructor(private readonly options: RequestGateOptions) {}

  /**
   * Runs a handler that answers the request. An error that it throws is
   * answered with `internal_error` and does not end the process.
   */
  handle(
    req: IncomingMessage,
    res: ServerResponse,
    handler: (exchange: Exchange) => Promise<void> | void,
  ): void {
    const exchange = new Exchange(req, res, this.options.instance);
    this.inFlight++;
    res.once('close', () => this.inFlight--);
    void (async () => handler(exchange))().catch((error: unknown) => {
      const options = {ran: 'unknown', detail: String(error)} as const;
      this.refuse(exchange, 'internal_error', options);
      if (res.headersSent) res.destroy();
    });
  }

  refuse(
    exchange: Exchange,
    reason: RefusalReason,
    options: {detail?: string; ran?: 'unknown'} = {},
  ): void {
    const detail = options.detail?.slice(0, MAX_DETAIL_CHARS);
    const refusal = refuse(reason, 'accept', {...options, detail});
    this.options.refusals.refuse(exchange, refusal);
  }

  /** Returns the caller, or answers with a refusal. */
  authenticate(exchange: Exchange): Caller | undefined {
    const reason = this.options.unavailableReason();
    if (reason) {
      this.refuse(exchange, reason);
      return undefined;
    }
    const {authorization = ''} = exchange.req.headers;
    const bearerKey = /^Bearer +(\S+) *$/i.exec(authorization)?.[1];
    const caller = bearerKey && this.options.directory.findCaller(bearerKey);
    if (!caller) {
      this.refuse(exchange, 'unauthorized');
      return undefined;
    }
    exchange.workspace = caller.workspace;
    return caller;
  }

  /** Counts a request that needs a backend server, or answers with a refusal. */
  admit(exchange: Exchange, kind: 'chat' | 'call'): boolean {
    if (this.inFlight > this.options.maxRequests) {
      const detail = 'this process has too many requests in flight';
      this.refuse(exchange, 'queue_full', {detail});
      return false;
    }
    this.options.metrics.increment('azurecrank_requests_total', {kind});
    return true;
  }

  /** Returns the whole body, or answers with a refusal. */
  async readBody(exchange: Exchange): Promise<Buffer | undefined> {
    const {maxBodyBytes, bodyTimeoutMs} = this.options;
    const result = await readBody(exchange.req, this.options);
    switch (result.kind) {
      case 'whole':
        return result.body;
      case 'too_large': {
        const detail = `at most ${maxBodyBytes} bytes are accepted`;
        this.refuse(exchange, 'body_too_large', {detail});
        return undefined;
      }
      case 'late': {
        const detail = `the body must be complete within ${bodyTimeoutMs} ms`;
        this.refuse(exchange, 'request_timeout', {detail});
        return undefined;
      }
      case 'left':
        this.refuse(exchange, 'caller_left');
        return undefined;
    }
  }

  /** Returns rank and deadline of the request, or answers with a refusal. */
  readHeaders(
    exchange: Exchange,
    service: ServiceLimits,
  ): ServiceLimits | undefined {
    const result: HeadersResult = readRequestHeaders(exchange.req, service);
    if (result.kind === 'invalid') {
      const {detail} = result;
      this.refuse(exchange, 'invalid_request', {detail});
      return undefined;
    }
    exchange.rank = result.rank;
    return result;
  }
}
