/**
 * Sends requests to backend servers over keep-alive or single-use connections
 * and detects responses that were cut short by a connection reset.
 */
import type {Socket} from 'node:net';
import {Agent, Client, buildConnector, type Dispatcher} from 'undici';
import type {ServerAddress} from '../fleet/backend_server.js';

export interface UpstreamRequest {
  readonly address: ServerAddress;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /**
   * Whether to use a new connection. The server may have closed a keep-alive
   * connection, and a request sent on it then may or may not have run.
   */
  readonly isSingleUse: boolean;
}

export interface UpstreamFailure {
  readonly cause: string;
  /** False only if no byte of the request can have reached the server. */
  readonly mayHaveRun: boolean;
}

/** Callbacks of an exchange; it ends with either `onEnd` or `onFailure`. */
export interface UpstreamHandlers {
  onHead(status: number, headers: readonly string[]): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: UpstreamFailure): void;
}

/** Timeout of establishing a connection to a server. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Time that idle connections are kept open unless the server sends a hint. Most
 * servers close idle connections later than this.
 */
const KEEP_ALIVE_TIMEOUT_MS = 4000;

/** An idle connection is not reused this long before its keep-alive ends. */
const KEEP_ALIVE_MARGIN_MS = 1000;

const connectSocket = buildConnector({timeout: CONNECT_TIMEOUT_MS});

/**
 * Whether the current event-loop step handles the end of a connection that was
 * reset. The HTTP client reports a response without a length as complete, from
 * within the socket event that signals the end.
 */
let isResetting = false;

function markReset(): void {
  isResetting = true;
  process.nextTick(() => (isResetting = false));
}

/**
 * Code of errors after which the HTTP client fails the response. It takes
 * `ECONNRESET` for the end of a response without a length.
 */
const FAILED_SOCKET_CODE = 'UND_ERR_SOCKET';

/** The socket from which the HTTP client reads in this event-loop step. */
let readSocket: Socket | undefined;

/** The exchange whose response arrives on a socket. */
const exchanges = new WeakMap<Socket, UpstreamExchange>();

const connect: buildConnector.connector = (options, callback) => {
  connectSocket(options, (error, socket) => {
    if (!socket) return callback(error ?? new Error('no socket'), null);
    socket.prependListener('error', (reason: NodeJS.ErrnoException) => {
      if (reason.code === 'ECONNRESET') reason.code = FAILED_SOCKET_CODE;
    });
    socket.prependListener('readable', () => (readSocket = socket));
    socket.prependListener('end', () => {
      // Node.js reports a reset that arrives together with data as an ordinary
      // end. After a reset the socket has no remote address any more; after an
      // orderly close it still has one.
      if (socket.remoteAddress === undefined) markReset();
      // The HTTP client asserts that its parser is not paused at the end.
      exchanges.get(socket)?.resume();
    });
    callback(null, socket);
  });
};

