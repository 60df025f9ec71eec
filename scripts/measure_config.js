/**
 * Benchmark of the operators' configuration file at the scale that the design
 * page assumes: parse, encode, decode and key lookup times, heap use, and reads
 * by watchers. Prints one JSON line per case. Run it after a build with
 * `node --expose-gc scripts/measure_config.js`.
 */
import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {deflateSync} from 'node:zlib';
import {parse} from 'smol-toml';
import {
  DEFAULT_WATCHER_TIMES,
  decodeConfigRecord,
  encodeConfigRecord,
  isElectedWatcher,
  nextConfigRecord,
  parseOperatorConfig,
  workspaceOfKey,
} from '../packages/core/dist/src/index.js';

const MEASUREMENT_ROUNDS = 9;
const LOOKUP_COUNT = 200_000;
const AVAILABILITY_ZONE_COUNT = 5;
const PROCESS_COUNT = 980;
const SECONDS_PER_HOUR = 3600;
const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_MS = 1000;

/** Enough to fill a record's list of recent applies. */
const APPLY_COUNT = 200;
const MAX_WORKSPACE_WEIGHT = 9;
const READS_PER_PERIOD = 2;

const MODELS = ['a', 'b', 'c', 'd'];
const MODELS_AND_SERVICES_TOML = MODELS.map(
  name => `[models.${name}]
version = "1"
layers = 80
bytes_per_layer = 1_000_000
[services.chat_${name}]
kind = "model"
model = "${name}"
`,
).join('');

const sha256Hex = text => createHash('sha256').update(text).digest('hex');

function buildConfigText(workspaces, keysEach) {
  const blocks = Array.from({length: workspaces}, (_, index) => {
    const digests = Array.from({length: keysEach}, (_, key) =>
      JSON.stringify(sha256Hex(`key-${index}-${key}`)),
    );
    return `[workspaces.workspace_${index}]
weight = ${(index % MAX_WORKSPACE_WEIGHT) + 1}
api_key_sha256 = [${digests.join(', ')}]
services = ["chat_${MODELS[index % 4]}"]
`;
  });
  return `revision = 0\n${MODELS_AND_SERVICES_TOML}${blocks.join('')}`;
}

function medianMs(run) {
  const times = Array.from({length: MEASUREMENT_ROUNDS}, () => {
    const startMs = performance.now();
    run();
    return performance.now() - startMs;
  });
  return Number(
    times.sort((a, b) => a - b)[MEASUREMENT_ROUNDS >> 1].toFixed(2),
  );
}

/** Returns a record whose list of recent applies is full. */
function buildRecord(text) {
  let record;
  for (let index = 0; index < APPLY_COUNT; index++) {
    const applyId = sha256Hex(String(index)).slice(0, 32);
    const apply = {applyId, author: 'operator', atMs: 1e12 + index};
    record = nextConfigRecord(record, text, apply);
  }
  return record;
}

function measureLookupMicroseconds(config, workspaces) {
  const startMs = performance.now();
  for (let index = 0; index < LOOKUP_COUNT; index++) {
    workspaceOfKey(config, `key-${index % workspaces}-0`);
  }
  const elapsedMs = performance.now() - startMs;
  return Number(((elapsedMs * MICROSECONDS_PER_MS) / LOOKUP_COUNT).toFixed(2));
}

function measureText(workspaces, keysEach) {
  const text = buildConfigText(workspaces, keysEach);
  const {config} = parseOperatorConfig(text, 'f');
  if (!config) throw new Error('the generated configuration is not valid');
  const record = buildRecord(text);
  const stored = encodeConfigRecord(record);
  const invalidText = `${text}[workspaces.last]\nweigth = 1\n`;
  return {
    workspaces,
    keysEach,
    textBytes: text.length,
    storedBytes: stored.length,
    peerMessageBytes: deflateSync(stored).length,
    checkMs: medianMs(() => parseOperatorConfig(text, 'f')),
    checkWithProblemMs: medianMs(() => parseOperatorConfig(invalidText, 'f')),
    encodeMs: medianMs(() => encodeConfigRecord(record)),
    decodeMs: medianMs(() => decodeConfigRecord(stored)),
    lookupMicroseconds: measureLookupMicroseconds(config, workspaces),
  };
}

/**
 * Returns the read rates of all processes when each one knows
 * `knownPeerCount` random peers of its availability zone.
 */
function measureElection(knownPeerCount) {
  const processesPerZone = PROCESS_COUNT / AVAILABILITY_ZONE_COUNT;
  let elected = 0;
  for (let zone = 0; zone < AVAILABILITY_ZONE_COUNT; zone++) {
    const nodes = Array.from(
      {length: processesPerZone},
      (_, i) => `${zone}-${i}`,
    );
    for (const node of nodes) {
      const peers = nodes
        .filter(other => other !== node)
        .sort((a, b) => (sha256Hex(node + a) < sha256Hex(node + b) ? -1 : 1))
        .slice(0, knownPeerCount);
      if (isElectedWatcher(node, peers)) elected++;
    }
  }
  const {watchMs, pollMs} = DEFAULT_WATCHER_TIMES;
  const readsPerHour = periodMs =>
    (READS_PER_PERIOD * SECONDS_PER_HOUR * MS_PER_SECOND) / periodMs;
  const reads =
    elected * readsPerHour(watchMs) +
    (PROCESS_COUNT - elected) * readsPerHour(pollMs);
  return {
    knownPeersInZone: knownPeerCount,
    elected,
    readsPerHour: Math.round(reads),
    readsPerSecond: Math.round(reads / SECONDS_PER_HOUR),
  };
}

/** Measures the heap that a process retains for a parsed configuration. */
function measureHeap() {
  const text = buildConfigText(8000, 1);
  globalThis.gc?.();
  const beforeBytes = process.memoryUsage().heapUsed;
  const {config} = parseOperatorConfig(text, 'f');
  globalThis.gc?.();
  const retainedBytes = process.memoryUsage().heapUsed - beforeBytes;
  const tomlMs = medianMs(() => parse(text));
  return {workspaces: config.workspaces.size, keptBytes: retainedBytes, tomlMs};
}

// Warms up the JIT compiler, so that the first case is not slower.
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
for (const knownPeerCount of [0, 10, 40, 100, 195]) {
  console.log(JSON.stringify(measureElection(knownPeerCount)));
}
