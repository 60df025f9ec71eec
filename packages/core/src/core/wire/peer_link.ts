/** What this process knows about one other process, across connections. */
import {
  SilenceDetector,
  type SilenceOptions,
} from '../detection/silence_detector.js';
import type {PeerAddress} from '../ids/ids.js';
import type {Hello, Message} from './messages.js';
import type {PeerConnection} from './peer_connection.js';

export class PeerLink {
  connection: PeerConnection | undefined;
  hello: Hello | undefined;
  /** Messages waiting for a connection. */
  readonly unsent: Message[] = [];
  /** Whether the connection replaces one that was lost with open answers. */
  isRedial = false;
  readonly detector: SilenceDetector;
  private readonly unanswered = new Map<string, Message>();

  constructor(
    /** Address this process connects to; empty for accepted connections. */
    readonly address: PeerAddress,
    options: Partial<SilenceOptions> = {},
  ) {
    this.detector = new SilenceDetector(performance.now(), options);
  }

  /** Name of the peer in logs and errors. */
  get name(): string {
    return this.hello?.node ?? this.connection?.remote ?? this.address;
  }

  get unansweredMessages(): ReadonlyMap<string, Message> {
    return this.unanswered;
  }

  /** Sends now, or once connected. Returns false if the link is closed. */
  send(message: Message): boolean {
    if (this.connection) return this.connection.send(message);
    this.unsent.push(message);
    return true;
  }

  /** Sends a message that is sent again on a new connection until settled. */
  sendExpecting(key: string, message: Message): void {
    if (!this.unanswered.has(key)) this.notify('sent_expecting_answer');
    this.unanswered.set(key, message);
    this.send(message);
  }

  settle(key: string): void {
    if (this.unanswered.delete(key)) this.notify('settled');
  }

  /** Queues the unanswered messages for the next connection. */
  requeueUnanswered(): void {
    const waiting = new Set(this.unsent);
    for (const message of this.unanswered.values()) {
      if (!waiting.has(message)) this.unsent.push(message);
    }
  }

  /** Uses `connection` from now on and sends what waits. */
  attach(connection: PeerConnection): void {
    this.connection = connection;
    for (const message of this.unsent.splice(0)) connection.send(message);
  }

  noteReceived(): void {
    this.isRedial = false;
    this.notify('received');
  }

  private notify(type: 'received' | 'sent_expecting_answer' | 'settled'): void {
    this.detector.handle({type, nowMs: performance.now()});
  }
}
