/** HTTP server with liveness, readiness and metrics endpoints. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import polka, {type Middleware, type Polka, type Request} from 'polka';
import {listenOn} from './listen_on.js';
import type {Metrics} from '../telemetry/metrics.js';

export interface HealthSource {
  isReady(): boolean;
  readonly metrics: Metrics;
}

export class HealthServer implements Disposable {
  /** Routes may be added before `listen`. */
  readonly app: Polka = polka({
    onNoMatch: (req, res) => this.answerUnmatched(req, res),
  });
  /** Answers requests whose path or method has no route; can be replaced. */
  answerUnmatched = (_: IncomingMessage, res: ServerResponse): void => {
    res.statusCode = 404;
    res.end('there is nothing at this path\n');
  };
  /** Called before the server listens, to set limits and event handlers. */
  configureServer: ((server: Server) => void) | undefined;
  private server: Server | undefined;

  constructor(source: HealthSource) {
    this.addReadRoute('/livez', (_, res) => {
      res.end('ok\n');
    });
    this.addReadRoute('/readyz', (_, res) => {
      const isReady = source.isReady();
      res.statusCode = isReady ? 200 : 503;
      res.end(isReady ? 'ready\n' : 'not ready\n');
    });
    this.addReadRoute('/metrics', (_, res) => {
      res.setHeader('content-type', 'text/plain; version=0.0.4');
      res.end(source.metrics.render());
    });
  }

  /**
   * Adds a route for GET and HEAD. Load balancers may use HEAD, for which
   * Node.js omits the body.
   */
  addReadRoute(path: string, handler: Middleware): void {
    this.app.get(path, handler);
    this.app.head(path, handler);
  }

  /** Returns the port it listens on; port 0 selects a free one. */
  async listen(host: string, port: number): Promise<number> {
    const server = createServer((req, res) => {
      this.app.handler(req as Request, res);
    });
    this.server = server;
    this.configureServer?.(server);
    await listenOn(server, host, port, 'http_port');
    const bound = server.address();
    return typeof bound === 'object' && bound ? bound.port : port;
  }

  /** Stops accepting connections; requests in flight are completed. */
  close(): void {
    this.server?.close();
    this.server?.closeIdleConnections();
  }

  [Symbol.dispose](): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }
}
