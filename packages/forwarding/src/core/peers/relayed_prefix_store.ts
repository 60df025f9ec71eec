/**
 * Reads the store by way of a relay, so that its load does not grow with the
 * number of entries. Relays read it themselves, and so does an entry whose
 * relays do not answer or cannot reach the store. Revisions are those of the
 * store, so a watch goes on wherever the next one is sent.
 */
import {deflateSync, inflateSync} from 'node:zlib';
import {
  KeyValueUnavailableError,
  type PeerAddress,
  type StoreReadRequest,
  type StoreReadResult,
} from '@azurecrank/core';
import {
  PrefixStore,
  type StoreChange,
  type StoreRestore,
  type StoreSnapshot,
  type WatchOutcome,
} from '../adapter/platform_adapter.js';
import {PrefixRecord} from './prefix_record.js';

export interface RelayedPrefixStoreOptions {
  readonly store: PrefixStore;
  readonly nowMs: () => number;
  /** Relays that may be asked, the best first. */
  readonly relays: () => readonly PeerAddress[];
  /** Returns undefined if the relay does not answer. */
  readonly ask: (
    relay: PeerAddress,
    request: StoreQuestion,
    signal?: AbortSignal,
  ) => Promise<StoreReadResult | undefined>;
  /** Called with each reading or watch, by what has answered it. */
  readonly onRead?: (source: 'store' | 'relay' | 'failed') => void;
}

/**
 * Minimum time between an own call that failed and the next one while relays
 * cannot reach the store either.
 */
const OUTAGE_RETRY_INTERVAL_MS = 1500;

/**
 * Time that a relay holds a question without changes. It may be longer than that
 * of a watch at the store, since the loss of the connection ends the question.
 */
const RELAY_WAIT_MS = 8000;

/** A watch that fails after this wait was cut, and goes on at once. */
const MIN_CUT_WATCH_MS = 500;

/** Maximum size of what a relay has read, after decompression. */
const MAX_DATA_BYTES = 64 * 1024 * 1024;

const NO_DATA = new Uint8Array();
const NO_RECORD = {revision: 0, era: 0};

type StoreQuestion = Omit<StoreReadRequest, 'type' | 'id'>;

/** A prefix that this entry reads from the store itself. */
interface OwnReading {
  readonly record: PrefixRecord;
  /** Whether the last call went to the store and succeeded. */
  isCurrent: boolean;
  /** Called when `record` has changed or may not be used any more. */
  readonly waiting: Set<() => void>;
}

/** Encoded changes, which several entries ask for one after another. */
interface EncodedChanges {
  readonly afterRevision: number | undefined;
  readonly revision: number;
  readonly data: Uint8Array;
}

export class RelayedPrefixStore extends PrefixStore implements Disposable {
  private readonly readings = new Map<string, OwnReading>();
  private readonly restoreListeners = new Set<
    (restore: StoreRestore) => void
  >();
  private readonly lastRevisions = new Map<string, number>();
  private readonly storeListener: Disposable;
  private failedAtMs = -Infinity;
  private era: number | undefined;
  private isStoreReachable = true;
  private readonly encoded = new Map<string, EncodedChanges>();

  constructor(private readonly options: RelayedPrefixStoreOptions) {
    super();
    this.storeListener = options.store.onRestore(({previousEra, era}) => {
      this.era ??= previousEra;
      this.recordEra(era);
    });
  }

  override async scan(prefix: string): Promise<StoreSnapshot> {
    const snapshot =
      (await this.scanByRelay(prefix)) ?? (await this.scanStore(prefix));
    this.lastRevisions.set(prefix, snapshot.revision);
    this.recordEra(snapshot.era);
    return snapshot;
  }

