import {before, describe, it} from 'node:test';
import {expect} from 'earl';
import {CRASHING_PART, StreamFleet, SHARED_FIRST_PART} from './stream_fleet.js';

const SEEDS = [1, 2, 3, 4];
const ENTRY_COUNTS = [8, 48];

const SOUND = {soundPerSecond: 20, crashingPerSecond: 0};
const CRASHING = {soundPerSecond: 20, crashingPerSecond: 6};

/** Requests that may reach servers once a part counts as crashing. */
const MAX_LATE_ARRIVALS = 3;
/** Time from the fifth crash after which arrivals count. */
const CONTACT_MS = 3000;
/** Least share of the usual service that sound requests must keep. */
const MIN_SOUND_SHARE = 0.5;

/** Arrivals of crashing prompts later than the time from the fifth crash. */
function lateArrivals(fleet: StreamFleet): number {
  const fromMs = fleet.fifthCrashAtMs + CONTACT_MS;
  return fleet.crashingArrivalAtMs.filter(atMs => atMs > fromMs).length;
}

describe('prompts that end servers', () => {
  for (const entries of ENTRY_COUNTS) {
    for (const seed of SEEDS) {
      describe(`at ${entries} entries (seed ${seed})`, () => {
        const fleet = new StreamFleet(seed, entries);
        const CRASHING_FROM_MS = 10_000;
        const END_MS = 40_000;

        before(async () => {
          await fleet.advance(CRASHING_FROM_MS, SOUND);
          await fleet.advance(END_MS - CRASHING_FROM_MS, CRASHING);
        });

        // Guards against requests with one part ending server after server
        // (incident 7).
        it(`stop reaching servers: ${entries} entries, seed ${seed}`, () => {
          expect(fleet.crashAtMs.length).toBeGreaterThan(1);
          expect(lateArrivals(fleet)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
        });

        // Guards against refusing the neighbours of such requests
        // (incident 7).
        it(`leave sound requests with the same first part alone: ${entries} entries, seed ${seed}`, () => {
          const isNeighbour = (parts: readonly string[]) =>
            parts.includes(SHARED_FIRST_PART);
          const usual = fleet.fractionBegun(0, CRASHING_FROM_MS, isNeighbour);
          const lastMs = fleet.crashAtMs[4] ?? fleet.crashAtMs.at(-1) ?? 0;
          const fromMs = lastMs + 2 * CONTACT_MS;
          const later = fleet.fractionBegun(fromMs, END_MS, isNeighbour);
          expect(later).toBeGreaterThanOrEqual(MIN_SOUND_SHARE * usual);
        });
      });
    }
  }

  it('are no longer served once an entry has been restarted', async () => {
    const fleet = new StreamFleet(5, 8);
    await fleet.advance(5000, SOUND);
    await fleet.advance(10_000, CRASHING);
    const fromMs = fleet.nowMs;
    fleet.restartEntry(0);
    fleet.restartEntry(1);
    await fleet.advance(15_000, CRASHING);
    const arrivals = fleet.crashingArrivalAtMs.filter(atMs => atMs > fromMs);
    expect(arrivals.length).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
  });

  // Guards against blaming parts for servers that end for other reasons.
  it('are not found among sound prompts while servers end by themselves', async () => {
    const fleet = new StreamFleet(6, 8);
    await fleet.advance(10_000, SOUND);
    const usual = fleet.fractionBegun(0, 10_000, () => true);
    for (let i = 0; i < 12; i++) {
      fleet.endServer(i);
      if (i % 3 === 0) fleet.endServer(i + 1);
      await fleet.advance(1500, SOUND);
    }
    const fromMs = fleet.nowMs + 2 * CONTACT_MS;
    await fleet.advance(16_000, SOUND);
    const after = fleet.fractionBegun(fromMs, fleet.nowMs - 1000, () => true);
    expect(after).toBeGreaterThanOrEqual(usual * 0.9);
    expect(fleet.requests.some(r => r.parts.includes(CRASHING_PART))).toEqual(
      false,
    );
  });
});
