/** HTTP client of an engine: CBOR bodies for steps and caches, otherwise JSON. */
import {Decoder, Encoder} from 'cbor-x';
import {Agent, request, type Dispatcher} from 'undici';
import {
  Engine,
  EngineError,
  type CacheEvent,
  type EngineInfo,
  type EngineLoad,
  type EngineOrder,
  type EngineOutput,
  type EngineStep,
  type OrderOutcome,
} from './engine.js';

/** Request timeout; an engine that takes longer for a batch counts as stalled. */
const DEFAULT_TIMEOUT_MS = 20_000;

/** Characters of an error response that are shown in the error. */
const MAX_SHOWN_ERROR_CHARS = 200;

const CBOR_TYPE = 'application/cbor';
const JSON_TYPE = 'application/json';
const encoder = new Encoder({useRecords: false, tagUint8Array: false});
const decoder = new Decoder({mapsAsObjects: true});

export class HttpEngine extends Engine implements Disposable {
  private readonly agent = new Agent({connections: 8, pipelining: 1});

  constructor(
    private readonly baseUrl: string,
    private readonly timeoutMs = DEFAULT_TIMEOUT_MS,
  ) {
    super();
  }

  override async info(): Promise<EngineInfo> {
    return (await this.requestJson('GET', '/v1/info')) as EngineInfo;
  }

  override async tokenize(text: string): Promise<number[]> {
    const answer = await this.requestJson('POST', '/v1/tokenize', {text});
    return (answer as {tokens: number[]}).tokens;
  }

  override async run(steps: readonly EngineStep[]): Promise<EngineOutput[]> {
    const bytes = await this.send('POST', '/v1/run', encoder.encode(steps));
    return decoder.decode(bytes) as EngineOutput[];
  }

  override async release(sequences: readonly string[]): Promise<void> {
    await this.requestJson('POST', '/v1/release', {sequences});
  }

  override async exportKv(sequence: string): Promise<Uint8Array> {
    return this.send('GET', `/v1/kv/${encodeURIComponent(sequence)}`);
  }

  override async importKv(sequence: string, data: Uint8Array): Promise<void> {
    const path = `/v1/kv/${encodeURIComponent(sequence)}`;
    await this.send('PUT', path, Buffer.from(data));
  }

  override async cacheEvents(afterSeq: number): Promise<CacheEvent[]> {
    const answer = await this.requestJson(
      'GET',
      `/v1/events?after=${afterSeq}`,
    );
    return (answer as {events: CacheEvent[]}).events;
  }

  override async load(): Promise<EngineLoad> {
    return (await this.requestJson('GET', '/v1/load')) as EngineLoad;
  }

  override async order(order: EngineOrder): Promise<OrderOutcome> {
    return (await this.requestJson(
      'POST',
      '/v1/orders',
      order,
    )) as OrderOutcome;
  }

  [Symbol.dispose](): void {
    void this.agent.destroy();
  }

  private async requestJson(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const encoded = body === undefined ? undefined : JSON.stringify(body);
    const bytes = await this.send(method, path, encoded, JSON_TYPE);
    return bytes.length === 0 ? undefined : JSON.parse(bytes.toString('utf8'));
  }

  private async send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: Buffer | string,
    contentType = CBOR_TYPE,
  ): Promise<Buffer> {
    let status: number;
    let bytes: Buffer;
    try {
      const response = await request(this.baseUrl + path, {
        method,
        dispatcher: this.agent,
        headers: {'content-type': contentType},
        body,
        headersTimeout: this.timeoutMs,
        bodyTimeout: this.timeoutMs,
      });
      status = response.statusCode;
      bytes = Buffer.from(await response.body.arrayBuffer());
    } catch (error) {
      throw new EngineError(`${method} ${path}`, this.baseUrl, String(error));
    }
    if (status < 300) return bytes;
    const cause = `status ${status} ${bytes.toString('utf8').slice(0, MAX_SHOWN_ERROR_CHARS)}`;
    throw new EngineError(`${method} ${path}`, this.baseUrl, cause);
  }
}
