/** Urgent first tokens under overnight overload, with real processes. */
import type {Bench, BenchOptions, BenchOutcome} from '../framework/bench.js';
import {percentile} from '../framework/percentile.js';
import {startChains} from '../fleet/chains.js';
import {Fleet} from '../fleet/fleet.js';
import {
  runArrivals,
  sendCheckedChat,
  sleep,
  type CheckedChatResult,
} from '../fleet/model_load.js';
import {writeOperatorFile} from '../fleet/operator_file.js';

const MODEL = 'bench_13b';
const LAYERS = 12;
const URGENT = 'storm_quotes';
const OVERNIGHT = 'night_write_ups';
const SLOTS = 8;
const STAGES = 2;
const MAX_TOKENS = 20;
const URGENT_PER_S = 8;
/** Two chains of 8 slots serve about 40 answers of 0.4 s per second. */
const FLOOD_PER_S = 200;
const WARM_UP_MS = 4000;
const MEASURED_MS = 8000;
const FLOOD_LEAD_MS = 2000;
const TARGET = 1.2;
const STATUS_OK = 200;

async function prepare(fleet: Fleet) {
  await fleet.startKeyValue();
  await fleet.applyConfig(
    writeOperatorFile({
      model: MODEL,
      layers: LAYERS,
      modelServices: {[URGENT]: 'urgent', [OVERNIGHT]: 'overnight'},
      workspaces: {newspaper: 1, courthouse: 1},
    }),
  );
  await startChains(fleet, {
    chains: {a: 'zone-a', b: 'zone-a'},
    stages: STAGES,
    model: MODEL,
    modelLayers: LAYERS,
    layerMs: 1.5,
    prefillLayerMs: 0.02,
    maxSequences: SLOTS,
  });
  return fleet.startEntry('entry-1');
}

function sendTo(url: string, service: string, workspace: string) {
  return (index: number): Promise<CheckedChatResult> =>
    sendCheckedChat({
      url,
      workspace,
      service,
      prompt: `question ${index} to ${service} about a long list of parts`,
      maxTokens: MAX_TOKENS,
      layers: LAYERS,
    });
}

function p95Ms(answers: readonly CheckedChatResult[]): number {
  // A request that was refused has no first token.
  const times = answers.map(({firstTokenMs, status}) =>
    status === STATUS_OK ? firstTokenMs : Infinity,
  );
  return percentile(times, 95);
}

interface Flood {
  readonly service: string;
  readonly workspace: string;
}

async function measure(
  {seed, log}: BenchOptions,
  label: string,
  flood: Flood,
): Promise<{aloneMs: number; floodedMs: number; served: number}> {
  using fleet = new Fleet();
  const {httpUrl} = await prepare(fleet);
  const load = {seed, ratePerS: URGENT_PER_S, durationMs: MEASURED_MS};
  const urgent = sendTo(httpUrl, URGENT, 'newspaper');
  // Compilation of the processes' code would count as their normal speed.
  await runArrivals({...load, seed: seed + 2, durationMs: WARM_UP_MS}, urgent);
  const alone = await runArrivals(load, urgent);
  const flooding = runArrivals(
    {
      seed: seed + 1,
      ratePerS: FLOOD_PER_S,
      durationMs: FLOOD_LEAD_MS + MEASURED_MS,
    },
    sendTo(httpUrl, flood.service, flood.workspace),
  );
  await sleep(FLOOD_LEAD_MS);
  const flooded = await runArrivals(load, urgent);
  const answers = await flooding;
  const served = answers.filter(({isCorrect}) => isCorrect).length;
  const wrong = flooded.filter(({isCorrect: isRight}) => !isRight).length;
  const [aloneMs, floodedMs] = [p95Ms(alone), p95Ms(flooded)];
  log(
    `${label}: urgent first token p50 ` +
      `${percentile(
        alone.map(a => a.firstTokenMs),
        50,
      ).toFixed(0)} ms alone, ` +
      `${percentile(
        flooded.map(a => a.firstTokenMs),
        50,
      ).toFixed(0)} under the flood; ` +
      `p95 ${aloneMs.toFixed(0)} ms alone, ${floodedMs.toFixed(0)} under it; ` +
      `${wrong} of ${flooded.length} urgent not answered; flood ` +
      `${served} of ${answers.length} answered`,
  );
  return {aloneMs, floodedMs, served};
}

async function run(options: BenchOptions): Promise<BenchOutcome> {
  const overnight = {service: OVERNIGHT, workspace: 'courthouse'};
  const ours = await measure(options, 'ranks', overnight);
  // The same rank and workspace make the queue first in, first out.
  const same = {service: URGENT, workspace: 'newspaper'};
  const baseline = await measure(options, 'one queue', same);
  const ratio = ours.floodedMs / ours.aloneMs;
  return {
    ours: ratio,
    baseline: baseline.floodedMs / baseline.aloneMs,
    target: 'urgent first token p95 <= 1.2x alone; overnight makes progress',
    met: ratio <= TARGET && ours.served > 0,
  };
}

export const bench: Bench = {
  name: 'flood-processes',
  description: 'urgent first token under overnight overload, real processes',
  run,
};
