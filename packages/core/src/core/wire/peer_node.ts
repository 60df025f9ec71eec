/**
 * Manages all connections of this process to its peers. It accepts
 * connections, keeps one outgoing connection per address, replaces silent
 * connections, and reports peers that cannot be reached.
 */
import {Socket, createServer, type Server} from 'node:net';
import type {
  PeerDecision,
  FailureDetectorOptions,
} from '../detection/failure_detector.js';
import type {ConfigVersion, PeerAddress, PlanVersion} from '../ids/ids.js';
import {listenOn} from '../lifecycle/listen_on.js';
import {PauseMonitor} from '../lifecycle/pause_monitor.js';
import type {Hello, Message} from './messages.js';
import {PeerConnection, type PeerTraffic} from './peer_connection.js';
import {PeerLink, type LostMessage} from './peer_link.js';

/** Timeout for establishing a TCP connection. */
const CONNECT_TIMEOUT_MS = 1000;

/** Interval at which all outgoing connections are checked for silence. */
const HEALTH_CHECK_INTERVAL_MS = 100;

export interface PeerVersions {
  readonly configVersion: ConfigVersion;
  readonly planVersion: PlanVersion;
}

export type PeerIdentity = Pick<
  Hello,
  'node' | 'instance' | 'role' | 'availabilityZone'
>;

export interface PeerHandlers {
  /** Returns the versions to send in `hello` and `ping`. */
  versions(): PeerVersions;
  /**
   * Handles a received message. Has to answer `ping`, because a connection
   * without an answer is replaced as silent.
   */
  onMessage(message: Message, from: PeerLink): void;
  /** Called when a peer cannot be reached, not even by a new connection. */
  onPeerDown?(address: PeerAddress, cause: string): void;
  /**
   * Called when an outgoing connection has closed or was replaced. Answers to
   * what was sent on it no longer arrive.
   */
  onConnectionLost?(address: PeerAddress): void;
  /** Called when the connection of an unrepeatable message is lost. */
  onMessageLost?(lost: LostMessage): void;
  /** Called when a silent connection is replaced and the peer answers. */
  onConnectionReplaced?(address: PeerAddress): void;
}

export class PeerNode implements Disposable {
  /** `IP:PORT` at which other processes reach this one. */
  address = '' as PeerAddress;

  /** `IP:PORT` on which this process listens. */
  boundAddress = '' as PeerAddress;

  private server: Server | undefined;
  private readonly outgoing = new Map<PeerAddress, PeerLink>();
  private readonly accepted = new Set<PeerLink>();
  private readonly pauseMonitor = new PauseMonitor();
  private readonly healthTimer: NodeJS.Timeout;
  private pingSeq = 0;
  /** Bytes of connections that are closed. */
  private closedTraffic: PeerTraffic = {receivedBytes: 0, sentBytes: 0};
  private isDisposed = false;

  constructor(
    private readonly identity: PeerIdentity,
    private readonly handlers: PeerHandlers,
    private readonly silenceOptions: Partial<FailureDetectorOptions> = {},
  ) {
    this.healthTimer = setInterval(
      () => this.checkHealth(),
      HEALTH_CHECK_INTERVAL_MS,
    );
    this.healthTimer.unref();
    this.pauseMonitor.onPause(pausedMs => this.handlePause(pausedMs));
  }

  /**
   * Starts to listen for peers.
   * @param port TCP port; 0 selects a free one.
   * @param advertised address announced to peers instead of the bound one.
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

  /** Returns the link to `address`; creates and connects it if there is none. */
  link(address: PeerAddress): PeerLink {
    const existing = this.outgoing.get(address);
    if (existing) return existing;
    const link = new PeerLink(address, this.silenceOptions);
    this.outgoing.set(address, link);
    this.openConnection(link);
    return link;
  }

  send(address: PeerAddress, message: Message): boolean {
    return this.link(address).send(message);
  }

  /**
   * Sends a message that is safe to repeat. If the connection is lost before
   * `settle` is called, the message is resent on a new connection; if none can
   * be established, `onPeerDown` is called.
   */
  sendRepeatable(address: PeerAddress, key: string, message: Message): void {
    this.link(address).sendTracked(key, message);
  }

  /** Sends a message that must not be repeated; its loss is reported. */
  sendOnce(address: PeerAddress, key: string, message: Message): void {
    this.link(address).sendTracked(key, message, false);
  }

  /** Ends the monitoring of the message with this key. */
  settle(address: PeerAddress, key: string): void {
    this.outgoing.get(address)?.settle(key);
  }

  /** Sends to all peers, on outgoing and accepted connections. */
  broadcast(message: Message): void {
    for (const link of this.links()) link.send(message);
  }

  links(): PeerLink[] {
    return [...this.outgoing.values(), ...this.accepted];
  }

