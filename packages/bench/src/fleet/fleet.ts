/** Starts and stops a small fleet of real processes on the loopback address. */
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
import {TcpForwarder} from '@azurecrank/standins';
import {ChildProgram} from './child_process.js';

export interface RunningStandin {
  readonly program: ChildProgram;
  readonly url: string;
}

export interface RunningProcess {
  readonly program: ChildProgram;
  readonly httpUrl: string;
  /** `IP:PORT` at which peers connect to the process. */
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
  /** Fixed time of each batch. */
  readonly batchOverheadMs?: number;
  readonly accelerator?: string;
  readonly availabilityZone?: string;
  readonly settings?: Settings;
}

export interface ModelServer extends RunningProcess {
  readonly engine: RunningStandin;
  readonly server: string;
}

/** Values of a settings file, by the key used in the file. */
export type Settings = Readonly<
  Record<string, string | number | readonly string[]>
>;

/** Line of JSON that entries and side processes print when they are ready. */
interface ReadyLine {
  readonly httpPort: number;
  readonly peerAddress: string;
}

const DEFAULT_ENGINE_INFO = {
  modelVersion: '1',
  accelerator: 'standard',
  memoryBytes: 16_000_000_000,
  layerMs: 0.2,
  prefillLayerMs: 0.005,
  maxSequences: 16,
  checksFence: true,
} as const;

const DEFAULT_BATCH_OVERHEAD_MS = 0.5;

export class Fleet implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly directory = mkdtempSync(join(tmpdir(), 'azurecrank-'));
  private keyValueUrl = '';
  private fileCount = 0;

  constructor() {
    this.disposables.defer(() => rmSync(this.directory, {recursive: true}));
  }

  get keyValueServiceUrl(): string {
    return this.keyValueUrl;
  }

  async startKeyValue(): Promise<RunningStandin> {
    const standin = await this.startStandin('key-value', {});
    this.keyValueUrl = standin.url;
    return standin;
  }

  /** Applies an operators' file, as `azurecrank apply` does. */
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
    const program = this.startProgram(kind, 'standin', args);
    const {ready} = await program.waitUntilReady<{ready: string}>();
    return {program, url: ready};
  }

  /** Starts a stand-in engine and its side process. */
  async startModelServer(options: ModelServerOptions): Promise<ModelServer> {
    const {server, model, modelLayers, settings, availabilityZone} = options;
    const {batchOverheadMs = DEFAULT_BATCH_OVERHEAD_MS} = options;
    const {firstLayer, endLayer} = options;
    const givenInfo = pickEngineInfo(options);
    const info: EngineInfo = {
      ...DEFAULT_ENGINE_INFO,
      ...givenInfo,
      firstLayer,
      endLayer,
      model: toId(model),
    };
    const engine = await this.startStandin('engine', {
      info,
      modelLayers,
      batchOverheadMs,
    });
    const side = await this.startSideProcess(server, {
      engine_url: engine.url,
      availability_zone: availabilityZone ?? 'zone-a',
      ...settings,
    });
    return {...side, engine, server};
  }

  /**
   * Starts a model server whose peers reach it through a forwarder, which can
   * keep connections open without passing on data.
   */
  async startForwardedServer(
    options: ModelServerOptions,
  ): Promise<ModelServer & {readonly forwarder: TcpForwarder}> {
    const forwarder = this.disposables.add(new TcpForwarder());
    await forwarder.start();
    const server = await this.startModelServer({
      ...options,
      settings: {...options.settings, advertised_address: forwarder.address},
    });
    forwarder.setTarget(server.peerAddress);
    return {...server, forwarder};
  }

  async startSideProcess(
    server: string,
    settings: Settings,
  ): Promise<RunningProcess> {
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

  /** Starts a command of `azurecrank`; wait for its exit to get the result. */
  runCommand(args: readonly string[]): ChildProgram {
    return this.startProgram(args[0] ?? '', 'azurecrank', args);
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
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
    const child = this.startProgram(node, program, [
      ...command,
      '--settings',
      file,
    ]);
    const {httpPort, peerAddress} = await child.waitUntilReady<ReadyLine>();
    const httpUrl = `http://127.0.0.1:${httpPort}`;
    return {program: child, httpUrl, peerAddress};
  }

  private startProgram(
    name: string,
    program: 'standin' | 'side' | 'azurecrank',
    args: readonly string[],
  ): ChildProgram {
    return this.disposables.add(new ChildProgram(name, program, args));
  }
}

/** Options of a model server that override `DEFAULT_ENGINE_INFO`. */
const ENGINE_INFO_OPTIONS = [
  'layerMs',
  'prefillLayerMs',
  'maxSequences',
  'checksFence',
  'accelerator',
  'memoryBytes',
] as const;

function pickEngineInfo(options: ModelServerOptions): Partial<EngineInfo> {
  const givenNames = ENGINE_INFO_OPTIONS.filter(
    name => options[name] !== undefined,
  );
  return Object.fromEntries(givenNames.map(name => [name, options[name]]));
}

function toToml(settings: Settings): string {
  return Object.entries(settings)
    .map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`)
    .join('');
}
