/* global URL, console, performance, process */
/** Channels to the store fall silent; is a change of configuration applied? */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  BOUNDS,
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
const ENTRIES = ['front-1', 'front-2', 'front-3'];
/** Time after the silence for which requests are sent. */
const WATCHED_MS = 13_000;
const REQUEST_INTERVAL_MS = 100;
/** Added to the bounds, for the requester's own lateness. */
const SLACK_MS = 100;

const dir = mkdtempSync(join(tmpdir(), 'review-3-'));
const lines = [];
const note = line => {
  lines.push(line);
  console.log(line);
};

const OLD_ROUTES = [
  {name: 'lookup', service: 'desk'},
  {name: 'old', service: 'desk'},
];
const NEW_ROUTES = [{name: 'lookup', service: 'archive'}];
const SERVICES = ['desk', 'archive'];
const OLD_KEYS = {'key-works': 'works', 'key-gone': 'works'};
const NEW_KEYS = {'key-works': 'works'};

async function startServers(store) {
  const ports = await freePorts(SERVICES.length);
  for (const [i, service] of SERVICES.entries()) {
    const id = `i-${service}`;
    const options = {port: ports[i], id, service};
    startProcess(
      [join(HERE, '../lib/plain_server.mjs'), JSON.stringify(options)],
      {},
      join(dir, `${service}.log`),
    );
    store.put(`servers/${id}`, registration({service, port: ports[i]}));
  }
  await sleep(500);
}

let sent = 0;

/** Sends one request; returns what it shows of the configuration in force. */
async function ask(entry, {route, key}) {
  const request = `${entry.name}-${++sent}`;
  const headers = {
    Host: HOST,
    Authorization: `Bearer ${key}`,
    'Azurecrank-Request-Id': request,
    'Azurecrank-Deadline-Ms': '1500',
  };
  const path = `/${route}/${sent}`;
  const answer = await call({port: entry.port, path, headers, timeoutMs: 1500});
  const service =
    answer.status === 200
      ? JSON.parse(answer.body.split('....')[0]).service
      : '';
  return {...answer, entry: entry.name, request, route, key, service};
}

/** Why the answer shows an older configuration; undefined if it does not. */
function staleness({route, key, status, service}) {
  if (status !== 200) return undefined;
  if (key === 'key-gone') return 'run with a dropped key';
  if (route === 'old') return 'run with a dropped route';
  return service === 'desk' ? 'run by the old service' : undefined;
}

async function main() {
  const store = new Store();
  const storePort = await store.start();
  const put = config => store.put('op/config', table(config));
  put({version: 3, routes: OLD_ROUTES, services: SERVICES, keys: OLD_KEYS});
  await startServers(store);
  const links = [];
  const entries = [];
  for (const name of ENTRIES) {
    const link = new Link(storePort);
    links.push(link);
    const linkPort = await link.start();
    entries.push(await startEntry({name, storePort: linkPort, dir}));
  }
  await sleep(4000);
  // An ordinary change, half a second before: it makes no difference to later
  // ones, but shows that the entries follow the store.
  const slower = OLD_ROUTES.map(route => ({...route, timeout_ms: 3900}));
  put({version: 5, routes: slower, services: SERVICES, keys: OLD_KEYS});
  await sleep(500);
  const silentMs = performance.now();
  if (HAS_TROUBLE)
    for (const link of links)
      note(`0 ms: ${link.silenceOpen()} open channels to the store are silent`);
  await sleep(500);
  put({version: 8, routes: NEW_ROUTES, services: SERVICES, keys: NEW_KEYS});
  const ackMs = performance.now();
  const since = ms => Math.round(ms - silentMs);
  note(`${since(ackMs)} ms: version 8 is acknowledged`);
  const boundMs =
    Math.max(ackMs + BOUNDS.configApplyMs, silentMs + BOUNDS.contactMs) +
    SLACK_MS;
  const stretchedMs =
    ackMs + BOUNDS.configApplyMs + BOUNDS.maxSkewMs + SLACK_MS;
  note(`${since(boundMs)} ms: from here on version 8 is due`);
  const asked = [];
  while (performance.now() - silentMs < WATCHED_MS) {
    for (const entry of entries) {
      asked.push(ask(entry, {route: 'lookup', key: 'key-works'}));
      asked.push(ask(entry, {route: 'lookup', key: 'key-gone'}));
      asked.push(ask(entry, {route: 'old', key: 'key-works'}));
    }
    await sleep(REQUEST_INTERVAL_MS);
  }
  const answers = await Promise.all(asked);
  let stale = 0;
  let staleStretched = 0;
  let served = 0;
  const lastStaleMs = {};
  for (const answer of answers) {
    const why = staleness(answer);
    const {entry, request, route, key, status, error, service, sentMs} = answer;
    lines.push(
      `${since(sentMs)} ms ${entry} ${request} /${route}/ ${key} -> ` +
        `${status ?? error} ${service}${why ? ` (${why})` : ''}`,
    );
    if (sentMs <= boundMs) continue;
    if (status === 200) served++;
    if (!why) continue;
    stale++;
    if (sentMs > stretchedMs) staleStretched++;
    lastStaleMs[entry] = since(sentMs);
  }
  note(`sent after the bound: ${stale} handled by an older version`);
  note(`of these, later than max_skew_ms after it too: ${staleStretched}`);
  note(`last of them at each entry, in ms: ${JSON.stringify(lastStaleMs)}`);
  for (const link of links) link.stop();
  store.stop();
  if (served === 0) return 2;
  return stale > 0 ? 1 : 0;
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
