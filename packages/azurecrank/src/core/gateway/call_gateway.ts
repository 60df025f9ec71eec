/** Handles calls of plain services: any method on `/services/SERVICE/PATH`. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  toId,
  type CallResult,
  type Refusal,
  type ServiceId,
  type ServiceServer,
} from '@azurecrank/core';
import type {Polka} from 'polka';
import type {CallDispatcher} from '../calls/call_dispatcher.js';
import type {
  Caller,
  CallerDirectory,
  PlainServiceInfo,
} from './caller_directory.js';
import type {Exchange} from './exchange.js';
import type {RefusalSender} from './refusal_sender.js';
import type {RequestGate} from './request_gate.js';

export interface CallGatewayOptions {
  readonly gate: RequestGate;
  readonly refusals: RefusalSender;
  readonly directory: CallerDirectory;
  readonly dispatcher: CallDispatcher;
  /** Servers of the service that accept new calls. */
  readonly usableServers: (service: ServiceId) => readonly ServiceServer[];
}

const SERVICES_PATH_PREFIX = '/services/';
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const MAX_IDEMPOTENCY_KEY_CHARS = 255;

/** Headers that concern only this process and are not forwarded. */
const ENTRY_ONLY_HEADERS = new Set([
  'authorization',
  IDEMPOTENCY_KEY_HEADER,
  'host',
]);

export class CallGateway {
  constructor(private readonly options: CallGatewayOptions) {}

  addRoutes(app: Polka): void {
    app.use((req, res, next) => {
      if (!req.url?.startsWith(SERVICES_PATH_PREFIX)) return next();
      this.options.gate.handle(req, res, exchange => this.handleCall(exchange));
    });
  }

  private async handleCall(exchange: Exchange): Promise<void> {
    const {gate, refusals, dispatcher} = this.options;
    const caller = gate.authenticate(exchange);
    if (!caller || !gate.admit(exchange, 'call')) return;
    const {req, res, request} = exchange;
    const {name, path} = splitUrl(req.url ?? '');
    const info = this.findService(exchange, caller, name);
    const limits = info && gate.readHeaders(exchange, info);
    if (!limits) return;
    const idempotencyKey = this.readIdempotencyKey(exchange);
    if (idempotencyKey === undefined) return;
    const body = await gate.readBody(exchange);
    if (!body) return;
    const callerLeft = new AbortController();
    res.once('close', () => callerLeft.abort());
    if (res.destroyed) callerLeft.abort();
    const {service} = info;
    const method = req.method ?? 'GET';
    const answer = await dispatcher.dispatch(
      {
        request,
        workspace: caller.workspace,
        service,
        rank: limits.rank,
        method,
        path,
        headers: toForwardedHeaders(req),
        body,
        idempotencyKey,
        idempotent: this.options.directory.isIdempotent(service, method, path),
        deadlineMs: limits.deadlineMs,
      },
      this.options.usableServers(service),
      callerLeft.signal,
    );
    if (isRefusal(answer)) refusals.refuse(exchange, answer);
    else sendResult(res, answer);
  }

  /** Returns a service that the caller may use, or answers with a refusal. */
  private findService(
    exchange: Exchange,
    caller: Caller,
    name: ServiceId,
  ): PlainServiceInfo | undefined {
    const {gate, directory} = this.options;
    const info = directory.findPlainService(name);
    if (!info) {
      const detail = `no plain service named ${name}`;
      gate.refuse(exchange, 'unknown_service', {detail});
      return undefined;
    }
    exchange.service = info.service;
    if (directory.mayUse(caller, info.service)) return info;
    gate.refuse(exchange, 'forbidden_service');
    return undefined;
  }

  /**
   * Returns the idempotency key, or an empty string if there is none. Answers
   * an empty or too long header with a refusal and returns undefined: without a
   * key the call would not be protected from running twice, as the caller
   * expects.
   */
  private readIdempotencyKey(exchange: Exchange): string | undefined {
    const key = exchange.req.headers[IDEMPOTENCY_KEY_HEADER];
    if (key === undefined) return '';
    const text = String(key);
    if (text !== '' && text.length <= MAX_IDEMPOTENCY_KEY_CHARS) return text;
    const detail = `${IDEMPOTENCY_KEY_HEADER}: expected 1 to ${MAX_IDEMPOTENCY_KEY_CHARS} characters`;
    this.options.gate.refuse(exchange, 'invalid_request', {detail});
    return undefined;
  }
}

function isRefusal(answer: CallResult | Refusal): answer is Refusal {
  return 'kind' in answer && answer.kind === 'refusal';
}

function sendResult(res: ServerResponse, result: CallResult): void {
  res.statusCode = result.status;
  for (const [name, value] of Object.entries(result.headers)) {
    res.setHeader(name, value);
  }
  if (result.replayed) res.setHeader('idempotency-replayed', 'true');
  res.end(Buffer.from(result.body));
}

/** Returns the service name and the path with query that is forwarded. */
function splitUrl(url: string): {name: ServiceId; path: string} {
  const target = url.slice(SERVICES_PATH_PREFIX.length);
  const end = target.search(/[/?]/);
  if (end < 0) return {name: toId<ServiceId>(target), path: '/'};
  const suffix = target.slice(end);
  const path = suffix.startsWith('/') ? suffix : `/${suffix}`;
  return {name: toId<ServiceId>(target.slice(0, end)), path};
}

function toForwardedHeaders(req: IncomingMessage): Record<string, string> {
  return Object.fromEntries(
    Object.entries(req.headers)
      .filter(
        ([name, value]) => value !== undefined && !ENTRY_ONLY_HEADERS.has(name),
      )
      .map(([name, value]) => [name, String(value)]),
  );
}
