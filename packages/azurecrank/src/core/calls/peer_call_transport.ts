/** Call transport over the connections of this process. */
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

interface Waiting {
  readonly address: PeerAddress;
  resolve(answer: Answer): void;
  reject(error: CallTransportError): void;
}

export class PeerCallTransport extends CallTransport {
  private readonly waiting = new Map<string, Waiting>();

  constructor(private readonly peers: PeerNode) {
    super();
  }

  override send(
    server: ServiceServer,
    call: Call,
  ): Promise<CallResult | Refused> {
    const key = callKey(call.request);
    return this.exchange(server, key, call) as Promise<CallResult | Refused>;
  }

  override cancel(server: ServiceServer, cancel: Cancel): Promise<Cancelled> {
    const key = cancelKey(cancel.request);
    return this.exchange(server, key, cancel) as Promise<Cancelled>;
  }

  /** Returns whether an exchange was waiting for the message. */
  receive(message: Answer): boolean {
    const key =
      message.type === 'cancelled'
        ? cancelKey(message.request)
        : callKey(message.request);
    const waiting = this.waiting.get(key);
    if (!waiting) return false;
    this.waiting.delete(key);
    this.peers.settle(waiting.address, key);
    waiting.resolve(message);
    return true;
  }

  /** The connection of a call or cancel was lost before its answer. */
  onLost({key, mayHaveLeft}: LostMessage): void {
    const waiting = this.waiting.get(key);
    if (!waiting) return;
    this.waiting.delete(key);
    const message = `connection to ${waiting.address} was lost`;
    waiting.reject(new CallTransportError(message, mayHaveLeft));
  }

  private exchange(
    {address}: ServiceServer,
    key: string,
    message: Message,
  ): Promise<Answer> {
    return new Promise((resolve, reject) => {
      this.waiting.set(key, {address, resolve, reject});
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
