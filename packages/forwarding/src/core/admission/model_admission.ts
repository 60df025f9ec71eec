/**
 * Where requests of one model wait until a chain has room: by rank, and fairly
 * among workspaces.
 */
import {
  FairQueue,
  RANKS,
  type QueuedItem,
  type RefusalReason,
  type RequestId,
  type ServiceId,
} from '@azurecrank/core';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import {findChains, type ServerChain} from '../paths/find_chains.js';
import {describePath} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {ChainLoads} from './chain_loads.js';
import {chooseAdmission} from './choose_admission.js';

export interface WaitingRequest extends QueuedItem {
  /** Called once with the chain on which the request has room. */
  readonly admit: (chain: ServerChain) => void;
  /** Called once if the request will not be served; it has not run. */
  readonly refuse: (reason: RefusalReason) => void;
}

export interface ModelAdmissionOptions {
  readonly service: ServiceId;
  readonly availabilityZone: string;
  readonly fleet: FleetView;
  readonly loads: ChainLoads;
  readonly model: () => ModelSpec | undefined;
  readonly nowMs: () => number;
  /** Called when other servers serve the model than before. */
  readonly onChains: (chains: readonly ServerChain[]) => void;
}

/** Bounds the memory of waiting requests. */
const MAX_WAITING = 400;

/** Bounds what one workspace may hold of the queue. */
const MAX_WAITING_PER_WORKSPACE = 200;

export class ModelAdmission {
  private readonly queue = new FairQueue<WaitingRequest>({
    maxItems: MAX_WAITING,
    maxPerWorkspace: MAX_WAITING_PER_WORKSPACE,
  });
  private chains: ServerChain[] = [];
  private chainsRevision = -1;
  private chainsModel: ModelSpec | undefined;

  constructor(private readonly options: ModelAdmissionOptions) {}

  /** Waiting requests, indexed by rank. */
  waiting(): number[] {
    return RANKS.map(rank => (this.queue.isWaiting(rank) ? 1 : 0));
  }

  get size(): number {
    return this.queue.size;
  }

  enqueue(request: WaitingRequest): void {
    const {refused} = this.queue.enqueue(request);
    for (const {item, reason} of refused) item.refuse(reason);
    this.pump();
  }

  /** The servers had no room after all; the request has not run. */
  enqueueAgain(request: WaitingRequest): void {
    this.queue.settle(request, 0);
    this.enqueue(request);
  }

  /** The caller has left. */
  remove(request: RequestId): void {
    this.queue.remove(request);
  }

  /** The request has ended after using so many tokens. */
  settle(request: WaitingRequest, usedTokens: number): void {
    this.queue.settle(request, usedTokens);
  }

  /** Admits what has room and refuses what can no longer be in time. */
  pump(): void {
    const {loads, availabilityZone, nowMs} = this.options;
    const now = nowMs();
    for (const item of this.queue.expire(now)) {
      item.refuse(
        this.currentChains().length ? 'deadline_unreachable' : 'no_chain',
      );
    }
    const chains = this.currentChains();
    if (chains.length === 0) return;
    for (;;) {
      const item = this.queue.next(now, ({costTokens}) =>
        chains.some(chain => loads.hasRoom(chain, costTokens, now)),
      );
      if (!item) return;
      const chain = chooseAdmission(
        chains,
        loads,
        item.costTokens,
        availabilityZone,
        now,
      );
      if (!chain) return;
      loads.take(chain.path[0].server.address, item.costTokens);
      item.admit(chain);
    }
  }

  /** Another chain for a request that has lost its own. */
  chainElsewhere(
    tokens: number,
    isAllowed: (first: ServerAddress) => boolean,
  ): ServerChain | undefined {
    const {loads, availabilityZone, nowMs} = this.options;
    const now = nowMs();
    const chains = this.currentChains().filter(({path}) =>
      isAllowed(path[0].server.address),
    );
    const chosen = chooseAdmission(
      chains,
      loads,
      tokens,
      availabilityZone,
      now,
    );
    if (chosen) loads.take(chosen.path[0].server.address, tokens);
    return chosen;
  }

  /** Whether another chain has room for a request of so many tokens. */
  hasRoomElsewhere(tokens: number, first: ServerAddress): boolean {
    const {loads, nowMs} = this.options;
    const now = nowMs();
    return this.currentChains().some(
      chain =>
        chain.path[0].server.address !== first &&
        loads.hasRoom(chain, tokens, now),
    );
  }

  /** Chains of servers that may get work, cached until the fleet changes. */
  currentChains(): ServerChain[] {
    const {fleet, service, model} = this.options;
    const spec = model();
    const isSame =
      fleet.revision === this.chainsRevision && spec === this.chainsModel;
    if (isSame) return this.chains;
    this.chainsRevision = fleet.revision;
    this.chainsModel = spec;
    const before = describeChains(this.chains);
    this.chains = spec ? findChains(spec, fleet.usable(service)) : [];
    const isOther = describeChains(this.chains) !== before;
    if (isOther) this.options.onChains(this.chains);
    return this.chains;
  }
}

function describeChains(chains: readonly ServerChain[]): string {
  return chains.map(({path}) => describePath(path)).join(';');
}