  override async watchPrefix(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<WatchOutcome> {
    const question = {prefix, afterRevision, waitMs: RELAY_WAIT_MS};
    const outcome =
      (await this.watchByRelay(question, signal)) ??
      (await this.watchStore(prefix, afterRevision, waitMs, signal));
    if (outcome.kind === 'changes')
      this.lastRevisions.set(prefix, outcome.revision);
    return outcome;
  }

  override onRestore(listener: (restore: StoreRestore) => void): Disposable {
    this.restoreListeners.add(listener);
    return {[Symbol.dispose]: () => this.restoreListeners.delete(listener)};
  }

  [Symbol.dispose](): void {
    this.storeListener[Symbol.dispose]();
  }

  /**
   * Records whether other calls to the store succeed. A watch that waits does
   * not show that the store cannot be reached, and others rely on it.
   */
  setStoreReachable(isReachable: boolean): void {
    if (this.isStoreReachable === isReachable) return;
    this.isStoreReachable = isReachable;
    for (const reading of this.readings.values()) notifyWaiting(reading);
  }

  /** Answers another entry, if this one reads the store itself. */
  async answer(request: StoreReadRequest): Promise<StoreReadResult> {
    const {prefix, afterRevision, waitMs} = request;
    const reading = this.readings.get(prefix);
    if (!reading || !this.mayAnswer(reading))
      return createAnswer(request, 'unavailable');
    const {record} = reading;
    if (afterRevision === undefined) {
      const data = this.encode(request, record, record.entries);
      return createAnswer(request, 'snapshot', record, data);
    }
    if (!record.changesAfter(afterRevision))
      await waitForChange(reading, waitMs);
    if (!this.mayAnswer(reading)) return createAnswer(request, 'unavailable');
    const outcome = record.changesAfter(afterRevision);
    if (outcome?.kind === 'history_lost')
      return createAnswer(request, 'history_lost', record);
    const data = this.encode(request, record, outcome?.changes ?? []);
    const answer = createAnswer(request, 'changes', record, data);
    // The asking entry may have read a later revision elsewhere.
    return {...answer, revision: Math.max(answer.revision, afterRevision)};
  }

  private mayAnswer({isCurrent}: OwnReading): boolean {
    return isCurrent && this.isStoreReachable;
  }

  private encode(
    {prefix, afterRevision}: StoreReadRequest,
    {revision}: PrefixRecord,
    changes: readonly StoreChange[],
  ): Uint8Array {
    if (changes.length === 0) return NO_DATA;
    const last = this.encoded.get(prefix);
    const isSame =
      last?.afterRevision === afterRevision && last?.revision === revision;
    if (last && isSame) return last.data;
    const data = encodeChanges(changes);
    this.encoded.set(prefix, {afterRevision, revision, data});
    return data;
  }

  private async scanByRelay(
    prefix: string,
  ): Promise<StoreSnapshot | undefined> {
    const question = {prefix, waitMs: 0};
    for (const relay of this.options.relays()) {
      this.stopAnswering(prefix);
      const result = await this.options.ask(relay, question);
      if (result?.kind !== 'snapshot') continue;
      const {revision, era, data} = result;
      // The relay may not have noticed a restore that this entry knows of.
      if (revision < (this.lastRevisions.get(prefix) ?? 0)) continue;
      const entries = decodeChanges(data).flatMap(({key, value}) =>
        value === undefined ? [] : [{key, value}],
      );
      this.options.onRead?.('relay');
      return {entries, revision, era};
    }
    return undefined;
  }

  /**
   * Watches by way of all relays, because one of them may be cut off from the
   * store without knowing it.
   */
  private async watchByRelay(
    question: StoreQuestion,
    signal: AbortSignal,
  ): Promise<WatchOutcome | undefined> {
    const relays = this.options.relays();
    if (relays.length === 0) return undefined;
    this.stopAnswering(question.prefix);
    const answered = new AbortController();
    const abort = () => answered.abort();
    signal.addEventListener('abort', abort, {once: true});
    const outcomes: WatchOutcome[] = [];
    const firstWithChanges = new Promise<WatchOutcome | undefined>(resolve => {
      const questions = relays.map(async relay => {
        const result = await this.options.ask(relay, question, answered.signal);
        const outcome = result && toOutcome(result);
        if (!outcome) return;
        outcomes.push(outcome);
        if (hasChanges(outcome)) resolve(outcome);
      });
      void Promise.all(questions).then(() => resolve(undefined));
    });
    const outcome = await firstWithChanges;
    signal.removeEventListener('abort', abort);
    answered.abort();
    const answer = outcome ?? outcomes.find(isComplete) ?? outcomes.at(0);
    if (answer) this.options.onRead?.('relay');
    return answer;
  }

  private async scanStore(prefix: string): Promise<StoreSnapshot> {
    const snapshot = await this.callStore(prefix, store => store.scan(prefix));
    const reading = this.readingOf(prefix);
    reading.record.reset(snapshot);
    reading.isCurrent = true;
    notifyWaiting(reading);
    return snapshot;
  }

  private async watchStore(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<WatchOutcome> {
    const reading = this.readingOf(prefix);
    // Others may ask this entry, so all has to be read if relays were asked.
    if (reading.record.revision !== afterRevision)
      return {kind: 'history_lost'};
    const outcome = await this.callStore(
      prefix,
      store => store.watchPrefix(prefix, afterRevision, waitMs, signal),
      true,
    );
    if (outcome.kind === 'changes') {
      reading.record.append(outcome.changes, outcome.revision);
      reading.isCurrent = true;
      notifyWaiting(reading);
    }
    return outcome;
  }

  private async callStore<T>(
    prefix: string,
    call: (store: PrefixStore) => Promise<T>,
    isWatch = false,
  ): Promise<T> {
    const {store, relays, nowMs} = this.options;
    const beganAtMs = nowMs();
    const sinceFailureMs = beganAtMs - this.failedAtMs;
    if (relays().length > 0 && sinceFailureMs < OUTAGE_RETRY_INTERVAL_MS)
      throw new KeyValueUnavailableError('read', 'relay', 'store is away');
    try {
      const result = await call(store);
      this.options.onRead?.('store');
      return result;
    } catch (error) {
      this.options.onRead?.('failed');
      const wasCut = isWatch && nowMs() - beganAtMs >= MIN_CUT_WATCH_MS;
      if (wasCut) throw error;
      this.failedAtMs = nowMs();
      this.stopAnswering(prefix);
      throw error;
    }
  }

  private stopAnswering(prefix: string): void {
    const reading = this.readingOf(prefix);
    if (!reading.isCurrent) return;
    reading.isCurrent = false;
    notifyWaiting(reading);
  }

  private readingOf(prefix: string): OwnReading {
    let reading = this.readings.get(prefix);
    if (!reading) {
      const record = new PrefixRecord();
      reading = {record, isCurrent: false, waiting: new Set()};
      this.readings.set(prefix, reading);
    }
    return reading;
  }

  private recordEra(era: number): void {
    const previousEra = this.era;
    if (previousEra !== undefined && era <= previousEra) return;
    this.era = era;
    if (previousEra === undefined) return;
    for (const listener of [...this.restoreListeners])
      listener({previousEra, era});
  }
}

function notifyWaiting({waiting}: OwnReading): void {
  const listeners = [...waiting];
  waiting.clear();
  for (const listener of listeners) listener();
}

/** Resolves when something has changed, or after `waitMs`. */
function waitForChange({waiting}: OwnReading, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const end = () => {
      clearTimeout(timer);
      waiting.delete(end);
      resolve();
    };
    const timer = setTimeout(end, waitMs);
    timer.unref();
    waiting.add(end);
  });
}

