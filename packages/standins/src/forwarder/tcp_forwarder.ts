/**
 * TCP forwarder that can stop passing data on the open connections without
 * closing them, while new connections work. A middlebox that lost its connection
 * table behaves like this.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {ForwardedConnection} from './forwarded_connection.js';

export class TcpForwarder implements Disposable {
  private server: Server | undefined;
  private readonly connections = new Set<ForwardedConnection>();
  /** Connections that were accepted while the forwarder was blocked. */
  private readonly unforwarded = new Set<Socket>();
  private isBlocked = false;
  /** `IP:PORT` on which the forwarder listens, once it is started. */
  address = '';

  private targetHost = '';
  private targetPort = 0;

  /** @param address `IP:PORT` to which new connections are forwarded. */
  setTarget(address: string): void {
    const [host, port] = address.split(':');
    this.targetHost = host;
    this.targetPort = Number(port);
  }

  async start(): Promise<this> {
    await this.listen(0);
    return this;
  }

  /** Refuses new connections, as a host does where no process listens. */
  stopListening(): void {
    this.server?.close();
    this.server = undefined;
  }

  /**
   * Listens at the same address again.
   * @throws Error with code `EADDRINUSE` if another process listens there now
   */
  async listenAgain(): Promise<void> {
    if (!this.server) await this.listen(Number(this.address.split(':')[1]));
  }

  protected async listen(port: number): Promise<void> {
    const server = createServer({allowHalfOpen: true}, socket =>
      this.accept(socket),
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    this.server = server;
    const bound = server.address();
    if (typeof bound === 'object' && bound) {
      this.address = `127.0.0.1:${bound.port}`;
    }
  }

  /** Connections that pass data on, the oldest first. */
  protected get openConnections(): ForwardedConnection[] {
    return [...this.connections].filter(({isStalled}) => !isStalled);
  }

  /** Stops passing data on the open connections without closing them. */
  stallOpenConnections(): void {
    for (const connection of this.openConnections) connection.stall();
  }

  resetOpenConnections(): void {
    for (const connection of this.openConnections) connection.reset();
  }

  /** While blocked, new connections are accepted but not forwarded. */
  setBlocked(isBlocked: boolean): void {
    this.isBlocked = isBlocked;
  }

  [Symbol.dispose](): void {
    this.server?.close();
    for (const connection of this.connections) connection[Symbol.dispose]();
    for (const socket of this.unforwarded) socket.destroy();
  }

  protected accept(incoming: Socket): void {
    if (!this.isBlocked) {
      this.forward(incoming);
      return;
    }
    this.unforwarded.add(incoming);
    incoming.on('error', () => incoming.destroy());
    incoming.on('close', () => this.unforwarded.delete(incoming));
  }

  protected forward(incoming: Socket): ForwardedConnection {
    const outgoing = connect({
      host: this.targetHost,
      port: this.targetPort,
      allowHalfOpen: true,
    });
    const connection = new ForwardedConnection(incoming, outgoing, () =>
      this.connections.delete(connection),
    );
    this.connections.add(connection);
    return connection;
  }
}
