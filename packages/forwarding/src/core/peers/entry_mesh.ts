/**
 * Connects the entries with each other: carries their reports, the routing
 * table, what relays read from the store, and the layout lease of an entry that
 * stops. Entries fetch the table from each other so that one that the store
 * refuses stays up to date.
 */
import {deflateSync, inflateSync} from 'node:zlib';
import {
  PeerNode,
  type ConfigVersion,
  type InstanceId,
  type Lease,
  type Message,
  type PeerAddress,
  type PeerLink,
  type PeerTraffic,
  type PlanVersion,
  type StoreReadRequest,
  type StoreReadResult,
} from '@azurecrank/core';
import {LocalState, type LocalStateOptions} from './local_state.js';
import {planRelays, type RegisteredEntry} from './relay_plan.js';
import {ReportExchange, ReportTransport} from './report_exchange.js';
import {EXCHANGE_TICK_MS} from './report_timing.js';

export interface EntryMeshOptions extends LocalStateOptions {
  readonly node: string;
  readonly instance: InstanceId;
  readonly availabilityZone: string;
  /** The routing table as it is stored, with its version. */
  readonly storedTable: () => {readonly version: number; readonly text: string};
  readonly updateTable: (text: string) => void;
  readonly isStopping: () => boolean;
  readonly onLayoutHandover: (lease: Lease) => void;
  /** Called when an entry has connected, which may know nothing yet. */
  readonly onPeerJoined?: () => void;
  /** Answers a peer that asks what this entry has read from the store. */
  readonly readStoreFor?: (
    request: StoreReadRequest,
  ) => Promise<StoreReadResult>;
}

/** A peer counts as alive for this time after its last message. */
const PEER_ALIVE_MS = 1000;

/** Time after which a table is fetched again, from any peer that has it. */
const FETCH_TIMEOUT_MS = 500;

/** Maximum size of a routing table, which is that of a value in the store. */
const MAX_TABLE_BYTES = 4 * 1024 * 1024;

/** Interval at which waiting questions to relays are checked. */
const ASK_CHECK_INTERVAL_MS = 100;

/**
 * Time that a relay may take for an answer, beyond the wait that was asked for.
 * Its connection may have fallen silent.
 */
const ANSWER_MARGIN_MS = 1000;

interface PendingQuestion {
  readonly relay: PeerAddress;
  /** Time after which no answer is awaited any more. */
  readonly dueAtMs: number;
  readonly resolve: (result: StoreReadResult | undefined) => void;
}

interface HeardPeer {
  readonly atMs: number;
  readonly isStopping: boolean;
}

