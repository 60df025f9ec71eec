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
import {BusyRate} from './busy_rate.js';
import {chooseAdmission} from './choose_admission.js';
import {ReturnSchedule} from './return_schedule.js';

export interface WaitingRequest extends QueuedItem {
  /** Called once with the chain on which the request has room. */
  readonly admit: (chain: ServerChain) => void;
  /**
   * Called once if the request will not be served; it has not run. The caller
   * should come back after `retryAfterMs`.
   */
  readonly refuse: (reason: RefusalReason, retryAfterMs: number) => void;
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

/** A usual request: prompt and half of the answer on the users' sheets. */
const USUAL_TOKENS = 860;

/** Bounds the memory of waiting requests. */
const MAX_WAITING = 400;

/**
 * A request is refused at once if it would wait this much longer than it may:
 * callers that are told late have lost the time to go on otherwise. Below, the
 * estimate is too rough to give up a request that may still be in time.
 */
const HOPELESS_FACTOR = 1.5;

/** Bounds what one workspace may hold of the queue. */
const MAX_WAITING_PER_WORKSPACE = 200;

export class ModelAdmission {
  private readonly queue = new FairQueue<WaitingRequest>({
    maxItems: MAX_WAITING,
    maxPerWorkspace: MAX_WAITING_PER_WORKSPACE,
  });
  private readonly rate = new BusyRate();
  private readonly returns = new ReturnSchedule();
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
    if (this.isHopeless(request)) {
      return this.refuse(request, this.refusalReason());
    }
    const {refused} = this.queue.enqueue(request);
    for (const {item, reason} of refused) this.refuse(item, reason);
    this.pump();
  }

  /** Whether requests wait so long that this one cannot be in time. */
  private isHopeless(request: WaitingRequest): boolean {
    const nowMs = this.options.nowMs();
    const rate = this.rate.rate(nowMs);
    if (!rate || this.hasRoom(request.costTokens)) return false;
    const tokens = this.queue.costAhead(request) + request.costTokens;
    const waitMs = tokens / rate.tokensPerMs;
    const mayWaitMs = request.firstTokenDeadlineAtMs - nowMs;
    return waitMs > mayWaitMs * HOPELESS_FACTOR;
  }

  private hasRoom(tokens: number): boolean {
    const {loads, nowMs} = this.options;
    const now = nowMs();
    return this.currentChains().some(chain =>
      loads.hasRoom(chain, tokens, now),
    );
  }

  private refusalReason(): RefusalReason {
    return this.currentChains().length > 0
      ? 'deadline_unreachable'
      : 'no_chain';
  }

  private refuse(item: WaitingRequest, reason: RefusalReason): void {
    const nowMs = this.options.nowMs();
    const requestsPerMs = this.rate.rate(nowMs)?.requestsPerMs ?? 0;
    const leftMs = item.deadlineAtMs - nowMs;
    item.refuse(reason, this.returns.next(nowMs, leftMs, requestsPerMs));
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
    const now = this.options.nowMs();
    for (const item of this.queue.expire(now)) {
      this.refuse(item, this.refusalReason());
    }
    this.admitWaiting(now);
    if (this.queue.size > 0) this.rate.noteBusy(now);
    else if (this.hasRoom(USUAL_TOKENS)) this.rate.noteRoom();
  }

  private admitWaiting(now: number): void {
    const {loads, availabilityZone} = this.options;
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
      this.rate.noteAdmitted(item.costTokens, now);
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
