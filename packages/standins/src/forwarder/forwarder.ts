/**
 * Forwards TCP connections and can make the ones that are open go silent,
 * while new ones pass, as a middlebox that lost its connection table does.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';

export class Forwarder implements Disposable {
  private server: Server | undefined;
  private readonly pairs = new Set<[Socket, Socket]>();
  private isBlocked = false;
  address = '';

  private targetHost = '';
  private targetPort = 0;

  /** @param address `IP:PORT` to which connections are forwarded. */
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

  /** Stops passing bytes on the open connections and keeps them open. */
  silenceOpenConnections(): void {
    for (const pair of this.pairs) {
      for (const socket of pair) {
        socket.unpipe();
        socket.removeAllListeners('data');
        socket.pause();
      }
    }
    this.pairs.clear();
  }

  /** While blocked, new connections are accepted and pass nothing. */
  block(isBlocked: boolean): void {
    this.isBlocked = isBlocked;
  }

  [Symbol.dispose](): void {
    this.server?.close();
    for (const pair of this.pairs) for (const socket of pair) socket.destroy();
  }

  private forward(incoming: Socket): void {
    incoming.on('error', () => incoming.destroy());
    if (this.isBlocked) return;
    const outgoing = connect(this.targetPort, this.targetHost);
    const pair: [Socket, Socket] = [incoming, outgoing];
    this.pairs.add(pair);
    outgoing.on('error', () => outgoing.destroy());
    for (const socket of pair) {
      socket.setNoDelay(true);
      socket.on('close', () => {
        this.pairs.delete(pair);
        incoming.destroy();
        outgoing.destroy();
      });
    }
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  }
}
