import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {FailureDetector, StallDetector, type PeerEvent} from '../src/index.js';

const seed = Number(process.env['SEED'] ?? Date.now() % 1_000_000);
console.log(`detection seed ${seed}`);

type EventType = Exclude<PeerEvent['type'], 'paused'>;

const STEP_MS = 50;

/** Sends a `tick` every 50 ms and returns the decisions other than pings. */
function tickUntil(detector: FailureDetector, fromMs: number, toMs: number) {
  const decisions: string[] = [];
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += STEP_MS) {
    const decision = detector.handle({type: 'tick', nowMs});
    if (decision && decision !== 'send_ping') {
      decisions.push(`${decision}@${nowMs}`);
    }
  }
  return decisions;
}

function createBusy(): FailureDetector {
  const detector = new FailureDetector(0);
  detector.handle({type: 'sent_expecting_answer', nowMs: 0});
  return detector;
}

describe('detection', () => {
  describe('SilenceDetector', () => {
    it('probes after 600 ms and declares down 300 ms later', () => {
      const decisions = tickUntil(createBusy(), 0, 1500);
      expect(decisions).toEqual(['probe@650', 'declare_down@1000']);
    });

    it('replaces the connection when the probe is answered', () => {
      const detector = createBusy();
      tickUntil(detector, 0, 650);
      const decision = detector.handle({type: 'probe_answered', nowMs: 700});
      expect(decision).toEqual('replace_connection');
      expect(detector.state).toEqual('up');
      expect(tickUntil(detector, 700, 1250)).toEqual([]);
    });

    it('does not probe a slow peer that sends before the timeout', () => {
      const detector = createBusy();
      for (let nowMs = 0; nowMs < 10_000; nowMs += 500) {
        expect(tickUntil(detector, nowMs, nowMs + 450)).toEqual([]);
        detector.handle({type: 'received', nowMs: nowMs + 500});
      }
    });

    it('starts silence with the first outstanding message', () => {
      const detector = new FailureDetector(0);
      expect(tickUntil(detector, 0, 5000)).toEqual([]);
      detector.handle({type: 'sent_expecting_answer', nowMs: 5000});
      expect(tickUntil(detector, 5000, 5600)).toEqual([]);
    });

    it('does not count a pause of this process as silence', () => {
      const detector = createBusy();
      detector.handle({type: 'paused', nowMs: 5000, pausedMs: 5000});
      expect(tickUntil(detector, 5000, 5600)).toEqual([]);
      expect(tickUntil(detector, 5650, 5650)).toEqual(['probe@5650']);
      detector.handle({type: 'paused', nowMs: 9000, pausedMs: 3350});
      expect(tickUntil(detector, 9000, 9300)).toEqual([]);
    });

    it('ends a suspicion when no answer is outstanding any more', () => {
      const detector = createBusy();
      tickUntil(detector, 0, 650);
      detector.handle({type: 'settled', nowMs: 700});
      expect(tickUntil(detector, 700, 5000)).toEqual([]);
    });

    describe('pings', () => {
      const countPings = (detector: FailureDetector, receivesData: boolean) => {
        let pings = 0;
        for (let nowMs = 0; nowMs <= 2000; nowMs += STEP_MS) {
          if (receivesData) detector.handle({type: 'received', nowMs});
          if (detector.handle({type: 'tick', nowMs}) === 'send_ping') pings++;
        }
        return pings;
      };

      it('are sent every 200 ms of silence while an answer is due', () => {
        expect(countPings(createBusy(), false)).toEqual(3);
      });

      it('are sent every 2 s despite traffic, to carry versions', () => {
        expect(countPings(createBusy(), true)).toEqual(1);
      });

      it('are sent every 2 s on an idle connection', () => {
        expect(countPings(new FailureDetector(0), false)).toEqual(1);
      });
    });

    it('probes a peer that is down and marks it up after an answer', () => {
      const detector = createBusy();
      tickUntil(detector, 0, 1000);
      expect(tickUntil(detector, 1050, 3000)).toEqual(['probe@3000']);
      detector.handle({type: 'probe_answered', nowMs: 3050});
      expect(detector.state).toEqual('up');
    });

    it('declares a peer down only while an answer is outstanding', () => {
      const events = fc.array(
        fc.record({
          type: fc.constantFrom<EventType>(
            'received',
            'sent_expecting_answer',
            'settled',
            'tick',
            'probe_answered',
            'probe_failed',
          ),
          afterMs: fc.nat(700),
        }),
        {maxLength: 60},
      );
      const property = fc.property(events, list => {
        const detector = new FailureDetector(0);
        let nowMs = 0;
        for (const {type, afterMs} of list) {
          nowMs += afterMs;
          if (detector.handle({type, nowMs}) === 'declare_down') {
            expect(detector.outstanding > 0).toEqual(true);
          }
        }
      });
      fc.assert(property, {seed, numRuns: 500});
    });
  });

  describe('StallDetector', () => {
    it('reports a step once, after eight times the expected time', () => {
      const detector = new StallDetector();
      detector.started('a', 50, 0);
      detector.started('b', 50, 0);
      detector.finished('b');
      expect(detector.removeStalled(400)).toEqual([]);
      expect(detector.removeStalled(401)).toEqual(['a']);
      expect(detector.removeStalled(500)).toEqual([]);
    });

    it('does not count a pause of this process as running time', () => {
      const detector = new StallDetector();
      detector.started('a', 50, 0);
      detector.paused(1000);
      expect(detector.removeStalled(1400)).toEqual([]);
    });
  });
});
