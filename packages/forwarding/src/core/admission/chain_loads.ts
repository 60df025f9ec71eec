/**
 * Tracks the KV-cache tokens in use on each chain: those reserved by this entry
 * exactly, those of other entries as last reported. Pure; times are arguments.
 */
import type {ServiceId} from '@azurecrank/core';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {ServerHolds} from '../limits/server_holds.js';
import type {SharedServerLimits} from '../limits/shared_server_limits.js';
import {ADMISSIBLE_CAPACITY_FRACTION} from '../paths/chain_throughput.js';
import type {ServerChain} from '../paths/find_chains.js';
import type {ServerPath} from '../paths/server_path.js';

/** Maximum age of the usage reported by a peer; older reports are dropped. */
const MAX_PEER_USAGE_AGE_MS = 3000;

/**
 * Time for which a chain gets no new request after a refusal, which mostly means
 * that one of its servers has no free KV-cache tokens. It doubles with each
 * refusal in a row.
 */
const MIN_REFUSAL_BACKOFF_MS = 300;
const MAX_REFUSAL_BACKOFF_MS = 2400;

/** Time after a back-off from which a refusal does not prolong it. */
const REFUSAL_MEMORY_MS = 5000;

/** Time for which the outcome of a trial request is awaited. */
const TRIAL_TIMEOUT_MS = 1000;

/**
 * Requests use a path for at most about this time after new ones take another;
 * a typical answer takes about 3 s.
 */
const FORMER_PATH_RETENTION_MS = 5000;

/** A chain that refused the last request sent to it. */
interface RefusingChain {
  readonly backoffMs: number;
  readonly refusedAtMs: number;
  /** Time until which the chain gets no request, not even one as a trial. */
  closedUntilMs: number;
}

/** A path that requests to its first server take, or took. */
interface RecordedPath {
  readonly path: ServerPath;
  /** Time at which new requests went elsewhere; undefined for current paths. */
  readonly replacedAtMs: number | undefined;
  /** Tokens of its requests at that time; 0 for current paths. */
  readonly tokensAtReplacement: number;
}

/** Requests that pass a server and began at the same first server. */
interface PassingRequests {
  readonly first: ServerAddress;
  /** Recorded paths on which they occupy more layers of the server. */
  readonly heavier: ReadonlyArray<{
    readonly recorded: RecordedPath;
    /** Layers on that path for each layer on the path in question. */
    readonly layerRatio: number;
  }>;
}

interface PeerUsage {
  readonly usedTokens: ReadonlyMap<ServerAddress, number>;
  readonly atMs: number;
}

export class ChainLoads {
  private readonly ownTokensByFirst = new Map<ServerAddress, number>();
  private readonly peerUsages = new Map<string, PeerUsage>();
  private readonly refusingChains = new Map<ServerAddress, RefusingChain>();
  private recordedPaths: RecordedPath[] = [];
  private passingByPath = new WeakMap<ServerPath, PassingRequests[][]>();

  /**
   * @param limits limits that servers name; none by default
   * @param holds servers that want no requests for now; none by default
   */
  constructor(
    private readonly limits?: Pick<SharedServerLimits, 'maySend'>,
    private readonly holds?: Pick<ServerHolds, 'maySend' | 'remainingMs'>,
  ) {}

  /** Tokens reserved by this entry, by the first server of the chain. */
  ownUsedTokens(): Record<string, number> {
    return Object.fromEntries(this.ownTokensByFirst);
  }

