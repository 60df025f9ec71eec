/**
 * Interrupted streams and new requests that compete for free KV-cache tokens,
 * at one entry and at several that report to each other.
 */
import {describe, it} from 'node:test';
import type {RequestId} from '@azurecrank/core';
import {
  InterruptedStreams,
  findChains,
  type InterruptedStream,
  type ServerAddress,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';
import {FakeResponse, RelayHarness, requestOf} from './relay_harness.js';

const FAILURE = {cause: 'reset', mayHaveRun: true};

/** Tokens that each stream of the harness uses. */
const STREAM_TOKENS = 785;

/** Starts a stream that loses its server while all tokens are in use. */
function interrupt(harness: RelayHarness): void {
  harness.receiveHead();
  harness.receiveEvents(1);
  harness.useAllTokens();
  harness.lastSent.handlers.onFailure(FAILURE);
}

/** An entry with a queued request of the most urgent rank. */
function entryWithQueuedRequest(): RelayHarness {
  const harness = new RelayHarness();
  harness.useAllTokens();
  startNew(harness);
  return harness;
}

function startNew(harness: RelayHarness): FakeResponse {
  const res = new FakeResponse();
  harness.startStream({}, [], res, {request: 'new'});
  return res;
}

/** Leaves tokens for one more stream on one chain of an entry. */
function freeOnePlace(harness: RelayHarness): void {
  const [{path}] = harness.admission.currentChains();
  harness.leaveTokens(path[0].server.address, STREAM_TOKENS);
}

/** Makes entries learn what waits at the other one. */
function exchangeQueues(a: RelayHarness, b: RelayHarness): void {
  a.peerQueues.setQueues('b', [b.admission.queues()], a.nowMs);
  b.peerQueues.setQueues('a', [a.admission.queues()], b.nowMs);
}

function lastRequest(harness: RelayHarness): string {
  return requestOf(harness.lastSent);
}

describe('InterruptedStreams', () => {
  const chains = findChains(MODEL, laidOutFleet());
  const firsts = chains.map(({path}) => path[0].server.address);

  function streamOf(
    request: string,
    costTokens: number,
    {
      rank = 'ordinary' as InterruptedStream['rank'],
      allowed = firsts as readonly ServerAddress[],
      availableRetries = 10,
      interruptedAtMs = 0,
    } = {},
  ): InterruptedStream {
    return {
      request: request as RequestId,
      rank,
      costTokens,
      interruptedAtMs,
      mayContinueOn: first => allowed.includes(first),
      isRestricted: () => allowed.length < firsts.length,
      availableRetries: () => availableRetries,
      resume: () => {},
    };
  }

  function waiting(...streams: InterruptedStream[]): InterruptedStreams {
    const interrupted = new InterruptedStreams();
    for (const stream of streams) interrupted.add(stream);
    return interrupted;
  }

  it('go on by rank and age', () => {
    const interrupted = waiting(
      streamOf('a', 1, {rank: 'overnight'}),
      streamOf('b', 1, {interruptedAtMs: 20}),
      streamOf('c', 1, {rank: 'urgent', interruptedAtMs: 30}),
      streamOf('d', 1, {interruptedAtMs: 10}),
    );
    const order = interrupted.eligible(chains).map(({request}) => request);
    expect(order.map(String)).toEqual(['c', 'd', 'b', 'a']);
  });

  // Guards against a stream that no chain can take and that holds the only
  // retry, so that no other stream of the entry continues.
  it('leave the retries to streams that a chain can take', () => {
    const interrupted = waiting(
      streamOf('a', 1, {allowed: [], availableRetries: 1}),
      streamOf('b', 1, {interruptedAtMs: 20, availableRetries: 1}),
    );
    const order = interrupted.eligible(chains).map(({request}) => request);
    expect(order.map(String)).toEqual(['b']);
    expect(interrupted.report(chains, 30).tokens).toEqual(1);
  });

  // Guards against small new requests that take the tokens one by one for
  // which a large stream waits.
  it('keep the free tokens of the chain on which they will soonest fit', () => {
    const interrupted = waiting(streamOf('a', 900));
    const left = interrupted.tokensLeft(chains, [300, 500, 100]);
    expect(left).toEqual([300, 0, 100]);
  });

  it('keep tokens only of chains that they may use', () => {
    const interrupted = waiting(streamOf('a', 900, {allowed: [firsts[2]]}));
    const left = interrupted.tokensLeft(chains, [300, 500, 100]);
    expect(left).toEqual([300, 500, 0]);
    expect(interrupted.report(chains, 0).tokens).toEqual(0);
  });

  it('keep no tokens for more streams than there are retries', () => {
    const limits = {availableRetries: 1};
    const interrupted = waiting(
      streamOf('a', 400, limits),
      streamOf('b', 400, limits),
    );
    expect(interrupted.report(chains, 0).tokens).toEqual(400);
    expect(interrupted.tokensLeft(chains, [900, 0, 0])).toEqual([500, 0, 0]);
  });

  it('keep no tokens of chains that are too small for them', () => {
    const tooLarge = Math.max(...chains.map(c => c.capacityTokens)) + 1;
    const interrupted = waiting(streamOf('a', tooLarge));
    expect(interrupted.tokensLeft(chains, [300, 500, 100])).toEqual([
      300, 500, 100,
    ]);
    expect(interrupted.report(chains, 0).tokens).toEqual(0);
  });
});

describe('interrupted streams', () => {
  // Guards against starvation: under overload, new requests take each token
  // that becomes free, and streams with most of their work done get none until
  // their callers leave (incident LOST).
  describe('go before new requests of any rank', () => {
    it('of their own entry', async () => {
      const harness = new RelayHarness();
      interrupt(harness);
      startNew(harness);
      expect(harness.admission.size).toEqual(1);
      freeOnePlace(harness);
      harness.admission.processQueue();
      await harness.advance(50);
      expect(harness.upstream.sent.map(requestOf)).toEqual(['r1', 'r1']);
      harness.freeAllTokens();
      await harness.advance(50);
      expect(lastRequest(harness)).toEqual('new');
    });

    it('of other entries', async () => {
      const [a, b] = [new RelayHarness(), entryWithQueuedRequest()];
      interrupt(a);
      exchangeQueues(a, b);
      for (const entry of [b, a]) freeOnePlace(entry);
      b.admission.processQueue();
      await b.advance(50);
      expect(lastRequest(b)).not.toEqual('new');
      await a.advance(50);
      expect(a.upstream.sent.length).toEqual(2);
      exchangeQueues(a, b);
      await b.advance(50);
      expect(lastRequest(b)).toEqual('new');
    });
  });

  // Guards against tokens that are kept for streams that cannot use them.
  describe('leave tokens to new requests that they cannot use', () => {
    it('while they wait for the retry budget', async () => {
      const harness = new RelayHarness();
      harness.useAllRetries();
      interrupt(harness);
      startNew(harness);
      freeOnePlace(harness);
      await harness.advance(50);
      expect(lastRequest(harness)).toEqual('new');
    });

    for (const [name, setUp] of [
      ['at their own entry', undefined],
      ['at other entries', entryWithQueuedRequest],
    ] as const) {
      it(`on chains that they may not use, ${name}`, async () => {
        const harness = new RelayHarness({maxAttempts: 1});
        const own = harness.lastSent.request.address;
        interrupt(harness);
        const entry = setUp?.() ?? harness;
        if (entry === harness) startNew(harness);
        else exchangeQueues(harness, entry);
        const other = entry.admission
          .currentChains()
          .map(({path}) => path[0].server.address)
          .find(first => first !== own);
        entry.leaveTokens(other ?? own, STREAM_TOKENS);
        entry.admission.processQueue();
        await entry.advance(50);
        expect(lastRequest(entry)).toEqual('new');
      });
    }
  });
});

describe('interrupted streams of other entries that went first', () => {
  /** An entry whose stream waits behind an older one of another entry. */
  function waitBehindOlderStream(): RelayHarness {
    const harness = new RelayHarness();
    interrupt(harness);
    freeOnePlace(harness);
    return harness;
  }

  function reportOlderStream(harness: RelayHarness): void {
    const interrupted = {tokens: 100_000, oldestAgeMs: 10_000};
    const queues = {service: SERVICE, interrupted, ranks: []};
    harness.peerQueues.setQueues('peer', [queues], harness.nowMs);
  }

  // Guards against free tokens that nobody takes, because the entry for whose
  // streams all others leave them cannot use them.
  it('get free tokens for a limited time', async () => {
    const harness = waitBehindOlderStream();
    for (let elapsedMs = 0; elapsedMs < 500; elapsedMs += 50) {
      if (elapsedMs === 250) expect(harness.upstream.sent.length).toEqual(1);
      reportOlderStream(harness);
      await harness.advance(50);
    }
    expect(harness.upstream.sent.length).toEqual(2);
  });

  // Guards against tokens that others leave on a chain that refuses requests of
  // the streams' own entry.
  it('are not reported while a chain is closed to them', () => {
    const harness = new RelayHarness();
    interrupt(harness);
    const reported = () => harness.admission.queues().interrupted?.tokens;
    expect(reported()).toEqual(STREAM_TOKENS);
    const [{path}] = harness.admission.currentChains();
    const {nowMs} = harness;
    harness.loads.recordRefusal(path[0].server.address, nowMs, nowMs);
    expect(reported()).toEqual(0);
  });
});
