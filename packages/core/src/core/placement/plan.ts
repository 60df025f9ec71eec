/** Plan and registrations as stored in the key-value service. */
import type {
  ModelId,
  PeerAddress,
  PlanVersion,
  ServerId,
  ServiceId,
} from '../ids/ids.js';
import type {Chain} from '../wire/messages.js';

/** Key of the plan in the key-value service. */
export const PLAN_KEY = 'plan/current';

/** Prefix of the side processes' registrations. */
export const SERVERS_PREFIX = 'servers/';

export interface ServiceServer {
  readonly server: ServerId;
  readonly address: PeerAddress;
  readonly availabilityZone: string;
}

/** Assigns layers to servers and servers to chains. */
export interface Plan {
  readonly version: PlanVersion;
  /** Fencing number of the placement lease under which the plan was written. */
  readonly fence: number;
  readonly chains: readonly Chain[];
  readonly services: Readonly<Record<ServiceId, readonly ServiceServer[]>>;
}

/** Registration that a side process writes once at its start. */
export interface ServerRegistration {
  readonly server: ServerId;
  /** Increases with each start of a side process for this server. */
  readonly epoch: number;
  readonly instance: string;
  readonly host: string;
  readonly address: PeerAddress;
  readonly availabilityZone: string;
  readonly region: string;
  readonly state: 'live' | 'leaving';
  readonly engine?: RegisteredEngine;
  readonly service?: ServiceId;
}

/** State of the model engine when its side process started. */
export interface RegisteredEngine {
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly accelerator: string;
  readonly memoryBytes: number;
  readonly layerMs: number;
  readonly prefillLayerMs: number;
  readonly maxSequences: number;
  readonly checksFence: boolean;
}

export const EMPTY_PLAN: Plan = {
  version: 0 as PlanVersion,
  fence: 0,
  chains: [],
  services: {},
};
