/** Streams whose servers, or whose chains, are silent for a while. */
import {describe, it} from 'node:test';
import type {Route, ServerAddress} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {
  FakeResponse,
  RelayHarness,
  flushPromises,
  type SentRequest,
} from './relay_harness.js';

const FAILURE = {cause: 'reset', mayHaveRun: true};

/** Time limit of the harness's callers. */
const DEADLINE_MS = 20_000;

/** A server may fall silent for about as long and go on. */
const SILENCES_MS = [1200, 1800];

function eventIds({body}: FakeResponse): number[] {
  return [...body.matchAll(/id: (\d+)/g)].map(match => Number(match[1]));
}

/** Starts a stream on the chain of a first server; returns its response. */
function startOn(
  harness: RelayHarness,
  first: ServerAddress,
  request: string,
): FakeResponse {
  const res = new FakeResponse();
  harness.leaveTokens(first, 10_000);
  harness.startStream({}, [], res, {request});
  harness.freeAllTokens();
  return res;
}

/** First server of another chain than that of the request. */
function otherFirst(harness: RelayHarness, {request}: SentRequest) {
  const firsts = harness.admission
    .currentChains()
    .map(({path}) => path[0].server.address);
  const other = firsts.find(first => first !== request.address);
  if (!other) throw new Error('there is only one chain');
  return other;
}

/** Three streams on one chain that have had their first event. */
class SharedChain {
  readonly harness: RelayHarness;
  readonly first: ServerAddress;
  readonly responses: readonly FakeResponse[];
  readonly sent: readonly SentRequest[];

  /** @param route of the first stream */
  constructor(route: Partial<Route> = {}) {
    const harness = new RelayHarness(route);
    this.harness = harness;
    this.first = harness.lastSent.request.address;
    const others = ['r2', 'r3'].map(id => startOn(harness, this.first, id));
    this.responses = [harness.res, ...others];
    this.sent = harness.upstream.sent.slice(0, 3);
    for (const request of this.sent) {
      harness.receiveHeadOf(request);
      harness.receiveEventsOf(request, 1);
    }
  }

  /** Lets time pass while only the given streams have events. */
  async advance(
    durationMs: number,
    active: readonly SentRequest[] = [],
  ): Promise<void> {
    const {harness} = this;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
      await harness.advance(50);
      for (const sent of active)
        harness.receiveEventsOf(sent, this.nextId(sent));
    }
  }

  private nextId(sent: SentRequest): number {
    const ids = eventIds(this.responses[this.sent.indexOf(sent)]);
    return ids[ids.length - 1] + 1;
  }
}

describe('streams of a sound server that falls silent', () => {
  for (const silenceMs of SILENCES_MS) {
    // Guards against a second run of all streams of a server when the first of
    // them goes on after a common silence (incident LOST).
    it(`complete on it in order after ${silenceMs} ms`, async () => {
      const chain = new SharedChain();
      const {harness, sent, responses} = chain;
      await chain.advance(silenceMs);
      for (const request of sent) {
        harness.receiveEventsOf(request, 2);
        await harness.advance(50);
      }
      for (const {handlers} of sent) handlers.onEnd();
      await flushPromises();
      expect(sent.map(({isAborted}) => isAborted)).toEqual(
        sent.map(() => false),
      );
      expect(harness.upstream.sent.length).toEqual(3);
      expect(responses.map(eventIds)).toEqual([
        [1, 2],
        [1, 2],
        [1, 2],
      ]);
      expect(responses.every(r => r.writableFinished)).toEqual(true);
    });
  }

  // Guards against a stream that is lost in the silence and waits for ever.
  it('leave it if it goes on without them', async () => {
    const chain = new SharedChain();
    const {harness, sent} = chain;
    await chain.advance(1200);
    await chain.advance(1500, sent.slice(1));
    expect(sent.map(({isAborted}) => isAborted)).toEqual([true, false, false]);
    expect(harness.sentFor('r1').length).toEqual(2);
  });
});

