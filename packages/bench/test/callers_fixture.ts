/** An entry with one model server and one plain service, for callers' tests. */
import {connect} from 'node:net';
import {REFUSALS} from '@azurecrank/core';
import {referenceAnswer} from '@azurecrank/standins';
import {expect} from 'earl';
import OpenAI from 'openai';
import {request} from 'undici';
import {Fleet, formatModelPrompt, writeOperatorFile} from '../src/index.js';
import type {RunningProcess} from '../src/index.js';

const MODEL = 'bench-7b';
const LAYERS = 2;
export const SERVICE = 'bench_assistant';
export const NIGHT = 'write_ups';
export const DESK = 'counter_app';
export const PROMPT = 'diagnose a shutter that sticks at slow speeds';
export const MAX_TOKENS = 6;
export const EXPECTED = referenceAnswer(
  formatModelPrompt(PROMPT),
  MAX_TOKENS,
  LAYERS,
);
export const MAX_BODY_BYTES = 20_000;
const BODY_TIMEOUT_MS = 300;
export const MESSAGES = [{role: 'user', content: PROMPT}] as const;
export const CHAT = '/v1/chat/completions';

const CONFIG = writeOperatorFile({
  model: MODEL,
  layers: LAYERS,
  modelServices: {[SERVICE]: 'urgent', [NIGHT]: 'overnight'},
  plainServices: [DESK],
  workspaces: {courthouse: 1, walk_in: 1},
}).replace(/(\[workspaces.walk_in\]\n)/, `$1services = ["${NIGHT}"]\n`);

export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly problem: {
    readonly reason: string;
    readonly detail: string;
    readonly ran: string;
    readonly requestId: string;
    readonly error: {readonly message: string};
  };
}

const PROBLEM_MEMBERS = [
  'type',
  'title',
  'status',
  'detail',
  'reason',
  'ran',
  'requestId',
  'step',
  'peer',
];

export class CallersFixture implements Disposable {
  readonly fleet = new Fleet();
  entry!: RunningProcess;
  side!: RunningProcess;

  async start(): Promise<void> {
    const {fleet} = this;
    await fleet.startKeyValue();
    await fleet.applyConfig(CONFIG);
    this.side = await fleet.startModelServer({
      server: 'model-1',
      model: MODEL,
      modelLayers: LAYERS,
      firstLayer: 0,
      endLayer: LAYERS,
    });
    const {url} = await fleet.startStandin('service', {});
    await fleet.startSideProcess('desk-1', {service: DESK, service_url: url});
    this.entry = await fleet.startEntry('entry-1', {
      max_body_bytes: MAX_BODY_BYTES,
      body_timeout_ms: BODY_TIMEOUT_MS,
    });
  }

  createClient(apiKey: string): OpenAI {
    const baseURL = `${this.entry.httpUrl}/v1`;
    return new OpenAI({baseURL, apiKey, maxRetries: 0});
  }

  async send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: string,
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    const response = await request(this.entry.httpUrl + path, {
      method,
      body,
      headers: {authorization: 'Bearer courthouse', ...headers},
    });
    const problem = (await response.body.json()) as Answer['problem'];
    return {status: response.statusCode, headers: response.headers, problem};
  }

  sendChat(fields: object, headers?: Record<string, string>) {
    const body = {model: SERVICE, messages: MESSAGES, ...fields};
    return this.send('POST', CHAT, JSON.stringify(body), headers);
  }

  async countOf(reason: string): Promise<number> {
    const line = `azurecrank_refusals_total{reason="${reason}"} `;
    const found = (await readMetrics(this.entry)).find(one =>
      one.startsWith(line),
    );
    return Number(found?.slice(line.length));
  }

  /** Checks form, headers, count and log line of one refusal. */
  async expectRefusal(
    reason: keyof typeof REFUSALS,
    call: () => Promise<Answer>,
  ): Promise<Answer> {
    const before = await this.countOf(reason);
    const answer = await call();
    expect(answer.problem.reason).toEqual(reason);
    expect(answer.status).toEqual(REFUSALS[reason].status);
    const type = 'application/problem+json';
    expect(answer.headers['content-type']).toEqual(type);
    for (const member of PROBLEM_MEMBERS) {
      expect(Object.keys(answer.problem)).toInclude(member);
    }
    const {requestId} = answer.problem;
    expect(answer.headers['azurecrank-request-id']).toEqual(requestId);
    expect((await this.countOf(reason)) - before).toEqual(1);
    const lines = () =>
      this.entry.program.logLines.filter(
        line => line.includes(requestId) && line.includes('request refused'),
      );
    await waitFor(() => lines().length > 0);
    expect(lines().length).toEqual(1);
    const fields = JSON.parse(lines()[0]) as Record<string, unknown>;
    expect(fields['reason']).toEqual(reason);
    expect(fields['step']).toEqual('accept');
    expect(['info', 'warn']).toInclude(String(fields['level']));
    return answer;
  }

  [Symbol.dispose](): void {
    this.fleet[Symbol.dispose]();
  }
}

export function connectTo({httpUrl}: RunningProcess) {
  const {hostname, port} = new URL(httpUrl);
  const socket = connect(Number(port), hostname);
  socket.on('error', () => undefined);
  return socket;
}

/** Sends text and returns what comes back once the answer is complete. */
export async function exchange(
  entry: RunningProcess,
  text: string,
): Promise<string> {
  const socket = connectTo(entry);
  let answer = '';
  socket.on('data', chunk => (answer += String(chunk)));
  socket.write(text);
  await waitFor(() => answer.endsWith('}') || answer.endsWith('0\r\n\r\n'));
  socket.destroy();
  return answer;
}

export async function readMetrics({
  httpUrl,
}: RunningProcess): Promise<string[]> {
  const {body} = await request(`${httpUrl}/metrics`);
  return (await body.text()).split('\n');
}

export async function readinessOf({httpUrl}: RunningProcess): Promise<number> {
  const {statusCode, body} = await request(`${httpUrl}/readyz`);
  await body.dump();
  return statusCode;
}

export async function inFlightOf(entry: RunningProcess): Promise<number> {
  const name = 'azurecrank_requests_in_flight ';
  const lines = await readMetrics(entry);
  return Number(lines.find(line => line.startsWith(name))?.split(' ')[1]);
}

const WAIT_MS = 5000;
const POLL_MS = 10;

export async function waitFor(check: () => boolean | Promise<boolean>) {
  const deadlineMs = performance.now() + WAIT_MS;
  while (!(await check())) {
    if (performance.now() > deadlineMs) throw new Error('waited in vain');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
