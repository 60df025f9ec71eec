import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  ConcurrencyLimit,
  SlotRules,
  canMeetDeadline,
  type Rank,
  type RequestId,
  type RunningSequence,
  type WorkspaceId,
} from '../src/index.js';

function running(
  workspace: string,
  rank: Rank,
  positions = 10,
  usedReservedShare = false,
): RunningSequence {
  return {
    request: `${workspace}-${positions}` as RequestId,
    workspace: workspace as WorkspaceId,
    weight: 1,
    rank,
    positions,
    usedReservedShare,
  };
}

function many(count: number, workspace: string, rank: Rank): RunningSequence[] {
  return Array.from({length: count}, () => running(workspace, rank));
}

describe('ConcurrencyLimit', () => {
  it('decreases when latency rises and stays within its bounds', () => {
    const limit = new ConcurrencyLimit({minLimit: 4, maxLimit: 32});
    for (let n = 0; n < 50; n++) limit.observe(20, 32, n * 20);
    expect(limit.limit).toEqual(32);
    for (let n = 0; n < 500; n++) limit.observe(200, 32, 1000 + n * 20);
    expect(limit.limit).toBeLessThanOrEqual(8);
    expect(limit.limit).toBeGreaterThanOrEqual(4);
  });

  it('increases to its maximum while latency is low', () => {
    const limit = new ConcurrencyLimit({
      minLimit: 4,
      maxLimit: 32,
      initialLimit: 4,
    });
    for (let n = 0; n < 500; n++) limit.observe(20, limit.limit, n * 20);
    expect(limit.limit).toEqual(32);
  });

  it('does not adopt the latency of lasting overload as reference', () => {
    const limit = new ConcurrencyLimit({
      minLimit: 4,
      maxLimit: 32,
      windowMs: 1000,
    });
    limit.observe(20, 32, 0);
    for (let n = 0; n < 300; n++) limit.observe(200, 32, n * 20);
    expect(limit.limit).toBeLessThanOrEqual(8);
  });

  it('does not grow while it is not in use', () => {
    const limit = new ConcurrencyLimit({
      minLimit: 4,
      maxLimit: 32,
      initialLimit: 10,
    });
    for (let n = 0; n < 500; n++) limit.observe(20, 1, n * 20);
    expect(limit.limit).toEqual(10);
  });
});

describe('SlotRules', () => {
  const rules = new SlotRules({
    urgentReserveSlots: 2,
    smallWorkspaceReserveFraction: 0.25,
  });
  const state = (sequences: RunningSequence[], isUrgentWaiting = false) => ({
    limit: 8,
    running: sequences,
    isUrgentWaiting,
  });

  it('keeps overnight sequences out of the urgent reserve', () => {
    const allows = rules.createFilter(state(many(6, 'a', 'ordinary')));
    expect(allows(running('b', 'overnight'), false)).toEqual(false);
    expect(allows(running('b', 'urgent'), false)).toEqual(true);
  });

  it('gives overnight a slot on its reserved share under urgent load', () => {
    const allows = rules.createFilter(state(many(7, 'a', 'urgent'), true));
    expect(allows(running('b', 'overnight'), true)).toEqual(true);
  });

  it('gives overnight the slot of an idle head with one slot', () => {
    const allows = rules.createFilter({...state([]), limit: 1});
    expect(allows(running('b', 'overnight'), false)).toEqual(true);
  });

  it('reserves the last slots for small workspaces', () => {
    const sequences = [
      ...many(5, 'large', 'ordinary'),
      running('small', 'ordinary'),
    ];
    const allows = rules.createFilter(state(sequences));
    expect(allows(running('large', 'ordinary'), false)).toEqual(false);
    expect(allows(running('small', 'ordinary'), false)).toEqual(true);
    expect(allows(running('new', 'ordinary'), false)).toEqual(true);
  });

  it('gives no slot when none is free', () => {
    const allows = rules.createFilter(state(many(8, 'a', 'ordinary')));
    expect(allows(running('b', 'urgent'), true)).toEqual(false);
  });

  describe('selectVictim', () => {
    const others = many(5, 'a', 'ordinary');
    const sequences = [
      ...others,
      running('n', 'overnight', 500),
      running('n', 'overnight', 30),
      running('n', 'overnight', 5, true),
    ];

    it('selects the overnight sequence with the fewest tokens', () => {
      const victim = rules.selectVictim(state(sequences, true));
      expect(victim).toEqual(sequences[6]);
    });

    it('selects none while a slot is free or no urgent request waits', () => {
      expect(rules.selectVictim(state(sequences, false))).toEqual(undefined);
      expect(rules.selectVictim(state(sequences.slice(1), true))).toEqual(
        undefined,
      );
    });

    it('selects no sequence of another rank', () => {
      const full = many(8, 'a', 'ordinary');
      expect(rules.selectVictim(state(full, true))).toEqual(undefined);
    });
  });
});

describe('canMeetDeadline', () => {
  const estimate = {
    costAheadTokens: 1000,
    servedTokensPerS: 1000,
    slotWaitMs: 50,
    promptTokens: 500,
    prefillTokensPerS: 5000,
  };

  it('compares the wait plus prefill with the earlier deadline', () => {
    const deadlines = {deadlineAtMs: 9000, firstTokenDeadlineAtMs: 1100};
    expect(canMeetDeadline(estimate, deadlines, 0)).toEqual(true);
    expect(canMeetDeadline(estimate, deadlines, 1)).toEqual(false);
    const early = {deadlineAtMs: 1000, firstTokenDeadlineAtMs: 9000};
    expect(canMeetDeadline(estimate, early, 0)).toEqual(false);
  });

  it('accepts while no rate has been measured', () => {
    const unknown = {...estimate, servedTokensPerS: 0, prefillTokensPerS: 0};
    const deadlines = {deadlineAtMs: 60, firstTokenDeadlineAtMs: 60};
    expect(canMeetDeadline(unknown, deadlines, 0)).toEqual(true);
  });
});
