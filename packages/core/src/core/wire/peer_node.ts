/**
 * This process's end of all connections to other processes: it listens, keeps
 * at most one outgoing connection per address, and exchanges `hello`.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import type {ConfigVersion, PeerAddress, PlanVersion} from '../ids/ids.js';
import type {Hello, Message} from './messages.js';
import {PeerConnection} from './peer_connection.js';

/** Time allowed for a TCP connection to be established. */
const CONNECT_TIMEOUT_MS = 1000;

export interface PeerVersions {
  readonly configVersion: ConfigVersion;
  readonly planVersion: PlanVersion;
}

export type PeerIdentity = Pick<
  Hello,
  'node' | 'instance' | 'role' | 'availabilityZone'
>;

export interface PeerHandlers {
  versions(): PeerVersions;
  onMessage(message: Message, from: PeerLink): void;
  /**
   * A link is gone.
   * @param unsent messages that provably never left this process.
   */
  onLinkDown?(link: PeerLink, cause: string, unsent: Message[]): void;
  /**
   * A process cannot be reached any more, by a new connection either.
   * @param unanswered messages that were sent and not settled.
   */
  onPeerDown?(
    address: PeerAddress,
    cause: string,
    unanswered: ReadonlyMap<string, Message>,
  ): void;
}

/** A connection with what is known about its other end. */
export class PeerLink {
  connection: PeerConnection | undefined;
  hello: Hello | undefined;
  /** Messages waiting for the connection to be established. */
  readonly unsent: Message[] = [];
  /** Messages for which signs of life are expected, by key. */
  readonly unanswered = new Map<string, Message>();
  /** Whether a lost connection has been dialled again since the last data. */
  isRedial = false;

  constructor(
    /** Address this process connected to; empty for accepted connections. */
    readonly address: PeerAddress,
  ) {}

  /** Name of the peer in logs and errors. */
  get name(): string {
    return this.hello?.node ?? this.connection?.remote ?? this.address;
  }

  /** Sends now, or once connected. Returns false if the link is closed. */
  send(message: Message): boolean {
    if (this.connection) return this.connection.send(message);
    this.unsent.push(message);
    return true;
  }
}

export class PeerNode implements Disposable {
  /** `IP:PORT` at which other processes reach this one. */
  address = '' as PeerAddress;

  /** `IP:PORT` of the listener itself. */
  boundAddress = '' as PeerAddress;

  private server: Server | undefined;
  private readonly outgoing = new Map<PeerAddress, PeerLink>();
  private readonly accepted = new Set<PeerLink>();
  private isDisposed = false;

  constructor(
    private readonly identity: PeerIdentity,
    private readonly handlers: PeerHandlers,
  ) {}

  /**
   * Starts to listen; port 0 takes a free one.
   * @param advertised address told to other processes instead.
   */
  async listen(
    host: string,
    port: number,
    advertised?: string,
  ): Promise<PeerAddress> {
    const server = createServer(socket => this.accept(socket));
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    const bound = server.address();
    const boundPort = typeof bound === 'object' && bound ? bound.port : port;
    this.boundAddress = `${host}:${boundPort}` as PeerAddress;
    this.address = (advertised ?? this.boundAddress) as PeerAddress;
    return this.address;
  }

  /** Returns the link to `address` and connects it if there is none. */
  link(address: PeerAddress): PeerLink {
    const existing = this.outgoing.get(address);
    if (existing) return existing;
    const link = new PeerLink(address);
    this.outgoing.set(address, link);
    this.dial(link);
    return link;
  }

  send(address: PeerAddress, message: Message): boolean {
    return this.link(address).send(message);
  }

  /**
   * Sends a message that is safe to repeat. If the connection is lost before
   * `settle`, it is sent again on a new one; if there is none, `onPeerDown`
   * reports it.
   */
  sendExpecting(address: PeerAddress, key: string, message: Message): void {
    const link = this.link(address);
    link.unanswered.set(key, message);
    link.send(message);
  }

  settle(address: PeerAddress, key: string): void {
    this.outgoing.get(address)?.unanswered.delete(key);
  }

  /** Sends to every connected process, whoever opened the connection. */
  broadcast(message: Message): void {
    for (const link of this.links()) link.send(message);
  }

  links(): PeerLink[] {
    return [...this.outgoing.values(), ...this.accepted];
  }

  /** Drops the connection to `address`; the next send opens a new one. */
  disconnect(address: PeerAddress, cause: string): void {
    this.outgoing.get(address)?.connection?.close(cause);
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    this.server?.close();
    for (const link of this.links()) link.connection?.close('disposed');
  }

  private hello(): Hello {
    return {
      type: 'hello',
      ...this.identity,
      ...this.handlers.versions(),
      address: this.address,
    };
  }

  private dial(link: PeerLink): void {
    const [host, port] = splitAddress(link.address);
    const socket = connect({host, port});
    const timer = setTimeout(
      () => socket.destroy(new Error('connect timed out')),
      CONNECT_TIMEOUT_MS,
    );
    const fail = (error: Error) => {
      clearTimeout(timer);
      this.outgoing.delete(link.address);
      this.handlers.onLinkDown?.(link, error.message, link.unsent.splice(0));
      this.handlers.onPeerDown?.(link.address, error.message, link.unanswered);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      this.attach(link, socket, link.address);
      for (const message of link.unsent.splice(0)) link.send(message);
    });
  }

  private accept(socket: Socket): void {
    const link = new PeerLink('' as PeerAddress);
    this.accepted.add(link);
    this.attach(link, socket, `${socket.remoteAddress}:${socket.remotePort}`);
  }

  private attach(link: PeerLink, socket: Socket, remote: string): void {
    link.connection = new PeerConnection(socket, remote, {
      onMessage: message => this.receive(message, link),
      onClose: (_, cause) => this.remove(link, cause),
    });
    link.send(this.hello());
  }

  private receive(message: Message, link: PeerLink): void {
    if (message.type === 'hello') link.hello = message;
    link.isRedial = false;
    this.handlers.onMessage(message, link);
  }

  private remove(link: PeerLink, cause: string): void {
    this.accepted.delete(link);
    if (this.outgoing.get(link.address) === link) {
      this.outgoing.delete(link.address);
    }
    this.handlers.onLinkDown?.(link, cause, []);
    if (link.unanswered.size === 0 || this.isDisposed) return;
    if (link.isRedial) {
      this.handlers.onPeerDown?.(link.address, cause, link.unanswered);
      return;
    }
    this.redial(link);
  }

  /** Opens a new connection and sends again what was not answered. */
  private redial(lost: PeerLink): void {
    const link = new PeerLink(lost.address);
    link.isRedial = true;
    for (const [key, message] of lost.unanswered) {
      link.unanswered.set(key, message);
      link.unsent.push(message);
    }
    this.outgoing.set(link.address, link);
    this.dial(link);
  }
}

function splitAddress(address: PeerAddress): [string, number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
