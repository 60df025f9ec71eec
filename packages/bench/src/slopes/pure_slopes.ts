/** Slopes of the pure modules and of frames, measured in this process. */
import {
  FairQueue,
  LoadView,
  PrefixIndex,
  addClaim,
  chooseChain,
  chooseChainSubset,
  electionHash,
  encodeFrame,
  encodeConfigRecord,
  decodeConfigRecord,
  digestOfKey,
  nextConfigRecord,
  parseClaimPage,
  parseOperatorConfig,
  planChains,
  recordOutcome,
  serializeClaimPage,
  workspaceOfKey,
  type Chain,
  type ClaimPage,
  type InstanceId,
  type Plan,
  type QueuedItem,
  type RequestId,
  type WorkspaceId,
} from '@azurecrank/core';
import {
  BENCH_MODELS,
  createFleet,
  fleetLinks,
} from '../figures/generated_fleet.js';
import type {Slope} from './fit.js';
import {cpuSlope, exactSlope, memorySlope} from './measure.js';

const SERVERS = [76, 152, 305, 610];
const WORKSPACES = [1000, 2000, 4000, 8000];
const WAITING = [64, 256, 1024, 4096];
const CLAIMS = [100, 300, 900, 2400];
const HEADS = [12, 24, 48, 96];

function createPlan(servers: number): Plan {
  return planChains(createFleet(1, servers), BENCH_MODELS, fleetLinks);
}

export function planSlopes(): Slope[] {
  const json = (size: number) => JSON.stringify(createPlan(size));
  const registrations = (size: number) => JSON.stringify(createFleet(1, size));
  return [
    exactSlope('plan.bytes', 'servers', 'B', SERVERS, n => json(n).length),
    exactSlope('plan.chains', 'servers', 'chains', SERVERS, n => {
      return createPlan(n).chains.length;
    }),
    exactSlope('registrations.bytes', 'servers', 'B', SERVERS, n => {
      return registrations(n).length;
    }),
    cpuSlope('plan.parse', 'servers', SERVERS, n => {
      const text = json(n);
      return () => JSON.parse(text);
    }),
    memorySlope('plan.memory', 'servers', SERVERS, n => JSON.parse(json(n))),
    cpuSlope('registrations.parse', 'servers', SERVERS, n => {
      const text = registrations(n);
      return () => JSON.parse(text);
    }),
    cpuSlope('plan.compute_first', 'servers', SERVERS, n => {
      const fleet = createFleet(1, n);
      return () => planChains(fleet, BENCH_MODELS, fleetLinks);
    }),
    cpuSlope('plan.compute_unchanged', 'servers', SERVERS, n => {
      const {fleet, plan} = createHeldFleet(n);
      return () => planChains(fleet, BENCH_MODELS, fleetLinks, plan);
    }),
    cpuSlope('plan.compute_zone_lost', 'servers', SERVERS, n => {
      const {fleet, plan} = createHeldFleet(n);
      const left = fleet.filter(s => s.availabilityZone !== 'east-1');
      return () => planChains(left, BENCH_MODELS, fleetLinks, plan);
    }),
    cpuSlope('route.subset', 'chains', HEADS, n => {
      const chains = createChains(n);
      const viewer = {node: 'e', availabilityZone: 'east-1', region: 'east'};
      return () => chooseChainSubset(chains, viewer, () => 'east');
    }),
    cpuSlope('route.choose', 'chains', HEADS, n => createChoice(n)),
  ];
}

/** Servers whose engines hold what the plan gives them. */
function createHeldFleet(servers: number) {
  const plan = createPlan(servers);
  const stages = plan.chains.flatMap(chain =>
    chain.stages.map(stage => [stage.server, {chain, stage}] as const),
  );
  const byServer = new Map(stages);
  const fleet = createFleet(1, servers).map(server => {
    const found = byServer.get(server.server);
    if (!found || !server.engine) return server;
    const {model, modelVersion} = found.chain;
    const {firstLayer, endLayer} = found.stage;
    const range = {model, modelVersion, firstLayer, endLayer};
    return {...server, engine: {...server.engine, ...range}};
  });
  return {fleet, plan};
}

function createChains(count: number): Chain[] {
  const {chains} = createPlan(610);
  return Array.from({length: count}, (_, index) => ({
    ...chains[index % chains.length],
    chain: `chain-${index}` as Chain['chain'],
  }));
}

function createChoice(count: number): () => unknown {
  const chains = createChains(count);
  const load = new LoadView();
  const prefixes = new PrefixIndex();
  const hashes = Array.from({length: 16}, (_, index) => index * 7919);
  const state = {load, prefixes, linkMs: () => 0.25};
  let nowMs = 0;
  return () => {
    nowMs += 10;
    const random = [Math.random(), Math.random()] as const;
    const excluded = new Set<never>();
    return chooseChain(
      {chains, rankIndex: 1, hashes, excluded, nowMs, random},
      state,
    );
  };
}

export function configText(workspaces: number): string {
  const models = BENCH_MODELS.map(
    ({model, layers}) =>
      `[models.${model}]\nversion = "1"\nlayers = ${layers}\n` +
      'bytes_per_layer = 1_000_000\n' +
      `[services.chat_${model}]\nkind = "model"\nmodel = "${model}"\n`,
  );
  const tables = Array.from(
    {length: workspaces},
    (_, index) =>
      `[workspaces.workspace_${index}]\nweight = ${(index % 9) + 1}\n` +
      `api_key_sha256 = ["${digestOfKey(`key-${index}`)}"]\n` +
      `services = ["chat_${BENCH_MODELS[index % 4].model}"]\n`,
  );
  return ['revision = 0\n', ...models, ...tables].join('');
}