  /** Bytes exchanged with all peers since the start. */
  get traffic(): PeerTraffic {
    let {receivedBytes, sentBytes} = this.closedTraffic;
    for (const {connection} of this.links()) {
      receivedBytes += connection?.traffic.receivedBytes ?? 0;
      sentBytes += connection?.traffic.sentBytes ?? 0;
    }
    return {receivedBytes, sentBytes};
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    clearInterval(this.healthTimer);
    this.pauseMonitor[Symbol.dispose]();
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

  private openConnection(link: PeerLink): void {
    this.openSocket(
      link.address,
      socket => link.attach(this.createConnection(link, socket, link.address)),
      cause => this.declareDown(link, cause),
    );
  }

  private openSocket(
    address: PeerAddress,
    onConnect: (socket: Socket) => void,
    onFail: (cause: string) => void,
  ): Socket {
    const socket = connectTo(address);
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
    link.attach(this.createConnection(link, socket, remote));
  }

  /** Wraps a connected socket and sends `hello` on it. */
  private createConnection(
    link: PeerLink,
    socket: Socket,
    remote: string,
  ): PeerConnection {
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
    link.recordReceived();
    if (message.type === 'hello') link.hello = message;
    this.handlers.onMessage(message, link);
  }

  private handleClose(
    link: PeerLink,
    connection: PeerConnection,
    cause: string,
  ): void {
    const {receivedBytes, sentBytes} = connection.traffic;
    this.closedTraffic = {
      receivedBytes: this.closedTraffic.receivedBytes + receivedBytes,
      sentBytes: this.closedTraffic.sentBytes + sentBytes,
    };
    if (link.connection !== connection) return;
    link.connection = undefined;
    this.accepted.delete(link);
    if (this.outgoing.get(link.address) !== link) return;
    this.reportLostMessages(link);
    this.reportLostConnection(link);
    if (!link.hasUnanswered || this.isDisposed) {
      this.outgoing.delete(link.address);
      return;
    }
    if (link.isReconnect) return this.declareDown(link, cause);
    link.isReconnect = true;
    link.requeueUnanswered();
    this.openConnection(link);
  }

  private declareDown(link: PeerLink, cause: string): void {
    if (this.outgoing.get(link.address) !== link) return;
    this.outgoing.delete(link.address);
    const {connection} = link;
    link.connection = undefined;
    connection?.close(cause);
    this.reportLostMessages(link);
    this.handlers.onPeerDown?.(link.address, cause);
  }

  private reportLostMessages(link: PeerLink): void {
    for (const lost of link.removeLostMessages())
      this.handlers.onMessageLost?.(lost);
  }

  private reportLostConnection({address}: PeerLink): void {
    if (!this.isDisposed) this.handlers.onConnectionLost?.(address);
  }

  private checkHealth(): void {
    this.pauseMonitor.tick();
    const nowMs = performance.now();
    for (const link of [...this.outgoing.values()]) {
      const decision = link.detect({type: 'tick', nowMs});
      if (decision) this.executeDecision(link, decision);
    }
  }

  private executeDecision(link: PeerLink, decision: PeerDecision): void {
    switch (decision) {
      case 'send_ping': {
        if (!link.connection) return;
        const seq = ++this.pingSeq;
        link.send({type: 'ping', seq, ...this.handlers.versions()});
        link.recordPing();
        return;
      }
      case 'probe':
        return this.probe(link);
      case 'declare_down':
        return this.declareDown(
          link,
          'silent; a probe on a new connection timed out',
        );
      default:
        return;
    }
  }

  /**
   * Opens a second connection. If the peer answers on it, only the first
   * connection has failed and is replaced.
   */
  private probe(link: PeerLink): void {
    const notifyDetector = (type: 'probe_answered' | 'probe_failed') =>
      link.detect({type, nowMs: performance.now()});
    const fail = (cause: string) => {
      if (notifyDetector('probe_failed') === 'declare_down') {
        this.declareDown(link, cause);
      }
    };
    const onConnect = (socket: Socket) => {
      const connection = new PeerConnection(socket, link.address, {
        onMessage: message => {
          if (link.connection === connection) {
            return this.receive(message, link, connection);
          }
          const isNeeded =
            notifyDetector('probe_answered') === 'replace_connection';
          if (!isNeeded) return connection.close('probe not needed');
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
    const silentConnection = link.connection;
    this.reportLostMessages(link);
    link.requeueUnanswered();
    link.attach(connection);
    silentConnection?.close('replaced');
    this.reportLostConnection(link);
    this.handlers.onConnectionReplaced?.(link.address);
  }

  /** Keeps a pause of this process from counting as silence of its peers. */
  private handlePause(pausedMs: number): void {
    const nowMs = performance.now();
    for (const link of this.outgoing.values()) {
      link.detect({type: 'paused', nowMs, pausedMs});
    }
  }
}

/** Reports an invalid address as an error event, like all others. */
function connectTo(address: PeerAddress): Socket {
  const [host, port] = splitAddress(address);
  const socket = new Socket();
  try {
    socket.connect({host, port});
  } catch (error) {
    socket.destroy(error as Error);
  }
  return socket;
}

function splitAddress(address: PeerAddress): [string, number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
