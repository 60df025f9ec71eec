/** Streams that are slow but sound, and streams that stall but send bytes. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FakeResponse, RelayHarness, type SentRequest} from './relay_harness.js';

/** Time limit of the harness's callers. */
const DEADLINE_MS = 20_000;

const FAST_INTERVAL_MS = 50;

/** A stream whose chain also runs two fast ones. */
class SlowStream {
  readonly harness = new RelayHarness();
  readonly sent: SentRequest;
  private readonly fast: readonly SentRequest[];
  private fastEvents = 1;

  constructor() {
    const {harness} = this;
    this.sent = harness.lastSent;
    this.fast = ['r2', 'r3'].map(request => {
      harness.leaveTokens(this.sent.request.address, 10_000);
      harness.startStream({}, [], new FakeResponse(), {request});
      harness.freeAllTokens();
      return harness.lastSent;
    });
    for (const request of [this.sent, ...this.fast]) {
      harness.receiveHeadOf(request);
      harness.receiveEventsOf(request, 1);
    }
  }

  /** Lets time pass while the fast streams have events. */
  async advance(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += FAST_INTERVAL_MS) {
      await this.harness.advance(FAST_INTERVAL_MS);
      this.fastEvents++;
      for (const request of this.fast)
        this.harness.receiveEventsOf(request, this.fastEvents);
    }
  }
}

describe('a slow stream', () => {
  for (const intervalMs of [500, 1200]) {
    // Guards against cutting or repeating a stream that only is slow.
    it(`stays beside fast ones (${intervalMs} ms)`, async () => {
      const stream = new SlowStream();
      const {harness, sent} = stream;
      for (let id = 2; id < 8; id++) {
        await stream.advance(intervalMs);
        harness.receiveEventsOf(sent, id);
      }
      sent.handlers.onEnd();
      expect(harness.sentFor('r1').length).toEqual(1);
      expect(harness.res.writableFinished).toEqual(true);
    });
  }

  it('stays if its server runs no other', async () => {
    const harness = new RelayHarness();
    harness.receiveHead();
    for (let id = 1; id < 5; id++) {
      harness.receiveEvents(id);
      await harness.advance(3000);
    }
    harness.lastSent.handlers.onEnd();
    expect(harness.upstream.sent.length).toEqual(1);
    expect(harness.res.writableFinished).toEqual(true);
  });
});

describe('a stream that stalls within an event', () => {
  const text = `id: 2\ndata: ${'x'.repeat(300)}`;

  // Guards against bytes that look like progress and bring no event.
  it('leaves its server although bytes come from it', async () => {
    const stream = new SlowStream();
    const {harness, sent} = stream;
    for (const byte of text.slice(0, 15)) {
      sent.handlers.onData(Buffer.from(byte));
      await stream.advance(100);
    }
    expect(sent.isAborted).toEqual(true);
    expect(harness.sentFor('r1').length).toEqual(2);
  });

  // Guards against a stream without end.
  it('ends at its time limit if nothing else can run it', async () => {
    const harness = new RelayHarness({isResumable: false});
    const {handlers} = harness.lastSent;
    harness.receiveHead();
    harness.receiveEvents(1);
    for (let ms = 0; ms < DEADLINE_MS && !harness.res.destroyed; ms += 100) {
      handlers.onData(Buffer.from(text[ms / 100]));
      await harness.advance(100);
    }
    expect(harness.res.destroyed).toEqual(true);
    expect(harness.res.writableFinished).toEqual(false);
  });
});
