import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {RETRIES_COUNTER, type Call, type Refused} from '@azurecrank/core';
import type {CallAnswer, CallHandler} from '../src/index.js';
import {CallHarness, Gate, waitUntil} from './call_harness.js';

function summary(answer: CallAnswer): string {
  if (answer.type === 'refused') return `${answer.reason} ${answer.ran}`;
  return `${answer.status}${answer.replayed ? ' replayed' : ''}`;
}

async function run(handler: CallHandler, call: Call): Promise<string> {
  return summary(await handler.handle(call));
}

/** Blocks this thread, like a process that is suspended. */
function freezeThread(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

describe('CallHandler', () => {
  let harness: CallHarness;
  beforeEach(async () => {
    harness = await CallHarness.start();
  });
  afterEach(() => harness[Symbol.dispose]());

  const cancel = (handler: CallHandler, {request, attempt}: Call) =>
    handler.cancel({type: 'cancel', request, attempt}).ran;

  describe('calls with one idempotency key', () => {
    it('take effect once if two side processes receive them concurrently', async () => {
      const sides = [harness.addSide(), harness.addSide()];
      for (let round = 0; round < 10; round++) {
        const key = `both-${round}`;
        await Promise.all(
          [0, 1, 0, 1].map(index =>
            run(sides[index].handler, harness.call(key)),
          ),
        );
        expect(harness.effectsOfKey(key)).toEqual(1);
      }
    });

    it('get the recorded answer from another side process', async () => {
      const [one, two] = [harness.addSide(), harness.addSide()];
      const first = await one.handler.handle(harness.call('k'));
      await one.claims.flushOutcomes();
      const second = await two.handler.handle(harness.call('k'));
      expect([summary(first), summary(second)]).toEqual([
        '200',
        '200 replayed',
      ]);
      if (first.type === 'refused' || second.type === 'refused') return;
      expect(Buffer.from(second.body)).toEqual(Buffer.from(first.body));
    });

    it('get an answer whose record is not written yet', async () => {
      const {handler, kv} = harness.addSide({recordDelayMs: 60_000});
      const answers = [
        await run(handler, harness.call('k')),
        await run(handler, harness.call('k')),
      ];
      expect(answers).toEqual(['200', '200 replayed']);
      expect(kv.writeCount).toEqual(2);
    });

    it('are refused if the body differs', async () => {
      const {handler, claims} = harness.addSide();
      await run(handler, harness.call('k'));
      await claims.flushOutcomes();
      const other = harness.call('k', {body: Buffer.from('{"a":1}')});
      expect(await run(handler, other)).toEqual('key_reused not_run');
      expect(harness.effectsOf(other)).toEqual(0);
    });

    it('use the stored page count, so that settings cannot split a key', async () => {
      const one = harness.addSide({pages: 3});
      const two = harness.addSide({pages: 64});
      for (let index = 0; index < 8; index++) {
        await run(one.handler, harness.call(`k${index}`));
        await one.claims.flushOutcomes();
        const retry = await run(two.handler, harness.call(`k${index}`));
        expect(retry).toEqual('200 replayed');
      }
    });

    it('report that the call ran if its answer was too large to keep', async () => {
      const {handler, claims} = harness.addSide({maxAnswerBytes: 5});
      await run(handler, harness.call('k'));
      await claims.flushOutcomes();
      const retry = await run(handler, harness.call('k'));
      expect(retry).toEqual('outcome_unknown ran');
    });

    it('run again after the retention time of the claim', async () => {
      const {handler, claims} = harness.addSide({retentionMs: 30});
      await run(handler, harness.call('k'));
      await claims.flushOutcomes();
      const endMs = Date.now() + 40;
      await waitUntil(() => Date.now() > endMs);
      expect(await run(handler, harness.call('k'))).toEqual('200');
    });
  });

  describe('a claim holder that fails or is suspended', () => {
    it('leaves its claim in progress if it fails before the record', async () => {
      const [lost, other] = [harness.addSide(), harness.addSide()];
      lost.service.onCall = async call => {
        const outcome = await call();
        lost.claims[Symbol.dispose]();
        return outcome;
      };
      await run(lost.handler, harness.call('k', {deadlineMs: 150}));
      const early = await run(other.handler, harness.call('k'));
      expect(early).toEqual('claim_in_progress unknown');
      const endMs = Date.now() + 250;
      await waitUntil(() => Date.now() > endMs);
      const late = await run(other.handler, harness.call('k'));
      expect(late).toEqual('outcome_unknown unknown');
      expect(harness.effectsOfKey('k')).toEqual(1);
    });

    it('does not call the service after a suspension past the deadline', async () => {
      const {handler, kv, claims} = harness.addSide();
      kv.onWrite = async write => {
        const outcome = await write();
        if (kv.writeCount === 1) freezeThread(300);
        return outcome;
      };
      const call = harness.call('k', {deadlineMs: 200});
      expect(await run(handler, call)).toEqual('deadline_exceeded not_run');
      await claims.flushOutcomes();
      expect(harness.effectsOfKey('k')).toEqual(0);
      expect(await run(handler, harness.call('k'))).toEqual('200');
    });

    it('subtracts a suspension from the deadline of a call that waited in a socket', async () => {
      const {handler} = harness.addSide();
      freezeThread(400);
      const call = harness.call('k', {deadlineMs: 200});
      expect(await run(handler, call)).toEqual('deadline_exceeded not_run');
    });

    it('keeps its claim, and does not call the service when it resumes late', async () => {
      const [frozen, other] = [harness.addSide(), harness.addSide()];
      const gate = new Gate();
      frozen.kv.onWrite = async write => {
        const outcome = await write();
        await gate.wait();
        return outcome;
      };
      const first = run(frozen.handler, harness.call('k', {deadlineMs: 150}));
      await waitUntil(() => gate.arrivalCount === 1);
      const retries: string[] = [];
      const endMs = Date.now() + 250;
      while (Date.now() < endMs) {
        retries.push(await run(other.handler, harness.call('k')));
      }
      gate.release();
      expect([retries[0], retries.at(-1)]).toEqual([
        'claim_in_progress unknown',
        'outcome_unknown unknown',
      ]);
      await first;
      expect(harness.effectsOfKey('k')).toEqual(0);
    });
  });

  describe('faults of the key-value service', () => {
    for (const lostWrite of [1, 2]) {
      it(`resolves a lost answer to write ${lostWrite} by its nonce`, async () => {
        const {handler, kv, claims, metrics} = harness.addSide();
        kv.onWrite = async write => {
          const isLost = kv.writeCount === lostWrite;
          if (isLost) harness.kv.faults.loseAnswers = 1;
          return write();
        };
        expect(await run(handler, harness.call('k'))).toEqual('200');
        await claims.flushOutcomes();
        const reason = 'kv_answer_lost';
        expect(metrics.counterValue(RETRIES_COUNTER, {reason})).toEqual(1);
        expect(await run(handler, harness.call('k'))).toEqual('200 replayed');
        expect(harness.effectsOfKey('k')).toEqual(1);
      });
    }

    it('refuses calls before they run while the service is down', async () => {
      const {handler} = harness.addSide();
      await run(handler, harness.call('before'));
      harness.kv.faults.down = true;
      const call = harness.call('k');
      expect(await run(handler, call)).toEqual(
        'claim_store_unavailable not_run',
      );
      harness.kv.faults.down = false;
      const endMs = Date.now() + 60;
      await waitUntil(() => Date.now() > endMs);
      expect(harness.effectsOf(call)).toEqual(0);
      expect(await run(handler, harness.call('k'))).toEqual('200');
    });

    it('refuses later calls immediately while the service does not answer', async () => {
      const {handler} = harness.addSide({
        claimTimeoutMs: 100,
        maxBackoffMs: 2000,
      });
      await run(handler, harness.call('before'));
      harness.kv.faults.frozen = true;
      await run(handler, harness.call('k'));
      const startMs = performance.now();
      for (let index = 0; index < 20; index++) {
        const answer = await run(handler, harness.call(`k${index}`));
        expect(answer).toEqual('claim_store_unavailable not_run');
      }
      expect(performance.now() - startMs).toBeLessThan(100);
    });

    it('answers the caller and records later if the service fails after the claim', async () => {
      const {handler, service, claims} = harness.addSide();
      service.onCall = call => {
        harness.kv.faults.down = true;
        return call();
      };
      expect(await run(handler, harness.call('k'))).toEqual('200');
      expect(claims.unrecordedCount).toEqual(1);
      harness.kv.faults.down = false;
      await claims.flushOutcomes();
      expect(await run(handler, harness.call('k'))).toEqual('200 replayed');
    });

    it('does not run a call whose claim was written after the refusal', async () => {
      const {handler, kv} = harness.addSide({claimTimeoutMs: 60});
      const gate = new Gate();
      kv.onWrite = async write => {
        await gate.wait();
        return write();
      };
      const call = harness.call('k');
      expect(await run(handler, call)).toEqual(
        'claim_store_unavailable not_run',
      );
      gate.release();
      await waitUntil(() => kv.writeCount === 2);
      expect(harness.effectsOf(call)).toEqual(0);
    });

    it('refuses a key whose page is full', async () => {
      const {handler, claims} = harness.addSide({
        pages: 1,
        maxAnswerBytes: 900_000,
      });
      const body = Buffer.alloc(700_000);
      const status = 200;
      await run(handler, harness.call('first'));
      await claims.flushOutcomes();
      const claimed = await claims.claim({
        ...harness.call('large'),
        deadlineMs: 1000,
      });
      if (claimed.kind !== 'claimed') throw new Error(claimed.kind);
      await claims.recordDone(claimed.ticket, {status, body, headers: {}});
      const filled = await claims.claim({
        ...harness.call('more'),
        deadlineMs: 1000,
      });
      if (filled.kind !== 'claimed') throw new Error(filled.kind);
      const rest = Buffer.alloc(19_000);
      await claims.recordDone(filled.ticket, {status, body: rest, headers: {}});
      const answers: string[] = [];
      while (answers.length < 5 && !answers.at(-1)?.startsWith('claim_page')) {
        answers.push(await run(handler, harness.call(`k${answers.length}`)));
      }
      expect(answers.at(-1)).toEqual('claim_page_full not_run');
    });
  });

  describe('cancel', () => {
    it('prevents a claimed call from running and reports not_run', async () => {
      const {handler, kv} = harness.addSide();
      const gate = new Gate();
      kv.onWrite = async write => {
        await gate.wait();
        return write();
      };
      const call = harness.call('k');
      const answer = run(handler, call);
      await waitUntil(() => gate.arrivalCount === 1);
      expect(cancel(handler, call)).toEqual('not_run');
      gate.release();
      expect(await answer).toEqual('caller_left not_run');
      expect(harness.effectsOf(call)).toEqual(0);
    });

    it('reports unknown once the call was started', async () => {
      const {handler, service} = harness.addSide();
      const gate = new Gate();
      service.onCall = async call => {
        await gate.wait();
        return call();
      };
      const call = harness.call('k');
      const answer = run(handler, call);
      await waitUntil(() => gate.arrivalCount === 1);
      expect(cancel(handler, call)).toEqual('unknown');
      gate.release();
      expect(await answer).toEqual('200');
      expect(cancel(handler, call)).toEqual('ran');
    });

    it('blocks a call that arrives later, but reports unknown', async () => {
      const {handler} = harness.addSide();
      const call = harness.call('k');
      expect(cancel(handler, call)).toEqual('unknown');
      expect(await run(handler, call)).toEqual('caller_left unknown');
      expect(harness.effectsOf(call)).toEqual(0);
    });
  });

  describe('duplicates, draining and the queue', () => {
    it('runs a request id once without an idempotency key', async () => {
      const {handler} = harness.addSide();
      const call = harness.call('');
      const both = [run(handler, call), run(handler, call)];
      const answers = await Promise.all(both);
      answers.push(await run(handler, call));
      expect(answers).toEqual(['200', '200', '200']);
      expect(harness.effectsOf(call)).toEqual(1);
    });

    it('refuses new calls while draining and finishes the others', async () => {
      const {handler, service} = harness.addSide();
      const gate = new Gate();
      service.onCall = async call => {
        await gate.wait();
        return call();
      };
      const accepted = run(handler, harness.call('k'));
      await waitUntil(() => gate.arrivalCount === 1);
      handler.startDraining();
      expect(await run(handler, harness.call('l'))).toEqual('leaving not_run');
      gate.release();
      await handler.drained();
      expect(await accepted).toEqual('200');
    });

    it('serves waiting calls by rank and sheds the lowest rank', async () => {
      const {handler, service} = harness.addSide(
        {},
        {maxInFlight: 1, maxWaiting: 2},
      );
      const gate = new Gate();
      service.onCall = async call => {
        await gate.wait();
        return call();
      };
      const order: string[] = [];
      const send = async (rank: Call['rank']) => {
        const answer = await handler.handle(harness.call('', {rank}));
        const reason = (answer as Partial<Refused>).reason ?? 'ok';
        order.push(`${rank} ${reason}`);
      };
      const first = send('ordinary');
      await waitUntil(() => gate.arrivalCount === 1);
      const all = [first, send('overnight'), send('ordinary'), send('urgent')];
      await all[1];
      await send('overnight');
      gate.release();
      await Promise.all(all);
      expect(order).toEqual([
        'overnight shed_for_higher_rank',
        'overnight queue_full',
        'ordinary ok',
        'urgent ok',
        'ordinary ok',
      ]);
    });
  });
});
