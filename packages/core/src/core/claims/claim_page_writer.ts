/**
 * Writes one claim page in batches: one write at a time, in which a single
 * compare-and-swap applies all changes that wait when it starts.
 */
import type {
  KeyValueEntry,
  KeyValueService,
  WriteOutcome,
} from '../platform/key_value_service.js';
import type {Metrics} from '../telemetry/metrics.js';
import type {RetryReason} from '../errors/retry_reasons.js';
import {
  ClaimPageDraft,
  EMPTY_CLAIM_PAGE,
  addClaimToDraft,
  recordOutcomeInDraft,
  expireClaims,
  parseClaimPage,
  serializeClaimPage,
  type ClaimPage,
  type ClaimRecord,
  type ClaimVerdict,
} from './claim_page.js';
import type {NewClaim} from './claim.js';

/** Counter of retries by reason, shared with the other retrying modules. */
export const RETRIES_COUNTER = 'azurecrank_retries_total';
/** Counter of claim page writes by outcome. */
export const CLAIM_WRITES_COUNTER = 'azurecrank_claim_writes_total';

export interface ClaimPageWriterOptions {
  /** Time for which a batch waits for further changes before it is written. */
  readonly batchWindowMs: number;
  /**
   * Time for which the outcome of a call waits for a claim on the same page to
   * share its write. The caller already has its answer. A retry at this side
   * process finds the outcome; one at another side process is told to retry
   * later. If this process fails within this time, the outcome stays unknown.
   */
  readonly recordDelayMs: number;
  /** Highest number of changes in one write. */
  readonly maxBatch: number;
  /** Number of failed writes after which a claim is refused as unavailable. */
  readonly maxAttempts: number;
  /** First backoff; it doubles up to `maxBackoffMs`, with full jitter. */
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
  /** Timeout after which a claim is refused as unavailable. */
  readonly claimTimeoutMs: number;
  /** Time after its deadline at which a holder counts as failed. */
  readonly holderMarginMs: number;
  /** Returns a number in [0, 1) for jitter. */
  readonly random: () => number;
}

/**
 * Circuit breaker for the key-value service that all pages share. In an outage
 * it refuses claims at once; otherwise each call would hold a slot until its
 * own claim has failed.
 */
export class KeyValueAvailability {
  private unavailableUntilMs = 0;

  get isAvailable(): boolean {
    return performance.now() >= this.unavailableUntilMs;
  }

  /** Refuses claims for this time; the next claim after it is tried again. */
  markUnavailable(durationMs: number): void {
    this.unavailableUntilMs = performance.now() + durationMs;
  }

  markAvailable(): void {
    this.unavailableUntilMs = 0;
  }
}

export type WriterVerdict = ClaimVerdict | {readonly kind: 'unavailable'};

interface WaitingClaim {
  readonly type: 'claim';
  readonly keyHash: string;
  readonly claim: NewClaim;
  attempts: number;
  /** Whether a write that contains the claim may have left this process. */
  mayBeWritten: boolean;
  settled: boolean;
  readonly settle: (verdict: WriterVerdict) => void;
}

interface WaitingRecord {
  readonly type: 'record';
  readonly keyHash: string;
  readonly record: ClaimRecord;
  readonly settle: () => void;
}

type WaitingChange = WaitingClaim | WaitingRecord;

interface LoadedPage {
  readonly page: ClaimPage;
  readonly revision: number;
}

type BatchResult = 'finished' | 'retry';

export class ClaimPageWriter {
  private waiting: WaitingChange[] = [];
  private loaded: LoadedPage | undefined;
  private running = false;
  private stopped = false;
  private flushing = false;
  private endRecordDelay: () => void = () => {};
  private consecutiveFailures = 0;

  constructor(
    private readonly kv: KeyValueService,
    private readonly key: string,
    private readonly metrics: Metrics,
    private readonly options: ClaimPageWriterOptions,
    private readonly availability: KeyValueAvailability,
  ) {}

