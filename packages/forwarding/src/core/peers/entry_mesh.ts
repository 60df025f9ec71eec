/**
 * Exchanges state between entries: used tokens of the chains, draining and
 * suspected servers, and the routing table. Entries fetch the table from each
 * other so that one that the store refuses stays up to date.
 */
import {deflateSync, inflateSync} from 'node:zlib';
import {
  PeerNode,
  type ConfigVersion,
  type EntryReport,
  type InstanceId,
  type Lease,
  type Logger,
  type Message,
  type PeerAddress,
  type PeerLink,
  type PlanVersion,
  type ServerId,
  type ServiceId,
} from '@azurecrank/core';
import type {ChainLoads} from '../admission/chain_loads.js';
import type {PeerQueues, ServiceQueues} from '../admission/peer_queues.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView, HeldLayers} from '../fleet/fleet_view.js';
import type {
  ServerLimitReport,
  SharedServerLimits,
} from '../limits/shared_server_limits.js';
import type {CrashId, PromptPartKey} from '../quarantine/crash_evidence.js';
import type {
  PromptQuarantine,
  QuarantineReport,
  SuspectReport,
} from '../quarantine/prompt_quarantine.js';
import type {
  RetryCounts,
  SharedRetryBudget,
} from '../retry/shared_retry_budget.js';

export interface EntryMeshOptions {
  readonly node: string;
  readonly instance: InstanceId;
  readonly availabilityZone: string;
  readonly loads: ChainLoads;
  readonly retryBudget: SharedRetryBudget;
  readonly quarantine: PromptQuarantine;
  readonly limits: SharedServerLimits;
  readonly fleet: FleetView;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly peerQueues: PeerQueues;
  /** Requests that wait at this entry. */
  readonly queues: () => readonly ServiceQueues[];
  /** The routing table as it is stored, with its version. */
  readonly storedTable: () => {readonly version: number; readonly text: string};
  readonly updateTable: (text: string) => void;
  /** Whether a stream through the server had an event since the given time. */
  readonly hasEventSince: (address: ServerAddress, sinceMs: number) => boolean;
  /** Called when a peer reports a server as unusable that was usable here. */
  readonly onServerLost: () => void;
  readonly isStopping: () => boolean;
  readonly onLayoutHandover: (lease: Lease) => void;
  readonly layoutFence: () => number;
  readonly onLayoutFence: (fence: number) => void;
}

/** Broadcast interval; short compared to how long requests hold tokens. */
const SHARES_INTERVAL_MS = 200;

/** A peer counts as alive for this time after its last shares message. */
const PEER_ALIVE_MS = 600;

/**
 * A suspicion reported by a peer is ignored if a stream through the server had
 * an event within this time. The streams of a live server together have one
 * every few milliseconds.
 */
const RECENT_EVENT_MS = 120;

/** Time after which a table is fetched again, from any peer that has it. */
const FETCH_TIMEOUT_MS = 500;

/** Maximum size of a routing table, which is that of a value in the store. */
const MAX_TABLE_BYTES = 4 * 1024 * 1024;

export class EntryMesh implements Disposable {
  private readonly peers: PeerNode;
  private readonly timer: NodeJS.Timeout;
  private readonly knownPeers = new Set<PeerAddress>();
  /** Peers that were logged as down and have not been heard of since. */
  private readonly unreachable = new Set<PeerAddress>();
  private readonly lastSharesByPeer = new Map<
    string,
    {readonly atMs: number; readonly isStopping: boolean}
  >();
  private lastFetch = {version: 0, atMs: -Infinity};

  constructor(private readonly options: EntryMeshOptions) {
    const {node, instance, availabilityZone, logger} = options;
    this.peers = new PeerNode(
      {node, instance, role: 'entry', availabilityZone},
      {
        versions: () => this.versions(),
        onMessage: (message, link) => this.handleMessage(message, link),
        onPeerDown: (address, cause) => {
          if (this.unreachable.has(address)) return;
          this.unreachable.add(address);
          logger.info('peer cannot be reached', {peer: address, cause});
        },
      },
    );
    this.timer = setInterval(() => this.broadcastShares(), SHARES_INTERVAL_MS);
    this.timer.unref();
  }

  async listen(host: string, port: number): Promise<PeerAddress> {
    return this.peers.listen(host, port);
  }

  /** Sets the addresses of all known entries; its own address is ignored. */
  setPeers(addresses: Iterable<PeerAddress>): void {
    this.knownPeers.clear();
    for (const address of addresses) {
      if (address !== this.peers.address) this.knownPeers.add(address);
    }
    for (const address of this.unreachable) {
      if (!this.knownPeers.has(address)) this.unreachable.delete(address);
    }
  }

  /** Sends this entry's state to all known entries. */
  broadcastShares(): void {
    const message = this.createShares();
    for (const address of this.knownPeers)
      this.peers.link(address).send(message);
  }

