/** Stage transport over the connections of this process. */
import type {Message, PeerAddress, PeerNode} from '@azurecrank/core';
import {StageTransport} from '../sequences/stage.js';

export class PeerTransport extends StageTransport {
  constructor(private readonly peers: PeerNode) {
    super();
  }

  override send(address: PeerAddress, message: Message): void {
    this.peers.send(address, message);
  }

  override sendExpecting(
    address: PeerAddress,
    key: string,
    message: Message,
  ): void {
    this.peers.sendExpecting(address, key, message);
  }

  override settle(address: PeerAddress, key: string): void {
    this.peers.settle(address, key);
  }
}
