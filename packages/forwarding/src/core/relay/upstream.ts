/** One request to a backend server, over kept or single-use connections. */
import {Agent, Client, buildConnector, type Dispatcher} from 'undici';
import type {ServerAddress} from '../fleet/backend_server.js';

export interface UpstreamRequest {
  readonly address: ServerAddress;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /**
   * Uses a new connection. A kept one may have been dropped by the server, and
   * what is sent on it then may or may not have run.
   */
  readonly isSingleUse: boolean;
}

export interface UpstreamFailure {
  readonly cause: string;
  /** False only if no byte of the request can have reached the server. */
  readonly mayHaveRun: boolean;
}

export interface UpstreamHandlers {
  onHead(status: number, headers: readonly string[]): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: UpstreamFailure): void;
}

/** Time for a connection to a server to be established. */
const CONNECT_TIMEOUT_MS = 400;

/** Kept without a hint of the server; most close idle connections later. */
const KEEP_ALIVE_MS = 4000;

/** A connection is not used in the last part of the server's idle time. */
const KEEP_ALIVE_MARGIN_MS = 1000;

const connectSocket = buildConnector({timeout: CONNECT_TIMEOUT_MS});

/**
 * Whether a connection is being reset right now. The client takes an answer
 * without a length as complete when its connection is reset, inside the event
 * that tells of the reset.
 */
let isResetting = false;

function noteReset(): void {
  isResetting = true;
  process.nextTick(() => (isResetting = false));
}

const connect: buildConnector.connector = (options, callback) => {
  connectSocket(options, (error, socket) => {
    if (!socket) return callback(error ?? new Error('no socket'), null);
    socket.prependListener('error', noteReset);
    // The runtime reports a reset that comes together with data as an ordinary
    // end. A connection that was reset has no peer any more, one that was
    // closed in order still has.
    socket.prependListener('end', () => {
      if (socket.remoteAddress === undefined) noteReset();
    });
    callback(null, socket);
  });
};

const OPTIONS = {
  connect,
  keepAliveTimeout: KEEP_ALIVE_MS,
  keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
  pipelining: 1,
  // Deadlines are those of the requests.
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

/** A request in flight. */
export class UpstreamExchange {
  private controller: Dispatcher.DispatchController | undefined;
  private isOver = false;
  private isPaused = false;

  constructor(private readonly handlers: UpstreamHandlers) {}

  get wasSent(): boolean {
    return this.controller !== undefined;
  }

  /** Closes the connection; no handler is called any more. */
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
   * The client swallows what a handler throws, for example for headers that
   * cannot be passed on; the caller would wait for its answer in vain.
   */
  private guard(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.isOver = true;
      this.controller?.abort(new Error('aborted'));
      this.handlers.onFailure({cause: describe(error), mayHaveRun: true});
    }
  }

  /** Starts the exchange. `release` runs once when the connection is free. */
  dispatch(
    dispatcher: Dispatcher,
    request: UpstreamRequest,
    release: () => void,
  ): void {
    const {address, method, target, headers, body, isSingleUse} = request;
    const {handlers} = this;
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
          const headers = toStrings(controller.rawHeaders);
          this.guard(() => handlers.onHead(status, headers));
        },
        onResponseData: (_, chunk) => {
          if (!this.isOver) this.guard(() => handlers.onData(chunk));
        },
        onResponseEnd: () => {
          release();
          if (this.isOver) return;
          this.isOver = true;
          if (!isResetting) return this.guard(() => handlers.onEnd());
          handlers.onFailure({cause: 'reset in the answer', mayHaveRun: true});
        },
        onResponseError: (_, error) => {
          release();
          if (this.isOver) return;
          this.isOver = true;
          const cause = describe(error);
          handlers.onFailure({cause, mayHaveRun: this.wasSent});
        },
      },
    );
  }
}

/** The part of an exchange that relays use. */
export type Exchange = Pick<
  UpstreamExchange,
  'abort' | 'pause' | 'resume' | 'wasSent'
>;

/** Sends requests to backend servers. */
export abstract class Upstream {
  abstract send(request: UpstreamRequest, handlers: UpstreamHandlers): Exchange;
}

/** Connections of this process to all backend servers. */
export class HttpUpstream extends Upstream implements Disposable {
  private readonly agent = new Agent(OPTIONS);

  override send(
    request: UpstreamRequest,
    handlers: UpstreamHandlers,
  ): UpstreamExchange {
    const exchange = new UpstreamExchange(handlers);
    if (!request.isSingleUse) {
      exchange.dispatch(this.agent, request, () => {});
      return exchange;
    }
    const client = new Client(`http://${request.address}`, OPTIONS);
    const release = () => void client.destroy();
    exchange.dispatch(client, request, release);
    return exchange;
  }

  [Symbol.dispose](): void {
    void this.agent.destroy();
  }
}

/** Header lists come as buffers or strings. */
function toStrings(
  raw: Buffer[] | string[] | Record<string, unknown> | null | undefined,
): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map(item =>
    typeof item === 'string' ? item : item.toString('latin1'),
  );
}

function describe(error: unknown): string {
  const {code, message} = error as NodeJS.ErrnoException;
  return code ? `${code}: ${message}` : message;
}