function createAnswer(
  {id}: StoreReadRequest,
  kind: StoreReadResult['kind'],
  {revision, era}: Pick<PrefixRecord, 'revision' | 'era'> = NO_RECORD,
  data: Uint8Array = NO_DATA,
): StoreReadResult {
  return {type: 'store_read_result', id, kind, revision, era, data};
}

/** Returns undefined if the relay cannot answer. */
function toOutcome(result: StoreReadResult): WatchOutcome | undefined {
  const {kind, revision, data} = result;
  if (kind === 'history_lost') return {kind};
  if (kind !== 'changes') return undefined;
  return {kind, changes: decodeChanges(data), revision};
}

function isComplete({kind}: WatchOutcome): boolean {
  return kind === 'changes';
}

function hasChanges(outcome: WatchOutcome): boolean {
  return outcome.kind === 'changes' && outcome.changes.length > 0;
}

function encodeChanges(changes: readonly StoreChange[]): Uint8Array {
  const pairs = changes.map(({key, value = null}) => [key, value]);
  return deflateSync(JSON.stringify(pairs));
}

function decodeChanges(data: Uint8Array): StoreChange[] {
  if (data.length === 0) return [];
  const text = inflateSync(data, {maxOutputLength: MAX_DATA_BYTES});
  const pairs = JSON.parse(text.toString('utf8')) as Array<
    [string, string | null]
  >;
  return pairs.map(([key, value]) => ({key, value: value ?? undefined}));
}
