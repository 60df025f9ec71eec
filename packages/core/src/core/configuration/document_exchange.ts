/**
 * Everything a process needs to follow configuration and plan: it follows the
 * key-value service and exchanges versions and documents with peers.
 */
import {deflateSync, inflateSync} from 'node:zlib';
import type {ConfigVersion, PlanVersion} from '../ids/ids.js';
import type {Plan} from '../placement/plan.js';
import type {KeyValueService} from '../platform/key_value_service.js';
import type {Metrics} from '../telemetry/metrics.js';
import type {DocumentKind, DocumentMessage, Message} from '../wire/messages.js';
import type {PeerLink} from '../wire/peer_link.js';
import type {PeerVersions} from '../wire/peer_node.js';
import {MAX_DOCUMENT_BYTES, decodeConfigRecord} from './config_record.js';
import {
  DOCUMENT_KINDS,
  DocumentFollower,
  readPlan,
  type DocumentSource,
  type HeldDocument,
} from './document_follower.js';
import {declareMetrics} from './document_metrics.js';
import {
  DEFAULT_RUNNER_TIMES,
  DocumentRunner,
  type RunnerTimes,
} from './document_runner.js';
import type {OperatorConfig} from './operator_config.js';
import {parseOperatorConfig} from './parse_operator_config.js';
import {isElectedWatcher} from './watcher_election.js';

/** The part of a `PeerLink` that is used. */
export type DocumentLink = Pick<PeerLink, 'send' | 'hello'>;

export interface DocumentExchangeOptions {
  /** Name of this process, as in its `hello`. */
  readonly node: string;
  readonly availabilityZone: string;
  readonly keyValue: KeyValueService;
  /** The current links, for the election of watchers. */
  links(): Iterable<DocumentLink>;
  readonly metrics?: Metrics;
  readonly times?: Partial<RunnerTimes>;
  /** Clock in milliseconds that does not go back. */
  readonly nowMs?: () => number;
}

/** After this time a document is asked for again, from another peer. */
const FETCH_TIMEOUT_MS = 500;

/**
 * Peers that are told at once about a new version. Few, so that each process
 * passes a document on a few times, instead of the elected ones to everybody;
 * the others see the version in the next ping.
 */
const ANNOUNCE_LINKS = 4;

/** Sequence number of announcements; health pings start at 1. */
const ANNOUNCE_SEQ = 0;

interface PendingFetch {
  readonly version: number;
  readonly atMs: number;
}

type ChangeListener = (what: DocumentKind) => void;

export class DocumentExchange implements Disposable {
  readonly follower = new DocumentFollower();
  private readonly runner: DocumentRunner;
  private readonly listeners = new Set<ChangeListener>();
  private readonly fetches = new Map<DocumentKind, PendingFetch>();
  private readonly deflated = new Map<DocumentKind, DocumentMessage>();
  private readonly nowMs: () => number;
  private currentConfig: OperatorConfig | undefined;
  private currentPlan: Plan = readPlan(undefined);

  constructor(private readonly options: DocumentExchangeOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
    const {keyValue, metrics} = options;
    const times = {...DEFAULT_RUNNER_TIMES, ...options.times};
    this.runner = new DocumentRunner(
      keyValue,
      this.follower,
      {
        isElected: () => this.isElected(),
        offer: (what, json) => this.offer(what, json, 'key_value'),
        nowMs: this.nowMs,
        onCall: (what, error) => this.countCall(what, error),
      },
      times,
    );
    if (metrics) declareMetrics(metrics, this.follower, this.nowMs);
  }

  /** Starts to follow the key-value service. */
  start(): void {
    this.runner.start();
  }

  [Symbol.dispose](): void {
    this.runner[Symbol.dispose]();
  }

  /** The accepted configuration, or undefined before there is one. */
  get config(): OperatorConfig | undefined {
    return this.currentConfig;
  }

  /** The plan; `EMPTY_PLAN` before there is one. */
  get plan(): Plan {
    return this.currentPlan;
  }

  /** Versions for `hello`, `ping` and `pong`. */
  versions(): PeerVersions {
    return {
      configVersion: this.follower.version('config') as ConfigVersion,
      planVersion: this.follower.version('plan') as PlanVersion,
    };
  }