  /**
   * Hands the layout lease over to a live peer that is not stopping.
   * @returns the name of the peer, or undefined if there is none
   */
  handOverLease({lease, fence, ttlMs}: Lease): string | undefined {
    const now = this.options.nowMs();
    for (const link of this.peers.links()) {
      const lastShares = this.lastSharesByPeer.get(link.name);
      const isEligible =
        lastShares &&
        !lastShares.isStopping &&
        now - lastShares.atMs < PEER_ALIVE_MS;
      if (!isEligible || !link.connection) continue;
      if (link.send({type: 'layout_handover', lease, fence, ttlMs})) {
        return link.name;
      }
    }
    return undefined;
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.peers[Symbol.dispose]();
  }

  private versions() {
    return {
      configVersion: this.options.storedTable().version as ConfigVersion,
      planVersion: 0 as PlanVersion,
    };
  }

  private createShares(): EntryReport {
    const {loads, retryBudget, fleet, nowMs} = this.options;
    const queues = this.options.queues();
    return {
      type: 'shares',
      configVersion: this.versions().configVersion,
      usedTokens: loads.ownUsedTokens(),
      queues: queues.map(toQueuesTuple),
      leaving: fleet.leavingServers(),
      suspected: fleet.ownSuspicions(),
      refusing: fleet.ownRefusing(),
      held: fleet.recentObservations(nowMs()).map(toHeldTuple),
      slow: fleet.ownSlowServers(),
      retries: retryBudget
        .report(nowMs())
        .map(c => [c.service, c.requests, c.retries]),
      ...this.createRareReports(queues),
      isStopping: this.options.isStopping(),
      layoutFence: this.options.layoutFence(),
    };
  }

  /** Parts of the report that mostly have no content; these are left out. */
  private createRareReports(
    queues: readonly ServiceQueues[],
  ): Partial<EntryReport> {
    const {quarantine, limits, nowMs} = this.options;
    const now = nowMs();
    const {suspects, answered} = quarantine.report(now);
    const suspectParts = suspects.map(toSuspectTuple);
    const limitTuples = limits.report(now).map(toLimitTuple);
    const interrupted = queues.flatMap(toInterruptedTuples);
    return {
      ...(interrupted.length > 0 && {interrupted}),
      ...(suspectParts.length > 0 && {suspectParts}),
      ...(answered.length > 0 && {answeredParts: answered}),
      ...(limitTuples.length > 0 && {limits: limitTuples}),
    };
  }

  private handleMessage(message: Message, link: PeerLink): void {
    this.unreachable.delete(link.address);
    switch (message.type) {
      case 'ping':
        link.send({type: 'pong', seq: message.seq, ...this.versions()});
        return this.fetchIfNewer(message.configVersion, link);
      case 'hello':
      case 'pong':
        return this.fetchIfNewer(message.configVersion, link);
      case 'shares':
        this.applyShares(message, link);
        return this.fetchIfNewer(message.configVersion, link);
      case 'layout_handover':
        return this.options.onLayoutHandover(message);
      case 'fetch':
        return this.sendTable(link);
      case 'document':
        return this.receiveTable(message.data);
      default:
        return;
    }
  }

  private applyShares(message: EntryReport, link: PeerLink): void {
    const {
      loads,
      peerQueues,
      retryBudget,
      fleet,
      nowMs,
      onServerLost,
      logger,
      hasEventSince,
    } = this.options;
    const now = nowMs();
    loads.setPeerUsage(link.name, message.usedTokens, now);
    peerQueues.setQueues(link.name, toServiceQueues(message), now);
    retryBudget.setPeerCounts(
      link.name,
      (message.retries ?? []).map(toRetryCounts),
      now,
    );
    this.options.limits.setPeerReport(
      link.name,
      (message.limits ?? []).map(fromLimitTuple),
      now,
    );
    this.options.quarantine.applyPeerReport(toQuarantineReport(message), now);
    this.lastSharesByPeer.set(link.name, {
      atMs: now,
      isStopping: message.isStopping,
    });
    for (const [server, startedAtMs] of message.leaving) {
      if (!fleet.markLeaving(server as ServerId, startedAtMs)) continue;
      const peer = fleet.get(server as ServerId)?.address;
      logger.info('server leaves', {peer, server, source: link.name});
      onServerLost();
    }
    for (const tuple of message.held) {
      // Not forwarded to other peers: only own observations are broadcast.
      fleet.observeFromPeer(fromHeldTuple(tuple), now);
    }
    for (const address of message.refusing) {
      if (!fleet.markRefusingFromPeer(address, now)) continue;
      logger.info('server refuses requests', {
        peer: address,
        source: link.name,
      });
      onServerLost();
    }
    for (const [address, slowdownFactor] of message.slow) {
      fleet.recordSlowdownFromPeer(address, slowdownFactor, now);
    }
    this.options.onLayoutFence(message.layoutFence);
    for (const address of message.suspected) {
      // The network link between the peer and the server may be at fault.
      if (hasEventSince(address, now - RECENT_EVENT_MS)) continue;
      if (!fleet.suspectFromPeer(address, now)) continue;
      logger.info('server suspected', {peer: address, source: link.name});
      onServerLost();
    }
  }

