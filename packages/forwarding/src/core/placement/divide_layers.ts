/** Divides the layers of a model over the servers of one chain. Pure. */
import type {BackendServer} from '../fleet/backend_server.js';
import {layersThatFit} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';

/**
 * Layers for each server, so that the slowest part is as fast as possible:
 * the busiest server bounds the requests of the whole chain. Undefined if not
 * all layers fit beside the cache of so many tokens.
 */
export function divideLayers(
  model: ModelSpec,
  servers: readonly BackendServer[],
  layers: number,
  tokens: number,
): number[] | undefined {
  const mostLayers = servers.map(s => layersThatFit(model, s, tokens));
  if (mostLayers.reduce((sum, most) => sum + most, 0) < layers) {
    return undefined;
  }
  const counts = servers.map(() => 0);
  const layerCosts = servers.map(server => layerCost(model, server));
  for (let layer = 0; layer < layers; layer++) {
    let next = -1;
    let least = Infinity;
    for (const [i, count] of counts.entries()) {
      const cost = (count + 1) * layerCosts[i];
      if (count >= mostLayers[i] || cost >= least) continue;
      next = i;
      least = cost;
    }
    counts[next]++;
  }
  return counts;
}

/** Relative time that a layer takes of each request. */
export function layerCost(model: ModelSpec, server: BackendServer): number {
  const kind = model.accelerators.get(server.accelerator);
  if (!kind) return Infinity;
  // An answer takes about twice as long as reading its prompt.
  return kind.decodeFactor + kind.prefillFactor / 2;
}
