import {describe, it} from 'node:test';
import type {RequestId, WorkspaceId} from '@azurecrank/core';
import {
  ChainLoads,
  FleetView,
  ModelAdmission,
  type ServerChain,
  type WaitingRequest,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

class Admission {
  nowMs = 0;
  readonly admitted: string[] = [];
  readonly refused: string[] = [];
  readonly returnsAtMs: number[] = [];
  readonly loads = new ChainLoads();
  readonly fleet = new FleetView();
  readonly admission = new ModelAdmission({
    service: SERVICE,
    availabilityZone: 'river',
    fleet: this.fleet,
    loads: this.loads,
    model: () => MODEL,
    nowMs: () => this.nowMs,
    onChains: () => {},
  });

  constructor() {
    for (const server of laidOutFleet()) this.fleet.put(server, 0);
  }

  chains(): ServerChain[] {
    return this.admission.currentChains();
  }

  /** All memory is in use, as a peer tells. */
  fill(part: number): void {
    const used = this.chains().map(({path, capacityTokens}) => [
      path[0].server.address,
      capacityTokens * part,
    ]);
    this.loads.notePeer('peer', Object.fromEntries(used), this.nowMs);
  }

  /** Room for one request appears and is taken. */
  admitOne(): void {
    const [{path, capacityTokens}] = this.chains();
    const others = this.chains().slice(1);
    const used = [
      [path[0].server.address, capacityTokens * 0.85 - 1000],
      ...others.map(c => [c.path[0].server.address, c.capacityTokens]),
    ];
    this.loads.release(path[0].server.address, Infinity);
    this.loads.notePeer('peer', Object.fromEntries(used), this.nowMs);
    this.admission.pump();
  }

  ask(name: string, rank: WaitingRequest['rank'], workspace = 'w'): void {
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
      refuse: (_, retryAfterMs) => {
        this.refused.push(name);
        this.returnsAtMs.push(this.nowMs + retryAfterMs);
      },
    });
  }
}

describe('ModelAdmission', () => {
  it('admits at once what has room', () => {
    const admission = new Admission();
    admission.ask('a', 'overnight');
    expect(admission.admitted).toEqual(['a']);
  });

  it('serves the urgent rank first when room comes (flood of overnight work)', () => {
    const admission = new Admission();
    admission.fill(1);
    for (let i = 0; i < 50; i++) admission.ask(`night-${i}`, 'overnight');
    admission.ask('urgent', 'urgent');
    admission.fill(0.5);
    admission.admission.pump();
    expect(admission.admitted[0]).toEqual('urgent');
  });

  it('does not let a large workspace hold back a small one', () => {
    const admission = new Admission();
    admission.fill(1);
    for (let i = 0; i < 50; i++) admission.ask(`l${i}`, 'urgent', 'large');
    admission.ask('small', 'urgent', 'small');
    admission.fill(0.5);
    admission.admission.pump();
    expect(admission.admitted.indexOf('small')).toBeLessThan(3);
  });

  it('refuses what can no longer be in time, and says that it has not run', () => {
    const admission = new Admission();
    admission.fill(1);
    admission.ask('late', 'urgent');
    admission.nowMs = 401;
    admission.fill(1);
    admission.admission.pump();
    expect(admission.refused).toEqual(['late']);
  });

  describe('requests wait for room for a while (chains lost in a burst)', () => {
    /** One request is admitted each 100 ms, and 20 arrive a second. */
    function overload(durationMs: number): Admission {
      const admission = new Admission();
      const endMs = admission.nowMs + durationMs;
      for (let i = 0; admission.nowMs < endMs; i++) {
        admission.fill(1);
        admission.ask(`r${i}`, 'urgent');
        admission.nowMs += 50;
        if (i % 2 === 0) admission.admitOne();
      }
      return admission;
    }

    it('refuses at once what would wait too long', () => {
      const admission = overload(1000);
      const before = admission.refused.length;
      for (let i = 0; i < 20; i++) admission.ask(`more${i}`, 'urgent');
      expect(admission.refused.length - before).toBeGreaterThan(10);
    });

    it('keeps what may still be in time', () => {
      const admission = new Admission();
      admission.fill(1);
      admission.ask('a', 'urgent');
      admission.nowMs = 100;
      admission.fill(1);
      admission.ask('b', 'urgent');
      expect(admission.refused).toEqual([]);
    });

    it('admits at once when there is room again', () => {
      const admission = overload(1000);
      admission.fill(0);
      admission.ask('after', 'urgent');
      expect(admission.admitted).toInclude('after');
    });

    it('lets callers come back one after another, in their time', () => {
      const admission = overload(1000);
      const before = admission.returnsAtMs.length;
      for (let i = 0; i < 30; i++) admission.ask(`more${i}`, 'urgent');
      const returns = admission.returnsAtMs.slice(before);
      const sorted = [...returns].sort((a, b) => a - b);
      expect(returns).toEqual(sorted);
      expect(returns[9] - returns[0]).toBeGreaterThan(1000);
      expect(Math.max(...returns)).toBeLessThan(admission.nowMs + 20_000 / 3);
    });
  });

  it('gives nothing to a chain that has just refused for want of memory', () => {
    const admission = new Admission();
    const [full] = admission.chains();
    admission.loads.noteFull(full.path[0].server.address, 0);
    for (let i = 0; i < 30; i++) admission.ask(`r${i}`, 'urgent');
    const used = admission.loads.ownTokens();
    expect(Object.keys(used)).not.toInclude(full.path[0].server.address);
  });

  it('spreads over chains by their speed', () => {
    const admission = new Admission();
    for (let i = 0; i < 60; i++) admission.ask(`r${i}`, 'urgent');
    expect(Object.keys(admission.loads.ownTokens()).length).toEqual(3);
  });
});
