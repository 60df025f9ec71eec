/**
 * Keeps the configuration and the plan of a process up to date. It watches the
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
import {MAX_INFLATED_BYTES, decodeConfigRecord} from './config_record.js';
import {
  DOCUMENT_KINDS,
  DocumentStore,
  readPlan,
  type DocumentSource,
  type HeldDocument,
} from './document_store.js';
import {declareDocumentMetrics} from './document_metrics.js';
import {
  DEFAULT_WATCHER_TIMES,
  DocumentWatcher,
  type WatcherTimes,
} from './document_watcher.js';
import type {OperatorConfig} from './operator_config.js';
import {parseOperatorConfig} from './parse_operator_config.js';
import {isElectedWatcher} from './watcher_election.js';

/** The members of a `PeerLink` that the exchange uses. */
export type DocumentLink = Pick<PeerLink, 'send' | 'hello'>;

export interface DocumentExchangeOptions {
  /** Name of this process, as sent in its `hello`. */
  readonly node: string;
  readonly availabilityZone: string;
  readonly keyValue: KeyValueService;
  /** Current links, for electing watchers and announcing versions. */
  links(): Iterable<DocumentLink>;
  readonly metrics?: Metrics;
  readonly times?: Partial<WatcherTimes>;
  /** Monotonic clock in milliseconds. */
  readonly nowMs?: () => number;
}

/** Time after which an unanswered fetch may be repeated with another peer. */
const FETCH_TIMEOUT_MS = 500;

/**
 * Number of peers that are notified at once of a new version. A small fan-out
 * spreads the transfers over all processes, instead of the elected watchers
 * sending the document to everyone; other peers learn the version from the
 * next ping.
 */
const MAX_ANNOUNCED_PEERS = 4;

/** Sequence number of pings that announce a version; health checks start at 1. */
const ANNOUNCEMENT_SEQ = 0;

interface PendingFetch {
  readonly version: number;
  readonly sentMs: number;
}

type ChangeListener = (kind: DocumentKind) => void;

export class DocumentExchange implements Disposable {
  readonly documents = new DocumentStore();
  private readonly watcher: DocumentWatcher;
  private readonly listeners = new Set<ChangeListener>();
  private readonly pendingFetches = new Map<DocumentKind, PendingFetch>();
  private readonly deflatedMessages = new Map<DocumentKind, DocumentMessage>();
  private readonly nowMs: () => number;
  private currentConfig: OperatorConfig | undefined;
  private currentPlan: Plan = readPlan(undefined);

  constructor(private readonly options: DocumentExchangeOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
    const {keyValue, metrics} = options;
    const times = {...DEFAULT_WATCHER_TIMES, ...options.times};
    this.watcher = new DocumentWatcher(
      keyValue,
      this.documents,
      {
        isElected: () => this.isElected(),
        offer: (kind, json) => this.adoptIfNewer(kind, json, 'key_value'),
        nowMs: this.nowMs,
        onCall: (kind, error) => this.countRead(kind, error),
      },
      times,
    );
    if (metrics) declareDocumentMetrics(metrics, this.documents, this.nowMs);
  }

  /** Starts watching the key-value service. */
  start(): void {
    this.watcher.start();
  }

