/** Divides the layers of a model over the servers of one chain. Pure. */
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {cacheCapacityTokens, layersThatFit} from '../fleet/server_capacity.js';
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

/**
 * Ranges that servers hold around their parts. Memory that is left is used for
 * copies of the layers before, so that the parts of lost servers can be taken
 * over at once; the last but one also copies the last part.
 */
export function rangesWithCopies(
  model: ModelSpec,
  servers: readonly BackendServer[],
  counts: readonly number[],
  tokens: number,
): LayerRange[] {
  const layers = counts.reduce((sum, count) => sum + count, 0);
  const last = counts.length - 1;
  let end = 0;
  return servers.map((server, i) => {
    end += counts[i];
    const held = mostHeldLayers(model, server, counts[i], tokens);
    const copiesAfter =
      i === last - 1 ? Math.min(counts[last], held - counts[i]) : 0;
    const endLayer = Math.min(layers, end + copiesAfter);
    return {firstLayer: Math.max(0, endLayer - held), endLayer};
  });
}

/** Layers a server may hold if its requests use `usedLayers` of them. */
function mostHeldLayers(
  model: ModelSpec,
  server: BackendServer,
  usedLayers: number,
  tokens: number,
): number {
  let held = usedLayers;
  for (;;) {
    const range = {firstLayer: 0, endLayer: held + 1};
    const larger = {...server, layers: range};
    if (cacheCapacityTokens(model, larger, usedLayers) < tokens) return held;
    held++;
  }
}
