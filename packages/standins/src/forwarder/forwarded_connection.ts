/** A connection to a forwarder with the one that it has opened to its target. */
import type {Socket} from 'node:net';
import {DataGate} from './data_gate.js';

/** Passes on data, half-closes, resets and back-pressure in both directions. */
export class ForwardedConnection implements Disposable {
  readonly toTarget = new DataGate();
  readonly fromTarget = new DataGate();
  private stalled = false;

  /** @param onClose called once both sockets are closed */
  constructor(
    private readonly incoming: Socket,
    private readonly outgoing: Socket,
    onClose: () => void,
  ) {
    this.join(incoming, this.toTarget, outgoing, onClose);
    this.join(outgoing, this.fromTarget, incoming, onClose);
  }

  get isStalled(): boolean {
    return this.stalled;
  }

  /** Passes nothing on for good, without closing. */
  stall(): void {
    this.stalled = true;
    this.toTarget.setHeld(true);
    this.fromTarget.setHeld(true);
  }

  /** Resets both sockets. */
  reset(): void {
    resetSocket(this.incoming);
    resetSocket(this.outgoing);
  }

  [Symbol.dispose](): void {
    this.incoming.destroy();
    this.outgoing.destroy();
    this.toTarget.destroy();
    this.fromTarget.destroy();
  }

  private join(
    source: Socket,
    gate: DataGate,
    sink: Socket,
    onClose: () => void,
  ): void {
    source.setNoDelay(true);
    // The other side learns of the error as a reset, once it gets that far.
    source.on('error', () => gate.enqueue(() => resetSocket(sink)));
    source.on('close', () => {
      if (sink.closed) onClose();
    });
    source.pipe(gate).pipe(sink);
  }
}

/**
 * Resets a socket. One that is being shut down cannot be reset: its handle would
 * stay open for ever, and the process could not end.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
