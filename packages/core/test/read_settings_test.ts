import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  SettingsError,
  entrySettingsSchema,
  parseSettings,
  readSettings,
  sideSettingsSchema,
} from '../src/index.js';

const COMMON =
  'node = "n"\nhost = "h"\navailability_zone = "a"\n' +
  'key_value_url = "http://127.0.0.1:1"\n';

function problemsOf(
  text: string,
  schema: typeof entrySettingsSchema | typeof sideSettingsSchema,
): string[] {
  try {
    parseSettings<unknown>(text, 'f.toml', schema);
    return [];
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    return error.message.split('\n');
  }
}

const entryProblems = (text: string) =>
  problemsOf(COMMON + text, entrySettingsSchema);

const sideProblems = (text: string) =>
  problemsOf(`${COMMON}server = "s"\n${text}`, sideSettingsSchema);

describe('settings', () => {
  it('accepts the minimal file of each process', () => {
    expect(entryProblems('')).toEqual([]);
    expect(sideProblems('engine_url = "http://127.0.0.1:2"\n')).toEqual([]);
    const plain = 'service = "desk"\nservice_url = "http://127.0.0.1:2"\n';
    expect(sideProblems(plain)).toEqual([]);
  });

  const cases: readonly (readonly [string, string])[] = [
    ['max_request = 5', ':5: max_request: unknown key; did you mean "max_req'],
    ['max_requests = "5"', ':5: max_requests: expected number; got "5"'],
    ['max_requests = 0', ':5: max_requests: Too small: expected number to be'],
    ['drain_deadline_ms = "60s"', 'expected a whole number of milliseconds'],
    ['drain_deadline_ms = "60s"', 'got "60s"; write 60000'],
    ['drain_deadline_s = 60', 'did you mean "drain_deadline_ms = 60000"?'],
    ['log_level = "loud"', ':5: log_level: Invalid option: expected one of'],
    ['host_list_url = "hosts"', ':5: host_list_url: expected a URL'],
    ['seed_peers = ["10.0.0.5"]', ':5: seed_peers.0: expected "IP:PORT"'],
    ['http_port = 70000', ':5: http_port: Too big: expected number to be'],
    ['max_requests 5', ':5: syntax error: '],
  ];
  for (const [text, message] of cases) {
    it(`rejects ${text} with the line and a hint`, () => {
      const problems = entryProblems(text + '\n');
      expect(problems.length).toEqual(1);
      expect(problems[0]).toInclude('f.toml');
      expect(problems[0]).toInclude(message);
    });
  }

  it('reports all invalid keys at once', () => {
    const problems = entryProblems('http_port = "x"\npeer_port = "y"\n');
    expect(problems.length).toEqual(2);
  });

  it('names missing keys', () => {
    const problems = problemsOf('node = "n"\n', entrySettingsSchema);
    expect(problems.map(one => one.split(';')[0])).toEqual([
      'f.toml: host: missing',
      'f.toml: availability_zone: missing',
      'f.toml: key_value_url: missing',
    ]);
  });

  // Guards against a side process that registers a server that can do no work.
  it('requires a backend server beside a side process', () => {
    expect(sideProblems('')[0]).toInclude('engine_url: missing');
    const url = 'service_url = "http://127.0.0.1:2"\n';
    expect(sideProblems(url)[0]).toInclude('service: missing');
    const name = 'engine_url = "http://127.0.0.1:2"\nservice = "desk"\n';
    expect(sideProblems(name)[0]).toInclude('service_url: missing');
  });

  it('reports that a file is missing or is a directory', () => {
    const directory = mkdtempSync(join(tmpdir(), 'azurecrank-settings-'));
    const read = (file: string) => () =>
      readSettings(file, entrySettingsSchema);
    expect(read(join(directory, 'none.toml'))).toThrow(
      SettingsError,
      /none.toml: cannot be read: there is no such file/,
    );
    expect(read(directory)).toThrow(SettingsError, /it is a directory/);
    rmSync(directory, {recursive: true});
  });
});
