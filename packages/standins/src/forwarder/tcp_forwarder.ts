/**
 * TCP forwarder that can stop passing data on the open connections without
 * closing them, while new connections work. A middlebox that lost its connection
 * table behaves like this.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';

export class TcpForwarder implements Disposable {
  private server: Server | undefined;
  private readonly socketPairs = new Set<[Socket, Socket]>();
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
    const server = createServer(socket => this.forward(socket));
    this.server = server;
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const bound = server.address();
    if (typeof bound === 'object' && bound) {
      this.address = `127.0.0.1:${bound.port}`;
    }
    return this;
  }

  /** Stops passing data on the open connections without closing them. */
  stallOpenConnections(): void {
    for (const pair of this.socketPairs) {
      for (const socket of pair) {
        socket.unpipe();
        socket.removeAllListeners('data');
        socket.pause();
      }
    }
    this.socketPairs.clear();
  }

  /** While blocked, new connections are accepted but not forwarded. */
  setBlocked(isBlocked: boolean): void {
    this.isBlocked = isBlocked;
  }

  [Symbol.dispose](): void {
    this.server?.close();
    for (const pair of this.socketPairs)
      for (const socket of pair) socket.destroy();
  }

  private forward(incoming: Socket): void {
    incoming.on('error', () => incoming.destroy());
    if (this.isBlocked) return;
    const outgoing = connect(this.targetPort, this.targetHost);
    const pair: [Socket, Socket] = [incoming, outgoing];
    this.socketPairs.add(pair);
    outgoing.on('error', () => outgoing.destroy());
    for (const socket of pair) {
      socket.setNoDelay(true);
      socket.on('close', () => {
        this.socketPairs.delete(pair);
        incoming.destroy();
        outgoing.destroy();
      });
    }
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  }
}