  /** Calls `listener` after each change; returns a function that ends it. */
  onChange(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Resolves when a configuration is held; rejects when `signal` aborts. */
  whenConfigured(signal?: AbortSignal): Promise<OperatorConfig> {
    return new Promise((resolve, reject) => {
      const check = () => {
        if (!this.currentConfig) return;
        end();
        resolve(this.currentConfig);
      };
      const abort = () => {
        end();
        reject(signal?.reason);
      };
      const end = () => {
        this.listeners.delete(check);
        signal?.removeEventListener('abort', abort);
      };
      if (signal?.aborted) return abort();
      signal?.addEventListener('abort', abort);
      this.listeners.add(check);
      check();
    });
  }

  /**
   * Handles `hello`, `ping`, `pong`, `fetch` and `document`; pings are
   * answered here.
   * @returns false if the message is of another type.
   */
  handle(message: Message, link: DocumentLink): boolean {
    switch (message.type) {
      case 'ping':
        link.send({type: 'pong', seq: message.seq, ...this.versions()});
        this.compare(message, link);
        return true;
      case 'hello':
      case 'pong':
        this.compare(message, link);
        return true;
      case 'fetch':
        this.answer(message.what, link);
        return true;
      case 'document':
        this.receive(message);
        return true;
      default:
        return false;
    }
  }

  private compare(theirs: PeerVersions, link: DocumentLink): void {
    this.follower.recordContact(this.nowMs());
    this.fetchIfNewer('config', theirs.configVersion, link);
    this.fetchIfNewer('plan', theirs.planVersion, link);
  }

  /** Asks one peer at a time, because a document may have hundreds of KB. */
  private fetchIfNewer(
    what: DocumentKind,
    version: number,
    link: DocumentLink,
  ): void {
    if (version <= this.follower.version(what)) return;
    const atMs = this.nowMs();
    const pending = this.fetches.get(what);
    const isPending = pending && atMs - pending.atMs < FETCH_TIMEOUT_MS;
    if (isPending && pending.version >= version) return;
    if (!link.send({type: 'fetch', what})) return;
    this.fetches.set(what, {version, atMs});
  }

  private answer(what: DocumentKind, link: DocumentLink): void {
    const held = this.follower.held(what);
    if (held) link.send(this.toMessage(held));
  }

  private toMessage(held: HeldDocument): DocumentMessage {
    const {what, version, json} = held;
    const ready = this.deflated.get(what);
    if (ready?.version === version) return ready;
    const data = deflateSync(json);
    const message = {type: 'document', what, version, data} as const;
    this.deflated.set(what, message);
    return message;
  }

  private receive(message: DocumentMessage): void {
    if (!DOCUMENT_KINDS.includes(message.what)) return;
    if (message.version === this.follower.version(message.what)) return;
    this.fetches.delete(message.what);
    this.offer(message.what, inflate(message.data), 'peer');
  }

  /** Returns whether the held document is the offered one. */
  private offer(
    what: DocumentKind,
    json: string,
    source: DocumentSource,
  ): boolean {
    const outcome = this.follower.offer(what, json, source, this.nowMs());
    if (outcome !== 'taken') return outcome === 'same';
    if (what === 'plan') this.currentPlan = readPlan(this.follower.held(what));
    else this.readConfig(json);
    this.announce();
    for (const listener of [...this.listeners]) listener(what);
    return true;
  }

  private announce(): void {
    const links = [...this.options.links()];
    for (let count = 0; count < ANNOUNCE_LINKS && links.length > 0; count++) {
      const index = Math.floor(Math.random() * links.length);
      const [link] = links.splice(index, 1);
      link.send({type: 'ping', seq: ANNOUNCE_SEQ, ...this.versions()});
    }
  }

  /**
   * A text that this release cannot read leaves the last readable one in
   * force; the version still rises, so that peers are not asked again.
   */
  private readConfig(json: string): void {
    const {text} = decodeConfigRecord(json);
    const parsed = parseOperatorConfig(text, 'config/current');
    if (parsed.kind === 'valid') this.currentConfig = parsed.config;
    else this.options.metrics?.increment('azurecrank_config_unreadable_total');
  }

  private isElected(): boolean {
    const {node, availabilityZone, links} = this.options;
    const peers = [...links()]
      .map(link => link.hello)
      .filter(hello => hello?.availabilityZone === availabilityZone)
      .map(hello => hello?.node ?? '');
    return isElectedWatcher(node, peers);
  }

  private countCall(what: DocumentKind, error: unknown): void {
    const result = error === undefined ? 'ok' : 'failed';
    this.options.metrics?.increment('azurecrank_document_reads_total', {
      what,
      result,
    });
  }
}

/** Returns an empty text for data that cannot be inflated. */
function inflate(data: Uint8Array): string {
  try {
    const options = {maxOutputLength: MAX_DOCUMENT_BYTES};
    return inflateSync(data, options).toString('utf8');
  } catch {
    return '';
  }
}
