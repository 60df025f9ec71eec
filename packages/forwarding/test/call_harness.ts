/** Test harness: calls that are relayed to servers over real connections. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  Logger,
  Metrics,
  toId,
  type ServerId,
  type ServiceId,
} from '@azurecrank/core';
import {
  CallLoadBalancer,
  CallRelay,
  CallerExchange,
  CrashWatch,
  FleetView,
  LeavingServers,
  RequestQuarantine,
  ResponseMemory,
  ServerHolds,
  SharedRetryBudget,
  SharedServerLimits,
  type CallKind,
  type Upstream,
  type WireCodec,
} from '@azurecrank/forwarding';
import {RefusalSender} from 'azurecrank';
import {
  CALLER_FACTS,
  FakeResponse,
  ROUTE,
  acceptedRequest,
} from './relay_harness.js';
import {waitUntil, type RawServer} from './raw_server.js';

const SERVICE = toId<ServiceId>('desk');
const DEADLINE_MS = 3000;

export interface CallOptions {
  readonly latencyTargetMs?: number;
  /** Retries in addition to the share of the requests. */
  readonly extraRetries?: number;
}

export class CallHarness {
  readonly metrics = new Metrics();
  /** Whether the servers are found to have ended after their response. */
  hasServerEnded = false;
  private readonly fleet = new FleetView();
  private readonly quarantine = new RequestQuarantine(() => {});
  private readonly crashWatch = new CrashWatch({
    quarantine: this.quarantine,
    hasEnded: async () => this.hasServerEnded,
    stateOf: server => this.fleet.stateOf(server),
    nowMs: () => performance.now(),
  });
  private readonly memory = new ResponseMemory();
  private readonly balancer = new CallLoadBalancer();
  private readonly logger = new Logger('test', 'silent');

  constructor(
    servers: readonly RawServer[],
    private readonly upstream: Upstream,
    private readonly wire: WireCodec,
  ) {
    servers.forEach(({address}, i) => {
      const server = {
        server: toId<ServerId>(`d${i}`),
        service: SERVICE,
        address,
        availabilityZone: 'a',
        state: 'ready' as const,
        startedAtMs: 1,
        accelerator: '',
        layers: undefined,
      };
      this.fleet.put(server, 0);
    });
  }

  /** Relays a call and returns what the caller gets. */
  async call(
    kind: CallKind,
    request: string,
    {latencyTargetMs = DEADLINE_MS, extraRetries = 60}: CallOptions = {},
  ): Promise<FakeResponse> {
    const res = new FakeResponse();
    const nowMs = () => performance.now();
    const exchange = new CallerExchange(
      {
        rawHeaders: ['request-id', request],
        method: 'GET',
        url: '/desk/1',
        complete: true,
      } as unknown as IncomingMessage,
      res as unknown as ServerResponse,
      {...CALLER_FACTS, request},
      nowMs(),
    );
    const maxAttempts = kind === 'idempotent' ? 2 : 1;
    const accepted = acceptedRequest(
      {...ROUTE, kind, maxAttempts, latencyTargetMs},
      nowMs() + DEADLINE_MS,
    );
    exchange.accepted = accepted;
    const {fleet, balancer, logger, memory, metrics, upstream, wire} = this;
    const relay = new CallRelay(exchange, accepted, SERVICE, {
      availabilityZone: 'a',
      leavingServers: new LeavingServers({
        fleet,
        logger,
        onServerLost: () => {},
      }),
      holds: new ServerHolds(() => {}),
      hasEnded: async () => this.hasServerEnded,
      quarantine: this.quarantine,
      crashWatch: this.crashWatch,
      upstream,
      wire,
      fleet,
      balancer,
      memory,
      budget: new SharedRetryBudget(-Infinity, {
        ratio: 0.2,
        extraRetries,
        windowMs: 10_000,
      }),
      limits: new SharedServerLimits({
        node: 'entry',
        entryCount: () => 1,
        waitingPeers: () => 0,
        onChange: () => {},
      }),
      refusals: new RefusalSender(metrics, logger),
      metrics,
      logger,
      nowMs,
    });
    relay.start();
    await waitUntil('call ended', () => res.writableFinished || res.destroyed);
    return res;
  }
}
