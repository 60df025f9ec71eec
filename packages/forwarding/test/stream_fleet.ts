/**
 * Entries that relay streams to one fleet of servers. A server ends when it
 * begins to answer a prompt with the crashing part; it starts again some seconds
 * later. Servers can name a limit on their requests. Requests reach the entries
 * at random.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  Logger,
  Metrics,
  type PromptPartId,
  type RequestId,
  type ServerId,
  type WorkspaceId,
} from '@azurecrank/core';
import {
  CallerExchange,
  ChainLoads,
  CrashWatch,
  EMPTY_STATE,
  FleetView,
  LeavingServers,
  ModelAdmission,
  PathFailureDetector,
  PeerQueues,
  RequestQuarantine,
  ServerHolds,
  SharedServerLimits,
  ServerControl,
  SharedRetryBudget,
  StreamRelay,
  Upstream,
  WireCodec,
  type BackendServer,
  type CallerMetadata,
  type Exchange,
  type HealthCheckResult,
  type OrderOutcome,
  type RawHeaders,
  type ResponseMetadata,
  type Route,
  type ServerAddress,
  type ServerReport,
  type UpstreamHandlers,
  type UpstreamRequest,
  type WaitingRequest,
} from '@azurecrank/forwarding';
import {RefusalSender} from 'azurecrank';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {LocalState} from '../src/core/peers/local_state.js';
import {
  findStalledPaths,
  hasEventSince,
  type StreamProgress,
} from '../src/core/relay/stalled_paths.js';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';
import {
  FakeResponse,
  ROUTE,
  acceptedRequest,
  flushPromises,
} from './relay_harness.js';

const STEP_MS = 10;
const CHECK_INTERVAL_MS = 20;
const QUEUE_INTERVAL_MS = 30;
/** Interval at which entries report to each other. */
const REPORT_INTERVAL_MS = 200;
/** Time until a report that is sent at once reaches the other entries. */
const PEER_LATENCY_MS = 20;
/** Interval at which entries check the servers that they suspect. */
const MARKED_CHECK_INTERVAL_MS = 1000;

const MIN_FIRST_TOKEN_MS = 40;
const MAX_FIRST_TOKEN_MS = 250;
const EVENT_INTERVAL_MS = 50;
const EVENTS = 60;
/** Time from the first token of a crashing prompt to the end of its server. */
const MIN_CRASH_DELAY_MS = 20;
const MAX_CRASH_DELAY_MS = 100;
/** Time after which the store shows that a server has ended. */
const REGISTRATION_LAG_MS = 1500;
const MIN_DOWN_MS = 2500;
const MAX_DOWN_MS = 5000;

const COST_TOKENS = 860;
const REQUEST_TIMEOUT_MS = 20_000;
const MAX_WAIT_MS = 425;

const FRAMING = ['transfer-encoding', 'chunked'];
const REQUEST_ID_HEADER = 'request-id';
const LIMIT_HEADER = 'limit';
const RETRY_AFTER_HEADER = 'retry-after-ms';

/** Part of the prompt that ends servers. */
export const CRASHING_PART = 'crash' as PromptPartId;
/** First part that requests with and without the crashing part share. */
export const SHARED_FIRST_PART = 'first-0' as PromptPartId;
const FIRST_PARTS = 60;
const MIDDLE_PARTS = 200;

export interface Traffic {
  readonly soundPerSecond: number;
  readonly crashingPerSecond: number;
}

interface SimulatedRequest {
  readonly id: RequestId;
  readonly target: string;
  /** Whether it ends the servers that run it. */
  readonly crashes: boolean;
  readonly parts: readonly PromptPartId[];
  readonly sentAtMs: number;
  /** Number of times that the request reached a server. */
  arrivals: number;
  /** Whether its first attempt brought an event. */
  hasBegunAtOnce: boolean;
  /** What the caller receives. */
  readonly response: FakeResponse;
}

interface Run extends Exchange {
  readonly entry: string;
  readonly request: SimulatedRequest;
  readonly handlers: UpstreamHandlers;
  isOver: boolean;
}

