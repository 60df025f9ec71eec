/**
 * Watches the runs of one stream on behalf of the quarantine of prompt parts:
 * whether a run may start, and whether it went on or ended with its server.
 */
import type {PromptPartId, ServiceId} from '@azurecrank/core';
import type {BackendServer} from '../fleet/backend_server.js';
import {
  crashIdOf,
  promptPartKey,
  type SuspectKey,
} from '../quarantine/crash_evidence.js';
import type {RequestQuarantine} from '../quarantine/request_quarantine.js';
import type {PathFailureDetector} from './path_failure_detector.js';

export interface RunGuardOptions {
  readonly service: ServiceId;
  readonly parts: readonly PromptPartId[];
  readonly quarantine: RequestQuarantine;
  readonly failureDetector: PathFailureDetector;
  readonly nowMs: () => number;
}

/**
 * A server has survived a run after this time from its first event and this
 * number of chunks with events; on a slow server the time alone says little.
 */
const SURVIVED_AFTER_MS = 250;
const SURVIVED_AFTER_CHUNKS = 3;

export class RunGuard {
  private readonly keys: readonly SuspectKey[];
  private firstEventAtMs: number | undefined;
  private chunksWithEvents = 0;
  private isTrial = false;
  /** Whether a server has survived this request, so that all others will. */
  private isHarmless = false;

  constructor(private readonly options: RunGuardOptions) {
    const {service, parts} = options;
    this.keys = parts.map(part => promptPartKey(service, part));
  }

  /** Time until the request may start on a server; 0 if it may at once. */
  blockedForMs(): number {
    const {quarantine, nowMs} = this.options;
    if (this.isHarmless) return 0;
    return quarantine.blockedForMs(this.keys, nowMs());
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
    if (this.isHarmless) return true;
    const decision = quarantine.tryStart(this.keys, nowMs());
    this.isTrial = decision === 'trial';
    return decision !== 'blocked';
  }

  /** Records a chunk with events of the run. */
  recordEvents(): void {
    if (this.isHarmless) return;
    const now = this.options.nowMs();
    this.firstEventAtMs ??= now;
    this.chunksWithEvents++;
    const hasSurvived =
      now - this.firstEventAtMs >= SURVIVED_AFTER_MS &&
      this.chunksWithEvents >= SURVIVED_AFTER_CHUNKS;
    if (hasSurvived) this.recordSurvival();
  }

  /** Records that the server survived the run. */
  recordSurvival(): void {
    const {quarantine, nowMs} = this.options;
    if (this.isHarmless) return;
    this.isHarmless = true;
    this.isTrial = false;
    quarantine.recordAnswer(this.keys, nowMs());
  }

  /** Whether the run may be the reason why its server was lost. */
  get mayHaveCausedLoss(): boolean {
    return !this.isHarmless && this.keys.length > 0;
  }

  /** Records that the run was lost, if its server has ended. */
  async recordLoss(server: BackendServer): Promise<void> {
    const {quarantine, failureDetector, nowMs} = this.options;
    const lostAtMs = nowMs();
    const {isTrial} = this;
    const hasEnded = await failureDetector.hasEnded(server);
    if (!hasEnded && !isTrial) return;
    quarantine.recordCrash(this.keys, crashIdOf(server), lostAtMs);
    // The trial keeps its place until the crash counts.
    this.isTrial = false;
  }

  /** Ends a run that shows nothing about the prompt. */
  endRun(): void {
    if (!this.isTrial) return;
    this.isTrial = false;
    this.options.quarantine.endTrial(this.keys);
  }
}