  [Symbol.dispose](): void {
    this.watcher[Symbol.dispose]();
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
      configVersion: this.documents.version('config') as ConfigVersion,
      planVersion: this.documents.version('plan') as PlanVersion,
    };
  }

  /** Calls `listener` after each change; returns a function to unsubscribe. */
  onChange(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Resolves with the first configuration; rejects when `signal` aborts. */
  whenConfigured(signal?: AbortSignal): Promise<OperatorConfig> {
    return new Promise((resolve, reject) => {
      const check = () => {
        if (!this.currentConfig) return;
        unsubscribe();
        resolve(this.currentConfig);
      };
      const onAbort = () => {
        unsubscribe();
        reject(signal?.reason);
      };
      const unsubscribe = () => {
        this.listeners.delete(check);
        signal?.removeEventListener('abort', onAbort);
      };
      if (signal?.aborted) return onAbort();
      signal?.addEventListener('abort', onAbort);
      this.listeners.add(check);
      check();
    });
  }

  /**
   * Handles `hello`, `ping`, `pong`, `fetch` and `document`, including the
   * reply to a ping.
   * @returns false for every other message type.
   */
  handle(message: Message, link: DocumentLink): boolean {
    switch (message.type) {
      case 'ping':
        link.send({type: 'pong', seq: message.seq, ...this.versions()});
        this.fetchNewerDocuments(message, link);
        return true;
      case 'hello':
      case 'pong':
        this.fetchNewerDocuments(message, link);
        return true;
      case 'fetch':
        this.sendDocument(message.what, link);
        return true;
      case 'document':
        this.receiveDocument(message);
        return true;
      default:
        return false;
    }
  }

  private fetchNewerDocuments(
    peerVersions: PeerVersions,
    link: DocumentLink,
  ): void {
    this.documents.recordContact(this.nowMs());
    this.fetchIfNewer('config', peerVersions.configVersion, link);
    this.fetchIfNewer('plan', peerVersions.planVersion, link);
  }

  /** Fetches from one peer at a time: a document may have hundreds of KB. */
  private fetchIfNewer(
    kind: DocumentKind,
    version: number,
    link: DocumentLink,
  ): void {
    if (version <= this.documents.version(kind)) return;
    const sentMs = this.nowMs();
    const pending = this.pendingFetches.get(kind);
    const isPending = pending && sentMs - pending.sentMs < FETCH_TIMEOUT_MS;
    if (isPending && pending.version >= version) return;
    if (!link.send({type: 'fetch', what: kind})) return;
    this.pendingFetches.set(kind, {version, sentMs});
  }

  private sendDocument(kind: DocumentKind, link: DocumentLink): void {
    const held = this.documents.held(kind);
    if (held) link.send(this.toDocumentMessage(held));
  }

  private toDocumentMessage(held: HeldDocument): DocumentMessage {
    const {kind, version, json} = held;
    const cached = this.deflatedMessages.get(kind);
    if (cached?.version === version) return cached;
    const data = deflateSync(json);
    const message = {type: 'document', what: kind, version, data} as const;
    this.deflatedMessages.set(kind, message);
    return message;
  }

  private receiveDocument(message: DocumentMessage): void {
    if (!DOCUMENT_KINDS.includes(message.what)) return;
    if (message.version === this.documents.version(message.what)) return;
    this.pendingFetches.delete(message.what);
    this.adoptIfNewer(message.what, inflate(message.data), 'peer');
  }

  /** Returns whether the process now holds the given document. */
  private adoptIfNewer(
    kind: DocumentKind,
    json: string,
    source: DocumentSource,
  ): boolean {
    const outcome = this.documents.adoptIfNewer(
      kind,
      json,
      source,
      this.nowMs(),
    );
    if (outcome !== 'taken') return outcome === 'same';
    if (kind === 'plan') this.currentPlan = readPlan(this.documents.held(kind));
    else this.parseConfig(json);
    this.announceVersions();
    for (const listener of [...this.listeners]) listener(kind);
    return true;
  }

  /** Pings a few random peers, so that they learn the new versions at once. */
  private announceVersions(): void {
    const links = [...this.options.links()];
    for (
      let count = 0;
      count < MAX_ANNOUNCED_PEERS && links.length > 0;
      count++
    ) {
      const index = Math.floor(Math.random() * links.length);
      const [link] = links.splice(index, 1);
      link.send({type: 'ping', seq: ANNOUNCEMENT_SEQ, ...this.versions()});
    }
  }

  /**
   * If this release cannot parse the text, the last parsed configuration stays
   * in force. The held version is still the new one, so that the document is
   * not fetched again.
   */
  private parseConfig(json: string): void {
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

  /** Counts a call to the key-value service, by document and result. */
  private countRead(kind: DocumentKind, error: unknown): void {
    const result = error === undefined ? 'ok' : 'failed';
    this.options.metrics?.increment('azurecrank_document_reads_total', {
      what: kind,
      result,
    });
  }
}

/** Decompresses a document; returns an empty text if the data is damaged. */
function inflate(data: Uint8Array): string {
  try {
    const options = {maxOutputLength: MAX_INFLATED_BYTES};
    return inflateSync(data, options).toString('utf8');
  } catch {
    return '';
  }
}
