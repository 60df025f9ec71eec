/* global URL, clearInterval, console, performance, process, setInterval */
/** Channels between entries are reset; do all learn that a server is gone? */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  call,
  freePorts,
  sleep,
  startEntry,
  startProcess,
  stopAll,
} from '../lib/entry.mjs';
import {Link} from '../lib/link.mjs';
import {Store} from '../lib/store.mjs';
import {HOST, registration, table} from '../lib/table.mjs';

const HERE = fileURLToPath(new URL('.', import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ENTRIES = 18;
const SERVERS = ['i-desk-1', 'i-desk-2', 'i-desk-3'];
const LEAVING = SERVERS[0];
/** Bounds of the grown sites. */
const CONTACT_MS = 4000;
const DRAIN_MS = 3000;
const SLACK_MS = 200;
/** Share of the channels of the machines chosen that are reset. */
const RESET_SHARE = 0.55;
/** How much longer than `DRAIN_MS` the server that leaves goes on. */
const EXTRA_SERVICE_MS = 8000;
const REQUEST_INTERVAL_MS = 200;

const dir = mkdtempSync(join(tmpdir(), 'review-2-'));
const lines = [];
const note = line => {
  lines.push(line);
  console.log(line);
};

async function startServers(store) {
  const ports = await freePorts(SERVERS.length);
  for (const [i, id] of SERVERS.entries()) {
    const options = {port: ports[i], id, service: 'desk'};
    startProcess(
      [join(HERE, '../lib/plain_server.mjs'), JSON.stringify(options)],
      {},
      join(dir, `${id}.log`),
    );
    // The entry changes only when more than its `sequence` changes.
    store.put(`servers/${id}`, registration({service: 'desk', port: ports[i]}));
  }
  await sleep(500);
}

/** Readings and watches of the store by way of a relay so far. */
async function relayedReads({metricsPort}) {
  const answer = await call({
    port: metricsPort,
    path: '/metrics',
    timeoutMs: 1000,
  });
  const line =
    /^azurecrank_store_reads_total\{[^}]*source="relay"[^}]*\} (\d+)/m;
  return Number(line.exec(answer.body ?? '')?.[1] ?? 0);
}

let sent = 0;

async function ask(entry) {
  const request = `${entry.name}-${++sent}`;
  const headers = {
    Host: HOST,
    Authorization: 'Bearer key-works',
    'Azurecrank-Request-Id': request,
    'Azurecrank-Deadline-Ms': '1500',
  };
  const path = `/lookup/${sent}`;
  const answer = await call({port: entry.port, path, headers, timeoutMs: 1500});
  const server =
    answer.status === 200
      ? JSON.parse(answer.body.split('....')[0]).server
      : '';
  return {...answer, entry: entry.name, request, server};
}

async function main() {
  const store = new Store();
  const storePort = await store.start();
  const routes = [{name: 'lookup', service: 'desk'}];
  const keys = {'key-works': 'works'};
  store.put('op/config', table({version: 3, routes, services: ['desk'], keys}));
  await startServers(store);
  const links = new Map();
  const entries = await Promise.all(
    Array.from({length: ENTRIES}, async (_, i) => {
      const name = `front-${i + 1}`;
      const createPeerLink = port => {
        const link = new Link(port);
        links.set(name, link);
        return link.start();
      };
      return startEntry({name, storePort, dir, createPeerLink});
    }),
  );
  const asked = [];
  const traffic = setInterval(() => {
    for (const entry of entries) asked.push(ask(entry));
  }, REQUEST_INTERVAL_MS);
  // Registrations of entries are renewed every 4 s.
  await sleep(9000);
  const before = await Promise.all(entries.map(relayedReads));
  await sleep(9000);
  const after = await Promise.all(entries.map(relayedReads));
  const relays = entries.filter((_, i) => after[i] === before[i]);
  note(`relays: ${relays.map(({name}) => name).join(' ')}`);
  const resetMs = performance.now();
  const since = ms => Math.round(ms - resetMs);
  if (HAS_TROUBLE)
    for (const {name} of relays) {
      const link = links.get(name);
      const open = link.channels.size;
      const count = link.resetOpen(RESET_SHARE);
      note(`0 ms: ${count} of ${open} channels from entries to ${name} reset`);
    }
  await sleep(CONTACT_MS + 1000);
  store.remove(`servers/${LEAVING}`);
  const ackMs = performance.now();
  note(`${since(ackMs)} ms: the registration of ${LEAVING} is removed`);
  const boundMs = ackMs + DRAIN_MS + SLACK_MS;
  await sleep(DRAIN_MS + EXTRA_SERVICE_MS);
  clearInterval(traffic);
  const answers = await Promise.all(asked);
  const late = {};
  let served = 0;
  for (const {entry, request, status, error, server, sentMs} of answers) {
    const isLate = sentMs > boundMs && server === LEAVING;
    lines.push(
      `${since(sentMs)} ms ${entry} ${request} -> ${status ?? error} ` +
        `${server}${isLate ? ' (later than drain_ms after its removal)' : ''}`,
    );
    if (status === 200) served++;
    if (isLate) late[entry] = (late[entry] ?? 0) + 1;
  }
  note(`requests that ${LEAVING} got too late: ${JSON.stringify(late)}`);
  for (const link of links.values()) link.stop();
  store.stop();
  if (served === 0 || relays.length === ENTRIES) return 2;
  return Object.keys(late).length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (error) {
  note(`could not run: ${error.stack}`);
}
await stopAll();
writeFileSync(join(HERE, 'record.txt'), lines.join('\n') + '\n');
rmSync(dir, {recursive: true, force: true});
process.exit(code);
