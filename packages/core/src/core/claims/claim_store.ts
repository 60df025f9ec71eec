/**
 * Claims of one service in the key-value service.
 *
 * Why `unavailable` may be answered as "not run" although the claim's write
 * may have taken effect: the call is made only by the process that created the
 * nonce, and only after `claim` has returned a ticket. A claim that settles as
 * unavailable never yields a ticket, and no other process takes over a
 * `running` claim, so the call is never made. The claim, if it exists, is
 * recorded as `not_run`; until then a retry with the key is refused.
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
  type PageWriterOptions,
} from './claim_page_writer.js';

const NONCE_BYTES = 12;

/** Headers that describe the answer; the others belong to one response. */
const REPLAYED_HEADERS: ReadonlySet<string> = new Set([
  'content-type',
  'content-encoding',
  'content-language',
  'etag',
  'location',
]);

export interface ClaimStoreOptions extends PageWriterOptions {
  /** Pages of a service that has no claims yet; later the stored count. */
  readonly pages: number;
  /** Time for which an outcome is kept. */
  readonly retentionMs: number;
  /** Largest body kept with an outcome. */
  readonly bodyBytes: number;
}

export const DEFAULT_CLAIM_STORE_OPTIONS: ClaimStoreOptions = {
  pages: 64,
  retentionMs: 3_600_000,
  bodyBytes: 4096,
  batchWindowMs: 5,
  recordDelayMs: 1000,
  maxBatch: 1000,
  maxAttempts: 6,
  backoffMs: 5,
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
  /** Time left for the call, in milliseconds. */
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

  /** Outcomes that are not stored yet. */
  get unrecordedCount(): number {
    return this.unrecorded.size;
  }

  /** Asks for permission to make the call; never throws. */
  async claim(request: ClaimRequest): Promise<ClaimAnswer> {
    const pages = await this.loadPages();
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
   * Stores the outcome and retries until it is stored or its retention has
   * passed. No call is claimed in an outage, so the outcomes that wait are
   * those of the calls in flight at its start and of `recordDelayMs` before.
   */
  recordDone(ticket: ClaimTicket, outcome: ClaimOutcome): Promise<void> {
    return this.record(ticket, boundOutcome(outcome, this.options.bodyBytes));
  }

  /** Stores that the call was not made; the holder must not make it later. */
  recordNotRun(ticket: ClaimTicket): Promise<void> {
    return this.record(ticket, undefined);
  }

  /** Stores waiting outcomes without delay; resolves when none is left. */
  async settled(): Promise<void> {
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
   * The number of pages decides where a key is looked up, so two sides with
   * different settings would run a key twice. The first side of a service
   * stores its number and all others take the stored one.
   */
  private async loadPages(): Promise<number | undefined> {
    this.pages ??= this.readPages();
    const pages = await this.pages;
    if (!pages) this.pages = undefined;
    return pages;
  }

  private async readPages(): Promise<number | undefined> {
    const key = claimLayoutKey(this.service);
    const own = JSON.stringify({pages: this.options.pages});
    try {
      const found = await this.kv.get(key);
      if (found) return parsePages(found.value);
      await this.kv.compareAndSwap(key, own, 0);
      const stored = await this.kv.get(key);
      return stored && parsePages(stored.value);
    } catch {
      this.metrics.increment(RETRIES_COUNTER, {reason: 'kv_unavailable'});
      return undefined;
    }
  }
}

/** Keeps the status alone when the answer is larger than `maxBytes`. */
function boundOutcome(outcome: ClaimOutcome, maxBytes: number): ClaimOutcome {
  const {status, body, headers = {}} = outcome;
  const kept = Object.fromEntries(
    Object.entries(headers).filter(([name]) =>
      REPLAYED_HEADERS.has(name.toLowerCase()),
    ),
  );
  const headerBytes = Buffer.byteLength(Object.values(kept).join(''));
  const sizeBytes = headerBytes + (body?.length ?? 0);
  return sizeBytes > maxBytes ? {status} : {status, body, headers: kept};
}

function parsePages(text: string): number | undefined {
  const {pages} = JSON.parse(text) as {pages?: unknown};
  return Number.isInteger(pages) && Number(pages) > 0
    ? Number(pages)
    : undefined;
}
