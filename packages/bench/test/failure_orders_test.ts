import {after, before, describe, it} from 'node:test';
import {PLAN_KEY, SERVERS_PREFIX, type Plan} from '@azurecrank/core';
import {expect} from 'earl';
import type {RunningProcess} from '../src/index.js';
import {
  FailureFleet,
  LAYERS,
  MODEL,
  getJson,
  operatorFile,
  readMetric,
  until,
} from './failure_fleet.js';

const LEASE_MS = 800;
const PLAN_VERSION = 'azurecrank_document_version{what="plan"}';

/** Guards against orders and plans of processes that were replaced. */
describe('orders and plans of replaced processes', () => {
  const all = new FailureFleet();
  let revision = 1;

  before(() =>
    all.start({
      chains: 1,
      entries: 2,
      entrySettings: {placement_lease_ms: LEASE_MS},
    }),
  );
  after(() => all[Symbol.dispose]());

  async function applyModelVersion(version: string): Promise<void> {
    const text = operatorFile(revision++).replace(
      'version = "1"',
      `version = "${version}"`,
    );
    expect((await all.fleet.applyConfig(text)).kind).toEqual('accepted');
  }

  async function reconciles(side: RunningProcess): Promise<number> {
    const outcomes = ['in_order', 'ordered', 'fenced', 'superseded', 'waiting'];
    const counts = await Promise.all(
      outcomes.map(outcome =>
        readMetric(side, `azurecrank_reconciles_total{outcome="${outcome}"}`),
      ),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  for (const checksFence of [true, false]) {
    const kind = checksFence ? 'checks' : 'ignores';
    it(`an engine that ${kind} the fence keeps the newer order`, async () => {
      const server = `spare-${kind}`;
      const older = await all.fleet.startModelServer({
        server,
        model: MODEL,
        modelLayers: LAYERS,
        firstLayer: 0,
        endLayer: LAYERS,
        checksFence,
      });
      const engine = {engine_url: older.engine.url};
      const info = () =>
        getJson<{modelVersion: string}>(`${older.engine.url}/v1/info`);
      await until('the plan has the server', async () =>
        JSON.stringify(await all.readKey<Plan>(PLAN_KEY)).includes(server),
      );
      older.program.kill('SIGSTOP');
      const newer = await all.fleet.startSideProcess(server, engine);
      const key = SERVERS_PREFIX + server;
      expect((await all.readKey<{epoch: number}>(key)).epoch).toEqual(2);
      const wanted = `${kind}-2`;
      await applyModelVersion(wanted);
      const isWanted = async () => (await info()).modelVersion === wanted;
      await until('the newer process orders the version', isWanted);
      older.program.kill('SIGCONT');
      // The older one still holds the earlier plan when it looks again.
      const before = await reconciles(older);
      await until('the older process has looked twice', async () => {
        expect(await isWanted()).toEqual(true);
        return (await reconciles(older)) >= before + 2;
      });
      expect(await isWanted()).toEqual(true);
      older.program.kill('SIGKILL');
      newer.program.kill('SIGKILL');
    });
  }

  it('a lease holder that thaws does not take the plan back', async () => {
    const holderNode = async () => {
      const lease = await all
        .readKey<{node: string}>('leases/placement')
        .catch(() => undefined);
      return lease?.node;
    };
    await until('there is a holder', async () => !!(await holderNode()));
    const node = await holderNode();
    const isHolder = ({program}: RunningProcess) => program.name === node;
    const [holder] = all.entries.filter(isHolder);
    const [other] = all.entries.filter(entry => entry !== holder);
    holder.program.kill('SIGSTOP');
    await until('the other entry holds the lease', async () => {
      return (await holderNode()) === other.program.name;
    });
    const frozenAt = await all.readKey<Plan>(PLAN_KEY);
    await applyModelVersion('after-freeze');
    let plan = frozenAt;
    const look = async () => {
      const next = await all.readKey<Plan>(PLAN_KEY);
      expect(next.version >= plan.version).toEqual(true);
      expect(next.fence >= plan.fence).toEqual(true);
      plan = next;
      return JSON.stringify(next.chains).includes('after-freeze');
    };
    await until('the other entry writes a plan', look);
    expect(plan.version > frozenAt.version).toEqual(true);
    holder.program.kill('SIGCONT');
    await until('the old holder follows', async () => {
      expect(await look()).toEqual(true);
      return (await readMetric(holder, PLAN_VERSION)) === plan.version;
    });
    expect(await holderNode()).toEqual(other.program.name);
  });
});
