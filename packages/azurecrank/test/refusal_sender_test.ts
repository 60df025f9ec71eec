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
import {request} from 'undici';
import {answerClientErrors} from '../src/core/gateway/client_errors.js';
import {Exchange} from '../src/core/gateway/exchange.js';
import {RefusalSender} from '../src/core/gateway/refusal_sender.js';

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

  it('are logged as warnings where an operator may have to act', async () => {
    const {headers, line} = await answerOf(refuse('stage_lost', 'recover'));
    expect('retry-after' in headers).toEqual(false);
    expect(line.level).toEqual('warn');
    expect(line.step).toEqual('recover');
  });

  // Guards against connections held open by callers that send no request.
  it('answer a request head that does not arrive in time', async () => {
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
