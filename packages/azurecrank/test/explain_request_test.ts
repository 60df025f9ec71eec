import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, describe, it} from 'node:test';
import {expect} from 'earl';
import {explainRequest} from '../src/cli/explain/request_command.js';
import {parseLog} from '../src/core/explaining/log_lines.js';
import {
  buildTimeline,
  type RequestTimeline,
} from '../src/core/explaining/request_timeline.js';
import {explainOutcome} from '../src/core/explaining/request_outcome.js';

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

function timelineOf(request: string, ...lines: string[]): RequestTimeline {
  const timeline = buildTimeline(request, parseLog(lines.join('\n')).lines);
  if (!timeline) throw new Error('no line names the request');
  return timeline;
}

const SERVER = '10.0.0.7:80';

/** The clock of entry b is 800 ms ahead of that of entry a. */
const CLOCK_AHEAD_MS = 800;

const LOST_STREAM = [
  line(900, 'a', 'chains in use', {chains: ['40000 tokens: x=0-80']}),
  line(2000 + CLOCK_AHEAD_MS, 'b', 'server suspected', {
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

describe('buildTimeline', () => {
  it('orders lines of processes whose clocks differ', () => {
    const timeline = timelineOf('r1', ...LOST_STREAM);
    expect(timeline.clockOffsetsMs).toEqual({b: CLOCK_AHEAD_MS - 1});
    const suspected = timeline.events.filter(e =>
      e.message.startsWith('server'),
    );
    expect(suspected.map(e => e.sinceMs)).toEqual([1001, 1001]);
    expect(timeline.end?.message).toEqual('stream cut');
  });

  it('excludes other requests and servers', () => {
    const others = [
      line(2005, 'a', 'stream cut', {request: 'r2'}),
      line(2005, 'a', 'server suspected', {peer: '10.0.0.8:80', source: 'b'}),
    ];
    const timeline = timelineOf('r1', ...LOST_STREAM, ...others);
    const texts = JSON.stringify(timeline.events);
    expect(texts).not.toInclude('10.0.0.8:80');
    expect(timeline.events.filter(e => e.isOwn).length).toEqual(2);
  });

  it('names missing lines', () => {
    const [, , ...rest] = LOST_STREAM;
    const reported = line(2001, 'a', 'server suspected', {
      peer: SERVER,
      source: 'b',
    });
    expect(timelineOf('r1', reported, ...rest).missing).toEqual([
      'all lines of b',
    ]);
    const started = rest.slice(1, 2);
    const restart = line(2100, 'a', 'starting');
    expect(timelineOf('r1', ...started, restart).missing).toEqual([
      'the end of the request; a has started again meanwhile',
    ]);
  });

  it('reads lines with a prefix and counts the others', () => {
    const text = `  2.1 a ${LOST_STREAM[3]}\nnot a log line\n{"half":`;
    const {lines, unreadableCount} = parseLog(text);
    expect([lines.length, unreadableCount]).toEqual([1, 2]);
  });

  it('accepts lines that name the request in requestId', () => {
    const refused = line(10, 'entry-1', 'request refused', {
      requestId: 'r9',
      reason: 'stage_lost',
      ran: 'unknown',
      step: 'decode',
      peer: SERVER,
    });
    expect(explainOutcome(timelineOf('r9', refused))[0]).toEqual(
      `refused with stage_lost in step decode at ${SERVER}; it may have run`,
    );
  });
});

describe('explainOutcome', () => {
  it('explains a stream that ended because its server was lost', () => {
    const cause = explainOutcome(timelineOf('r1', ...LOST_STREAM)).join('\n');
    expect(cause).toInclude('no chain had capacity in time');
    expect(cause).toInclude(`lost server ${SERVER}`);
    expect(cause).toInclude(`b reported: server suspected ${SERVER}`);
  });

  it('explains a request refused for lack of capacity', () => {
    const refused = line(2500, 'a', 'request refused', {
      request: 'r3',
      reason: 'deadline_unreachable',
      step: 'queue',
      ran: 'not_run',
    });
    const cause = explainOutcome(
      timelineOf('r3', ...LOST_STREAM, refused),
    ).join('\n');
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
    expect(explainOutcome(timelineOf('r4', refused))).toEqual([
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