describe('a stream that stalls while others of its server go on', () => {
  // Guards against waiting for an answer that the server ran and that is lost.
  it('leaves the server before its caller leaves', async () => {
    const chain = new SharedChain();
    const {harness, sent} = chain;
    await chain.advance(1500, sent.slice(1));
    expect(sent.map(({isAborted}) => isAborted)).toEqual([true, false, false]);
    expect(harness.sentFor('r1').length).toEqual(2);
  });

  // Guards against a stalled server that sends a byte now and then, which looked
  // as if it had events.
  it('leaves the server although comments come from it', async () => {
    const chain = new SharedChain();
    const {harness, sent} = chain;
    for (let i = 0; i < 15; i++) {
      sent[0].handlers.onData(Buffer.from(':\n\n'));
      await chain.advance(100, sent.slice(1));
    }
    expect(sent.map(({isAborted}) => isAborted)).toEqual([true, false, false]);
    expect(harness.sentFor('r1').length).toEqual(2);
  });

  // Guards against giving up a path when no other can be had (incident LOST).
  it('stays until another chain can take it', async () => {
    const chain = new SharedChain();
    const {harness, sent} = chain;
    harness.leaveTokens(chain.first, 0);
    await chain.advance(1900, sent.slice(1));
    expect(sent[0].isAborted).toEqual(false);
    harness.freeAllTokens();
    await chain.advance(100, sent.slice(1));
    expect(sent[0].isAborted).toEqual(true);
    expect(harness.sentFor('r1').length).toEqual(2);
  });

  it('stays until the retry budget allows another attempt', async () => {
    const chain = new SharedChain();
    const {harness, sent} = chain;
    harness.useAllRetries();
    await chain.advance(1900, sent.slice(1));
    expect(sent[0].isAborted).toEqual(false);
    expect(harness.res.destroyed).toEqual(false);
  });

  // Guards against ending an answer because its server is silent.
  it('is not ended if it may not be resumed', async () => {
    const chain = new SharedChain({isResumable: false});
    const {harness, sent} = chain;
    await chain.advance(1900, sent.slice(1));
    expect(sent[0].isAborted).toEqual(false);
    harness.receiveEventsOf(sent[0], 2);
    sent[0].handlers.onEnd();
    expect(eventIds(harness.res)).toEqual([1, 2]);
    expect(harness.res.writableFinished).toEqual(true);
  });

  // Guards against ending an answer because its server is silent.
  it('is not ended when its attempts are used up', async () => {
    const chain = new SharedChain({maxAttempts: 6});
    const {harness, sent} = chain;
    for (let attempt = 1; attempt < 6; attempt++) {
      const last = harness.sentFor('r1')[attempt - 1];
      harness.leaveTokens(chain.first, 10_000);
      last.handlers.onFailure(FAILURE);
      // Attempts are spread; the others go on meanwhile.
      await chain.advance(850, sent.slice(1));
      harness.freeAllTokens();
    }
    const last = harness.sentFor('r1')[5];
    expect(last.request.address).toEqual(chain.first);
    harness.receiveHeadOf(last);
    harness.receiveEventsOf(last, 2);
    await chain.advance(1900, sent.slice(1));
    expect(last.isAborted).toEqual(false);
    expect(harness.res.destroyed).toEqual(false);
  });
});

describe('a resumed stream', () => {
  // Guards against a third run because the second one still waits in the queue
  // of its server, or reads the prompt again (incident LOST).
  it('awaits its first event on the new path', async () => {
    const harness = new RelayHarness();
    const {lastSent: lost} = harness;
    const next = otherFirst(harness, lost);
    const others = ['r2', 'r3'].map(id => {
      startOn(harness, next, id);
      harness.receiveHead();
      harness.receiveEvents(1);
      return harness.lastSent;
    });
    harness.receiveHeadOf(lost);
    harness.receiveEventsOf(lost, 1, 2);
    harness.leaveTokens(next, 10_000);
    lost.handlers.onFailure(FAILURE);
    harness.freeAllTokens();
    const {lastSent: resumed} = harness;
    harness.receiveHeadOf(resumed);
    for (let id = 2; id < 32; id++) {
      await harness.advance(50);
      for (const other of others) harness.receiveEventsOf(other, id);
    }
    expect(resumed.request.address).toEqual(next);
    expect(resumed.isAborted).toEqual(false);
    harness.receiveEventsOf(resumed, 3);
    expect(eventIds(harness.res)).toEqual([1, 2, 3]);
    expect(harness.sentFor('r1').length).toEqual(2);
  });
});

