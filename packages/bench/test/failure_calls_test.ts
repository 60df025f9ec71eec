import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {sendPlainCall} from '../src/index.js';
import type {CallResult, RunningProcess} from '../src/index.js';
import {
  DESK,
  FailureFleet,
  WORKSPACE,
  getJson,
  until,
} from './failure_fleet.js';
import type {Desk} from './failure_fleet.js';

const CALL_MS = 300;
const CLAIM_WRITES = 'PUT /kv/claims';

/** Guards against calls that run twice, or ran although said not to. */
describe('plain calls under failures', () => {
  const all = new FailureFleet();
  const sent: {reference: string; outcome: CallResult}[] = [];
  const keys = new Set<string>();

  before(() => all.start({entries: 2, desks: 2, callMs: CALL_MS}));
  after(() => all[Symbol.dispose]());

  async function effects(): Promise<Record<string, number>> {
    const urls = all.desks.map(({serviceUrl}) => `${serviceUrl}/effects`);
    const counts = await Promise.all(
      urls.map(url => getJson<Record<string, number>>(url)),
    );
    const sum: Record<string, number> = {};
    for (const [name, count] of counts.flatMap(c => Object.entries(c))) {
      sum[name] = (sum[name] ?? 0) + count;
    }
    return sum;
  }

  /** Each request has its own reference, so that its own effect shows. */
  async function call(
    entry: RunningProcess,
    key: string,
    headers = {},
    isKeyed = true,
  ): Promise<CallResult> {
    const reference = `${key}/${sent.length}`;
    const record = {reference, outcome: undefined as unknown as CallResult};
    sent.push(record);
    keys.add(key);
    record.outcome = await sendPlainCall({
      url: entry.httpUrl,
      bearerKey: WORKSPACE,
      service: DESK,
      method: 'POST',
      path: '/bookings',
      body: key,
      reference,
      headers,
      ...(isKeyed && {idempotencyKey: key}),
    });
    return record.outcome;
  }

  async function countOf(key: string): Promise<number> {
    return Object.entries(await effects())
      .filter(([name]) => name.startsWith(`${key}/`))
      .reduce((sum, [, count]) => sum + count, 0);
  }

  /** Resolves with the side whose service shows the effect of the key. */
  async function sideOf(key: string): Promise<Desk> {
    let found: Desk | undefined;
    await until(`effect of ${key}`, async () => {
      for (const desk of all.desks) {
        const counts = await getJson<object>(`${desk.serviceUrl}/effects`);
        const names = Object.keys(counts);
        if (names.some(name => name.startsWith(`${key}/`))) found = desk;
      }
      return found !== undefined;
    });
    return found as Desk;
  }

  /** Retries with the key until it is answered as expected. */
  async function retryUntil(
    key: string,
    isExpected: (outcome: CallResult) => boolean,
  ): Promise<void> {
    await until(`answer to a retry of ${key}`, async () =>
      isExpected(await call(all.entries[1], key)),
    );
  }

  const isReplay = (outcome: CallResult) =>
    outcome.status === 200 && outcome.isReplayed;

  /** Both sides take calls from both entries again. */
  async function settle(): Promise<void> {
    await all.keyValueFaults({down: false, loseAnswers: 0, loseOnly: ''});
    const probes = all.entries.flatMap(entry => Array(4).fill(entry));
    const answered = probes.map((entry: RunningProcess) =>
      until('all calls are answered', async () => {
        const key = `probe-${sent.length}`;
        return (await call(entry, key)).status === 200;
      }),
    );
    await Promise.all(answered);
  }

  it('side is killed between effect and answer', async () => {
    const first = call(all.entries[0], 'killed-side');
    const desk = await sideOf('killed-side');
    desk.side.program.kill('SIGKILL');
    const retry = await call(all.entries[1], 'killed-side');
    const {status, ran} = await first;
    expect({status, ran}).toEqual({status: 502, ran: 'unknown'});
    expect(retry.status === 200).toEqual(false);
    desk.side = await all.startDeskSide(desk);
    await retryUntil('killed-side', ({reason}) => reason === 'outcome_unknown');
    expect(await countOf('killed-side')).toEqual(1);
  });

  it('entry is killed between effect and answer', async () => {
    await settle();
    const first = call(all.entries[0], 'killed-entry');
    await sideOf('killed-entry');
    all.entries[0].program.kill('SIGKILL');
    await retryUntil('killed-entry', isReplay);
    expect((await first).status).toEqual(0);
    expect(await countOf('killed-entry')).toEqual(1);
    all.entries[0] = await all.fleet.startEntry('entry-0');
  });

  it('side is frozen before the call and thaws after the deadline', async () => {
    await settle();
    for (const {side} of all.desks) side.program.kill('SIGSTOP');
    const deadline = {'azurecrank-deadline-ms': '300'};
    const outcome = await call(all.entries[0], 'frozen-early', deadline);
    expect(outcome.reason).toEqual('deadline_exceeded');
    expect(outcome.ran).toEqual('unknown');
    for (const {side} of all.desks) side.program.kill('SIGCONT');
    await settle();
    expect(await countOf('frozen-early')).toEqual(0);
  });

  it('side is frozen between effect and answer past the deadline', async () => {
    const deadline = {'azurecrank-deadline-ms': '500'};
    const first = call(all.entries[0], 'frozen-late', deadline);
    const {side} = await sideOf('frozen-late');
    side.program.kill('SIGSTOP');
    expect((await first).ran).toEqual('unknown');
    const retry = await call(all.entries[1], 'frozen-late', deadline);
    expect(retry.status === 200).toEqual(false);
    side.program.kill('SIGCONT');
    await retryUntil(
      'frozen-late',
      outcome => isReplay(outcome) || outcome.reason === 'outcome_unknown',
    );
    expect(await countOf('frozen-late')).toEqual(1);
  });

  it('answers to writes of claims are lost', async () => {
    await settle();
    const loss = {loseAnswers: 4, loseOnly: CLAIM_WRITES};
    await all.keyValueFaults(loss);
    const names = [0, 1, 2, 3].map(index => `lost-answer-${index}`);
    const firsts = names.map(name => call(all.entries[0], name));
    for (const {status} of await Promise.all(firsts)) {
      expect(status).toEqual(200);
    }
    expect((await all.keyValueFaults({})).loseAnswers).toEqual(0);
    for (const name of names) {
      await retryUntil(name, isReplay);
      expect(await countOf(name)).toEqual(1);
    }
  });

  it('key-value service is down before the claim', async () => {
    await settle();
    await all.keyValueFaults({down: true});
    const {reason, ran} = await call(all.entries[0], 'no-claim');
    expect({reason, ran}).toEqual({
      reason: 'claim_store_unavailable',
      ran: 'not_run',
    });
    expect(await countOf('no-claim')).toEqual(0);
    await all.keyValueFaults({down: false});
    await retryUntil('no-claim', ({status}) => status === 200);
    expect(await countOf('no-claim')).toEqual(1);
  });

  it('key-value service is down before the record', async () => {
    await settle();
    const first = call(all.entries[0], 'no-record');
    await sideOf('no-record');
    await all.keyValueFaults({down: true});
    expect((await first).status).toEqual(200);
    await call(all.entries[1], 'no-record');
    await all.keyValueFaults({down: false});
    await retryUntil('no-record', isReplay);
    expect(await countOf('no-record')).toEqual(1);
  });

  it('two entries send the same key at once', async () => {
    await settle();
    const names = Array.from({length: 10}, (_, index) => `race-${index}`);
    const outcomes = await Promise.all(
      names.flatMap(name => all.entries.map(entry => call(entry, name))),
    );
    const fresh = outcomes.filter(o => o.status === 200 && !o.isReplayed);
    expect(fresh.length).toEqual(names.length);
    for (const name of names) expect(await countOf(name)).toEqual(1);
  });

  it('connection goes silent under a call without a key', async () => {
    await settle();
    const first = call(all.entries[0], 'silent-late', {}, false);
    const {forwarder} = await sideOf('silent-late');
    forwarder.stallOpenConnections();
    const late = await first;
    // The side may confirm the run to the cancel, which is as true.
    expect(late.reason).toEqual('outcome_unknown');
    expect(late.ran === 'unknown' || late.ran === 'ran').toEqual(true);
    expect(await countOf('silent-late')).toEqual(1);
    for (const desk of all.desks) desk.forwarder.stallOpenConnections();
    const early = await call(all.entries[1], 'silent-early', {}, false);
    expect(early.ran === 'not_run' || early.ran === 'unknown').toEqual(true);
    expect(await countOf('silent-early')).toEqual(0);
  });

  it('no call ran twice or after it was said not to', async () => {
    await settle();
    const counts = await effects();
    for (const key of keys) expect(await countOf(key)).toBeLessThan(2);
    const ranAfterAll = sent.filter(
      ({reference, outcome}) =>
        outcome.ran === 'not_run' && (counts[reference] ?? 0) > 0,
    );
    expect(ranAfterAll).toEqual([]);
  });
});
