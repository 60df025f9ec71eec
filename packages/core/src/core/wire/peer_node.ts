/**
 * This process's end of all connections to other processes. It listens, keeps
 * one outgoing connection for each address, replaces connections that have
 * gone silent, and reports processes that cannot be reached.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import type {
  PeerDecision,
  SilenceOptions,
} from '../detection/silence_detector.js';
import type {ConfigVersion, PeerAddress, PlanVersion} from '../ids/ids.js';
import {listenOn} from '../lifecycle/listen_on.js';
import {PauseMonitor} from '../lifecycle/pause_monitor.js';
import type {Hello, Message} from './messages.js';
import {PeerConnection} from './peer_connection.js';
import {PeerLink, type LostMessage} from './peer_link.js';

/** Time allowed for a TCP connection to be established. */
const CONNECT_TIMEOUT_MS = 1000;

/** Period at which the silence of all connections is looked at. */
const HEALTH_PERIOD_MS = 100;

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
  /** Also answers `ping`, which keeps the connection from being replaced. */
  onMessage(message: Message, from: PeerLink): void;
  /** A process cannot be reached any more, by a new connection either. */
  onPeerDown?(address: PeerAddress, cause: string): void;
  /** The connection of a message that must not be repeated was lost. */
  onLost?(lost: LostMessage): void;
  /** A silent connection was replaced; the peer is well. */
  onConnectionReplaced?(address: PeerAddress): void;
}

export class PeerNode implements Disposable {
  /** `IP:PORT` at which other processes reach this one. */
  address = '' as PeerAddress;

  /** `IP:PORT` of the listener itself. */
  boundAddress = '' as PeerAddress;

  private server: Server | undefined;
  private readonly outgoing = new Map<PeerAddress, PeerLink>();
  private readonly accepted = new Set<PeerLink>();
  private readonly pauses = new PauseMonitor();
  private readonly healthTimer: NodeJS.Timeout;
  private pingSeq = 0;
  private isDisposed = false;

