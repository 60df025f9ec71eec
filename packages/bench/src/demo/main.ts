/**
 * The main job on built-in stand-ins: two entries, two chains of three stages,
 * one plain service, requests of three ranks, a configuration change and a
 * killed stage. Exits with 0 only if every answer was whole and its caller's.
 */
import {referenceAnswer} from '@azurecrank/standins';
import type {Rank} from '@azurecrank/core';
import {callService} from '../fleet/call_client.js';
import {promptLine, streamChat} from '../fleet/chat_client.js';
import {Fleet, type ModelServer, type RunningProcess} from '../fleet/fleet.js';
import {writeOperatorFile} from '../fleet/operator_file.js';
import {ResultTable} from './result_table.js';

const MODEL = 'workshop_13b';
const LAYERS = 12;
const PLAIN_SERVICE = 'booking_desk';
const STAGE_STARTS = [0, 4, 8] as const;
const CHAINS = ['a', 'b'] as const;
const ENTRIES = 2;
const MAX_TOKENS = 40;
const CHATS_PER_WORKSPACE = 6;
const BOOKINGS = 10;

const SERVICES: Readonly<Record<string, Rank>> = {
  storm_quotes: 'urgent',
  bench_assistant: 'ordinary',
  night_write_ups: 'overnight',
};

const WORKSPACES = {newspaper: 1, courthouse: 2, walk_in: 1};

const ADDED_WORKSPACE = 'cherry_growers';

/** Time after the first request at which a stage is killed. */
const KILL_AFTER_MS = 400;

function writeConfig(revision: number, workspaces: Record<string, number>) {
  return writeOperatorFile({
    revision,
    model: MODEL,
    layers: LAYERS,
    modelServices: SERVICES,
    workspaces,
    plainServices: [PLAIN_SERVICE],
  });
}

async function startServers(fleet: Fleet): Promise<ModelServer[]> {
  const servers = CHAINS.flatMap(chain =>
    STAGE_STARTS.map(firstLayer =>
      fleet.startModelServer({
        server: `${chain}-${firstLayer}`,
        model: MODEL,
        modelLayers: LAYERS,
        firstLayer,
        endLayer: firstLayer + 4,
      }),
    ),
  );
  return Promise.all(servers);
}

async function startPlainService(fleet: Fleet): Promise<string> {
  const {url} = await fleet.startStandin('service', {});
  await fleet.startSide('desk-1', {
    service: PLAIN_SERVICE,
    service_url: url,
  });
  return url;
}

async function chat(
  entry: RunningProcess,
  workspace: string,
  service: string,
  index: number,
  table: ResultTable,
): Promise<void> {
  const prompt = `request ${index} of ${workspace} to ${service}`;
  const outcome = await streamChat({
    url: entry.httpUrl,
    bearerKey: workspace,
    service,
    prompt,
    maxTokens: MAX_TOKENS,
  });
  const expected = referenceAnswer(promptLine(prompt), MAX_TOKENS, LAYERS);
  const isOwn = outcome.isWhole && outcome.text === expected;
  table.add({
    workspace,
    rank: SERVICES[service],
    isWhole: isOwn,
    isWrong: outcome.isWhole && !isOwn,
    firstTokenMs: outcome.firstTokenMs,
    reason: outcome.reason,
  });
}

async function book(
  entries: readonly RunningProcess[],
  index: number,
  table: ResultTable,
): Promise<void> {
  const startMs = performance.now();
  const reference = `booking-${index}`;
  const call = (entry: RunningProcess) =>
    callService({
      url: entry.httpUrl,
      bearerKey: 'walk_in',
      service: PLAIN_SERVICE,
      method: 'POST',
      path: '/bookings',
      body: JSON.stringify({reference}),
      idempotencyKey: reference,
      reference,
    });
  const first = await call(entries[index % ENTRIES]);
  // The same key again, at the other entry: the recorded answer comes back.
  const again = await call(entries[(index + 1) % ENTRIES]);
  table.add({
    workspace: 'walk_in',
    rank: 'ordinary',
    isWhole: first.status === 200 && again.status === 200 && again.isReplayed,
    isWrong: false,
    firstTokenMs: performance.now() - startMs,
    reason: first.reason || again.reason,
  });
}

async function countDoubleBookings(serviceUrl: string): Promise<number> {
  const response = await fetch(`${serviceUrl}/effects`);
  const effects = (await response.json()) as Record<string, number>;
  const counts = Array.from(
    {length: BOOKINGS},
    (_, index) => effects[`booking-${index}`] ?? 0,
  );
  return counts.filter(count => count !== 1).length;
}

async function waitForWorkspace(entry: RunningProcess): Promise<number> {
  const startMs = performance.now();
  for (;;) {
    const response = await fetch(`${entry.httpUrl}/v1/models`, {
      headers: {authorization: `Bearer ${ADDED_WORKSPACE}`},
    });
    if (response.ok) return performance.now() - startMs;
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

async function run(): Promise<boolean> {
  const fleet = new Fleet();
  const table = new ResultTable();
  try {
    await fleet.startKeyValue();
    const hosts = await fleet.startStandin('hosts', {});
    await fleet.applyConfig(writeConfig(0, WORKSPACES), 'demo');
    const [servers, serviceUrl] = await Promise.all([
      startServers(fleet),
      startPlainService(fleet),
    ]);
    const entries = await Promise.all(
      Array.from({length: ENTRIES}, (_, index) =>
        fleet.startEntry(`entry-${index}`, {host_list_url: hosts.url}),
      ),
    );
    console.log('stand-ins, two entries and seven side processes are running');
    const work = Object.keys(WORKSPACES).flatMap(workspace =>
      Object.keys(SERVICES).flatMap(service =>
        Array.from({length: CHATS_PER_WORKSPACE}, (_, index) =>
          chat(entries[index % ENTRIES], workspace, service, index, table),
        ),
      ),
    );
    const bookings = Array.from({length: BOOKINGS}, (_, index) =>
      book(entries, index, table),
    );
    await new Promise(resolve => setTimeout(resolve, KILL_AFTER_MS));
    servers[1].program.kill('SIGKILL');
    console.log(`killed the side process of server ${servers[1].server}`);
    const all = {...WORKSPACES, [ADDED_WORKSPACE]: 1};
    const applied = await fleet.applyConfig(writeConfig(1, all), 'demo');
    const delaysMs = await Promise.all(entries.map(waitForWorkspace));
    const slowestMs = Math.round(Math.max(...delaysMs));
    console.log(`configuration ${applied.kind}, everywhere in ${slowestMs} ms`);
    const added = Object.keys(SERVICES).map(service =>
      chat(entries[0], ADDED_WORKSPACE, service, 0, table),
    );
    await Promise.all([...work, ...bookings, ...added]);
    const wrongBookings = await countDoubleBookings(serviceUrl);
    console.log(table.render());
    console.log(`bookings that took effect not exactly once: ${wrongBookings}`);
    return table.isAllWhole && wrongBookings === 0;
  } finally {
    fleet[Symbol.dispose]();
  }
}

const isGood = await run();
console.log(isGood ? 'every answer was whole' : 'some answers were not whole');
process.exit(isGood ? 0 : 1);
