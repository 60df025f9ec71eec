/** Types of the messages that the processes exchange. */
import type {RefusalReason} from '../errors/errors_data.js';
import type {ExecutionState, RequestStep} from '../errors/refusal.js';
import type {
  AttemptId,
  ChainId,
  ConfigVersion,
  InstanceId,
  ModelId,
  PeerAddress,
  PlanVersion,
  RequestId,
  ServerId,
  ServiceId,
  WorkspaceId,
} from '../ids/ids.js';
import type {Rank} from '../ids/rank.js';

export type Role = 'entry' | 'side' | 'operator';

/** One stage of a chain or path: a server and its layers [firstLayer, endLayer). */
export interface ChainStage {
  readonly server: ServerId;
  readonly address: PeerAddress;
  readonly availabilityZone: string;
  readonly firstLayer: number;
  readonly endLayer: number;
}

/**
 * Stages in order that cover all layers without gap or overlap. The plan lists
 * the chains that take new requests; a request carries its path in this form.
 */
export interface Chain {
  readonly chain: ChainId;
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly stages: readonly ChainStage[];
}

interface Versions {
  readonly configVersion: ConfigVersion;
  readonly planVersion: PlanVersion;
}

/** First message on each connection, in both directions. */
export interface Hello extends Versions {
  readonly type: 'hello';
  readonly node: string;
  readonly instance: InstanceId;
  readonly role: Role;
  readonly availabilityZone: string;
  /** Address at which the sender accepts connections; empty if it does not. */
  readonly address: PeerAddress;
}

export interface Ping extends Versions {
  readonly type: 'ping';
  readonly seq: number;
}

export interface Pong extends Versions {
  readonly type: 'pong';
  readonly seq: number;
}

export type DocumentKind = 'config' | 'plan';

/** Requests a document of which the receiver reported a higher version. */
export interface FetchDocument {
  readonly type: 'fetch';
  readonly what: DocumentKind;
}

export interface DocumentMessage {
  readonly type: 'document';
  readonly what: DocumentKind;
  readonly version: number;
  /** Deflated UTF-8 JSON. */
  readonly data: Uint8Array;
}

/** Announces that the sender takes no new work. */
export interface Leaving {
  readonly type: 'leaving';
  readonly node: string;
}

/**
 * Acknowledges `leaving`, on the connection on which the sender sends work:
 * everything that it sent before has arrived, and no new work follows.
 */
export interface LeavingAcknowledged {
  readonly type: 'leaving_noted';
  readonly node: string;
}

/** Load of a head, the server of the first stage of a chain. */
export interface LoadReport {
  readonly type: 'load';
  readonly server: ServerId;
  /** Cost of the queued requests in tokens, indexed by rank. */
  readonly queueCostByRank: readonly number[];
  /** Number of running requests. */
  readonly running: number;
  /** Maximum number of running requests. */
  readonly limit: number;
  /** Recent duration of one decode step of the whole chain, in milliseconds. */
  readonly stepMs: number;
  /** Hashes of the prompt prefixes that the engine is likely to have cached. */
  readonly prefixes: readonly number[];
}

/** Fields of every message that belongs to a request. */
interface RequestMessage {
  readonly request: RequestId;
  readonly attempt: AttemptId;
}

/** Asks the head of the chain to admit a request. */
export interface Open extends RequestMessage {
  readonly type: 'open';
  readonly workspace: WorkspaceId;
  /** Weight of the workspace in the fair queue. */
  readonly weight: number;
  readonly rank: Rank;
  readonly service: ServiceId;
  readonly model: ModelId;
  readonly prompt: string;
  /** Tokens that earlier attempts generated. */
  readonly generatedTokens: readonly number[];
  readonly maxTokens: number;
  /** Time remaining until the deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Time remaining for the first token, in milliseconds. */
  readonly firstTokenDeadlineMs: number;
  readonly chain: Chain;
  /** Address of the entry, to which answers and tokens are sent. */
  readonly entry: PeerAddress;
}

/** Admits a request and returns its tokenized prompt. */
export interface Granted extends RequestMessage {
  readonly type: 'granted';
  readonly promptTokens: readonly number[];
}

