import {afterEach, beforeEach, describe, it} from 'node:test';
import {deflateSync} from 'node:zlib';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  DisposableStore,
  DocumentExchange,
  HttpKeyValueService,
  PLAN_KEY,
  PeerNode,
  applyConfig,
  createInstanceId,
  type DocumentMessage,
  type Message,
  type PeerAddress,
} from '@azurecrank/core';
import {KeyValueStandin} from '@azurecrank/standins';
import {expect} from 'earl';

/** Longest wait for a change to reach a process. */
const UPDATE_TIMEOUT_MS = 4000;

/** Short intervals and timeouts keep the tests fast. */
const TIMES = {
  watchMs: 200,
  pollMs: 60_000,
  lonelyAfterMs: 400,
  minBackoffMs: 20,
};

interface TestProcess {
  readonly node: PeerNode;
  readonly exchange: DocumentExchange;
  readonly address: PeerAddress;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const endMs = performance.now() + UPDATE_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error('condition not met in time');
    await sleep(5);
  }
}

describe('DocumentExchange', () => {
  let store: DisposableStore;
  let standin: KeyValueStandin;
  let service: HttpKeyValueService;

  beforeEach(async () => {
    store = new DisposableStore();
    standin = store.add(await new KeyValueStandin().start());
    service = store.add(new HttpKeyValueService(standin.url));
  });
  afterEach(() => store[Symbol.dispose]());

  async function startProcess(
    name: string,
    peers: readonly TestProcess[] = [],
    url = standin.url,
  ): Promise<TestProcess> {
    const identity = {
      node: name,
      instance: createInstanceId(),
      role: 'side',
      availabilityZone: 'a',
    } as const;
    const node: PeerNode = new PeerNode(identity, {
      versions: () => exchange.versions(),
      onMessage: (message, link) => void exchange.handle(message, link),
    });
    store.add(node);
    const exchange: DocumentExchange = new DocumentExchange({
      node: name,
      availabilityZone: 'a',
      keyValue: store.add(new HttpKeyValueService(url)),
      links: () => node.links(),
      times: TIMES,
    });
    store.add(exchange);
    const address = await node.listen('127.0.0.1', 0);
    exchange.start();
    let seq = 0;
    store.addInterval(() => {
      node.broadcast({type: 'ping', seq: seq++, ...exchange.versions()});
    }, 50);
    for (const peer of peers) node.link(peer.address);
    return {node, exchange, address};
  }

  async function accept(revision: number): Promise<void> {
    const text = `revision = ${revision}\n`;
    const {kind} = await applyConfig(service, text, 'ann');
    expect(kind).toEqual('accepted');
  }

  const versionOf = (side: TestProcess) =>
    Number(side.exchange.versions().configVersion);

  describe('propagation', () => {
    it('reaches processes that poll rarely through their peers', async () => {
      const processes: TestProcess[] = [];
      for (let index = 0; index < 6; index++) {
        processes.push(await startProcess(`side-${index}`, processes));
      }
      await accept(0);
      await waitUntil(() => processes.every(side => versionOf(side) === 1));
      await accept(1);
      await waitUntil(() => processes.every(side => versionOf(side) === 2));
      expect(processes[0].exchange.config?.revision).toEqual(1);
    });

    it('follows the plan as well as the configuration', async () => {
      const side = await startProcess('side-1');
      const plan = {version: 7, fence: 2, chains: [], services: {}};
      await service.compareAndSwap(PLAN_KEY, JSON.stringify(plan), 0);
      await waitUntil(() => side.exchange.plan.version === (7 as never));
    });

    // Guards against a start that waits until the key-value service is back.
    it('starts from a peer while the service is down', async () => {
      await accept(0);
      const old = await startProcess('side-old');
      await old.exchange.whenConfigured();
      standin.faults.down = true;
      const started = await startProcess('side-new', [old]);
      await started.exchange.whenConfigured(
        AbortSignal.timeout(UPDATE_TIMEOUT_MS),
      );
      expect(versionOf(started)).toEqual(1);
    });

    // Guards against a process that no longer follows changes after an outage.
    it('follows a version accepted after an outage', async () => {
      const side = await startProcess('side-1');
      await accept(0);
      await waitUntil(() => versionOf(side) === 1);
      standin.faults.down = true;
      await sleep(100);
      standin.faults.down = false;
      await accept(1);
      await waitUntil(() => versionOf(side) === 2);
    });
  });

  describe('reverts', () => {
    it('keeps its version when the service loses the key', async () => {
      const side = await startProcess('side-1');
      await accept(0);
      await accept(1);
      await waitUntil(() => versionOf(side) === 2);
      const entry = await service.get('config/current');
      await service.remove('config/current', entry?.revision ?? 0);
      await accept(0);
      const {documents: store} = side.exchange;
      await waitUntil(() => store.count('revert_refused', 'key_value') > 0);
      expect(versionOf(side)).toEqual(2);
    });
  });

  describe('messages', () => {
    const link = () => {
      const sent: Message[] = [];
      const send = (message: Message) => sent.push(message) > 0;
      return {sent, send, hello: undefined};
    };
    const create = (links: ReturnType<typeof link>[] = []) =>
      store.add(
        new DocumentExchange({
          node: 'side-1',
          availabilityZone: 'a',
          keyValue: service,
          links: () => links,
        }),
      );
    const pong = (planVersion: number): Message => ({
      type: 'pong',
      seq: 1,
      configVersion: 0 as never,
      planVersion: planVersion as never,
    });

    it('requests a version from one peer at a time', () => {
      const exchange = create();
      const [first, second] = [link(), link()];
      exchange.handle(pong(3), first);
      exchange.handle(pong(3), second);
      expect(first.sent).toEqual([{type: 'fetch', what: 'plan'}]);
      expect(second.sent).toEqual([]);
    });

    // Guards against a version that is only announced with the next ping at
    // each hop, and against a process that sends a document to all peers.
    it('announces a new version to a few peers at once', () => {
      const links = Array.from({length: 20}, link);
      const json = JSON.stringify({version: 9, fence: 1, chains: []});
      const message: DocumentMessage = {
        type: 'document',
        what: 'plan',
        version: 9,
        data: deflateSync(json),
      };
      create(links).handle(message, link());
      const sent = links.flatMap(peer => peer.sent);
      expect(sent.map(sentMessage => sentMessage.type)).toEqual(
        Array(4).fill('ping'),
      );
    });

    it('ignores a document whose data cannot be inflated', () => {
      const exchange = create();
      const data = Buffer.from('not deflated');
      const message: DocumentMessage = {
        type: 'document',
        what: 'plan',
        version: 9,
        data,
      };
      expect(exchange.handle(message, link())).toEqual(true);
      expect(exchange.plan.version).toEqual(0 as never);
      expect(exchange.documents.count('unreadable')).toEqual(1);
    });

    it('does not handle other messages', () => {
      const message: Message = {type: 'leaving', node: 'side-2'};
      expect(create().handle(message, link())).toEqual(false);
    });
  });
});
