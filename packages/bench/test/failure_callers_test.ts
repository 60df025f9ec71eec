import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  CHAT,
  FailureFleet,
  WORKSPACE,
  expectWhole,
  getJson,
  startStream,
  until,
  type ForwardedServer,
} from './failure_fleet.js';

/** Guards against answers that are lost, crossed, or cut without a word. */
describe('callers under failures', () => {
  const first = new FailureFleet();
  const second = new FailureFleet();
  let all = first;
  let killedStage: ForwardedServer | undefined;

  before(() => first.start({chains: 1}));
  after(() => {
    first[Symbol.dispose]();
    second[Symbol.dispose]();
  });

  /** Sequences in the engines whose side runs. */
  async function heldSequences(): Promise<number> {
    const running = all.servers.filter(server => server !== killedStage);
    const counts = await Promise.all(
      running.map(({engine}) =>
        getJson<{sequences: number}>(`${engine.url}/debug`),
      ),
    );
    return counts.reduce((sum, {sequences}) => sum + sequences, 0);
  }

  /** Sends a streamed request and hands each part to `onText`. */
  async function readRaw(
    headers: Record<string, string>,
    onText: (text: string) => void,
    signal?: AbortSignal,
  ): Promise<{text: string; isCut: boolean}> {
    const response = await fetch(
      `${all.entries[0].httpUrl}/v1/chat/completions`,
      {
        method: 'POST',
        signal,
        headers: {authorization: `Bearer ${WORKSPACE}`, ...headers},
        body: JSON.stringify({
          model: CHAT,
          messages: [{role: 'user', content: 'estimate a shutter repair'}],
          max_tokens: 5000,
          stream: true,
        }),
      },
    );
    let text = '';
    try {
      const decoder = new TextDecoder();
      for await (const part of response.body ?? []) {
        text += decoder.decode(part as Uint8Array);
        onText(text);
      }
      return {text, isCut: false};
    } catch {
      return {text, isCut: true};
    }
  }

  it('a caller that leaves frees its sequence in every engine', async () => {
    const leaving = new AbortController();
    const reading = readRaw(
      {},
      text => {
        if (text.split('\n\n').length > 10) leaving.abort();
      },
      leaving.signal,
    );
    await until(
      'all engines hold it',
      async () => (await heldSequences()) === 3,
    );
    expect((await reading).isCut).toEqual(true);
    await until(
      'no engine holds it',
      async () => (await heldSequences()) === 0,
    );
  });

  it('a stream that cannot be completed ends in an error', async () => {
    let isKilled = false;
    const deadline = {'azurecrank-deadline-ms': '1500'};
    const {text, isCut} = await readRaw(deadline, () => {
      if (!isKilled) all.servers[1].program.kill('SIGKILL');
      isKilled = true;
    });
    expect(isKilled && isCut).toEqual(true);
    const events = text.trim().split('\n\n');
    const last = JSON.parse((events.at(-1) ?? '').slice('data: '.length));
    expect(last.error.ran).toEqual('ran');
    expect(text.includes('[DONE]')).toEqual(false);
  });

  it('answers are not crossed while a stage is killed', async () => {
    first[Symbol.dispose]();
    const sideSettings = {orphan_timeout_ms: 1500};
    const size = {chains: 2, entries: 2, maxSequences: 8, sideSettings};
    all = await second.start(size);
    const streams = Array.from({length: 24}, (_, index) =>
      startStream(all.entries[index % 2], `caller ${index} asks`, 40),
    );
    await until('streams run', () => streams.some(s => s.tokens > 10));
    killedStage = all.servers[1];
    killedStage.program.kill('SIGKILL');
    await expectWhole(streams);
  });

  it('later requests do not pay for a stage that was killed', async () => {
    const [entry] = all.entries;
    // Each recovery takes from the retry budget; the choice of chains must avoid them.
    for (let round = 0; round < 12; round++) {
      const streams = Array.from({length: 10}, (_, index) =>
        startStream(entry, `request ${index} of round ${round}`, 3),
      );
      await expectWhole(streams);
    }
  });

  it('an entry that is killed leaves no slot taken', async () => {
    const [entry, killed] = all.entries;
    const lost = Array.from({length: 20}, (_, index) =>
      startStream(killed, `lost request ${index}`, 5000),
    );
    await until('streams run', () => lost.some(s => s.tokens > 10));
    killed.program.kill('SIGKILL');
    for (const {ended} of lost) expect((await ended).isComplete).toEqual(false);
    await until(
      'no engine holds one',
      async () => (await heldSequences()) === 0,
    );
    const streams = Array.from({length: 10}, (_, index) =>
      startStream(entry, `request ${index} after the loss`, 10),
    );
    await expectWhole(streams);
  });
});