export interface Refused extends RequestMessage {
  readonly type: 'refused';
  readonly reason: RefusalReason;
  readonly ran: ExecutionState;
  readonly step: RequestStep;
  readonly peer: string;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Fields of the messages to a stage on the path of a request. */
interface PathMessage extends RequestMessage {
  /** Path of the request. */
  readonly chain: Chain;
  /** Index of the receiving stage in the path. */
  readonly stage: number;
  /** First attempt whose caches are valid; stages discard those of earlier ones. */
  readonly cacheSince: AttemptId;
}

/** Fields of the inputs of a stage. */
interface StageInputMessage extends PathMessage {
  /** Position of the first input in the sequence. */
  readonly position: number;
  readonly rank: Rank;
  readonly entry: PeerAddress;
}

/** Input of the first stage: token ids. */
export interface StepMessage extends StageInputMessage {
  readonly type: 'step';
  readonly tokens: readonly number[];
}

/** Input of a later stage: the previous stage's output for `count` positions. */
export interface Activation extends StageInputMessage {
  readonly type: 'activation';
  readonly count: number;
  readonly data: Uint8Array;
}

/** One generated token, sent by the last stage to the entry. */
export interface TokenMessage extends RequestMessage {
  readonly type: 'token';
  /** Position of the last input from which the token was generated. */
  readonly position: number;
  readonly token: number;
  readonly text: string;
  /** Whether the token ends the answer. */
  readonly finished: boolean;
}

/** Reports that a stage received an input beyond the next expected position. */
export interface Gap extends RequestMessage {
  readonly type: 'gap';
  readonly stage: number;
  readonly nextPosition: number;
}

/** Reports that a stage of the path cannot continue the request. */
export interface StageFailed extends RequestMessage {
  readonly type: 'stage_failed';
  /** Index of the failed stage. */
  readonly stage: number;
  readonly reason: 'stage_lost' | 'engine_stalled' | 'wrong_range' | 'leaving';
  readonly peer: string;
}

/** Assigns a new attempt and path; the remaining stages keep their caches. */
export interface Reroute extends PathMessage {
  readonly type: 'reroute';
}

/**
 * Requests that `stage` resends its logged outputs to the next stage. Carries
 * the path because it may arrive before `reroute`.
 */
export interface Replay extends PathMessage {
  readonly type: 'replay';
  readonly fromPosition: number;
}

/** Reports that the activation log no longer holds the requested position. */
export interface ReplayRefused extends RequestMessage {
  readonly type: 'replay_refused';
  readonly stage: number;
}

/** Requests that a server frees the cache and the slot of an attempt. */
export interface Release extends RequestMessage {
  readonly type: 'release';
}

/** Requests that an attempt is ended. */
export interface Cancel extends RequestMessage {
  readonly type: 'cancel';
}

/** Answers `cancel` and reports whether the attempt ran. */
export interface Cancelled extends RequestMessage {
  readonly type: 'cancelled';
  readonly ran: ExecutionState;
}

/** Requests that the entry pauses an overnight sequence and frees its slot. */
export interface Preempt extends RequestMessage {
  readonly type: 'preempt';
}

/** Last output of a stage, which answers a repeated input. */
export type StageOutput =
  | {
      readonly kind: 'activation';
      readonly position: number;
      readonly count: number;
      readonly data: Uint8Array;
    }
  | {
      readonly kind: 'token';
      readonly token: number;
      readonly text: string;
      readonly finished: boolean;
    };

/** Migrates the KV cache of a sequence to a server that holds the same layers. */
export interface ImportKv extends PathMessage {
  readonly type: 'import_kv';
  readonly nextPosition: number;
  readonly data: Uint8Array;
  readonly entry: PeerAddress;
  readonly rank: Rank;
  readonly lastOutput?: StageOutput;
}

/** Reports to the entry which server now runs a stage of the request. */
export interface Imported extends RequestMessage {
  readonly type: 'imported';
  readonly stage: number;
  readonly server: ServerId;
  readonly address: PeerAddress;
}

/** One HTTP call to a plain service. */
export interface Call extends RequestMessage {
  readonly type: 'call';
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly rank: Rank;
  readonly method: string;
  /** Path and query below the service's prefix, with a leading slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** `Idempotency-Key` of the caller; empty if it sent none. */
  readonly idempotencyKey: string;
  /** Whether the call may run more than once. */
  readonly idempotent: boolean;
  /** Time remaining until the deadline, in milliseconds. */
  readonly deadlineMs: number;
}

export interface CallResult extends RequestMessage {
  readonly type: 'call_result';
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Whether the response is a recorded one of an earlier call. */
  readonly replayed: boolean;
}

/** State of an entry that it shares with the other entries. */
export interface EntryReport {
  readonly type: 'shares';
  readonly configVersion: ConfigVersion;
  /** Tokens of the running requests, by the first server of their path. */
  readonly usedTokens: Readonly<Record<string, number>>;
  /**
   * Queued requests by service and rank: their tokens, and the milliseconds for
   * which the oldest has waited. In a fleet report there is one item for each
   * entry with waiting requests, or for several, whose number follows then.
   * Absent in the reports of earlier releases.
   */
  readonly queues?: ReadonlyArray<
    readonly [string, ReadonlyArray<readonly [number, number]>, number?]
  >;
  /**
   * Started streams that wait for another chain, by service: their tokens, and
   * the milliseconds for which the oldest has waited; in a fleet report also the
   * index of their item in `queues`. Absent if there are none.
   */
  readonly interrupted?: ReadonlyArray<
    readonly [string, number, number, number?]
  >;
  /** Incarnations of draining servers: id and start time (Unix ms). */
  readonly leaving: ReadonlyArray<readonly [string, number]>;
  /** Addresses of servers that the entry suspects because they do not answer. */
  readonly suspected: readonly string[];
  /** Addresses of servers that refuse requests because they drain or fail. */
  readonly refusing: readonly string[];
  /**
   * Recently observed layers of servers: id, start time (Unix ms), number of
   * orders accepted since the start, first and end layer (equal if the server
   * holds none), and the KV-cache capacity in layer tokens (tokens times
   * layers) while the server carries out an order (-1 if it does not).
   */
  readonly held: ReadonlyArray<
    readonly [string, number, number, number, number, number]
  >;
  /** Addresses of servers slower than their kind, with the slowdown factor. */
  readonly slow: ReadonlyArray<readonly [string, number]>;
  /**
   * For each service, the requests and retries of the entry within the window
   * of the retry budget. Absent in the reports of earlier releases.
   */
  readonly retries?: ReadonlyArray<readonly [string, number, number]>;
  /**
   * Parts of prompts that may end servers: service and part, place in the
   * prompt, crashes with their age, and the time that a trial of this entry may
   * still take. Ages and times are in milliseconds. Absent if there are none,
   * like `answeredParts` and `limits`.
   */
  readonly suspectParts?: ReadonlyArray<
    readonly [string, number, ReadonlyArray<readonly [string, number]>, number]
  >;
  /** Parts that others suspect, with the age of the last answer seen here. */
  readonly answeredParts?: ReadonlyArray<readonly [string, number]>;
  /**
   * Servers that name a limit on their requests: address, requests a second in
   * their last response to this entry (-1 if it named none), age of that
   * response in milliseconds (-1 without one), and the requests of this entry
   * within the window of the limit.
   */
  readonly limits?: ReadonlyArray<readonly [string, number, number, number]>;
  /** Whether the entry is stopping and takes no new tasks. */
  readonly isStopping: boolean;
  /** Highest fencing number of layout orders that the entry knows. */
  readonly layoutFence: number;
}

/** One report of an entry on its way through relays. */
export interface RelayedReport {
  /** Node and instance of the entry that made the report. */
  readonly node: string;
  readonly instance: InstanceId;
  /** Rises with each report of the instance. */
  readonly seq: number;
  /** Time since the first relay received the report, in milliseconds. */
  readonly ageMs: number;
  /** The encoded `EntryReport`, which relays pass on unchanged. */
  readonly body: Uint8Array;
}

interface FromEntry {
  readonly configVersion: ConfigVersion;
  /** Address at which the sender accepts connections. */
  readonly address: PeerAddress;
  readonly isStopping: boolean;
  /** Whether the receiver passes it on at once. */
  readonly isUrgent: boolean;
}

/** Report of an entry to one of its relays. */
export interface RelayReport extends FromEntry, Omit<RelayedReport, 'ageMs'> {
  readonly type: 'relay_report';
  /** Whether the entry goes by what this relay sends it. */
  readonly isPrimary: boolean;
}

/** Reports that a relay has received from its entries, for other relays. */
export interface RelayedReports extends FromEntry {
  readonly type: 'relayed_reports';
  readonly reports: readonly RelayedReport[];
}

/** What a relay knows of all entries but the receiver, in one report. */
export interface FleetReport extends FromEntry {
  readonly type: 'fleet_report';
  /** Number of entries that the report stands for. */
  readonly entries: number;
  readonly report: EntryReport;
}

/** Asks a relay for what it last read from the store. */
export interface StoreReadRequest {
  readonly type: 'store_read';
  readonly id: number;
  readonly prefix: string;
  /** Waits for changes after this revision; reads the whole prefix if absent. */
  readonly afterRevision?: number;
  readonly waitMs: number;
}

/** `unavailable` if the relay does not read the store itself at present. */
export type StoreReadKind =
  'snapshot' | 'changes' | 'history_lost' | 'unavailable';

/** Answer to `store_read`. */
export interface StoreReadResult {
  readonly type: 'store_read_result';
  readonly id: number;
  readonly kind: StoreReadKind;
  readonly revision: number;
  readonly era: number;
  /** Deflated JSON of keys and values; `null` for a removed key. */
  readonly data: Uint8Array;
}

/**
 * Passes the lease for ordering layouts to the receiver, because the sender
 * stops. Without the handover nobody could acquire the lease while the
 * key-value store is unavailable.
 */
export interface LayoutHandover {
  readonly type: 'layout_handover';
  readonly lease: string;
  readonly fence: number;
  readonly ttlMs: number;
}

export type Message =
  | LayoutHandover
  | EntryReport
  | RelayReport
  | RelayedReports
  | FleetReport
  | StoreReadRequest
  | StoreReadResult
  | Hello
  | Ping
  | Pong
  | FetchDocument
  | DocumentMessage
  | Leaving
  | LeavingAcknowledged
  | LoadReport
  | Open
  | Granted
  | Refused
  | StepMessage
  | Activation
  | TokenMessage
  | Gap
  | StageFailed
  | Reroute
  | Replay
  | ReplayRefused
  | Release
  | Cancel
  | Cancelled
  | Preempt
  | ImportKv
  | Imported
  | Call
  | CallResult;

export type MessageType = Message['type'];
