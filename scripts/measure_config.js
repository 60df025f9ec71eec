/**
 * Measures the operators' file at the scale of the design page and prints one
 * JSON line for each case. Needs a build: `node --expose-gc scripts/measure_config.js`.
 */
import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {deflateSync} from 'node:zlib';
import {parse} from 'smol-toml';
import {
  DEFAULT_RUNNER_TIMES,
  decodeConfigRecord,
  encodeConfigRecord,
  isElectedWatcher,
  nextConfigRecord,
  parseOperatorConfig,
  workspaceOfKey,
} from '../packages/core/dist/src/index.js';

const ROUNDS = 9;
const LOOKUPS = 200_000;
const ZONES = 5;
const PROCESSES = 980;
const SECONDS_PER_HOUR = 3600;

const MODELS = ['a', 'b', 'c', 'd'];
const HEAD = MODELS.map(
  name => `[models.${name}]
version = "1"
layers = 80
bytes_per_layer = 1_000_000
[services.chat_${name}]
kind = "model"
model = "${name}"
`,
).join('');

const digest = text => createHash('sha256').update(text).digest('hex');

function buildText(workspaces, keysEach) {
  const blocks = Array.from({length: workspaces}, (_, index) => {
    const digests = Array.from({length: keysEach}, (_, key) =>
      JSON.stringify(digest(`key-${index}-${key}`)),
    );
    return `[workspaces.workspace_${index}]
weight = ${(index % 9) + 1}
api_key_sha256 = [${digests.join(', ')}]
services = ["chat_${MODELS[index % 4]}"]
`;
  });
  return `revision = 0\n${HEAD}${blocks.join('')}`;
}

function medianMs(run) {
  const times = Array.from({length: ROUNDS}, () => {
    const startMs = performance.now();
    run();
    return performance.now() - startMs;
  });
  return Number(times.sort((a, b) => a - b)[ROUNDS >> 1].toFixed(2));
}

/** A record whose list of recent applies is full. */
function buildRecord(text) {
  let record;
  for (let index = 0; index < 200; index++) {
    const applyId = digest(String(index)).slice(0, 32);
    const apply = {applyId, author: 'operator', atMs: 1e12 + index};
    record = nextConfigRecord(record, text, apply);
  }
  return record;
}

function lookupMicroseconds(config, workspaces) {
  const startMs = performance.now();
  for (let index = 0; index < LOOKUPS; index++) {
    workspaceOfKey(config, `key-${index % workspaces}-0`);
  }
  const elapsedMs = performance.now() - startMs;
  return Number(((elapsedMs * 1000) / LOOKUPS).toFixed(2));
}

function measureText(workspaces, keysEach) {
  const text = buildText(workspaces, keysEach);
  const {config} = parseOperatorConfig(text, 'f');
  if (!config) throw new Error('the text is not valid');
  const record = buildRecord(text);
  const stored = encodeConfigRecord(record);
  const bad = `${text}[workspaces.last]\nweigth = 1\n`;
  return {
    workspaces,
    keysEach,
    textBytes: text.length,
    storedBytes: stored.length,
    peerMessageBytes: deflateSync(stored).length,
    checkMs: medianMs(() => parseOperatorConfig(text, 'f')),
    checkWithProblemMs: medianMs(() => parseOperatorConfig(bad, 'f')),
    encodeMs: medianMs(() => encodeConfigRecord(record)),
    decodeMs: medianMs(() => decodeConfigRecord(stored)),
    lookupMicroseconds: lookupMicroseconds(config, workspaces),
  };
}

/** Reads per hour when each process knows `known` random peers of its zone. */
function measureElection(known) {
  const perZone = PROCESSES / ZONES;
  let elected = 0;
  for (let zone = 0; zone < ZONES; zone++) {
    const nodes = Array.from({length: perZone}, (_, i) => `${zone}-${i}`);
    for (const node of nodes) {
      const peers = nodes
        .filter(other => other !== node)
        .sort((a, b) => (digest(node + a) < digest(node + b) ? -1 : 1))
        .slice(0, known);
      if (isElectedWatcher(node, peers)) elected++;
    }
  }
  const {watchMs, pollMs} = DEFAULT_RUNNER_TIMES;
  const readsPerHour = periodMs => (2 * SECONDS_PER_HOUR * 1000) / periodMs;
  const reads =
    elected * readsPerHour(watchMs) +
    (PROCESSES - elected) * readsPerHour(pollMs);
  return {
    knownPeersInZone: known,
    elected,
    readsPerHour: Math.round(reads),
    readsPerSecond: Math.round(reads / SECONDS_PER_HOUR),
  };
}

/** Heap that a process keeps for a parsed configuration. */
function measureHeap() {
  const text = buildText(8000, 1);
  globalThis.gc?.();
  const beforeBytes = process.memoryUsage().heapUsed;
  const {config} = parseOperatorConfig(text, 'f');
  globalThis.gc?.();
  const keptBytes = process.memoryUsage().heapUsed - beforeBytes;
  const tomlMs = medianMs(() => parse(text));
  return {workspaces: config.workspaces.size, keptBytes, tomlMs};
}

// Warms the compiler up, so that the first case is not slower.
measureText(1000, 1);
console.log(JSON.stringify(measureHeap()));
for (const [workspaces, keysEach] of [
  [10, 1],
  [1000, 1],
  [8000, 1],
  [8000, 2],
  [8000, 3],
  [16000, 1],
]) {
  console.log(JSON.stringify(measureText(workspaces, keysEach)));
}
for (const known of [0, 10, 40, 100, 195]) {
  console.log(JSON.stringify(measureElection(known)));
}