  /**
   * Resolves with the verdict on the claim. Only `claimed` permits the call, so
   * after `unavailable` the call is never made, even if the claim is written
   * later. Such a claim is recorded as `not_run` when a read shows it. If the
   * write takes effect after the last read, a `running` claim stays, and
   * retries get `outcome_unknown` until it expires.
   */
  claim(
    keyHash: string,
    claim: NewClaim,
    timeoutMs: number,
  ): Promise<WriterVerdict> {
    if (!this.availability.isAvailable || this.stopped) {
      return Promise.resolve({kind: 'unavailable'});
    }
    return new Promise(resolve => {
      const {claimTimeoutMs} = this.options;
      const expire = () => {
        // A call with a short deadline does not show that the service is down.
        if (timeoutMs >= claimTimeoutMs) this.markUnavailable();
        waiting.settle({kind: 'unavailable'});
      };
      const timer = setTimeout(expire, Math.min(timeoutMs, claimTimeoutMs));
      const waiting: WaitingClaim = {
        type: 'claim',
        keyHash,
        claim,
        attempts: 0,
        mayBeWritten: false,
        settled: false,
        settle: verdict => {
          if (waiting.settled) return;
          waiting.settled = true;
          clearTimeout(timer);
          resolve(verdict);
        },
      };
      this.push(waiting);
    });
  }

  /** Resolves when the outcome is stored or the claim has been removed. */
  record(keyHash: string, record: ClaimRecord): Promise<void> {
    return new Promise(settle => {
      this.push({type: 'record', keyHash, record, settle});
    });
  }

  /** Writes the waiting changes without further delay. */
  flush(): void {
    this.flushing = this.running;
    this.endRecordDelay();
  }

  stop(): void {
    this.stopped = true;
    this.endRecordDelay();
  }

  private push(waiting: WaitingChange): void {
    this.waiting.push(waiting);
    if (endsRecordDelay(waiting)) this.endRecordDelay();
    if (this.running || this.stopped) return;
    this.running = true;
    void this.run();
  }

  private async run(): Promise<void> {
    while (this.waiting.length > 0 && !this.stopped) {
      await this.waitForBatch();
      const batch = this.waiting.splice(0, this.options.maxBatch);
      const result = await this.writeBatch(batch);
      if (result === 'finished') {
        this.consecutiveFailures = 0;
        continue;
      }
      this.consecutiveFailures++;
      this.requeueForRetry(batch);
      if (this.waiting.length > 0) await sleep(this.nextBackoffMs());
    }
    this.running = false;
    this.flushing = false;
  }

