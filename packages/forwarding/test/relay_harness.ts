/** Test harness: one stream relay whose dependencies are fakes. */
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  Logger,
  Metrics,
  type PromptPartId,
  type RequestId,
  type ServiceId,
  type WorkspaceId,
} from '@azurecrank/core';
import {
  ADMISSIBLE_CAPACITY_FRACTION,
  CallerExchange,
  CrashWatch,
  ChainLoads,
  FleetView,
  LeavingServers,
  ModelAdmission,
  PathFailureDetector,
  PeerQueues,
  RequestQuarantine,
  ServerHolds,
  SharedServerLimits,
  SharedRetryBudget,
  ServerControl,
  StreamRelay,
  Upstream,
  WireCodec,
  type AcceptedRequest,
  type BackendServer,
  type CallerMetadata,
  type Exchange,
  type HealthCheckResult,
  type OrderOutcome,
  type RawHeaders,
  type RequestDigest,
  type ResponseMetadata,
  type Route,
  type ServerAddress,
  type ServerChain,
  type ServerPath,
  type ServerReport,
  type UpstreamHandlers,
  type UpstreamRequest,
  type WaitingRequest,
} from '@azurecrank/forwarding';
import {RefusalSender} from 'azurecrank';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

/** A response that records what the caller would receive. */
export class FakeResponse extends EventEmitter {
  headersSent = false;
  destroyed = false;
  writableFinished = false;
  sendDate = true;
  statusCode = 200;
  body = '';
  headers: string[] = [];

