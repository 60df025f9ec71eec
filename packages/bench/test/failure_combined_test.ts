import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {sendPlainCall, type CallResult} from '../src/index.js';
import {
  DESK,
  FailureFleet,
  WORKSPACE,
  expectWhole,
  getJson,
  operatorFile,
  readMetric,
  startStream,
  until,
} from './failure_fleet.js';

const CONFIG_VERSION = 'azurecrank_document_version{what="config"}';

/** Guards against failures that are survived alone and not together. */
describe('failures at the same time', () => {
  const all = new FailureFleet();

  before(() => all.start({chains: 2, entries: 2, desks: 2, callMs: 300}));
  after(() => all[Symbol.dispose]());

  function call(key: string, entry: number): Promise<CallResult> {
    return sendPlainCall({
      url: all.entries[entry].httpUrl,
      bearerKey: WORKSPACE,
      service: DESK,
      method: 'POST',
      path: '/bookings',
      body: key,
      reference: key,
      idempotencyKey: key,
    });
  }

  async function effects(key: string): Promise<number> {
    const counts = await Promise.all(
      all.desks.map(({serviceUrl}) =>
        getJson<Record<string, number>>(`${serviceUrl}/effects`),
      ),
    );
    return counts.reduce((sum, count) => sum + (count[key] ?? 0), 0);
  }

  it('streams end whole and keyed calls run at most once', async () => {
    const streams = Array.from({length: 6}, (_, index) =>
      startStream(all.entries[index % 2], `caller ${index} of all`, 80),
    );
    await until('all streams run', () => streams.every(s => s.tokens > 5));
    const keys = Array.from({length: 6}, (_, index) => `combined-${index}`);
    const firsts = keys.map((key, index) => call(key, index % 2));
    await until('calls take effect', async () => {
      return (await effects(keys[0])) + (await effects(keys[1])) > 0;
    });
    const applied = await all.fleet.applyConfig(operatorFile(1, ['late']));
    expect(applied.kind).toEqual('accepted');
    await all.keyValueFaults({down: true});
    all.servers[1].program.kill('SIGKILL');
    all.servers[3].program.kill('SIGSTOP');
    all.servers[2].forwarder.stallOpenConnections();
    const late = [0, 1, 2, 3].map(index =>
      startStream(all.entries[index % 2], `late caller ${index}`, 20),
    );
    const inOutage = await call('combined-outage', 0);
    expect(inOutage.ran).toEqual('not_run');
    expect(await effects('combined-outage')).toEqual(0);
    await expectWhole(streams);
    // Half of the capacity is lost, so admission may refuse what comes then.
    for (const stream of late) {
      const {isComplete, text, ran} = await stream.ended;
      if (isComplete) await expectWhole([stream]);
      else expect({text, ran}).toEqual({text: '', ran: 'not_run'});
    }
    const reachable = [...all.entries, all.servers[0], all.servers[2]];
    for (const process of reachable) {
      await until(
        `${process.program.name} has the version`,
        async () => (await readMetric(process, CONFIG_VERSION)) === 2,
        4000,
      );
    }
    await all.keyValueFaults({down: false});
    all.servers[3].program.kill('SIGCONT');
    await until('the thawed process has the version', async () => {
      return (await readMetric(all.servers[3], CONFIG_VERSION)) === 2;
    });
    const outcomes = await Promise.all(firsts);
    for (const [index, key] of keys.entries()) {
      const wasNotRun = outcomes[index].ran === 'not_run';
      expect(await effects(key)).toEqual(wasNotRun ? 0 : 1);
      await until(`${key} is settled`, async () => {
        const {status, reason} = await call(key, (index + 1) % 2);
        return status === 200 || reason === 'outcome_unknown';
      });
      expect(await effects(key)).toEqual(1);
    }
  });
});
