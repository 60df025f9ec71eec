/** One relay of a stream with everything around it replaced by fakes. */
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  Logger,
  Metrics,
  RetryBudget,
  type RequestId,
  type ServiceId,
  type WorkspaceId,
} from '@azurecrank/core';
import {
  CallerExchange,
  ChainLoads,
  FleetView,
  ModelAdmission,
  PathDoctor,
  ServerControl,
  StreamRelay,
  Upstream,
  WireCodec,
  type BackendServer,
  type CallerFacts,
  type Exchange,
  type Health,
  type OrderOutcome,
  type RawHeaders,
  type ResponseFacts,
  type Route,
  type ServerAddress,
  type ServerPath,
  type ServerReport,
  type UpstreamHandlers,
  type UpstreamRequest,
  type WaitingRequest,
} from '@azurecrank/forwarding';
import {RefusalSender} from 'azurecrank';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

/** A response that records what the caller would get. */
export class FakeResponse extends EventEmitter {
  headersSent = false;
  destroyed = false;
  writableFinished = false;
  sendDate = true;
  statusCode = 200;
  body = '';
  headers: string[] = [];

  writeHead(status: number, headers: string[]): void {
    if (this.headersSent) throw new Error('the head was sent twice');
    this.headersSent = true;
    this.statusCode = status;
    this.headers = headers;
  }

  setHeader(name: string, value: string): void {
    this.headers.push(name, value);
  }

  write(bytes: Buffer): boolean {
    this.body += bytes.toString();
    return true;
  }

  end(bytes?: Buffer | string): void {
    this.headersSent = true;
    this.body += bytes?.toString() ?? '';
    this.writableFinished = true;
  }

  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

export interface Sent extends Exchange {
  readonly request: UpstreamRequest;
  readonly handlers: UpstreamHandlers;
  isAborted: boolean;
}

class FakeUpstream extends Upstream {
  readonly sent: Sent[] = [];

  override send(request: UpstreamRequest, handlers: UpstreamHandlers): Sent {
    const sent: Sent = {
      request,
      handlers,
      isAborted: false,
      wasSent: true,
      abort: () => (sent.isAborted = true),
      pause: () => {},
      resume: () => {},
    };
    this.sent.push(sent);
    return sent;
  }
}

/** Headers are `key=value` texts; good enough for relays. */
class FakeWire extends WireCodec {
  override readCaller(): CallerFacts {
    return CALLER_FACTS;
  }

  override toServer(): string[] {
    return [];
  }

  override readResponse(_: number, headers: RawHeaders): ResponseFacts {
    return {
      request: REQUEST,
      notRun: headers.includes('not-run'),
      faultyAddress: undefined,
    };
  }

  override toCaller(headers: RawHeaders): string[] {
    return [...headers];
  }
}

export class FakeControl extends ServerControl {
  readonly repaths: ServerPath[] = [];
  answerRepath: (outcome: OrderOutcome) => void = () => {};
  silent = new Set<ServerAddress>();
  /** Servers whose next answer is lost. */
  silentOnce = new Set<ServerAddress>();
  stalledAt: ServerAddress | undefined;

  override async report(address: ServerAddress): Promise<ServerReport> {
    const isSilent = this.silent.has(address);
    if (this.silentOnce.delete(address) || isSilent) {
      throw new Error('no answer');
    }
    const stalled = this.stalledAt
      ? [{request: REQUEST, address: this.stalledAt}]
      : [];
    return {
      layers: this.layersOf(address),
      isBusy: false,
      orderSequence: 0,
      bornAtMs: 1,
      pace: 1,
      reloadingCells: undefined,
      stalled,
    };
  }

  override async health(): Promise<Health> {
    return 'healthy';
  }

  override async place(): Promise<OrderOutcome> {
    return {kind: 'accepted'};
  }

  override repath(_: string, path: ServerPath): Promise<OrderOutcome> {
    this.repaths.push(path);
    return new Promise(resolve => (this.answerRepath = resolve));
  }

  constructor(
    private readonly layersOf: (
      address: ServerAddress,
    ) => BackendServer['layers'],
  ) {
    super();
  }
}

const REQUEST = 'r1' as RequestId;

const CALLER_FACTS: CallerFacts = {
  request: REQUEST,
  deadlineMs: 20_000,
  key: undefined,
  lastEventId: undefined,
  promptTokens: 700,
  maxAnswerTokens: 200,
  expectedAnswerTokens: 170,
};

const ROUTE: Route = {
  name: 'draft',
  host: 'shop.example',
  pathPrefix: '/draft/',
  kind: 'stream',
  timeoutMs: 20_000,
  latencyTargetMs: 500,
  maxAttempts: 2,
  priority: 0,
  allowsAnonymous: true,
  isResumable: true,
  pauseTargetMs: 200,
  services: [{service: SERVICE, weight: 1}],
};

/** Lets promises that are settled run their continuations. */
export async function settle(): Promise<void> {
  for (let i = 0; i < 10; i++) await Promise.resolve();
}

export class RelayHarness {
  nowMs = 1000;
  readonly fleet = new FleetView();
  readonly loads = new ChainLoads();
  readonly upstream = new FakeUpstream();
  readonly control = new FakeControl(address => this.fleet.at(address)?.layers);
  readonly res = new FakeResponse();
  readonly admission: ModelAdmission;
  readonly relay: StreamRelay;
  readonly doctor: PathDoctor;
  /** Last event of any stream through any server. */
  progressAtMs = -Infinity;

