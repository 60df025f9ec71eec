/** Tracks the layers that running requests may use on each server. */
import type {ServerId, ServiceId} from '@azurecrank/core';
import type {LayerRange} from '../fleet/backend_server.js';
import type {ServerChain} from '../paths/find_chains.js';
import {spanningRange} from './redistribute_layers.js';

/** Layers of each server that requests may be using. */
export type LayersInUse = ReadonlyMap<ServerId, LayerRange>;

/**
 * Layers of a chain count as in use for this time after new requests take
 * other chains; a typical answer takes about 3 s.
 */
const LAYERS_IN_USE_RETENTION_MS = 4000;

/** Returns the layers that the chains use on each of their servers. */
export function layersUsedByChains(
  chains: readonly ServerChain[],
): Map<ServerId, LayerRange> {
  return new Map(
    chains.flatMap(({path}) =>
      path.map(({server, firstLayer, endLayer}): [ServerId, LayerRange] => [
        server.server,
        {firstLayer, endLayer},
      ]),
    ),
  );
}

/**
 * Records the chains that requests were sent to. Running requests keep using
 * the layers of their chain after new requests take other chains.
 */
export class LayersInUseTracker {
  private readonly currentLayers = new Map<ServiceId, LayersInUse>();
  private recentLayers: Array<{used: LayersInUse; untilMs: number}> = [];
  private changeCount = 0;

  /** Rises with each change of the layers in use. */
  revision(nowMs: number): number {
    this.expire(nowMs);
    return this.changeCount;
  }

  /** Replaces the chains of one service. */
  setChains(
    service: ServiceId,
    chains: readonly ServerChain[],
    nowMs: number,
  ): void {
    this.recentLayers.push({
      used: this.currentLayers.get(service) ?? new Map(),
      untilMs: nowMs + LAYERS_IN_USE_RETENTION_MS,
    });
    this.currentLayers.set(service, layersUsedByChains(chains));
    this.changeCount++;
    this.expire(nowMs);
  }

  /** Returns all layers that may be in use, those of recent chains included. */
  get(nowMs: number): LayersInUse {
    this.expire(nowMs);
    const all = new Map(
      [...this.currentLayers.values()].flatMap(used => [...used]),
    );
    for (const {used} of this.recentLayers) {
      for (const [server, range] of used) {
        all.set(server, spanningRange(all.get(server), range));
      }
    }
    return all;
  }

  private expire(nowMs: number): void {
    const before = this.recentLayers.length;
    this.recentLayers = this.recentLayers.filter(
      ({untilMs}) => untilMs > nowMs,
    );
    if (this.recentLayers.length < before) this.changeCount++;
  }
}