/** A request that reached a server. */
export interface Arrival {
  readonly atMs: number;
  readonly entry: string;
  /** Pause that the server asked for with a refusal. */
  readonly pauseMs: number | undefined;
}

interface ServerState {
  server: BackendServer;
  isUp: boolean;
  readonly runs: Set<Run>;
  /** Headers of all responses. */
  headers: string[];
  readonly arrivals: Arrival[];
  /** Time until which the server refuses requests, and asks for a pause. */
  refusesUntilMs: number;
  /** Entries that it refuses; all if undefined. */
  refusedEntry: string | undefined;
  /** Time until which it answers no query and begins no answer. */
  unreportedUntilMs: number;
  /** Time until which it sends nothing of its streams either. */
  silentUntilMs: number;
}

export class StreamFleet {
  nowMs = 0;
  /** Number of entries that get requests; all if undefined. */
  callersAt: number | undefined;
  /** Changes to the route of the requests that arrive. */
  route: Partial<Route> = {};
  /** Whether entries hear of each other. */
  areEntriesConnected = true;
  /**
   * What crashing requests have in common: a part of their prompts, or they are
   * one request that is sent again, with parts as sound ones have.
   */
  crashingBy: 'part' | 'request' = 'part';
  /** Events of a crashing request before its server ends. */
  eventsBeforeCrash = 0;
  /** Times at which a server ended because of a prompt. */
  readonly crashAtMs: number[] = [];
  /** Times at which crashing requests reached a server. */
  readonly crashingArrivalAtMs: number[] = [];
  readonly requests: SimulatedRequest[] = [];
  readonly entries: Entry[];
  private readonly servers = new Map<ServerAddress, ServerState>();
  private readonly timers = new Map<number, Array<() => void>>();
  private readonly generator;
  private incarnations = 0;

  constructor(seed: number, entryCount: number) {
    this.generator = xoroshiro128plus(seed);
    for (const server of laidOutFleet()) {
      this.servers.set(server.address, {
        server,
        isUp: true,
        runs: new Set(),
        headers: [...FRAMING],
        arrivals: [],
        refusesUntilMs: 0,
        refusedEntry: undefined,
        unreportedUntilMs: 0,
        silentUntilMs: 0,
      });
    }
    this.entries = Array.from(
      {length: entryCount},
      (_, i) => new Entry(`entry-${i}`, this),
    );
  }

