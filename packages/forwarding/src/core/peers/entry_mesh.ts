/**
 * What entries tell each other: shares of the chains, servers that leave or do
 * not answer, and the routing table, which they also get from each other while
 * the store turns some of them away.
 */
import {deflateSync, inflateSync} from 'node:zlib';
import {
  PeerNode,
  type ConfigVersion,
  type EntryShares,
  type InstanceId,
  type Lease,
  type Logger,
  type Message,
  type PeerAddress,
  type PeerLink,
  type PlanVersion,
  type ServerId,
} from '@azurecrank/core';
import type {ChainLoads} from '../admission/chain_loads.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView, HeldLayers} from '../fleet/fleet_view.js';

export interface EntryMeshOptions {
  readonly node: string;
  readonly instance: InstanceId;
  readonly availabilityZone: string;
  readonly loads: ChainLoads;
  readonly fleet: FleetView;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly waiting: () => readonly number[];
  /** The routing table as it is stored, with its version. */
  readonly heldTable: () => {readonly version: number; readonly text: string};
  readonly offerTable: (text: string) => void;
  /** Whether a stream through the server had an event since then. */
  readonly hasProgress: (address: ServerAddress, sinceMs: number) => boolean;
  /** A peer has found a server unusable that was usable here. */
  readonly onServerLost: () => void;
  readonly isStopping: () => boolean;
  readonly onLayoutHandover: (lease: Lease) => void;
  readonly layoutFence: () => number;
  readonly onLayoutFence: (fence: number) => void;
}

/** Period of shares; short against the time that requests hold memory. */
const SHARES_PERIOD_MS = 200;

/** A peer that told its shares within this time is there. */
const PEER_FRESH_MS = 600;

/**
 * A suspicion of a peer does not count while streams through the server have
 * events. Together they have one every few milliseconds.
 */
const PROGRESS_MS = 120;

/** A table is asked for again after this time, from whoever has it. */
const FETCH_TIMEOUT_MS = 500;

/** Routing tables are at most as large as a value of the store. */
const MAX_TABLE_BYTES = 4 * 1024 * 1024;

export class EntryMesh implements Disposable {
  private readonly peers: PeerNode;
  private readonly timer: NodeJS.Timeout;
  private readonly known = new Set<PeerAddress>();
  private readonly peersSeen = new Map<
    string,
    {readonly atMs: number; readonly isStopping: boolean}
  >();
  private fetch = {version: 0, atMs: -Infinity};

  constructor(private readonly options: EntryMeshOptions) {
    const {node, instance, availabilityZone, logger} = options;
    this.peers = new PeerNode(
      {node, instance, role: 'entry', availabilityZone},
      {
        versions: () => this.versions(),
        onMessage: (message, link) => this.receive(message, link),
        onPeerDown: (address, cause) =>
          logger.info('peer cannot be reached', {peer: address, cause}),
      },
    );
    this.timer = setInterval(() => this.share(), SHARES_PERIOD_MS);
    this.timer.unref();
  }

  async listen(host: string, port: number): Promise<PeerAddress> {
    return this.peers.listen(host, port);
  }

  /** Takes the addresses of all entries that are known to run. */
  setPeers(addresses: Iterable<PeerAddress>): void {
    this.known.clear();
    for (const address of addresses) {
      if (address !== this.peers.address) this.known.add(address);
    }
  }

  /** Tells the other entries at once. */
  share(): void {
    const message = this.shares();
    for (const address of this.known) this.peers.link(address).send(message);
  }

  /** Passes the lease for layouts to a peer that goes on. */
  handOver({lease, fence, ttlMs}: Lease): string | undefined {
    const now = this.options.nowMs();
    for (const link of this.peers.links()) {
      const seen = this.peersSeen.get(link.name);
      const isFit = seen && !seen.isStopping && now - seen.atMs < PEER_FRESH_MS;
      if (!isFit || !link.connection) continue;
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
      configVersion: this.options.heldTable().version as ConfigVersion,
      planVersion: 0 as PlanVersion,
    };
  }

