/**
 * The chains of a model and their free KV-cache tokens, as this entry may use
 * them.
 */
import type {RequestId, ServiceId} from '@azurecrank/core';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import {findChains, type ServerChain} from '../paths/find_chains.js';
import {formatPath} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {ChainLoads} from './chain_loads.js';
import {chooseChain, chooseContendedChain} from './choose_chain.js';
import type {PeerQueues} from './peer_queues.js';

export interface ChainPlacesOptions {
  readonly service: ServiceId;
  readonly availabilityZone: string;
  readonly fleet: FleetView;
  readonly loads: ChainLoads;
  readonly peerQueues: PeerQueues;
  readonly model: () => ModelSpec | undefined;
  readonly nowMs: () => number;
  /** Called when the chains of the model have changed. */
  readonly onChainsChanged: (chains: readonly ServerChain[]) => void;
}

/** What a stream that lost its chain waits for. */
export type ChainLack =
  /** No servers together hold all layers. */
  | 'no_chain'
  /** Chains with free tokens begin at servers that it may not use. */
  | 'allowed_servers'
  /** Free tokens are left to streams that lost their chain earlier. */
  | 'earlier_streams'
  /** No chain has enough free tokens or is open. */
  | 'free_chain';

/**
 * Chains are derived again at this interval for each server at the soonest, as
 * long as all servers of the present ones can be used: deriving them takes time
 * that grows with the servers, and a large fleet changes all the time.
 */
const DERIVATION_INTERVAL_PER_SERVER_MS = 1.5;

/**
 * In larger fleets some server of a chain is lost nearly all the time, and to
 * derive all chains takes tens of milliseconds. The others are kept then.
 */
const MAX_SERVERS_DERIVED_AT_ONCE = 150;

export class ChainPlaces {
  private chains: ServerChain[] = [];
  private derivedAtMs = -Infinity;
  private chainsRevision = -1;
  private chainsModel: ModelSpec | undefined;

  constructor(private readonly options: ChainPlacesOptions) {}

  /** Chains of usable servers, cached until the fleet or model changes. */
  current(): ServerChain[] {
    const {fleet, service, model, nowMs} = this.options;
    const spec = model();
    const isCached =
      fleet.revision === this.chainsRevision && spec === this.chainsModel;
    if (isCached) return this.chains;
    const now = nowMs();
    const kept = spec === this.chainsModel ? this.keepChains(now) : undefined;
    if (kept?.length === this.chains.length) return this.chains;
    if (kept) return this.replaceChains(kept, now);
    this.derivedAtMs = now;
    this.chainsRevision = fleet.revision;
    this.chainsModel = spec;
    const chains = spec ? findChains(spec, fleet.usable(service)) : [];
    return this.replaceChains(chains, now);
  }

  private replaceChains(chains: ServerChain[], nowMs: number): ServerChain[] {
    const {loads, service, onChainsChanged} = this.options;
    const hasChanged = describeChains(chains) !== describeChains(this.chains);
    this.chains = chains;
    if (hasChanged) {
      loads.recordChains(service, chains, nowMs);
      onChainsChanged(chains);
    }
    return chains;
  }

  /**
   * Returns the chains that may be used although the fleet has changed;
   * undefined if all should be derived again.
   */
  private keepChains(nowMs: number): ServerChain[] | undefined {
    const {fleet} = this.options;
    const intervalMs = fleet.size * DERIVATION_INTERVAL_PER_SERVER_MS;
    if (nowMs - this.derivedAtMs >= intervalMs) return undefined;
    const kept = this.chains.filter(({path}) =>
      path.every(({server}) => fleet.isUsableAs(server)),
    );
    if (kept.length === 0) return undefined;
    const hasLost = kept.length < this.chains.length;
    const mayLose = fleet.size > MAX_SERVERS_DERIVED_AT_ONCE;
    return hasLost && !mayLose ? undefined : kept;
  }

  /** Chains that get requests, if they have free tokens. */
  open(nowMs: number): ServerChain[] {
    const {loads} = this.options;
    return this.current().filter(chain => loads.isOpen(chain, nowMs));
  }

  /** Free tokens of each chain. */
  freeTokens(nowMs: number): number[] {
    const {loads} = this.options;
    return this.current().map(chain => loads.freeTokens(chain, nowMs));
  }

  /** Whether any chain has enough free tokens for a request. */
  hasFreeTokens(tokens: number): boolean {
    return this.hasFreeTokensOn(tokens, () => true);
  }

  /** Whether an allowed chain has enough free tokens for a request. */
  hasFreeTokensOn(
    tokens: number,
    isAllowed: (first: ServerAddress) => boolean,
  ): boolean {
    const {loads, nowMs} = this.options;
    const now = nowMs();
    return this.current().some(
      chain =>
        isAllowed(chain.path[0].server.address) &&
        loads.hasFreeTokens(chain, tokens, now),
    );
  }

  /** Returns why a stream that lost its chain does not continue. */
  lackOf(
    tokens: number,
    isAllowed: (first: ServerAddress) => boolean,
  ): ChainLack {
    const firsts = this.current().map(({path}) => path[0].server.address);
    if (firsts.length === 0) return 'no_chain';
    if (this.hasFreeTokensOn(tokens, isAllowed)) return 'earlier_streams';
    const isExcluded = !firsts.some(isAllowed) || this.hasFreeTokens(tokens);
    return isExcluded ? 'allowed_servers' : 'free_chain';
  }

  /** Time for which servers of every chain want no requests, 0 if not all. */
  heldForMs(nowMs: number): number {
    const {loads} = this.options;
    const chains = this.current();
    if (chains.length === 0) return 0;
    return Math.min(...chains.map(chain => loads.heldForMs(chain, nowMs)));
  }

  /** Reserves tokens on one of the chains, if any has enough free ones. */
  reserve(
    chains: readonly ServerChain[],
    request: RequestId,
    tokens: number,
    nowMs: number,
  ): ServerChain | undefined {
    const {loads, availabilityZone, peerQueues, service} = this.options;
    const chain = peerQueues.isContended(service, nowMs)
      ? chooseContendedChain(chains, loads, tokens, request, nowMs)
      : chooseChain(chains, loads, tokens, availabilityZone, nowMs);
    if (chain) loads.reserve(chain.path[0].server.address, tokens, nowMs);
    return chain;
  }
}

function describeChains(chains: readonly ServerChain[]): string {
  return chains.map(({path}) => formatPath(path)).join(';');
}
