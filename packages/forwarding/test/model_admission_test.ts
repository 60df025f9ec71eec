import {describe, it} from 'node:test';
import type {RequestId, WorkspaceId} from '@azurecrank/core';
import {
  ADMISSIBLE_CAPACITY_FRACTION,
  ChainLoads,
  FleetView,
  ModelAdmission,
  PeerQueues,
  ServerHolds,
  type ServerChain,
  type WaitingRequest,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

class AdmissionHarness {
  nowMs = 0;
  readonly admitted: string[] = [];
  readonly refused: string[] = [];
  readonly reasons: string[] = [];
  readonly retriesAtMs: number[] = [];
  readonly holds = new ServerHolds(() => {});
  readonly loads = new ChainLoads(undefined, this.holds);
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

  constructor() {
    for (const server of laidOutFleet()) this.fleet.put(server, 0);
  }

  chains(): ServerChain[] {
    return this.admission.currentChains();
  }

  /** Makes a peer report that it uses this fraction of all chains. */
  setUsedFraction(fraction: number): void {
    const used = this.chains().map(({path, capacityTokens}) => [
      path[0].server.address,
      capacityTokens * fraction,
    ]);
    this.loads.setPeerUsage('peer', Object.fromEntries(used), this.nowMs);
  }

  /** Makes the last server of every chain ask for a pause. */
  holdAll(holdMs: number): void {
    for (const {path} of this.chains()) {
      const servers = path.map(({server}) => server);
      const faultyAddress = servers.at(-1)?.address;
      const hold = {retryAfterMs: holdMs, faultyAddress};
      this.holds.observe(servers, hold, this.nowMs);
    }
  }

  /** Frees tokens for one request and admits it. */
  admitOne(): void {
    const [{path, capacityTokens}] = this.chains();
    const others = this.chains().slice(1);
    const used = [
      [
        path[0].server.address,
        capacityTokens * ADMISSIBLE_CAPACITY_FRACTION - 1000,
      ],
      ...others.map(c => [c.path[0].server.address, c.capacityTokens]),
    ];
    this.loads.release(path[0].server.address, Infinity);
    this.loads.setPeerUsage('peer', Object.fromEntries(used), this.nowMs);
    this.admission.processQueue();
  }

  enqueue(name: string, rank: WaitingRequest['rank'], workspace = 'w'): void {
    this.admission.enqueue({
      request: name as RequestId,
      workspace: workspace as WorkspaceId,
      weight: 1,
      rank,
      costTokens: 800,
      deadlineAtMs: this.nowMs + 20_000,
      firstTokenDeadlineAtMs: this.nowMs + 400,
      enqueuedAtMs: this.nowMs,
      admit: () => void this.admitted.push(name),
      refuse: (reason, retryAfterMs) => {
        this.reasons.push(reason);
        this.refused.push(name);
        this.retriesAtMs.push(this.nowMs + retryAfterMs);
      },
    });
  }
}

describe('ModelAdmission', () => {
  it('admits a request at once if tokens are free', () => {
    const admission = new AdmissionHarness();
    admission.enqueue('a', 'overnight');
    expect(admission.admitted).toEqual(['a']);
  });

  it('admits the urgent rank first after a flood of overnight requests', () => {
    const admission = new AdmissionHarness();
    admission.setUsedFraction(1);
    for (let i = 0; i < 50; i++) admission.enqueue(`night-${i}`, 'overnight');
    admission.enqueue('urgent', 'urgent');
    admission.setUsedFraction(0.5);
    admission.admission.processQueue();
    expect(admission.admitted[0]).toEqual('urgent');
  });

  it('does not let a large workspace delay a small one', () => {
    const admission = new AdmissionHarness();
    admission.setUsedFraction(1);
    for (let i = 0; i < 50; i++) admission.enqueue(`l${i}`, 'urgent', 'large');
    admission.enqueue('small', 'urgent', 'small');
    admission.setUsedFraction(0.5);
    admission.admission.processQueue();
    expect(admission.admitted.indexOf('small')).toBeLessThan(3);
  });

  it('refuses a queued request that can no longer meet its deadline', () => {
    const admission = new AdmissionHarness();
    admission.setUsedFraction(1);
    admission.enqueue('late', 'urgent');
    admission.nowMs = 401;
    admission.setUsedFraction(1);
    admission.admission.processQueue();
    expect(admission.refused).toEqual(['late']);
  });

  describe('when requests wait for tokens (several chains lost at once)', () => {
    /** Admits one request every 100 ms while 20 arrive per second. */
    function overload(durationMs: number): AdmissionHarness {
      const admission = new AdmissionHarness();
      const endMs = admission.nowMs + durationMs;
      for (let i = 0; admission.nowMs < endMs; i++) {
        admission.setUsedFraction(1);
        admission.enqueue(`r${i}`, 'urgent');
        admission.nowMs += 50;
        if (i % 2 === 0) admission.admitOne();
      }
      return admission;
    }

    it('refuses requests at once that would wait too long', () => {
      const admission = overload(1000);
      const before = admission.refused.length;
      for (let i = 0; i < 20; i++) admission.enqueue(`more${i}`, 'urgent');
      expect(admission.refused.length - before).toBeGreaterThan(10);
    });

    it('keeps requests that may still meet their deadline', () => {
      const admission = new AdmissionHarness();
      admission.setUsedFraction(1);
      admission.enqueue('a', 'urgent');
      admission.nowMs = 100;
      admission.setUsedFraction(1);
      admission.enqueue('b', 'urgent');
      expect(admission.refused).toEqual([]);
    });

    // Guards against waits that an entry of many takes for endless, because it
    // has admitted nothing itself for a while (incident 9).
    it('keeps requests while it has admitted none itself', () => {
      const admission = new AdmissionHarness();
      admission.setUsedFraction(1);
      admission.enqueue('a', 'urgent');
      admission.nowMs = 210;
      admission.setUsedFraction(1);
      admission.enqueue('b', 'urgent');
      expect(admission.refused).toEqual([]);
    });

    // Guards against waiting in vain behind the queues of many other entries.
    it('refuses a request at once behind long queues of its peers', () => {
      const admission = new AdmissionHarness();
      admission.setUsedFraction(1);
      const rank = {tokens: 800 * 200, oldestAgeMs: 300};
      const queues = [{service: SERVICE, ranks: [rank, rank, rank]}];
      admission.peerQueues.setQueues('peer', queues, 0);
      admission.enqueue('a', 'urgent');
      expect(admission.refused).toEqual(['a']);
    });

    // Guards against waiting in vain while hardly any place becomes free.
    it('refuses most requests at once while none is admitted', () => {
      const admission = new AdmissionHarness();
      admission.setUsedFraction(1);
      admission.enqueue('first', 'urgent');
      let waited = 0;
      for (let i = 0; i < 60; i++) {
        admission.nowMs += 50;
        admission.setUsedFraction(1);
        const before = admission.refused.length;
        admission.admission.processQueue();
        waited += admission.refused.length - before;
        admission.enqueue(`r${i}`, 'urgent');
      }
      expect(waited).toBeLessThan(admission.refused.length / 2);
    });

    it('admits requests at once when tokens are free again', () => {
      const admission = overload(1000);
      admission.setUsedFraction(0);
      admission.enqueue('after', 'urgent');
      expect(admission.admitted).toInclude('after');
    });

    it('spreads the retries of callers within their remaining time', () => {
      const admission = overload(1000);
      const before = admission.retriesAtMs.length;
      for (let i = 0; i < 30; i++) admission.enqueue(`more${i}`, 'urgent');
      const retries = admission.retriesAtMs.slice(before);
      const sorted = [...retries].sort((a, b) => a - b);
      expect(retries).toEqual(sorted);
      expect(retries[9] - retries[0]).toBeGreaterThan(1000);
      expect(Math.max(...retries)).toBeLessThan(admission.nowMs + 20_000 / 3);
    });
  });

  it('admits nothing to a chain that has just refused a request', () => {
    const admission = new AdmissionHarness();
    const [full] = admission.chains();
    admission.loads.recordRefusal(full.path[0].server.address, 0, 0);
    for (let i = 0; i < 30; i++) admission.enqueue(`r${i}`, 'urgent');
    const used = admission.loads.ownUsedTokens();
    expect(Object.keys(used)).not.toInclude(full.path[0].server.address);
  });

  // Guards against many requests to a chain that still refuses (incident 6).
  it('tries a chain with one request after it has refused', () => {
    const admission = new AdmissionHarness();
    const [refusing, ...others] = admission.chains();
    const first = refusing.path[0].server.address;
    admission.loads.recordRefusal(first, 0, 0);
    admission.nowMs = 350;
    const used = others.map(c => [c.path[0].server.address, c.capacityTokens]);
    admission.loads.setPeerUsage('peer', Object.fromEntries(used), 350);
    for (let i = 0; i < 10; i++) admission.enqueue(`r${i}`, 'urgent');
    expect(admission.admitted).toEqual(['r0']);
    admission.loads.recordAcceptance(first);
    admission.admission.processQueue();
    expect(admission.admitted.length).toEqual(10);
  });

  it('spreads requests over all chains', () => {
    const admission = new AdmissionHarness();
    for (let i = 0; i < 60; i++) admission.enqueue(`r${i}`, 'urgent');
    expect(Object.keys(admission.loads.ownUsedTokens()).length).toEqual(3);
  });

  describe('while a server of every chain wants no requests', () => {
    // Guards against requests that wait in vain for the end of a back-off.
    it('refuses at once those that it cannot serve in time', () => {
      const admission = new AdmissionHarness();
      admission.setUsedFraction(1);
      admission.enqueue('queued', 'urgent');
      admission.holdAll(2500);
      admission.admission.processQueue();
      admission.enqueue('new', 'urgent');
      expect(admission.refused).toEqual(['queued', 'new']);
      expect(admission.reasons).toEqual(['server_backoff', 'server_backoff']);
      for (const atMs of admission.retriesAtMs)
        expect(atMs).toBeGreaterThanOrEqual(2500);
    });

    it('lets those wait that it can serve in time', () => {
      const admission = new AdmissionHarness();
      admission.holdAll(300);
      for (admission.nowMs = 10; admission.nowMs < 300; admission.nowMs += 10) {
        admission.enqueue(`r${admission.nowMs}`, 'urgent');
        admission.admission.processQueue();
      }
      expect(admission.refused).toEqual([]);
      expect(admission.admitted).toEqual([]);
      admission.admission.processQueue();
      expect(admission.admitted.length).toBeGreaterThan(0);
    });

    // Guards against peers that leave free tokens to requests of this entry.
    it('reports no waiting requests to other entries', () => {
      const admission = new AdmissionHarness();
      admission.holdAll(300);
      admission.enqueue('a', 'urgent');
      expect(admission.admission.size).toEqual(1);
      const tokens = admission.admission.queues().ranks.map(r => r.tokens);
      expect(tokens.every(count => count === 0)).toEqual(true);
    });
  });
});
