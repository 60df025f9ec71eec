/**
 * State of the communication with one peer across successive connections:
 * queued messages, unanswered messages and the detection of silence.
 */
import {
  FailureDetector,
  type FailureDetectorOptions,
  type PeerDecision,
  type PeerEvent,
} from '../detection/failure_detector.js';
import type {PeerAddress} from '../ids/ids.js';
import type {Hello, Message} from './messages.js';
import type {PeerConnection} from './peer_connection.js';

interface UnansweredMessage {
  readonly message: Message;
  /** Whether the message may be resent on a new connection. */
  readonly isRepeatable: boolean;
}

/** An unanswered message that must not be repeated and lost its connection. */
export interface LostMessage {
  readonly key: string;
  readonly message: Message;
  /** False only if the message was certainly never written to a connection. */
  readonly mayHaveLeft: boolean;
}

export class PeerLink {
  connection: PeerConnection | undefined;
  hello: Hello | undefined;
  /** Messages queued until there is a connection. */
  readonly unsent: Message[] = [];
  /** Whether the connection replaces one lost with unanswered messages. */
  isReconnect = false;
  private readonly detector: FailureDetector;
  private isAwaitingPong = false;
  /** Time of a receipt of which the detector has not been told yet. */
  private receivedAtMs: number | undefined;
  private readonly unanswered = new Map<string, UnansweredMessage>();

  constructor(
    /** Address to which this process connects; empty for accepted connections. */
    readonly address: PeerAddress,
    options: Partial<FailureDetectorOptions> = {},
  ) {
    this.detector = new FailureDetector(performance.now(), options);
  }

  /** Name of the peer in logs and errors. */
  get name(): string {
    return this.hello?.node ?? this.connection?.remoteAddress ?? this.address;
  }

  get hasUnanswered(): boolean {
    return this.unanswered.size > 0;
  }

  /**
   * Sends a message, or queues it until there is a connection.
   * @returns false if the connection is closed.
   */
  send(message: Message): boolean {
    if (this.connection) return this.connection.send(message);
    this.unsent.push(message);
    return true;
  }

  /**
   * Sends a message and monitors the peer for silence until it is settled.
   * @param isRepeatable whether the message is resent on a new connection.
   */
  sendTracked(key: string, message: Message, isRepeatable = true): void {
    if (!this.unanswered.has(key)) this.notifyDetector('sent_expecting_answer');
    this.unanswered.set(key, {message, isRepeatable});
    this.send(message);
  }

  /** Ends the monitoring of the message with this key. */
  settle(key: string): void {
    if (this.unanswered.delete(key)) this.notifyDetector('settled');
  }

  /** Queues the unanswered messages for the next connection. */
  requeueUnanswered(): void {
    const queued = new Set(this.unsent);
    for (const {message} of this.unanswered.values()) {
      if (!queued.has(message)) this.unsent.push(message);
    }
  }

  /** Removes and returns the unanswered messages that must not be repeated. */
  removeLostMessages(): LostMessage[] {
    const neverSent = new Set(this.unsent);
    const lost = [...this.unanswered]
      .filter(([, {isRepeatable}]) => !isRepeatable)
      .map(([key, {message}]) => {
        return {key, message, mayHaveLeft: !neverSent.has(message)};
      });
    for (const {key} of lost) this.settle(key);
    return lost;
  }

  /** Switches to `connection` and sends the queued messages on it. */
  attach(connection: PeerConnection): void {
    this.connection = connection;
    for (const message of this.unsent.splice(0)) connection.send(message);
  }

  /**
   * Counts a sent ping as outstanding until anything is received. Otherwise a
   * connection that goes silent with nothing else outstanding would lose
   * messages that need no answer, such as `release`, without being detected.
   */
  recordPing(): void {
    if (this.isAwaitingPong) return;
    this.isAwaitingPong = true;
    this.notifyDetector('sent_expecting_answer');
  }

  recordReceived(): void {
    this.isReconnect = false;
    this.receivedAtMs = performance.now();
    if (!this.isAwaitingPong) return;
    this.isAwaitingPong = false;
    this.notifyDetector('settled');
  }

  /**
   * Passes an event to the failure detector and returns its decision. Messages
   * arrive much more often than anything depends on them, so the detector is
   * told of the last one only before another event.
   */
  detect(event: PeerEvent): PeerDecision | undefined {
    const {receivedAtMs} = this;
    this.receivedAtMs = undefined;
    if (receivedAtMs !== undefined)
      this.detector.handle({type: 'received', nowMs: receivedAtMs});
    return this.detector.handle(event);
  }

  private notifyDetector(type: 'sent_expecting_answer' | 'settled'): void {
    this.detect({type, nowMs: performance.now()});
  }
}
