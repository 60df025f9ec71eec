import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {REFUSALS, RETRY_REASONS} from '@azurecrank/core';
import {referenceAnswer} from '@azurecrank/standins';
import {expect} from 'earl';
import OpenAI from 'openai';
import {request} from 'undici';
import {Fleet, promptLine, writeOperatorFile} from '../src/index.js';
import type {RunningProcess} from '../src/index.js';

const MODEL = 'bench-7b';
const LAYERS = 2;
const SERVICE = 'bench_assistant';
const NIGHT = 'write_ups';
const DESK = 'counter_app';
const PROMPT = 'diagnose a shutter that sticks at slow speeds';
const MAX_TOKENS = 6;
const EXPECTED = referenceAnswer(promptLine(PROMPT), MAX_TOKENS, LAYERS);
const MAX_BODY_BYTES = 20_000;
const BODY_TIMEOUT_MS = 300;
const MESSAGES = [{role: 'user', content: PROMPT}] as const;
const CHAT = '/v1/chat/completions';

const CONFIG = writeOperatorFile({
  model: MODEL,
  layers: LAYERS,
  modelServices: {[SERVICE]: 'urgent', [NIGHT]: 'overnight'},
  plainServices: [DESK],
  workspaces: {courthouse: 1, walk_in: 1},
}).replace(/(\[workspaces.walk_in\]\n)/, `$1services = ["${NIGHT}"]\n`);

interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly problem: {
    readonly reason: string;
    readonly detail: string;
    readonly ran: string;
    readonly requestId: string;
    readonly error: {readonly message: string};
  };
}

const PROBLEM_MEMBERS = [
  'type',
  'title',
  'status',
  'detail',
  'reason',
  'ran',
  'requestId',
  'step',
  'peer',
];

