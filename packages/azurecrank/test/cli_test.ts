import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  DocumentExchange,
  HttpKeyValueService,
  Metrics,
  PLAN_KEY,
  REFUSALS,
  RETRY_REASONS,
  SERVERS_PREFIX,
} from '@azurecrank/core';
import {KeyValueStandin} from '@azurecrank/standins';
import {expect} from 'earl';

const BINARY = join(import.meta.dirname, '../../bin/azurecrank.js');

const COMMANDS = ['check', 'apply', 'show', 'status', 'explain'];
const EXAMPLES = join(import.meta.dirname, '../../../../examples');

interface Run {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

function run(...args: string[]): Promise<Run> {
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [BINARY, ...args],
      (_, stdout, stderr) =>
        resolve({exitCode: child.exitCode ?? -1, stdout, stderr}),
    );
  });
}

describe('azurecrank', () => {
  let standin: KeyValueStandin;
  let directory: string;
  let serviceArgs: string[];
  const write = (name: string, text: string) => {
    const file = join(directory, name);
    writeFileSync(file, text);
    return file;
  };

  before(async () => {
    standin = await new KeyValueStandin().start();
    directory = mkdtempSync(join(tmpdir(), 'azurecrank-cli-'));
    serviceArgs = ['--key-value-url', standin.url];
  });
  after(() => {
    standin[Symbol.dispose]();
    rmSync(directory, {recursive: true});
  });

  describe('help and usage', () => {
    it('lists every command', async () => {
      const {exitCode, stdout} = await run('--help');
      expect(exitCode).toEqual(0);
      for (const name of [...COMMANDS, 'entry']) expect(stdout).toInclude(name);
    });

    for (const name of COMMANDS) {
      it(`${name} --help`, async () => {
        const {exitCode, stdout} = await run(name, '--help');
        expect(exitCode).toEqual(0);
        expect(stdout).toInclude('--json');
      });
    }

    it('exits with 2 for an unknown command, option or file', async () => {
      expect((await run('chek')).exitCode).toEqual(2);
      expect((await run('explain', '--jsn')).exitCode).toEqual(2);
      expect((await run('check', '/no/such/file')).exitCode).toEqual(2);
    });
  });

  describe('check', () => {
    it('exits with 1 and names file, line, key and hint', async () => {
      const file = write('bad.toml', 'revision = 0\nworkspace = 1\n');
      const {exitCode, stderr} = await run('check', file);
      expect(exitCode).toEqual(1);
      expect(stderr).toInclude('bad.toml:2: workspace: unknown key');
      expect(stderr).toInclude('"workspaces"');
    });
  });

  describe('examples', () => {
    for (const name of ['repair_works.toml', 'netting_hire.toml']) {
      // Guards against examples that became invalid by a change of validation.
      it(`accepts ${name}`, async () => {
        const file = join(EXAMPLES, name);
        const {exitCode, stderr} = await run('check', file);
        expect(stderr).toEqual('');
        expect(exitCode).toEqual(0);
      });
    }
  });

  describe('apply, show and status', () => {
    it('reports accepted, conflict and not reachable', async () => {
      const first = write('first.toml', 'revision = 0\n# first\n');
      const other = write('other.toml', 'revision = 0\n# other\n');
      const accepted = await run('apply', first, ...serviceArgs, '--json');
      expect(JSON.parse(accepted.stdout)).toEqual({
        outcome: 'accepted',
        version: 1,
      });
      expect((await run('apply', first, ...serviceArgs)).exitCode).toEqual(0);
      const conflict = await run('apply', other, ...serviceArgs);
      expect(conflict.exitCode).toEqual(3);
      expect(conflict.stderr).toInclude('yours 2: # other');
      const shown = await run('show', ...serviceArgs);
      expect(shown.stdout).toEqual('revision = 1\n# first\n');
      const status = await run('status', ...serviceArgs, '--json');
      expect(JSON.parse(status.stdout).config.version).toEqual(1);
      standin.faults.down = true;
      const down = await run('apply', first, ...serviceArgs);
      standin.faults.down = false;
      expect(down.exitCode).toEqual(5);
    });

    it('exits with 4 when no answer to the write arrives', async () => {
      const file = write('next.toml', 'revision = 1\n# next\n');
      // Reads are answered; writes have no effect and are not answered.
      const lossy = new KeyValueStandin();
      const routes = lossy as unknown as {putEntry: () => unknown};
      routes.putEntry = () => {
        lossy.faults.loseAnswers = 1;
        return {status: 200};
      };
      await lossy.start();
      const empty = write('empty.toml', 'revision = 0\n');
      const url = ['--key-value-url', lossy.url];
      const unknown = await run('apply', empty, ...url);
      lossy[Symbol.dispose]();
      expect(unknown.exitCode).toEqual(4);
      expect((await run('apply', file, ...serviceArgs)).exitCode).toEqual(0);
    });
  });

  describe('status', () => {
    // Guards against a status that shows nothing during an outage.
    it('shows processes while the key-value service is down', async () => {
      const metrics = new Metrics();
      const keyValue = new HttpKeyValueService(standin.url);
      using exchange = new DocumentExchange({
        node: 'entry-1',
        availabilityZone: 'a',
        keyValue,
        links: () => [],
        metrics,
      });
      metrics.increment('azurecrank_refusals_total', {reason: 'queue_full'}, 3);
      metrics.increment('azurecrank_bytes_total', {}, 5);
      const page = createServer((_, res) => void res.end(metrics.render()));
      await new Promise<void>(done => page.listen(0, '127.0.0.1', done));
      const {port} = page.address() as AddressInfo;
      const down = ['--key-value-url', 'http://127.0.0.1:1'];
      const url = `http://127.0.0.1:${port}`;
      const status = await run('status', ...down, '--process', url);
      page.close();
      keyValue[Symbol.dispose]();
      expect(exchange.versions().configVersion).toEqual(0 as never);
      expect(status.exitCode).toEqual(5);
      expect(status.stderr).toInclude('{reason="queue_full"} 3');
      expect(status.stderr).toInclude('document_version{what="config"} 0');
      expect(status.stderr).toInclude('age_ms{what="plan"} -1');
      expect(status.stderr).not.toInclude('bytes_total');
    });

    it('shows chains and registered servers', async () => {
      const keyValue = new HttpKeyValueService(standin.url);
      const stage = {server: 's1', firstLayer: 0, endLayer: 4};
      const chain = {chain: 'c1', model: 'm', modelVersion: '1'};
      const chains = [{...chain, stages: [stage]}];
      const plan = {version: 3, fence: 2, chains, services: {}};
      await keyValue.compareAndSwap(PLAN_KEY, JSON.stringify(plan), 0);
      const server = {server: 's1', epoch: 4, state: 'live', service: 'orders'};
      const key = `${SERVERS_PREFIX}s1`;
      await keyValue.compareAndSwap(key, JSON.stringify(server), 0);
      keyValue[Symbol.dispose]();
      const {stdout} = await run('status', ...serviceArgs);
      expect(stdout).toInclude('plan 3, fence 2');
      expect(stdout).toInclude('chain c1 m@1: s1[0..4)');
      expect(stdout).toInclude('s1 live, epoch 4');
    });
  });

  describe('explain', () => {
    it('lists every refusal and retry reason', async () => {
      const {stdout} = await run('explain', '--json');
      const reasons = (JSON.parse(stdout) as {reason: string}[]).map(
        one => one.reason,
      );
      expect(reasons).toEqual([...Object.keys(REFUSALS), ...RETRY_REASONS]);
    });

    it('suggests the nearest reason', async () => {
      const {exitCode, stderr} = await run('explain', 'queue_ful');
      expect(exitCode).toEqual(2);
      expect(stderr).toInclude('"queue_full"');
    });
  });
});