  /** Lets time pass while requests arrive. */
  async advance(durationMs: number, traffic: Traffic): Promise<void> {
    const endMs = this.nowMs + durationMs;
    const stepS = STEP_MS / 1000;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      const due = this.timers.get(this.nowMs) ?? [];
      this.timers.delete(this.nowMs);
      for (const run of due) run();
      if (this.random() < traffic.soundPerSecond * stepS) this.arrive(false);
      if (this.random() < traffic.crashingPerSecond * stepS) this.arrive(true);
      this.runEntries();
      await flushPromises();
    }
  }

  /** Replaces an entry by one that knows nothing, as after a restart. */
  restartEntry(index: number): void {
    this.entries[index].stop();
    this.entries[index] = new Entry(`entry-${index}`, this);
  }

  /** Ends a server for a reason other than a prompt. */
  endServer(index: number): void {
    const firsts = this.firstServers();
    const state = this.servers.get(firsts[index % firsts.length]);
    if (state?.isUp) this.end(state);
  }

  /** Makes the first server of each chain name a limit in its responses. */
  nameLimits(requestsPerS: number | undefined): void {
    for (const address of this.firstServers()) {
      const state = this.servers.get(address);
      if (!state) continue;
      state.headers =
        requestsPerS === undefined
          ? [...FRAMING]
          : [...FRAMING, LIMIT_HEADER, `${requestsPerS}`];
    }
  }

  /** Makes a server refuse an entry, or all, and ask for a pause so long. */
  askForPause(address: ServerAddress, pauseMs: number, entry?: string): void {
    const state = this.servers.get(address);
    if (!state) return;
    state.refusesUntilMs = this.nowMs + pauseMs;
    state.refusedEntry = entry;
  }

  /**
   * Makes a server answer no query and begin no answer for a time; its running
   * streams go on.
   */
  delayReports(address: ServerAddress, durationMs: number): void {
    const state = this.servers.get(address);
    if (state) state.unreportedUntilMs = this.nowMs + durationMs;
  }

  /** Makes a server send nothing for a time; its streams go on afterwards. */
  silence(address: ServerAddress, durationMs: number): void {
    const state = this.servers.get(address);
    if (!state) return;
    this.delayReports(address, durationMs);
    state.silentUntilMs = this.nowMs + durationMs;
  }

  answersQueries(address: ServerAddress): boolean {
    return this.nowMs >= (this.servers.get(address)?.unreportedUntilMs ?? 0);
  }

  firstServers(): ServerAddress[] {
    return this.entries[0].admission
      .currentChains()
      .map(({path}) => path[0].server.address);
  }

  arrivalsAt(address: ServerAddress): readonly Arrival[] {
    return this.servers.get(address)?.arrivals ?? [];
  }

  /** Time of the fifth end of a server because of a prompt. */
  get fifthCrashAtMs(): number {
    return this.crashAtMs[4] ?? Infinity;
  }

  /** Fraction of the requests in a span whose first attempt brought an event. */
  fractionBegun(
    fromMs: number,
    toMs: number,
    isCounted: (parts: readonly PromptPartId[]) => boolean,
  ): number {
    const counted = this.requests.filter(
      ({sentAtMs, parts, crashes}) =>
        sentAtMs >= fromMs && sentAtMs < toMs && !crashes && isCounted(parts),
    );
    const begun = counted.filter(({hasBegunAtOnce}) => hasBegunAtOnce);
    return begun.length / counted.length;
  }

  get registered(): BackendServer[] {
    return [...this.servers.values()].map(({server}) => server);
  }

  isUp(address: ServerAddress): boolean {
    return this.servers.get(address)?.isUp ?? false;
  }

  startedAtMs(address: ServerAddress): number {
    return this.servers.get(address)?.server.startedAtMs ?? 0;
  }

  after(delayMs: number, run: () => void): void {
    const steps = Math.max(1, Math.round(delayMs / STEP_MS));
    const atMs = this.nowMs + steps * STEP_MS;
    const due = this.timers.get(atMs) ?? [];
    due.push(run);
    this.timers.set(atMs, due);
  }

  /** Delivers a request of an entry to a server. */
  send(
    address: ServerAddress,
    entry: string,
    request: SimulatedRequest,
    handlers: UpstreamHandlers,
  ): Exchange {
    const run: Run = {
      entry,
      request,
      handlers,
      isOver: false,
      wasSent: true,
      abort: () => {
        run.isOver = true;
        this.servers.get(address)?.runs.delete(run);
      },
      pause: () => {},
      resume: () => {},
    };
    this.after(STEP_MS, () => this.receive(address, run));
    return run;
  }

  private receive(address: ServerAddress, run: Run): void {
    if (run.isOver) return;
    const state = this.servers.get(address);
    if (!state?.isUp) {
      run.isOver = true;
      const cause = 'ECONNREFUSED: connect ECONNREFUSED';
      return run.handlers.onFailure({cause, mayHaveRun: false});
    }
    run.request.arrivals++;
    const pauseMs = this.pauseFor(state, run.entry);
    state.arrivals.push({atMs: this.nowMs, entry: run.entry, pauseMs});
    if (pauseMs !== undefined) {
      run.isOver = true;
      const idHeader = [REQUEST_ID_HEADER, run.request.id];
      const headers = ['not-run', '', RETRY_AFTER_HEADER, `${pauseMs}`];
      run.handlers.onHead(503, [...headers, ...idHeader]);
      return run.handlers.onEnd();
    }
    const {crashes} = run.request;
    if (crashes) this.crashingArrivalAtMs.push(this.nowMs);
    state.runs.add(run);
    this.after(this.between(MIN_FIRST_TOKEN_MS, MAX_FIRST_TOKEN_MS), () => {
      if (run.isOver) return;
      if (!crashes || this.eventsBeforeCrash > 0)
        return this.sendEvent(state, run, 1);
      this.sendHead(state, run);
      const delayMs = this.between(MIN_CRASH_DELAY_MS, MAX_CRASH_DELAY_MS);
      this.after(delayMs, () => this.crash(state, run));
    });
  }

  private crash(state: ServerState, run: Run): void {
    if (run.isOver) return;
    this.crashAtMs.push(this.nowMs);
    this.end(state);
  }

  private sendHead(state: ServerState, run: Run): void {
    const idHeader = [REQUEST_ID_HEADER, run.request.id];
    run.handlers.onHead(200, [...state.headers, ...idHeader]);
  }

  private pauseFor(state: ServerState, entry: string): number | undefined {
    const {refusesUntilMs, refusedEntry} = state;
    const isRefused = refusedEntry === undefined || refusedEntry === entry;
    if (!isRefused || this.nowMs >= refusesUntilMs) return undefined;
    return refusesUntilMs - this.nowMs;
  }

  private sendEvent(state: ServerState, run: Run, number: number): void {
    if (run.isOver) return;
    const silentUntilMs =
      number === 1 ? state.unreportedUntilMs : state.silentUntilMs;
    const silentMs = silentUntilMs - this.nowMs;
    if (silentMs > 0)
      return this.after(silentMs, () => this.sendEvent(state, run, number));
    if (number === 1) this.sendHead(state, run);
    if (run.request.arrivals === 1) run.request.hasBegunAtOnce = true;
    run.handlers.onData(Buffer.from(`id: ${number}\ndata: t\n\n`));
    if (run.request.crashes && number === this.eventsBeforeCrash)
      return this.crash(state, run);
    if (number < EVENTS) {
      return this.after(EVENT_INTERVAL_MS, () =>
        this.sendEvent(state, run, number + 1),
      );
    }
    run.isOver = true;
    state.runs.delete(run);
    run.handlers.onEnd();
  }

  /** Ends a server with all its requests; it starts again with another id. */
  private end(state: ServerState): void {
    state.isUp = false;
    const lost = [...state.runs];
    state.runs.clear();
    for (const run of lost) {
      if (run.isOver) continue;
      run.isOver = true;
      run.handlers.onFailure({cause: 'other side closed', mayHaveRun: true});
    }
    const old = state.server.server;
    this.after(REGISTRATION_LAG_MS, () => {
      for (const {fleet} of this.entries) fleet.remove(old);
    });
    this.after(this.between(MIN_DOWN_MS, MAX_DOWN_MS), () => {
      const server = `again-${this.incarnations++}` as ServerId;
      state.server = {...state.server, server, startedAtMs: this.nowMs};
      state.isUp = true;
      for (const {fleet} of this.entries) fleet.put(state.server, this.nowMs);
    });
  }

  private arrive(crashes: boolean): void {
    const parts: PromptPartId[] = [];
    const first = Math.floor(FIRST_PARTS * this.random() ** 2);
    const middle = Math.floor(MIDDLE_PARTS * this.random());
    const isRepeated = crashes && this.crashingBy === 'request';
    if (isRepeated) parts.push(SHARED_FIRST_PART);
    else if (crashes) parts.push(SHARED_FIRST_PART, CRASHING_PART);
    else parts.push(`first-${first}` as PromptPartId);
    if (!isRepeated && this.random() < 0.5)
      parts.push(`middle-${middle}` as PromptPartId);
    const id = `r${this.requests.length}` as RequestId;
    const request: SimulatedRequest = {
      id,
      target: isRepeated ? '/draft/crash' : `/draft/${id}`,
      crashes,
      parts,
      sentAtMs: this.nowMs,
      arrivals: 0,
      hasBegunAtOnce: false,
      response: new FakeResponse(),
    };
    this.requests.push(request);
    const callers = this.callersAt ?? this.entries.length;
    const index = Math.floor(this.random() * callers);
    this.entries[index].receiveRequest(request);
  }

  private runEntries(): void {
    const {nowMs} = this;
    this.entries.forEach((entry, i) => {
      // Entries act at times of their own.
      const atMs = nowMs + i * STEP_MS;
      if (atMs % CHECK_INTERVAL_MS === 0) entry.checkStreams();
      if (atMs % QUEUE_INTERVAL_MS === 0) entry.processQueue();
      if (atMs % REPORT_INTERVAL_MS === 0) this.sendReport(entry);
      if (atMs % MARKED_CHECK_INTERVAL_MS === 0) entry.checkMarkedServers();
    });
  }

  sendReport(from: Entry): void {
    if (from.isStopped || !this.areEntriesConnected) return;
    const report = from.createReport();
    for (const to of this.entries) if (to !== from) to.receiveReport(report);
  }

  private between(min: number, max: number): number {
    return min + this.random() * (max - min);
  }

  random(): number {
    return uniformFloat64(this.generator);
  }
}

