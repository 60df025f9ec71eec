import {afterEach, describe, it} from 'node:test';
import {
  DisposableStore,
  HttpKeyValueService,
  Logger,
  Metrics,
  PLAN_KEY,
  SERVERS_PREFIX,
  parseOperatorConfig,
  type Plan,
} from '@azurecrank/core';
import {KeyValueStandin, delay} from '@azurecrank/standins';
import {expect} from 'earl';
import {LeaseHolder} from '../src/core/placement/lease_holder.js';
import {PlacementRunner} from '../src/core/placement/placement_runner.js';

const CONFIG = `revision = 0
[models.m]
version = "1"
layers = 4
bytes_per_layer = 1
`;

function registration(server: string) {
  const engine = {
    model: '',
    modelVersion: '',
    firstLayer: 0,
    endLayer: 0,
    accelerator: 'a',
    memoryBytes: 4,
    layerMs: 1,
    prefillLayerMs: 0.1,
    maxSequences: 8,
    checksFence: true,
  };
  return JSON.stringify({
    server,
    epoch: 1,
    instance: server,
    host: `host-${server}`,
    address: '127.0.0.1:1',
    availabilityZone: 'z',
    region: 'r',
    state: 'live',
    engine,
  });
}

describe('placement runner', () => {
  const store = new DisposableStore();
  afterEach(() => store[Symbol.dispose]());

  async function waitForPlan(
    keyValue: HttpKeyValueService,
    condition: (plan: Plan) => boolean,
  ) {
    for (;;) {
      const entry = await keyValue.get(PLAN_KEY);
      const plan = entry && (JSON.parse(entry.value) as Plan);
      if (plan && condition(plan)) return {plan, revision: entry.revision};
      await delay(10);
    }
  }

  // Guards against an outdated copy of the plan that the runner read last: it
  // would either never write again or overwrite the write of another process.
  it('starts from the stored plan after another process has written it', async () => {
    const standin = store.add(await new KeyValueStandin().start());
    const keyValue = store.add(new HttpKeyValueService(standin.url));
    const logger = new Logger('test', 'silent');
    const parsed = parseOperatorConfig(CONFIG, 'file');
    const runner = store.add(
      new PlacementRunner({
        keyValue,
        hostList: undefined,
        lease: new LeaseHolder(keyValue, 'test', 5000, logger),
        metrics: new Metrics(),
        logger,
        config: () => (parsed.kind === 'valid' ? parsed.config : undefined),
        planIntervalMs: 20,
        acquireIntervalMs: 20,
      }),
    );
    await keyValue.compareAndSwap(`${SERVERS_PREFIX}a`, registration('a'), 0);
    runner.start();
    const first = await waitForPlan(keyValue, ({chains}) => chains.length > 0);
    const other = {...first.plan, version: 40};
    await keyValue.compareAndSwap(
      PLAN_KEY,
      JSON.stringify(other),
      first.revision,
    );
    await keyValue.compareAndSwap(`${SERVERS_PREFIX}b`, registration('b'), 0);
    const last = await waitForPlan(keyValue, ({chains}) => chains.length > 1);
    expect(first.plan.version).toEqual(1 as never);
    expect(last.plan.version).toEqual(41 as never);
  });
});
