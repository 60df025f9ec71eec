/** Started streams whose prompt has a part that is blamed for lost servers. */
import {describe, it} from 'node:test';
import type {CrashId, SuspectKey} from '@azurecrank/forwarding';
import {RequestQuarantine} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {SERVICE} from './fleet_fixture.js';
import {RelayHarness, flushPromises} from './relay_harness.js';

const PART = 'part';
const KEY = `${SERVICE}/${PART}` as SuspectKey;
/** All entries pause for the same time. */
const NO_SPREAD = () => 0;

const FAILURE = {cause: 'reset', mayHaveRun: true};

/** Crashes that follow each other later count as independent. */
const CRASH_INTERVAL_MS = 400;

/** Time for which a part is blocked after two independent crashes. */
const SHORT_BLOCK_MS = 3000;

/** Time after which the last crash counts. */
const SETTLE_MS = 300;

/** A stream that has had its first event. */
function startedStream(): RelayHarness {
  const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
  const harness = new RelayHarness({}, [PART], quarantine);
  harness.receiveHead();
  harness.receiveEvents(1);
  return harness;
}

/** Has the part blamed for crashes of other requests. */
async function blame(harness: RelayHarness, crashes: number): Promise<void> {
  for (let i = 0; i < crashes; i++) {
    const crash = `other${i}@1` as CrashId;
    harness.quarantine.recordCrash([KEY], crash, harness.nowMs);
    const isLast = i === crashes - 1;
    await harness.advance(isLast ? SETTLE_MS : CRASH_INTERVAL_MS);
  }
}

async function loseServer(harness: RelayHarness): Promise<void> {
  harness.lastSent.handlers.onFailure(FAILURE);
  await flushPromises();
}

describe('a started stream with a blamed part', () => {
  // Guards against started answers that are closed with most of their time left
  // because others with the same part were lost (incident LOST).
  it('continues after a short block if it loses its server', async () => {
    const harness = startedStream();
    await blame(harness, 2);
    await loseServer(harness);
    expect(harness.res.destroyed).toEqual(false);
    expect(harness.upstream.sent.length).toEqual(1);
    await harness.advance(SHORT_BLOCK_MS - SETTLE_MS - 100);
    expect(harness.upstream.sent.length).toEqual(1);
    await harness.advance(200);
    expect(harness.upstream.sent.length).toEqual(2);
    harness.receiveHead();
    harness.receiveEvents(2);
    harness.lastSent.handlers.onEnd();
    await flushPromises();
    expect(harness.res.writableFinished).toEqual(true);
    expect(harness.res.body).toEqual('id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n');
  });

  it('waits on if the part is blamed while it waits for a chain', async () => {
    const harness = startedStream();
    harness.useAllTokens();
    await loseServer(harness);
    await blame(harness, 2);
    expect(harness.res.destroyed).toEqual(false);
    harness.freeAllTokens();
    await harness.advance(SHORT_BLOCK_MS);
    expect(harness.upstream.sent.length).toEqual(2);
  });

  it('keeps its turn when its run on another server is stopped', async () => {
    const harness = startedStream();
    await loseServer(harness);
    expect(harness.upstream.sent.length).toEqual(2);
    await blame(harness, 2);
    expect(harness.lastSent.isAborted).toEqual(true);
    expect(harness.res.destroyed).toEqual(false);
    await harness.advance(SHORT_BLOCK_MS);
    expect(harness.upstream.sent.length).toEqual(3);
  });

  // Guards against requests with such a part reaching further servers.
  it('is not sent to a server while the part is blocked', async () => {
    const harness = startedStream();
    await blame(harness, 2);
    await loseServer(harness);
    const [line] = harness.linesOf('stream waits for a chain');
    expect(line.waitsFor).toEqual('cleared_prompt');
    await harness.advance(SHORT_BLOCK_MS / 2);
    expect(harness.upstream.sent.length).toEqual(1);
  });

  it('ends at once if the block outlasts its time limit', async () => {
    const harness = startedStream();
    await blame(harness, 3);
    await loseServer(harness);
    expect(harness.res.destroyed).toEqual(true);
    const [line] = harness.linesOf('stream cut');
    expect(line.endedBy).toEqual('quarantined');
  });

  it('ends when a block begins that outlasts its time limit', async () => {
    const harness = startedStream();
    harness.useAllTokens();
    await loseServer(harness);
    await blame(harness, 3);
    expect(harness.res.destroyed).toEqual(true);
    const [line] = harness.linesOf('stream cut');
    expect(line.endedBy).toEqual('quarantined');
  });

  it('ends at once if it may not be resumed', async () => {
    const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
    const harness = new RelayHarness({isResumable: false}, [PART], quarantine);
    harness.receiveHead();
    harness.receiveEvents(1);
    await blame(harness, 2);
    await loseServer(harness);
    expect(harness.res.destroyed).toEqual(true);
  });
});
