/** A plain service beside its side process. */
import {Agent, errors, request, type Dispatcher} from 'undici';

export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/**
 * Outcome of one call. `not_sent` is only returned when no byte of the request
 * reached the service.
 */
export type ServiceOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: Uint8Array;
    }
  | {readonly kind: 'not_sent'; readonly cause: string}
  | {readonly kind: 'unknown'; readonly cause: string};

export abstract class PlainService {
  /** Sends the request once; never repeats it. */
  abstract call(serviceRequest: ServiceRequest): Promise<ServiceOutcome>;
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Plain service over HTTP. */
export class HttpPlainService extends PlainService implements Disposable {
  /** Without keep-alive a request never meets a connection closed by the peer. */
  private readonly agent = new Agent({pipelining: 0});

  constructor(private readonly baseUrl: string) {
    super();
  }

  override async call(serviceRequest: ServiceRequest): Promise<ServiceOutcome> {
    const {method, path, headers, body, timeoutMs} = serviceRequest;
    try {
      const response = await request(this.baseUrl + path, {
        method: method as Dispatcher.HttpMethod,
        dispatcher: this.agent,
        headers,
        body: body.length === 0 ? undefined : Buffer.from(body),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      return {
        kind: 'answered',
        status: response.statusCode,
        headers: flattenHeaders(response.headers),
        body: Buffer.from(await response.body.arrayBuffer()),
      };
    } catch (error) {
      const kind = wasNotSent(error) ? 'not_sent' : 'unknown';
      return {kind, cause: String(error)};
    }
  }

  [Symbol.dispose](): void {
    void this.agent.destroy();
  }
}

function wasNotSent(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  const code = (error as {code?: unknown}).code;
  return typeof code === 'string' && NOT_SENT_CODES.has(code);
}

function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => [name, String(value)]),
  );
}
