/**
 * The least that a message costs on this machine: a bare process that answers
 * each small message on a TCP connection, without any code of the system.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import {createSlope, type Point, type Slope} from './fit.js';
import {cpuPerSecond, sleep} from './measure.js';

/** Evenly spaced, so that each message wakes the process by itself. */
const MESSAGES_PER_S = [25, 50, 100, 200];
const WINDOWS = 3;
const WINDOW_MS = 1500;
const MESSAGE = Buffer.alloc(64);

const ECHO_CODE = `
const server = require('node:net').createServer(socket => {
  socket.setNoDelay(true);
  socket.on('data', chunk => socket.write(chunk));
});
server.listen(0, '127.0.0.1', () => console.log(server.address().port));
`;

export async function machineSlopes(): Promise<Slope[]> {
  const child = spawn(process.execPath, ['-e', ECHO_CODE]);
  try {
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    return [await echoSlope(child.pid ?? 0, Number(String(line)))];
  } finally {
    child.kill();
  }
}

async function echoSlope(pid: number, port: number): Promise<Slope> {
  const socket = connect({port, host: '127.0.0.1'}).setNoDelay(true).resume();
  await once(socket, 'connect');
  const points: Point[] = [];
  for (const size of MESSAGES_PER_S) {
    const timer = setInterval(() => socket.write(MESSAGE), 1000 / size);
    await sleep(WINDOW_MS);
    const samples: number[] = [];
    for (let index = 0; index < WINDOWS; index++) {
      samples.push(await cpuPerSecond(pid, WINDOW_MS));
    }
    points.push({size, samples});
    clearInterval(timer);
  }
  socket.destroy();
  return createSlope('machine.echo_cpu', 'messages/s', 'us/s', points);
}
