import {afterEach, beforeEach, describe, it} from 'node:test';
import {HttpUpstream} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {CallHarness} from './call_harness.js';
import {RawServer, rawResponse} from './raw_server.js';
import {HeaderWire} from './relay_harness.js';

const REQUEST = 'r1';
const LATENCY_TARGET_MS = 40;
/** Later than the time after which a call goes to another server. */
const SLOW_MS = 250;

describe('an idempotent call to a slow server', () => {
  let servers: RawServer[];
  let upstream: HttpUpstream;

  beforeEach(async () => {
    servers = [await new RawServer().start(), await new RawServer().start()];
    upstream = new HttpUpstream();
    const response = rawResponse(200, [`request-id: ${REQUEST}`], 'done');
    for (const [i, server] of servers.entries()) {
      const delayMs = i === 0 ? SLOW_MS : SLOW_MS / 2;
      server.onRequest = socket => {
        setTimeout(() => socket.write(response), delayMs);
      };
    }
  });

  afterEach(() => {
    upstream[Symbol.dispose]();
    for (const server of servers) server[Symbol.dispose]();
  });

  function arrivals(): number {
    return servers.reduce((sum, {requests}) => sum + requests.length, 0);
  }

  // Guards against ending a call at which a sound server is at work while the
  // caller still waits.
  describe('that cannot be retried elsewhere', () => {
    it('awaits the response if the retry budget is used up', async () => {
      const harness = new CallHarness(servers, upstream, new HeaderWire());
      const res = await harness.call('idempotent', REQUEST, {
        latencyTargetMs: LATENCY_TARGET_MS,
        extraRetries: 0,
      });
      expect([res.statusCode, res.body]).toEqual([200, 'done']);
      expect(arrivals()).toEqual(1);
    });

    it('awaits the response if there is no other server', async () => {
      const only = servers.slice(0, 1);
      const harness = new CallHarness(only, upstream, new HeaderWire());
      const res = await harness.call('idempotent', REQUEST, {
        latencyTargetMs: LATENCY_TARGET_MS,
      });
      expect([res.statusCode, res.body]).toEqual([200, 'done']);
      expect(arrivals()).toEqual(1);
    });
  });

  it('goes to another server if it may', async () => {
    const harness = new CallHarness(servers, upstream, new HeaderWire());
    const res = await harness.call('idempotent', REQUEST, {
      latencyTargetMs: LATENCY_TARGET_MS,
    });
    expect(res.statusCode).toEqual(200);
    expect(arrivals()).toEqual(2);
  });
});