  constructor(
    private readonly identity: PeerIdentity,
    private readonly handlers: PeerHandlers,
    private readonly silence: Partial<SilenceOptions> = {},
  ) {
    this.healthTimer = setInterval(() => this.checkHealth(), HEALTH_PERIOD_MS);
    this.healthTimer.unref();
    this.pauses.onPause(pausedMs => this.forgivePause(pausedMs));
  }

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
    await listenOn(server, host, port, 'peer_port');
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
    const link = new PeerLink(address, this.silence);
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
    this.link(address).sendExpecting(key, message);
  }

  /** Sends a message that must not be repeated; `onLost` reports its loss. */
  sendOnce(address: PeerAddress, key: string, message: Message): void {
    this.link(address).sendExpecting(key, message, false);
  }

  settle(address: PeerAddress, key: string): void {
    this.outgoing.get(address)?.settle(key);
  }

  /** Sends to every connected process, whoever opened the connection. */
  broadcast(message: Message): void {
    for (const link of this.links()) link.send(message);
  }

  links(): PeerLink[] {
    return [...this.outgoing.values(), ...this.accepted];
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    clearInterval(this.healthTimer);
    this.pauses[Symbol.dispose]();
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
    this.openSocket(
      link.address,
      socket => link.attach(this.wrap(link, socket, link.address)),
      cause => this.declareDown(link, cause),
    );
  }

  private openSocket(
    address: PeerAddress,
    onConnect: (socket: Socket) => void,
    onFail: (cause: string) => void,
  ): Socket {
    const [host, port] = splitAddress(address);
    const socket = connect({host, port});
    const timer = setTimeout(
      () => socket.destroy(new Error('connect timed out')),
      CONNECT_TIMEOUT_MS,
    );
    const fail = (error: Error) => {
      clearTimeout(timer);
      onFail(error.message);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      if (this.isDisposed) socket.destroy();
      else onConnect(socket);
    });
    return socket;
  }

  private accept(socket: Socket): void {
    const link = new PeerLink('' as PeerAddress);
    this.accepted.add(link);
    const remote = `${socket.remoteAddress}:${socket.remotePort}`;
    link.attach(this.wrap(link, socket, remote));
  }

  /** Wraps a connected socket and introduces this process on it. */
  private wrap(link: PeerLink, socket: Socket, remote: string): PeerConnection {
    const connection = new PeerConnection(socket, remote, {
      onMessage: message => this.receive(message, link, connection),
      onClose: (_, cause) => this.handleClose(link, connection, cause),
    });
    connection.send(this.hello());
    return connection;
  }

  private receive(
    message: Message,
    link: PeerLink,
    connection: PeerConnection,
  ): void {
    if (link.connection !== connection) return;
    link.noteReceived();
    if (message.type === 'hello') link.hello = message;
    this.handlers.onMessage(message, link);
  }

  private handleClose(
    link: PeerLink,
    connection: PeerConnection,
    cause: string,
  ): void {
    if (link.connection !== connection) return;
    link.connection = undefined;
    this.accepted.delete(link);
    if (this.outgoing.get(link.address) !== link) return;
    this.reportLost(link);
    if (!link.hasUnanswered || this.isDisposed) {
      this.outgoing.delete(link.address);
      return;
    }
    if (link.isRedial) return this.declareDown(link, cause);
    link.isRedial = true;
    link.requeueUnanswered();
    this.dial(link);
  }

  private declareDown(link: PeerLink, cause: string): void {
    if (this.outgoing.get(link.address) !== link) return;
    this.outgoing.delete(link.address);
    const {connection} = link;
    link.connection = undefined;
    connection?.close(cause);
    this.reportLost(link);
    this.handlers.onPeerDown?.(link.address, cause);
  }

  private reportLost(link: PeerLink): void {
    for (const lost of link.takeLost()) this.handlers.onLost?.(lost);
  }

  private checkHealth(): void {
    this.pauses.tick();
    const nowMs = performance.now();
    for (const link of [...this.outgoing.values()]) {
      const decision = link.detector.handle({type: 'tick', nowMs});
      if (decision) this.carryOut(link, decision);
    }
  }

  private carryOut(link: PeerLink, decision: PeerDecision): void {
    switch (decision) {
      case 'send_ping': {
        if (!link.connection) return;
        const seq = ++this.pingSeq;
        link.send({type: 'ping', seq, ...this.handlers.versions()});
        link.notePing();
        return;
      }
      case 'probe':
        return this.probe(link);
      case 'declare_down':
        return this.declareDown(link, 'silent');
      default:
        return;
    }
  }

  /** Opens a second connection; a peer that answers on it is well. */
  private probe(link: PeerLink): void {
    const handle = (type: 'probe_answered' | 'probe_failed') =>
      link.detector.handle({type, nowMs: performance.now()});
    const fail = (cause: string) => {
      if (handle('probe_failed') === 'declare_down') {
        this.declareDown(link, cause);
      }
    };
    const onConnect = (socket: Socket) => {
      const connection = new PeerConnection(socket, link.address, {
        onMessage: message => {
          if (link.connection === connection) {
            return this.receive(message, link, connection);
          }
          const isUseful = handle('probe_answered') === 'replace_connection';
          if (!isUseful) return connection.close('probe not needed');
          this.replaceConnection(link, connection);
          this.receive(message, link, connection);
        },
        onClose: (_, cause) => {
          if (link.connection !== connection) return fail(cause);
          this.handleClose(link, connection, cause);
        },
      });
      connection.send(this.hello());
    };
    this.openSocket(link.address, onConnect, fail);
  }

  private replaceConnection(link: PeerLink, connection: PeerConnection): void {
    const silent = link.connection;
    this.reportLost(link);
    link.requeueUnanswered();
    link.attach(connection);
    silent?.close('replaced');
    this.handlers.onConnectionReplaced?.(link.address);
  }

  private forgivePause(pausedMs: number): void {
    const nowMs = performance.now();
    for (const {detector} of this.outgoing.values()) {
      detector.handle({type: 'paused', nowMs, pausedMs});
    }
  }
}

function splitAddress(address: PeerAddress): [string, number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
