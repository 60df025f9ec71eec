/** HTTP server with the faults that all stand-ins share. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import polka, {type Polka, type Request as PolkaRequest} from 'polka';
import {noFaults, type Faults} from './fault_switch.js';

export interface StandinAnswer {
  readonly status: number;
  /** Sent as JSON, or as it is when it is a Buffer. */
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

type Handler = (request: StandinRequest) => Promise<StandinAnswer>;

/** What the router adds to a request. */
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
      send(res, {status: 200, body: this.faults});
    });
  }

  get url(): string {
    return `http://127.0.0.1:${this.boundPort}`;
  }

  /** Starts to listen on the loopback address; port 0 takes a free one. */
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

  protected route(method: string, pattern: string, handler: Handler): void {
    this.app.add(method as 'GET', pattern, async (req, res) => {
      const body = await readBody(req);
      if (this.faults.down) return void req.socket.destroy();
      if (this.faults.frozen) return;
      const answer = await this.answer(
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
      send(res, answer);
    });
  }

  private async answer(
    req: RoutedRequest,
    body: Buffer,
    handler: Handler,
  ): Promise<StandinAnswer> {
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

function send(res: ServerResponse, answer: StandinAnswer): void {
  if (res.destroyed) return;
  const isBinary = Buffer.isBuffer(answer.body);
  res.statusCode = answer.status;
  res.setHeader(
    'content-type',
    isBinary ? 'application/cbor' : 'application/json',
  );
  if (answer.body === undefined) return void res.end();
  res.end(isBinary ? answer.body : JSON.stringify(answer.body));
}

export function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Parses a JSON request body. */
export function parseJson<T>(request: StandinRequest): T {
  return JSON.parse(request.body.toString('utf8')) as T;
}
