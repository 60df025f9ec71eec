/** Calls whose only server breaks their connection off. */
import {afterEach, beforeEach, describe, it} from 'node:test';
import {HttpUpstream} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {CallHarness} from './call_harness.js';
import {RawServer, rawResponse} from './raw_server.js';
import {HeaderWire} from './relay_harness.js';

const REQUEST = 'r1';
const RESPONSE = rawResponse(200, [`request-id: ${REQUEST}`], 'done');

describe('a call whose only server breaks it off', () => {
  let server: RawServer;
  let upstream: HttpUpstream;
  let harness: CallHarness;
  /** Number of requests that the server breaks off before it answers. */
  let broken: number;

  beforeEach(async () => {
    broken = 1;
    server = await new RawServer().start();
    server.onRequest = socket => {
      if (server.requests.length > broken) socket.write(RESPONSE);
      else socket.destroy();
    };
    upstream = new HttpUpstream();
    harness = new CallHarness([server], upstream, new HeaderWire());
  });

  afterEach(() => {
    upstream[Symbol.dispose]();
    server[Symbol.dispose]();
  });

  // Guards against failing calls that may be repeated, with most of their time
  // left, since there is no other server.
  it('is repeated there if it is idempotent', async () => {
    const res = await harness.call('idempotent', REQUEST);
    expect([res.statusCode, res.body]).toEqual([200, 'done']);
    expect(server.requests.length).toEqual(2);
  });

  it('is repeated on a new connection', async () => {
    await harness.call('idempotent', REQUEST);
    expect(server.requests.map(({connection}) => connection)).toEqual([0, 1]);
  });

  it('is sent no more often than its route allows', async () => {
    broken = 9;
    const res = await harness.call('idempotent', REQUEST);
    expect(res.statusCode).toEqual(502);
    expect(server.requests.length).toEqual(2);
  });

  it('is not repeated if the retry budget is used up', async () => {
    const res = await harness.call('idempotent', REQUEST, {extraRetries: 0});
    expect(res.statusCode).toEqual(502);
    expect(server.requests.length).toEqual(1);
  });

  it('is not repeated if it may run only once', async () => {
    const res = await harness.call('non_idempotent', REQUEST);
    expect(res.statusCode).toEqual(502);
    expect(server.requests.length).toEqual(1);
  });
});
