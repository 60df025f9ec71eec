/**
 * Writes one claim page: everything that waits when a write starts goes into
 * one compare-and-swap, one write at a time.
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
  EMPTY_PAGE,
  draftClaim,
  draftOutcome,
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

export interface PageWriterOptions {
  /** Time for which the first waiting change waits for others. */
  readonly batchWindowMs: number;
  /**
   * Time for which the outcome of a call waits for a claim on the same page,
   * to share its write. The caller has its answer already; a retry at this
   * side finds the outcome, one at another side is told to come back. A side
   * that is lost in this time leaves its outcomes unknown.
   */
  readonly recordDelayMs: number;
  /** Most changes in one write. */
  readonly maxBatch: number;
  /** Writes after which a claim is refused as unavailable. */
  readonly maxAttempts: number;
  /** First back-off; it doubles up to `maxBackoffMs`, with full jitter. */
  readonly backoffMs: number;
  readonly maxBackoffMs: number;
  /** Time a claim waits in total before it is refused as unavailable. */
  readonly claimTimeoutMs: number;
  /** Added to a holder's deadline before it counts as lost. */
  readonly holderMarginMs: number;
  /** Returns a number in [0, 1) for jitter. */
  readonly random: () => number;
}

/**
 * Shared by all pages, so that in an outage calls are refused at once and do
 * not each hold a slot until their own claim has failed.
 */
export class KeyValueAvailability {
  private unavailableUntilMs = 0;

  get isAvailable(): boolean {
    return performance.now() >= this.unavailableUntilMs;
  }

  /** Refuses claims for this time; the next one after it tries again. */
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

type Waiting = WaitingClaim | WaitingRecord;

interface Loaded {
  readonly page: ClaimPage;
  readonly revision: number;
}

type Round = 'finished' | 'retry';

export class ClaimPageWriter {
  private waiting: Waiting[] = [];
  private loaded: Loaded | undefined;
  private running = false;
  private stopped = false;
  private flushing = false;
  private wake: () => void = () => {};
  private failures = 0;

  constructor(
    private readonly kv: KeyValueService,
    private readonly key: string,
    private readonly metrics: Metrics,
    private readonly options: PageWriterOptions,
    private readonly availability: KeyValueAvailability,
  ) {}

  /**
   * Settles exactly once. Only the verdict `claimed` permits the call, so a
   * claim that settles as `unavailable` is never called even if its write
   * takes effect later. It is recorded as `not_run` where the write is seen;
   * a write that takes effect after the last read leaves a `running` claim,
   * which answers `outcome_unknown` until it expires.
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
        // A short deadline of the call itself says nothing about the service.
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

  /** Resolves when the outcome is stored or the claim no longer exists. */
  record(keyHash: string, record: ClaimRecord): Promise<void> {
    return new Promise(settle => {
      this.push({type: 'record', keyHash, record, settle});
    });
  }

  /** Writes what waits without further delay. */
  flush(): void {
    this.flushing = this.running;
    this.wake();
  }

  stop(): void {
    this.stopped = true;
    this.wake();
  }

  private push(waiting: Waiting): void {
    this.waiting.push(waiting);
    if (isUrgent(waiting)) this.wake();
    if (this.running || this.stopped) return;
    this.running = true;
    void this.run();
  }

  private async run(): Promise<void> {
    while (this.waiting.length > 0 && !this.stopped) {
      await this.waitForOthers();
      const batch = this.waiting.splice(0, this.options.maxBatch);
      const round = await this.writeBatch(batch);
      if (round === 'finished') {
        this.failures = 0;
        continue;
      }
      this.failures++;
      this.keepForRetry(batch);
      if (this.waiting.length > 0) await sleep(this.nextBackoffMs());
    }
    this.running = false;
    this.flushing = false;
  }

  /** Lets changes that come soon share the write. */
  private async waitForOthers(): Promise<void> {
    const {batchWindowMs, recordDelayMs} = this.options;
    if (!this.flushing && recordDelayMs > 0 && !this.waiting.some(isUrgent)) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, recordDelayMs);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    if (!this.flushing && batchWindowMs > 0) await sleep(batchWindowMs);
  }

