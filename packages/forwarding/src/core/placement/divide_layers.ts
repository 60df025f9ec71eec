/**
 * Divides the layers of a model over the servers of a chain that is built from
 * nothing. Pure.
 */
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {kvCapacityTokens, layersThatFit} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';

/** Typical decode time of a request, as a multiple of its prefill time. */
const DECODE_TO_PREFILL_TIME_RATIO = 2;

/**
 * Returns the number of layers for each server, the fastest being filled first:
 * a stream holds its place on a chain for the sum of all stages and hops, so the
 * fewest and fastest servers free it the soonest. Undefined if not all layers
 * fit beside the KV cache of `capacityTokens` tokens.
 * @param servers the fastest first
 */
export function divideLayers(
  model: ModelSpec,
  servers: readonly BackendServer[],
  capacityTokens: number,
): number[] | undefined {
  let remaining = model.layers;
  const counts = servers.map(server => {
    const fitting = layersThatFit(model, server, capacityTokens);
    const count = Math.min(remaining, fitting);
    remaining -= count;
    return count;
  });
  return remaining === 0 ? counts : undefined;
}

/** Returns the time of a layer per request, comparable between servers only. */
export function relativeLayerTime(
  model: ModelSpec,
  server: BackendServer,
): number {
  const kind = model.accelerators.get(server.accelerator);
  if (!kind) return Infinity;
  return kind.decodeFactor + kind.prefillFactor / DECODE_TO_PREFILL_TIME_RATIO;
}

/**
 * Returns the layers that each server holds: those of its own stage, and copies
 * of the layers before it as far as memory allows, so that a lost server can be
 * replaced at once by the next one. The last server has no next one, so the
 * last but one also copies the layers of the last stage.
 */
export function rangesWithCopies(
  model: ModelSpec,
  servers: readonly BackendServer[],
  counts: readonly number[],
  capacityTokens: number,
): LayerRange[] {
  const layers = counts.reduce((sum, count) => sum + count, 0);
  const lastIndex = counts.length - 1;
  let stageEnd = 0;
  return servers.map((server, i) => {
    stageEnd += counts[i];
    const heldLayers = maxHeldLayers(model, server, counts[i], capacityTokens);
    const copiesAfterStage =
      i === lastIndex - 1
        ? Math.min(counts[lastIndex], heldLayers - counts[i])
        : 0;
    const endLayer = Math.min(layers, stageEnd + copiesAfterStage);
    return {firstLayer: Math.max(0, endLayer - heldLayers), endLayer};
  });
}

/**
 * Returns how many layers a server can hold beside the KV cache of
 * `capacityTokens` tokens in `usedLayers` layers.
 */
function maxHeldLayers(
  model: ModelSpec,
  server: BackendServer,
  usedLayers: number,
  capacityTokens: number,
): number {
  let heldLayers = usedLayers;
  while (heldLayers < model.layers) {
    const range = {firstLayer: 0, endLayer: heldLayers + 1};
    const withOneMore = {...server, layers: range};
    if (kvCapacityTokens(model, withOneMore, usedLayers) < capacityTokens)
      break;
    heldLayers++;
  }
  return heldLayers;
}
