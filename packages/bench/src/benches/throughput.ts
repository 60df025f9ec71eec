/** Saturated chains over unequal stand-in engines, with real processes. */
import {
  HttpKeyValueService,
  PLAN_KEY,
  planEqualSplit,
  maxThroughput,
  toId,
  type Plan,
  type PeerAddress,
  type PlacementModel,
  type ServerId,
  type ServerRegistration,
} from '@azurecrank/core';
import {request} from 'undici';
import type {Bench, BenchOptions, BenchOutcome} from '../framework/bench.js';
import {Fleet, type ModelServer, type RunningProcess} from '../fleet/fleet.js';
import {sendCheckedChat, sleep} from '../fleet/model_load.js';
import {readMetrics, sumOfSeries} from '../fleet/process_metrics.js';
import {writeOperatorFile} from '../fleet/operator_file.js';

const MODEL = 'bench_70b';
const LAYERS = 48;
const SERVICE = 'bench_assistant';
const WORKSPACES = 4;
/** As `bytes_per_layer` in the operators' file. */
const LAYER_BYTES = 100_000_000;
const SERVERS_PER_KIND = 3;

/** Slow enough for the machine that all processes of the bench share. */
const KINDS = [
  {accelerator: 'a', layerMs: 8, memoryBytes: 40 * LAYER_BYTES},
  {accelerator: 'b', layerMs: 12, memoryBytes: 40 * LAYER_BYTES},
  {accelerator: 'c', layerMs: 20, memoryBytes: 28 * LAYER_BYTES},
  {accelerator: 'd', layerMs: 32, memoryBytes: 20 * LAYER_BYTES},
] as const;

/** Largest batch that a side gives to its engine. */
const BATCH_STEPS = 64;
const SLOTS = 256;
/** More than the slots of all chains of either plan. */
const STREAMS = 1400;
const ENTRIES = 2;
const MAX_TOKENS = 40;
const WARM_UP_MS = 6000;
const MEASURED_MS = 10_000;
const TARGET = 0.9;

const SIDE_SETTINGS = {
  max_queued_requests: 2000,
  max_queued_per_workspace: 1000,
  log_level: 'warn',
};

const ENGINE_FACTS = {
  prefillLayerMs: 0.001,
  maxSequences: SLOTS,
  checksFence: true,
};

function registrations(): ServerRegistration[] {
  return Array.from({length: SERVERS_PER_KIND * KINDS.length}, (_, index) => ({
    server: toId<ServerId>(`server-${String(index).padStart(2, '0')}`),
    epoch: 1,
    instance: `run-${index}`,
    host: `host-${index}`,
    address: `127.0.0.1:${10_000 + index}` as PeerAddress,
    availabilityZone: 'zone-a',
    region: 'default',
    state: 'live',
    engine: {
      ...KINDS[index % KINDS.length],
      ...ENGINE_FACTS,
      model: toId(MODEL),
      modelVersion: '1',
      firstLayer: 0,
      endLayer: 0,
    },
  }));
}

const PLACEMENT_MODEL: PlacementModel = {
  model: toId(MODEL),
  modelVersion: '1',
  layers: LAYERS,
  layerBytes: LAYER_BYTES,
  tokenShare: 1,
};

async function startServers(fleet: Fleet): Promise<ModelServer[]> {
  const starts = registrations().map(({server}, index) =>
    fleet.startModelServer({
      ...KINDS[index % KINDS.length],
      ...ENGINE_FACTS,
      server,
      model: MODEL,
      modelLayers: LAYERS,
      firstLayer: 0,
      endLayer: 0,
      batchOverheadMs: 0,
      settings: SIDE_SETTINGS,
    }),
  );
  return Promise.all(starts);
}

/** Entries keep the chains of a plan that exists already. */
async function writeEqualPlan(
  keyValueUrl: string,
  servers: readonly ModelServer[],
): Promise<void> {
  const plan = planEqualSplit(registrations(), [PLACEMENT_MODEL]);
  const addresses = new Map(servers.map(s => [s.server, s.peerAddress]));
  const chains = plan.chains.map(chain => ({
    ...chain,
    stages: chain.stages.map(stage => ({
      ...stage,
      address: addresses.get(stage.server) as PeerAddress,
    })),
  }));
  using keyValue = new HttpKeyValueService(keyValueUrl);
  const value = JSON.stringify({...plan, chains});
  await keyValue.compareAndSwap(PLAN_KEY, value, 0);
}

