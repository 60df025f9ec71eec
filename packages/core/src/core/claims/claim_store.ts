/**
 * Stores the claims of one service in the key-value service.
 *
 * After `unavailable` the call may be reported as "not run", although the claim
 * may have been written: only the process that created the nonce makes the
 * call, and only after `claim` has returned a ticket. `unavailable` comes
 * without a ticket and no other process takes over a `running` claim, so the
 * call is never made. If the claim exists, it is recorded as `not_run`; until
 * then retries with the key are refused.
 */
import {randomBytes} from 'node:crypto';
import type {InstanceId, ServiceId, WorkspaceId} from '../ids/ids.js';
import type {KeyValueService} from '../platform/key_value_service.js';
import {METRICS} from '../telemetry/metric_catalog.js';
import type {Metrics} from '../telemetry/metrics.js';
import {RETRY_REASONS} from '../errors/retry_reasons.js';
import type {ClaimOutcome} from './claim.js';
import {
  claimKeyHash,
  claimLayoutKey,
  claimPageIndex,
  claimPageKey,
  requestFingerprint,
} from './claim_keys.js';
import type {ClaimVerdict} from './claim_page.js';
import {
  CLAIM_WRITES_COUNTER,
  ClaimPageWriter,
  KeyValueAvailability,
  RETRIES_COUNTER,
  type ClaimPageWriterOptions,
} from './claim_page_writer.js';

const NONCE_BYTES = 12;

/** Headers stored with an answer; others apply to a single response only. */
const STORED_HEADERS: ReadonlySet<string> = new Set([
  'content-type',
  'content-encoding',
  'content-language',
  'etag',
  'location',
]);

export interface ClaimStoreOptions extends ClaimPageWriterOptions {
  /** Number of pages of a service without claims; later the stored number. */
  readonly pages: number;
  /** Time for which an outcome is stored. */
  readonly retentionMs: number;
  /** Highest size of headers and body that are stored with an outcome. */
  readonly maxAnswerBytes: number;
}

export const DEFAULT_CLAIM_STORE_OPTIONS: ClaimStoreOptions = {
  pages: 64,
  retentionMs: 3_600_000,
  maxAnswerBytes: 4096,
  batchWindowMs: 5,
  recordDelayMs: 1000,
  maxBatch: 1000,
  maxAttempts: 6,
  initialBackoffMs: 5,
  maxBackoffMs: 500,
  claimTimeoutMs: 3000,
  holderMarginMs: 2000,
  random: Math.random,
};

export interface ClaimRequest {
  readonly workspace: WorkspaceId;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
  /** Time from now until the call's deadline, in milliseconds. */
  readonly deadlineMs: number;
}

/** Permission to make one call. */
export interface ClaimTicket {
  readonly keyHash: string;
  readonly nonce: string;
  readonly page: number;
}

export type ClaimAnswer =
  | {readonly kind: 'claimed'; readonly ticket: ClaimTicket}
  | {readonly kind: 'unavailable'}
  | Exclude<ClaimVerdict, {readonly kind: 'claimed'}>;

export class ClaimStore implements Disposable {
  private readonly options: ClaimStoreOptions;
  private readonly writers = new Map<number, ClaimPageWriter>();
  private readonly unrecorded = new Set<Promise<void>>();
  private readonly availability = new KeyValueAvailability();
  private pages: Promise<number | undefined> | undefined;

  constructor(
    private readonly kv: KeyValueService,
    private readonly service: ServiceId,
    private readonly holder: InstanceId,
    private readonly metrics: Metrics,
    options: Partial<ClaimStoreOptions> = {},
  ) {
    this.options = {...DEFAULT_CLAIM_STORE_OPTIONS, ...options};
    metrics.declareCounter(
      RETRIES_COUNTER,
      METRICS[RETRIES_COUNTER].help,
      'reason',
      RETRY_REASONS,
    );
    metrics.declareCounter(
      CLAIM_WRITES_COUNTER,
      METRICS[CLAIM_WRITES_COUNTER].help,
      'outcome',
      ['written', 'conflict', 'unknown'],
    );
  }

  /** Number of outcomes that are not stored yet. */
  get unrecordedCount(): number {
    return this.unrecorded.size;
  }

