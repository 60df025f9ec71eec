/** Plain calls to servers that ask for a pause. */
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {Logger, Metrics} from '@azurecrank/core';
import {
  CallLoadBalancer,
  CallRelay,
  CallerExchange,
  FleetView,
  LeavingServers,
  ResponseMemory,
  ServerHolds,
  SharedRetryBudget,
  SharedServerLimits,
  type ServerAddress,
} from '@azurecrank/forwarding';
import {RefusalSender} from 'azurecrank';
import {expect} from 'earl';
import {SERVICE, emptyFleet} from './fleet_fixture.js';
import {
  FakeResponse,
  quarantineOptions,
  FakeUpstream,
  FakeWire,
  ROUTE,
  acceptedRequest,
  type SentRequest,
} from './relay_harness.js';

const PAUSE_MS = 1000;
const IN_FLIGHT_MS = 500;
const STEP_MS = 10;

class CallHarness {
  nowMs = 0;
  readonly upstream = new FakeUpstream();
  readonly servedAtMs: number[] = [];
  readonly responses: FakeResponse[] = [];
  readonly addresses: ServerAddress[];
  /** Servers that refuse calls until the given time and say so. */
  readonly refusesUntilMs = new Map<ServerAddress, number>();
  readonly pausedArrivals: number[] = [];
  private answered = 0;
  private readonly fleet = new FleetView();
  private readonly options;

  constructor(serverCount: number) {
    const servers = emptyFleet().slice(0, serverCount);
    this.addresses = servers.map(({address}) => address);
    for (const server of servers) this.fleet.put(server, 0);
    const logger = new Logger('test', 'silent');
    const metrics = new Metrics();
    this.options = {
      availabilityZone: 'river',
      upstream: this.upstream,
      wire: new FakeWire(),
      fleet: this.fleet,
      hasEnded: async () => false,
      ...quarantineOptions(() => this.nowMs),
      leavingServers: new LeavingServers({
        fleet: this.fleet,
        logger,
        onServerLost: () => {},
      }),
      balancer: new CallLoadBalancer(),
      memory: new ResponseMemory(),
      budget: new SharedRetryBudget(-Infinity, {
        ratio: 0.2,
        extraRetries: 60,
        windowMs: 10_000,
      }),
      limits: new SharedServerLimits({
        node: 'entry',
        entryCount: () => 1,
        waitingPeers: () => 0,
        onChange: () => {},
      }),
      holds: new ServerHolds(() => {}),
      refusals: new RefusalSender(metrics, logger, 'fractions'),
      metrics,
      logger,
      nowMs: () => this.nowMs,
    };
  }

  /** Starts a call that its caller gives up after the time. */
  call(timeoutMs: number): FakeResponse {
    const res = new FakeResponse();
    this.responses.push(res);
    const req = Object.assign(new EventEmitter(), {
      rawHeaders: [],
      method: 'GET',
      url: '/lookup/1',
      complete: true,
    });
    const wire = this.options.wire;
    const exchange = new CallerExchange(
      req as unknown as IncomingMessage,
      res as unknown as ServerResponse,
      wire.parseCallerHeaders(),
      this.nowMs,
    );
    const route = {
      ...ROUTE,
      kind: 'idempotent' as const,
      latencyTargetMs: 100,
    };
    const accepted = acceptedRequest(route, this.nowMs + timeoutMs);
    exchange.accepted = accepted;
    new CallRelay(exchange, accepted, SERVICE, this.options).start();
    return res;
  }

  advance(durationMs: number, callsPerStep = 0): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      mock.timers.tick(STEP_MS);
      this.answerCalls();
      for (let i = 0; i < callsPerStep; i++) this.call(5000);
    }
  }

  private answerCalls(): void {
    const {sent} = this.upstream;
    while (this.answered < sent.length) this.answer(sent[this.answered++]);
  }

  private answer({request, handlers}: SentRequest): void {
    const leftMs = (this.refusesUntilMs.get(request.address) ?? 0) - this.nowMs;
    if (leftMs <= 0) {
      this.servedAtMs.push(this.nowMs);
      handlers.onHead(200, []);
      return handlers.onEnd();
    }
    this.pausedArrivals.push(this.nowMs);
    handlers.onHead(503, ['not-run', '', 'retry-after-ms', `${leftMs}`]);
    handlers.onEnd();
  }
}

describe('plain calls', () => {
  beforeEach(() => mock.timers.enable({apis: ['setTimeout']}));
  afterEach(() => mock.timers.reset());

  // Guards against calls that reach a server before the end of the back-off
  // that it has named.
  it('leave a server alone that asks for a pause, and come back', () => {
    const harness = new CallHarness(1);
    const [address] = harness.addresses;
    harness.refusesUntilMs.set(address, PAUSE_MS);
    harness.advance(PAUSE_MS, 3);
    const late = harness.pausedArrivals.filter(atMs => atMs > IN_FLIGHT_MS);
    expect(late).toEqual([]);
    harness.advance(300);
    const {servedAtMs} = harness;
    const waited = harness.responses.length - harness.pausedArrivals.length;
    expect(servedAtMs.length).toEqual(waited);
    const atOnce = servedAtMs.filter(atMs => atMs < servedAtMs[0] + STEP_MS);
    expect(atOnce.length).toEqual(1);
    const failed = harness.responses.filter(r => r.statusCode !== 200);
    expect(failed.length).toEqual(harness.pausedArrivals.length);
  });

  it('go to other servers meanwhile', () => {
    const harness = new CallHarness(2);
    const [address] = harness.addresses;
    harness.refusesUntilMs.set(address, PAUSE_MS);
    harness.advance(PAUSE_MS, 1);
    expect(harness.pausedArrivals.length).toEqual(1);
    const failed = harness.responses.filter(
      r => r.headersSent && r.statusCode !== 200,
    );
    expect(failed).toEqual([]);
  });

  it('are refused at once if the pause is too long for them', () => {
    const harness = new CallHarness(1);
    const [address] = harness.addresses;
    harness.refusesUntilMs.set(address, PAUSE_MS);
    const told = harness.call(5000);
    harness.advance(STEP_MS);
    const res = harness.call(500);
    for (const {statusCode, body, headers} of [told, res]) {
      expect(statusCode).toEqual(503);
      expect(body).toEqual(expect.includes('server_backoff'));
      const names = headers.map(name => name.toLowerCase());
      const retryAfterS = Number(headers[names.indexOf('retry-after') + 1]);
      expect(retryAfterS).toBeGreaterThanOrEqual((PAUSE_MS - STEP_MS) / 1000);
    }
    expect(harness.upstream.sent.length).toEqual(1);
  });
});
