/**
 * Memory in use on each chain: by this entry exactly, by the others as they
 * told last. Pure; times are arguments.
 */
import type {ServerAddress} from '../fleet/backend_server.js';
import type {ServerChain} from '../paths/find_chains.js';

/** What a peer told longer ago is not counted, in milliseconds. */
const SHARE_MAX_AGE_MS = 3000;

/**
 * Part of a chain's memory that admitted requests are expected to use; the
 * rest is for answers that are longer than expected.
 */
const USABLE_PART = 0.85;

/** A chain that refused for want of memory gets nothing new for this time. */
const FULL_MS = 200;

interface PeerShare {
  readonly usedTokens: ReadonlyMap<ServerAddress, number>;
  readonly atMs: number;
}

export class ChainLoads {
  private readonly own = new Map<ServerAddress, number>();
  private readonly peers = new Map<string, PeerShare>();
  private readonly fullUntilMs = new Map<ServerAddress, number>();

  /** Tokens of this entry's running requests by first server. */
  ownTokens(): Record<string, number> {
    return Object.fromEntries(this.own);
  }

  take(first: ServerAddress, tokens: number): void {
    this.own.set(first, (this.own.get(first) ?? 0) + tokens);
  }

  release(first: ServerAddress, tokens: number): void {
    const left = (this.own.get(first) ?? 0) - tokens;
    if (left > 0) this.own.set(first, left);
    else this.own.delete(first);
  }

  notePeer(
    node: string,
    usedTokens: Readonly<Record<string, number>>,
    nowMs: number,
  ): void {
    const entries = Object.entries(usedTokens);
    this.peers.set(node, {usedTokens: new Map(entries), atMs: nowMs});
  }

  /** A server of the chain has refused a request. */
  noteFull(first: ServerAddress, nowMs: number): void {
    this.fullUntilMs.set(first, nowMs + FULL_MS);
  }

  usedTokens(first: ServerAddress, nowMs: number): number {
    let used = this.own.get(first) ?? 0;
    for (const [node, share] of this.peers) {
      if (nowMs - share.atMs > SHARE_MAX_AGE_MS) this.peers.delete(node);
      else used += share.usedTokens.get(first) ?? 0;
    }
    return used;
  }

  /** Part of the chain's memory in use; above 1 it is overcommitted. */
  usedPart(chain: ServerChain, nowMs: number): number {
    const first = chain.path[0].server.address;
    return this.usedTokens(first, nowMs) / Math.max(1, chain.capacityTokens);
  }

  /** Whether a request of so many tokens fits. */
  hasRoom(chain: ServerChain, tokens: number, nowMs: number): boolean {
    const first = chain.path[0].server.address;
    if (nowMs < (this.fullUntilMs.get(first) ?? -Infinity)) return false;
    const used = this.usedTokens(first, nowMs);
    return used + tokens <= chain.capacityTokens * USABLE_PART;
  }
}
