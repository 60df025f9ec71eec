import {once} from 'node:events';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {Logger, type InstanceId, type PeerAddress} from '@azurecrank/core';
import {
  ChainLoads,
  EntryMesh,
  FleetView,
  PeerQueues,
  RequestQuarantine,
  SharedRetryBudget,
  SharedServerLimits,
  type CrashId,
  type SuspectKey,
  type ServiceQueues,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {SERVICE, emptyFleet} from './fleet_fixture.js';

const CRASHING = 'assistant/crash' as SuspectKey;
const OTHER = 'assistant/other' as SuspectKey;
const ADDRESS = '10.0.0.1:80';

/** An entry that exchanges reports over connections on this machine. */
class MeshEntry implements Disposable {
  readonly quarantine = new RequestQuarantine(() => {});
  readonly limits: SharedServerLimits;
  readonly fleet = new FleetView();
  readonly peerQueues = new PeerQueues();
  queues: readonly ServiceQueues[] = [];
  serversLost = 0;
  readonly lines: string[] = [];
  readonly mesh: EntryMesh;

  constructor(node: string) {
    const nowMs = () => performance.now();
    this.limits = new SharedServerLimits({
      node,
      entryCount: () => 2,
      waitingPeers: () => 0,
      onChange: () => {},
    });
    this.mesh = new EntryMesh({
      node,
      instance: node as InstanceId,
      availabilityZone: 'a',
      loads: new ChainLoads(),
      retryBudget: new SharedRetryBudget(0, {
        ratio: 0.2,
        extraRetries: 10,
        windowMs: 10_000,
      }),
      quarantine: this.quarantine,
      limits: this.limits,
      fleet: this.fleet,
      logger: new Logger(node, 'info', line => this.lines.push(line)),
      nowMs,
      peerQueues: this.peerQueues,
      queues: () => this.queues,
      storedTable: () => ({version: 0, text: ''}),
      updateTable: () => {},
      hasEventSince: () => false,
      onServerLost: () => void this.serversLost++,
      isStopping: () => false,
      onLayoutHandover: () => {},
      layoutFence: () => 0,
      onLayoutFence: () => {},
    });
  }

  [Symbol.dispose](): void {
    this.mesh[Symbol.dispose]();
  }
}

async function waitUntil(what: string, check: () => boolean): Promise<void> {
  const endMs = Date.now() + 8000;
  while (!check()) {
    if (Date.now() > endMs) throw new Error(`not within 8 s: ${what}`);
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

describe('EntryMesh', () => {
  const [a, b] = ['a', 'b'].map(node => new MeshEntry(node));

  before(async () => {
    const addresses = [
      await a.mesh.listen('127.0.0.1', 0),
      await b.mesh.listen('127.0.0.1', 0),
    ];
    a.mesh.setPeers(addresses);
    b.mesh.setPeers(addresses);
  });

  after(() => {
    a[Symbol.dispose]();
    b[Symbol.dispose]();
  });

  it('tells peers of prompt parts that end servers, and of answers', async () => {
    const nowMs = performance.now();
    for (const [i, key] of [CRASHING, CRASHING, OTHER, OTHER].entries()) {
      const crash = `s${i}@1` as CrashId;
      a.quarantine.recordCrash([key], crash, nowMs + (i % 2) * 400 - 1000);
    }
    const isBlocked = (key: SuspectKey) =>
      b.quarantine.blockedForMs([key], performance.now()) > 0;
    await waitUntil('both parts blocked', () =>
      [CRASHING, OTHER].every(isBlocked),
    );
    b.quarantine.recordAnswer([OTHER], performance.now());
    const isClearedAtA = () =>
      a.quarantine.blockedForMs([OTHER], performance.now()) === 0;
    await waitUntil('answered part cleared', isClearedAtA);
    expect(isBlocked(CRASHING)).toEqual(true);
  });

  // Guards against new requests of peers that take the tokens for which streams
  // without a chain wait (incident LOST).
  it('tells peers of streams that lost their chain', async () => {
    const tokensAhead = () =>
      b.peerQueues.tokensAhead(
        SERVICE,
        {rankIndex: 0, enqueuedAtMs: 0, isOnReservedShare: true},
        performance.now(),
      );
    const ranks = [{tokens: 0, oldestAgeMs: 0}];
    const interrupted = {tokens: 785, oldestAgeMs: 100};
    a.queues = [{service: SERVICE, interrupted, ranks}];
    await waitUntil('tokens known', () => tokensAhead() === 785);
    a.queues = [{service: SERVICE, ranks}];
    await waitUntil('tokens gone', () => tokensAhead() === 0);
  });

  it('tells peers of servers that leave', async () => {
    const [server] = emptyFleet();
    for (const {fleet} of [a, b]) fleet.put(server, 0);
    expect(a.fleet.markLeaving(server.server, server.startedAtMs)).toEqual(
      true,
    );
    await waitUntil('leaving server known', () => b.fleet.isLeaving(server));
    expect([a.serversLost, b.serversLost]).toEqual([0, 1]);
  });

  it('tells peers of the limits that servers name', async () => {
    const maySend = () => b.limits.maySend(ADDRESS, SERVICE, performance.now());
    expect(maySend()).toEqual(true);
    a.limits.observe(ADDRESS, 0, performance.now());
    await waitUntil('limit known', () => !maySend());
    a.limits.observe(ADDRESS, undefined, performance.now());
    await waitUntil('limit gone', maySend);
  });

  // Guards against a line in the log for each report to an address at which no
  // entry listens, as one in the store may be.
  it('logs a peer that cannot be reached once', async () => {
    using alone = new MeshEntry('alone');
    const listener = new MeshEntry('listener');
    const address = await listener.mesh.listen('127.0.0.1', 0);
    listener[Symbol.dispose]();
    alone.mesh.setPeers([address]);
    for (let i = 0; i < 10; i++) {
      alone.mesh.broadcastShares();
      await connectionRefused(address);
    }
    const logged = () =>
      alone.lines.filter(line => line.includes('cannot be reached')).length;
    await waitUntil('peer logged', () => logged() > 0);
    expect(logged()).toEqual(1);
    // A peer that is listed anew is logged anew.
    alone.mesh.setPeers([]);
    alone.mesh.setPeers([address]);
    alone.mesh.broadcastShares();
    await waitUntil('peer logged again', () => logged() === 2);
  });
});

async function connectionRefused(address: PeerAddress): Promise<void> {
  const [host, port] = address.split(':');
  await once(connect({host, port: Number(port)}), 'error');
}