const CLIENT_OPTIONS = {
  connect,
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
  pipelining: 1,
  // No timeouts here: the relays enforce the deadlines of the requests.
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

/** A request in flight to a backend server. */
export class UpstreamExchange {
  private controller: Dispatcher.DispatchController | undefined;
  private isOver = false;
  private isPaused = false;

  constructor(private readonly handlers: UpstreamHandlers) {}

  get wasSent(): boolean {
    return this.controller !== undefined;
  }

  /** Closes the connection; no handler is called afterwards. */
  abort(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.controller?.abort(new Error('aborted'));
  }

  pause(): void {
    this.isPaused = true;
    this.controller?.pause();
  }

  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    this.controller?.resume();
  }

  /**
   * Runs a handler and reports what it throws as a failure, for example invalid
   * headers. The HTTP client would swallow the error, and the caller would wait
   * for a response until its deadline.
   */
  private guard(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.isOver = true;
      this.controller?.abort(new Error('aborted'));
      this.handlers.onFailure({cause: describeError(error), mayHaveRun: true});
    }
  }

  /**
   * Reports that the request cannot be sent, for example as its address is
   * invalid. Later, so that the caller of `send` has the exchange by then.
   */
  rejectLater(error: unknown): void {
    setImmediate(() => {
      if (this.isOver) return;
      this.isOver = true;
      const cause = describeError(error);
      this.handlers.onFailure({cause, mayHaveRun: this.wasSent});
    });
  }

  /**
   * Starts the exchange.
   * @param release called once the connection is no longer needed
   */
  dispatch(
    dispatcher: Dispatcher,
    request: UpstreamRequest,
    release: () => void,
  ): void {
    const {address, method, target, headers, body, isSingleUse} = request;
    const {handlers} = this;
    let hasReturned = false;
    dispatcher.dispatch(
      {
        origin: `http://${address}`,
        path: target,
        method: method as Dispatcher.HttpMethod,
        headers,
        body,
        reset: isSingleUse,
      },
      {
        onRequestStart: controller => {
          this.controller = controller;
          if (this.isOver) controller.abort(new Error('aborted'));
        },
        onResponseStart: (controller, status) => {
          if (this.isOver || status < 200) return;
          if (readSocket) exchanges.set(readSocket, this);
          const headers = toStringHeaders(controller.rawHeaders);
          this.guard(() => handlers.onHead(status, headers));
        },
        onResponseData: (_, chunk) => {
          // A parser that goes on after a pause may begin with an empty chunk.
          if (this.isOver || chunk.length === 0) return;
          this.guard(() => handlers.onData(chunk));
        },
        onResponseEnd: () => {
          release();
          if (this.isOver) return;
          this.isOver = true;
          if (!isResetting) return this.guard(() => handlers.onEnd());
          handlers.onFailure({
            cause: 'connection reset during the response',
            mayHaveRun: true,
          });
        },
        onResponseError: (_, error) => {
          release();
          if (!hasReturned) return this.rejectLater(error);
          if (this.isOver) return;
          this.isOver = true;
          const cause = describeError(error);
          handlers.onFailure({cause, mayHaveRun: this.wasSent});
        },
      },
    );
    hasReturned = true;
  }
}

/** The members of an exchange that the relays use. */
export type Exchange = Pick<
  UpstreamExchange,
  'abort' | 'pause' | 'resume' | 'wasSent'
>;

/** Sends requests to backend servers. */
export abstract class Upstream {
  abstract send(request: UpstreamRequest, handlers: UpstreamHandlers): Exchange;
}

/** Sends requests over HTTP/1.1 with a connection pool per server. */
export class HttpUpstream extends Upstream implements Disposable {
  private readonly agent = new Agent(CLIENT_OPTIONS);

  override send(
    request: UpstreamRequest,
    handlers: UpstreamHandlers,
  ): UpstreamExchange {
    const exchange = new UpstreamExchange(handlers);
    try {
      if (request.isSingleUse) this.dispatchOnce(exchange, request);
      else exchange.dispatch(this.agent, request, () => {});
    } catch (error) {
      exchange.rejectLater(error);
    }
    return exchange;
  }

  /** Opens a connection for this request only. */
  private dispatchOnce(
    exchange: UpstreamExchange,
    request: UpstreamRequest,
  ): void {
    const client = new Client(`http://${request.address}`, CLIENT_OPTIONS);
    exchange.dispatch(client, request, () => void client.destroy());
  }

  [Symbol.dispose](): void {
    void this.agent.destroy();
  }
}

/** Whether the cause of a failure is that nothing listens at the address. */
export function isRefusedConnection(cause: string): boolean {
  return cause.includes('ECONNREFUSED');
}

/** Converts a raw header list, given as buffers or strings, to strings. */
function toStringHeaders(
  raw: Buffer[] | string[] | Record<string, unknown> | null | undefined,
): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map(item =>
    typeof item === 'string' ? item : item.toString('latin1'),
  );
}

function describeError(error: unknown): string {
  const {code, message} = error as NodeJS.ErrnoException;
  return code ? `${code}: ${message}` : message;
}
