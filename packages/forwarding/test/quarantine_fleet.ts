/**
 * Entries that keep crashing requests from the servers of one service, without
 * a network. Time is simulated. Entries report to each other over a relay that
 * combines their reports; the store keeps long blocks unless it is absent.
 */
import {
  toId,
  type ServerId,
  type ServiceId,
  type WorkspaceId,
} from '@azurecrank/core';
import {
  CrashWatch,
  EMPTY_STATE,
  RequestQuarantine,
  digestOf,
  mergeStates,
  scopeOf,
  type BackendServer,
  type QuarantineReport,
  type SuspectKey,
} from '@azurecrank/forwarding';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RunGuard} from '../src/core/relay/run_guard.js';
import {flushPromises} from './relay_harness.js';

const SERVICE = toId<ServiceId>('desk');
const STEP_MS = 10;
const REPORT_INTERVAL_MS = 200;
/** Time until an urgent report has reached all other entries. */
const REPORT_LATENCY_MS = 60;
/** Time from the end of a server to its next start. */
const DOWN_MS = 3500;
/** Time until an entry that starts has heard of the others. */
const JOIN_MS = 50;

/** A request that callers send again and again, under another id each time. */
export interface RepeatedRequest {
  readonly target: string;
  readonly intervalMs: number;
  /** Time from the beginning of a run to its answer, or to the crash. */
  readonly runMs: number;
  /** Time from which it ends servers; undefined for a sound request. */
  readonly crashesFromMs?: number;
  /** Number of servers that one sending may reach. */
  readonly maxAttempts: number;
}

/** What became of the sendings of one request. */
export interface Outcomes {
  /** Times at which it reached a server. */
  readonly arrivalAtMs: number[];
  /** Times at which it ended a server. */
  readonly crashAtMs: number[];
  /** Times at which it was sent, with whether it was answered. */
  readonly sendings: Array<{
    readonly atMs: number;
    result: 'answered' | 'held' | 'failed';
  }>;
}

export interface QuarantineFleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly servers: number;
  readonly hasStore?: boolean;
}

interface Run {
  readonly onEnd: () => void;
}

interface SimulatedServer {
  server: BackendServer;
  isUp: boolean;
  readonly runs: Set<Run>;
}

export class QuarantineFleet {
  nowMs = 0;
  readonly entries: Entry[];
  readonly servers: SimulatedServer[];
  private readonly stored = new Map<SuspectKey, number>();
  private readonly timers = new Map<number, Array<() => void>>();
  private readonly generator;
  private incarnations = 0;

  constructor(private readonly options: QuarantineFleetOptions) {
    this.generator = xoroshiro128plus(options.seed);
    this.servers = Array.from({length: options.servers}, (_, i) => ({
      server: this.incarnationOf(i),
      isUp: true,
      runs: new Set(),
    }));
    this.entries = Array.from({length: options.entries}, () => new Entry(this));
  }

  random(): number {
    return uniformFloat64(this.generator);
  }

  /** Sends a request at its interval for a time, at entries at random. */
  sendRepeatedly(request: RepeatedRequest, durationMs: number): Outcomes {
    const outcomes: Outcomes = {arrivalAtMs: [], crashAtMs: [], sendings: []};
    for (let atMs = request.intervalMs; atMs <= durationMs;) {
      this.after(atMs, () => this.randomEntry().send(request, outcomes));
      atMs += request.intervalMs;
    }
    return outcomes;
  }

