/** Discrete-event loop over a few chains, with entries that choose chains. */
import {IndexedHeap, rankIndex, type Rank} from '@azurecrank/core';
import {ServerModel, type ServerEvents} from './server_model.js';
import type {Scheduler, SimRequest, EngineModel} from './scheduler.js';
import type {Arrival, Topology} from './workload.js';

/** Entries learn the load of the chains this often. */
const LOAD_REPORT_PERIOD_MS = 250;
/** Time after which an entry opens a preempted request again. */
const REOPEN_AFTER_MS = 1000;

/** What became of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  firstTokenMs: number;
  completionMs: number;
  preemptions: number;
}

export interface SimulationResult {
  readonly records: readonly RequestRecord[];
  /** Tokens served in the measured time, by rank and by workspace. */
  readonly tokensByRank: ReadonlyMap<Rank, number>;
  readonly tokensByWorkspace: ReadonlyMap<string, number>;
}

export interface SimulationOptions {
  readonly arrivals: readonly Arrival[];
  readonly topology: Topology;
  readonly engine: EngineModel;
  readonly createScheduler: () => Scheduler;
  /** Service outside of [warmUpMs, endMs) is not measured. */
  readonly warmUpMs: number;
  readonly endMs: number;
}

type Action = (nowMs: number) => void;

class Simulation implements ServerEvents {
  private readonly events = new IndexedHeap<Action>();
  private readonly servers: ServerModel[];
  private readonly records = new Map<string, RequestRecord>();
  private readonly tokensByRank = new Map<Rank, number>();
  private readonly tokensByWorkspace = new Map<string, number>();
  private reported: (readonly number[])[] = [];
  /** Cost sent by each entry to each chain since the last report. */
  private sent = new Map<string, number>();
  private nowMs = 0;

  constructor(private readonly options: SimulationOptions) {
    const {engine, createScheduler, topology} = options;
    this.servers = Array.from(
      {length: topology.chains},
      () => new ServerModel(engine, createScheduler(), this),
    );
  }

  run(): SimulationResult {
    const {arrivals, endMs} = this.options;
    this.report(0);
    for (const arrival of arrivals) {
      this.events.set(() => this.accept(arrival), arrival.atMs);
    }
    while (this.events.peekKey() < endMs) {
      const action = this.events.peek() as Action;
      this.nowMs = this.events.peekKey();
      this.events.delete(action);
      action(this.nowMs);
    }
    const {tokensByRank, tokensByWorkspace} = this;
    const records = [...this.records.values()];
    return {records, tokensByRank, tokensByWorkspace};
  }

  refused(): void {}

  served(request: SimRequest, tokens: number, nowMs: number): void {
    if (nowMs < this.options.warmUpMs) return;
    add(this.tokensByRank, request.rank, tokens);
    add(this.tokensByWorkspace, request.workspace, tokens);
  }

  token(request: SimRequest, nowMs: number): void {
    if (request.generated !== 1) return;
    this.record(request).firstTokenMs = nowMs - request.arrival.atMs;
  }

  finished(request: SimRequest, nowMs: number): void {
    this.record(request).completionMs = nowMs - request.arrival.atMs;
  }

  preempted(request: SimRequest, nowMs: number): void {
    this.record(request).preemptions++;
    const reopen = () => this.open(request.arrival, request.generated);
    this.events.set(reopen, nowMs + REOPEN_AFTER_MS);
  }

  wake(finish: Action, delayMs: number): void {
    this.events.set(nowMs => finish(nowMs), this.nowMs + delayMs);
  }

  private record(request: SimRequest): RequestRecord {
    return this.records.get(request.request) as RequestRecord;
  }

  private report(nowMs: number): void {
    this.reported = this.servers.map(server => server.outstandingCostByRank());
    this.sent.clear();
    const next = (atMs: number) => this.report(atMs);
    this.events.set(next, nowMs + LOAD_REPORT_PERIOD_MS);
  }

  private accept(arrival: Arrival): void {
    this.records.set(arrival.id, {
      arrival,
      firstTokenMs: Infinity,
      completionMs: Infinity,
      preemptions: 0,
    });
    this.open(arrival, 0);
  }

  private open(arrival: Arrival, generated: number): void {
    const [first, second] = arrival.chains;
    const isFirst = this.score(arrival, first) <= this.score(arrival, second);
    const chain = isFirst ? first : second;
    const request = this.createRequest(arrival, generated);
    add(this.sent, `${arrival.entry}/${chain}`, request.costTokens);
    this.servers[chain].offer(request, this.nowMs);
  }

  /** Reported cost of this rank and above plus what was sent since. */
  private score(arrival: Arrival, chain: number): number {
    const ranks = this.reported[chain].slice(0, rankIndex(arrival.rank) + 1);
    const sent = this.sent.get(`${arrival.entry}/${chain}`) ?? 0;
    return ranks.reduce((sum, cost) => sum + cost, sent);
  }

  private createRequest(arrival: Arrival, generated: number): SimRequest {
    const {atMs, workspace, weight, rank, promptTokens, maxTokens} = arrival;
    const isReopened = generated > 0;
    const latestMs = atMs + arrival.firstTokenDeadlineMs;
    return {
      arrival,
      request: arrival.id,
      workspace,
      weight,
      rank,
      promptTokens: promptTokens + generated,
      costTokens: promptTokens + maxTokens,
      deadlineAtMs: Infinity,
      firstTokenDeadlineAtMs: isReopened ? Infinity : latestMs,
      enqueuedAtMs: this.nowMs,
      count: promptTokens + generated,
      positions: 0,
      usedReservedShare: false,
      generated,
    };
  }
}

function add<Key>(map: Map<Key, number>, key: Key, value: number): void {
  map.set(key, (map.get(key) ?? 0) + value);
}

export function simulate(options: SimulationOptions): SimulationResult {
  return new Simulation(options).run();
}
