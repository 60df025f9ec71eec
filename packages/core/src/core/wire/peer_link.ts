/** What this process knows about one other process, across connections. */
import {
  SilenceDetector,
  type SilenceOptions,
} from '../detection/silence_detector.js';
import type {PeerAddress} from '../ids/ids.js';
import type {Hello, Message} from './messages.js';
import type {PeerConnection} from './peer_connection.js';

interface Unanswered {
  readonly message: Message;
  /** Whether the message may be sent again on a new connection. */
  readonly isRepeatable: boolean;
}

/** A message that must not be repeated and whose connection was lost. */
export interface LostMessage {
  readonly key: string;
  readonly message: Message;
  /** False only if it provably never left this process. */
  readonly mayHaveLeft: boolean;
}

export class PeerLink {
  connection: PeerConnection | undefined;
  hello: Hello | undefined;
  /** Messages waiting for a connection. */
  readonly unsent: Message[] = [];
  /** Whether the connection replaces one that was lost with open answers. */
  isRedial = false;
  readonly detector: SilenceDetector;
  private isAwaitingPong = false;
  private readonly unanswered = new Map<string, Unanswered>();

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

  get hasUnanswered(): boolean {
    return this.unanswered.size > 0;
  }

  /** Sends now, or once connected. Returns false if the link is closed. */
  send(message: Message): boolean {
    if (this.connection) return this.connection.send(message);
    this.unsent.push(message);
    return true;
  }

  /**
   * Sends a message and expects signs of life until it is settled.
   * @param isRepeatable whether it is sent again on a new connection.
   */
  sendExpecting(key: string, message: Message, isRepeatable = true): void {
    if (!this.unanswered.has(key)) this.notify('sent_expecting_answer');
    this.unanswered.set(key, {message, isRepeatable});
    this.send(message);
  }

  settle(key: string): void {
    if (this.unanswered.delete(key)) this.notify('settled');
  }

  /** Queues the unanswered messages for the next connection. */
  requeueUnanswered(): void {
    const waiting = new Set(this.unsent);
    for (const {message} of this.unanswered.values()) {
      if (!waiting.has(message)) this.unsent.push(message);
    }
  }

  /** Removes and returns the messages that must not be sent again. */
  takeLost(): LostMessage[] {
    const neverLeft = new Set(this.unsent);
    const lost = [...this.unanswered]
      .filter(([, {isRepeatable}]) => !isRepeatable)
      .map(([key, {message}]) => {
        return {key, message, mayHaveLeft: !neverLeft.has(message)};
      });
    for (const {key} of lost) this.settle(key);
    return lost;
  }

  /** Uses `connection` from now on and sends what waits. */
  attach(connection: PeerConnection): void {
    this.connection = connection;
    for (const message of this.unsent.splice(0)) connection.send(message);
  }

  /**
   * A ping is owed an answer. Without this, a connection that goes silent
   * while nothing else is outstanding would lose releases and notices for ever.
   */
  notePing(): void {
    if (this.isAwaitingPong) return;
    this.isAwaitingPong = true;
    this.notify('sent_expecting_answer');
  }

  noteReceived(): void {
    this.isRedial = false;
    this.notify('received');
    if (!this.isAwaitingPong) return;
    this.isAwaitingPong = false;
    this.notify('settled');
  }

  private notify(type: 'received' | 'sent_expecting_answer' | 'settled'): void {
    this.detector.handle({type, nowMs: performance.now()});
  }
}
