import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {toId, type PeerAddress} from '@azurecrank/core';
import {referenceAnswer} from '@azurecrank/standins';
import {expect} from 'earl';
import fc from 'fast-check';
import {InMemoryFleet, LAYERS} from './in_memory_fleet.js';

const PROMPT = 'quote for hail nets';
const MAX_TOKENS = 6;
const EXPECTED = referenceAnswer(PROMPT, MAX_TOKENS, LAYERS);
const SEED = Number(process.env['SEED'] ?? Date.now() % 1_000_000);
const RUNS = Number(process.env['RUNS'] ?? 150);

/** Ample for a run without further faults. */
const MAX_QUIET_ROUNDS = 400;

/** Time after which lost steps are sent again. */
const RESEND_MS = 1000;

type Fault =
  | {
      readonly kind: 'deliver' | 'copy' | 'lose' | 'hold';
      readonly index: number;
    }
  | {readonly kind: 'kill'; readonly stage: number}
  | {readonly kind: 'reconnect'};

const fault: fc.Arbitrary<Fault> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({kind: fc.constant('deliver'), index: fc.nat(20)}),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('copy'), index: fc.nat(20)}),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('lose'), index: fc.nat(20)}),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('hold'), index: fc.nat(20)}),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('kill'), stage: fc.nat(2)}),
  },
  {weight: 1, arbitrary: fc.constant({kind: 'reconnect'})},
) as fc.Arbitrary<Fault>;

async function bringAbout(fleet: InMemoryFleet, next: Fault): Promise<void> {
  const {packets} = fleet.network;
  if (next.kind === 'reconnect') return fleet.network.resendExpected();
  if (next.kind === 'kill') {
    fleet.kill(toId<PeerAddress>(`a-${next.stage}`));
    return fleet.reportDead();
  }
  if (packets.length === 0) return;
  const index = next.index % packets.length;
  if (next.kind === 'deliver') await fleet.deliver(index);
  else if (next.kind === 'copy') await fleet.deliverCopy(index);
  else if (next.kind === 'hold') fleet.hold(index);
  else packets.splice(index, 1);
}

/** Delivers everything in order until the answer has ended. */
async function settle(fleet: InMemoryFleet): Promise<void> {
  for (let round = 0; round < MAX_QUIET_ROUNDS; round++) {
    while (fleet.network.packets.length > 0) await fleet.deliver(0);
    if (fleet.isEnded) return;
    fleet.reportDead();
    fleet.network.resendExpected();
    mock.timers.tick(RESEND_MS);
  }
}

describe(`stages and entry on a faulty network (seed ${SEED})`, () => {
  beforeEach(() => mock.timers.enable({apis: ['setTimeout', 'setInterval']}));
  afterEach(() => mock.timers.reset());

  function check(logBytes: number | undefined): Promise<void> {
    const property = fc.asyncProperty(
      fc.array(fault, {maxLength: 80}),
      async faults => {
        const fleet = new InMemoryFleet(PROMPT, MAX_TOKENS, logBytes);
        try {
          for (const next of faults) await bringAbout(fleet, next);
          await settle(fleet);
          await fleet.deliverHeld();
          expect(fleet.refusal).toEqual('');
          expect(fleet.text).toEqual(EXPECTED);
          for (const engine of fleet.engines.values()) {
            for (const count of engine.executions.values()) {
              expect(count).toEqual(1);
            }
          }
        } finally {
          fleet[Symbol.dispose]();
        }
      },
    );
    return fc.assert(property, {seed: SEED, numRuns: RUNS});
  }

  it('gives the whole answer and runs no position of a cache twice', () =>
    check(undefined));

  it('does so when activation logs are trimmed and replays are refused', () =>
    check(8));
});