  /** Waits for changes that can share the write. */
  private async waitForBatch(): Promise<void> {
    const {batchWindowMs, recordDelayMs} = this.options;
    if (
      !this.flushing &&
      recordDelayMs > 0 &&
      !this.waiting.some(endsRecordDelay)
    ) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, recordDelayMs);
        this.endRecordDelay = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    if (!this.flushing && batchWindowMs > 0) await sleep(batchWindowMs);
  }

  private async writeBatch(
    batch: readonly WaitingChange[],
  ): Promise<BatchResult> {
    const isFresh = !this.loaded;
    const loaded = this.loaded ?? (await this.load());
    if (!loaded) return 'retry';
    const {page, settle, needsFreshPage} = this.applyBatch(loaded.page, batch);
    if (page === loaded.page) {
      if (!needsFreshPage || isFresh) return settle();
      this.loaded = undefined;
      return this.writeBatch(batch);
    }
    markMaybeWritten(batch);
    const outcome = await this.write(page, loaded.revision);
    if (outcome.kind === 'written') {
      this.loaded = {page, revision: outcome.revision};
      this.availability.markAvailable();
      return settle();
    }
    // After a lost answer the next attempt reads the page, and finds its own
    // nonces if the write took effect. If the write arrives after that read,
    // either it or the next write fails because the revision has changed.
    this.loaded = undefined;
    this.countRetry(
      outcome.kind === 'conflict' ? 'kv_conflict' : 'kv_answer_lost',
    );
    return 'retry';
  }

  private async write(
    page: ClaimPage,
    revision: number,
  ): Promise<WriteOutcome> {
    const text = serializeClaimPage(page);
    const outcome = await this.kv
      .compareAndSwap(this.key, text, revision)
      .catch((error: unknown): WriteOutcome => ({
        kind: 'unknown',
        cause: String(error),
      }));
    this.metrics.increment(CLAIM_WRITES_COUNTER, {outcome: outcome.kind});
    return outcome;
  }

  /** Applies the batch in order; the verdicts hold once the page is written. */
  private applyBatch(before: ClaimPage, batch: readonly WaitingChange[]) {
    const nowMs = Date.now();
    const kept = expireClaims(before, nowMs);
    const draft = new ClaimPageDraft(kept);
    let needsFreshPage = false;
    const settlers: (() => void)[] = [];
    for (const waiting of batch) {
      const {keyHash} = waiting;
      if (waiting.type === 'record') {
        const verdict = recordOutcomeInDraft(draft, keyHash, waiting.record);
        needsFreshPage ||= verdict === 'absent';
        settlers.push(waiting.settle);
        continue;
      }
      if (this.isAbandoned(waiting)) continue;
      const {holderMarginMs} = this.options;
      const {claim} = waiting;
      const verdict = addClaimToDraft(
        draft,
        keyHash,
        claim,
        nowMs,
        holderMarginMs,
      );
      // A stored outcome never changes; other verdicts may be out of date.
      needsFreshPage ||= verdict.kind !== 'done';
      settlers.push(() => this.settleClaim(waiting, verdict));
    }
    const settle = (): BatchResult => {
      for (const settler of settlers) settler();
      return 'finished';
    };
    const page = draft.finish();
    // A page is not written only to remove expired claims.
    return {page: page === kept ? before : page, settle, needsFreshPage};
  }

  /** Whether the claim was refused after its timeout. */
  private isAbandoned(waiting: WaitingClaim): boolean {
    if (!waiting.settled) return false;
    if (waiting.mayBeWritten) this.recordAbandonedAsNotRun(waiting);
    return true;
  }

  private settleClaim(waiting: WaitingClaim, verdict: ClaimVerdict): void {
    if (waiting.settled && verdict.kind === 'claimed') {
      this.recordAbandonedAsNotRun(waiting);
    }
    waiting.settle(verdict);
  }

  /** Frees the key of a claim whose caller got `unavailable`. */
  private recordAbandonedAsNotRun(waiting: WaitingClaim): void {
    const {nonce, expiresMs} = waiting.claim;
    waiting.mayBeWritten = false;
    void this.record(waiting.keyHash, {nonce, expiresMs});
  }

  /** Queues the batch again, without claims that have used all attempts. */
  private requeueForRetry(batch: readonly WaitingChange[]): void {
    const kept: WaitingChange[] = [];
    const abandoned: WaitingClaim[] = [];
    for (const waiting of batch) {
      if (waiting.type === 'record') {
        if (Date.now() < waiting.record.expiresMs) kept.push(waiting);
        else waiting.settle();
      } else if (++waiting.attempts < this.options.maxAttempts) {
        kept.push(waiting);
      } else {
        waiting.settle({kind: 'unavailable'});
        abandoned.push(waiting);
        this.markUnavailable();
      }
    }
    this.waiting = [...kept, ...this.waiting];
    for (const claim of abandoned) {
      if (claim.mayBeWritten) this.recordAbandonedAsNotRun(claim);
    }
  }

  private async load(): Promise<LoadedPage | undefined> {
    try {
      this.loaded = toLoaded(await this.kv.get(this.key));
      return this.loaded;
    } catch {
      this.countRetry('kv_unavailable');
      return undefined;
    }
  }

  private markUnavailable(): void {
    this.availability.markUnavailable(this.options.maxBackoffMs);
  }

  private countRetry(reason: RetryReason): void {
    this.metrics.increment(RETRIES_COUNTER, {reason});
  }

  private nextBackoffMs(): number {
    const {initialBackoffMs, maxBackoffMs, random} = this.options;
    const limitMs = Math.min(
      maxBackoffMs,
      initialBackoffMs * 2 ** this.consecutiveFailures,
    );
    return limitMs * random();
  }
}

/**
 * Whether the change is written without the record delay: a call waits for its
 * claim, and a record of `not_run` frees the key for a retry.
 */
function endsRecordDelay(waiting: WaitingChange): boolean {
  return waiting.type === 'claim' || !waiting.record.outcome;
}

function toLoaded(entry: KeyValueEntry | undefined): LoadedPage {
  if (!entry) return {page: EMPTY_CLAIM_PAGE, revision: 0};
  return {page: parseClaimPage(entry.value), revision: entry.revision};
}

function markMaybeWritten(batch: readonly WaitingChange[]): void {
  for (const waiting of batch) {
    if (waiting.type === 'claim') waiting.mayBeWritten = true;
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
