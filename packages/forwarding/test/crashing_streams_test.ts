/**
 * Load: one stream is requested again and again, and ends each server that runs
 * it, while sound streams with the same first part go to the same servers.
 */
import {describe, it} from 'node:test';
import {
  requestKey,
  runningRequestKey,
  type CrashId,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {FakeResponse, RelayHarness, flushPromises} from './relay_harness.js';
import {SHARED_FIRST_PART, StreamFleet} from './stream_fleet.js';

const SOUND = {soundPerSecond: 20, crashingPerSecond: 0};
const CRASHING = {soundPerSecond: 20, crashingPerSecond: 3};
const CRASHING_FROM_MS = 10_000;
const END_MS = 50_000;
/** Time from the third crash after which arrivals count. */
const CONTACT_MS = 3000;
const MAX_LATE_ARRIVALS = 3;
/** Least share of the usual service that sound requests must keep. */
const MIN_SOUND_SHARE = 0.7;

function lateArrivals({crashAtMs, crashingArrivalAtMs}: StreamFleet): number {
  const fromMs = (crashAtMs[2] ?? Infinity) + CONTACT_MS;
  return crashingArrivalAtMs.filter(atMs => atMs > fromMs).length;
}

// Guards against a stream that ends server after server (incident 18).
describe('a stream that ends servers', () => {
  for (const eventsBeforeCrash of [0, 2, 12]) {
    for (const entries of [8, 48]) {
      for (const seed of [1, 2, 3]) {
        it(`stops reaching them: after ${eventsBeforeCrash} events, ${entries} entries, seed ${seed}`, async () => {
          const fleet = new StreamFleet(seed, entries);
          fleet.crashingBy = 'request';
          fleet.eventsBeforeCrash = eventsBeforeCrash;
          await fleet.advance(CRASHING_FROM_MS, SOUND);
          await fleet.advance(END_MS - CRASHING_FROM_MS, CRASHING);
          expect(fleet.crashAtMs.length).toBeGreaterThanOrEqual(2);
          expect(lateArrivals(fleet)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
          const isNeighbour = (parts: readonly string[]) =>
            parts.includes(SHARED_FIRST_PART);
          const usual = fleet.fractionBegun(0, CRASHING_FROM_MS, isNeighbour);
          const thirdMs = fleet.crashAtMs[2] ?? fleet.crashAtMs.at(-1) ?? 0;
          const fromMs = thirdMs + 3 * CONTACT_MS;
          const later = fleet.fractionBegun(fromMs, END_MS, isNeighbour);
          expect(later).toBeGreaterThanOrEqual(MIN_SOUND_SHARE * usual);
        });
      }
    }
  }
});

describe('evidence against a stream', () => {
  const suspectsOf = ({quarantine, nowMs}: RelayHarness) =>
    quarantine.report(nowMs).suspects.map(({key}) => key);

  // Guards against a request that is not suspected, as it names no parts.
  it('is recorded without parts of its prompt', async () => {
    const harness = new RelayHarness();
    const [first] = harness.pathAddresses();
    harness.control.refusingConnections.add(first);
    harness.lastSent.handlers.onFailure({cause: 'closed', mayHaveRun: true});
    await flushPromises();
    expect(suspectsOf(harness)).toEqual([requestKey(harness.digest)]);
  });

  // Guards against ends of later servers of a path, of which nobody is asked.
  it('is recorded if a later server of its path has ended', async () => {
    const harness = new RelayHarness();
    const later = harness.pathAddresses()[3];
    harness.control.refusingConnections.add(later);
    harness.lastSent.handlers.onFailure({cause: 'closed', mayHaveRun: true});
    for (let i = 0; i < 5; i++) await flushPromises();
    expect(suspectsOf(harness)).toEqual([requestKey(harness.digest)]);
  });

  it('is recorded if a later server ends while the run goes on', async () => {
    const harness = new RelayHarness();
    const later = harness.pathAddresses()[3];
    harness.control.refusingConnections.add(later);
    harness.fleet.suspect(later);
    harness.relay.tick((harness.nowMs += 50));
    await flushPromises();
    expect(suspectsOf(harness)).toEqual([requestKey(harness.digest)]);
  });

  // Guards against a caller who leaves before its request ends the server.
  it('is recorded if the server ends after the caller has left', async () => {
    const harness = new RelayHarness();
    const [first] = harness.pathAddresses();
    harness.res.destroy();
    harness.failureDetector.suspectServer(first, 'ECONNREFUSED', 0);
    expect(suspectsOf(harness)).toEqual([requestKey(harness.digest)]);
  });

  // Guards against a trial after each caller who leaves before the outcome.
  it('lets no other trial start while the server may go on with one', async () => {
    const harness = new RelayHarness();
    const key = requestKey(harness.digest);
    for (const id of ['a', 'b'])
      harness.quarantine.recordCrash([key], `${id}@1` as CrashId, 1000);
    harness.nowMs = 2000;
    const response = new FakeResponse();
    harness.startStream({}, [], response, {request: 'again'});
    expect(harness.upstream.sent.length).toEqual(2);
    response.destroy();
    expect(harness.quarantine.blockedForMs([key], 2500)).toBeGreaterThan(0);
  });

  it('is of its own kind once the stream has gone on for a while', async () => {
    const harness = new RelayHarness();
    for (let loss = 0; loss < 2; loss++) {
      if (loss === 0) harness.receiveHead();
      harness.receiveEvents(3 * loss + 1, 3 * loss + 2);
      harness.nowMs += 300;
      harness.receiveEvents(3 * loss + 3);
      const [first] = harness.pathAddresses();
      harness.control.refusingConnections.add(first);
      harness.lastSent.handlers.onFailure({cause: 'closed', mayHaveRun: true});
      await harness.advance(300);
      if (loss === 0) harness.receiveHead();
    }
    expect(suspectsOf(harness)).toEqual([runningRequestKey(harness.digest)]);
  });
});
