/* global Buffer, clearTimeout, performance, process, setTimeout */
/** Starts entries with the command of the deploy file, and ends them. */
import {spawn} from 'node:child_process';
import {openSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {request} from 'node:http';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

/** Bounds of the small sites. */
export const BOUNDS = {
  contactMs: 3000,
  configApplyMs: 2000,
  maxSkewMs: 5000,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
};

const children = new Set();

export function sleep(ms) {
  return new Promise(done => setTimeout(done, ms));
}

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const END_PORT = 30_000;

let nextPort = FIRST_PORT + Math.floor(Math.random() * (END_PORT - FIRST_PORT));

function canListen(port) {
  return new Promise(done => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}

/** Returns ports on which nobody listens, each of them only once. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = nextPort++;
    if (nextPort >= END_PORT) nextPort = FIRST_PORT;
    if (await canListen(port)) ports.push(port);
  }
  return ports;
}

/** Starts a process that ends with this one. */
export function startProcess(args, env, logFile) {
  const log = openSync(logFile, 'a');
  const child = spawn(process.execPath, args, {
    cwd: ROOT,
    env: {PATH: process.env.PATH, HOME: process.env.HOME, ...env},
    stdio: ['ignore', log, log],
  });
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

/** Ends all processes that were started here. */
export async function stopAll() {
  for (const child of children) {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  }
  while (children.size > 0) await sleep(20);
}

// The time limit of a run; its processes must not outlive it.
for (const signal of ['SIGTERM', 'SIGINT'])
  process.once(signal, () => stopAll().then(() => process.exit(2)));

/** Arguments of `run` in the deploy file, without the program. */
function runArguments() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "([^"]*)"/m.exec(text);
  return run.split(' ').slice(1);
}

/** Settings as the template of the deploy file makes them. */
function settings({name, zone, ports, storePort, advertised}) {
  return [
    `node = "${name}"`,
    `availability_zone = "${zone}"`,
    `caller_address = "127.0.0.1:${ports[0]}"`,
    `ready_address = "127.0.0.1:${ports[1]}"`,
    'peer_host = "127.0.0.1"',
    `peer_port = ${ports[2]}`,
    `metrics_port = ${ports[3]}`,
    `store_address = "127.0.0.1:${storePort}"`,
    `grace_ms = ${BOUNDS.graceS}000`,
    ...(advertised ? [`peer_advertised_address = "${advertised}"`] : []),
    'retry_ratio = 0.2',
    'extra_retries = 392',
    'retry_window_s = 10',
    '',
  ].join('\n');
}

/**
 * Starts an entry; resolves when it is ready.
 * @param createPeerLink returns the port at which other entries reach the given
 *     one; they connect directly by default
 */
export async function startEntry({
  name,
  zone = 'river-ward',
  storePort,
  dir,
  createPeerLink,
}) {
  const ports = await freePorts(4);
  const file = join(dir, `${name}.toml`);
  const linkPort = createPeerLink && (await createPeerLink(ports[2]));
  const advertised = linkPort && `127.0.0.1:${linkPort}`;
  writeFileSync(file, settings({name, zone, ports, storePort, advertised}));
  const entry = {
    name,
    port: ports[0],
    readyPort: ports[1],
    metricsPort: ports[3],
  };
  entry.start = async () => {
    entry.child = startProcess(
      runArguments(),
      {AZURECRANK_NODE_FILE: file},
      join(dir, `${name}.log`),
    );
    for (let i = 0; i < 600 && !(await isReady(entry)); i++) await sleep(50);
    if (!(await isReady(entry))) throw new Error(`${name} is not ready`);
  };
  await entry.start();
  return entry;
}

export async function isReady({readyPort}) {
  const path = '/azurecrank/ready';
  const answer = await call({port: readyPort, path, timeoutMs: 500});
  return answer.status === 200;
}

/**
 * Sends a request as a requester does. Resolves with `status`, `headers`,
 * `body` and `isWhole`, or with `error` if there is no answer.
 */
export function call({
  port,
  method = 'GET',
  path,
  headers = {},
  body,
  timeoutMs,
  agent = false,
}) {
  return new Promise(done => {
    const sentMs = performance.now();
    const end = result =>
      done({...result, sentMs, answeredMs: performance.now()});
    const options = {host: '127.0.0.1', port, method, path, headers, agent};
    const req = request(options, res => {
      const chunks = [];
      const result = isWhole => ({
        status: res.statusCode,
        headers: res.headers,
        body: Buffer.concat(chunks).toString(),
        isWhole,
      });
      res.on('data', chunk => chunks.push(chunk));
      res.on('end', () => end(result(res.complete)));
      res.on('error', () => end(result(false)));
    });
    const timer = setTimeout(
      () => req.destroy(new Error('time limit')),
      timeoutMs,
    );
    req.on('close', () => clearTimeout(timer));
    req.on('error', error => end({error: error.code ?? error.message}));
    req.end(body);
  });
}