/** Passes the request's own headers through. */
class SimulatedWire extends WireCodec {
  override parseCallerHeaders(): CallerMetadata {
    throw new Error('requests of the simulation have no headers');
  }

  override toServerHeaders(headers: RawHeaders): string[] {
    return [...headers];
  }

  override parseResponse(_: number, headers: RawHeaders): ResponseMetadata {
    const limit = headers[headers.indexOf(LIMIT_HEADER) + 1];
    return {
      request: headers[headers.indexOf(REQUEST_ID_HEADER) + 1],
      notRun: headers.includes('not-run'),
      isRefusalStatus: false,
      faultyAddress: undefined,
      isServerLeaving: headers.includes('leaving'),
      requestLimitPerS: headers.includes(LIMIT_HEADER)
        ? Number(limit)
        : undefined,
      retryAfterMs: headers.includes(RETRY_AFTER_HEADER)
        ? Number(headers[headers.indexOf(RETRY_AFTER_HEADER) + 1])
        : undefined,
    };
  }

  override toCallerHeaders(headers: RawHeaders): string[] {
    return [...headers];
  }
}

class SimulatedControl extends ServerControl {
  constructor(private readonly simulation: StreamFleet) {
    super();
  }

  override async fetchReport(
    address: ServerAddress,
    timeoutMs: number,
  ): Promise<ServerReport> {
    await this.awaitAnswer(address, timeoutMs);
    if (!this.simulation.isUp(address)) {
      throw new Error('ECONNREFUSED: connect ECONNREFUSED');
    }
    const server = this.simulation.registered.find(s => s.address === address);
    return {
      layers: server?.layers,
      isBusy: false,
      isLeaving: false,
      orderSequence: 0,
      startedAtMs: this.simulation.startedAtMs(address),
      slowdownFactor: 1,
      reloadingLayerTokens: undefined,
      stalled: [],
    };
  }

