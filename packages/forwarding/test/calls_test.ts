import {describe, it} from 'node:test';
import {
  CallServers,
  decideCall,
  type CallState,
  type ServerAddress,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {emptyFleet} from './fleet_fixture.js';

const STATE: CallState = {
  kind: 'idempotent',
  reached: 1,
  maxAttempts: 2,
  attempts: 1,
  mayHaveRun: false,
  leftMs: 400,
  mayRetry: true,
};

describe('decideCall', () => {
  describe('an idempotent call', () => {
    it('goes elsewhere after a failure of a server', () => {
      const outcome = {kind: 'answered', status: 500} as const;
      expect(decideCall(STATE, outcome)).toEqual('retry');
    });

    it('delivers the failure when no attempt is left', () => {
      const outcome = {kind: 'answered', status: 500} as const;
      expect(decideCall({...STATE, reached: 2}, outcome)).toEqual('deliver');
    });

    it('delivers what is no fault of the server', () => {
      const outcome = {kind: 'answered', status: 404} as const;
      expect(decideCall(STATE, outcome)).toEqual('deliver');
    });

    it('stops where the retry budget is used up', () => {
      const state = {...STATE, mayRetry: false};
      expect(decideCall(state, {kind: 'broken'})).toEqual('fail');
    });
  });

  describe('a non-idempotent call', () => {
    const state = {...STATE, kind: 'non_idempotent', maxAttempts: 1} as const;

    it('is never repeated once it may have run', () => {
      expect(decideCall(state, {kind: 'broken'})).toEqual('fail');
      expect(decideCall(state, {kind: 'slow'})).toEqual('fail');
    });

    it('is refused as not run where a server states so', () => {
      expect(decideCall(state, {kind: 'not_run'})).toEqual('refuse');
    });

    it('goes elsewhere if no byte was sent', () => {
      const unsent = {...state, reached: 0};
      expect(decideCall(unsent, {kind: 'not_sent'})).toEqual('retry');
    });

    it('stays unknown after a later attempt that did not run', () => {
      const later = {...state, mayHaveRun: true};
      expect(decideCall(later, {kind: 'not_run'})).toEqual('fail');
    });
  });
});

describe('CallServers', () => {
  const servers = emptyFleet().slice(0, 3);
  const [a, b, c] = servers.map(({address}) => address);
  const none = new Set<ServerAddress>();
  const choose = (calls: CallServers, excluded = none, nowMs = 0) =>
    calls.choose(servers, excluded, 'nowhere', nowMs)?.address;

  it('avoids a server that fails part of its calls (grey server)', () => {
    const calls = new CallServers();
    calls.began(a, 0);
    calls.failed(a, 0);
    expect(choose(calls)).not.toEqual(a);
  });

  it('comes back to a server some seconds after its failure', () => {
    const calls = new CallServers();
    for (const address of [b, c]) calls.began(address, 0);
    calls.began(a, 0);
    calls.failed(a, 0);
    expect(choose(calls, none, 60_000)).toEqual(a);
  });

  it('spreads calls over servers that are alike', () => {
    const calls = new CallServers();
    const chosen = [0, 1, 2].map(() => {
      const address = choose(calls) ?? '';
      calls.began(address, 0);
      return address;
    });
    expect(new Set(chosen).size).toEqual(3);
  });

  it('prefers fast servers (slow server)', () => {
    const calls = new CallServers();
    for (const address of [a, b]) {
      calls.began(address, 0);
      calls.answered(address, 300, 0);
    }
    expect(choose(calls)).toEqual(c);
  });

  it('chooses none that is excluded', () => {
    expect(choose(new CallServers(), new Set([a, b, c]))).toEqual(undefined);
  });
});