describe('a stream that lost its server', () => {
  /** Starts a stream and loses its server while all tokens are in use. */
  async function waitWithoutTokens(durationMs: number): Promise<RelayHarness> {
    const harness = new RelayHarness();
    harness.receiveHead();
    harness.receiveEvents(1);
    harness.useAllTokens();
    harness.lastSent.handlers.onFailure(FAILURE);
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
      harness.useAllTokens();
      await harness.advance(500);
    }
    return harness;
  }

  // Guards against an entry that ends streams by their silence while caller and
  // route still wait (incident LOST).
  it('waits for free tokens until shortly before its time limit', async () => {
    const harness = await waitWithoutTokens(DEADLINE_MS - 500);
    expect(harness.res.destroyed).toEqual(false);
    harness.freeAllTokens();
    await harness.advance(50);
    harness.receiveHead();
    harness.receiveEvents(2);
    expect(eventIds(harness.res)).toEqual([1, 2]);
  });

  it('is cut at its time limit', async () => {
    const harness = await waitWithoutTokens(DEADLINE_MS);
    expect(harness.res.destroyed).toEqual(true);
    const [line] = harness.linesOf('stream cut');
    expect(line.endedBy).toEqual('deadline');
  });

  it('is sent nowhere after its caller has left', async () => {
    const harness = await waitWithoutTokens(3000);
    expect(harness.res.destroyed).toEqual(false);
    harness.res.destroy();
    harness.freeAllTokens();
    await harness.advance(500);
    expect(harness.upstream.sent.length).toEqual(1);
  });

  // Guards against an end because the silence of two paths adds up to more than
  // a caller usually waits (incident LOST).
  it('continues after it has lost a second silent server', async () => {
    const harness = new RelayHarness();
    harness.receiveHead();
    harness.receiveEvents(1);
    harness.lastSent.handlers.onFailure(FAILURE);
    harness.receiveHead();
    await harness.advance(1900);
    harness.lastSent.handlers.onFailure(FAILURE);
    await harness.advance(50);
    expect(harness.res.destroyed).toEqual(false);
    expect(harness.upstream.sent.length).toEqual(3);
    harness.receiveHead();
    harness.receiveEvents(2);
    expect(eventIds(harness.res)).toEqual([1, 2]);
  });
});

// Guards against ending an answer because its server is silent: it may be
// sound, and nothing else can complete the answer.
describe('a stream that may not be resumed', () => {
  function expectCompletes(harness: RelayHarness): void {
    expect(harness.upstream.sent.length).toEqual(1);
    expect(harness.lastSent.isAborted).toEqual(false);
    harness.receiveEvents(2);
    harness.lastSent.handlers.onEnd();
    expect(eventIds(harness.res)).toEqual([1, 2]);
    expect(harness.res.writableFinished).toEqual(true);
  }

  it('goes on while its first server is suspected', async () => {
    const harness = new RelayHarness({isResumable: false});
    harness.receiveHead();
    harness.receiveEvents(1);
    harness.fleet.suspect(harness.lastSent.request.address);
    await harness.advance(1500);
    expectCompletes(harness);
  });

  it('awaits its first event while its first server is suspected', async () => {
    const harness = new RelayHarness({isResumable: false});
    harness.fleet.suspect(harness.lastSent.request.address);
    await harness.advance(1500);
    expect(harness.res.headersSent).toEqual(false);
    harness.receiveHead();
    harness.receiveEvents(1);
    expectCompletes(harness);
  });

  it('is sent elsewhere if it has not reached its suspected server', async () => {
    const harness = new RelayHarness({isResumable: false});
    const {lastSent: unsent} = harness;
    unsent.wasSent = false;
    harness.fleet.suspect(unsent.request.address);
    await harness.advance(100);
    expect(unsent.isAborted).toEqual(true);
    expect(harness.upstream.sent.length).toEqual(2);
    expect(harness.lastSent.request.address).not.toEqual(
      unsent.request.address,
    );
  });

  it('goes on while a later server is suspected and not replaced', async () => {
    const harness = new RelayHarness({isResumable: false});
    harness.receiveHead();
    harness.receiveEvents(1);
    harness.fleet.suspect(harness.pathAddresses()[3]);
    for (let elapsedMs = 0; elapsedMs < 1500; elapsedMs += 50) {
      await harness.advance(50);
      harness.control.resolveRepath({kind: 'unknown', cause: 'timeout'});
      await flushPromises();
    }
    expect(harness.control.repaths.length).toBeGreaterThan(1);
    expect(harness.control.repaths.length).toBeLessThanOrEqual(4);
    expectCompletes(harness);
  });
});

describe('a resumable stream that has not begun', () => {
  // Guards against a caller that waits at a server without an answer, although
  // it could try again elsewhere at once.
  it('is answered when its server is suspected and no retry is left', async () => {
    const harness = new RelayHarness();
    harness.useAllRetries();
    harness.fleet.suspect(harness.lastSent.request.address);
    await harness.advance(50);
    expect(harness.res.headersSent).toEqual(true);
    expect(harness.res.statusCode).toEqual(502);
  });
});
