/** What the failure tests share: one fleet, faults, conditions. */
import {setTimeout as sleep} from 'node:timers/promises';
import {TcpForwarder, referenceAnswer} from '@azurecrank/standins';
import {expect} from 'earl';
import {
  Fleet,
  formatModelPrompt,
  streamChat,
  writeOperatorFile,
} from '../src/index.js';
import type {ChatResult, RunningProcess, Settings} from '../src/index.js';

export const MODEL = 'bench-13b';
export const LAYERS = 12;
export const CHAT = 'bench_assistant';
export const DESK = 'booking_desk';
export const WORKSPACE = 'walk_in';
const POLL_MS = 20;

export type ForwardedServer = Awaited<
  ReturnType<Fleet['startForwardedServer']>
>;

/** A side of the plain service with a service and a forwarder of its own. */
export interface Desk {
  readonly server: string;
  readonly serviceUrl: string;
  readonly forwarder: TcpForwarder;
  side: RunningProcess;
}

export interface FleetSize {
  readonly chains?: number;
  readonly entries?: number;
  readonly desks?: number;
  readonly layerMs?: number;
  readonly maxSequences?: number;
  /** Time between the effect of a plain call and its answer. */
  readonly callMs?: number;
  readonly entrySettings?: Settings;
  readonly sideSettings?: Settings;
}

export function operatorFile(revision = 0, added: readonly string[] = []) {
  return writeOperatorFile({
    revision,
    model: MODEL,
    layers: LAYERS,
    modelServices: {[CHAT]: 'urgent'},
    workspaces: Object.fromEntries([WORKSPACE, ...added].map(n => [n, 1])),
    plainServices: [DESK],
  }).replace('first_token_target_ms = 960', 'first_token_target_ms = 9000');
}

export class FailureFleet implements Disposable {
  readonly fleet = new Fleet();
  readonly servers: ForwardedServer[] = [];
  readonly entries: RunningProcess[] = [];
  readonly desks: Desk[] = [];
  private readonly forwarders: TcpForwarder[] = [];
  keyValueUrl = '';

  async start(size: FleetSize): Promise<this> {
    const {fleet} = this;
    this.keyValueUrl = (await fleet.startKeyValue()).url;
    await fleet.applyConfig(operatorFile());
    const chains = ['a', 'b'].slice(0, size.chains ?? 0);
    const servers = chains.flatMap(chain =>
      [0, 4, 8].map(firstLayer =>
        fleet.startForwardedServer({
          server: `${chain}-${firstLayer}`,
          model: MODEL,
          modelLayers: LAYERS,
          firstLayer,
          endLayer: firstLayer + 4,
          layerMs: size.layerMs,
          maxSequences: size.maxSequences,
          settings: size.sideSettings,
        }),
      ),
    );
    const desks = Array.from({length: size.desks ?? 0}, (_, index) =>
      this.startDesk(`desk-${index}`, size.callMs ?? 1),
    );
    this.servers.push(...(await Promise.all(servers)));
    this.desks.push(...(await Promise.all(desks)));
    const entries = Array.from({length: size.entries ?? 1}, (_, index) =>
      fleet.startEntry(`entry-${index}`, {...size.entrySettings}),
    );
    this.entries.push(...(await Promise.all(entries)));
    return this;
  }

  /** Starts a forwarder to `target`, `IP:PORT`. */
  async forward(target = ''): Promise<TcpForwarder> {
    const forwarder = await new TcpForwarder().start();
    forwarder.setTarget(target);
    this.forwarders.push(forwarder);
    return forwarder;
  }

  async startDeskSide(desk: Omit<Desk, 'side'>): Promise<RunningProcess> {
    const side = await this.fleet.startSideProcess(desk.server, {
      service: DESK,
      service_url: desk.serviceUrl,
      advertised_address: desk.forwarder.address,
    });
    desk.forwarder.setTarget(side.peerAddress);
    return side;
  }

  async keyValueFaults(faults: object): Promise<{loseAnswers: number}> {
    const response = await fetch(`${this.keyValueUrl}/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
    return (await response.json()) as {loseAnswers: number};
  }

  async readKey<T>(key: string): Promise<T> {
    const url = `${this.keyValueUrl}/kv/${encodeURIComponent(key)}`;
    return JSON.parse((await getJson<{value: string}>(url)).value) as T;
  }

  [Symbol.dispose](): void {
    this.fleet[Symbol.dispose]();
    for (const forwarder of this.forwarders) forwarder[Symbol.dispose]();
  }

  private async startDesk(server: string, callMs: number): Promise<Desk> {
    const service = await this.fleet.startStandin('service', {callMs});
    const forwarder = await this.forward();
    const desk = {server, serviceUrl: service.url, forwarder};
    return {...desk, side: await this.startDeskSide(desk)};
  }
}

export async function getJson<T>(url: string): Promise<T> {
  return (await (await fetch(url)).json()) as T;
}

/** Waits until the condition holds; names it when it does not in time. */
export async function until(
  name: string,
  condition: () => Promise<boolean> | boolean,
  limitMs = 8000,
): Promise<void> {
  const deadlineMs = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`not within ${limitMs} ms: ${name}`);
    }
    await sleep(POLL_MS);
  }
}

/** Value of a metric; -1 when the process does not answer. */
export async function readMetric(
  {httpUrl}: RunningProcess,
  series: string,
): Promise<number> {
  try {
    const signal = AbortSignal.timeout(500);
    const response = await fetch(`${httpUrl}/metrics`, {signal});
    const lines = (await response.text()).split('\n');
    const line = lines.find(text => text.startsWith(`${series} `));
    return Number(line?.slice(series.length) ?? 0);
  } catch {
    return -1;
  }
}

export interface Stream {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly ended: Promise<ChatResult>;
  tokens: number;
  isEnded: boolean;
}

export function startStream(
  {httpUrl}: RunningProcess,
  prompt: string,
  maxTokens: number,
  headers: Record<string, string> = {},
): Stream {
  const stream = {prompt, maxTokens, tokens: 0, isEnded: false};
  const ended = streamChat({
    url: httpUrl,
    bearerKey: WORKSPACE,
    service: CHAT,
    prompt,
    maxTokens,
    headers,
    onToken: () => stream.tokens++,
  });
  void ended.then(() => (stream.isEnded = true));
  return Object.assign(stream, {ended});
}

/** Every stream ended whole, with the answer to its own prompt. */
export async function expectWhole(streams: readonly Stream[]): Promise<void> {
  for (const {prompt, maxTokens, ended} of streams) {
    const {reason, isComplete, text} = await ended;
    const own = referenceAnswer(formatModelPrompt(prompt), maxTokens, LAYERS);
    expect({reason, isWhole: isComplete, text}).toEqual({
      reason: '',
      isWhole: true,
      text: own,
    });
  }
}
