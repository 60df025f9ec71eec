/** Plain services for callers: `ANY /services/SERVICE/PATH`. */
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
  readonly servers: (service: ServiceId) => readonly ServiceServer[];
}

const PREFIX = '/services/';
const KEY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 255;

/** Headers that say something of the exchange with this process only. */
const OWN_HEADERS = new Set(['authorization', KEY_HEADER, 'host']);

export class CallGateway {
  constructor(private readonly options: CallGatewayOptions) {}

  addRoutes(app: Polka): void {
    app.use((req, res, next) => {
      if (!req.url?.startsWith(PREFIX)) return next();
      this.options.gate.handle(req, res, exchange => this.call(exchange));
    });
  }

  private async call(exchange: Exchange): Promise<void> {
    const {gate, refusals, dispatcher} = this.options;
    const caller = gate.authenticate(exchange);
    if (!caller || !gate.admit(exchange, 'call')) return;
    const {req, res, request} = exchange;
    const {name, path} = splitUrl(req.url ?? '');
    const info = this.findService(exchange, caller, name);
    const limits = info && gate.readHeaders(exchange, info);
    if (!limits) return;
    const idempotencyKey = this.readKey(exchange);
    if (idempotencyKey === undefined) return;
    const body = await gate.readBody(exchange);
    if (!body) return;
    const left = new AbortController();
    res.once('close', () => left.abort());
    if (res.destroyed) left.abort();
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
      this.options.servers(service),
      left.signal,
    );
    if (isRefusal(answer)) refusals.refuse(exchange, answer);
    else sendResult(res, answer);
  }

  /** Returns a service the caller may use, or answers a refusal. */
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
   * Returns the idempotency key, empty if there is none. An empty header is
   * refused: the caller believes that it has protected the call.
   */
  private readKey(exchange: Exchange): string | undefined {
    const key = exchange.req.headers[KEY_HEADER];
    if (key === undefined) return '';
    const text = String(key);
    if (text !== '' && text.length <= MAX_KEY_LENGTH) return text;
    const detail = `${KEY_HEADER}: expected 1 to ${MAX_KEY_LENGTH} characters`;
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

function splitUrl(url: string): {name: ServiceId; path: string} {
  const rest = url.slice(PREFIX.length);
  const end = rest.search(/[/?]/);
  if (end < 0) return {name: toId<ServiceId>(rest), path: '/'};
  const tail = rest.slice(end);
  const path = tail.startsWith('/') ? tail : `/${tail}`;
  return {name: toId<ServiceId>(rest.slice(0, end)), path};
}

function toForwardedHeaders(req: IncomingMessage): Record<string, string> {
  return Object.fromEntries(
    Object.entries(req.headers)
      .filter(([name, value]) => value !== undefined && !OWN_HEADERS.has(name))
      .map(([name, value]) => [name, String(value)]),
  );
}
