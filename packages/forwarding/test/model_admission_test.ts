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
      refuse: () => void this.refused.push(name),
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
