/**
 * Entries in front of one fleet of servers, which exchange their reports at
 * intervals. A server refuses a request for which it has no free KV cache.
 */
import type {RequestId, WorkspaceId} from '@azurecrank/core';
import {
  ChainLoads,
  FleetView,
  ModelAdmission,
  PeerQueues,
  type ServerAddress,
  type BackendServer,
  type ModelSpec,
  type ServerChain,
  type WaitingRequest,
} from '@azurecrank/forwarding';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

export const ENTRY_COUNT = 34;

/** Interval at which entries report to each other. */
const REPORT_INTERVAL_MS = 200;
export const STEP_MS = 25;

/** KV-cache tokens that each request reserves. */
export const REQUEST_TOKENS = 860;

/** The servers behind the entries and the requests that they run. */
export interface EntryFleetOptions {
  readonly model: ModelSpec;
  readonly servers: readonly BackendServer[];
  /** Time for which the servers of a chain run a request. */
  readonly runMs: (chain: ServerChain) => number;
  /** KV-cache tokens of a request. */
  readonly requestTokens: number;
}

export class EntryFleet {
  nowMs = 0;
  sent = 0;
  /** Ranks of the requests that servers accepted, in order. */
  readonly accepted: string[] = [];
  refused = 0;
  readonly entries = Array.from(
    {length: ENTRY_COUNT},
    (_, i) => new Entry(i, this),
  );
  /** Tokens that are in use at the servers, by first server. */
  private readonly usedTokens = new Map<ServerAddress, number>();
  private readonly endings: Array<() => void>[] = [];
  private readonly runs = new Set<Run>();
  /** Times that interrupted requests waited for another chain. */
  readonly resumedAfterMs: number[] = [];
  interrupted = 0;

  constructor(
    readonly options: EntryFleetOptions = {
      model: MODEL,
      servers: laidOutFleet(),
      runMs: () => RUN_MS,
      requestTokens: REQUEST_TOKENS,
    },
  ) {}

  /** Makes all entries learn of the servers, which hold all layers. */
  registerServers(): void {
    for (const {fleet, admission} of this.entries) {
      for (const server of this.options.servers) fleet.put(server, this.nowMs);
      admission.processQueue();
    }
  }

  /** Lets time pass; requests end after their run time. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      for (const end of this.endings[this.nowMs / STEP_MS] ?? []) end();
      if (this.nowMs % REPORT_INTERVAL_MS === 0) this.exchangeReports();
      for (const {admission} of this.entries) admission.processQueue();
    }
  }

  /** Starts a request at a server; returns whether the server accepts it. */
  start(
    chain: ServerChain,
    tokens: number,
    onEnd: () => void,
    onLost: () => void = () => {},
  ): boolean {
    this.sent++;
    const first = chain.path[0].server.address;
    const used = (this.usedTokens.get(first) ?? 0) + tokens;
    if (used > chain.capacityTokens) {
      this.refused++;
      return false;
    }
    this.usedTokens.set(first, used);
    const runSteps = Math.ceil(this.options.runMs(chain) / STEP_MS);
    const endStep = this.nowMs / STEP_MS + runSteps;
    const run = {first, onLost};
    this.runs.add(run);
    (this.endings[endStep] ??= []).push(() => {
      if (!this.runs.delete(run)) return;
      this.usedTokens.set(first, (this.usedTokens.get(first) ?? 0) - tokens);
      onEnd();
    });
    return true;
  }

  /** Ends the servers of a chain, with all requests that they run. */
  loseChain({path}: ServerChain): void {
    const first = path[0].server.address;
    for (const {fleet} of this.entries) {
      for (const {server} of path) fleet.remove(server.server);
    }
    this.usedTokens.delete(first);
    for (const run of [...this.runs]) {
      if (run.first !== first) continue;
      this.runs.delete(run);
      this.interrupted++;
      run.onLost();
    }
  }

  private exchangeReports(): void {
    for (const from of this.entries) {
      for (const to of this.entries) {
        if (from !== to) to.receiveReportOf(from);
      }
    }
  }
}

/** A request that a server runs. */
interface Run {
  readonly first: ServerAddress;
  /** Called if the server is lost. */
  readonly onLost: () => void;
}

/** Time for which a server runs a request. */
export const RUN_MS = 3000;

class Entry {
  readonly node: string;
  readonly loads = new ChainLoads();
  readonly peerQueues = new PeerQueues();
  readonly fleet = new FleetView();
  readonly admitted: string[] = [];
  readonly admission: ModelAdmission;

  constructor(
    readonly index: number,
    private readonly entryFleet: EntryFleet,
  ) {
    this.node = `entry-${index}`;
    this.admission = new ModelAdmission({
      service: SERVICE,
      availabilityZone: 'river',
      fleet: this.fleet,
      loads: this.loads,
      peerQueues: this.peerQueues,
      model: () => entryFleet.options.model,
      nowMs: () => this.entryFleet.nowMs,
      onChainsChanged: () => {},
    });
  }

  receiveReportOf(peer: Entry): void {
    const {nowMs} = this.entryFleet;
    this.loads.setPeerUsage(peer.node, peer.loads.ownUsedTokens(), nowMs);
    this.peerQueues.setQueues(peer.node, [peer.admission.queues()], nowMs);
  }

  enqueue(
    name: string,
    rank: 'urgent' | 'ordinary' | 'overnight',
    maxWaitMs = 5000,
  ): void {
    const {nowMs} = this.entryFleet;
    // Requests of two entries rarely arrive within the same millisecond.
    const enqueuedAtMs = nowMs - this.index;
    const costTokens = this.entryFleet.options.requestTokens;
    const item: WaitingRequest = {
      request: `${this.index}-${name}` as RequestId,
      workspace: 'w' as WorkspaceId,
      weight: 1,
      rank,
      costTokens,
      deadlineAtMs: nowMs + 20_000,
      firstTokenDeadlineAtMs: nowMs + maxWaitMs,
      enqueuedAtMs,
      admit: (chain: ServerChain) => {
        const first = chain.path[0].server.address;
        const release = () => this.loads.release(first, costTokens);
        const isAccepted = this.entryFleet.start(
          chain,
          costTokens,
          release,
          () => {
            release();
            this.resume(item);
          },
        );
        if (isAccepted) {
          this.loads.recordAcceptance(first);
          this.entryFleet.accepted.push(rank);
          return void this.admitted.push(rank);
        }
        release();
        const {nowMs: refusedAtMs} = this.entryFleet;
        this.loads.recordRefusal(first, refusedAtMs, refusedAtMs);
        this.admission.requeue(item);
      },
      refuse: () => {},
    };
    this.admission.enqueue(item);
  }

  /** Continues a request on another chain after it has lost its own. */
  private resume(item: WaitingRequest, lostAtMs = this.entryFleet.nowMs): void {
    const {entryFleet, loads} = this;
    const {request, rank, costTokens} = item;
    this.admission.resume({
      request,
      rank,
      costTokens,
      interruptedAtMs: lostAtMs - this.index,
      mayContinueOn: () => true,
      isRestricted: () => false,
      availableRetries: () => Infinity,
      resume: chain => {
        const first = chain.path[0].server.address;
        const release = () => loads.release(first, costTokens);
        if (entryFleet.start(chain, costTokens, release)) {
          loads.recordAcceptance(first);
          return void entryFleet.resumedAfterMs.push(
            entryFleet.nowMs - lostAtMs,
          );
        }
        release();
        loads.recordRefusal(first, entryFleet.nowMs, entryFleet.nowMs);
        this.resume(item, lostAtMs);
      },
    });
  }
}
