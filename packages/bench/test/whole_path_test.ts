import {after, before, describe, it} from 'node:test';
import {referenceAnswer} from '@azurecrank/standins';
import {expect} from 'earl';
import OpenAI from 'openai';
import {
  Fleet,
  formatModelPrompt,
  streamChat,
  writeOperatorFile,
} from '../src/index.js';
import type {RunningProcess} from '../src/index.js';

const MODEL = 'bench-13b';
const LAYERS = 12;
const SERVICE = 'bench_assistant';
const CONFIG = writeOperatorFile({
  model: MODEL,
  layers: LAYERS,
  modelServices: {[SERVICE]: 'urgent'},
  workspaces: {walk_in: 1},
});
const MAX_TOKENS = 20;
const PROMPT = 'draft a diagnosis for a slow focal plane shutter';
const EXPECTED = referenceAnswer(formatModelPrompt(PROMPT), MAX_TOKENS, LAYERS);

describe('whole path', () => {
  const fleet = new Fleet();
  let entry: RunningProcess;

  before(async () => {
    await fleet.startKeyValue();
    await fleet.applyConfig(CONFIG);
    await Promise.all(
      [0, 4, 8].map(firstLayer =>
        fleet.startModelServer({
          server: `server-${firstLayer}`,
          model: MODEL,
          modelLayers: LAYERS,
          firstLayer,
          endLayer: firstLayer + 4,
        }),
      ),
    );
    entry = await fleet.startEntry('entry-1');
  });
  after(() => fleet[Symbol.dispose]());

  describe('a chain of three processes', () => {
    it('streams the answer that the whole model would give', async () => {
      const outcome = await streamChat({
        url: entry.httpUrl,
        bearerKey: 'walk_in',
        service: SERVICE,
        prompt: PROMPT,
        maxTokens: MAX_TOKENS,
      });
      expect(outcome.reason).toEqual('');
      expect(outcome.isComplete).toEqual(true);
      expect(outcome.text).toEqual(EXPECTED);
    });

    it('serves an unmodified client library without streaming', async () => {
      const client = new OpenAI({
        baseURL: `${entry.httpUrl}/v1`,
        apiKey: 'walk_in',
      });
      const answer = await client.chat.completions.create({
        model: SERVICE,
        messages: [{role: 'user', content: PROMPT}],
        max_tokens: MAX_TOKENS,
      });
      expect(answer.choices[0].message.content).toEqual(EXPECTED);
      expect(answer.choices[0].finish_reason).toEqual('length');
    });
  });
});
