import type {IncomingMessage, ServerResponse} from 'node:http';
import {describe, it} from 'node:test';
import {Logger, Metrics} from '@azurecrank/core';
import {
  CallLoadBalancer,
  CallRelay,
  CallerExchange,
  type BackendServer,
  type ServerAddress,
  ResponseMemory,
} from '@azurecrank/forwarding';
import {RefusalSender} from 'azurecrank';
import {expect} from 'earl';
import {SERVICE} from './fleet_fixture.js';
import {
  CALLER_FACTS,
  FakeResponse,
  quarantineOptions,
  FakeWire,
  ROUTE,
  RelayHarness,
  acceptedRequest,
  flushPromises,
} from './relay_harness.js';

const LEAVING_HEAD = ['leaving', '1', 'transfer-encoding', 'chunked'];
const REFUSING_HEAD = ['not-run', '1', ...LEAVING_HEAD];

/** Starts a plain call; returns the response of its caller. */
function startCall(harness: RelayHarness): FakeResponse {
  const res = new FakeResponse();
  const req = {rawHeaders: [], method: 'GET', url: '/lookup/1', complete: true};
  const exchange = new CallerExchange(
    req as unknown as IncomingMessage,
    res as unknown as ServerResponse,
    CALLER_FACTS,
    harness.nowMs,
  );
  const route = {...ROUTE, kind: 'idempotent' as const};
  const accepted = acceptedRequest(route, harness.nowMs + 20_000);
  exchange.accepted = accepted;
  const logger = new Logger('test', 'silent');
  const metrics = new Metrics();
  const {fleet, leavingServers, upstream, budget, limits, holds} = harness;
  new CallRelay(exchange, accepted, SERVICE, {
    availabilityZone: 'river',
    upstream,
    wire: new FakeWire(),
    fleet,
    leavingServers,
    hasEnded: async () => false,
    ...quarantineOptions(() => harness.nowMs),
    memory: new ResponseMemory(),
    balancer: new CallLoadBalancer(),
    budget,
    limits,
    holds,
    refusals: new RefusalSender(metrics, logger),
    metrics,
    logger,
    nowMs: () => harness.nowMs,
  }).start();
  return res;
}

/** Makes the last request get a whole response with these headers. */
function answer(harness: RelayHarness, status: number, headers: string[]) {
  const {handlers} = harness.lastSent;
  handlers.onHead(status, headers);
  if (status === 200) handlers.onData(Buffer.from('id: 1\ndata: t1\n\n'));
  handlers.onEnd();
}

function serverAt(harness: RelayHarness, address: ServerAddress) {
  const server = harness.fleet.findByAddress(address);
  if (!server) throw new Error(`no server is registered at ${address}`);
  return server;
}

/** Removes all servers but the given one, so that it gets every call. */
function keepOnly(harness: RelayHarness, kept: BackendServer): void {
  for (const {server} of [...harness.fleet.all()]) {
    if (server !== kept.server) harness.fleet.remove(server);
  }
}

/** Addresses to which requests were sent after the first `count`. */
function sentAfter(harness: RelayHarness, count: number): ServerAddress[] {
  return harness.upstream.sent.slice(count).map(({request}) => request.address);
}

describe('a server whose response states that it leaves', () => {
  const RESPONSES = [
    {name: 'a stream', status: 200, headers: LEAVING_HEAD},
    {name: 'an error', status: 500, headers: LEAVING_HEAD},
    {name: 'a refusal', status: 503, headers: REFUSING_HEAD},
  ];
  for (const {name, status, headers} of RESPONSES) {
    // Guards against requests to a server that leaves while the entry reaches
    // neither the store nor its peers.
    it(`gets no stream after ${name}, though registered as ready`, async () => {
      const harness = new RelayHarness();
      const left = harness.lastSent.request.address;
      answer(harness, status, headers);
      harness.fleet.put(serverAt(harness, left), harness.nowMs);
      for (let i = 0; i < 8; i++) {
        harness.startStream();
        await harness.advance(100);
      }
      const later = sentAfter(harness, 1);
      expect(later.length).toBeGreaterThanOrEqual(8);
      expect(later).not.toInclude(left);
      expect(harness.serversLost).toEqual(1);
    });
  }

  it('is on no path of another first server', () => {
    const harness = new RelayHarness();
    const later = serverAt(harness, harness.pathAddresses()[3]);
    harness.leavingServers.record(later, 'request');
    const paths = harness.admission.currentChains().flatMap(c => c.path);
    expect(paths.length).toBeGreaterThan(0);
    expect(paths.map(({server}) => server.address)).not.toInclude(
      later.address,
    );
  });

  // Guards against requests that were queued before the response came.
  it('gets no request that waited in the queue', async () => {
    const harness = new RelayHarness();
    const left = harness.lastSent.request.address;
    harness.useAllTokens();
    harness.startStream();
    await harness.advance(100);
    expect(harness.upstream.sent.length).toEqual(1);
    harness.receiveHead(LEAVING_HEAD);
    harness.freeAllTokens();
    await harness.advance(100);
    const later = sentAfter(harness, 1);
    expect(later.length).toEqual(1);
    expect(later).not.toInclude(left);
  });

  // Guards against resuming a stream on the server that it ran on before.
  it('gets no stream that is resumed', async () => {
    const harness = new RelayHarness({maxAttempts: 1});
    const left = harness.lastSent.request.address;
    harness.receiveHead(LEAVING_HEAD);
    harness.receiveEvents(1);
    harness.lastSent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
    await harness.advance(1500);
    expect(sentAfter(harness, 1)).not.toInclude(left);
  });

  it('gets no plain call, though it is the only one', () => {
    const harness = new RelayHarness();
    const server = serverAt(harness, harness.lastSent.request.address);
    keepOnly(harness, server);
    startCall(harness);
    expect(sentAfter(harness, 1)).toEqual([server.address]);
    answer(harness, 200, LEAVING_HEAD);
    harness.fleet.put(server, harness.nowMs);
    startCall(harness);
    expect(harness.upstream.sent.length).toEqual(2);
  });

  it('is used again after its next start', () => {
    const harness = new RelayHarness();
    const server = serverAt(harness, harness.lastSent.request.address);
    keepOnly(harness, server);
    startCall(harness);
    answer(harness, 200, LEAVING_HEAD);
    const startedAtMs = server.startedAtMs + 1;
    harness.fleet.put({...server, startedAtMs}, harness.nowMs);
    const res = startCall(harness);
    expect(sentAfter(harness, 2)).toEqual([server.address]);
    res.destroy();
  });

  it('is taken out of use by its report', async () => {
    const harness = new RelayHarness();
    const {address} = harness.lastSent.request;
    harness.control.leaving.add(address);
    harness.failureDetector.queryServer(address);
    await flushPromises();
    expect(harness.fleet.isLeaving(serverAt(harness, address))).toEqual(true);
  });
});