  writeHead(status: number, headers: string[]): void {
    if (this.headersSent) throw new Error('response head was sent twice');
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

export interface SentRequest extends Exchange {
  readonly request: UpstreamRequest;
  readonly handlers: UpstreamHandlers;
  isAborted: boolean;
  wasSent: boolean;
}

export class FakeUpstream extends Upstream {
  readonly sent: SentRequest[] = [];

  override send(
    request: UpstreamRequest,
    handlers: UpstreamHandlers,
  ): SentRequest {
    const sent: SentRequest = {
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

/** Id of the caller's request that was sent to a server. */
export function requestOf({request}: SentRequest): string {
  const {headers} = request;
  return headers[headers.indexOf('request-id') + 1];
}

/** Passes headers through; the header `not-run` marks a refused request. */
export class FakeWire extends WireCodec {
  override parseCallerHeaders(): CallerMetadata {
    return CALLER_FACTS;
  }

  override toServerHeaders(headers: RawHeaders): string[] {
    return [...headers];
  }

  override parseResponse(_: number, headers: RawHeaders): ResponseMetadata {
    const idIndex = headers.indexOf('id');
    return {
      request: idIndex < 0 ? REQUEST : headers[idIndex + 1],
      notRun: headers.includes('not-run'),
      isRefusalStatus: false,
      faultyAddress: undefined,
      isServerLeaving: headers.includes('leaving'),
      requestLimitPerS: undefined,
      retryAfterMs: valueOf(headers, 'retry-after-ms'),
    };
  }

  override toCallerHeaders(headers: RawHeaders): string[] {
    return [...headers];
  }
}

/** Value of a header as a number. */
function valueOf(headers: RawHeaders, name: string): number | undefined {
  const index = headers.indexOf(name);
  return index < 0 ? undefined : Number(headers[index + 1]);
}

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Reads the id of the request and its refusal from the response's headers. */
export class HeaderWire extends WireCodec {
  override parseCallerHeaders(): CallerMetadata {
    return CALLER_FACTS;
  }

  override toServerHeaders(headers: RawHeaders): string[] {
    return [...headers];
  }

  override parseResponse(
    status: number,
    headers: RawHeaders,
  ): ResponseMetadata {
    const at = headers.indexOf('request-id');
    return {
      request: at < 0 ? '' : headers[at + 1],
      notRun: headers.includes('not-run'),
      isRefusalStatus: REFUSAL_STATUSES.has(status),
      faultyAddress: undefined,
      isServerLeaving: false,
      requestLimitPerS: undefined,
      retryAfterMs: undefined,
    };
  }

  override toCallerHeaders(headers: RawHeaders): string[] {
    return [...headers];
  }
}

/** What connects the relay of the harness with servers. */
export interface Transport {
  readonly upstream: Upstream;
  readonly wire: WireCodec;
  readonly request: string;
}

export class FakeControl extends ServerControl {
  readonly repaths: ServerPath[] = [];
  readonly healthChecks: ServerAddress[] = [];
  resolveRepath: (outcome: OrderOutcome) => void = () => {};
  unresponsive = new Set<ServerAddress>();
  /** Servers whose next response is lost. */
  unresponsiveOnce = new Set<ServerAddress>();
  /** Servers whose host refuses connections. */
  refusingConnections = new Set<ServerAddress>();
  /** Server that all reports name as stalling requests. */
  stalledAt: ServerAddress | undefined;
  /** Servers whose reports state that they leave. */
  leaving = new Set<ServerAddress>();

  override async fetchReport(address: ServerAddress): Promise<ServerReport> {
    if (this.refusingConnections.has(address)) throw new Error('ECONNREFUSED');
    const isSilent = this.unresponsive.has(address);
    if (this.unresponsiveOnce.delete(address) || isSilent) {
      throw new Error('no response');
    }
    const stalled = this.stalledAt
      ? [{request: REQUEST, address: this.stalledAt}]
      : [];
    return {
      layers: this.layersOf(address),
      isBusy: false,
      isLeaving: this.leaving.has(address),
      orderSequence: 0,
      startedAtMs: 1,
      slowdownFactor: 1,
      reloadingLayerTokens: undefined,
      stalled,
    };
  }

  override async checkHealth(
    address: ServerAddress,
  ): Promise<HealthCheckResult> {
    this.healthChecks.push(address);
    return 'healthy';
  }

  override async placeLayers(): Promise<OrderOutcome> {
    return {kind: 'accepted'};
  }

  override repath(_: string, path: ServerPath): Promise<OrderOutcome> {
    this.repaths.push(path);
    return new Promise(resolve => (this.resolveRepath = resolve));
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

export const CALLER_FACTS: CallerMetadata = {
  request: REQUEST,
  deadlineMs: 20_000,
  key: undefined,
  lastEventId: undefined,
  promptTokens: 700,
  maxAnswerTokens: 200,
  expectedAnswerTokens: 170,
  sharedPromptParts: [],
};

export const ROUTE: Route = {
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

/** An accepted request of the most urgent rank. */
export function acceptedRequest(
  route: Route,
  deadlineAtMs: number,
): AcceptedRequest {
  return {
    route,
    workspace: undefined,
    priority: 0,
    rank: 'urgent',
    stripsApiKey: true,
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
    deadlineAtMs,
  };
}

/** A line of the log. */
export type LogLine = Readonly<Record<string, unknown>>;

let harnessCount = 0;

/** Runs the continuations of settled promises. */
export async function flushPromises(): Promise<void> {
  for (let i = 0; i < 10; i++) await Promise.resolve();
}

export class RelayHarness {
  nowMs = 1000;
  readonly fleet = new FleetView();
  readonly limits = new SharedServerLimits({
    node: 'entry',
    entryCount: () => 1,
    waitingPeers: () => 0,
    onChange: () => {},
  });
  readonly holds = new ServerHolds(() => {});
  readonly loads = new ChainLoads(this.limits, this.holds);
  readonly upstream = new FakeUpstream();
  readonly budget = new SharedRetryBudget(-Infinity, {
    ratio: 0.2,
    extraRetries: 60,
    windowMs: 10_000,
  });
  readonly control = new FakeControl(
    address => this.fleet.findByAddress(address)?.layers,
  );
  readonly res = new FakeResponse();
  readonly admission: ModelAdmission;
  readonly relay: StreamRelay;
  readonly failureDetector: PathFailureDetector;
  readonly crashWatch: CrashWatch;
  readonly leavingServers: LeavingServers;
  readonly peerQueues = new PeerQueues();
  readonly metrics = new Metrics();
  readonly logLines: LogLine[] = [];
  // Loggers of the same name share their output.
  private readonly logger = new Logger(`test-${harnessCount++}`, 'info', line =>
    this.logLines.push(JSON.parse(line) as LogLine),
  );
  private readonly relays: StreamRelay[] = [];
  /** That of the first stream. */
  private exchange: CallerExchange | undefined;
  /** Time of the last event of any stream through any server. */
  lastEventAtMs = -Infinity;
  /** Number of servers that were taken out of use because they leave. */
  serversLost = 0;

  constructor(
    route: Partial<Route> = {},
    promptParts: readonly string[] = [],
    readonly quarantine = new RequestQuarantine(() => {}),
    transport: Partial<Transport> = {},
  ) {
    for (const server of laidOutFleet()) this.fleet.put(server, 0);
    const {fleet, logger} = this;
    const nowMs = () => this.nowMs;
    const onServerLost = () => void this.serversLost++;
    this.leavingServers = new LeavingServers({fleet, logger, onServerLost});
    this.admission = new ModelAdmission({
      service: SERVICE as ServiceId,
      availabilityZone: 'river',
      fleet: this.fleet,
      loads: this.loads,
      peerQueues: this.peerQueues,
      model: () => MODEL,
      nowMs,
      onChainsChanged: () => {},
    });
    this.failureDetector = new PathFailureDetector({
      control: this.control,
      fleet,
      leavingServers: this.leavingServers,
      holds: this.holds,
      logger,
      nowMs,
      wasPaused: () => false,
      healthPathOf: () => '/health',
      hasEventSince: (_, sinceMs) => this.lastEventAtMs >= sinceMs,
      onServerLost: () => {},
      onServerEnded: server => this.crashWatch.recordEnd(server),
    });
    this.crashWatch = new CrashWatch({
      quarantine,
      hasEnded: server => this.failureDetector.hasEnded(server),
      stateOf: server => fleet.stateOf(server),
      nowMs,
    });
    this.relay = this.startStream(route, promptParts, this.res, transport);
  }

  /** Digest of the request of the first stream. */
  get digest(): RequestDigest {
    if (!this.exchange) throw new Error('no stream was started');
    return this.exchange.digest;
  }

  /** Starts another stream with its own caller. */
  startStream(
    route: Partial<Route> = {},
    promptParts: readonly string[] = [],
    res = new FakeResponse(),
    transport: Partial<Transport> = {},
  ): StreamRelay {
    const {logger, metrics} = this;
    const nowMs = () => this.nowMs;
    const {request = REQUEST} = transport;
    const req = {
      rawHeaders: ['request-id', request],
      method: 'POST',
      url: '/draft/1',
      complete: true,
    };
    const exchange = new CallerExchange(
      req as unknown as IncomingMessage,
      res as unknown as ServerResponse,
      {
        ...CALLER_FACTS,
        request,
        sharedPromptParts: promptParts as PromptPartId[],
      },
      this.nowMs,
    );
    this.exchange ??= exchange;
    const accepted = acceptedRequest({...ROUTE, ...route}, this.nowMs + 20_000);
    exchange.accepted = accepted;
    const item: WaitingRequest = {
      request: request as RequestId,
      workspace: 'w' as WorkspaceId,
      weight: 1,
      rank: 'urgent',
      costTokens: 785,
      deadlineAtMs: accepted.deadlineAtMs,
      firstTokenDeadlineAtMs: this.nowMs + 400,
      enqueuedAtMs: this.nowMs,
      admit: chain => relay.start(chain),
      refuse: reason => relay.refuse(reason, 1000),
    };
    const relay = new StreamRelay(
      exchange,
      accepted,
      item,
      MODEL,
      this.admission,
      {
        upstream: transport.upstream ?? this.upstream,
        wire: transport.wire ?? new FakeWire(),
        control: this.control,
        fleet: this.fleet,
        leavingServers: this.leavingServers,
        failureDetector: this.failureDetector,
        loads: this.loads,
        service: SERVICE,
        budget: this.budget,
        quarantine: this.quarantine,
        crashWatch: this.crashWatch,
        limits: this.limits,
        holds: this.holds,
        refusals: new RefusalSender(metrics, logger),
        metrics,
        logger,
        nowMs,
        onFinished: () => {},
      },
    );
    this.relays.push(relay);
    relay.enqueue();
    return relay;
  }

  /** Makes a peer report that it uses all KV-cache tokens for the next 10 s. */
  useAllTokens(): void {
    const used = this.admission
      .currentChains()
      .map(({path, capacityTokens}) => [
        path[0].server.address,
        capacityTokens,
      ]);
    this.loads.setPeerUsage(
      'peer',
      Object.fromEntries(used),
      this.nowMs + 10_000,
    );
  }

  /**
   * Makes a peer report that it leaves this many tokens of the chain free, and
   * none of the others, for the next 10 s.
   */
  leaveTokens(first: ServerAddress, freeTokens: number): void {
    const used = this.admission.currentChains().map(chain => {
      const {address} = chain.path[0].server;
      const unusedTokens = this.unusedTokens(chain);
      const left = address === first ? Math.min(freeTokens, unusedTokens) : 0;
      return [address, unusedTokens - left];
    });
    const atMs = this.nowMs + 10_000;
    this.loads.setPeerUsage('peer', Object.fromEntries(used), atMs);
  }

  /** Admissible tokens of a chain that this entry does not use. */
  private unusedTokens({path, capacityTokens}: ServerChain): number {
    const {address} = path[0].server;
    const own = this.loads.ownUsedTokens()[address] ?? 0;
    return capacityTokens * ADMISSIBLE_CAPACITY_FRACTION - own;
  }

  freeAllTokens(): void {
    this.loads.setPeerUsage('peer', {}, this.nowMs);
  }

  /** Uses all retries of the window. */
  useAllRetries(): void {
    while (this.budget.tryAcquire(SERVICE, this.nowMs));
  }

  /** The request that was sent to a server last. */
  get lastSent(): SentRequest {
    return this.upstream.sent[this.upstream.sent.length - 1];
  }

  /** The requests that were sent to servers for a caller's request. */
  sentFor(request: string): SentRequest[] {
    return this.upstream.sent.filter(sent => requestOf(sent) === request);
  }

  /** Lines of the log with this message. */
  linesOf(message: string): LogLine[] {
    return this.logLines.filter(line => line.message === message);
  }

  /** Advances the time in steps and calls the relays' periodic checks. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += 50;
      for (const relay of this.relays) relay.tick(this.nowMs);
      this.admission.processQueue();
      await flushPromises();
    }
  }

  /** Makes the entry receive events with these ids from the server. */
  receiveEvents(...ids: number[]): void {
    this.receiveEventsOf(this.lastSent, ...ids);
  }

  /** Nothing arrives for a request that was aborted. */
  receiveEventsOf(sent: SentRequest, ...ids: number[]): void {
    for (const id of ids) {
      if (sent.isAborted) return;
      sent.handlers.onData(Buffer.from(`id: ${id}\ndata: t${id}\n\n`));
    }
  }

  /**
   * Makes the entry receive the response head from the server.
   * @param framing headers that say where the body ends; without them it ends
   *     with the connection
   */
  receiveHead(framing = ['transfer-encoding', 'chunked']): void {
    this.receiveHeadOf(this.lastSent, framing);
  }

  receiveHeadOf(
    sent: SentRequest,
    framing = ['transfer-encoding', 'chunked'],
  ): void {
    const type = ['content-type', 'text/event-stream'];
    const headers = ['id', requestOf(sent), ...type, ...framing];
    sent.handlers.onHead(200, headers);
  }

  /** Records a refusal of every chain at the current time. */
  refuseOnAllChains(): void {
    for (const {path} of this.admission.currentChains()) {
      const {nowMs} = this;
      this.loads.recordRefusal(path[0].server.address, nowMs, nowMs);
    }
  }

  /** Returns the addresses on the path of the last request. */
  pathAddresses(): ServerAddress[] {
    const first = this.lastSent.request.address;
    const chain = this.admission
      .currentChains()
      .find(({path}) => path[0].server.address === first);
    return chain?.path.map(({server}) => server.address) ?? [first];
  }
}

/** A quarantine of its own for calls whose servers do not end. */
export function quarantineOptions(nowMs: () => number) {
  const quarantine = new RequestQuarantine(() => {});
  const crashWatch = new CrashWatch({
    quarantine,
    hasEnded: async () => false,
    stateOf: () => 'registered',
    nowMs,
  });
  return {quarantine, crashWatch};
}
