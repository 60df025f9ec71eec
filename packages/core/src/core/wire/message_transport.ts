/** Interface through which modules send messages to other processes. */
import type {PeerAddress} from '../ids/ids.js';
import type {Message} from './messages.js';
import type {PeerNode} from './peer_node.js';

export abstract class MessageTransport {
  /** Address at which other processes reach this one. */
  abstract get address(): PeerAddress;

  abstract send(address: PeerAddress, message: Message): void;

  /**
   * Sends a message that is safe to repeat. Until `settle` is called with its
   * key, the receiver is monitored and the message resent if the connection is
   * lost.
   */
  abstract sendRepeatable(
    address: PeerAddress,
    key: string,
    message: Message,
  ): void;

  /** Ends the monitoring of a message, for example when its answer arrived. */
  abstract settle(address: PeerAddress, key: string): void;
}

/** Transport over the TCP connections of this process. */
export class PeerMessageTransport extends MessageTransport {
  constructor(private readonly peers: PeerNode) {
    super();
  }

  override get address(): PeerAddress {
    return this.peers.address;
  }

  override send(address: PeerAddress, message: Message): void {
    this.peers.send(address, message);
  }

  override sendRepeatable(
    address: PeerAddress,
    key: string,
    message: Message,
  ): void {
    this.peers.sendRepeatable(address, key, message);
  }

  override settle(address: PeerAddress, key: string): void {
    this.peers.settle(address, key);
  }
}
