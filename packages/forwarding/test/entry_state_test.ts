import {describe, it} from 'node:test';
import type {ServerId, ServiceId} from '@azurecrank/core';
import {
  EMPTY_STATE,
  fromReport,
  mergeStates,
  toReport,
  type CrashId,
  type EntryState,
  type SuspectKey,
  type ServiceQueues,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {SERVICE} from './fleet_fixture.js';

const FIRST = '10.0.0.1:80';
const OTHER_SERVICE = 'desk' as ServiceId;
const KEY = 'assistant/part' as SuspectKey;

function stateOf(partial: Partial<EntryState>): EntryState {
  return {...EMPTY_STATE, ...partial};
}

function queueOf(tokens: number, oldestAgeMs: number): ServiceQueues {
  return {service: SERVICE, ranks: [{tokens, oldestAgeMs}]};
}

describe('mergeStates', () => {
  it('adds up what entries use and count', () => {
    const counts = {service: SERVICE, requests: 10, retries: 2};
    const limit = {address: FIRST, limitPerS: 5, ageMs: 100, sends: 3};
    const state = stateOf({
      usedTokens: {[FIRST]: 100},
      retries: [counts, {...counts, service: OTHER_SERVICE}],
      limits: [limit],
    });
    const newer = {...limit, limitPerS: 7, ageMs: 20};
    const merged = mergeStates(
      [
        {state, heardAtMs: 1000},
        {state: {...state, limits: [newer]}, heardAtMs: 1000},
      ],
      1050,
    );
    expect(merged.entries).toEqual(2);
    expect(merged.usedTokens).toEqual({[FIRST]: 200});
    expect(merged.retries[0]).toEqual({...counts, requests: 20, retries: 4});
    expect(merged.limits).toEqual([
      {address: FIRST, limitPerS: 7, ageMs: 70, sends: 6},
    ]);
  });

  it('counts what a lost entry has reported for as long as it matters', () => {
    const state = stateOf({
      usedTokens: {[FIRST]: 100},
      queues: [queueOf(10, 50)],
      suspected: [FIRST],
      retries: [{service: SERVICE, requests: 1, retries: 1}],
      layoutFence: 3,
    });
    const after = (ageMs: number) =>
      mergeStates([{state, heardAtMs: 0}], ageMs);
    expect(after(900).queues).toEqual([]);
    expect(after(900).suspected).toEqual([FIRST]);
    expect(after(1600).suspected).toEqual([]);
    expect(after(1600).entries).toEqual(0);
    expect(after(2900).usedTokens).toEqual({[FIRST]: 100});
    expect(after(3100).usedTokens).toEqual({});
    expect(after(10_000).retries.length).toEqual(1);
    expect(after(10_000).layoutFence).toEqual(3);
  });

  it('keeps the queues of few entries apart, with their ages', () => {
    const merged = mergeStates(
      [
        {state: stateOf({queues: [queueOf(10, 50)]}), heardAtMs: 0},
        {state: stateOf({queues: [queueOf(20, 500)]}), heardAtMs: 100},
        {state: stateOf({queues: [queueOf(0, 0)]}), heardAtMs: 100},
      ],
      200,
    );
    expect(merged.queues.map(({ranks}) => ranks[0])).toEqual([
      {tokens: 10, oldestAgeMs: 250},
      {tokens: 20, oldestAgeMs: 600},
    ]);
  });

  it('combines the youngest queues of many entries', () => {
    const heard = Array.from({length: 60}, (_, i) => ({
      state: stateOf({queues: [queueOf(1, i)]}),
      heardAtMs: 0,
    }));
    const {queues} = mergeStates(heard, 0);
    const sum = (counts: number[]) => counts.reduce((a, b) => a + b);
    expect(queues.length).toBeLessThan(30);
    expect(sum(queues.map(({ranks}) => ranks[0].tokens))).toEqual(60);
    expect(sum(queues.map(({entries = 1}) => entries))).toEqual(60);
    expect(queues[0].ranks[0].oldestAgeMs).toEqual(59);
  });

  it('takes the newest observation of the layers of a server', () => {
    const held = {
      server: 's' as ServerId,
      startedAtMs: 5,
      orderSequence: 1,
      layers: {firstLayer: 0, endLayer: 4},
    };
    const later = {...held, orderSequence: 2, layers: undefined};
    const [a, b] = [held, later].map(h => ({
      state: stateOf({held: [h]}),
      heardAtMs: 0,
    }));
    expect(mergeStates([a, b], 0).held).toEqual([later]);
    expect(mergeStates([b, a], 0).held).toEqual([later]);
  });

  it('gives the same result whichever way states are combined', () => {
    const crashes = [['s@1' as CrashId, 10] as const];
    const suspects = [{key: KEY, depth: 1, crashes, trialLeftMs: 0}];
    const [a, b, c] = [1, 2, 3].map(i => ({
      state: stateOf({
        usedTokens: {[FIRST]: i, [`10.0.0.${i}:1`]: 1},
        leaving: [[`s${i}` as ServerId, i]],
        quarantine: {suspects, answered: [[KEY, i]]},
        layoutFence: i,
      }),
      heardAtMs: 0,
    }));
    const ab = {state: mergeStates([a, b], 0), heardAtMs: 0};
    expect(mergeStates([ab, c], 0)).toEqual(mergeStates([a, b, c], 0));
  });
});

describe('report codec', () => {
  it('carries a state unchanged', () => {
    const state = stateOf({
      usedTokens: {[FIRST]: 100},
      queues: [
        {...queueOf(10, 50), entries: 3, interrupted: undefined},
        {
          ...queueOf(5, 40),
          entries: undefined,
          interrupted: {tokens: 4, oldestAgeMs: 30},
        },
      ],
      leaving: [['s' as ServerId, 1]],
      slow: [[FIRST, 2.5]],
      limits: [{address: FIRST, limitPerS: 5, ageMs: 100, sends: 3}],
    });
    const report = toReport(state, 3 as never, false);
    expect(fromReport(report)).toEqual(state);
  });
});
