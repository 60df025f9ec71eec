/** HTTP client that calls plain services through an entry. */
import {request} from 'undici';

export interface CallOptions {
  readonly url: string;
  readonly bearerKey: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
  /** Identifies the effect of the call; the stand-in service counts effects by it. */
  readonly reference?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface CallResult {
  readonly status: number;
  readonly body: unknown;
  /** Whether the recorded answer of an earlier call was returned. */
  readonly isReplayed: boolean;
  readonly reason: string;
  /** Whether the service ran the call, as the error answer says. */
  readonly ran: string;
}

/** Sends one call; a failed connection gives status 0. */
export async function sendPlainCall(options: CallOptions): Promise<CallResult> {
  const {url, service, path, method, idempotencyKey, reference} = options;
  try {
    const response = await request(`${url}/services/${service}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${options.bearerKey}`,
        'content-type': 'application/json',
        ...(idempotencyKey && {'idempotency-key': idempotencyKey}),
        ...(reference && {'x-reference': reference}),
        ...options.headers,
      },
      body: options.body,
    });
    const body = (await response.body.json()) as {
      reason?: string;
      ran?: string;
    };
    return {
      status: response.statusCode,
      body,
      isReplayed: response.headers['idempotency-replayed'] === 'true',
      reason: body.reason ?? '',
      ran: body.ran ?? '',
    };
  } catch (error) {
    const reason = `connection: ${String(error)}`;
    return {status: 0, body: {}, isReplayed: false, reason, ran: 'unknown'};
  }
}
