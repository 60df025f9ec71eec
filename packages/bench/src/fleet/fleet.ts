/** A small fleet of real processes on the loopback address. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  DisposableStore,
  HttpKeyValueService,
  applyConfig,
  toId,
  type ApplyOutcome,
  type EngineInfo,
} from '@azurecrank/core';
import {Forwarder} from '@azurecrank/standins';
import {ChildProgram} from './child_process.js';

export interface RunningStandin {
  readonly program: ChildProgram;
  readonly url: string;
}

export interface RunningProcess {
  readonly program: ChildProgram;
  readonly httpUrl: string;
  /** `IP:PORT` of the listener for other processes. */
  readonly peerAddress: string;
}

export interface ModelServerOptions {
  readonly server: string;
  readonly model: string;
  readonly modelLayers: number;
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly layerMs?: number;
  readonly prefillLayerMs?: number;
  readonly maxSequences?: number;
  readonly checksFence?: boolean;
  readonly memoryBytes?: number;
  /** Fixed time of each batch, in milliseconds. */
  readonly batchOverheadMs?: number;
  readonly accelerator?: string;
  readonly availabilityZone?: string;
  readonly settings?: Settings;
}

export interface ModelServer extends RunningProcess {
  readonly engine: RunningStandin;
  readonly server: string;
}

/** Values of a settings file, by key as it stands in the file. */
export type Settings = Readonly<
  Record<string, string | number | readonly string[]>
>;

interface ReadyLine {
  readonly httpPort: number;
  readonly peerAddress: string;
}

const DEFAULT_ENGINE = {
  modelVersion: '1',
  accelerator: 'standard',
  memoryBytes: 16_000_000_000,
  layerMs: 0.2,
  prefillLayerMs: 0.005,
  maxSequences: 16,
  checksFence: true,
} as const;

const BATCH_OVERHEAD_MS = 0.5;

export class Fleet implements Disposable {
  private readonly store = new DisposableStore();
  private readonly directory = mkdtempSync(join(tmpdir(), 'azurecrank-'));
  private keyValueUrl = '';
  private fileCount = 0;

  constructor() {
    this.store.defer(() => rmSync(this.directory, {recursive: true}));
  }

  get keyValue(): string {
    return this.keyValueUrl;
  }

  async startKeyValue(): Promise<RunningStandin> {
    const standin = await this.startStandin('key-value', {});
    this.keyValueUrl = standin.url;
    return standin;
  }

  /** Accepts an operators' file, as `azurecrank apply` does. */
  async applyConfig(text: string, author = 'fleet'): Promise<ApplyOutcome> {
    const keyValue = new HttpKeyValueService(this.keyValueUrl);
    try {
      return await applyConfig(keyValue, text, author);
    } finally {
      keyValue[Symbol.dispose]();
    }
  }

  async startStandin(kind: string, options: object): Promise<RunningStandin> {
    const args = [kind, JSON.stringify(options)];
    const program = this.start(kind, 'standin', args);
    const {ready} = await program.ready<{ready: string}>();
    return {program, url: ready};
  }

  /** Starts an engine and the side process beside it. */
  async startModelServer(options: ModelServerOptions): Promise<ModelServer> {
    const {server, model, modelLayers, settings, availabilityZone} = options;
    const {batchOverheadMs = BATCH_OVERHEAD_MS} = options;
    const {firstLayer, endLayer} = options;
    const facts = pickEngineFacts(options);
    const info: EngineInfo = {
      ...DEFAULT_ENGINE,
      ...facts,
      firstLayer,
      endLayer,
      model: toId(model),
    };
    const engine = await this.startStandin('engine', {
      info,
      modelLayers,
      batchOverheadMs,
    });
    const side = await this.startSide(server, {
      engine_url: engine.url,
      availability_zone: availabilityZone ?? 'zone-a',
      ...settings,
    });
    return {...side, engine, server};
  }

  /**
   * Starts a model server whose peers reach it through a forwarder that can
   * make open connections go silent.
   */
  async startForwardedServer(
    options: ModelServerOptions,
  ): Promise<ModelServer & {readonly forwarder: Forwarder}> {
    const forwarder = this.store.add(new Forwarder());
    await forwarder.start();
    const server = await this.startModelServer({
      ...options,
      settings: {...options.settings, advertised_address: forwarder.address},
    });
    forwarder.setTarget(server.peerAddress);
    return {...server, forwarder};
  }

  async startSide(server: string, settings: Settings): Promise<RunningProcess> {
    return this.startProcess(`side-${server}`, 'side', [], {
      server,
      ...settings,
    });
  }

  async startEntry(
    node: string,
    settings: Settings = {},
  ): Promise<RunningProcess> {
    return this.startProcess(node, 'azurecrank', ['entry'], settings);
  }

  /** Writes a file into the fleet's directory and returns its path. */
  writeFile(name: string, text: string): string {
    const path = join(this.directory, `${this.fileCount++}-${name}`);
    writeFileSync(path, text);
    return path;
  }

  /** Runs a command of `azurecrank` to its end. */
  run(args: readonly string[]): ChildProgram {
    return this.start(args[0] ?? '', 'azurecrank', args);
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  private async startProcess(
    node: string,
    program: 'side' | 'azurecrank',
    command: readonly string[],
    settings: Settings,
  ): Promise<RunningProcess> {
    const file = this.writeFile(
      `${node}.toml`,
      toToml({
        node,
        host: `host-of-${node}`,
        availability_zone: 'zone-a',
        key_value_url: this.keyValueUrl,
        ...settings,
      }),
    );
    const child = this.start(node, program, [...command, '--settings', file]);
    const {httpPort, peerAddress} = await child.ready<ReadyLine>();
    const httpUrl = `http://127.0.0.1:${httpPort}`;
    return {program: child, httpUrl, peerAddress};
  }

  private start(
    name: string,
    program: 'standin' | 'side' | 'azurecrank',
    args: readonly string[],
  ): ChildProgram {
    return this.store.add(new ChildProgram(name, program, args));
  }
}

const ENGINE_FACTS = [
  'layerMs',
  'prefillLayerMs',
  'maxSequences',
  'checksFence',
  'accelerator',
  'memoryBytes',
] as const;

function pickEngineFacts(options: ModelServerOptions): Partial<EngineInfo> {
  const given = ENGINE_FACTS.filter(name => options[name] !== undefined);
  return Object.fromEntries(given.map(name => [name, options[name]]));
}

function toToml(settings: Settings): string {
  return Object.entries(settings)
    .map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`)
    .join('');
}
