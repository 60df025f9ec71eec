import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {after, describe, it} from 'node:test';
import {
  Logger,
  Metrics,
  createInstanceId,
  refuse,
  type Refusal,
} from '@azurecrank/core';
import {expect} from 'earl';
import OpenAI from 'openai';
import {request} from 'undici';
import {
  StreamingChatSink,
  createChatMetadata,
} from '../src/core/gateway/chat_response.js';
import {answerClientErrors} from '../src/core/gateway/client_errors.js';
import {Exchange} from '../src/core/gateway/exchange.js';
import {RefusalSender} from '../src/core/gateway/refusal_sender.js';

const noop = () => undefined;

describe('refusals to callers', () => {
  const servers: Server[] = [];
  after(() => servers.forEach(server => server.close()));

  async function listen(server: Server): Promise<number> {
    servers.push(server);
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    return (server.address() as AddressInfo).port;
  }

  async function answerOf(refusal: Refusal) {
    const lines: string[] = [];
    const logger = new Logger('refusals', 'info', line => lines.push(line));
    const sender = new RefusalSender(new Metrics(), logger);
    const instance = createInstanceId();
    const port = await listen(
      createServer((req, res) =>
        sender.refuse(new Exchange(req, res, instance), refusal),
      ),
    );
    const answer = await request(`http://127.0.0.1:${port}/`);
    const problem = (await answer.body.json()) as Record<string, unknown>;
    return {headers: answer.headers, problem, line: JSON.parse(lines[0])};
  }

  it('carry Retry-After in whole seconds, rounded up', async () => {
    const options = {retryAfterMs: 1200, peer: 'server-3'};
    const {headers, problem, line} = await answerOf(
      refuse('queue_full', 'queue', options),
    );
    expect(headers['retry-after']).toEqual('2');
    expect(problem['peer']).toEqual('server-3');
    expect(line.peer).toEqual('server-3');
    expect(line.level).toEqual('info');
  });

  it('are logged as warnings if an operator may have to act', async () => {
    const {headers, line} = await answerOf(refuse('stage_lost', 'recover'));
    expect('retry-after' in headers).toEqual(false);
    expect(line.level).toEqual('warn');
    expect(line.step).toEqual('recover');
  });

  // Guards against clients that mistake a partial answer for a complete one.
  it('end a stream that has begun with an error', async () => {
    const metrics = new Metrics();
    const sender = new RefusalSender(metrics, new Logger('stream', 'silent'));
    const instance = createInstanceId();
    const port = await listen(
      createServer((req, res) => {
        const exchange = new Exchange(req, res, instance);
        const metadata = createChatMetadata(exchange.request, 'drafts');
        const sink = new StreamingChatSink(
          exchange,
          metadata,
          false,
          sender,
          noop,
        );
        sink.onToken('one ');
        sink.onRefused(refuse('stage_lost', 'recover', {ran: 'ran'}));
      }),
    );
    const baseURL = `http://127.0.0.1:${port}`;
    const client = new OpenAI({baseURL, apiKey: 'key', maxRetries: 0});
    const stream = await client.chat.completions.create({
      model: 'drafts',
      messages: [],
      stream: true,
    });
    let text = '';
    const read = async () => {
      for await (const {choices} of stream) text += choices[0].delta.content;
    };
    await expect(read()).toBeRejectedWith(/A stage was lost/);
    expect(text).toEqual('one ');
    const reason = 'stage_lost';
    const count = metrics.counterValue('azurecrank_refusals_total', {reason});
    expect(count).toEqual(1);
  });

  // Guards against connections held open by callers that send no request.
  it('answer a request whose headers do not arrive in time', async () => {
    const metrics = new Metrics();
    const logger = new Logger('late-head', 'silent');
    const server = createServer();
    answerClientErrors(server, metrics, logger, 100);
    const socket = connect(await listen(server), '127.0.0.1');
    socket.write('GET /v1/models HTTP/1.1\r\nhost: e');
    let text = '';
    for await (const chunk of socket) text += String(chunk);
    expect(text).toInclude('HTTP/1.1 408');
    expect(text).toInclude('application/problem+json');
    const reason = 'request_timeout';
    const count = metrics.counterValue('azurecrank_refusals_total', {reason});
    expect(count).toEqual(1);
  });
});
