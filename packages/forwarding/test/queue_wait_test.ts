import {describe, it} from 'node:test';
import {
  Logger,
  Metrics,
  type RequestId,
  type WorkspaceId,
} from '@azurecrank/core';
import {
  ChainLoads,
  FleetView,
  ModelAdmission,
  PeerQueues,
  QueueWaitReporter,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

/** Metric under test. */
const METRIC = 'azurecrank_queue_wait_ms_total';

class WaitHarness {
  nowMs = 0;
  readonly lines: string[] = [];
  readonly metrics = new Metrics();
  readonly loads = new ChainLoads();
  readonly fleet = new FleetView();
  readonly peerQueues = new PeerQueues();
  readonly admission = new ModelAdmission({
    service: SERVICE,
    availabilityZone: 'river',
    fleet: this.fleet,
    loads: this.loads,
    peerQueues: this.peerQueues,
    model: () => MODEL,
    nowMs: () => this.nowMs,
    onChainsChanged: () => {},
  });
  readonly reporter = new QueueWaitReporter({
    service: SERVICE,
    logger: new Logger('entry', 'info', line => this.lines.push(line)),
    metrics: this.metrics,
  });

  registerServers(): void {
    for (const server of laidOutFleet()) this.fleet.put(server, this.nowMs);
  }

  firstServers(): string[] {
    return this.admission
      .currentChains()
      .map(({path}) => path[0].server.address);
  }

  setPeerTokens(tokens: number): void {
    const used = this.firstServers().map(first => [first, tokens]);
    this.loads.setPeerUsage('peer', Object.fromEntries(used), this.nowMs);
  }

  enqueue(): void {
    this.admission.enqueue({
      request: 'r' as RequestId,
      workspace: 'w' as WorkspaceId,
      weight: 1,
      rank: 'ordinary',
      costTokens: 860,
      deadlineAtMs: 20_000,
      firstTokenDeadlineAtMs: 20_000,
      enqueuedAtMs: this.nowMs,
      admit: () => {},
      refuse: () => {},
    });
  }

  /** Samples at intervals; returns the reason of the request that waits. */
  sample(durationMs: number): string | undefined {
    const endMs = this.nowMs + durationMs;
    for (; this.nowMs < endMs; this.nowMs += 25) {
      this.reporter.sample(this.admission.waitingQueue(), this.nowMs);
    }
    this.reporter.sample(this.admission.waitingQueue(), this.nowMs);
    return this.admission.waitingQueue()?.reason;
  }
}

// Guards against queues whose reason no log or metric tells (incident 9).
describe('waiting requests', () => {
  it('wait for a chain if no servers hold all layers', () => {
    const harness = new WaitHarness();
    harness.enqueue();
    expect(harness.sample(100)).toEqual('no_chain');
  });

  it('wait for tokens if all of them are in use', () => {
    const harness = new WaitHarness();
    harness.registerServers();
    harness.setPeerTokens(1_000_000);
    harness.enqueue();
    expect(harness.sample(100)).toEqual('no_free_tokens');
  });

  it('wait for a chain that has just refused a request', () => {
    const harness = new WaitHarness();
    harness.registerServers();
    const [refusing, ...others] = harness.admission.currentChains();
    const used = others.map(c => [c.path[0].server.address, c.capacityTokens]);
    harness.loads.setPeerUsage('peer', Object.fromEntries(used), 0);
    harness.loads.recordRefusal(refusing.path[0].server.address, 0, 0);
    harness.enqueue();
    expect(harness.sample(100)).toEqual('chain_closed');
  });

  it('wait for requests of other entries that go first', () => {
    const harness = new WaitHarness();
    harness.registerServers();
    const ahead = {tokens: 10_000_000, oldestAgeMs: 5000};
    const queues = {service: SERVICE, ranks: [ahead, ahead, ahead]};
    harness.peerQueues.setQueues('peer', [queues], 0);
    harness.enqueue();
    expect(harness.sample(100)).toEqual('other_entries_first');
  });

  it('add their time to the metric and few lines to the log', () => {
    const harness = new WaitHarness();
    harness.sample(1000);
    harness.enqueue();
    harness.sample(2000);
    const labels = {reason: 'no_chain'};
    expect(harness.metrics.counterValue(METRIC, labels)).toEqual(2000);
    expect(harness.lines.length).toEqual(3);
  });
});
