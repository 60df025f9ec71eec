/**
 * The other end of a process's connections, with counted bytes. It speaks the
 * frames of the system without the machinery of a `PeerNode`, so that many of
 * them fit into one process.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {
  FrameDecoder,
  encodeFrame,
  type Hello,
  type Message,
  type PeerAddress,
  type Role,
} from '@azurecrank/core';

export type RawHandler = (message: Message, peer: RawPeer) => void;

export interface PeerCounts {
  readonly bytesIn: number;
  readonly bytesOut: number;
}

/** One connection. */
export class RawPeer {
  private readonly decoder = new FrameDecoder();

  constructor(
    private readonly socket: Socket,
    onMessage: RawHandler,
  ) {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('data', chunk => {
      for (const message of this.decoder.push(chunk)) onMessage(message, this);
    });
  }

  send(message: Message): void {
    this.socket.write(encodeFrame(message));
  }

  get counts(): PeerCounts {
    const {bytesRead, bytesWritten} = this.socket;
    return {bytesIn: bytesRead, bytesOut: bytesWritten};
  }

  close(): void {
    this.socket.destroy();
  }
}

export function createHello(
  node: string,
  role: Role,
  address = '' as PeerAddress,
): Hello {
  return {
    type: 'hello',
    node,
    instance: node as Hello['instance'],
    role,
    availabilityZone: 'zone-a',
    configVersion: 0 as Hello['configVersion'],
    planVersion: 0 as Hello['planVersion'],
    address,
  };
}

/** Connects and introduces itself; resolves with the connection. */
export async function connectRaw(
  address: PeerAddress,
  hello: Hello,
  onMessage: RawHandler,
): Promise<RawPeer> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  await new Promise<void>((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  const peer = new RawPeer(socket, onMessage);
  peer.send(hello);
  return peer;
}

/** A listener on a free port that answers each connection. */
export class RawListener implements Disposable {
  readonly peers = new Set<RawPeer>();
  address = '' as PeerAddress;
  private server: Server | undefined;

  constructor(
    private readonly node: string,
    private readonly onMessage: RawHandler,
  ) {}

  async listen(): Promise<this> {
    const server = createServer(socket => {
      const peer = new RawPeer(socket, this.onMessage);
      this.peers.add(peer);
      socket.once('close', () => this.peers.delete(peer));
      peer.send(createHello(this.node, 'side', this.address));
    });
    this.server = server;
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const bound = server.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    this.address = `127.0.0.1:${port}` as PeerAddress;
    return this;
  }

  get counts(): PeerCounts {
    return sumCounts([...this.peers]);
  }

  [Symbol.dispose](): void {
    this.server?.close();
    for (const peer of this.peers) peer.close();
  }
}

export function sumCounts(peers: readonly RawPeer[]): PeerCounts {
  const counts = peers.map(peer => peer.counts);
  return {
    bytesIn: counts.reduce((sum, {bytesIn}) => sum + bytesIn, 0),
    bytesOut: counts.reduce((sum, {bytesOut}) => sum + bytesOut, 0),
  };
}
