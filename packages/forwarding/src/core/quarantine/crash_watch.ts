/**
 * Relates the ends of servers to the runs that they had. A run that was lost or
 * given up is remembered for a while, as its server may be found to have ended
 * only later: by another request, by its registration, or by its next start.
 */
import type {BackendServer} from '../fleet/backend_server.js';
import {crashIdOf, type CrashId} from './crash_evidence.js';
import type {RequestQuarantine} from './request_quarantine.js';
import type {SuspectKey} from './suspect_key.js';

/** The run of a request on a server that brought no whole answer. */
export interface LostRun {
  readonly server: BackendServer;
  readonly keys: readonly SuspectKey[];
  /**
   * Time at which the server broke off; undefined if the run was given up here,
   * so that the server may have gone on with it.
   */
  readonly brokenOffAtMs: number | undefined;
}

export interface CrashWatchOptions {
  readonly quarantine: RequestQuarantine;
  /** Asks whether this incarnation of a server has ended. */
  readonly hasEnded: (server: BackendServer) => Promise<boolean>;
  /** What is registered of the incarnation. */
  readonly stateOf: (server: BackendServer) => IncarnationState;
  readonly nowMs: () => number;
}

export type IncarnationState =
  | 'registered'
  /** Another incarnation is registered at its address. */
  | 'replaced'
  | 'missing';

/** Time for which the end of a server counts for a run. */
const WATCH_MS = 6000;

/** Interval at which runs are dropped that are no longer watched. */
const EXPIRY_INTERVAL_MS = 1000;

/** Bounds on memory; further runs are not watched. */
const MAX_SERVERS = 256;
const MAX_RUNS_PER_SERVER = 64;

interface WatchedRun extends LostRun {
  readonly endsAtMs: number;
}

interface WatchedServer {
  readonly server: BackendServer;
  runs: WatchedRun[];
}

export class CrashWatch {
  private readonly servers = new Map<CrashId, WatchedServer>();
  private expiredAtMs = -Infinity;

  constructor(private readonly options: CrashWatchOptions) {}

  /** Number of runs that are remembered. */
  get size(): number {
    let size = 0;
    for (const {runs} of this.servers.values()) size += runs.length;
    return size;
  }

  /**
   * Remembers a run and asks whether its server has ended. A server that does
   * not respond may have been cut off, and one that has ended may have been
   * replaced before the question; then the run stays remembered.
   */
  async recordLoss(run: LostRun): Promise<boolean> {
    this.watch(run);
    const hasEnded = await this.options.hasEnded(run.server);
    if (hasEnded) this.recordEnd(run.server);
    return hasEnded;
  }

  /** Remembers a run in case that its server ends. */
  watch(run: LostRun): void {
    const now = this.options.nowMs();
    this.expire(now);
    const id = crashIdOf(run.server);
    const watched = this.servers.get(id) ?? {server: run.server, runs: []};
    if (watched.runs.length >= MAX_RUNS_PER_SERVER) return;
    if (this.servers.size >= MAX_SERVERS && !this.servers.has(id)) return;
    watched.runs.push({...run, endsAtMs: now + WATCH_MS});
    this.servers.set(id, watched);
  }

  /** Records that a server has ended, with the runs that it had. */
  recordEnd(server: BackendServer): void {
    const id = crashIdOf(server);
    const watched = this.servers.get(id);
    if (!watched) return;
    this.servers.delete(id);
    const {quarantine, nowMs} = this.options;
    const now = nowMs();
    for (const {keys, brokenOffAtMs = now, endsAtMs} of watched.runs) {
      if (endsAtMs > now) quarantine.recordCrash(keys, id, brokenOffAtMs);
    }
  }

  /** To be called when registrations have changed. */
  checkRegistrations(): void {
    if (this.servers.size === 0) return;
    this.expire(this.options.nowMs());
    for (const {server} of this.servers.values()) {
      const state = this.options.stateOf(server);
      if (state === 'replaced') this.recordEnd(server);
      else if (state === 'missing') void this.ask(server);
    }
  }

  private async ask(server: BackendServer): Promise<void> {
    if (await this.options.hasEnded(server)) this.recordEnd(server);
  }

  private expire(nowMs: number): void {
    if (nowMs - this.expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    for (const [id, watched] of this.servers) {
      watched.runs = watched.runs.filter(({endsAtMs}) => endsAtMs > nowMs);
      if (watched.runs.length === 0) this.servers.delete(id);
    }
  }
}
