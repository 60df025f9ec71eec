/**
 * Servers that are only silent, or only slow to report, for a while, and whose
 * running streams are sound. Guards against starting or giving up such work.
 */
import {before, describe, it} from 'node:test';
import type {Route} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {StreamFleet} from './stream_fleet.js';

/** Numbers of entries of a small and of a large installation. */
const ENTRY_COUNTS = [8, 68];

const TRAFFIC = {soundPerSecond: 40, crashingPerSecond: 0};
const NO_TRAFFIC = {soundPerSecond: 0, crashingPerSecond: 0};

/** Time until streams run on all chains. */
const WARM_UP_MS = 3000;

/** Time within which all running streams end after the silence. */
const END_MS = 8000;

const SILENCE_MS = 1200;

/** Time within which a stream has its first event. */
const MAX_START_MS = 300;

/** Fraction of the chains whose first server falls silent. */
const SILENT_FRACTION = 0.3;

class SilentFleet {
  readonly fleet: StreamFleet;

  constructor(entries: number, route: Partial<Route> = {}) {
    this.fleet = new StreamFleet(3, entries);
    this.fleet.route = route;
  }

  /** Lets some first servers fall silent while their streams run. */
  async run(kind: 'silent' | 'unreported'): Promise<void> {
    const {fleet} = this;
    await fleet.advance(WARM_UP_MS, TRAFFIC);
    const firsts = fleet.firstServers();
    const count = Math.ceil(firsts.length * SILENT_FRACTION);
    for (const address of firsts.slice(0, count)) {
      if (kind === 'silent') fleet.silence(address, SILENCE_MS);
      else fleet.delayReports(address, SILENCE_MS);
    }
    await fleet.advance(SILENCE_MS, TRAFFIC);
    await fleet.advance(END_MS, NO_TRAFFIC);
  }

  /** Requests that ran before the silence and reached servers again. */
  get repeated(): number {
    const running = this.fleet.requests.filter(
      ({sentAtMs}) => sentAtMs <= WARM_UP_MS - MAX_START_MS,
    );
    return running.filter(({arrivals}) => arrivals > 1).length;
  }

  /** Requests that reached a server and whose answer is not complete. */
  get incomplete(): number {
    return this.fleet.requests.filter(
      ({arrivals, response}) => arrivals > 0 && !response.writableFinished,
    ).length;
  }
}

for (const entries of ENTRY_COUNTS) {
  describe(`streams of ${entries} entries on servers that are sound`, () => {
    describe('and slow to report', () => {
      const silent = new SilentFleet(entries);
      before(() => silent.run('unreported'));

      it('run once', () => {
        expect(silent.fleet.requests.length).toBeGreaterThan(50);
        expect(silent.repeated).toEqual(0);
      });

      it('complete', () => {
        expect(silent.incomplete).toEqual(0);
      });
    });

    describe('and silent, if they may not be repeated', () => {
      const silent = new SilentFleet(entries, {isResumable: false});
      before(() => silent.run('silent'));

      it('run once', () => {
        expect(silent.repeated).toEqual(0);
      });

      it('complete', () => {
        expect(silent.incomplete).toEqual(0);
      });
    });

    describe('and silent, if they may be resumed', () => {
      const silent = new SilentFleet(entries);
      before(() => silent.run('silent'));

      it(`run once on silent servers of ${entries} entries`, () => {
        expect(silent.repeated).toEqual(0);
      });

      it('complete', () => {
        expect(silent.incomplete).toEqual(0);
      });
    });
  });
}