describe('interface for callers', () => {
  const fleet = new Fleet();
  let entry: RunningProcess;
  let side: RunningProcess;
  let client: OpenAI;

  before(async () => {
    await fleet.startKeyValue();
    await fleet.applyConfig(CONFIG);
    side = await fleet.startModelServer({
      server: 'model-1',
      model: MODEL,
      modelLayers: LAYERS,
      firstLayer: 0,
      endLayer: LAYERS,
    });
    const {url} = await fleet.startStandin('service', {});
    await fleet.startSide('desk-1', {service: DESK, service_url: url});
    entry = await fleet.startEntry('entry-1', {
      max_body_bytes: MAX_BODY_BYTES,
      body_timeout_ms: BODY_TIMEOUT_MS,
    });
    client = createClient('courthouse');
  });
  after(() => fleet[Symbol.dispose]());

  function createClient(apiKey: string): OpenAI {
    const baseURL = `${entry.httpUrl}/v1`;
    return new OpenAI({baseURL, apiKey, maxRetries: 0});
  }

  async function send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: string,
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    const response = await request(entry.httpUrl + path, {
      method,
      body,
      headers: {authorization: 'Bearer courthouse', ...headers},
    });
    const problem = (await response.body.json()) as Answer['problem'];
    return {status: response.statusCode, headers: response.headers, problem};
  }

  function sendChat(fields: object, headers?: Record<string, string>) {
    const body = {model: SERVICE, messages: MESSAGES, ...fields};
    return send('POST', CHAT, JSON.stringify(body), headers);
  }

  async function countOf(reason: string): Promise<number> {
    const line = `azurecrank_refusals_total{reason="${reason}"} `;
    const found = (await readMetrics(entry)).find(one => one.startsWith(line));
    return Number(found?.slice(line.length));
  }

  /** Checks form, headers, count and log line of one refusal. */
  async function expectRefusal(
    reason: keyof typeof REFUSALS,
    call: () => Promise<Answer>,
  ): Promise<Answer> {
    const before = await countOf(reason);
    const answer = await call();
    expect(answer.problem.reason).toEqual(reason);
    expect(answer.status).toEqual(REFUSALS[reason].status);
    const type = 'application/problem+json';
    expect(answer.headers['content-type']).toEqual(type);
    for (const member of PROBLEM_MEMBERS) {
      expect(Object.keys(answer.problem)).toInclude(member);
    }
    const {requestId} = answer.problem;
    expect(answer.headers['azurecrank-request-id']).toEqual(requestId);
    expect((await countOf(reason)) - before).toEqual(1);
    const lines = () =>
      entry.program.log.filter(
        line => line.includes(requestId) && line.includes('request refused'),
      );
    await waitFor(() => lines().length > 0);
    expect(lines().length).toEqual(1);
    const fields = JSON.parse(lines()[0]) as Record<string, unknown>;
    expect(fields['reason']).toEqual(reason);
    expect(fields['step']).toEqual('accept');
    expect(['info', 'warn']).toInclude(String(fields['level']));
    return answer;
  }

  describe('unmodified client', () => {
    it('gets a whole answer with usage', async () => {
      const answer = await client.chat.completions.create({
        model: SERVICE,
        messages: [...MESSAGES],
        max_completion_tokens: MAX_TOKENS,
        temperature: 0.2,
        user: 'bench 4',
      });
      expect(answer.choices[0].message.content).toEqual(EXPECTED);
      expect(answer.object).toEqual('chat.completion');
      expect(answer.usage?.completion_tokens).toEqual(MAX_TOKENS);
    });

    it('streams with usage in the last chunk only', async () => {
      const stream = await client.chat.completions.create({
        model: SERVICE,
        messages: [...MESSAGES],
        max_tokens: MAX_TOKENS,
        stream: true,
        stream_options: {include_usage: true},
      });
      let text = '';
      const usages = [];
      const finishes = [];
      for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? '';
        usages.push(chunk.usage);
        finishes.push(chunk.choices[0]?.finish_reason);
      }
      expect(text).toEqual(EXPECTED);
      expect(usages.pop()?.completion_tokens).toEqual(MAX_TOKENS);
      expect(usages.every(usage => usage === null)).toEqual(true);
      expect(finishes.at(-2)).toEqual('length');
    });

    it('may send text in parts', async () => {
      const half = PROMPT.length / 2;
      const parts = [PROMPT.slice(0, half), PROMPT.slice(half)];
      const answer = await client.chat.completions.create({
        model: SERVICE,
        messages: [
          {
            role: 'user',
            content: parts.map(text => ({type: 'text' as const, text})),
          },
        ],
        max_tokens: MAX_TOKENS,
      });
      expect(answer.choices[0].message.content).toEqual(EXPECTED);
    });

    it('lists the services of its workspace and reads one', async () => {
      const walkIn = createClient('walk_in');
      const names = (await walkIn.models.list()).data.map(({id}) => id);
      expect(names).toEqual([NIGHT]);
      expect((await walkIn.models.retrieve(NIGHT)).object).toEqual('model');
    });

    it('gets typed errors with a message', async () => {
      const wrongKey = createClient('nobody').models.list();
      await expect(wrongKey).toBeRejectedWith(OpenAI.AuthenticationError);
      const unknown = client.models.retrieve('no-such');
      await expect(unknown).toBeRejectedWith(/no service named no-such/);
    });
  });

  describe('refusals', () => {
    const invalid: readonly (readonly [object, string])[] = [
      [{n: 2}, 'n: only 1 answer'],
      [{tools: [{type: 'function'}]}, 'tools: tools are not'],
      [{stop: ['END']}, 'stop: stop sequences'],
      [{response_format: {type: 'json_object'}}, 'response_format: '],
      [{max_tokens: 'ten'}, 'max_tokens: '],
      [{max_tokens: 0}, 'max_tokens: '],
      [{stream: 'yes'}, 'stream: '],
      [{messages: []}, 'messages: '],
      [{messages: [{role: 'user', content: 7}]}, 'messages.0.content: '],
      [{model: undefined}, 'model: '],
      [
        {messages: [{role: 'user', content: [{type: 'image_url'}]}]},
        'messages.0.content.0: parts of type image_url are not supported',
      ],
    ];
    for (const [fields, detail] of invalid) {
      it(`of ${JSON.stringify(fields)}`, async () => {
        const refuse = () => sendChat(fields);
        const {problem} = await expectRefusal('invalid_request', refuse);
        expect(problem.detail).toInclude(detail);
        expect(problem.error.message).toInclude(detail);
        expect(problem.ran).toEqual('not_run');
      });
    }

    // Guards against clients that always send empty or default values.
    it('not of values that ask for nothing', async () => {
      const {status} = await sendChat({
        n: 1,
        tools: [],
        stop: null,
        logprobs: false,
        response_format: {type: 'text'},
        some_new_field: true,
        max_tokens: 1,
      });
      expect(status).toEqual(200);
    });

    it('of malformed JSON', async () => {
      const refuse = () => send('POST', CHAT, '{"model": ');
      const {problem} = await expectRefusal('invalid_request', refuse);
      expect(problem.detail).toInclude('not JSON');
    });

    it('of a missing or unknown key', async () => {
      for (const authorization of ['', 'Basic abc', 'Bearer nobody']) {
        const refuse = () => sendChat({}, {authorization});
        const {headers} = await expectRefusal('unauthorized', refuse);
        expect(headers['www-authenticate']).toEqual('Bearer');
      }
    });

    it('of services that are unknown or not allowed', async () => {
      const headers = {authorization: 'Bearer walk_in'};
      const desk = `/services/${DESK}/tickets/1`;
      await expectRefusal('unknown_model', () => sendChat({model: 'none'}));
      // A plain service is no model.
      await expectRefusal('unknown_model', () => sendChat({model: DESK}));
      await expectRefusal('forbidden_service', () => sendChat({}, headers));
      const call = () => send('GET', desk, undefined, headers);
      await expectRefusal('forbidden_service', call);
      const unknown = () => send('GET', '/services/none/x');
      await expectRefusal('unknown_service', unknown);
    });

    it('of bad ranks, deadlines and idempotency keys', async () => {
      const desk = `/services/${DESK}/deposits`;
      const bad: readonly Record<string, string>[] = [
        {'azurecrank-rank': 'soon'},
        {'azurecrank-deadline-ms': '10s'},
        {'azurecrank-deadline-ms': '0'},
        {'azurecrank-deadline-ms': '-5'},
      ];
      for (const headers of bad) {
        const [name] = Object.keys(headers);
        const chat = () => sendChat({}, headers);
        const {problem} = await expectRefusal('invalid_request', chat);
        expect(problem.detail).toInclude(name);
        const call = () => send('POST', desk, '{}', headers);
        await expectRefusal('invalid_request', call);
      }
      for (const key of ['', 'k'.repeat(256)]) {
        const call = () => send('POST', desk, '{}', {'idempotency-key': key});
        await expectRefusal('invalid_request', call);
      }
    });

    it('of other paths and methods', async () => {
      await expectRefusal('unknown_path', () => send('GET', '/v2/nothing'));
      const wrong = () => send('DELETE', '/v1/models');
      const {headers} = await expectRefusal('method_not_allowed', wrong);
      expect(headers['allow']).toEqual('GET, HEAD');
      await expectRefusal('method_not_allowed', () => send('GET', CHAT));
    });

    it('with Retry-After where a retry helps', async () => {
      const late = () => sendChat({}, {'azurecrank-deadline-ms': '1'});
      const {status, headers, problem} = await late();
      expect([503, 504]).toInclude(status);
      const isUnreachable = problem.reason === 'deadline_unreachable';
      expect('retry-after' in headers).toEqual(isUnreachable);
    });

    it('of a body that is announced too large', async () => {
      const body = 'x'.repeat(MAX_BODY_BYTES + 1);
      await expectRefusal('body_too_large', () => send('POST', CHAT, body));
    });

    it('of what is not HTTP', async () => {
      const text = await exchange(entry, 'nonsense\r\n\r\n');
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
        const text = await exchange(entry, start);
        expect(text).toInclude('HTTP/1.1 408');
        expect(text).toInclude('"reason":"request_timeout"');
      });

      it(`hear at once that it is too large at ${path}`, async () => {
        const chunk = MAX_BODY_BYTES + 1;
        const start =
          head(path, 'transfer-encoding: chunked') +
          `${chunk.toString(16)}\r\n${'x'.repeat(chunk)}\r\n`;
        const text = await exchange(entry, start);
        expect(text).toInclude('"reason":"body_too_large"');
      });

      // Guards against an unhandled rejection that ended the entry process.
      it(`may leave within it at ${path}`, async () => {
        const before = await countOf('caller_left');
        const socket = connectTo(entry);
        socket.write(head(path, 'content-length: 100') + '{"model": ');
        await waitFor(async () => (await inFlightOf(entry)) > 0);
        socket.destroy();
        await waitFor(async () => (await countOf('caller_left')) > before);
        expect((await sendChat({max_tokens: 1})).status).toEqual(200);
      });
    }
  });

  describe('logs', () => {
    // Guards against a line per token or per served request.
    it('have no line for a request that is served', async () => {
      const response = await client.chat.completions
        .create({model: SERVICE, messages: [...MESSAGES], max_tokens: 20})
        .withResponse();
      const id = response.response.headers.get('azurecrank-request-id') ?? '';
      expect(id).not.toEqual('');
      const all = [...entry.program.log, ...side.program.log];
      expect(all.filter(line => line.includes(id))).toEqual([]);
    });

    it('name workspace, service and rank of a refused request', async () => {
      const headers = {
        'azurecrank-deadline-ms': '1',
        'azurecrank-rank': 'overnight',
      };
      const {problem} = await sendChat({}, headers);
      const find = () =>
        entry.program.log.find(line => line.includes(problem.requestId));
      await waitFor(() => find() !== undefined);
      const fields = JSON.parse(find() ?? '') as Record<string, unknown>;
      expect(fields['workspace']).toEqual('courthouse');
      expect(fields['service']).toEqual(SERVICE);
      expect(fields['rank']).toEqual('overnight');
      expect(fields['reason']).toEqual(problem.reason);
    });
  });

  describe('metrics', () => {
    it('declare every refusal and retry reason in both processes', async () => {
      for (const running of [entry, side]) {
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
      for (const running of [entry, side]) {
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

function connectTo({httpUrl}: RunningProcess) {
  const {hostname, port} = new URL(httpUrl);
  const socket = connect(Number(port), hostname);
  socket.on('error', () => undefined);
  return socket;
}

/** Sends text and returns what comes back once the answer is complete. */
async function exchange(entry: RunningProcess, text: string): Promise<string> {
  const socket = connectTo(entry);
  let answer = '';
  socket.on('data', chunk => (answer += String(chunk)));
  socket.write(text);
  await waitFor(() => answer.endsWith('}') || answer.endsWith('0\r\n\r\n'));
  socket.destroy();
  return answer;
}

async function readMetrics({httpUrl}: RunningProcess): Promise<string[]> {
  const {body} = await request(`${httpUrl}/metrics`);
  return (await body.text()).split('\n');
}

async function inFlightOf(entry: RunningProcess): Promise<number> {
  const name = 'azurecrank_requests_in_flight ';
  const lines = await readMetrics(entry);
  return Number(lines.find(line => line.startsWith(name))?.split(' ')[1]);
}

const WAIT_MS = 5000;
const POLL_MS = 10;

async function waitFor(check: () => boolean | Promise<boolean>) {
  const deadlineMs = performance.now() + WAIT_MS;
  while (!(await check())) {
    if (performance.now() > deadlineMs) throw new Error('waited in vain');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
