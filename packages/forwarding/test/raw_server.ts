/** A TCP server that answers requests with raw bytes. */
import {createServer, type Server, type Socket} from 'node:net';
import {
  HttpUpstream,
  Upstream,
  type ServerAddress,
  type UpstreamHandlers,
  type UpstreamRequest,
} from '@azurecrank/forwarding';

const HEAD_END = '\r\n\r\n';

/** A request without a body, as received by the server. */
export interface RawRequest {
  readonly head: string;
  /** Value of the `request-id` header; empty if there is none. */
  readonly id: string;
  /** Number of the connection that it came on, from 0. */
  readonly connection: number;
}

export class RawServer implements Disposable {
  readonly requests: RawRequest[] = [];
  readonly sockets: Socket[] = [];
  onRequest: (socket: Socket, request: RawRequest) => void = () => {};
  address = '' as ServerAddress;
  private readonly server: Server = createServer(socket => this.accept(socket));

  async start(): Promise<this> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const bound = this.server.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    this.address = `127.0.0.1:${port}`;
    return this;
  }

  [Symbol.dispose](): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    const connection = this.sockets.push(socket) - 1;
    let received = '';
    socket.on('error', () => {});
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      for (;;) {
        const end = received.indexOf(HEAD_END);
        if (end < 0) return;
        const head = received.slice(0, end);
        received = received.slice(end + HEAD_END.length);
        const id = /^request-id: (.*)$/im.exec(head)?.[1].trim() ?? '';
        const request = {head, id, connection};
        this.requests.push(request);
        this.onRequest(socket, request);
      }
    });
  }
}

/** Returns a response whose length is stated. */
export function rawResponse(
  status: number,
  headers: readonly string[],
  body = '',
): string {
  const lines = [
    `HTTP/1.1 ${status} Any`,
    ...headers,
    `Content-Length: ${body.length}`,
  ];
  return lines.join('\r\n') + HEAD_END + body;
}

/** Sends every request to one address, whatever server it is for. */
export class RedirectingUpstream extends Upstream implements Disposable {
  readonly sent: UpstreamRequest[] = [];
  private readonly upstream = new HttpUpstream();

  constructor(private readonly address: ServerAddress) {
    super();
  }

  override send(request: UpstreamRequest, handlers: UpstreamHandlers) {
    this.sent.push(request);
    const {address} = this;
    return this.upstream.send({...request, address}, handlers);
  }

  [Symbol.dispose](): void {
    this.upstream[Symbol.dispose]();
  }
}

const WAIT_TIMEOUT_MS = 5000;
const WAIT_INTERVAL_MS = 2;

/** Waits until the condition holds. */
export async function waitUntil(
  what: string,
  check: () => boolean,
): Promise<void> {
  const endMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!check()) {
    if (performance.now() > endMs)
      throw new Error(`not within ${WAIT_TIMEOUT_MS} ms: ${what}`);
    await new Promise(resolve => setTimeout(resolve, WAIT_INTERVAL_MS));
  }
}
