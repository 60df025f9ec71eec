/**
 * Two entries and two side processes under random interleavings and random
 * faults of the key-value service, the plain service and the connections.
 * Guards against calls that run twice or after they were reported as not run.
 */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  CallDispatcher,
  CallRetryBudget,
  CallTransport,
  CallTransportError,
} from 'azurecrank';
import {
  Metrics,
  toId,
  type Call,
  type CallResult,
  type Cancel,
  type Cancelled,
  type Refused,
  type ServerId,
  type ServiceServer,
  type WriteOutcome,
} from '@azurecrank/core';
import type {CallHandler} from '../src/index.js';
import {CallHarness, type TestSide} from './call_harness.js';

const SEED = Number(process.env.SEED ?? Math.floor(Math.random() * 2 ** 31));
const RUNS = Number(process.env.RUNS ?? 60);

const WRITE_FAULTS = ['none', 'lost', 'dropped', 'late', 'slow'] as const;
const CONNECTION_FAULTS = [
  'none',
  'refused',
  'call_lost',
  'answer_lost',
  'duplicate',
] as const;
const SERVICE_FAULTS = ['none', 'slow', 'answer_lost', 'not_sent'] as const;

const LATE_DELAY_MS = 15;

function wait(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Returns a function that yields the items in order, then always `rest`. */
function itemsThenDefault<T>(items: readonly T[], rest: T): () => T {
  let index = 0;
  return () => (index < items.length ? items[index++] : rest);
}

/** Transport that calls the handlers directly, with faults in between. */
class FaultyTransport extends CallTransport {
  private readonly background: Promise<unknown>[] = [];

  constructor(
    private readonly handlers: ReadonlyMap<ServerId, CallHandler>,
    private readonly nextFault: () => (typeof CONNECTION_FAULTS)[number],
  ) {
    super();
  }

  override async send(
    {server}: ServiceServer,
    call: Call,
  ): Promise<CallResult | Refused> {
    const fault = this.nextFault();
    const handler = this.handlers.get(server);
    if (!handler || fault === 'refused') {
      throw new CallTransportError('refused', false);
    }
    if (fault === 'call_lost') throw new CallTransportError('lost', true);
    const answer = handler.handle(call);
    this.background.push(answer);
    if (fault === 'duplicate') this.background.push(handler.handle(call));
    if (fault !== 'answer_lost') return answer;
    await Promise.race([answer, wait(LATE_DELAY_MS)]);
    throw new CallTransportError('lost', true);
  }

  override async cancel(
    {server}: ServiceServer,
    cancel: Cancel,
  ): Promise<Cancelled> {
    const handler = this.handlers.get(server);
    if (!handler) throw new CallTransportError('refused', false);
    return handler.cancel(cancel);
  }

  async settled(): Promise<void> {
    await Promise.all(this.background);
  }
}

class UnlimitedRetryBudget extends CallRetryBudget {
  override acquire(): boolean {
    return true;
  }

  override recordSuccess(): void {}
}

function addFaults(
  side: TestSide,
  nextWrite: () => (typeof WRITE_FAULTS)[number],
  nextService: () => (typeof SERVICE_FAULTS)[number],
): void {
  side.kv.onWrite = async write => {
    const unknown: WriteOutcome = {kind: 'unknown', cause: 'test'};
    const fault = nextWrite();
    if (fault === 'dropped') return unknown;
    if (fault === 'late') {
      void wait(LATE_DELAY_MS).then(write);
      return unknown;
    }
    if (fault === 'slow') await wait(LATE_DELAY_MS);
    const outcome = await write();
    return fault === 'lost' ? unknown : outcome;
  };
  side.service.onCall = async call => {
    const fault = nextService();
    if (fault === 'not_sent') return {kind: 'not_sent', cause: 'test'};
    if (fault === 'slow') await wait(LATE_DELAY_MS);
    const outcome = await call();
    if (fault !== 'answer_lost') return outcome;
    return {kind: 'unknown', cause: 'test'};
  };
}

const scenario = fc.record({
  requests: fc.array(
    fc.record({
      key: fc.constantFrom('one', 'two', ''),
      body: fc.constantFrom('{}', '{}', '{"a":1}'),
      entry: fc.nat(1),
      startMs: fc.nat(40),
      deadlineMs: fc.constantFrom(10, 30, 400),
      cancelAfterMs: fc.option(fc.nat(30), {freq: 3}),
    }),
    {minLength: 1, maxLength: 10},
  ),
  writes: fc.array(fc.constantFrom(...WRITE_FAULTS), {maxLength: 12}),
  links: fc.array(fc.constantFrom(...CONNECTION_FAULTS), {maxLength: 8}),
  calls: fc.array(fc.constantFrom(...SERVICE_FAULTS), {maxLength: 6}),
  outage: fc.option(fc.record({atMs: fc.nat(40), forMs: fc.nat(60)})),
  drainSideAtMs: fc.option(fc.nat(40), {freq: 4}),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

/** Runs the scenario and compares all answers with the effects. */
async function checkScenario(given: Scenario): Promise<void> {
  using harness = await CallHarness.start();
  const sides = [harness.addSide(), harness.addSide()];
  const nextWrite = itemsThenDefault(given.writes, 'none');
  const nextService = itemsThenDefault(given.calls, 'none');
  for (const side of sides) addFaults(side, nextWrite, nextService);
  const servers = sides.map((_, index) => ({
    server: toId<ServerId>(`side-${index}`),
    address: toId<ServiceServer['address']>(`127.0.0.1:${index + 1}`),
    availabilityZone: 'z',
  }));
  const handlers = new Map(
    sides.map(({handler}, index) => [servers[index].server, handler]),
  );
  const nextLink = itemsThenDefault(given.links, 'none');
  const transport = new FaultyTransport(handlers, nextLink);
  const entries = [0, 1].map(
    () =>
      new CallDispatcher(transport, new UnlimitedRetryBudget(), new Metrics(), {
        cancelTimeoutMs: 50,
      }),
  );
  const timers: NodeJS.Timeout[] = [];
  const at = (ms: number, run: () => void) => timers.push(setTimeout(run, ms));
  if (given.outage) {
    const {atMs, forMs} = given.outage;
    at(atMs, () => (harness.kv.faults.down = true));
    at(atMs + forMs, () => (harness.kv.faults.down = false));
  }
  const {drainSideAtMs} = given;
  if (drainSideAtMs !== null)
    at(drainSideAtMs, () => sides[0].handler.startDraining());
  const calls = given.requests.map(({key, body, deadlineMs}) =>
    harness.call(key, {body: Buffer.from(body), deadlineMs}),
  );
  const answers = await Promise.all(
    given.requests.map(async ({entry, startMs, cancelAfterMs}, index) => {
      await wait(startMs);
      const signal =
        cancelAfterMs === null ? undefined : AbortSignal.timeout(cancelAfterMs);
      return entries[entry].dispatch(calls[index], servers, signal);
    }),
  );
  await transport.settled();
  await Promise.all(sides.map(({claims}) => claims.flushOutcomes()));
  await wait(2 * LATE_DELAY_MS);
  for (const timer of timers) clearTimeout(timer);
  for (const [index, answer] of answers.entries()) {
    const effects = harness.effectsOf(calls[index]);
    expect(effects).toBeLessThanOrEqual(1);
    if ('kind' in answer && answer.ran === 'not_run') {
      expect(effects).toEqual(0);
    }
    if ('status' in answer) {
      const text = Buffer.from(answer.body).toString();
      const {reference} = JSON.parse(text) as {reference: string};
      const key = given.requests[index].key;
      const own = harness.call(key, {request: calls[index].request});
      const isOwn = reference === own.headers['x-reference'];
      const isReplay = answer.replayed && reference.startsWith(`${key}/`);
      expect(isOwn || isReplay).toEqual(true);
      expect(answer.replayed ? effects : 1).toEqual(answer.replayed ? 0 : 1);
    }
  }
  for (const key of ['one', 'two']) {
    expect(harness.effectsOfKey(key)).toBeLessThanOrEqual(1);
  }
}

describe('calls under random faults', () => {
  it(`run at most once and never after "not run" (seed ${SEED})`, async () => {
    console.log(`SEED=${SEED} RUNS=${RUNS}`);
    await fc.assert(fc.asyncProperty(scenario, checkScenario), {
      seed: SEED,
      numRuns: RUNS,
      endOnFailure: false,
    });
  });
});
