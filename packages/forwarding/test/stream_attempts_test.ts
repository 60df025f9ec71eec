/** Started streams that servers break off again before their next event. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RelayHarness, flushPromises} from './relay_harness.js';

const FAILURE = {cause: 'reset', mayHaveRun: true};

/** A stream that has had an event and may run on each of its servers. */
function startedStream(): RelayHarness {
  const harness = new RelayHarness({maxAttempts: 10});
  harness.receiveHead();
  harness.receiveEvents(1);
  return harness;
}

/** Lets time pass while each run of the stream is reset at once. */
async function resetRuns(
  harness: RelayHarness,
  durationMs: number,
): Promise<void> {
  const endMs = harness.nowMs + durationMs;
  let failed = -1;
  while (harness.nowMs < endMs) {
    const {length} = harness.upstream.sent;
    if (length - 1 > failed) {
      failed = length - 1;
      harness.upstream.sent[failed].handlers.onFailure(FAILURE);
      await flushPromises();
    } else await harness.advance(50);
  }
}

describe('a started stream whose servers break it off', () => {
  // Guards against started answers that use up their attempts within 300 ms and
  // are closed with most of their time left (incident LOST).
  it('goes on if the servers are sound again after a second', async () => {
    const harness = startedStream();
    await resetRuns(harness, 1000);
    await harness.advance(1000);
    expect(harness.res.destroyed).toEqual(false);
    harness.receiveHead();
    harness.receiveEvents(2);
    harness.lastSent.handlers.onEnd();
    await flushPromises();
    expect(harness.res.writableFinished).toEqual(true);
  });

  it('continues at once after the first two losses', async () => {
    const harness = startedStream();
    for (const attempts of [2, 3]) {
      harness.lastSent.handlers.onFailure(FAILURE);
      await flushPromises();
      expect(harness.upstream.sent.length).toEqual(attempts);
    }
  });

  it('continues at once after a loss that follows an event', async () => {
    const harness = startedStream();
    for (const attempts of [2, 3, 4, 5]) {
      harness.lastSent.handlers.onFailure(FAILURE);
      await harness.advance(50);
      expect(harness.upstream.sent.length).toEqual(attempts);
      harness.receiveHead();
      harness.receiveEvents(attempts);
    }
  });

  it('says that it waits for its next attempt', async () => {
    const harness = startedStream();
    await resetRuns(harness, 100);
    const waits = harness.linesOf('stream waits for a chain');
    expect(waits.map(({waitsFor}) => waitsFor)).toEqual(['next_attempt']);
  });

  it('uses no more attempts than before', async () => {
    const harness = startedStream();
    await resetRuns(harness, 5000);
    expect(harness.upstream.sent.length).toEqual(6);
    const [line] = harness.linesOf('stream cut');
    expect(line.endedBy).toEqual('attempts');
  });
});