  async advance(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      const due = this.timers.get(this.nowMs) ?? [];
      this.timers.delete(this.nowMs);
      for (const run of due) run();
      if (this.nowMs % REPORT_INTERVAL_MS === 0) this.exchangeReports();
      if (due.length > 0) await flushPromises();
    }
  }

  after(delayMs: number, run: () => void): void {
    const atMs =
      this.nowMs + Math.max(1, Math.round(delayMs / STEP_MS)) * STEP_MS;
    const due = this.timers.get(atMs) ?? [];
    due.push(run);
    this.timers.set(atMs, due);
  }

  /** Passes on what entries know to all of them, after the time of a relay. */
  exchangeReports(): void {
    const heard = this.entries.flatMap(entry => {
      const quarantine = entry.quarantine.report(this.nowMs);
      const isEmpty =
        quarantine.suspects.length + quarantine.answered.length === 0;
      return isEmpty ? [] : [quarantine];
    });
    if (this.options.hasStore ?? true) this.storeBlocks();
    if (heard.length === 0) return;
    const {quarantine} = mergeStates(
      heard.map(report => ({
        state: {...EMPTY_STATE, quarantine: report},
        heardAtMs: this.nowMs,
      })),
      this.nowMs,
    );
    const entries = [...this.entries];
    this.after(REPORT_LATENCY_MS, () => {
      for (const entry of entries) entry.hear(quarantine);
    });
  }

  /**
   * Replaces an entry by one that knows nothing yet, as after a restart. It is
   * ready when it has heard of the others.
   */
  restartEntry(index: number): void {
    const entry = new Entry(this);
    entry.isReady = false;
    this.entries[index] = entry;
    this.after(JOIN_MS, () => {
      for (const {quarantine} of this.entries) quarantine.repeatBlamed();
      this.exchangeReports();
      this.after(REPORT_LATENCY_MS + STEP_MS, () => (entry.isReady = true));
    });
  }

  /** Blocks that an entry reads when it starts. */
  get blocks(): ReadonlyMap<SuspectKey, number> {
    return new Map(
      [...this.stored].filter(([, untilMs]) => untilMs > this.nowMs),
    );
  }

  /** Ends a server with all its runs; it starts again later. */
  endServer(index: number): void {
    const state = this.servers[index];
    if (!state.isUp) return;
    state.isUp = false;
    const runs = [...state.runs];
    state.runs.clear();
    for (const {onEnd} of runs) onEnd();
    this.after(DOWN_MS, () => {
      state.server = this.incarnationOf(index);
      state.isUp = true;
    });
  }

  /** Whether this incarnation of a server has ended. */
  hasEnded({server}: BackendServer): boolean {
    return !this.servers.some(s => s.isUp && s.server.server === server);
  }

  private randomEntry(): Entry {
    const ready = this.entries.filter(({isReady}) => isReady);
    const candidates = ready.length > 0 ? ready : this.entries;
    return candidates[Math.floor(this.random() * candidates.length)];
  }

  private storeBlocks(): void {
    for (const {quarantine} of this.entries) {
      for (const [key, untilMs] of quarantine.longBlocks(this.nowMs))
        this.stored.set(key, untilMs);
    }
  }

  private incarnationOf(index: number): BackendServer {
    return {
      server: toId<ServerId>(`d${index}-${++this.incarnations}`),
      service: SERVICE,
      address: `10.0.0.${index}:80`,
      availabilityZone: 'a',
      state: 'ready',
      startedAtMs: this.nowMs + 1,
      accelerator: '',
      layers: undefined,
    };
  }
}

class Entry {
  readonly quarantine: RequestQuarantine;
  private readonly crashWatch: CrashWatch;
  private isReportDue = false;
  /** Whether callers may reach it. */
  isReady = true;

  constructor(private readonly fleet: QuarantineFleet) {
    this.quarantine = new RequestQuarantine(
      () => this.reportSoon(),
      () => fleet.random(),
    );
    this.quarantine.setStoredBlocks(fleet.blocks, fleet.nowMs);
    this.crashWatch = new CrashWatch({
      quarantine: this.quarantine,
      hasEnded: async server => fleet.hasEnded(server),
      stateOf: () => 'registered',
      nowMs: () => fleet.nowMs,
    });
  }

  hear(report: QuarantineReport): void {
    this.quarantine.applyPeerReport(report, this.fleet.nowMs);
  }

  send(request: RepeatedRequest, outcomes: Outcomes): void {
    const {fleet, quarantine, crashWatch} = this;
    const digested = {
      workspace: toId<WorkspaceId>('works'),
      method: 'GET',
      host: 'shop.example',
      target: request.target,
      body: undefined,
    };
    const guard = new RunGuard({
      service: SERVICE,
      exchange: {scope: scopeOf(digested), digest: digestOf(digested)},
      parts: [],
      quarantine,
      crashWatch,
      nowMs: () => fleet.nowMs,
    });
    const sending: Outcomes['sendings'][number] = {
      atMs: fleet.nowMs,
      result: 'failed',
    };
    outcomes.sendings.push(sending);
    this.attempt(request, guard, outcomes, sending, 1);
  }

  private attempt(
    request: RepeatedRequest,
    guard: RunGuard,
    outcomes: Outcomes,
    sending: Outcomes['sendings'][number],
    attempt: number,
  ): void {
    const {fleet} = this;
    const up = fleet.servers.filter(({isUp}) => isUp);
    if (guard.blockedForMs() > 0) return void (sending.result = 'held');
    if (up.length === 0) return;
    if (!guard.tryStartRun()) return void (sending.result = 'held');
    const state = up[Math.floor(fleet.random() * up.length)];
    const {server} = state;
    outcomes.arrivalAtMs.push(fleet.nowMs);
    const run: Run = {
      onEnd: () => {
        void guard.recordLoss([server]).then(() => {
          if (attempt >= request.maxAttempts) return;
          this.attempt(request, guard, outcomes, sending, attempt + 1);
        });
      },
    };
    state.runs.add(run);
    fleet.after(request.runMs, () => {
      if (!state.runs.has(run)) return;
      const {crashesFromMs = Infinity} = request;
      if (fleet.nowMs >= crashesFromMs) {
        outcomes.crashAtMs.push(fleet.nowMs);
        return fleet.endServer(fleet.servers.indexOf(state));
      }
      state.runs.delete(run);
      guard.recordAnswer();
      sending.result = 'answered';
    });
  }

  /** Sends one report for all changes of a step. */
  private reportSoon(): void {
    if (this.isReportDue) return;
    this.isReportDue = true;
    this.fleet.after(0, () => {
      this.isReportDue = false;
      this.fleet.exchangeReports();
    });
  }
}