export class EntryMesh implements Disposable {
  private readonly peers: PeerNode;
  private readonly timers: NodeJS.Timeout[];
  private readonly exchange: ReportExchange;
  private entries: readonly RegisteredEntry[] = [];
  /** Peers that were logged as down and have not been heard of since. */
  private readonly unreachable = new Set<PeerAddress>();
  private readonly heardPeers = new Map<PeerLink, HeardPeer>();
  /** Connections on which entries have reported here. */
  private readonly memberLinks = new Map<string, PeerLink>();
  private readonly questions = new Map<number, PendingQuestion>();
  private hasHeardReports = false;
  private lastQuestion = 0;
  private lastFetch = {version: 0, atMs: -Infinity};
  private deflatedTable = {version: 0, data: new Uint8Array()};
  private urgentTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EntryMeshOptions) {
    const {node, instance, availabilityZone} = options;
    this.peers = new PeerNode(
      {node, instance, role: 'entry', availabilityZone},
      {
        versions: () => this.versions(),
        onMessage: (message, link) => this.handleMessage(message, link),
        onPeerDown: (address, cause) => this.handlePeerDown(address, cause),
        onConnectionLost: address => this.endQuestionsTo(address),
      },
    );
    const localState = new LocalState(options);
    this.exchange = new ReportExchange({
      node,
      instance,
      transport: new MeshTransport(this.peers, this.memberLinks),
      ownState: () => localState.collect(),
      applyState: (state, scope) => localState.apply(state, scope),
      configVersion: () => this.versions().configVersion,
      isStopping: options.isStopping,
    });
    this.timers = [
      setInterval(() => this.tick(), EXCHANGE_TICK_MS),
      setInterval(() => this.checkQuestions(), ASK_CHECK_INTERVAL_MS),
    ];
    for (const timer of this.timers) timer.unref();
  }

  /** Bytes exchanged with other entries since the start. */
  get traffic(): PeerTraffic {
    return this.peers.traffic;
  }

  /** Whether another entry is known, but none has reported yet. */
  get awaitsFirstReport(): boolean {
    const own = this.peers.address;
    const hasPeers = this.entries.some(({address}) => address !== own);
    return hasPeers && !this.hasHeardReports;
  }

  /** Whether reports go over relays, or each entry reports to all others. */
  get usesRelays(): boolean {
    return this.exchange.usesRelays;
  }

  /** Whether this entry passes on what others report and read. */
  get isRelay(): boolean {
    return this.exchange.isRelay;
  }

  /** `IP:PORT` on which this entry listens. */
  get boundAddress(): PeerAddress {
    return this.peers.boundAddress;
  }

  /** Returns the address at which others connect, by default the bound one. */
  async listen(
    host: string,
    port: number,
    advertised?: string,
  ): Promise<PeerAddress> {
    const address = await this.peers.listen(host, port, advertised);
    this.applyPlan();
    return address;
  }

  /** Sets the addresses of all known entries; its own address is ignored. */
  setPeers(addresses: Iterable<PeerAddress>): void {
    this.setEntries(
      [...addresses].map(address => ({address, availabilityZone: ''})),
    );
  }

  /** Sets all known entries, which may include this one. */
  setEntries(entries: Iterable<RegisteredEntry>): void {
    this.entries = [...entries];
    const known = new Set(this.entries.map(({address}) => address));
    for (const address of this.unreachable) {
      if (!known.has(address)) this.unreachable.delete(address);
    }
    this.applyPlan();
  }

  /** Sends this entry's state to the others at once. */
  broadcastShares(): void {
    this.exchange.reportNow(this.options.nowMs());
    this.flushUrgentWhenDue();
  }

  /** Relays that may be asked for what they read from the store. */
  storeRelays(): PeerAddress[] {
    return this.exchange.storeRelays(this.options.nowMs());
  }

  /**
   * Asks a relay for what it has read from the store.
   * @returns undefined if the relay does not answer in time, if its connection
   *     is lost, or if the signal aborts
   */
  async askStore(
    relay: PeerAddress,
    request: Omit<StoreReadRequest, 'type' | 'id'>,
    signal?: AbortSignal,
  ): Promise<StoreReadResult | undefined> {
    if (signal?.aborted) return undefined;
    const id = ++this.lastQuestion;
    const isSent = this.peers.send(relay, {type: 'store_read', id, ...request});
    if (!isSent) return undefined;
    let abort = () => {};
    try {
      return await new Promise(resolve => {
        abort = () => resolve(undefined);
        signal?.addEventListener('abort', abort);
        const dueAtMs =
          this.options.nowMs() + request.waitMs + ANSWER_MARGIN_MS;
        this.questions.set(id, {relay, dueAtMs, resolve});
      });
    } finally {
      signal?.removeEventListener('abort', abort);
      this.questions.delete(id);
    }
  }

  /**
   * Hands the layout lease over to a live peer that is not stopping.
   * @returns the name of the peer, or undefined if there is none
   */
  handOverLease({lease, fence, ttlMs}: Lease): string | undefined {
    const now = this.options.nowMs();
    for (const link of this.peers.links()) {
      const heard = this.heardPeers.get(link);
      const isEligible =
        heard && !heard.isStopping && now - heard.atMs < PEER_ALIVE_MS;
      if (!isEligible || !link.connection) continue;
      if (link.send({type: 'layout_handover', lease, fence, ttlMs})) {
        return link.name;
      }
    }
    return undefined;
  }

  [Symbol.dispose](): void {
    for (const timer of this.timers) clearInterval(timer);
    clearTimeout(this.urgentTimer);
    for (const {resolve} of this.questions.values()) resolve(undefined);
    this.peers[Symbol.dispose]();
  }

  private applyPlan(): void {
    const {address} = this.peers;
    const {availabilityZone} = this.options;
    const plan = planRelays({address, availabilityZone}, this.entries);
    this.exchange.setPlan(plan, address);
  }

  private tick(): void {
    this.exchange.tick(this.options.nowMs());
    for (const link of this.heardPeers.keys()) {
      if (!link.connection) this.heardPeers.delete(link);
    }
    for (const [node, link] of this.memberLinks) {
      if (!link.connection) this.memberLinks.delete(node);
    }
  }

  private handlePeerDown(address: PeerAddress, cause: string): void {
    this.exchange.recordDown(address);
    this.endQuestionsTo(address);
    if (this.unreachable.has(address)) return;
    this.unreachable.add(address);
    this.options.logger.info('peer cannot be reached', {peer: address, cause});
  }

  private endQuestionsTo(address: PeerAddress): void {
    for (const {relay, resolve} of this.questions.values()) {
      if (relay === address) resolve(undefined);
    }
  }

  /** Gives up questions to relays that are silent or too late. */
  private checkQuestions(): void {
    if (this.questions.size === 0) return;
    const now = this.options.nowMs();
    const relays = this.storeRelays();
    for (const {relay, dueAtMs, resolve} of this.questions.values()) {
      if (dueAtMs <= now || !relays.includes(relay)) resolve(undefined);
    }
  }

  private versions() {
    return {
      configVersion: this.options.storedTable().version as ConfigVersion,
      planVersion: 0 as PlanVersion,
    };
  }

  private handleMessage(message: Message, link: PeerLink): void {
    this.unreachable.delete(link.address);
    const now = this.options.nowMs();
    const {exchange} = this;
    switch (message.type) {
      case 'ping':
        link.send({type: 'pong', seq: message.seq, ...this.versions()});
        return this.fetchIfNewer(message.configVersion, link);
      case 'hello':
        this.options.onPeerJoined?.();
        return this.fetchIfNewer(message.configVersion, link);
      case 'pong':
        return this.fetchIfNewer(message.configVersion, link);
      case 'shares':
        exchange.handleDirect(link.name, message, now);
        return this.handleReportFrom(link, message);
      case 'relay_report':
        this.memberLinks.set(message.node, link);
        exchange.handleReport(message, now);
        return this.handleReportFrom(link, message);
      case 'relayed_reports':
        exchange.handleRelayed(message, now);
        return this.handleReportFrom(link, message);
      case 'fleet_report':
        exchange.handleFleetReport(message, now);
        return this.handleReportFrom(link, message);
      case 'store_read':
        return void this.answerStoreRead(message, link);
      case 'store_read_result':
        return this.questions.get(message.id)?.resolve(message);
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

  private handleReportFrom(
    link: PeerLink,
    message: {
      readonly configVersion: ConfigVersion;
      readonly isStopping: boolean;
    },
  ): void {
    const now = this.options.nowMs();
    const {isStopping} = message;
    this.hasHeardReports = true;
    this.heardPeers.set(link, {atMs: now, isStopping});
    this.fetchIfNewer(message.configVersion, link);
    this.exchange.applyArrived(now);
    this.flushUrgentWhenDue();
  }

  private flushUrgentWhenDue(): void {
    const {urgentDueAtMs} = this.exchange;
    if (this.urgentTimer || urgentDueAtMs === undefined) return;
    this.urgentTimer = setTimeout(() => {
      this.urgentTimer = undefined;
      this.exchange.flushUrgent(this.options.nowMs());
    }, urgentDueAtMs - this.options.nowMs());
    this.urgentTimer.unref();
  }

  private async answerStoreRead(
    request: StoreReadRequest,
    link: PeerLink,
  ): Promise<void> {
    const {readStoreFor} = this.options;
    if (readStoreFor) link.send(await readStoreFor(request));
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
    if (this.deflatedTable.version !== version)
      this.deflatedTable = {version, data: deflateSync(text)};
    const {data} = this.deflatedTable;
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

class MeshTransport extends ReportTransport {
  constructor(
    private readonly peers: PeerNode,
    private readonly memberLinks: ReadonlyMap<string, PeerLink>,
  ) {
    super();
  }

  override send(address: PeerAddress, message: Message): void {
    this.peers.send(address, message);
  }

  override reply(node: string, message: Message): void {
    this.memberLinks.get(node)?.send(message);
  }
}