function parseConfig(workspaces: number) {
  const parsed = parseOperatorConfig(configText(workspaces), 'file');
  if (parsed.kind !== 'valid') throw new Error('the text is not valid');
  return parsed.config;
}

function configRecord(workspaces: number): string {
  const apply = {applyId: 'a', author: 'slopes', atMs: 0};
  const text = configText(workspaces);
  return encodeConfigRecord(nextConfigRecord(undefined, text, apply));
}

export function configSlopes(): Slope[] {
  return [
    exactSlope('config.record_bytes', 'workspaces', 'B', WORKSPACES, n => {
      return configRecord(n).length;
    }),
    cpuSlope('config.parse', 'workspaces', WORKSPACES, n => {
      const text = configText(n);
      return () => parseOperatorConfig(text, 'file');
    }),
    cpuSlope('config.decode', 'workspaces', WORKSPACES, n => {
      const record = configRecord(n);
      return () => decodeConfigRecord(record);
    }),
    memorySlope('config.memory', 'workspaces', WORKSPACES, parseConfig),
    cpuSlope('config.find_key', 'workspaces', WORKSPACES, n => {
      const config = parseConfig(n);
      return () => workspaceOfKey(config, `key-${n >> 1}`);
    }),
  ];
}

function createItem(index: number, workspaces: number): QueuedItem {
  return {
    request: `r${index}` as RequestId,
    workspace: `w${index % workspaces}` as WorkspaceId,
    weight: 1,
    rank: 'ordinary',
    costTokens: 500,
    deadlineAtMs: 1e9,
    firstTokenDeadlineAtMs: 1e9,
    enqueuedAtMs: index,
  };
}

function fillQueue(waiting: number, workspaces: number) {
  const queue = new FairQueue({maxItems: 1e6, maxPerWorkspace: 1e6});
  for (let index = 0; index < waiting; index++) {
    queue.enqueue(createItem(index, workspaces));
  }
  return queue;
}

/** One request in, one out and settled, at a constant length. */
function queueTurn(waiting: number, workspaces: number): () => void {
  const queue = fillQueue(waiting, workspaces);
  let index = waiting;
  return () => {
    queue.enqueue(createItem(index, workspaces));
    const item = queue.next(index++);
    if (item) queue.settleCost(item, 500);
  };
}

export function queueSlopes(): Slope[] {
  return [
    cpuSlope('queue.turn', 'waiting', WAITING, n => queueTurn(n, 40)),
    cpuSlope('queue.turn_many', 'workspaces', WAITING, n => queueTurn(n, n)),
    memorySlope('queue.memory', 'waiting', WAITING, n => fillQueue(n, 40)),
  ];
}

function fillPage(claims: number): ClaimPage {
  let page: ClaimPage = new Map();
  for (let index = 0; index < claims; index++) {
    page = withClaim(page, `k${index}`, true);
  }
  return page;
}

function withClaim(page: ClaimPage, key: string, isDone: boolean): ClaimPage {
  const nonce = `nonce-${key}`;
  const claim = {
    nonce,
    fingerprint: digestOfKey(key),
    holder: 'holder-0123456789' as InstanceId,
    deadlineMs: 5000,
    expiresMs: 1e12,
  };
  const added = addClaim(page, digestOfKey(key), claim, 0, 2000).page;
  if (!isDone) return added;
  const outcome = {status: 200, body: Buffer.alloc(100, 'x'), headers: {}};
  const record = {nonce, expiresMs: 1e12, outcome};
  return recordOutcome(added, digestOfKey(key), record).page;
}

export function claimSlopes(): Slope[] {
  return [
    exactSlope('claim.page_bytes', 'claims', 'B', CLAIMS, n => {
      return serializeClaimPage(fillPage(n)).length;
    }),
    cpuSlope('claim.write_page', 'claims', CLAIMS, n => {
      const page = fillPage(n);
      serializeClaimPage(page);
      return () => serializeClaimPage(withClaim(page, 'new', false));
    }),
    cpuSlope('claim.read_page', 'claims', CLAIMS, n => {
      const text = serializeClaimPage(fillPage(n));
      return () => parseClaimPage(text);
    }),
  ];
}

export function electionSlope(): Slope {
  return cpuSlope('election.check', 'links', HEADS, n => {
    const names = Array.from({length: n}, (_, index) => `entry-${index}`);
    return () => names.filter(name => electionHash(name) < '8').length;
  });
}

/** Frames of a step and an activation through chains of growing length. */
export function frameSlopes(): Slope[] {
  const sizes = [2, 4, 8, 12];
  const chain = (stages: number): Chain => {
    const [first] = createPlan(610).chains;
    const stage = {...first.stages[0]};
    return {...first, stages: Array.from({length: stages}, () => stage)};
  };
  const step = (stages: number) =>
    ({
      type: 'step',
      request: 'a'.repeat(40) as RequestId,
      attempt: 1 as never,
      cacheSince: 1 as never,
      position: 1000,
      rank: 'ordinary',
      entry: '10.0.0.1:40000' as never,
      chain: chain(stages),
      stage: 0,
      tokens: [12345],
    }) as const;
  return [
    exactSlope('frame.step_bytes', 'stages', 'B', sizes, n => {
      return encodeFrame(step(n)).length;
    }),
    cpuSlope('frame.step_encode', 'stages', sizes, n => {
      const message = step(n);
      return () => encodeFrame(message);
    }),
  ];
}
