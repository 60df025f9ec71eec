/** Time and processor time that the system adds per request and per token. */
import {HttpEngine, toId, type RequestId} from '@azurecrank/core';
import type {Bench, BenchOptions, BenchOutcome} from '../framework/bench.js';
import {percentile} from '../framework/percentile.js';
import {startChains, type ChainServer} from '../fleet/chains.js';
import {Fleet} from '../fleet/fleet.js';
import {sendCheckedChat} from '../fleet/model_load.js';
import {writeOperatorFile} from '../fleet/operator_file.js';
import {readCpuTimeMs} from '../fleet/process_metrics.js';

const MODEL = 'bench_13b';
const LAYERS = 12;
const SERVICE = 'bench_assistant';
const PROMPT = 'list the parts for a leaf shutter service';
const REQUESTS = 30;
const WARM_UP_REQUESTS = 5;
const MAX_TOKENS = 50;

interface Sample {
  readonly firstTokenMs: number;
  /** Times between tokens. */
  readonly betweenMs: readonly number[];
}

interface Timing {
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  readonly tokenP50Ms: number;
  readonly tokenP99Ms: number;
  /** Processor time per token of the entry and of each side. */
  readonly entryMs: number;
  readonly sideMs: number;
}

function toSample(timesMs: readonly number[]): Sample {
  const betweenMs = timesMs.slice(1).map((ms, index) => ms - timesMs[index]);
  return {firstTokenMs: timesMs[0], betweenMs};
}

/** What the same engines take when a client calls them one after another. */
async function runDirect(
  engines: readonly HttpEngine[],
  index: number,
): Promise<Sample> {
  const startMs = performance.now();
  const sequence = toId<RequestId>(`direct-${index}`);
  const timesMs: number[] = [];
  let tokens = await engines[0].tokenize(`user: ${PROMPT}`);
  let position = 0;
  while (timesMs.length < MAX_TOKENS) {
    let data: Uint8Array | undefined;
    let token = 0;
    for (const engine of engines) {
      const count = tokens.length;
      const input = data ? {data} : {tokens};
      const step = {sequence, position, count, priority: 0, ...input};
      const [output] = await engine.run([step]);
      if (output.kind === 'failed') throw new Error(output.cause);
      if (output.kind === 'activation') data = output.data;
      else token = output.token;
    }
    timesMs.push(performance.now() - startMs);
    position += tokens.length;
    tokens = [token];
  }
  for (const engine of engines) await engine.release([sequence]);
  return toSample(timesMs);
}

async function runAll(run: (index: number) => Promise<Sample>) {
  const samples: Sample[] = [];
  for (let index = 0; index < WARM_UP_REQUESTS; index++) await run(index);
  for (let index = 0; index < REQUESTS; index++) {
    samples.push(await run(WARM_UP_REQUESTS + index));
  }
  const first = samples.map(({firstTokenMs}) => firstTokenMs);
  const between = samples.flatMap(({betweenMs}) => betweenMs);
  return {
    firstP50Ms: percentile(first, 50),
    firstP99Ms: percentile(first, 99),
    tokenP50Ms: percentile(between, 50),
    tokenP99Ms: percentile(between, 99),
  };
}

async function measureChain(
  stages: number,
): Promise<{ours: Timing; direct: Omit<Timing, 'entryMs' | 'sideMs'>}> {
  using fleet = new Fleet();
  await fleet.startKeyValue();
  await fleet.applyConfig(
    writeOperatorFile({
      model: MODEL,
      layers: LAYERS,
      modelServices: {[SERVICE]: 'urgent'},
      workspaces: {walk_in: 1},
    }),
  );
  const servers: ChainServer[] = await startChains(fleet, {
    chains: {a: 'zone-a'},
    stages,
    model: MODEL,
    modelLayers: LAYERS,
    layerMs: 0,
    prefillLayerMs: 0,
    batchOverheadMs: 0,
  });
  const entry = await fleet.startEntry('entry-1');
  const engines = servers.map(({engine}) => new HttpEngine(engine.url));
  const direct = await runAll(index => runDirect(engines, index));
  for (const engine of engines) engine[Symbol.dispose]();
  const pids = [entry, ...servers].map(({program}) => program.pid);
  const before = pids.map(readCpuTimeMs);
  const timing = await runAll(async () => {
    const answer = await sendCheckedChat({
      url: entry.httpUrl,
      workspace: 'walk_in',
      service: SERVICE,
      prompt: PROMPT,
      maxTokens: MAX_TOKENS,
      layers: LAYERS,
    });
    if (!answer.isCorrect) throw new Error(`wrong answer: ${answer.reason}`);
    return toSample(answer.tokenTimesMs);
  });
  const tokens = (REQUESTS + WARM_UP_REQUESTS) * MAX_TOKENS;
  const [entryMs, ...sidesMs] = pids.map(
    (pid, index) => (readCpuTimeMs(pid) - before[index]) / tokens,
  );
  const sideMs = sidesMs.reduce((sum, ms) => sum + ms, 0) / stages;
  return {ours: {...timing, entryMs, sideMs}, direct};
}

async function run({log}: BenchOptions): Promise<BenchOutcome> {
  const one = await measureChain(1);
  const three = await measureChain(3);
  for (const [stages, {ours, direct}] of [
    [1, one],
    [3, three],
  ] as const) {
    log(
      `${stages} stage(s): token p50 ${ours.tokenP50Ms.toFixed(2)} ms, p99 ` +
        `${ours.tokenP99Ms.toFixed(2)}; direct ` +
        `${direct.tokenP50Ms.toFixed(2)}, ${direct.tokenP99Ms.toFixed(2)}; ` +
        `first token p50 ${ours.firstP50Ms.toFixed(2)}, p99 ` +
        `${ours.firstP99Ms.toFixed(2)}; direct ` +
        `${direct.firstP50Ms.toFixed(2)}, ${direct.firstP99Ms.toFixed(2)}`,
    );
    log(
      `${stages} stage(s): processor time per token ` +
        `${ours.entryMs.toFixed(3)} ms entry, ${ours.sideMs.toFixed(3)} ms ` +
        'each side',
    );
  }
  const added = (percent: 'tokenP50Ms' | 'tokenP99Ms') => {
    const ends = one.ours[percent] - one.direct[percent];
    const all = three.ours[percent] - three.direct[percent];
    return `entry to stage and back ${ends.toFixed(2)} ms, between two stages ${((all - ends) / 2).toFixed(2)} ms`;
  };
  log(`added per token, p50: ${added('tokenP50Ms')}`);
  log(`added per token, p99 (differences of p99): ${added('tokenP99Ms')}`);
  return {
    ours: three.ours.tokenP50Ms,
    baseline: three.direct.tokenP50Ms,
    target: 'no number in section 12; token time p50 in ms, three stages',
    met: null,
  };
}

export const bench: Bench = {
  name: 'overhead',
  description: 'time between tokens in ms with engines without step time',
  run,
};
