/** HTTP client of the platform's key-value service, with JSON bodies. */
import {Agent, request, type Dispatcher} from 'undici';
import {
  KeyValueService,
  KeyValueUnavailableError,
  type KeyValueEntry,
  type Lease,
  type WriteOutcome,
} from './key_value_service.js';

const DEFAULT_TIMEOUT_MS = 2000;

/** Time beyond the watch timeout after which the connection counts as silent. */
const WATCH_GRACE_PERIOD_MS = 500;

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

export class HttpKeyValueService extends KeyValueService implements Disposable {
  private readonly agent = new Agent({connections: 16, pipelining: 1});

  constructor(
    /** Base URL, for example `http://10.0.0.5:7000`. */
    private readonly baseUrl: string,
    private readonly timeoutMs = DEFAULT_TIMEOUT_MS,
  ) {
    super();
  }

  override async get(key: string): Promise<KeyValueEntry | undefined> {
    const {status, body} = await this.read('get', `/kv/${encodeKey(key)}`);
    return status === 404 ? undefined : (body as KeyValueEntry);
  }

  override async list(prefix: string): Promise<KeyValueEntry[]> {
    const query = `/kv?prefix=${encodeURIComponent(prefix)}`;
    const {body} = await this.read('list', query);
    return (body as {entries: KeyValueEntry[]}).entries;
  }

  override async compareAndSwap(
    key: string,
    value: string,
    expectedRevision: number,
    lease?: Lease,
  ): Promise<WriteOutcome> {
    const path = `/kv/${encodeKey(key)}?expected=${expectedRevision}`;
    return this.write('PUT', path, {value, lease: lease?.lease});
  }

  override async remove(
    key: string,
    expectedRevision: number,
  ): Promise<WriteOutcome> {
    const path = `/kv/${encodeKey(key)}?expected=${expectedRevision}`;
    return this.write('DELETE', path);
  }

  override async watch(
    key: string,
    afterRevision: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<KeyValueEntry | undefined> {
    const path =
      `/watch/${encodeKey(key)}?after=${afterRevision}` +
      `&timeoutMs=${timeoutMs}`;
    const waitMs = timeoutMs + WATCH_GRACE_PERIOD_MS;
    const {status, body} = await this.read('watch', path, waitMs, signal);
    return status === 204 ? undefined : (body as KeyValueEntry);
  }

  override async grantLease(ttlMs: number): Promise<Lease> {
    const answer = await this.send('POST', '/leases', {ttlMs});
    if (answer.status !== 201) {
      throw this.unavailableError('grant lease', `status ${answer.status}`);
    }
    return answer.body as Lease;
  }

  override async keepLeaseAlive(lease: Lease): Promise<boolean> {
    const path = `/leases/${lease.lease}/keepalive`;
    const answer = await this.send('POST', path);
    if (answer.status >= 500) {
      throw this.unavailableError('keep lease', `status ${answer.status}`);
    }
    return answer.status === 200;
  }

  override async revokeLease(lease: Lease): Promise<void> {
    await this.send('DELETE', `/leases/${lease.lease}`);
  }

  [Symbol.dispose](): void {
    void this.agent.destroy();
  }

  private async read(
    step: string,
    path: string,
    timeoutMs?: number,
    signal?: AbortSignal,
  ): Promise<Answer> {
    const answer = await this.send('GET', path, undefined, timeoutMs, signal);
    if (answer.status < 500) return answer;
    throw this.unavailableError(step, `status ${answer.status}`);
  }

  private async write(
    method: 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<WriteOutcome> {
    let answer: Answer;
    try {
      answer = await this.send(method, path, body);
    } catch (error) {
      return {kind: 'unknown', cause: String(error)};
    }
    if (answer.status === 409) {
      const {current} = answer.body as {current?: KeyValueEntry};
      return {kind: 'conflict', current};
    }
    if (answer.status !== 200) {
      return {kind: 'unknown', cause: `status ${answer.status}`};
    }
    const {revision} = answer.body as {revision: number};
    return {kind: 'written', revision};
  }

  private async send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
    timeoutMs = this.timeoutMs,
    signal?: AbortSignal,
  ): Promise<Answer> {
    const timeout = AbortSignal.timeout(timeoutMs);
    try {
      const response = await request(this.baseUrl + path, {
        method,
        dispatcher: this.agent,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: signal ? AbortSignal.any([timeout, signal]) : timeout,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      const text = await response.body.text();
      const parsed: unknown = text === '' ? undefined : JSON.parse(text);
      return {status: response.statusCode, body: parsed};
    } catch (error) {
      throw this.unavailableError(`${method} ${path}`, String(error));
    }
  }

  private unavailableError(
    step: string,
    cause: string,
  ): KeyValueUnavailableError {
    return new KeyValueUnavailableError(step, this.baseUrl, cause);
  }
}

function encodeKey(key: string): string {
  return encodeURIComponent(key);
}
