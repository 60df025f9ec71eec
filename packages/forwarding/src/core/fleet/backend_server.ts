/** A backend server as its registration describes it. */
import type {ServerId, ServiceId} from '@azurecrank/core';

/** `IP:PORT` at which a backend server takes requests and orders. */
export type ServerAddress = string & {readonly __address?: 'ServerAddress'};

export interface LayerRange {
  readonly firstLayer: number;
  /** One past the last layer. */
  readonly endLayer: number;
}

export interface BackendServer {
  readonly server: ServerId;
  readonly service: ServiceId;
  readonly address: ServerAddress;
  readonly availabilityZone: string;
  readonly state: 'ready' | 'draining';
  /** Start of this incarnation, Unix time in milliseconds. */
  readonly bornAtMs: number;
  /** Name of an `AcceleratorKind`; empty for a plain server. */
  readonly accelerator: string;
  /** Undefined while the server holds no layers. */
  readonly layers: LayerRange | undefined;
  /**
   * Memory for requests in tokens times layers while the server carries out an
   * order: it tells its new layers before it has given up the old ones.
   */
  readonly reloadingCells?: number | undefined;
  /** Factor on its times against others of its kind; 1 by default. */
  readonly pace?: number;
}

/** Returns whether both are the same run of the same server. */
export function isSameIncarnation(a: BackendServer, b: BackendServer): boolean {
  return a.server === b.server && a.bornAtMs === b.bornAtMs;
}
