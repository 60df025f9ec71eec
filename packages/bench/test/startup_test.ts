import {execFile} from 'node:child_process';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {KeyValueStandin} from '@azurecrank/standins';
import {expect} from 'earl';
import {request} from 'undici';
import {ChildProgram, Fleet} from '../src/index.js';

const PACKAGES = fileURLToPath(new URL('../../../', import.meta.url));
const PROGRAMS = {
  entry: [PACKAGES + 'azurecrank/bin/azurecrank.js', 'entry'],
  side: [PACKAGES + 'side/bin/azurecrank_side.js'],
} as const;
const UNREACHABLE_URL = 'http://127.0.0.1:1';
const SETTINGS =
  'node = "n"\nhost = "h"\navailability_zone = "a"\n' +
  `key_value_url = "${UNREACHABLE_URL}"\n`;
const SIDE_SETTINGS =
  'server = "s"\nservice = "desk"\nservice_url = "http://127.0.0.1:2"\n';
const WAIT_MS = 10_000;
const POLL_MS = 20;

interface Run {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

function run(kind: keyof typeof PROGRAMS, ...args: string[]): Promise<Run> {
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [...PROGRAMS[kind], ...args],
      {timeout: WAIT_MS},
      (_, stdout, stderr) =>
        resolve({exitCode: child.exitCode ?? -1, stdout, stderr}),
    );
  });
}

async function waitFor(check: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + WAIT_MS;
  while (!check()) {
    if (performance.now() > deadlineMs) throw new Error('waited in vain');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

describe('start of the processes', () => {
  const fleet = new Fleet();
  const occupied = createServer();
  let port = 0;

  before(async () => {
    await new Promise<void>(done => occupied.listen(0, '127.0.0.1', done));
    ({port} = occupied.address() as AddressInfo);
  });
  after(() => {
    occupied.close();
    fleet[Symbol.dispose]();
  });

  for (const kind of ['entry', 'side'] as const) {
    const settings = SETTINGS + (kind === 'side' ? SIDE_SETTINGS : '');
    const runWith = (text: string) =>
      run(kind, '--settings', fleet.writeFile('settings.toml', text));

    describe(kind, () => {
      const bad: Readonly<Record<string, readonly [string, string]>> = {
        'unknown key': [`${settings}colour = "red"\n`, 'colour: unknown key'],
        'wrong type': [`${settings}peer_port = "a"\n`, 'peer_port: expected'],
        'wrong unit': [
          `${settings}drain_deadline_ms = "60s"\n`,
          'got "60s"; write 60000',
        ],
        'syntax error': [`${settings}peer_port 1\n`, 'syntax error'],
        'missing key': ['node = "n"\n', 'availability_zone: missing'],
        'occupied HTTP port': [
          `${settings}http_port = PORT\n`,
          '(http_port): the port is in use by another process',
        ],
        'occupied port for peers': [
          `${settings}peer_port = PORT\n`,
          '(peer_port): the port is in use by another process',
        ],
      };
      for (const [fault, [text, message]] of Object.entries(bad)) {
        it(`ends with 1 and a clear message: ${fault}`, async () => {
          const withPort = text.replace('PORT', String(port));
          expectClear(await runWith(withPort), message);
        });
      }

      it('ends with 1 and a clear message: missing file', async () => {
        const result = await run(kind, '--settings', '/no/such/file.toml');
        expectClear(result, '/no/such/file.toml: cannot be read');
      });

      it('has --help', async () => {
        const {exitCode, stdout} = await run(kind, '--help');
        expect(exitCode).toEqual(0);
        expect(stdout).toInclude('--settings');
      });

      // Guards against a process that waits without a word.
      it('logs that the key-value service gives no answer', async () => {
        const program = startWaiting(fleet, kind);
        const expected =
          kind === 'entry' ? 'waiting for a configuration' : '; retrying';
        await waitFor(() =>
          program.logLines.some(
            line => line.includes(expected) && line.includes('"warn"'),
          ),
        );
        const listening = parseLog(program).find(
          ({message}) => message === 'listening',
        );
        const url = `http://127.0.0.1:${listening?.httpPort}`;
        expect((await request(`${url}/livez`)).statusCode).toEqual(200);
        expect((await request(`${url}/readyz`)).statusCode).toEqual(503);
        if (kind === 'entry') await expectStarting(url);
        program.kill('SIGTERM');
        expect(await program.waitForExit()).toEqual(0);
      });
    });
  }

  it('goes on once the key-value service is back', async () => {
    using standin = new KeyValueStandin();
    standin.faults.down = true;
    await standin.start();
    const program = startWaiting(fleet, 'side', standin.url);
    await waitFor(() =>
      program.logLines.some(line => line.includes('; retrying')),
    );
    standin.faults.down = false;
    await program.waitUntilReady();
    program.kill('SIGKILL');
  });
});

function expectClear({exitCode, stderr}: Run, message: string): void {
  const lines = stderr.split('\n').filter(line => !line.startsWith('{'));
  expect(lines.join('\n')).toInclude(message);
  expect(stderr).not.toInclude('    at ');
  expect(exitCode).toEqual(1);
}

async function expectStarting(url: string): Promise<void> {
  const {headers, body} = await request(`${url}/v1/models`);
  const {reason} = (await body.json()) as {reason: string};
  expect(reason).toEqual('starting');
  expect(headers['retry-after']).toEqual('1');
}

function startWaiting(
  fleet: Fleet,
  kind: keyof typeof PROGRAMS,
  keyValueUrl = UNREACHABLE_URL,
): ChildProgram {
  const text = SETTINGS + (kind === 'side' ? SIDE_SETTINGS : '');
  const settings = text.replace(UNREACHABLE_URL, keyValueUrl);
  const command = kind === 'entry' ? ['entry'] : [];
  const program = kind === 'entry' ? 'azurecrank' : 'side';
  const file = fleet.writeFile('settings.toml', settings);
  const args = [...command, '--settings', file];
  const child = new ChildProgram(kind, program, args);
  // The ready line may never come; the log tells what happened.
  child.waitUntilReady().catch(() => undefined);
  return child;
}

function parseLog({logLines}: ChildProgram): Record<string, unknown>[] {
  return logLines
    .filter(line => line.startsWith('{'))
    .map(line => JSON.parse(line) as Record<string, unknown>);
}
