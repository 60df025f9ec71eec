import {after, before, describe, it} from 'node:test';
import {HttpEngine, prefixHashes, toId, type ModelId} from '@azurecrank/core';
import {expect} from 'earl';
import {EngineStandin, delay} from '../src/index.js';

const PROMPT = 'the same standard question about hail nets '.repeat(60);
const POLL_MS = 20;

/** Guards against a stand-in that is kinder than engines: no lag, no gaps. */
describe('cache events of the engine stand-in', () => {
  const standin = new EngineStandin({
    info: {
      model: toId<ModelId>('m'),
      modelVersion: '1',
      firstLayer: 0,
      endLayer: 1,
      accelerator: 'a',
      memoryBytes: 1,
      layerMs: 0,
      prefillLayerMs: 0,
      maxSequences: 1,
      checksFence: true,
    },
    modelLayers: 1,
    batchOverheadMs: 0,
  });
  let engine: HttpEngine;

  before(async () => {
    await standin.start();
    engine = new HttpEngine(standin.url);
  });
  after(() => {
    engine[Symbol.dispose]();
    standin[Symbol.dispose]();
  });

  it('come late and with gaps', async () => {
    await engine.tokenize(PROMPT);
    expect(await engine.cacheEvents(0)).toEqual([]);
    let events = await engine.cacheEvents(0);
    while (events.length === 0) {
      await delay(POLL_MS);
      events = await engine.cacheEvents(0);
    }
    const stored = prefixHashes(PROMPT);
    const shown = events.map(({prefixHash}) => prefixHash);
    expect(shown.length).toBeLessThan(stored.length);
    expect(shown.every(hash => stored.includes(hash))).toEqual(true);
  });
});