  override async checkHealth(
    address: ServerAddress,
    _path: string,
    timeoutMs: number,
  ): Promise<HealthCheckResult> {
    try {
      await this.awaitAnswer(address, timeoutMs);
    } catch {
      return 'silent';
    }
    return this.simulation.isUp(address) ? 'healthy' : 'silent';
  }

  override async placeLayers(): Promise<OrderOutcome> {
    return {kind: 'accepted'};
  }

  override async repath(): Promise<OrderOutcome> {
    return {kind: 'missing'};
  }

  /** Throws after the time-out if the server is silent. */
  private async awaitAnswer(
    address: ServerAddress,
    timeoutMs: number,
  ): Promise<void> {
    const {simulation} = this;
    if (simulation.answersQueries(address)) return;
    await new Promise<void>(resolve => simulation.after(timeoutMs, resolve));
    throw new Error(`no response within ${timeoutMs} ms`);
  }
}

/** Sends the requests of an entry to the simulated servers. */
class SimulatedUpstream extends Upstream {
  readonly requests = new Map<string, SimulatedRequest>();

  constructor(
    private readonly simulation: StreamFleet,
    private readonly node: string,
  ) {
    super();
  }

  override send(
    {address, headers}: UpstreamRequest,
    handlers: UpstreamHandlers,
  ): Exchange {
    const request = this.requests.get(headers[1]);
    if (!request) throw new Error('request is unknown');
    return this.simulation.send(address, this.node, request, handlers);
  }
}

