import {afterEach, beforeEach, describe, it} from 'node:test';
import {referenceAnswer} from '@azurecrank/standins';
import {expect} from 'earl';
import {
  Fleet,
  formatModelPrompt,
  streamChat,
  writeOperatorFile,
} from '../src/index.js';
import type {ChatResult, ModelServer, RunningProcess} from '../src/index.js';

const MODEL = 'bench-13b';
const LAYERS = 12;
const SERVICE = 'night_write_ups';
const MAX_TOKENS = 120;
const STREAMS = 6;
const TOKENS_BEFORE_STOP = 10;
const PROMPT = 'write up the overnight service history of a shutter';
const EXPECTED = referenceAnswer(formatModelPrompt(PROMPT), MAX_TOKENS, LAYERS);

/** A stop that waited for the streams would take longer than this. */
const EXIT_WITHIN_MS = 3000;
const DECODE_LAYER_MS = 4;

interface EngineDebug {
  readonly executions: Readonly<Record<string, number>>;
}

describe('planned stop of a stage under streams', () => {
  let fleet: Fleet;
  let servers: ModelServer[];
  let entry: RunningProcess;

  beforeEach(async () => {
    fleet = new Fleet();
    await fleet.startKeyValue();
    await fleet.applyConfig(
      writeOperatorFile({
        model: MODEL,
        layers: LAYERS,
        modelServices: {[SERVICE]: 'overnight'},
        workspaces: {walk_in: 1},
      }),
    );
    servers = await Promise.all(
      ['a', 'b'].flatMap(chain =>
        [0, 4, 8].map(firstLayer =>
          fleet.startModelServer({
            server: `${chain}-${firstLayer}`,
            model: MODEL,
            modelLayers: LAYERS,
            firstLayer,
            endLayer: firstLayer + 4,
            layerMs: DECODE_LAYER_MS,
          }),
        ),
      ),
    );
    entry = await fleet.startEntry('entry-1');
  });
  afterEach(() => fleet[Symbol.dispose]());

  function streamAll(stop: () => void): Promise<ChatResult[]> {
    let running = 0;
    return Promise.all(
      Array.from({length: STREAMS}, () => {
        let tokens = 0;
        return streamChat({
          url: entry.httpUrl,
          bearerKey: 'walk_in',
          service: SERVICE,
          prompt: PROMPT,
          maxTokens: MAX_TOKENS,
          onToken: () => {
            if (++tokens !== TOKENS_BEFORE_STOP) return;
            if (++running === STREAMS) stop();
          },
        });
      }),
    );
  }

  async function executions(): Promise<number[]> {
    const debugs = await Promise.all(
      servers.map(async ({engine}) => {
        const response = await fetch(`${engine.url}/debug`);
        return (await response.json()) as EngineDebug;
      }),
    );
    return debugs.flatMap(debug => Object.values(debug.executions));
  }

  /** Positions of one stage's layers, summed over the servers that hold them. */
  async function positionsRun(): Promise<number> {
    return (await executions()).reduce((sum, count) => sum + count, 0);
  }

  for (const stage of [0, 1, 2]) {
    it(`moves the caches of stage ${stage} and runs no layer again`, async () => {
      let exitMs = 0;
      const outcomes = await streamAll(() => {
        const startMs = performance.now();
        const {program} = servers[stage];
        program.kill('SIGTERM');
        void program.waitForExit().then(() => {
          exitMs = performance.now() - startMs;
        });
      });
      for (const outcome of outcomes) {
        expect(outcome.reason).toEqual('');
        expect(outcome.text).toEqual(EXPECTED);
      }
      expect(exitMs).toBeGreaterThan(0);
      expect(exitMs).toBeLessThan(EXIT_WITHIN_MS);
      const promptTokens = formatModelPrompt(PROMPT).split(' ').length;
      const positions = promptTokens + MAX_TOKENS - 1;
      const stages = 3;
      expect(await positionsRun()).toEqual(positions * stages * STREAMS);
    });
  }
});
