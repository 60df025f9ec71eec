import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import OpenAI from 'openai';
import {request} from 'undici';
import {
  CHAT,
  CallersFixture,
  DESK,
  EXPECTED,
  MAX_TOKENS,
  MESSAGES,
  NIGHT,
  PROMPT,
  SERVICE,
} from './callers_fixture.js';

describe('interface for callers', () => {
  const callers = new CallersFixture();
  let client: OpenAI;

  before(async () => {
    await callers.start();
    client = callers.createClient('courthouse');
  });
  after(() => callers[Symbol.dispose]());

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
      const walkIn = callers.createClient('walk_in');
      const names = (await walkIn.models.list()).data.map(({id}) => id);
      expect(names).toEqual([NIGHT]);
      expect((await walkIn.models.retrieve(NIGHT)).object).toEqual('model');
    });

    it('gets typed errors with a message', async () => {
      const wrongKey = callers.createClient('nobody').models.list();
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
        const refuse = () => callers.sendChat(fields);
        const {problem} = await callers.expectRefusal(
          'invalid_request',
          refuse,
        );
        expect(problem.detail).toInclude(detail);
        expect(problem.error.message).toInclude(detail);
        expect(problem.ran).toEqual('not_run');
      });
    }

    // Guards against clients that always send empty or default values.
    it('not of values that ask for nothing', async () => {
      const {status} = await callers.sendChat({
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
      const refuse = () => callers.send('POST', CHAT, '{"model": ');
      const {problem} = await callers.expectRefusal('invalid_request', refuse);
      expect(problem.detail).toInclude('not JSON');
    });

    it('of a missing or unknown key', async () => {
      for (const authorization of ['', 'Basic abc', 'Bearer nobody']) {
        const refuse = () => callers.sendChat({}, {authorization});
        const {headers} = await callers.expectRefusal('unauthorized', refuse);
        expect(headers['www-authenticate']).toEqual('Bearer');
      }
    });

    it('of services that are unknown or not allowed', async () => {
      const headers = {authorization: 'Bearer walk_in'};
      const desk = `/services/${DESK}/tickets/1`;
      await callers.expectRefusal('unknown_model', () =>
        callers.sendChat({model: 'none'}),
      );
      // A plain service is no model.
      await callers.expectRefusal('unknown_model', () =>
        callers.sendChat({model: DESK}),
      );
      await callers.expectRefusal('forbidden_service', () =>
        callers.sendChat({}, headers),
      );
      const call = () => callers.send('GET', desk, undefined, headers);
      await callers.expectRefusal('forbidden_service', call);
      const unknown = () => callers.send('GET', '/services/none/x');
      await callers.expectRefusal('unknown_service', unknown);
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
        const chat = () => callers.sendChat({}, headers);
        const {problem} = await callers.expectRefusal('invalid_request', chat);
        expect(problem.detail).toInclude(name);
        const call = () => callers.send('POST', desk, '{}', headers);
        await callers.expectRefusal('invalid_request', call);
      }
      for (const key of ['', 'k'.repeat(256)]) {
        const call = () =>
          callers.send('POST', desk, '{}', {'idempotency-key': key});
        await callers.expectRefusal('invalid_request', call);
      }
    });

    // Guards against answers and log lines of the size of a request.
    it('of long names with a short detail', async () => {
      const refuse = () => callers.sendChat({model: 'm'.repeat(10_000)});
      const {problem} = await callers.expectRefusal('unknown_model', refuse);
      expect(problem.detail.length).toBeLessThan(301);
    });

    it('not of HEAD where GET is served', async () => {
      const headers = {authorization: 'Bearer courthouse'};
      for (const path of ['/livez', '/readyz', '/v1/models']) {
        const url = callers.entry.httpUrl + path;
        const {statusCode} = await request(url, {method: 'HEAD', headers});
        expect(statusCode).toEqual(200);
      }
    });

    it('of other paths and methods', async () => {
      await callers.expectRefusal('unknown_path', () =>
        callers.send('GET', '/v2/nothing'),
      );
      const wrong = () => callers.send('DELETE', '/v1/models');
      const {headers} = await callers.expectRefusal(
        'method_not_allowed',
        wrong,
      );
      expect(headers['allow']).toEqual('GET, HEAD');
      await callers.expectRefusal('method_not_allowed', () =>
        callers.send('GET', CHAT),
      );
    });

    it('with Retry-After where a retry helps', async () => {
      const late = () => callers.sendChat({}, {'azurecrank-deadline-ms': '1'});
      const {status, headers, problem} = await late();
      expect([503, 504]).toInclude(status);
      const isUnreachable = problem.reason === 'deadline_unreachable';
      expect('retry-after' in headers).toEqual(isUnreachable);
    });
  });
});