/** Lists the layers of each chain's servers and the sequences at its head. */
async function describeChains(
  keyValueUrl: string,
  servers: readonly ModelServer[],
): Promise<string> {
  using keyValue = new HttpKeyValueService(keyValueUrl);
  const entry = await keyValue.get(PLAN_KEY);
  const plan = JSON.parse(entry?.value ?? '{"chains": []}') as Plan;
  const chains = plan.chains.map(async ({stages}) => {
    const head = servers.find(({server}) => server === stages[0].server)!;
    const metrics = await readMetrics(head.httpUrl);
    const layers = stages.map(({server, firstLayer, endLayer}) => {
      const kind = KINDS[Number(server.slice(-2)) % KINDS.length];
      return `${endLayer - firstLayer}${kind.accelerator}`;
    });
    const running = sumOfSeries(metrics, 'azurecrank_sequences');
    return `${layers.join('+')} (${running} running)`;
  });
  return (await Promise.all(chains)).join(', ');
}

async function engineBusyMs(servers: readonly ModelServer[]) {
  return Promise.all(
    servers.map(async ({engine}) => {
      const response = await request(`${engine.url}/busy`);
      const {busyMs} = (await response.body.json()) as {busyMs: number};
      return busyMs;
    }),
  );
}

/** Keeps more streams open than all chains have slots. */
class Saturation {
  tokens = 0;
  wrong = 0;
  private isOver = false;
  private readonly reasons = new Map<string, number>();

  constructor(private readonly entries: readonly RunningProcess[]) {}

  start(): void {
    for (let worker = 0; worker < STREAMS; worker++) {
      void this.work(worker);
    }
  }

  stop(): void {
    this.isOver = true;
  }

  refusals(): string {
    const list = [...this.reasons].map(([reason, n]) => `${n} ${reason}`);
    return list.join(', ') || 'none';
  }

  private async work(worker: number): Promise<void> {
    for (let round = 0; !this.isOver; round++) {
      const answer = await sendCheckedChat({
        url: this.entries[worker % ENTRIES].httpUrl,
        workspace: `crew_${worker % WORKSPACES}`,
        service: SERVICE,
        prompt: `question ${round} of worker ${worker}`,
        maxTokens: MAX_TOKENS,
        layers: LAYERS,
        onToken: () => this.tokens++,
      });
      if (this.isOver) return;
      if (answer.isComplete && !answer.isCorrect) this.wrong++;
      if (answer.isCorrect) continue;
      const {reason} = answer;
      this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1);
      await sleep(100);
    }
  }
}

async function measure(
  {log}: BenchOptions,
  label: string,
  isEqual: boolean,
): Promise<number> {
  using fleet = new Fleet();
  await fleet.startKeyValue();
  const names = Array.from({length: WORKSPACES}, (_, i) => `crew_${i}`);
  await fleet.applyConfig(
    writeOperatorFile({
      model: MODEL,
      layers: LAYERS,
      modelServices: {[SERVICE]: 'ordinary'},
      workspaces: Object.fromEntries(names.map(name => [name, 1])),
      deadlineMs: 120_000,
    }),
  );
  const servers = await startServers(fleet);
  if (isEqual) await writeEqualPlan(fleet.keyValueServiceUrl, servers);
  const entries = await Promise.all(
    Array.from({length: ENTRIES}, (_, index) =>
      fleet.startEntry(`entry-${index}`, {log_level: 'warn'}),
    ),
  );
  // The sides order their engines to load the planned layers.
  await sleep(3000);
  const load = new Saturation(entries);
  load.start();
  await sleep(WARM_UP_MS);
  const before = {tokens: load.tokens, busyMs: await engineBusyMs(servers)};
  const startMs = performance.now();
  await sleep(MEASURED_MS);
  const elapsedMs = performance.now() - startMs;
  const tokensPerS = ((load.tokens - before.tokens) * 1000) / elapsedMs;
  const busyMs = await engineBusyMs(servers);
  const chains = await describeChains(fleet.keyValueServiceUrl, servers);
  load.stop();
  const busy = busyMs.map((ms, i) => (ms - before.busyMs[i]) / elapsedMs);
  log(`${label}: layers and kinds of the chains: ${chains}`);
  log(
    `${label}: ${tokensPerS.toFixed(0)} tokens/s; engines busy ` +
      `${busy.map(part => part.toFixed(2)).join(' ')}; refused: ` +
      `${load.refusals()}; wrong answers ${load.wrong}`,
  );
  return tokensPerS;
}

async function run(options: BenchOptions): Promise<BenchOutcome> {
  const bound = maxThroughput(registrations(), LAYERS, BATCH_STEPS);
  options.log(`bound: ${bound.toFixed(0)} tokens/s`);
  const ours = (await measure(options, 'planned', false)) / bound;
  const equal = await measure(options, 'equal split', true);
  return {
    ours,
    baseline: equal / bound,
    target: 'tokens/s >= 0.90 of the bound',
    met: ours >= TARGET,
  };
}

export const bench: Bench = {
  name: 'throughput',
  description: 'tokens/s of saturated processes as part of the bound',
  run,
};