  constructor(route: Partial<Route> = {}) {
    for (const server of laidOutFleet()) this.fleet.put(server, 0);
    const logger = new Logger('test', 'silent');
    const metrics = new Metrics();
    const nowMs = () => this.nowMs;
    this.admission = new ModelAdmission({
      service: SERVICE as ServiceId,
      availabilityZone: 'river',
      fleet: this.fleet,
      loads: this.loads,
      model: () => MODEL,
      nowMs,
      onChains: () => {},
    });
    this.doctor = new PathDoctor({
      control: this.control,
      fleet: this.fleet,
      logger,
      nowMs,
      wasPaused: () => false,
      healthPathOf: () => '/health',
      hasProgress: (_, sinceMs) => this.progressAtMs >= sinceMs,
      onServerLost: () => {},
    });
    const req = {
      rawHeaders: [],
      method: 'POST',
      url: '/draft/1',
      complete: true,
    };
    const exchange = new CallerExchange(
      req as unknown as IncomingMessage,
      this.res as unknown as ServerResponse,
      CALLER_FACTS,
      this.nowMs,
    );
    const accepted = {
      route: {...ROUTE, ...route},
      workspace: undefined,
      priority: 0,
      dropsKey: true,
      table: {
        version: 1,
        routes: [],
        services: new Map(),
        limits: {
          maxHeaderBytes: 1,
          maxBodyBytes: 1,
          headerTimeoutMs: 1,
          idleTimeoutMs: 1,
        },
        workspaces: undefined,
      },
      body: undefined,
      deadlineAtMs: this.nowMs + 20_000,
    };
    exchange.accepted = accepted;
    const item: WaitingRequest = {
      request: REQUEST,
      workspace: 'w' as WorkspaceId,
      weight: 1,
      rank: 'urgent',
      costTokens: 785,
      deadlineAtMs: accepted.deadlineAtMs,
      firstTokenDeadlineAtMs: this.nowMs + 400,
      enqueuedAtMs: this.nowMs,
      admit: chain => this.relay.start(chain),
      refuse: reason => this.relay.refuse(reason, 1000),
    };
    this.relay = new StreamRelay(
      exchange,
      accepted,
      item,
      MODEL,
      this.admission,
      {
        upstream: this.upstream,
        wire: new FakeWire(),
        control: this.control,
        fleet: this.fleet,
        doctor: this.doctor,
        loads: this.loads,
        budget: new RetryBudget(this.nowMs),
        refusals: new RefusalSender(metrics, logger),
        metrics,
        logger,
        nowMs,
        onOver: () => {},
      },
    );
    this.admission.enqueue(item);
  }

  /** Other entries use all memory of the chains for the next 10 s. */
  occupyChains(): void {
    const used = this.admission
      .currentChains()
      .map(({path, capacityTokens}) => [
        path[0].server.address,
        capacityTokens,
      ]);
    this.loads.notePeer('peer', Object.fromEntries(used), this.nowMs + 10_000);
  }

  freeChains(): void {
    this.loads.notePeer('peer', {}, this.nowMs);
  }

  /** The exchange with a server that was begun last. */
  get sent(): Sent {
    return this.upstream.sent[this.upstream.sent.length - 1];
  }

  /** Time passes; the relay is looked at as its owner does. */
  async pass(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += 50;
      this.relay.tick(this.nowMs);
      this.admission.pump();
      await settle();
    }
  }

  /** Events of the server with these ids reach the entry. */
  events(...ids: number[]): void {
    for (const id of ids) {
      this.sent.handlers.onData(Buffer.from(`id: ${id}\ndata: t${id}\n\n`));
    }
  }

  begin(): void {
    this.sent.handlers.onHead(200, ['content-type', 'text/event-stream']);
  }

  /** All chains have just refused a request. */
  fillChains(): void {
    for (const {path} of this.admission.currentChains()) {
      this.loads.noteFull(path[0].server.address, this.nowMs);
    }
  }

  /** Addresses on the path of the last request. */
  pathAddresses(): ServerAddress[] {
    const first = this.sent.request.address;
    const chain = this.admission
      .currentChains()
      .find(({path}) => path[0].server.address === first);
    return chain?.path.map(({server}) => server.address) ?? [first];
  }
}
