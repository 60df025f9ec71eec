/** One TCP connection that carries framed messages to and from a peer. */
import type {Socket} from 'node:net';
import {FrameDecoder, FrameError, encodeFrame} from './frames.js';
import type {Message} from './messages.js';

export interface ConnectionHandlers {
  onMessage(message: Message, connection: PeerConnection): void;
  /** Called once, whichever side closed the connection. */
  onClose(connection: PeerConnection, cause: string): void;
}

export interface PeerTraffic {
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

export class PeerConnection implements Disposable {
  private readonly decoder = new FrameDecoder();
  private isClosed = false;

  /** Time of the last received bytes, from `performance.now()`. */
  lastReceivedMs = performance.now();

  constructor(
    private readonly socket: Socket,
    /** `IP:PORT` of the other end. */
    readonly remoteAddress: string,
    private readonly handlers: ConnectionHandlers,
  ) {
    socket.setNoDelay(true);
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', error => this.close(error.message));
    socket.on('close', () => this.close('closed by peer'));
  }

  get isOpen(): boolean {
    return !this.isClosed;
  }

  /** Bytes received from and written to the peer. */
  get traffic(): PeerTraffic {
    const {bytesRead, bytesWritten} = this.socket;
    return {receivedBytes: bytesRead, sentBytes: bytesWritten};
  }

  /** Bytes buffered in this process that the kernel has not accepted yet. */
  get bufferedBytes(): number {
    return this.socket.writableLength;
  }

  /** Sends a message; returns false if the connection is closed. */
  send(message: Message): boolean {
    if (this.isClosed) return false;
    this.socket.write(encodeFrame(message));
    return true;
  }

  close(cause: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.destroy();
    this.handlers.onClose(this, cause);
  }

  [Symbol.dispose](): void {
    this.close('disposed');
  }

  private receive(chunk: Buffer): void {
    if (this.isClosed) return;
    this.lastReceivedMs = performance.now();
    try {
      for (const message of this.decoder.push(chunk)) {
        if (this.isClosed) return;
        this.handlers.onMessage(message, this);
      }
    } catch (error) {
      if (!(error instanceof FrameError)) throw error;
      this.close(error.message);
    }
  }
}
