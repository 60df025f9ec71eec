/** Streams whose callers do not read for a while. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  FakeResponse,
  RelayHarness,
  flushPromises,
  type SentRequest,
} from './relay_harness.js';

/** A response whose buffer is full until its caller reads. */
class FullResponse extends FakeResponse {
  isFull = false;

  override write(bytes: Buffer): boolean {
    super.write(bytes);
    return !this.isFull;
  }

  read(): void {
    this.isFull = false;
    this.emit('drain');
  }
}

/** Two streams on one chain, the first of which has a caller that reads late. */
class SlowCaller {
  readonly harness = new RelayHarness();
  readonly res = new FullResponse();
  readonly slow: SentRequest;
  private readonly other: SentRequest;
  private nextId = 2;

  constructor() {
    const {harness, res} = this;
    this.other = harness.lastSent;
    harness.leaveTokens(this.other.request.address, 10_000);
    harness.startStream({}, [], res, {request: 'slow'});
    harness.freeAllTokens();
    this.slow = harness.lastSent;
    for (const sent of [this.other, this.slow]) {
      harness.receiveHeadOf(sent);
      harness.receiveEventsOf(sent, 1);
    }
    res.isFull = true;
    harness.receiveEventsOf(this.slow, 2);
  }

  /** Lets time pass while the other stream has events. */
  async advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
      await this.harness.advance(50);
      this.harness.receiveEventsOf(this.other, this.nextId++);
    }
  }
}

describe('a stream whose caller does not read', () => {
  // Guards against a second run of a stream whose server is sound: it is the
  // entry that takes no events from it.
  it('is not taken for a stalled one', async () => {
    const caller = new SlowCaller();
    await caller.advance(1800);
    expect(caller.slow.isAborted).toEqual(false);
    caller.res.read();
    await caller.advance(200);
    expect(caller.slow.isAborted).toEqual(false);
    caller.harness.receiveEventsOf(caller.slow, 3);
    caller.slow.handlers.onEnd();
    await flushPromises();
    expect(caller.res.writableFinished).toEqual(true);
    expect(caller.harness.sentFor('slow').length).toEqual(1);
  });

  it('leaves a server that stalls after the caller has read', async () => {
    const caller = new SlowCaller();
    await caller.advance(1800);
    caller.res.read();
    await caller.advance(1500);
    expect(caller.slow.isAborted).toEqual(true);
    expect(caller.harness.sentFor('slow').length).toEqual(2);
  });
});
