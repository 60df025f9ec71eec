import {after, before, describe, it} from 'node:test';
import {HttpEngine, prefixHashes, toId, type ModelId} from '@azurecrank/core';
import {expect} from 'earl';
import {EngineStandin, delay} from '../src/index.js';

const PROMPT = 'the same standard question about hail nets '.repeat(60);
const POLL_INTERVAL_MS = 20;

/**
 * Guards against a stand-in that is more reliable than engines: one that shows
 * every cache event, or shows it at once.
 */
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

  it('arrive with a delay and with gaps', async () => {
    await engine.tokenize(PROMPT);
    expect(await engine.cacheEvents(0)).toEqual([]);
    let events = await engine.cacheEvents(0);
    while (events.length === 0) {
      await delay(POLL_INTERVAL_MS);
      events = await engine.cacheEvents(0);
    }
    const promptHashes = prefixHashes(PROMPT);
    const receivedHashes = events.map(({prefixHash}) => prefixHash);
    expect(receivedHashes.length).toBeLessThan(promptHashes.length);
    expect(receivedHashes.every(hash => promptHashes.includes(hash))).toEqual(
      true,
    );
  });
});