  /** Reserves tokens on a chain for a request of this entry. */
  reserve(first: ServerAddress, tokens: number, nowMs: number): void {
    const refusing = this.refusingChains.get(first);
    // The first request after the back-off is a trial; others wait for it.
    if (refusing) refusing.closedUntilMs = nowMs + TRIAL_TIMEOUT_MS;
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

  /**
   * Records the chains that new requests of a service take. Requests of earlier
   * chains go on with their servers, some of which may be part of other chains
   * now, or of the same chain with fewer layers; the tokens of both count for
   * these.
   */
  recordChains(
    service: ServiceId,
    chains: readonly ServerChain[],
    nowMs: number,
  ): void {
    this.passingByPath = new WeakMap();
    const former = this.recordedPaths
      .map(recorded =>
        recorded.path[0].server.service === service &&
        recorded.replacedAtMs === undefined
          ? this.replacePath(recorded, nowMs)
          : recorded,
      )
      .filter(recorded => this.mayBeInUse(recorded, nowMs));
    const current = chains.map(({path}) => ({
      path,
      replacedAtMs: undefined,
      tokensAtReplacement: 0,
    }));
    this.recordedPaths = [...former, ...current];
  }

  private replacePath({path}: RecordedPath, nowMs: number): RecordedPath {
    const first = path[0].server.address;
    const onFormerPaths = this.recordedPaths
      .filter(other => other.path[0].server.address === first)
      .reduce((sum, other) => sum + this.formerTokens(other, nowMs), 0);
    const tokensAtReplacement = Math.max(
      0,
      this.usedTokensOf(first, nowMs) - onFormerPaths,
    );
    return {path, replacedAtMs: nowMs, tokensAtReplacement};
  }

  /**
   * Estimates the tokens of requests that still use a replaced path. Those of
   * all paths from one first server are reported together.
   */
  private formerTokens(
    {path, replacedAtMs, tokensAtReplacement}: RecordedPath,
    nowMs: number,
  ): number {
    if (replacedAtMs === undefined) return 0;
    const left = 1 - (nowMs - replacedAtMs) / FORMER_PATH_RETENTION_MS;
    const used = this.usedTokensOf(path[0].server.address, nowMs);
    return Math.min(used, tokensAtReplacement * Math.max(0, left));
  }

  private mayBeInUse(
    {path, replacedAtMs}: RecordedPath,
    nowMs: number,
  ): boolean {
    if (replacedAtMs === undefined) return true;
    const isRecent = nowMs - replacedAtMs <= FORMER_PATH_RETENTION_MS;
    return isRecent && this.usedTokensOf(path[0].server.address, nowMs) > 0;
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

  /**
   * Records that a server of the chain refused a request.
   * @param sentAtMs when the request was sent; requests that were sent before
   *     an earlier refusal do not prolong the back-off
   */
  recordRefusal(first: ServerAddress, sentAtMs: number, nowMs: number): void {
    this.forgetOldRefusals(nowMs);
    const earlier = this.refusingChains.get(first);
    if (earlier && sentAtMs < earlier.refusedAtMs) return;
    const backoffMs = earlier
      ? Math.min(earlier.backoffMs * 2, MAX_REFUSAL_BACKOFF_MS)
      : MIN_REFUSAL_BACKOFF_MS;
    const closedUntilMs = nowMs + backoffMs;
    this.refusingChains.set(first, {
      backoffMs,
      refusedAtMs: nowMs,
      closedUntilMs,
    });
  }

  /** Records that the chain runs a request. */
  recordAcceptance(first: ServerAddress): void {
    this.refusingChains.delete(first);
  }

  private forgetOldRefusals(nowMs: number): void {
    for (const [first, {closedUntilMs}] of this.refusingChains) {
      if (nowMs - closedUntilMs > REFUSAL_MEMORY_MS)
        this.refusingChains.delete(first);
    }
  }

  /**
   * Tokens in use, by this entry and its peers, on the server of the path that
   * has the most. Requests that occupy more layers of a server than the path
   * does count as so many times their tokens.
   */
  usedTokens(path: ServerPath, nowMs: number): number {
    let passingEach = this.passingByPath.get(path);
    if (!passingEach) {
      passingEach = this.passingEach(path);
      this.passingByPath.set(path, passingEach);
    }
    const usedOfEach = passingEach.map(passing =>
      passing.reduce((sum, one) => sum + this.tokensOf(one, nowMs), 0),
    );
    return Math.max(...usedOfEach);
  }

  private tokensOf({first, heavier}: PassingRequests, nowMs: number): number {
    const used = this.usedTokensOf(first, nowMs);
    const extra = heavier.map(({recorded, layerRatio}) => {
      const isFormer = recorded.replacedAtMs !== undefined;
      const tokens = isFormer ? this.formerTokens(recorded, nowMs) : used;
      return tokens * (layerRatio - 1);
    });
    return extra.reduce((sum, tokens) => sum + tokens, used);
  }

  /**
   * Returns for each server of the path the requests that pass it; equal lists
   * only once.
   */
  private passingEach(path: ServerPath): PassingRequests[][] {
    const own = path[0].server.address;
    const lists = new Map<string, PassingRequests[]>();
    for (const part of path) {
      const through = this.recordedPaths.flatMap(recorded => {
        const at = recorded.path.find(
          other => other.server.address === part.server.address,
        );
        return at
          ? [{recorded, layerRatio: layersOf(at) / layersOf(part)}]
          : [];
      });
      const firsts = through.map(({recorded}) => firstServerOf(recorded));
      const passing = [...new Set([own, ...firsts])].sort().map(first => ({
        first,
        heavier: through.filter(
          ({recorded, layerRatio}) =>
            firstServerOf(recorded) === first && layerRatio > 1,
        ),
      }));
      // Servers with heavier requests have lists of their own.
      const isPlain = passing.every(({heavier}) => heavier.length === 0);
      const key = isPlain
        ? passing.map(({first}) => first).join()
        : part.server.address;
      lists.set(key, passing);
    }
    return [...lists.values()];
  }

  /** Tokens of the requests that were sent to this first server. */
  private usedTokensOf(first: ServerAddress, nowMs: number): number {
    let used = this.ownTokensByFirst.get(first) ?? 0;
    for (const [node, usage] of this.peerUsages) {
      if (nowMs - usage.atMs > MAX_PEER_USAGE_AGE_MS)
        this.peerUsages.delete(node);
      else used += usage.usedTokens.get(first) ?? 0;
    }
    return used;
  }

  /** Fraction of the chain's capacity in use; above 1 it is overcommitted. */
  usedFraction({path, capacityTokens}: ServerChain, nowMs: number): number {
    return this.usedTokens(path, nowMs) / Math.max(1, capacityTokens);
  }

  /** Time for which a server of the chain wants no requests; 0 if none does. */
  heldForMs({path}: ServerChain, nowMs: number): number {
    const {holds} = this;
    if (!holds) return 0;
    return Math.max(
      ...path.map(({server}) => holds.remainingMs(server, nowMs)),
    );
  }

  /** Tokens that the chain can still admit; 0 while it gets no request. */
  freeTokens(chain: ServerChain, nowMs: number): number {
    return this.isOpen(chain, nowMs) ? this.unusedTokens(chain, nowMs) : 0;
  }

  /** Whether the chain gets requests, if it has free tokens. */
  isOpen({path}: ServerChain, nowMs: number): boolean {
    const {address: first, service} = path[0].server;
    const refusing = this.refusingChains.get(first);
    if (refusing && nowMs < refusing.closedUntilMs) return false;
    const {holds, limits} = this;
    // A request passes all servers of the chain.
    const isHeld =
      holds !== undefined &&
      path.some(({server}) => !holds.maySend(server, nowMs));
    return !isHeld && (!limits || limits.maySend(first, service, nowMs));
  }

  /** Admissible tokens that are not in use, also while none may be admitted. */
  unusedTokens(chain: ServerChain, nowMs: number): number {
    const admissible = chain.capacityTokens * ADMISSIBLE_CAPACITY_FRACTION;
    return Math.max(0, admissible - this.usedTokens(chain.path, nowMs));
  }

  /** Whether the chain can admit a request that uses this many tokens. */
  hasFreeTokens(chain: ServerChain, tokens: number, nowMs: number): boolean {
    return this.freeTokens(chain, nowMs) >= tokens;
  }
}

function firstServerOf({path}: RecordedPath): ServerAddress {
  return path[0].server.address;
}

function layersOf({firstLayer, endLayer}: ServerPath[number]): number {
  return endLayer - firstLayer;
}