  /** Requests the routing table of a peer if its version is newer. */
  private fetchIfNewer(version: number, link: PeerLink): void {
    const {storedTable, nowMs} = this.options;
    if (version <= storedTable().version) return;
    const now = nowMs();
    const isFetching = now - this.lastFetch.atMs < FETCH_TIMEOUT_MS;
    if (isFetching && this.lastFetch.version >= version) return;
    if (!link.send({type: 'fetch', what: 'config'})) return;
    this.lastFetch = {version, atMs: now};
  }

  private sendTable(link: PeerLink): void {
    const {version, text} = this.options.storedTable();
    if (version === 0) return;
    const data = deflateSync(text);
    link.send({type: 'document', what: 'config', version, data});
  }

  private receiveTable(data: Uint8Array): void {
    const {logger, updateTable} = this.options;
    try {
      const limit = {maxOutputLength: MAX_TABLE_BYTES};
      updateTable(inflateSync(data, limit).toString('utf8'));
    } catch (error) {
      logger.warn('routing table of a peer is unreadable and was ignored', {
        cause: String(error),
      });
    }
  }
}

type QueuesTuple = NonNullable<EntryReport['queues']>[number];

function toQueuesTuple({service, ranks}: ServiceQueues): QueuesTuple {
  return [
    service,
    ranks.map(({tokens, oldestAgeMs}) => [tokens, Math.round(oldestAgeMs)]),
  ];
}

type InterruptedTuple = NonNullable<EntryReport['interrupted']>[number];

function toInterruptedTuples({
  service,
  interrupted,
}: ServiceQueues): InterruptedTuple[] {
  if (!interrupted || interrupted.tokens === 0) return [];
  const {tokens, oldestAgeMs} = interrupted;
  return [[service, tokens, Math.round(oldestAgeMs)]];
}

function toServiceQueues({
  queues = [],
  interrupted = [],
}: EntryReport): ServiceQueues[] {
  const interruptedByService = new Map(
    interrupted.map(([service, tokens, oldestAgeMs]) => [
      service,
      {tokens, oldestAgeMs},
    ]),
  );
  return queues.map(([service, ranks]) => ({
    service: service as ServiceId,
    interrupted: interruptedByService.get(service),
    ranks: ranks.map(([tokens, oldestAgeMs]) => ({tokens, oldestAgeMs})),
  }));
}

type SuspectTuple = NonNullable<EntryReport['suspectParts']>[number];

function toSuspectTuple({
  key,
  depth,
  crashes,
  trialLeftMs,
}: SuspectReport): SuspectTuple {
  return [key, depth, crashes, Math.round(trialLeftMs)];
}

type LimitTuple = NonNullable<EntryReport['limits']>[number];

function toLimitTuple({
  address,
  limitPerS = -1,
  ageMs = -1,
  sends,
}: ServerLimitReport): LimitTuple {
  return [address, limitPerS, ageMs, sends];
}

function fromLimitTuple(tuple: LimitTuple): ServerLimitReport {
  const [address, limitPerS, ageMs, sends] = tuple;
  return {
    address,
    limitPerS: limitPerS < 0 ? undefined : limitPerS,
    ageMs: ageMs < 0 ? undefined : ageMs,
    sends,
  };
}

function toQuarantineReport({
  suspectParts = [],
  answeredParts = [],
}: EntryReport): QuarantineReport {
  return {
    suspects: suspectParts.map(([key, depth, crashes, trialLeftMs]) => ({
      key: key as PromptPartKey,
      depth,
      crashes: crashes as ReadonlyArray<readonly [CrashId, number]>,
      trialLeftMs,
    })),
    answered: answeredParts as QuarantineReport['answered'],
  };
}

function toRetryCounts([service, requests, retries]: readonly [
  string,
  number,
  number,
]): RetryCounts {
  return {service: service as ServiceId, requests, retries};
}

function toHeldTuple({
  server,
  startedAtMs,
  orderSequence,
  layers,
  reloadingLayerTokens = -1,
}: HeldLayers): EntryReport['held'][number] {
  const {firstLayer, endLayer} = layers ?? {firstLayer: 0, endLayer: 0};
  return [
    server,
    startedAtMs,
    orderSequence,
    firstLayer,
    endLayer,
    reloadingLayerTokens,
  ];
}

function fromHeldTuple(tuple: EntryReport['held'][number]): HeldLayers {
  const [
    server,
    startedAtMs,
    orderSequence,
    firstLayer,
    endLayer,
    layerTokens,
  ] = tuple;
  const layers = firstLayer < endLayer ? {firstLayer, endLayer} : undefined;
  return {
    server: server as ServerId,
    startedAtMs,
    orderSequence,
    layers,
    reloadingLayerTokens: layerTokens < 0 ? undefined : layerTokens,
  };
}
