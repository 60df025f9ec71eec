import {after, before, describe, it} from 'node:test';
import {REFUSALS, RETRY_REASONS} from '@azurecrank/core';
import {expect} from 'earl';
import {request} from 'undici';
import type {RunningProcess} from '../src/index.js';
import {
  CHAT,
  CallersFixture,
  DESK,
  MAX_BODY_BYTES,
  MESSAGES,
  SERVICE,
  connectTo,
  exchange,
  inFlightOf,
  readMetrics,
  readinessOf,
  waitFor,
} from './callers_fixture.js';

describe('connections, limits, logs and metrics of an entry', () => {
  const callers = new CallersFixture();
  before(() => callers.start());
  after(() => callers[Symbol.dispose]());

  describe('requests that are not read to the end', () => {
    it('of a body that is announced too large', async () => {
      const body = 'x'.repeat(MAX_BODY_BYTES + 1);
      await callers.expectRefusal('body_too_large', () =>
        callers.send('POST', CHAT, body),
      );
    });

    it('of what is not HTTP', async () => {
      const text = await exchange(callers.entry, 'nonsense\r\n\r\n');
      expect(text).toInclude('HTTP/1.1 400');
      expect(text).toInclude('"reason":"invalid_request"');
    });
  });

  describe('callers that do not finish their body', () => {
    const head = (path: string, length: string) =>
      `POST ${path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ` +
      `courthouse\r\n${length}\r\n\r\n`;

    for (const path of [CHAT, `/services/${DESK}/deposits`]) {
      it(`get an answer in time at ${path}`, async () => {
        const start = head(path, 'content-length: 100') + '{"model": ';
        const text = await exchange(callers.entry, start);
        expect(text).toInclude('HTTP/1.1 408');
        expect(text).toInclude('"reason":"request_timeout"');
      });

      it(`hear at once that it is too large at ${path}`, async () => {
        const chunk = MAX_BODY_BYTES + 1;
        const start =
          head(path, 'transfer-encoding: chunked') +
          `${chunk.toString(16)}\r\n${'x'.repeat(chunk)}\r\n`;
        const text = await exchange(callers.entry, start);
        expect(text).toInclude('"reason":"body_too_large"');
      });

      // Guards against an unhandled rejection that ended the entry process.
      it(`may leave within it at ${path}`, async () => {
        const before = await callers.countOf('caller_left');
        const socket = connectTo(callers.entry);
        socket.write(head(path, 'content-length: 100') + '{"model": ');
        await waitFor(async () => (await inFlightOf(callers.entry)) > 0);
        socket.destroy();
        await waitFor(
          async () => (await callers.countOf('caller_left')) > before,
        );
        expect((await callers.sendChat({max_tokens: 1})).status).toEqual(200);
      });
    }
  });

  describe('logs', () => {
    // Guards against a line per token or per served request.
    it('have no line for a request that is served', async () => {
      const response = await callers
        .createClient('courthouse')
        .chat.completions.create({
          model: SERVICE,
          messages: [...MESSAGES],
          max_tokens: 20,
        })
        .withResponse();
      const id = response.response.headers.get('azurecrank-request-id') ?? '';
      expect(id).not.toEqual('');
      const all = [
        ...callers.entry.program.logLines,
        ...callers.side.program.logLines,
      ];
      expect(all.filter(line => line.includes(id))).toEqual([]);
    });

    it('name workspace, service and rank of a refused request', async () => {
      const headers = {
        'azurecrank-deadline-ms': '1',
        'azurecrank-rank': 'overnight',
      };
      const {problem} = await callers.sendChat({}, headers);
      const find = () =>
        callers.entry.program.logLines.find(line =>
          line.includes(problem.requestId),
        );
      await waitFor(() => find() !== undefined);
      const fields = JSON.parse(find() ?? '') as Record<string, unknown>;
      expect(fields['workspace']).toEqual('courthouse');
      expect(fields['service']).toEqual(SERVICE);
      expect(fields['rank']).toEqual('overnight');
      expect(fields['reason']).toEqual(problem.reason);
    });
  });

  describe('limits of a process', () => {
    let small: RunningProcess;
    let socket: ReturnType<typeof connectTo>;
    const body = JSON.stringify({
      model: SERVICE,
      messages: MESSAGES,
      max_tokens: 1,
    });

    before(async () => {
      small = await callers.fleet.startEntry('entry-2', {max_requests: 1});
      socket = connectTo(small);
      socket.write(
        `POST ${CHAT} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ` +
          `courthouse\r\ncontent-length: ${body.length}\r\n\r\n`,
      );
      await waitFor(async () => (await inFlightOf(small)) === 1);
    });
    after(() => socket.destroy());

    it('count requests whose body is not complete', async () => {
      const {statusCode, headers} = await request(small.httpUrl + CHAT, {
        method: 'POST',
        headers: {authorization: 'Bearer courthouse'},
        body,
      });
      expect(statusCode).toEqual(REFUSALS.queue_full.status);
      expect(headers['retry-after']).toEqual('2');
    });

    // Guards against a planned stop that cuts off a request being sent.
    it('include a planned stop that waits for such a request', async () => {
      let answer = '';
      socket.on('data', chunk => (answer += String(chunk)));
      small.program.kill('SIGTERM');
      await waitFor(async () => (await readinessOf(small)) === 503);
      socket.write(body);
      await waitFor(() => answer.includes('"finish_reason"'));
      expect(answer).toInclude('HTTP/1.1 200');
      expect(await small.program.waitForExit()).toEqual(0);
    });
  });

  describe('metrics', () => {
    it('declare every refusal and retry reason in both processes', async () => {
      for (const running of [callers.entry, callers.side]) {
        const page = (await readMetrics(running)).join('\n');
        const has = (name: string, reason: string) =>
          expect(page).toInclude(`azurecrank_${name}{reason="${reason}"} `);
        for (const reason of Object.keys(REFUSALS)) {
          has('refusals_total', reason);
        }
        for (const reason of RETRY_REASONS) has('retries_total', reason);
      }
    });

    it('have help texts', async () => {
      for (const running of [callers.entry, callers.side]) {
        const lines = await readMetrics(running);
        const helps = lines.filter(line => line.startsWith('# HELP '));
        expect(helps.length).toBeGreaterThan(0);
        for (const line of helps) {
          const [, , name, ...text] = line.split(' ');
          expect(text.join(' ')).not.toEqual(name);
        }
      }
    });
  });
});
