import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, describe, it} from 'node:test';
import {expect} from 'earl';
import {explainRequest} from '../src/cli/explain/request_command.js';
import {readLogText} from '../src/core/explaining/log_lines.js';
import {
  requestStory,
  type RequestStory,
} from '../src/core/explaining/request_story.js';
import {storyCause} from '../src/core/explaining/story_cause.js';

const BEGIN_MS = Date.parse('2026-09-21T02:00:00.000Z');

function line(
  atMs: number,
  node: string,
  message: string,
  fields: object = {},
): string {
  const time = new Date(BEGIN_MS + atMs).toISOString();
  return JSON.stringify({time, level: 'info', node, message, ...fields});
}

function tell(request: string, ...lines: string[]): RequestStory {
  const story = requestStory(request, readLogText(lines.join('\n')).lines);
  if (!story) throw new Error('no line names the request');
  return story;
}

const SERVER = '10.0.0.7:80';

/** The clock of entry b is 800 ms ahead of that of entry a. */
const AHEAD_MS = 800;

const LOST_STREAM = [
  line(900, 'a', 'chains in use', {chains: ['40000 tokens: x=0-80']}),
  line(2000 + AHEAD_MS, 'b', 'server suspected', {
    peer: SERVER,
    cause: 'ECONNREFUSED',
  }),
  line(2001, 'a', 'server suspected', {peer: SERVER, source: 'b'}),
  line(2010, 'a', 'stream looks for another chain', {
    request: 'r1',
    lost: SERVER,
    cause: 'the first server does not answer',
    durationMs: 1010,
  }),
  line(3800, 'a', 'stream cut', {
    request: 'r1',
    cause: 'the first server does not answer',
    durationMs: 2800,
  }),
];

describe('requestStory', () => {
  it('tells lines of other processes in order although clocks differ', () => {
    const story = tell('r1', ...LOST_STREAM);
    expect(story.clockOffsetsMs).toEqual({b: AHEAD_MS - 1});
    const suspected = story.events.filter(e => e.message.startsWith('server'));
    expect(suspected.map(e => e.sinceMs)).toEqual([1001, 1001]);
    expect(story.end?.message).toEqual('stream cut');
  });

  it('leaves out other requests and servers', () => {
    const others = [
      line(2005, 'a', 'stream cut', {request: 'r2'}),
      line(2005, 'a', 'server suspected', {peer: '10.0.0.8:80', source: 'b'}),
    ];
    const story = tell('r1', ...LOST_STREAM, ...others);
    const texts = JSON.stringify(story.events);
    expect(texts).not.toInclude('10.0.0.8:80');
    expect(story.events.filter(e => e.isOwn).length).toEqual(2);
  });

  it('names what is missing', () => {
    const [, , ...rest] = LOST_STREAM;
    const told = line(2001, 'a', 'server suspected', {
      peer: SERVER,
      source: 'b',
    });
    expect(tell('r1', told, ...rest).missing).toEqual(['all lines of b']);
    const begun = rest.slice(1, 2);
    const restart = line(2100, 'a', 'starting');
    expect(tell('r1', ...begun, restart).missing).toEqual([
      'the end of the request; a has started again meanwhile',
    ]);
  });

  it('reads lines with a prefix and counts the others', () => {
    const text = `  2.1 a ${LOST_STREAM[3]}\nnot a log line\n{"half":`;
    const {lines, unreadable} = readLogText(text);
    expect([lines.length, unreadable]).toEqual([1, 2]);
  });

  it('understands lines of the other way of running', () => {
    const refused = line(10, 'entry-1', 'request refused', {
      requestId: 'r9',
      reason: 'stage_lost',
      ran: 'unknown',
      step: 'decode',
      peer: SERVER,
    });
    expect(storyCause(tell('r9', refused))[0]).toEqual(
      `refused with stage_lost in step decode at ${SERVER}; it may have run`,
    );
  });
});

describe('storyCause', () => {
  it('explains a stream that died with a server', () => {
    const cause = storyCause(tell('r1', ...LOST_STREAM)).join('\n');
    expect(cause).toInclude('no chain had room in time');
    expect(cause).toInclude(`left ${SERVER}`);
    expect(cause).toInclude(`b found: server suspected ${SERVER}`);
  });

  it('explains a request refused in a flood', () => {
    const refused = line(2500, 'a', 'request refused', {
      request: 'r3',
      reason: 'deadline_unreachable',
      step: 'queue',
      ran: 'not_run',
    });
    const cause = storyCause(tell('r3', ...LOST_STREAM, refused)).join('\n');
    expect(cause).toInclude('it has not run');
    expect(cause).toInclude('known 1600 ms before: 1 chains (40000 tokens)');
    expect(cause).toInclude(`server suspected ${SERVER} (ECONNREFUSED)`);
  });

  it('explains a call whose outcome is unknown', () => {
    const refused = line(100, 'a', 'request refused', {
      request: 'r4',
      reason: 'outcome_unknown',
      step: 'call',
      ran: 'unknown',
      peer: SERVER,
      detail: 'ECONNRESET',
    });
    expect(storyCause(tell('r4', refused))).toEqual([
      `refused with outcome_unknown in step call at ${SERVER}: ECONNRESET; ` +
        'it may have run',
    ]);
  });
});

describe('azurecrank explain ID --logs', () => {
  const directory = mkdtempSync(join(tmpdir(), 'azurecrank-explain-'));
  after(() => rmSync(directory, {recursive: true}));
  const files = ['a', 'b'].map(node => join(directory, `${node}.log`));
  for (const [i, node] of ['a', 'b'].entries()) {
    const own = LOST_STREAM.filter(l => l.includes(`"node":"${node}"`));
    writeFileSync(files[i], own.join('\n'));
  }

  it('reads the logs of several processes', () => {
    const {exitCode, text} = explainRequest('r1', files);
    expect(exitCode).toEqual(0);
    expect(text).toInclude('the clock of b is 799 ms ahead');
    expect(text).toInclude('cause: its server was lost');
  });

  it('says when no line names the request', () => {
    const {exitCode, text} = explainRequest('unknown', files);
    expect(exitCode).toEqual(4);
    expect(text).toInclude('no line of 5 names request unknown');
  });

  it('says which file cannot be read', () => {
    const missing = join(directory, 'none.log');
    const {exitCode, text} = explainRequest('r1', [missing]);
    expect(exitCode).toEqual(2);
    expect(text).toInclude(missing);
  });
});
