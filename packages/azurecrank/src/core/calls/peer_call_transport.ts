/** Sends calls and cancels over the peer connections of this process. */
import type {
  Call,
  CallResult,
  Cancel,
  Cancelled,
  LostMessage,
  Message,
  PeerAddress,
  PeerNode,
  Refused,
  RequestId,
  ServiceServer,
} from '@azurecrank/core';
import {CallTransport, CallTransportError} from './call_transport.js';

type Answer = CallResult | Refused | Cancelled;

interface PendingExchange {
  readonly address: PeerAddress;
  resolve(answer: Answer): void;
  reject(error: CallTransportError): void;
}

export class PeerCallTransport extends CallTransport {
  private readonly pending = new Map<string, PendingExchange>();

  constructor(private readonly peers: PeerNode) {
    super();
  }

  override send(
    server: ServiceServer,
    call: Call,
  ): Promise<CallResult | Refused> {
    const key = callKey(call.request);
    return this.sendAndWait(server, key, call) as Promise<CallResult | Refused>;
  }

  override cancel(server: ServiceServer, cancel: Cancel): Promise<Cancelled> {
    const key = cancelKey(cancel.request);
    return this.sendAndWait(server, key, cancel) as Promise<Cancelled>;
  }

  /** Resolves the exchange that waits for the answer; returns whether one did. */
  resolveAnswer(message: Answer): boolean {
    const key =
      message.type === 'cancelled'
        ? cancelKey(message.request)
        : callKey(message.request);
    const exchange = this.pending.get(key);
    if (!exchange) return false;
    this.pending.delete(key);
    this.peers.settle(exchange.address, key);
    exchange.resolve(message);
    return true;
  }

  /** Rejects the exchange whose connection was lost before the answer came. */
  onMessageLost({key, mayHaveLeft}: LostMessage): void {
    const exchange = this.pending.get(key);
    if (!exchange) return;
    this.pending.delete(key);
    const message = `connection to ${exchange.address} was lost before the answer`;
    exchange.reject(new CallTransportError(message, mayHaveLeft));
  }

  private sendAndWait(
    {address}: ServiceServer,
    key: string,
    message: Message,
  ): Promise<Answer> {
    return new Promise((resolve, reject) => {
      this.pending.set(key, {address, resolve, reject});
      this.peers.sendOnce(address, key, message);
    });
  }
}

function callKey(request: RequestId): string {
  return `call:${request}`;
}

function cancelKey(request: RequestId): string {
  return `cancel:${request}`;
}