class Entry {
  private readonly limits: SharedServerLimits;
  readonly holds = new ServerHolds(() => {});
  readonly loads: ChainLoads;
  readonly peerQueues = new PeerQueues();
  readonly fleet = new FleetView();
  readonly admission: ModelAdmission;
  private readonly budget = new SharedRetryBudget(-Infinity, {
    ratio: 0.2,
    extraRetries: 390,
    windowMs: 10_000,
  });
  private readonly quarantine: RequestQuarantine;
  private readonly streams = new Set<StreamRelay>();
  private readonly upstream: SimulatedUpstream;
  private readonly leavingServers: LeavingServers;
  private readonly failureDetector: PathFailureDetector;
  private readonly crashWatch: CrashWatch;
  private readonly localState: LocalState;
  private readonly metrics = new Metrics();
  private readonly logger = new Logger('test', 'silent');
  private readonly control: SimulatedControl;
  isStopped = false;

  constructor(
    readonly node: string,
    private readonly simulation: StreamFleet,
  ) {
    const nowMs = () => simulation.nowMs;
    this.quarantine = new RequestQuarantine(
      () => this.reportSoon(),
      () => simulation.random(),
    );
    for (const server of simulation.registered) {
      if (simulation.isUp(server.address)) this.fleet.put(server, nowMs());
    }
    this.limits = new SharedServerLimits({
      node,
      entryCount: () => simulation.entries.length,
      waitingPeers: (service, atMs) =>
        this.peerQueues.waitingPeers(service, atMs),
      onChange: () => this.reportSoon(),
    });
    this.loads = new ChainLoads(this.limits, this.holds);
    this.upstream = new SimulatedUpstream(simulation, node);
    this.control = new SimulatedControl(simulation);
    this.admission = new ModelAdmission({
      service: SERVICE,
      availabilityZone: 'river',
      fleet: this.fleet,
      loads: this.loads,
      peerQueues: this.peerQueues,
      model: () => MODEL,
      nowMs,
      onChainsChanged: () => {},
    });
    this.leavingServers = new LeavingServers({
      fleet: this.fleet,
      logger: this.logger,
      onServerLost: () => this.reportSoon(),
    });
    const hasRecentEvent = (address: ServerAddress, sinceMs: number) =>
      hasEventSince(this.streamProgress(), address, sinceMs);
    this.localState = new LocalState({
      loads: this.loads,
      retryBudget: this.budget,
      quarantine: this.quarantine,
      limits: this.limits,
      fleet: this.fleet,
      logger: this.logger,
      nowMs,
      peerQueues: this.peerQueues,
      queues: () => [this.admission.queues()],
      hasEventSince: hasRecentEvent,
      onServerLost: () => {},
      layoutFence: () => 0,
      onLayoutFence: () => {},
    });
    this.failureDetector = new PathFailureDetector({
      control: this.control,
      fleet: this.fleet,
      leavingServers: this.leavingServers,
      holds: this.holds,
      logger: this.logger,
      nowMs,
      wasPaused: () => false,
      healthPathOf: () => '/health',
      hasEventSince: hasRecentEvent,
      onServerLost: () => {},
      onServerEnded: server => this.crashWatch.recordEnd(server),
    });
    this.crashWatch = new CrashWatch({
      quarantine: this.quarantine,
      hasEnded: server => this.failureDetector.hasEnded(server),
      stateOf: server => this.fleet.stateOf(server),
      nowMs,
    });
  }

