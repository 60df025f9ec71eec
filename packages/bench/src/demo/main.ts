/**
 * Demo of the main use on built-in stand-ins: two entries, two chains of three
 * servers and one plain service take requests of three ranks while the
 * configuration changes and a side process is killed. Exits with 0 only if every
 * answer was complete and correct and each booking took effect exactly once.
 */
import {referenceAnswer} from '@azurecrank/standins';
import type {Rank} from '@azurecrank/core';
import {sendPlainCall} from '../fleet/call_client.js';
import {formatModelPrompt, streamChat} from '../fleet/chat_client.js';
import {Fleet, type ModelServer, type RunningProcess} from '../fleet/fleet.js';
import {writeOperatorFile} from '../fleet/operator_file.js';
import {ResultTable} from './result_table.js';

const MODEL = 'workshop_13b';
const LAYERS = 12;
const LAYERS_PER_STAGE = 4;
const PLAIN_SERVICE = 'booking_desk';
const STAGE_FIRST_LAYERS = [0, 4, 8] as const;
const CHAINS = ['a', 'b'] as const;
const ENTRY_COUNT = 2;
const MAX_TOKENS = 40;
const CHATS_PER_WORKSPACE = 6;
const BOOKING_COUNT = 10;

const SERVICE_RANKS: Readonly<Record<string, Rank>> = {
  storm_quotes: 'urgent',
  bench_assistant: 'ordinary',
  night_write_ups: 'overnight',
};

const WORKSPACE_WEIGHTS = {newspaper: 1, courthouse: 2, walk_in: 1};

const ADDED_WORKSPACE = 'cherry_growers';

const POLL_INTERVAL_MS = 20;

/** Time after the first request at which a side process is killed. */
const KILL_DELAY_MS = 400;

function writeConfig(revision: number, workspaces: Record<string, number>) {
  return writeOperatorFile({
    revision,
    model: MODEL,
    layers: LAYERS,
    modelServices: SERVICE_RANKS,
    workspaces,
    plainServices: [PLAIN_SERVICE],
  });
}

async function startServers(fleet: Fleet): Promise<ModelServer[]> {
  const servers = CHAINS.flatMap(chain =>
    STAGE_FIRST_LAYERS.map(firstLayer =>
      fleet.startModelServer({
        server: `${chain}-${firstLayer}`,
        model: MODEL,
        modelLayers: LAYERS,
        firstLayer,
        endLayer: firstLayer + LAYERS_PER_STAGE,
      }),
    ),
  );
  return Promise.all(servers);
}

async function startPlainService(fleet: Fleet): Promise<string> {
  const {url} = await fleet.startStandin('service', {});
  await fleet.startSideProcess('desk-1', {
    service: PLAIN_SERVICE,
    service_url: url,
  });
  return url;
}

async function runChat(
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
  const expected = referenceAnswer(
    formatModelPrompt(prompt),
    MAX_TOKENS,
    LAYERS,
  );
  const isCorrect = outcome.isComplete && outcome.text === expected;
  table.add({
    workspace,
    rank: SERVICE_RANKS[service],
    isCorrect,
    isWrong: outcome.isComplete && !isCorrect,
    firstTokenMs: outcome.firstTokenMs,
    reason: outcome.reason,
  });
}

async function runBooking(
  entries: readonly RunningProcess[],
  index: number,
  table: ResultTable,
): Promise<void> {
  const startMs = performance.now();
  const reference = `booking-${index}`;
  const call = (entry: RunningProcess) =>
    sendPlainCall({
      url: entry.httpUrl,
      bearerKey: 'walk_in',
      service: PLAIN_SERVICE,
      method: 'POST',
      path: '/bookings',
      body: JSON.stringify({reference}),
      idempotencyKey: reference,
      reference,
    });
  const first = await call(entries[index % ENTRY_COUNT]);
  // A call with the same key at the other entry must return the recorded answer.
  const repeated = await call(entries[(index + 1) % ENTRY_COUNT]);
  table.add({
    workspace: 'walk_in',
    rank: 'ordinary',
    isCorrect:
      first.status === 200 && repeated.status === 200 && repeated.isReplayed,
    isWrong: false,
    firstTokenMs: performance.now() - startMs,
    reason: first.reason || repeated.reason,
  });
}

/** Counts bookings that did not take effect exactly once. */
async function countWrongBookings(serviceUrl: string): Promise<number> {
  const response = await fetch(`${serviceUrl}/effects`);
  const effects = (await response.json()) as Record<string, number>;
  const counts = Array.from(
    {length: BOOKING_COUNT},
    (_, index) => effects[`booking-${index}`] ?? 0,
  );
  return counts.filter(count => count !== 1).length;
}

/** Polls until the entry accepts the added workspace; returns the time taken. */
async function waitForWorkspace(entry: RunningProcess): Promise<number> {
  const startMs = performance.now();
  for (;;) {
    const response = await fetch(`${entry.httpUrl}/v1/models`, {
      headers: {authorization: `Bearer ${ADDED_WORKSPACE}`},
    });
    if (response.ok) return performance.now() - startMs;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

async function runDemo(): Promise<boolean> {
  const fleet = new Fleet();
  const table = new ResultTable();
  try {
    await fleet.startKeyValue();
    const hosts = await fleet.startStandin('hosts', {});
    await fleet.applyConfig(writeConfig(0, WORKSPACE_WEIGHTS), 'demo');
    const [servers, serviceUrl] = await Promise.all([
      startServers(fleet),
      startPlainService(fleet),
    ]);
    const entries = await Promise.all(
      Array.from({length: ENTRY_COUNT}, (_, index) =>
        fleet.startEntry(`entry-${index}`, {host_list_url: hosts.url}),
      ),
    );
    console.log('stand-ins, two entries and seven side processes are running');
    const chats = Object.keys(WORKSPACE_WEIGHTS).flatMap(workspace =>
      Object.keys(SERVICE_RANKS).flatMap(service =>
        Array.from({length: CHATS_PER_WORKSPACE}, (_, index) =>
          runChat(
            entries[index % ENTRY_COUNT],
            workspace,
            service,
            index,
            table,
          ),
        ),
      ),
    );
    const bookings = Array.from({length: BOOKING_COUNT}, (_, index) =>
      runBooking(entries, index, table),
    );
    await new Promise(resolve => setTimeout(resolve, KILL_DELAY_MS));
    servers[1].program.kill('SIGKILL');
    console.log(`killed the side process of server ${servers[1].server}`);
    const newWeights = {...WORKSPACE_WEIGHTS, [ADDED_WORKSPACE]: 1};
    const applied = await fleet.applyConfig(writeConfig(1, newWeights), 'demo');
    const delaysMs = await Promise.all(entries.map(waitForWorkspace));
    const slowestMs = Math.round(Math.max(...delaysMs));
    console.log(`configuration ${applied.kind}, everywhere in ${slowestMs} ms`);
    const addedChats = Object.keys(SERVICE_RANKS).map(service =>
      runChat(entries[0], ADDED_WORKSPACE, service, 0, table),
    );
    await Promise.all([...chats, ...bookings, ...addedChats]);
    const wrongBookings = await countWrongBookings(serviceUrl);
    console.log(table.render());
    console.log(`bookings that took effect not exactly once: ${wrongBookings}`);
    return table.areAllCorrect && wrongBookings === 0;
  } finally {
    fleet[Symbol.dispose]();
  }
}

const succeeded = await runDemo();
console.log(
  succeeded ? 'every answer was whole' : 'some answers were not whole',
);
process.exit(succeeded ? 0 : 1);
