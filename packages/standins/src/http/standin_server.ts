/** Base class of the stand-ins: an HTTP server with fault injection. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import polka, {type Polka, type Request as PolkaRequest} from 'polka';
import {noFaults, type Faults} from './faults.js';

export interface StandinResponse {
  readonly status: number;
  /** A Buffer is sent unchanged as CBOR, any other value as JSON. */
  readonly body?: unknown;
}

export interface StandinRequest {
  readonly params: Record<string, string>;
  readonly query: URLSearchParams;
  readonly body: Buffer;
  readonly headers: IncomingMessage['headers'];
  readonly method: string;
  readonly path: string;
}

type Handler = (request: StandinRequest) => Promise<StandinResponse>;

/** A request with the properties that polka adds. */
type RoutedRequest = IncomingMessage & {
  readonly params: Record<string, string>;
  readonly originalUrl: string;
};

const FAULTS_PATH = '/faults';

export abstract class StandinServer implements Disposable {
  readonly faults: Faults = noFaults();
  protected readonly app: Polka = polka();
  private server: Server | undefined;
  private boundPort = 0;

  constructor() {
    this.app.post(FAULTS_PATH, async (req, res) => {
      const body = await readBody(req);
      Object.assign(this.faults, JSON.parse(body.toString('utf8')));
      sendResponse(res, {status: 200, body: this.faults});
    });
  }

  get url(): string {
    return `http://127.0.0.1:${this.boundPort}`;
  }

  /** Listens on the loopback address; port 0 selects a free port. */
  async start(port = 0): Promise<this> {
    const server = createServer((req, res) => {
      this.app.handler(req as PolkaRequest, res);
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    const address = server.address();
    if (typeof address === 'object' && address) this.boundPort = address.port;
    return this;
  }

  [Symbol.dispose](): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Adds a route whose handler is subject to the injected faults. */
  protected route(method: string, pattern: string, handler: Handler): void {
    this.app.add(method as 'GET', pattern, async (req, res) => {
      const body = await readBody(req);
      if (this.faults.down) return void req.socket.destroy();
      if (this.faults.frozen) return;
      const response = await this.runHandler(
        req as unknown as RoutedRequest,
        body,
        handler,
      );
      if (this.faults.slowMs > 0) await delay(this.faults.slowMs);
      const {loseAnswers, loseOnly} = this.faults;
      const {method, originalUrl} = req as unknown as RoutedRequest;
      if (loseAnswers > 0 && `${method} ${originalUrl}`.startsWith(loseOnly)) {
        this.faults.loseAnswers--;
        return void req.socket.destroy();
      }
      sendResponse(res, response);
    });
  }

  /** Runs a handler; an exception becomes a response with status 500. */
  private async runHandler(
    req: RoutedRequest,
    body: Buffer,
    handler: Handler,
  ): Promise<StandinResponse> {
    try {
      return await handler({
        params: req.params,
        query: new URLSearchParams(req.originalUrl.split('?')[1] ?? ''),
        body,
        headers: req.headers,
        method: req.method ?? 'GET',
        path: req.originalUrl,
      });
    } catch (error) {
      return {status: 500, body: {error: String(error)}};
    }
  }
}

function sendResponse(res: ServerResponse, response: StandinResponse): void {
  if (res.destroyed) return;
  const isBinary = Buffer.isBuffer(response.body);
  res.statusCode = response.status;
  res.setHeader(
    'content-type',
    isBinary ? 'application/cbor' : 'application/json',
  );
  if (response.body === undefined) return void res.end();
  res.end(isBinary ? response.body : JSON.stringify(response.body));
}

export function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Parses a request body as JSON, without validation. */
export function parseJson<T>(request: StandinRequest): T {
  return JSON.parse(request.body.toString('utf8')) as T;
}