  receiveRequest(request: SimulatedRequest): void {
    const {simulation, admission} = this;
    const {nowMs} = simulation;
    this.upstream.requests.set(request.id, request);
    const exchange = this.createExchange(request);
    const route = {...ROUTE, ...simulation.route};
    const accepted = acceptedRequest(route, nowMs + REQUEST_TIMEOUT_MS);
    exchange.accepted = accepted;
    const item: WaitingRequest = {
      request: request.id,
      workspace: 'w' as WorkspaceId,
      weight: 1,
      rank: 'urgent',
      costTokens: COST_TOKENS,
      deadlineAtMs: accepted.deadlineAtMs,
      firstTokenDeadlineAtMs: nowMs + MAX_WAIT_MS,
      enqueuedAtMs: nowMs,
      admit: chain => relay.start(chain),
      refuse: (reason, afterMs) => relay.refuse(reason, afterMs),
    };
    const relay = new StreamRelay(exchange, accepted, item, MODEL, admission, {
      service: SERVICE,
      upstream: this.upstream,
      wire: new SimulatedWire(),
      control: this.control,
      fleet: this.fleet,
      leavingServers: this.leavingServers,
      failureDetector: this.failureDetector,
      loads: this.loads,
      budget: this.budget,
      quarantine: this.quarantine,
      crashWatch: this.crashWatch,
      limits: this.limits,
      holds: this.holds,
      refusals: new RefusalSender(this.metrics, this.logger),
      metrics: this.metrics,
      logger: this.logger,
      nowMs: () => simulation.nowMs,
      onFinished: finished => this.streams.delete(finished),
    });
    this.budget.recordRequest(SERVICE, nowMs);
    this.streams.add(relay);
    relay.enqueue();
  }

  checkStreams(): void {
    const {nowMs} = this.simulation;
    for (const path of findStalledPaths(this.streamProgress(), nowMs))
      this.failureDetector.probePath(path);
    for (const stream of [...this.streams]) stream.tick(this.simulation.nowMs);
  }

  processQueue(): void {
    this.fleet.expire(this.simulation.nowMs);
    this.admission.processQueue();
  }

  checkMarkedServers(): void {
    void this.failureDetector.checkMarkedServers();
  }

  private reportSoon(): void {
    this.simulation.after(PEER_LATENCY_MS, () =>
      this.simulation.sendReport(this),
    );
  }

  createReport() {
    const {nowMs} = this.simulation;
    return {
      node: this.node,
      usedTokens: this.loads.ownUsedTokens(),
      queues: this.admission.queues(),
      suspected: this.fleet.ownSuspicions(),
      quarantine: this.quarantine.report(nowMs),
      limits: this.limits.report(nowMs),
    };
  }

  receiveReport(report: ReturnType<Entry['createReport']>): void {
    if (this.isStopped) return;
    const {nowMs} = this.simulation;
    const {node, usedTokens, queues, suspected, quarantine, limits} = report;
    this.loads.setPeerUsage(node, usedTokens, nowMs);
    this.peerQueues.setQueues(node, [queues], nowMs);
    this.quarantine.applyPeerReport(quarantine, nowMs);
    this.limits.setPeerReport(node, limits, nowMs);
    this.localState.apply({...EMPTY_STATE, suspected}, 'news');
  }

  private streamProgress(): StreamProgress[] {
    return [...this.streams].flatMap(({progress}) => progress ?? []);
  }

  /** Ends the process with all its requests. */
  stop(): void {
    this.isStopped = true;
    for (const stream of this.streams) {
      stream.failInternally('the process was killed');
    }
  }

  private createExchange({
    id,
    target,
    parts,
    response,
  }: SimulatedRequest): CallerExchange {
    const req = {
      rawHeaders: ['request', id],
      method: 'POST',
      url: target,
      complete: true,
    };
    return new CallerExchange(
      req as unknown as IncomingMessage,
      response as unknown as ServerResponse,
      {
        request: id,
        deadlineMs: REQUEST_TIMEOUT_MS,
        key: undefined,
        lastEventId: undefined,
        promptTokens: COST_TOKENS,
        maxAnswerTokens: 200,
        expectedAnswerTokens: undefined,
        sharedPromptParts: parts,
      },
      this.simulation.nowMs,
    );
  }
}
