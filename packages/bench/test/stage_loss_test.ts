import {afterEach, beforeEach, describe, it} from 'node:test';
import {referenceAnswer} from '@azurecrank/standins';
import {expect} from 'earl';
import {
  Fleet,
  formatModelPrompt,
  streamChat,
  writeOperatorFile,
} from '../src/index.js';
import type {ChatResult, RunningProcess} from '../src/index.js';

const MODEL = 'bench-13b';
const LAYERS = 12;
const SERVICE = 'bench_assistant';
const CONFIG = writeOperatorFile({
  model: MODEL,
  layers: LAYERS,
  modelServices: {[SERVICE]: 'urgent'},
  workspaces: {walk_in: 1},
});
const MAX_TOKENS = 60;
const PROMPT = 'list the parts for a leaf shutter service';
const EXPECTED = referenceAnswer(formatModelPrompt(PROMPT), MAX_TOKENS, LAYERS);
const CONCURRENT_STREAMS = 6;

/** Default of `suspect_after_ms` plus `probe_timeout_ms`. */
const DETECTION_MS = 900;

/** Time allowed beyond detection until tokens flow again. */
const RECOVERY_MS = 1000;

/** Tokens that each stream has received when the fault is brought about. */
const TOKENS_BEFORE_FAULT = 10;

type ForwardedServer = Awaited<ReturnType<Fleet['startForwardedServer']>>;

type Fault = (servers: readonly ForwardedServer[]) => void;

describe('loss of a stage in the middle of streams', () => {
  let fleet: Fleet;
  let servers: ForwardedServer[];
  let entry: RunningProcess;

  beforeEach(async () => {
    fleet = new Fleet();
    await fleet.startKeyValue();
    await fleet.applyConfig(CONFIG);
    servers = await Promise.all(
      ['a', 'b'].flatMap(chain =>
        [0, 4, 8].map(firstLayer =>
          fleet.startForwardedServer({
            server: `${chain}-${firstLayer}`,
            model: MODEL,
            modelLayers: LAYERS,
            firstLayer,
            endLayer: firstLayer + 4,
          }),
        ),
      ),
    );
    entry = await fleet.startEntry('entry-1');
  });
  afterEach(() => fleet[Symbol.dispose]());

  function streamAll(fault: Fault): Promise<ChatResult[]> {
    let running = 0;
    return Promise.all(
      Array.from({length: CONCURRENT_STREAMS}, () => {
        let tokens = 0;
        return streamChat({
          url: entry.httpUrl,
          bearerKey: 'walk_in',
          service: SERVICE,
          prompt: PROMPT,
          maxTokens: MAX_TOKENS,
          onToken: () => {
            if (++tokens !== TOKENS_BEFORE_FAULT) return;
            if (++running === CONCURRENT_STREAMS) fault(servers);
          },
        });
      }),
    );
  }

  function expectWhole(outcomes: readonly ChatResult[]): void {
    for (const outcome of outcomes) {
      expect(outcome.reason).toEqual('');
      expect(outcome.isComplete).toEqual(true);
      expect(outcome.text).toEqual(EXPECTED);
    }
  }

  describe('killed side process', () => {
    for (const stage of [0, 1, 2]) {
      it(`goes on from the last token when stage ${stage} dies`, async () => {
        const outcomes = await streamAll(all =>
          all[stage].program.kill('SIGKILL'),
        );
        expectWhole(outcomes);
      });
    }
  });

  describe('frozen side process', () => {
    for (const stage of [0, 1, 2]) {
      it(`replaces stage ${stage} within the detection time`, async () => {
        const outcomes = await streamAll(all =>
          all[stage].program.kill('SIGSTOP'),
        );
        expectWhole(outcomes);
        expectNoGapAbove(outcomes, DETECTION_MS + RECOVERY_MS);
      });
    }

    it('ignores a stage that thaws after it was replaced', async () => {
      const outcomes = await streamAll(all => {
        all[1].program.kill('SIGSTOP');
        setTimeout(() => all[1].program.kill('SIGCONT'), 1500);
      });
      expectWhole(outcomes);
    });
  });

  describe('connection that goes silent while new ones work', () => {
    for (const stage of [0, 1, 2]) {
      it(`goes on over a new connection to stage ${stage}`, async () => {
        const outcomes = await streamAll(all =>
          all[stage].forwarder.stallOpenConnections(),
        );
        expectWhole(outcomes);
        expectNoGapAbove(outcomes, DETECTION_MS + RECOVERY_MS);
      });
    }
  });
});

/** Largest time between tokens of any stream. */
function expectNoGapAbove(
  outcomes: readonly ChatResult[],
  limitMs: number,
): void {
  const gapsMs = outcomes.flatMap(({tokenTimesMs}) =>
    tokenTimesMs.slice(1).map((timeMs, index) => timeMs - tokenTimesMs[index]),
  );
  expect(Math.max(...gapsMs)).toBeLessThan(limitMs);
}