  private async writeBatch(batch: readonly Waiting[]): Promise<Round> {
    const isFresh = !this.loaded;
    const loaded = this.loaded ?? (await this.load());
    if (!loaded) return 'retry';
    const {page, settle, needsFreshPage} = this.applyAll(loaded.page, batch);
    if (page === loaded.page) {
      if (!needsFreshPage || isFresh) return settle();
      this.loaded = undefined;
      return this.writeBatch(batch);
    }
    markWritten(batch);
    const outcome = await this.write(page, loaded.revision);
    if (outcome.kind === 'written') {
      this.loaded = {page, revision: outcome.revision};
      this.availability.markAvailable();
      return settle();
    }
    // After a lost answer the next round reads the page and finds its own
    // nonces if the write took effect. A write that takes effect after that
    // read either fails on the revision or makes the next write fail on it.
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

  /** Applies the batch in order; verdicts hold once the page is written. */
  private applyAll(before: ClaimPage, batch: readonly Waiting[]) {
    const nowMs = Date.now();
    const kept = expireClaims(before, nowMs);
    const draft = new ClaimPageDraft(kept);
    let needsFreshPage = false;
    const settlers: (() => void)[] = [];
    for (const waiting of batch) {
      const {keyHash} = waiting;
      if (waiting.type === 'record') {
        const verdict = draftOutcome(draft, keyHash, waiting.record);
        needsFreshPage ||= verdict === 'absent';
        settlers.push(waiting.settle);
        continue;
      }
      if (this.isGivenUp(waiting)) continue;
      const {holderMarginMs} = this.options;
      const {claim} = waiting;
      const verdict = draftClaim(draft, keyHash, claim, nowMs, holderMarginMs);
      // A recorded outcome never changes; other refusals may be out of date.
      needsFreshPage ||= verdict.kind !== 'done';
      settlers.push(() => this.settleClaim(waiting, verdict));
    }
    const settle = (): Round => {
      for (const settler of settlers) settler();
      return 'finished';
    };
    const page = draft.finish();
    // Expiry alone is not worth a write.
    return {page: page === kept ? before : page, settle, needsFreshPage};
  }

  /** Whether the claim was refused for its timeout and is no longer wanted. */
  private isGivenUp(waiting: WaitingClaim): boolean {
    if (!waiting.settled) return false;
    if (waiting.mayBeWritten) this.recordAbandoned(waiting);
    return true;
  }

  private settleClaim(waiting: WaitingClaim, verdict: ClaimVerdict): void {
    if (waiting.settled && verdict.kind === 'claimed') {
      this.recordAbandoned(waiting);
    }
    waiting.settle(verdict);
  }

  /** Frees the key of a claim that was answered as unavailable. */
  private recordAbandoned(waiting: WaitingClaim): void {
    const {nonce, expiresMs} = waiting.claim;
    waiting.mayBeWritten = false;
    void this.record(waiting.keyHash, {nonce, expiresMs});
  }

  /** Puts the batch back, without the claims that have used their attempts. */
  private keepForRetry(batch: readonly Waiting[]): void {
    const kept: Waiting[] = [];
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
      if (claim.mayBeWritten) this.recordAbandoned(claim);
    }
  }

  private async load(): Promise<Loaded | undefined> {
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
    const {backoffMs, maxBackoffMs, random} = this.options;
    const limitMs = Math.min(maxBackoffMs, backoffMs * 2 ** this.failures);
    return limitMs * random();
  }
}

/** A claim's call waits for it; after `not_run` the key is to be free again. */
function isUrgent(waiting: Waiting): boolean {
  return waiting.type === 'claim' || !waiting.record.outcome;
}

function toLoaded(entry: KeyValueEntry | undefined): Loaded {
  if (!entry) return {page: EMPTY_PAGE, revision: 0};
  return {page: parseClaimPage(entry.value), revision: entry.revision};
}

function markWritten(batch: readonly Waiting[]): void {
  for (const waiting of batch) {
    if (waiting.type === 'claim') waiting.mayBeWritten = true;
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
