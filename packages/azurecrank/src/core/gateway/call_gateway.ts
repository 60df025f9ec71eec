/** Plain services for callers: `ANY /services/SERVICE/PATH`. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createRequestId,
  refuse,
  toId,
  type CallResult,
  type InstanceId,
  type Refusal,
  type ServiceId,
  type ServiceServer,
} from '@azurecrank/core';
import type {Polka} from 'polka';
import type {CallDispatcher} from '../calls/call_dispatcher.js';
import type {CallerDirectory} from './caller_directory.js';
import {sendProblem} from './chat_response.js';
import {type Gateway, readDeadlineMs, readRank} from './gateway.js';
import {readBody} from './http_body.js';

export interface CallGatewayOptions {
  readonly instance: InstanceId;
  readonly gateway: Gateway;
  readonly directory: CallerDirectory;
  readonly dispatcher: CallDispatcher;
  readonly maxBodyBytes: number;
  readonly servers: (service: ServiceId) => readonly ServiceServer[];
}

const PREFIX = '/services/';
const KEY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 255;

/** Headers that say something of the exchange with this process only. */
const OWN_HEADERS = new Set(['authorization', KEY_HEADER, 'host']);

export class CallGateway {
  /** Calls that have not been answered. */
  inFlight = 0;

  constructor(private readonly options: CallGatewayOptions) {}

  addRoutes(app: Polka): void {
    app.use((req, res, next) => {
      if (!req.url?.startsWith(PREFIX)) return next();
      this.inFlight++;
      void this.call(req, res).finally(() => this.inFlight--);
    });
  }

  private async call(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {gateway, directory, maxBodyBytes, instance} = this.options;
    const caller = gateway.authenticate(req, res);
    if (!caller) return;
    const {name, path} = splitUrl(req.url ?? '');
    const info = directory.findPlainService(name);
    if (!info) return gateway.refuse(res, refuse('unknown_service', 'accept'));
    const {service} = info;
    if (!directory.mayUse(caller, service)) {
      return gateway.refuse(res, refuse('forbidden_service', 'accept'));
    }
    const idempotencyKey = String(req.headers[KEY_HEADER] ?? '');
    if (idempotencyKey.length > MAX_KEY_LENGTH) {
      const detail = `Idempotency-Key is longer than ${MAX_KEY_LENGTH}`;
      return gateway.refuse(res, refuse('invalid_request', 'accept', {detail}));
    }
    const body = await readBody(req, maxBodyBytes);
    if (!body) return gateway.refuse(res, refuse('body_too_large', 'accept'));
    const left = new AbortController();
    res.once('close', () => left.abort());
    const method = req.method ?? 'GET';
    const request = createRequestId(instance);
    const answer = await this.options.dispatcher.dispatch(
      {
        request,
        workspace: caller.workspace,
        service,
        rank: readRank(req, info.rank),
        method,
        path,
        headers: toForwardedHeaders(req),
        body,
        idempotencyKey,
        idempotent: directory.isIdempotent(service, method, path),
        deadlineMs: readDeadlineMs(req, info.deadlineMs),
      },
      this.options.servers(service),
      left.signal,
    );
    res.setHeader('azurecrank-request-id', request);
    if (isRefusal(answer)) {
      gateway.count(answer);
      return sendProblem(res, answer, request);
    }
    sendResult(res, answer);
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
