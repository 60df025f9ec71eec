/** Holds the running generations of this process by request id. */
import type {Message, PeerAddress, RequestId} from '@azurecrank/core';
import type {Generation} from './generation.js';

export class GenerationTable {
  private readonly generations = new Map<RequestId, Generation>();

  get size(): number {
    return this.generations.size;
  }

  add(generation: Generation): void {
    this.generations.set(generation.spec.request, generation);
  }

  remove(request: RequestId): void {
    this.generations.delete(request);
  }

  receive(message: Message & {readonly request: RequestId}): void {
    this.generations.get(message.request)?.receive(message);
  }

  onPeerDown(address: PeerAddress): void {
    for (const generation of this.generations.values()) {
      generation.onHeadDown(address);
    }
  }
}
