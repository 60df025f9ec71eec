/** A backend server, with the layers it holds and the speed it reports. */
import type {ServerId, ServiceId} from '@azurecrank/core';

/** `IP:PORT` at which a backend server takes requests and orders. */
export type ServerAddress = string & {readonly __address?: 'ServerAddress'};

/** Consecutive layers of a model. */
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
  readonly startedAtMs: number;
  /**
   * Counts the heartbeats of this incarnation, as of the registration that was
   * applied; undefined if the registration does not state it.
   */
  readonly heartbeat?: number | undefined;
  /** Name of an `AcceleratorKind`; empty for a plain server. */
  readonly accelerator: string;
  /** Undefined if the server holds no layers. */
  readonly layers: LayerRange | undefined;
  /**
   * KV-cache capacity in layer tokens (tokens times layers) while the server
   * carries out an order; undefined otherwise. The server reports its new
   * layers before it has released the old ones, whose memory is not free yet.
   */
  readonly reloadingLayerTokens?: number | undefined;
  /** How many times slower than its kind the server is; 1 by default. */
  readonly slowdownFactor?: number;
}

/** Returns whether both describe the same server since the same start. */
export function isSameIncarnation(a: BackendServer, b: BackendServer): boolean {
  return a.server === b.server && a.startedAtMs === b.startedAtMs;
}

/** Returns whether both are the same layers, or none. */
export function isSameRange(
  a: LayerRange | undefined,
  b: LayerRange | undefined,
): boolean {
  return a?.firstLayer === b?.firstLayer && a?.endLayer === b?.endLayer;
}

/**
 * Returns whether an order to hold the range is completed. Servers report their
 * new layers before they have released the old ones, so the range alone does
 * not show that.
 */
export function hasLoadedRange(
  server: BackendServer,
  range: LayerRange,
): boolean {
  return (
    server.reloadingLayerTokens === undefined &&
    isSameRange(server.layers, range)
  );
}