  /** Claims the key; the ticket permits one call. Never throws. */
  async claim(request: ClaimRequest): Promise<ClaimAnswer> {
    const pages = await this.loadPageCount();
    if (!pages) return {kind: 'unavailable'};
    const {workspace, idempotencyKey, method, path, body} = request;
    const keyHash = claimKeyHash(workspace, this.service, idempotencyKey);
    const page = claimPageIndex(keyHash, pages);
    const deadlineMs = Date.now() + request.deadlineMs;
    const nonce = randomBytes(NONCE_BYTES).toString('base64url');
    const claim = {
      nonce,
      fingerprint: requestFingerprint(method, path, body),
      holder: this.holder,
      deadlineMs,
      expiresMs: deadlineMs + this.options.retentionMs,
    };
    const writer = this.writer(page);
    const verdict = await writer.claim(keyHash, claim, request.deadlineMs);
    if (verdict.kind !== 'claimed') return verdict;
    return {kind: 'claimed', ticket: {keyHash, nonce, page}};
  }

  /**
   * Stores the outcome; retries until it is stored or its retention time has
   * passed. No key is claimed in an outage, so the outcomes that wait are only
   * those of calls in flight at its start and of `recordDelayMs` before it.
   */
  recordDone(ticket: ClaimTicket, outcome: ClaimOutcome): Promise<void> {
    return this.record(
      ticket,
      truncateOutcome(outcome, this.options.maxAnswerBytes),
    );
  }

  /** Stores that the call was not made; the holder must not make it later. */
  recordNotRun(ticket: ClaimTicket): Promise<void> {
    return this.record(ticket, undefined);
  }

  /** Stores all waiting outcomes without delay; resolves when none is left. */
  async flushOutcomes(): Promise<void> {
    while (this.unrecorded.size > 0) {
      for (const writer of this.writers.values()) writer.flush();
      await Promise.all(this.unrecorded);
    }
  }

  [Symbol.dispose](): void {
    for (const writer of this.writers.values()) writer.stop();
  }

  private record(
    {keyHash, nonce, page}: ClaimTicket,
    outcome: ClaimOutcome | undefined,
  ): Promise<void> {
    const expiresMs = Date.now() + this.options.retentionMs;
    const stored = this.writer(page).record(keyHash, {
      nonce,
      expiresMs,
      outcome,
    });
    this.unrecorded.add(stored);
    void stored.finally(() => this.unrecorded.delete(stored));
    return stored;
  }

  private writer(page: number): ClaimPageWriter {
    let writer = this.writers.get(page);
    if (!writer) {
      const key = claimPageKey(this.service, page);
      const {kv, metrics, options} = this;
      const {availability} = this;
      writer = new ClaimPageWriter(kv, key, metrics, options, availability);
      this.writers.set(page, writer);
    }
    return writer;
  }

  /**
   * The number of pages decides where a key is looked up, so two side processes
   * with different settings could both run a call with the same key. Therefore
   * the first side process of a service stores its number and all use that one.
   */
  private async loadPageCount(): Promise<number | undefined> {
    this.pages ??= this.readPageCount();
    const pages = await this.pages;
    if (!pages) this.pages = undefined;
    return pages;
  }

  private async readPageCount(): Promise<number | undefined> {
    const key = claimLayoutKey(this.service);
    const own = JSON.stringify({pages: this.options.pages});
    try {
      const found = await this.kv.get(key);
      if (found) return parsePageCount(found.value);
      await this.kv.compareAndSwap(key, own, 0);
      const stored = await this.kv.get(key);
      return stored && parsePageCount(stored.value);
    } catch {
      this.metrics.increment(RETRIES_COUNTER, {reason: 'kv_unavailable'});
      return undefined;
    }
  }
}

/** Keeps only the status if headers and body are larger than `maxBytes`. */
function truncateOutcome(
  outcome: ClaimOutcome,
  maxBytes: number,
): ClaimOutcome {
  const {status, body, headers = {}} = outcome;
  const kept = Object.fromEntries(
    Object.entries(headers).filter(([name]) =>
      STORED_HEADERS.has(name.toLowerCase()),
    ),
  );
  const headerBytes = Buffer.byteLength(Object.values(kept).join(''));
  const sizeBytes = headerBytes + (body?.length ?? 0);
  return sizeBytes > maxBytes ? {status} : {status, body, headers: kept};
}

function parsePageCount(text: string): number | undefined {
  const {pages} = JSON.parse(text) as {pages?: unknown};
  return Number.isInteger(pages) && Number(pages) > 0
    ? Number(pages)
    : undefined;
}
