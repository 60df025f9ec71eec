/**
 * Tracks the KV-cache tokens in use on each chain: those reserved by this entry
 * exactly, those of other entries as last reported. Pure; times are arguments.
 */
import type {ServerAddress} from '../fleet/backend_server.js';
import type {ServerChain} from '../paths/find_chains.js';

/** Maximum age of the usage reported by a peer; older reports are dropped. */
const MAX_PEER_USAGE_AGE_MS = 3000;

/**
 * Fraction of a chain's KV-cache capacity that admitted requests are expected
 * to use at most. The rest is for responses that are longer than expected.
 */
const ADMISSIBLE_CAPACITY_FRACTION = 0.85;

/**
 * Time for which a chain gets no new request after a refusal, which mostly means
 * that one of its servers has no free KV-cache tokens.
 */
const REFUSAL_BACKOFF_MS = 200;

interface PeerUsage {
  readonly usedTokens: ReadonlyMap<ServerAddress, number>;
  readonly atMs: number;
}

export class ChainLoads {
  private readonly ownTokensByFirst = new Map<ServerAddress, number>();
  private readonly peerUsages = new Map<string, PeerUsage>();
  private readonly refusingUntilMs = new Map<ServerAddress, number>();

  /** Tokens reserved by this entry, by the first server of the chain. */
  ownUsedTokens(): Record<string, number> {
    return Object.fromEntries(this.ownTokensByFirst);
  }

  /** Reserves tokens on a chain for a request of this entry. */
  reserve(first: ServerAddress, tokens: number): void {
    this.ownTokensByFirst.set(
      first,
      (this.ownTokensByFirst.get(first) ?? 0) + tokens,
    );
  }

  release(first: ServerAddress, tokens: number): void {
    const left = (this.ownTokensByFirst.get(first) ?? 0) - tokens;
    if (left > 0) this.ownTokensByFirst.set(first, left);
    else this.ownTokensByFirst.delete(first);
  }

  /** Replaces the usage reported by a peer. */
  setPeerUsage(
    node: string,
    usedTokens: Readonly<Record<string, number>>,
    nowMs: number,
  ): void {
    const entries = Object.entries(usedTokens);
    this.peerUsages.set(node, {usedTokens: new Map(entries), atMs: nowMs});
  }

  /** Records that a server of the chain refused a request. */
  recordRefusal(first: ServerAddress, nowMs: number): void {
    this.refusingUntilMs.set(first, nowMs + REFUSAL_BACKOFF_MS);
  }

  /** Tokens in use on a chain, by this entry and its peers. */
  usedTokens(first: ServerAddress, nowMs: number): number {
    let used = this.ownTokensByFirst.get(first) ?? 0;
    for (const [node, usage] of this.peerUsages) {
      if (nowMs - usage.atMs > MAX_PEER_USAGE_AGE_MS)
        this.peerUsages.delete(node);
      else used += usage.usedTokens.get(first) ?? 0;
    }
    return used;
  }

  /** Fraction of the chain's capacity in use; above 1 it is overcommitted. */
  usedFraction(chain: ServerChain, nowMs: number): number {
    const first = chain.path[0].server.address;
    return this.usedTokens(first, nowMs) / Math.max(1, chain.capacityTokens);
  }

  /** Tokens that the chain can still admit; 0 while it backs off. */
  freeTokens(chain: ServerChain, nowMs: number): number {
    const first = chain.path[0].server.address;
    if (nowMs < (this.refusingUntilMs.get(first) ?? -Infinity)) return 0;
    const admissible = chain.capacityTokens * ADMISSIBLE_CAPACITY_FRACTION;
    return Math.max(0, admissible - this.usedTokens(first, nowMs));
  }

  /** Whether the chain can admit a request that uses this many tokens. */
  hasFreeTokens(chain: ServerChain, tokens: number, nowMs: number): boolean {
    return this.freeTokens(chain, nowMs) >= tokens;
  }
}
