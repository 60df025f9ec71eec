/**
 * Writes to the key-value service per claimed call, by call rate, number of
 * pages and batch window. Calls arrive at random and take `SERVICE_MS`.
 */
import {
  ClaimStore,
  CLAIM_WRITES_COUNTER,
  DisposableStore,
  HttpKeyValueService,
  Metrics,
  createInstanceId,
  toId,
  type ServiceId,
} from '@azurecrank/core';
import {KeyValueStandin, delay} from '@azurecrank/standins';

const SERVICE_MS = 5;
const CLAIM_DEADLINE_MS = 5000;
const BODY = Buffer.from('{"order":1}');

export interface ClaimBenchCase {
  readonly callsPerS: number;
  readonly pages: number;
  readonly batchWindowMs: number;
  readonly recordDelayMs: number;
  /** 1 writes each change by itself. */
  readonly maxBatch: number;
}

export interface ClaimBenchFigures extends ClaimBenchCase {
  readonly calls: number;
  readonly refused: number;
  readonly writesPerCall: number;
  readonly writesPerS: number;
  readonly claimP50Ms: number;
  readonly claimP99Ms: number;
}

export interface ClaimBenchOptions {
  readonly cases: readonly ClaimBenchCase[];
  readonly durationMs: number;
  /** Added to each answer of the key-value service. */
  readonly keyValueMs: number;
  /** Returns a number in [0, 1) for arrival times. */
  readonly random: () => number;
}

/** Rates, page counts and windows of `docs/decisions/8-claims.md`. */
export function claimBenchCases(): ClaimBenchCase[] {
  const unbatched = {batchWindowMs: 0, recordDelayMs: 0, maxBatch: 1};
  const window = {batchWindowMs: 5, recordDelayMs: 0, maxBatch: 1000};
  const delayed = {...window, recordDelayMs: 1000};
  const settings = [
    {pages: 64, ...unbatched},
    ...[64, 8, 1].flatMap(pages => [
      {pages, ...window},
      {pages, ...window, batchWindowMs: 50},
      {pages, ...delayed},
    ]),
  ];
  return settings.flatMap(setting =>
    [20, 100, 400].map(callsPerS => ({callsPerS, ...setting})),
  );
}

/** Runs the cases one after another. */
export async function benchClaims(
  options: ClaimBenchOptions,
): Promise<ClaimBenchFigures[]> {
  const figures: ClaimBenchFigures[] = [];
  for (const benchCase of options.cases) {
    figures.push(await runCase(benchCase, options));
  }
  return figures;
}

async function runCase(
  benchCase: ClaimBenchCase,
  {durationMs, keyValueMs, random}: ClaimBenchOptions,
): Promise<ClaimBenchFigures> {
  using disposables = new DisposableStore();
  const standin = disposables.add(await new KeyValueStandin().start());
  standin.faults.slowMs = keyValueMs;
  const kv = disposables.add(new HttpKeyValueService(standin.url));
  const metrics = new Metrics();
  const service = toId<ServiceId>('bench');
  const holder = createInstanceId();
  const store = disposables.add(
    new ClaimStore(kv, service, holder, metrics, benchCase),
  );
  const startMs = performance.now();
  const results: Promise<boolean>[] = [];
  for (let atMs = 0; atMs < durationMs;) {
    atMs += (-Math.log(1 - random()) * 1000) / benchCase.callsPerS;
    const waitMs = startMs + atMs - performance.now();
    if (waitMs > 0) await delay(waitMs);
    results.push(runCall(store, metrics, `call-${results.length}`));
  }
  const answered = await Promise.all(results);
  await store.flushOutcomes();
  const elapsedS = (performance.now() - startMs) / 1000;
  const writes = countWrites(metrics);
  return {
    ...benchCase,
    calls: answered.length,
    refused: answered.filter(isClaimed => !isClaimed).length,
    writesPerCall: writes / answered.length,
    writesPerS: writes / elapsedS,
    claimP50Ms: metrics.percentileMs('claim', 50),
    claimP99Ms: metrics.percentileMs('claim', 99),
  };
}

/** Returns whether the call was claimed. */
async function runCall(
  store: ClaimStore,
  metrics: Metrics,
  idempotencyKey: string,
): Promise<boolean> {
  const startMs = performance.now();
  const answer = await store.claim({
    workspace: toId('works'),
    idempotencyKey,
    method: 'POST',
    path: '/orders',
    body: BODY,
    deadlineMs: CLAIM_DEADLINE_MS,
  });
  metrics.observeMs('claim', performance.now() - startMs);
  if (answer.kind !== 'claimed') return false;
  await delay(SERVICE_MS);
  void store.recordDone(answer.ticket, {
    status: 200,
    headers: {'content-type': 'application/json'},
    body: BODY,
  });
  return true;
}

function countWrites(metrics: Metrics): number {
  return ['written', 'conflict', 'unknown'].reduce(
    (sum, outcome) =>
      sum + metrics.counterValue(CLAIM_WRITES_COUNTER, {outcome}),
    0,
  );
}