  private shares(): EntryShares {
    const {loads, fleet, nowMs, waiting} = this.options;
    return {
      type: 'shares',
      configVersion: this.versions().configVersion,
      usedTokens: loads.ownUsedTokens(),
      waiting: waiting(),
      leaving: fleet.leavingServers(),
      suspected: fleet.ownSuspicions(),
      refusing: fleet.ownRefusing(),
      held: fleet.recentObservations(nowMs()).map(toHeldTuple),
      slow: fleet.ownSlow(),
      isStopping: this.options.isStopping(),
      layoutFence: this.options.layoutFence(),
    };
  }

  private receive(message: Message, link: PeerLink): void {
    switch (message.type) {
      case 'ping':
        link.send({type: 'pong', seq: message.seq, ...this.versions()});
        return this.compare(message.configVersion, link);
      case 'hello':
      case 'pong':
        return this.compare(message.configVersion, link);
      case 'shares':
        this.takeShares(message, link);
        return this.compare(message.configVersion, link);
      case 'layout_handover':
        return this.options.onLayoutHandover(message);
      case 'fetch':
        return this.answer(link);
      case 'document':
        return this.takeTable(message.data);
      default:
        return;
    }
  }

  private takeShares(message: EntryShares, link: PeerLink): void {
    const {loads, fleet, nowMs, onServerLost, logger, hasProgress} =
      this.options;
    const now = nowMs();
    loads.setPeerUsage(link.name, message.usedTokens, now);
    this.peersSeen.set(link.name, {atMs: now, isStopping: message.isStopping});
    for (const [server, bornAtMs] of message.leaving) {
      fleet.noteLeaving(server as ServerId, bornAtMs);
    }
    for (const tuple of message.held) {
      // Not passed on again, since only own observations are told.
      fleet.observeAsTold(fromHeldTuple(tuple), now);
    }
    for (const address of message.refusing) {
      if (!fleet.noteRefusingAsTold(address, now)) continue;
      logger.info('server refuses requests', {
        peer: address,
        source: link.name,
      });
      onServerLost();
    }
    for (const [address, pace] of message.slow) {
      fleet.notePaceAsTold(address, pace, now);
    }
    this.options.onLayoutFence(message.layoutFence);
    for (const address of message.suspected) {
      // The link of the peer may be at fault.
      if (hasProgress(address, now - PROGRESS_MS)) continue;
      if (!fleet.suspectAsTold(address, now)) continue;
      logger.info('server suspected', {peer: address, source: link.name});
      onServerLost();
    }
  }

  private compare(version: number, link: PeerLink): void {
    const {heldTable, nowMs} = this.options;
    if (version <= heldTable().version) return;
    const now = nowMs();
    const isAsked = now - this.fetch.atMs < FETCH_TIMEOUT_MS;
    if (isAsked && this.fetch.version >= version) return;
    if (!link.send({type: 'fetch', what: 'config'})) return;
    this.fetch = {version, atMs: now};
  }

  private answer(link: PeerLink): void {
    const {version, text} = this.options.heldTable();
    if (version === 0) return;
    const data = deflateSync(text);
    link.send({type: 'document', what: 'config', version, data});
  }

  private takeTable(data: Uint8Array): void {
    const {logger, offerTable} = this.options;
    try {
      const limit = {maxOutputLength: MAX_TABLE_BYTES};
      offerTable(inflateSync(data, limit).toString('utf8'));
    } catch (error) {
      logger.warn('routing table of a peer is unreadable', {
        cause: String(error),
      });
    }
  }
}

function toHeldTuple({
  server,
  bornAtMs,
  orderSequence,
  layers,
  reloadingCells = -1,
}: HeldLayers): EntryShares['held'][number] {
  const {firstLayer, endLayer} = layers ?? {firstLayer: 0, endLayer: 0};
  return [
    server,
    bornAtMs,
    orderSequence,
    firstLayer,
    endLayer,
    reloadingCells,
  ];
}

function fromHeldTuple(tuple: EntryShares['held'][number]): HeldLayers {
  const [server, bornAtMs, orderSequence, firstLayer, endLayer, cells] = tuple;
  const layers = firstLayer < endLayer ? {firstLayer, endLayer} : undefined;
  return {
    server: server as ServerId,
    bornAtMs,
    orderSequence,
    layers,
    reloadingCells: cells < 0 ? undefined : cells,
  };
}
