/**
 * A process of the peer benchmark: entries that exchange reports, either over
 * relays (`mesh`) or each with all others (`full`). It tells its parent the
 * addresses of its entries, gets those of all, and then answers each message
 * with the processor time and traffic so far.
 */
import {
  Logger,
  PeerNode,
  type ConfigVersion,
  type InstanceId,
  type PeerAddress,
  type PlanVersion,
} from '@azurecrank/core';
import {
  ChainLoads,
  EntryMesh,
  FleetView,
  PeerQueues,
  RequestQuarantine,
  SharedRetryBudget,
  SharedServerLimits,
  toReport,
  type RegisteredEntry,
} from '@azurecrank/forwarding';
import type {PeerRequest, PeerResponse, PeerUsage} from './peer_messages.js';
import {usualState} from './peer_report.js';

const REPORT_INTERVAL_MS = 200;
const HOST = '127.0.0.1';

/** One entry of this process. */
abstract class BenchEntry {
  abstract listen(): Promise<PeerAddress>;
  abstract setEntries(entries: readonly RegisteredEntry[]): void;
  abstract readonly isRelay: boolean;
  abstract readonly trafficBytes: number;
  /** Changes what the entry reports. */
  abstract change(round: number): void;
}

class MeshBenchEntry extends BenchEntry {
  private readonly loads = new ChainLoads();
  private readonly mesh: EntryMesh;

  constructor(node: string, availabilityZone: string) {
    super();
    const nowMs = () => performance.now();
    const limits = new SharedServerLimits({
      node,
      entryCount: () => 1,
      waitingPeers: () => 0,
      onChange: () => {},
    });
    this.mesh = new EntryMesh({
      node,
      instance: node as InstanceId,
      availabilityZone,
      loads: this.loads,
      retryBudget: new SharedRetryBudget(0, {
        ratio: 0.2,
        extraRetries: 100,
        windowMs: 10_000,
      }),
      quarantine: new RequestQuarantine(() => {}),
      limits,
      fleet: new FleetView(),
      logger: new Logger(node, 'silent'),
      nowMs,
      peerQueues: new PeerQueues(),
      queues: () => [],
      storedTable: () => ({version: 0, text: ''}),
      updateTable: () => {},
      hasEventSince: () => false,
      onServerLost: () => {},
      isStopping: () => false,
      onLayoutHandover: () => {},
      layoutFence: () => 0,
      onLayoutFence: () => {},
    });
  }

  override listen(): Promise<PeerAddress> {
    return this.mesh.listen(HOST, 0);
  }

  override setEntries(entries: readonly RegisteredEntry[]): void {
    this.mesh.setEntries(entries);
  }

  override get isRelay(): boolean {
    return this.mesh.isRelay;
  }

  override get trafficBytes(): number {
    const {receivedBytes, sentBytes} = this.mesh.traffic;
    return receivedBytes + sentBytes;
  }

  override change(round: number): void {
    const {usedTokens} = usualState(round);
    const own = this.loads.ownUsedTokens();
    for (const [first, tokens] of Object.entries(usedTokens)) {
      this.loads.release(first, own[first] ?? 0);
      if (tokens > 0) this.loads.reserve(first, tokens, performance.now());
    }
  }
}

/** Reports to all others in each interval, on a connection to each. */
class FullBenchEntry extends BenchEntry {
  readonly isRelay = false;
  private readonly peers: PeerNode;
  private others: readonly PeerAddress[] = [];
  private round = 0;

  constructor(node: string, availabilityZone: string) {
    super();
    const versions = {
      configVersion: 0 as ConfigVersion,
      planVersion: 0 as PlanVersion,
    };
    this.peers = new PeerNode(
      {node, instance: node as InstanceId, role: 'entry', availabilityZone},
      {
        versions: () => versions,
        onMessage: (message, link) => {
          if (message.type !== 'ping') return;
          link.send({type: 'pong', seq: message.seq, ...versions});
        },
      },
    );
    setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  override listen(): Promise<PeerAddress> {
    return this.peers.listen(HOST, 0);
  }

  override setEntries(entries: readonly RegisteredEntry[]): void {
    this.others = entries
      .map(({address}) => address)
      .filter(address => address !== this.peers.address);
  }

  override get trafficBytes(): number {
    const {receivedBytes, sentBytes} = this.peers.traffic;
    return receivedBytes + sentBytes;
  }

  override change(round: number): void {
    this.round = round;
  }

  private report(): void {
    const state = usualState(this.round);
    const report = toReport(state, 0 as ConfigVersion, false);
    for (const address of this.others) this.peers.send(address, report);
  }
}

function createEntry(
  {kind}: Extract<PeerRequest, {type: 'start'}>,
  node: string,
  availabilityZone: string,
): BenchEntry {
  const Entry = kind === 'mesh' ? MeshBenchEntry : FullBenchEntry;
  return new Entry(node, availabilityZone);
}

const entries: BenchEntry[] = [];
const respond = (response: PeerResponse) => process.send?.(response);

async function start(request: Extract<PeerRequest, {type: 'start'}>) {
  const registered: RegisteredEntry[] = [];
  for (const availabilityZone of request.zones) {
    const node = `${process.pid}-${entries.length}`;
    const entry = createEntry(request, node, availabilityZone);
    entries.push(entry);
    registered.push({address: await entry.listen(), availabilityZone});
  }
  respond({type: 'started', registered});
}

function usage(): PeerUsage {
  const {user, system} = process.cpuUsage();
  return {
    type: 'usage',
    cpuUs: user + system,
    trafficBytes: entries.reduce((sum, e) => sum + e.trafficBytes, 0),
    residentBytes: process.memoryUsage.rss(),
    relays: entries.filter(({isRelay}) => isRelay).length,
  };
}

process.on('message', (request: PeerRequest) => {
  switch (request.type) {
    case 'start':
      return void start(request);
    case 'entries':
      for (const entry of entries) entry.setEntries(request.entries);
      return respond({type: 'done'});
    case 'change': {
      let round = 0;
      setInterval(() => {
        round++;
        for (const entry of entries) entry.change(round);
      }, REPORT_INTERVAL_MS);
      return respond({type: 'done'});
    }
    default:
      return respond(usage());
  }
});
process.on('disconnect', () => process.exit(0));
