/** Client of the plain service that runs beside a side process. */
import {Agent, errors, request, type Dispatcher} from 'undici';

export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/**
 * Outcome of one call. `not_sent` means that no byte of the request reached the
 * service; `unknown` means that the service may have run it.
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
  /** Sends the request once, without retries. */
  abstract call(serviceRequest: ServiceRequest): Promise<ServiceOutcome>;
}

/** Error codes of connections that were never established. */
const NOT_SENT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** HTTP client of a plain service. */
export class HttpPlainService extends PlainService implements Disposable {
  /**
   * Without keep-alive, a request cannot be sent on a connection that the
   * service is closing, after which it would be unknown whether it ran.
   */
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
  return typeof code === 'string' && NOT_SENT_ERROR_CODES.has(code);
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
