import {describe, it} from 'node:test';
import {
  CallLoadBalancer,
  decideCall,
  type CallState,
  type ServerAddress,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {emptyFleet} from './fleet_fixture.js';

const STATE: CallState = {
  kind: 'idempotent',
  serversReached: 1,
  maxAttempts: 2,
  attempts: 1,
  mayHaveRun: false,
  remainingMs: 400,
  hasRetryBudget: true,
};

describe('decideCall', () => {
  describe('an idempotent call', () => {
    it('is retried elsewhere after a server error', () => {
      const outcome = {kind: 'answered', status: 500} as const;
      expect(decideCall(STATE, outcome)).toEqual('retry');
    });

    it('delivers the server error when no attempt is left', () => {
      const outcome = {kind: 'answered', status: 500} as const;
      expect(decideCall({...STATE, serversReached: 2}, outcome)).toEqual(
        'deliver',
      );
    });

    it('delivers a client error', () => {
      const outcome = {kind: 'answered', status: 404} as const;
      expect(decideCall(STATE, outcome)).toEqual('deliver');
    });

    it('fails when the retry budget is exhausted', () => {
      const state = {...STATE, hasRetryBudget: false};
      expect(decideCall(state, {kind: 'broken'})).toEqual('fail');
    });
  });

  describe('a non-idempotent call', () => {
    const state = {...STATE, kind: 'non_idempotent', maxAttempts: 1} as const;

    it('is never retried once it may have run', () => {
      expect(decideCall(state, {kind: 'broken'})).toEqual('fail');
      expect(decideCall(state, {kind: 'slow'})).toEqual('fail');
    });

    it('is refused as not run if the server states so', () => {
      expect(decideCall(state, {kind: 'not_run'})).toEqual('refuse');
    });

    it('is retried elsewhere if no byte was sent', () => {
      const unsent = {...state, serversReached: 0};
      expect(decideCall(unsent, {kind: 'not_sent'})).toEqual('retry');
    });

    it('has an unknown outcome even if a later attempt did not run', () => {
      const later = {...state, mayHaveRun: true};
      expect(decideCall(later, {kind: 'not_run'})).toEqual('fail');
    });
  });
});

describe('CallServers', () => {
  const servers = emptyFleet().slice(0, 3);
  const [a, b, c] = servers.map(({address}) => address);
  const none = new Set<ServerAddress>();
  const select = (balancer: CallLoadBalancer, excluded = none, nowMs = 0) =>
    balancer.select(servers, excluded, 'nowhere', nowMs)?.address;

  it('avoids a server that fails some of its calls', () => {
    const balancer = new CallLoadBalancer();
    balancer.recordStart(a, 0);
    balancer.recordFailure(a, 0);
    expect(select(balancer)).not.toEqual(a);
  });

  it('selects a server again some time after its failure', () => {
    const balancer = new CallLoadBalancer();
    for (const address of [b, c]) balancer.recordStart(address, 0);
    balancer.recordStart(a, 0);
    balancer.recordFailure(a, 0);
    expect(select(balancer, none, 60_000)).toEqual(a);
  });

  it('spreads calls over equal servers', () => {
    const balancer = new CallLoadBalancer();
    const chosen = [0, 1, 2].map(() => {
      const address = select(balancer) ?? '';
      balancer.recordStart(address, 0);
      return address;
    });
    expect(new Set(chosen).size).toEqual(3);
  });

  it('prefers servers with low latency', () => {
    const balancer = new CallLoadBalancer();
    for (const address of [a, b]) {
      balancer.recordStart(address, 0);
      balancer.recordSuccess(address, 300, 0);
    }
    expect(select(balancer)).toEqual(c);
  });

  it('does not select excluded servers', () => {
    expect(select(new CallLoadBalancer(), new Set([a, b, c]))).toEqual(
      undefined,
    );
  });
});
