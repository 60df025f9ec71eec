import {describe, it} from 'node:test';
import type {
  KeyValueEntry,
  KeyValueService,
  Lease,
  WriteOutcome,
} from '@azurecrank/core';
import {Logger} from '@azurecrank/core';
import {
  RequestQuarantine,
  QuarantineStore,
  requestKey,
  type CrashId,
  type SuspectKey,
  type StoreChange,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {RelayHarness, flushPromises} from './relay_harness.js';

const FIRST = 'assistant/first' as SuspectKey;
const CRASHING = 'assistant/crash' as SuspectKey;
const OTHER = 'assistant/other' as SuspectKey;
const BLOCK_MS = 10 * 60_000;
/** All entries pause for the same time. */
const NO_SPREAD = () => 0;

let crashes = 0;
const nextCrash = () => `s${crashes++}@1` as CrashId;

/** A quarantine that has seen crashes of these parts at these times. */
function quarantineAfter(
  keys: readonly SuspectKey[],
  ...atMs: number[]
): RequestQuarantine {
  const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
  for (const ms of atMs) quarantine.recordCrash(keys, nextCrash(), ms);
  return quarantine;
}

describe('RequestQuarantine', () => {
  describe('blames', () => {
    it('no part for one crash', () => {
      const quarantine = quarantineAfter([FIRST, CRASHING], 0);
      expect(quarantine.blockedForMs([CRASHING], 1000)).toEqual(0);
    });

    it('the last of the parts that were in all crashes', () => {
      const quarantine = quarantineAfter([FIRST, CRASHING], 0, 1000, 2000);
      expect(quarantine.blockedForMs([FIRST, CRASHING], 2500)).toBeGreaterThan(
        0,
      );
      expect(quarantine.blockedForMs([FIRST, OTHER], 2500)).toEqual(0);
    });

    it('no neighbour that was in fewer crashes', () => {
      const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
      for (const atMs of [0, 1000, 2000]) {
        const crash = nextCrash();
        quarantine.recordCrash([FIRST, CRASHING], crash, atMs);
        if (atMs > 0) quarantine.recordCrash([FIRST, OTHER], crash, atMs);
      }
      expect(quarantine.blockedForMs([FIRST, OTHER], 2500)).toEqual(0);
    });

    it('no answered part for servers that end together', () => {
      const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
      quarantine.recordAnswer([FIRST], 0);
      for (let i = 0; i < 9; i++)
        quarantine.recordCrash([FIRST], nextCrash(), 1000 + i * 10);
      expect(quarantine.blockedForMs([FIRST], 2000)).toEqual(0);
    });

    it('an answered part that ends server after server later', () => {
      const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
      quarantine.recordAnswer([FIRST], 0);
      for (let i = 1; i <= 5; i++)
        quarantine.recordCrash([FIRST], nextCrash(), i * 1000);
      expect(quarantine.blockedForMs([FIRST], 6000)).toBeGreaterThan(0);
    });
  });

  describe('of a blamed part', () => {
    it('lets one request at a time through, after growing pauses', () => {
      const quarantine = quarantineAfter([CRASHING], 0, 100);
      expect(quarantine.tryStart([CRASHING], 500)).toEqual('trial');
      expect(quarantine.tryStart([CRASHING], 500)).toEqual('blocked');
      quarantine.recordCrash([CRASHING], nextCrash(), 600);
      expect(quarantine.tryStart([CRASHING], 3550)).toEqual('blocked');
      expect(quarantine.tryStart([CRASHING], 3650)).toEqual('trial');
      quarantine.recordCrash([CRASHING], nextCrash(), 3700);
      expect(quarantine.tryStart([CRASHING], 100_000)).toEqual('blocked');
      expect(quarantine.tryStart([CRASHING], 3700 + BLOCK_MS)).toEqual('trial');
    });

    it('starts no trial beside one of a peer', () => {
      const [a, b] = [0, 1].map(() => quarantineAfter([CRASHING], 0, 100));
      a.tryStart([CRASHING], 500);
      b.applyPeerReport(a.report(510), 520);
      expect(b.tryStart([CRASHING], 520)).toEqual('blocked');
    });

    it('starts another trial after one without an outcome', () => {
      const quarantine = quarantineAfter([CRASHING], 0, 100);
      quarantine.tryStart([CRASHING], 500);
      quarantine.endTrial([CRASHING]);
      expect(quarantine.tryStart([CRASHING], 600)).toEqual('trial');
    });
  });

  describe('clears a part', () => {
    // Guards against a sound part that stays blocked (incident 7).
    it('that was blamed wrongly, at all entries, with the first answer', () => {
      const blamed = quarantineAfter([OTHER], 0, 100);
      const peer = new RequestQuarantine(() => {}, NO_SPREAD);
      peer.applyPeerReport(blamed.report(400), 400);
      expect(peer.tryStart([OTHER], 500)).toEqual('trial');
      peer.recordAnswer([OTHER], 900);
      blamed.applyPeerReport(peer.report(1000), 1000);
      expect(peer.tryStart([OTHER], 1000)).toEqual('free');
      expect(blamed.tryStart([OTHER], 1000)).toEqual('free');
      // Evidence of a peer that has not heard of the answer yet.
      blamed.applyPeerReport(
        quarantineAfter([OTHER], 0, 100).report(400),
        1050,
      );
      expect(blamed.tryStart([OTHER], 1500)).toEqual('free');
    });
  });

  it('tells an entry that has just started what its peers know', () => {
    const known = quarantineAfter([CRASHING], 0, 1000, 2000);
    const restarted = new RequestQuarantine(() => {}, NO_SPREAD);
    restarted.applyPeerReport(known.report(60_000), 60_000);
    expect(restarted.tryStart([CRASHING], 60_000)).toEqual('blocked');
  });

  // Guards against entries that repeat all evidence of all others.
  it('reports what it has seen itself, and blamed parts once a second', () => {
    const [seen, told] = [0, 1].map(
      () => new RequestQuarantine(() => {}, NO_SPREAD),
    );
    for (let i = 0; i < 30; i++) {
      const key = `assistant/p${i}` as SuspectKey;
      seen.recordCrash([key], nextCrash(), 0);
    }
    for (const atMs of [0, 400, 800, 1200])
      seen.recordCrash([CRASHING], nextCrash(), atMs);
    told.applyPeerReport(seen.report(100), 100);
    told.applyPeerReport(seen.report(1500), 1500);
    const keysAt = (nowMs: number) =>
      told.report(nowMs).suspects.map(({key}) => key);
    expect(keysAt(1800)).toEqual([CRASHING]);
    expect(keysAt(2000)).toEqual([]);
    expect(keysAt(2900)).toEqual([CRASHING]);
  });

  // Guards against callers that fill the memory of an entry.
  it('remembers a bounded number of parts', () => {
    const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
    for (let i = 0; i < 20_000; i++) {
      const key = `assistant/p${i}` as SuspectKey;
      if (i % 2 === 0) quarantine.recordAnswer([key], i);
      else quarantine.recordCrash([key], nextCrash(), i);
    }
    const {suspects, answered} = quarantine.report(20_000);
    expect(suspects.length + answered.length).toBeLessThanOrEqual(128);
    const size = JSON.stringify(quarantine, (_, value) =>
      value instanceof Map ? [...value] : value,
    ).length;
    expect(size).toBeLessThanOrEqual(1024 * 1024);
  });
});

/** A store with leases that end when a test says so. */
class FakeStore implements Pick<
  KeyValueService,
  'get' | 'compareAndSwap' | 'remove' | 'grantLease'
> {
  readonly values = new Map<string, string>();
  isAvailable = true;

  async get(key: string): Promise<KeyValueEntry | undefined> {
    const value = this.values.get(key);
    return value === undefined ? undefined : {key, value, revision: 1};
  }

  async compareAndSwap(key: string, value: string): Promise<WriteOutcome> {
    if (!this.values.has(key)) this.values.set(key, value);
    return {kind: 'written', revision: 1};
  }

  async remove(key: string): Promise<WriteOutcome> {
    this.values.delete(key);
    return {kind: 'written', revision: 2};
  }

  async grantLease(ttlMs: number): Promise<Lease> {
    if (!this.isAvailable) throw new Error('store is down');
    return {lease: 'l', fence: 1, ttlMs};
  }

  get entries(): Array<StoreChange & {value: string}> {
    return [...this.values].map(([key, value]) => ({key, value}));
  }
}

describe('QuarantineStore', () => {
  function storeOf(store: FakeStore, quarantine: RequestQuarantine) {
    return new QuarantineStore({
      keyValue: store as unknown as KeyValueService,
      quarantine,
      logger: new Logger('test', 'silent'),
      nowMs: () => 10_000,
      entryCount: () => 0,
    });
  }

  // Guards against servers that end anew after all entries were restarted
  // (incident 7).
  it('keeps a long block for entries that all restart at once', async t => {
    t.mock.timers.enable({apis: ['setInterval']});
    const store = new FakeStore();
    const blocked = quarantineAfter([CRASHING], 0, 3000, 9000);
    store.isAvailable = false;
    using before = storeOf(store, blocked);
    before.start();
    t.mock.timers.tick(500);
    await flushPromises();
    expect(store.values.size).toEqual(0);
    store.isAvailable = true;
    t.mock.timers.tick(500);
    await flushPromises();

    const restarted = new RequestQuarantine(() => {}, NO_SPREAD);
    using after = storeOf(store, restarted);
    after.applySnapshot({entries: store.entries, revision: 1, era: 0});
    expect(restarted.tryStart([CRASHING], 10_000)).toEqual('blocked');
    after.removeBlock(CRASHING);
    await flushPromises();
    after.applySnapshot({entries: store.entries, revision: 2, era: 0});
    expect(restarted.tryStart([CRASHING], 10_000)).toEqual('free');
  });

  // Guards against an exception that counts as a failure of the store, after
  // which the same values are read again without end.
  it('skips values of other writers', () => {
    const store = new FakeStore();
    const untilUnixMs = Date.now() + BLOCK_MS;
    const prefix = 'azurecrank/quarantine/';
    store.values.set(`${prefix}%zz`, String(untilUnixMs));
    store.values.set(`${prefix}${encodeURIComponent(OTHER)}`, 'soon');
    store.values.set(`${prefix}${encodeURIComponent(FIRST)}`, '1e300');
    store.values.set(
      `${prefix}${encodeURIComponent(CRASHING)}`,
      String(untilUnixMs),
    );
    const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
    using blocks = storeOf(store, quarantine);
    blocks.applySnapshot({entries: store.entries, revision: 1, era: 1});
    blocks.applyChanges(store.entries);
    expect(quarantine.tryStart([CRASHING], 10_000)).toEqual('blocked');
    expect(quarantine.tryStart([OTHER], 10_000)).toEqual('free');
    // No entry stores a block that lasts longer.
    const afterBlockMs = 10_000 + BLOCK_MS + 1;
    expect(quarantine.tryStart([FIRST], afterBlockMs)).toEqual('trial');
  });

  // Guards against entries that forget with their restart how often servers
  // have ended (incident 18).
  it('makes the first request after a block a trial, unless it was removed', () => {
    const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
    using blocks = storeOf(new FakeStore(), quarantine);
    const entries = [CRASHING, OTHER].map(suspect => ({
      key: `azurecrank/quarantine/${encodeURIComponent(suspect)}`,
      value: String(Date.now() + 60_000),
    }));
    blocks.applySnapshot({entries, revision: 1, era: 1});
    blocks.applyChanges([{key: entries[1].key, value: undefined}]);
    expect(quarantine.tryStart([OTHER], 10_000)).toEqual('free');
    expect(quarantine.tryStart([CRASHING], 10_000)).toEqual('blocked');
    expect(quarantine.tryStart([CRASHING], 71_000)).toEqual('trial');
  });

  // Guards against prompts that are tried again after a restore of the store,
  // which has lost the block.
  it('keeps a block that a restored store lacks, and writes it', async t => {
    t.mock.timers.enable({apis: ['setInterval']});
    const store = new FakeStore();
    const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
    using blocks = storeOf(store, quarantine);
    const key = `azurecrank/quarantine/${encodeURIComponent(CRASHING)}`;
    const entries = [{key, value: String(Date.now() + 60_000)}];
    blocks.applySnapshot({entries, revision: 1, era: 1});
    blocks.start();
    blocks.applySnapshot({entries: [], revision: 1, era: 2}, true);
    expect(quarantine.tryStart([CRASHING], 10_000)).toEqual('blocked');
    t.mock.timers.tick(500);
    await flushPromises();
    expect([...store.values.keys()]).toEqual([key]);
    blocks.applySnapshot({entries: store.entries, revision: 2, era: 2});
    blocks.applySnapshot({entries: [], revision: 3, era: 2});
    expect(quarantine.tryStart([CRASHING], 10_000)).toEqual('free');
  });

  // Guards against a part that is blocked for minutes although it was answered,
  // since a restore of the store has brought its block back.
  it('removes a block again that was removed since the copy', async () => {
    const store = new FakeStore();
    const quarantine = new RequestQuarantine(() => {}, NO_SPREAD);
    using blocks = storeOf(store, quarantine);
    const key = `azurecrank/quarantine/${encodeURIComponent(CRASHING)}`;
    const entries = [{key, value: String(Date.now() + 60_000)}];
    blocks.applySnapshot({entries, revision: 1, era: 1});
    blocks.applyChanges([{key, value: undefined}]);
    store.values.set(key, entries[0].value);
    blocks.applySnapshot({entries, revision: 1, era: 2}, true);
    expect(quarantine.tryStart([CRASHING], 10_000)).toEqual('free');
    await flushPromises();
    expect(store.values.size).toEqual(0);
    const next = {key, value: String(Date.now() + 90_000)};
    blocks.applyChanges([next]);
    expect(quarantine.tryStart([CRASHING], 10_000)).toEqual('blocked');
  });
});

describe('StreamRelay with a prompt that may end servers', () => {
  function harnessWithCrashes(): RelayHarness {
    const harness = new RelayHarness({}, ['crash']);
    const lost = harness.pathAddresses()[0];
    harness.control.refusingConnections.add(lost);
    harness.lastSent.handlers.onFailure({cause: 'closed', mayHaveRun: true});
    return harness;
  }

  it('suspects the prompt and the request if the server has ended', async () => {
    const harness = harnessWithCrashes();
    await flushPromises();
    const {suspects} = harness.quarantine.report(harness.nowMs);
    expect(suspects.map(({key}) => key)).toEqual([
      CRASHING,
      requestKey(harness.digest),
    ]);
  });

  // Guards against blaming prompts for connections that are reset.
  it('suspects nothing if the server still lives', async () => {
    const harness = new RelayHarness({}, ['crash']);
    harness.lastSent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
    await flushPromises();
    expect(harness.quarantine.report(harness.nowMs).suspects).toEqual([]);
    expect(harness.upstream.sent.length).toEqual(2);
  });

  it('does not suspect a stream that has gone on before', async () => {
    const harness = new RelayHarness({}, ['crash']);
    harness.receiveHead();
    harness.receiveEvents(1, 2);
    harness.nowMs += 300;
    harness.receiveEvents(3);
    const lost = harness.pathAddresses()[0];
    harness.control.refusingConnections.add(lost);
    harness.lastSent.handlers.onFailure({cause: 'closed', mayHaveRun: true});
    await flushPromises();
    expect(harness.quarantine.report(harness.nowMs).suspects).toEqual([]);
  });

  it('suspects a stream that had only begun on a slow server', async () => {
    const harness = new RelayHarness({}, ['crash']);
    harness.receiveHead();
    harness.receiveEvents(1);
    harness.nowMs += 300;
    harness.receiveEvents(2);
    const lost = harness.pathAddresses()[0];
    harness.control.refusingConnections.add(lost);
    harness.lastSent.handlers.onFailure({cause: 'closed', mayHaveRun: true});
    await flushPromises();
    const {suspects} = harness.quarantine.report(harness.nowMs);
    expect(suspects.map(({key}) => key)).toEqual([
      CRASHING,
      requestKey(harness.digest),
    ]);
  });

  it('ends a run without an event once its part is blocked', async () => {
    const harness = new RelayHarness({}, ['crash']);
    for (const atMs of [0, 400, 800])
      harness.quarantine.recordCrash([CRASHING], nextCrash(), atMs);
    harness.relay.tick((harness.nowMs += 300));
    expect(harness.lastSent.isAborted).toEqual(true);
    expect(harness.res.statusCode).toEqual(502);
  });

  it('refuses a request with a blocked part at once, as not run', () => {
    const blocked = quarantineAfter([CRASHING], 0, 400, 700);
    const harness = new RelayHarness({}, ['crash'], blocked);
    expect(harness.upstream.sent.length).toEqual(0);
    expect(harness.res.statusCode).toEqual(503);
    expect(harness.res.headers).toInclude('retry-after');
  });
});
