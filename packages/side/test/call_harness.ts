/**
 * Call handlers of several side processes that share one key-value stand-in and
 * one plain service stand-in.
 */
import {
  ClaimStore,
  DisposableStore,
  FIRST_ATTEMPT,
  HttpKeyValueService,
  HttpPlainService,
  KeyValueService,
  Metrics,
  PauseMonitor,
  PlainService,
  createInstanceId,
  createRequestId,
  toId,
  type Call,
  type ClaimStoreOptions,
  type KeyValueEntry,
  type Lease,
  type ServiceOutcome,
  type ServiceRequest,
  type WriteOutcome,
} from '@azurecrank/core';
import {KeyValueStandin, PlainServiceStandin} from '@azurecrank/standins';
import {CallHandler, type CallHandlerOptions} from '../src/index.js';

export const SERVICE = toId<Call['service']>('parts');

/** Runs a write; tests replace it to lose, drop, delay or count writes. */
export type WriteFault = (
  write: () => Promise<WriteOutcome>,
) => Promise<WriteOutcome>;

/** Client of the key-value stand-in that can inject a fault into each write. */
export class FaultyKeyValue extends KeyValueService {
  onWrite: WriteFault = write => write();
  writeCount = 0;

  constructor(private readonly inner: KeyValueService) {
    super();
  }

  override get(key: string): Promise<KeyValueEntry | undefined> {
    return this.inner.get(key);
  }

  override list(prefix: string): Promise<KeyValueEntry[]> {
    return this.inner.list(prefix);
  }

  override compareAndSwap(
    key: string,
    value: string,
    expectedRevision: number,
  ): Promise<WriteOutcome> {
    const write = () => this.inner.compareAndSwap(key, value, expectedRevision);
    if (key.endsWith('/layout')) return write();
    this.writeCount++;
    return this.onWrite(write);
  }

  override remove(key: string, revision: number): Promise<WriteOutcome> {
    return this.inner.remove(key, revision);
  }

  override watch(key: string, revision: number, timeoutMs: number) {
    return this.inner.watch(key, revision, timeoutMs);
  }

  override grantLease(ttlMs: number): Promise<Lease> {
    return this.inner.grantLease(ttlMs);
  }

  override keepLeaseAlive(lease: Lease): Promise<boolean> {
    return this.inner.keepLeaseAlive(lease);
  }

  override revokeLease(lease: Lease): Promise<void> {
    return this.inner.revokeLease(lease);
  }
}

/** Client of the service stand-in that can inject a fault into each call. */
export class FaultyService extends PlainService {
  onCall: (call: () => Promise<ServiceOutcome>) => Promise<ServiceOutcome> =
    call => call();

  constructor(private readonly inner: PlainService) {
    super();
  }

  override call(serviceRequest: ServiceRequest): Promise<ServiceOutcome> {
    return this.onCall(() => this.inner.call(serviceRequest));
  }
}

export interface TestSide {
  readonly handler: CallHandler;
  readonly claims: ClaimStore;
  readonly kv: FaultyKeyValue;
  readonly service: FaultyService;
  readonly metrics: Metrics;
}

export class CallHarness implements Disposable {
  readonly instance = createInstanceId();
  private readonly disposables = new DisposableStore();

  private constructor(
    readonly kv: KeyValueStandin,
    readonly service: PlainServiceStandin,
  ) {
    this.disposables.add(kv);
    this.disposables.add(service);
  }

  static async start(callMs = 1): Promise<CallHarness> {
    return new CallHarness(
      await new KeyValueStandin().start(),
      await new PlainServiceStandin(callMs).start(),
    );
  }

  addSide(
    claimOptions: Partial<ClaimStoreOptions> = {},
    options: Partial<CallHandlerOptions> = {},
  ): TestSide {
    const metrics = new Metrics();
    const {disposables} = this;
    const kv = new FaultyKeyValue(
      disposables.add(new HttpKeyValueService(this.kv.url, 400)),
    );
    const service = new FaultyService(
      disposables.add(new HttpPlainService(this.service.url)),
    );
    const claims = disposables.add(
      new ClaimStore(kv, SERVICE, createInstanceId(), metrics, {
        batchWindowMs: 1,
        initialBackoffMs: 2,
        maxBackoffMs: 40,
        claimTimeoutMs: 800,
        holderMarginMs: 50,
        pages: 2,
        ...claimOptions,
      }),
    );
    const pauses = disposables.add(new PauseMonitor());
    const handler = new CallHandler(service, claims, pauses, metrics, options);
    return {handler, claims, kv, service, metrics};
  }

  /** A keyed non-idempotent call; its reference is unique to the request. */
  call(idempotencyKey: string, change: Partial<Call> = {}): Call {
    const request = change.request ?? createRequestId(this.instance);
    return {
      type: 'call',
      request,
      attempt: FIRST_ATTEMPT,
      workspace: toId('works'),
      service: SERVICE,
      rank: 'ordinary',
      method: 'POST',
      path: '/orders',
      headers: {'x-reference': referenceOf(idempotencyKey, request)},
      body: Buffer.from('{}'),
      idempotencyKey,
      idempotent: false,
      deadlineMs: 2000,
      ...change,
    };
  }

  /** Number of effects of one request in the service. */
  effectsOf({idempotencyKey, request}: Call): number {
    return (
      this.service.executionCounts.get(referenceOf(idempotencyKey, request)) ??
      0
    );
  }

  /** Number of effects of all requests with the key in the service. */
  effectsOfKey(key: string): number {
    let total = 0;
    for (const [name, count] of this.service.executionCounts) {
      if (name.startsWith(`${key}/`)) total += count;
    }
    return total;
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }
}

function referenceOf(key: string, request: string): string {
  return `${key}/${request}`;
}

/** Waits until the condition holds; fails after five seconds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const endMs = performance.now() + 5000;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error('condition does not hold');
    await new Promise(resolve => setTimeout(resolve, 2));
  }
}

/** Blocks its callers until it is released. */
export class Gate {
  arrivalCount = 0;
  private open!: () => void;
  private readonly opened = new Promise<void>(resolve => {
    this.open = resolve;
  });

  wait(): Promise<void> {
    this.arrivalCount++;
    return this.opened;
  }

  release(): void {
    this.open();
  }
}
