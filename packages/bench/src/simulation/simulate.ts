/**
 * Discrete-event simulation of entries that dispatch requests to chains. Each
 * request goes to the less loaded of two random chains.
 */
import {IndexedHeap, rankIndex, type Rank} from '@azurecrank/core';
import {ServerModel, type ServerEvents} from './server_model.js';
import type {Scheduler, SimRequest, EngineModel} from './scheduler.js';
import type {Arrival, Topology} from './workload.js';

/** Interval at which entries receive the load of all chains. */
const LOAD_REPORT_INTERVAL_MS = 250;
/** Time after which an entry dispatches a preempted request again. */
const PREEMPTED_RETRY_DELAY_MS = 1000;

/** Outcome of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  /** Time since the arrival; infinite if there was no token. */
  firstTokenMs: number;
  /** Time since the arrival; infinite if the request did not finish. */
  completionMs: number;
  preemptions: number;
}

export interface SimulationResult {
  readonly records: readonly RequestRecord[];
  /** Prompt and output tokens served in the measured time. */
  readonly tokensByRank: ReadonlyMap<Rank, number>;
  readonly tokensByWorkspace: ReadonlyMap<string, number>;
}

export interface SimulationOptions {
  readonly arrivals: readonly Arrival[];
  readonly topology: Topology;
  readonly engine: EngineModel;
  readonly createScheduler: () => Scheduler;
  /** Tokens served before this time are not counted. */
  readonly warmUpMs: number;
  readonly endMs: number;
}

type EventHandler = (nowMs: number) => void;

class Simulation implements ServerEvents {
  private readonly events = new IndexedHeap<EventHandler>();
  private readonly servers: ServerModel[];
  private readonly records = new Map<string, RequestRecord>();
  private readonly tokensByRank = new Map<Rank, number>();
  private readonly tokensByWorkspace = new Map<string, number>();
  /** Cost in tokens of the last load report, by chain and rank. */
  private reportedCosts: (readonly number[])[] = [];
  /** Cost in tokens sent since the last load report, by `entry/chain`. */
  private sentCosts = new Map<string, number>();
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
    this.updateReportedCosts(0);
    for (const arrival of arrivals) {
      this.events.set(() => this.handleArrival(arrival), arrival.atMs);
    }
    while (this.events.peekKey() < endMs) {
      const handler = this.events.peek() as EventHandler;
      this.nowMs = this.events.peekKey();
      this.events.delete(handler);
      handler(this.nowMs);
    }
    const {tokensByRank, tokensByWorkspace} = this;
    const records = [...this.records.values()];
    return {records, tokensByRank, tokensByWorkspace};
  }

  onRefused(): void {}

  onServed(request: SimRequest, tokens: number, nowMs: number): void {
    if (nowMs < this.options.warmUpMs) return;
    addTo(this.tokensByRank, request.rank, tokens);
    addTo(this.tokensByWorkspace, request.workspace, tokens);
  }

  onToken(request: SimRequest, nowMs: number): void {
    if (request.generated !== 1) return;
    this.record(request).firstTokenMs = nowMs - request.arrival.atMs;
  }

  onFinished(request: SimRequest, nowMs: number): void {
    this.record(request).completionMs = nowMs - request.arrival.atMs;
  }

  onPreempted(request: SimRequest, nowMs: number): void {
    this.record(request).preemptions++;
    const retry = () => this.dispatch(request.arrival, request.generated);
    this.events.set(retry, nowMs + PREEMPTED_RETRY_DELAY_MS);
  }

  schedule(finish: EventHandler, delayMs: number): void {
    this.events.set(nowMs => finish(nowMs), this.nowMs + delayMs);
  }

  private record(request: SimRequest): RequestRecord {
    return this.records.get(request.request) as RequestRecord;
  }

  private updateReportedCosts(nowMs: number): void {
    this.reportedCosts = this.servers.map(server =>
      server.outstandingCostByRank(),
    );
    this.sentCosts.clear();
    const next = (atMs: number) => this.updateReportedCosts(atMs);
    this.events.set(next, nowMs + LOAD_REPORT_INTERVAL_MS);
  }

  private handleArrival(arrival: Arrival): void {
    this.records.set(arrival.id, {
      arrival,
      firstTokenMs: Infinity,
      completionMs: Infinity,
      preemptions: 0,
    });
    this.dispatch(arrival, 0);
  }

  private dispatch(arrival: Arrival, generated: number): void {
    const [first, second] = arrival.candidateChains;
    const isFirst =
      this.estimatedCost(arrival, first) <= this.estimatedCost(arrival, second);
    const chain = isFirst ? first : second;
    const request = this.createRequest(arrival, generated);
    addTo(this.sentCosts, `${arrival.entry}/${chain}`, request.costTokens);
    this.servers[chain].submit(request, this.nowMs);
  }

  /**
   * Reported cost of requests of the same or higher rank, plus the cost that
   * this entry has sent to the chain since that report.
   */
  private estimatedCost(arrival: Arrival, chain: number): number {
    const costs = this.reportedCosts[chain].slice(
      0,
      rankIndex(arrival.rank) + 1,
    );
    const sent = this.sentCosts.get(`${arrival.entry}/${chain}`) ?? 0;
    return costs.reduce((sum, cost) => sum + cost, sent);
  }

  private createRequest(arrival: Arrival, generated: number): SimRequest {
    const {atMs, workspace, weight, rank, promptTokens, maxTokens} = arrival;
    const isRetry = generated > 0;
    const firstTokenDeadlineAtMs = atMs + arrival.firstTokenDeadlineMs;
    return {
      arrival,
      request: arrival.id,
      workspace,
      weight,
      rank,
      promptTokens: promptTokens + generated,
      costTokens: promptTokens + maxTokens,
      deadlineAtMs: Infinity,
      firstTokenDeadlineAtMs: isRetry ? Infinity : firstTokenDeadlineAtMs,
      enqueuedAtMs: this.nowMs,
      count: promptTokens + generated,
      positions: 0,
      usedReservedShare: false,
      generated,
    };
  }
}

function addTo<Key>(map: Map<Key, number>, key: Key, value: number): void {
  map.set(key, (map.get(key) ?? 0) + value);
}

export function simulate(options: SimulationOptions): SimulationResult {
  return new Simulation(options).run();
}
