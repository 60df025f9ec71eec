/**
 * Watches the runs of one request on behalf of the quarantine: whether a run may
 * start on a server, and whether it went on or ended with its server.
 */
import type {PromptPartId, RefusalReason, ServiceId} from '@azurecrank/core';
import type {BackendServer} from '../fleet/backend_server.js';
import type {CallerExchange} from '../gateway/caller_exchange.js';
import {CRASH_SETTLE_MS} from '../quarantine/blame_suspects.js';
import {crashIdOf} from '../quarantine/crash_evidence.js';
import type {CrashWatch} from '../quarantine/crash_watch.js';
import type {RequestQuarantine} from '../quarantine/request_quarantine.js';
import {
  promptPartKey,
  requestKey,
  runningRequestKey,
  type SuspectKey,
} from '../quarantine/suspect_key.js';

export interface RunGuardOptions {
  readonly service: ServiceId;
  readonly exchange: Pick<CallerExchange, 'scope' | 'digest'>;
  /** Parts of the prompt that other requests share. */
  readonly parts: readonly PromptPartId[];
  readonly quarantine: RequestQuarantine;
  readonly crashWatch: CrashWatch;
  readonly nowMs: () => number;
}

/**
 * A server has survived the beginning of a run after this time from its first
 * event and this number of chunks with events; on a slow server the time alone
 * says little.
 */
const SURVIVED_AFTER_MS = 250;
const SURVIVED_AFTER_CHUNKS = 3;

export class RunGuard {
  private readonly partKeys: readonly SuspectKey[];
  private firstEventAtMs: number | undefined;
  private chunksWithEvents = 0;
  private isTrial = false;
  /** Time from which the crash in a trial of this request counts. */
  private lostTrialCountsAtMs = -Infinity;
  /** Whether a server has survived the beginning of a run. */
  private hasSurvived = false;

  constructor(private readonly options: RunGuardOptions) {
    const {service, parts} = options;
    this.partKeys = parts.map(part => promptPartKey(service, part));
  }

  /** Time until the request may start on a server; 0 if it may at once. */
  blockedForMs(): number {
    const {quarantine, nowMs} = this.options;
    const now = nowMs();
    const blockedForMs = quarantine.blockedForMs(this.startKeys(), now);
    return Math.max(blockedForMs, this.lostTrialCountsAtMs - now);
  }

  /** Time after which the caller of a blocked request is to come back. */
  retryAfterMs(): number {
    const {quarantine, nowMs} = this.options;
    return quarantine.retryAfterMs(this.startKeys(), nowMs());
  }

  /** Why the request is blocked. */
  get refusalReason(): RefusalReason {
    const {quarantine, nowMs} = this.options;
    const isPart = quarantine.blockedForMs(this.partKeys, nowMs()) > 0;
    return isPart ? 'crashing_prompt' : 'crashing_request';
  }

  /** Whether servers have ended under such a request before. */
  get isSuspect(): boolean {
    return this.options.quarantine.isSuspect(this.startKeys());
  }

  /** Whether a run without an event yet should be stopped. */
  get shouldStopRun(): boolean {
    const mayBegin = this.firstEventAtMs === undefined;
    return mayBegin && !this.isTrial && this.blockedForMs() > 0;
  }

  /** Returns whether a run may start now; it may start as a trial. */
  tryStartRun(): boolean {
    const {quarantine, nowMs} = this.options;
    this.firstEventAtMs = undefined;
    this.chunksWithEvents = 0;
    if (this.lostTrialCountsAtMs > nowMs()) return false;
    const decision = quarantine.tryStart(this.startKeys(), nowMs());
    this.isTrial = decision === 'trial';
    return decision !== 'blocked';
  }

  /** Records a chunk with events of the run. */
  recordEvents(): void {
    if (this.hasSurvived) return;
    const now = this.options.nowMs();
    this.firstEventAtMs ??= now;
    this.chunksWithEvents++;
    const hasSurvived =
      now - this.firstEventAtMs >= SURVIVED_AFTER_MS &&
      this.chunksWithEvents >= SURVIVED_AFTER_CHUNKS;
    if (!hasSurvived) return;
    const keys = this.isContested ? this.runKeys() : this.partKeys;
    this.options.quarantine.recordAnswer(keys, now);
    this.isTrial = false;
    this.hasSurvived = true;
  }

  /** Records that a server answered the request as a whole. */
  recordAnswer(): void {
    const {quarantine, nowMs} = this.options;
    this.isTrial = false;
    const keys = this.isContested
      ? [...this.partKeys, ...this.requestKeys()]
      : this.partKeys;
    quarantine.recordAnswer(keys, nowMs());
  }

  /**
   * Records that the run was lost. Resolves when it is known, as far as it can
   * be told now, whether the first server of its path has ended.
   */
  async recordLoss(path: readonly BackendServer[]): Promise<void> {
    const [first, ...later] = path;
    const {crashWatch, quarantine, nowMs} = this.options;
    const {isTrial} = this;
    if (isTrial) this.lostTrialCountsAtMs = nowMs() + CRASH_SETTLE_MS;
    const keys = this.runKeys();
    const brokenOffAtMs = nowMs();
    const loss = {server: first, keys, brokenOffAtMs};
    if (await crashWatch.recordLoss(loss)) return;
    if (isTrial) quarantine.recordCrash(keys, crashIdOf(first), brokenOffAtMs);
    // A first server that lives may have broken off for a later one.
    for (const server of later) void crashWatch.recordLoss({...loss, server});
  }

  /** Records that servers of the path of a run that goes on may have ended. */
  async recordLosses(servers: readonly BackendServer[]): Promise<void> {
    const {crashWatch, nowMs} = this.options;
    const keys = this.runKeys();
    const brokenOffAtMs = nowMs();
    await Promise.all(
      servers.map(server =>
        crashWatch.recordLoss({server, keys, brokenOffAtMs}),
      ),
    );
  }

  /** Records that a run was given up that its server may go on with. */
  abandonRun(server: BackendServer): void {
    const keys = this.runKeys();
    // A trial keeps its place: its outcome is still open.
    this.isTrial = false;
    this.options.crashWatch.watch({server, keys, brokenOffAtMs: undefined});
  }

  /** Ends a run that shows nothing about the request. */
  endRun(): void {
    if (!this.isTrial) return;
    this.isTrial = false;
    this.options.quarantine.endTrial(this.startKeys());
  }

  /** Whether a request like this one is suspected. */
  private get isContested(): boolean {
    const {quarantine, exchange} = this.options;
    return (
      quarantine.suspectsRequests && quarantine.suspectsScope(exchange.scope)
    );
  }

  /** Keys that decide whether a run may start. */
  private startKeys(): readonly SuspectKey[] {
    const parts = this.hasSurvived ? [] : this.partKeys;
    if (!this.isContested) return parts;
    return this.hasSurvived
      ? this.runKeys()
      : [...parts, ...this.requestKeys()];
  }

  /** Keys that the end of a server under the run speaks against. */
  private runKeys(): readonly SuspectKey[] {
    const [begun, running] = this.requestKeys();
    return this.hasSurvived ? [running] : [...this.partKeys, begun];
  }

  private requestKeys(): readonly [SuspectKey, SuspectKey] {
    const {digest} = this.options.exchange;
    return [requestKey(digest), runningRequestKey(digest)];
  }
}
