import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {CONFIG_KEY} from '@azurecrank/core';
import type {TcpForwarder} from '@azurecrank/standins';
import {expect} from 'earl';
import type {RunningProcess} from '../src/index.js';
import {
  FailureFleet,
  operatorFile,
  readMetric,
  until,
  type ForwardedServer,
} from './failure_fleet.js';

const CONFIG_VERSION = 'azurecrank_document_version{what="config"}';

/** Time in which an accepted configuration is in force everywhere. */
const IN_FORCE_MS = 4000;
const SAMPLE_MS = 50;

/** Guards against lost or reverted configurations. */
describe('configuration under failures', () => {
  const all = new FailureFleet();
  const reverts: string[] = [];
  const highest = new Map<RunningProcess, number>();
  const stopped = new AbortController();
  let sampling: Promise<void>;
  let keyValueLink: TcpForwarder;
  let cutOff: ForwardedServer;

  before(async () => {
    await all.start({chains: 1, entries: 2});
    keyValueLink = await all.forward(new URL(all.keyValueUrl).host);
    // A spare whose connections to everybody pass through forwarders.
    cutOff = await all.fleet.startForwardedServer({
      server: 'b-0',
      model: 'bench-13b',
      modelLayers: 12,
      firstLayer: 0,
      endLayer: 4,
      settings: {key_value_url: `http://${keyValueLink.address}`},
    });
    sampling = sample();
  });
  after(async () => {
    stopped.abort();
    await sampling;
    all[Symbol.dispose]();
  });

  function processes(): RunningProcess[] {
    return [...all.entries, ...all.servers, cutOff];
  }

  /** Notes every version that is lower than one seen before. */
  async function sample(): Promise<void> {
    while (!stopped.signal.aborted) {
      for (const process of processes()) {
        const version = await readMetric(process, CONFIG_VERSION);
        if (version < 0) continue;
        const before = highest.get(process) ?? 0;
        if (version < before) reverts.push(`${before} to ${version}`);
        highest.set(process, Math.max(before, version));
      }
      await sleep(SAMPLE_MS);
    }
  }

  async function untilVersion(
    version: number,
    list: readonly RunningProcess[],
  ): Promise<void> {
    const waits = list.map(process =>
      until(
        `${process.program.name} holds version ${version}`,
        async () => (await readMetric(process, CONFIG_VERSION)) === version,
        IN_FORCE_MS,
      ),
    );
    await Promise.all(waits);
  }

  it('two operators apply at once', async () => {
    const runs = ['ada', 'bob'].map(author => {
      const file = all.fleet.writeFile('c.toml', operatorFile(1, [author]));
      const service = ['--json', '--key-value-url', all.keyValueUrl];
      return all.fleet.runCommand([
        'apply',
        file,
        '--author',
        author,
        ...service,
      ]);
    });
    const codes = await Promise.all(runs.map(run => run.waitForExit()));
    expect(codes.sort()).toEqual([0, 3]);
    await untilVersion(2, processes());
  });

  it('the answer of an apply is lost and it is applied again', async () => {
    const text = operatorFile(2, ['cleo']);
    await all.keyValueFaults({
      loseAnswers: 1,
      loseOnly: `PUT /kv/${encodeURIComponent(CONFIG_KEY)}`,
    });
    const first = await all.fleet.applyConfig(text, 'cleo');
    expect((await all.keyValueFaults({})).loseAnswers).toEqual(0);
    expect(first).toEqual({kind: 'accepted', version: 3 as never});
    const again = await all.fleet.applyConfig(text, 'cleo');
    expect(again).toEqual({kind: 'already_accepted', version: 3 as never});
    await untilVersion(3, processes());
  });

  it('the service goes down after acceptance', async () => {
    keyValueLink.setBlocked(true);
    keyValueLink.stallOpenConnections();
    cutOff.forwarder.setBlocked(true);
    cutOff.forwarder.stallOpenConnections();
    const outcome = await all.fleet.applyConfig(operatorFile(3, ['dan']));
    expect(outcome.kind).toEqual('accepted');
    await all.keyValueFaults({down: true});
    all.entries[1].program.kill('SIGKILL');
    await untilVersion(4, [all.entries[0], ...all.servers]);
    all.entries[1] = await all.fleet.startEntry('entry-1', {
      seed_peers: [all.servers[0].peerAddress],
    });
    await untilVersion(4, [all.entries[1]]);
    expect(await readMetric(cutOff, CONFIG_VERSION)).toEqual(3);
    cutOff.forwarder.setBlocked(false);
    keyValueLink.setBlocked(false);
    await all.keyValueFaults({down: false});
    await untilVersion(4, processes());
  });

  it('no process went back to an earlier version', () => {
    expect(reverts).toEqual([]);
  });
});
