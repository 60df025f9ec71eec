/** One TCP connection to another process that carries framed messages. */
import type {Socket} from 'node:net';
import {FrameDecoder, FrameError, encodeFrame} from './frames.js';
import type {Message} from './messages.js';

export interface ConnectionHandlers {
  onMessage(message: Message, connection: PeerConnection): void;
  /** Called once, whoever closed the connection. */
  onClose(connection: PeerConnection, cause: string): void;
}

export class PeerConnection implements Disposable {
  private readonly decoder = new FrameDecoder();
  private closed = false;

  /** Time at which the last bytes arrived, from `performance.now()`. */
  lastReceivedMs = performance.now();

  constructor(
    private readonly socket: Socket,
    /** `IP:PORT` of the other end. */
    readonly remote: string,
    private readonly handlers: ConnectionHandlers,
  ) {
    socket.setNoDelay(true);
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', error => this.close(error.message));
    socket.on('close', () => this.close('closed by peer'));
  }

  get isOpen(): boolean {
    return !this.closed;
  }

  /** Bytes that the kernel has not yet taken. */
  get bufferedBytes(): number {
    return this.socket.writableLength;
  }

  /** Sends a message; returns false if the connection is closed. */
  send(message: Message): boolean {
    if (this.closed) return false;
    this.socket.write(encodeFrame(message));
    return true;
  }

  close(cause: string): void {
    if (this.closed) return;
    this.closed = true;
    this.socket.destroy();
    this.handlers.onClose(this, cause);
  }

  [Symbol.dispose](): void {
    this.close('disposed');
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    this.lastReceivedMs = performance.now();
    try {
      for (const message of this.decoder.push(chunk)) {
        if (this.closed) return;
        this.handlers.onMessage(message, this);
      }
    } catch (error) {
      if (!(error instanceof FrameError)) throw error;
      this.close(error.message);
    }
  }
}
