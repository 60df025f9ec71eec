/**
 * How many layers and how much KV cache fit into the memory of a server, by the
 * sizes that the model specification states.
 */
import type {ModelSpec} from '../routing/routing_table.js';
import type {BackendServer} from './backend_server.js';

const BYTES_PER_MB = 1e6;

/**
 * Whether the model has all layers that the server states to hold. A server
 * that states others is not used: nothing else that it states can be relied on,
 * and the time and memory of planning grow with the number of layers.
 */
export function holdsOnlyLayersOf(
  model: ModelSpec,
  {layers}: BackendServer,
): boolean {
  if (!layers) return true;
  return layers.firstLayer >= 0 && layers.endLayer <= model.layers;
}

/** Returns how many layers fit beside the KV cache of `tokens` tokens. */
export function layersThatFit(
  model: ModelSpec,
  server: BackendServer,
  tokens: number,
): number {
  const kvCacheMb = (tokens * kvBytesPerLayerToken(model)) / BYTES_PER_MB;
  return Math.floor(memoryMb(model, server) / (model.layerMb + kvCacheMb));
}

/**
 * Returns the KV-cache capacity beside the layers that the server holds, for
 * requests that use `usedLayers` of these layers.
 */
export function kvCapacityTokens(
  model: ModelSpec,
  server: BackendServer,
  usedLayers: number,
): number {
  const held = server.layers;
  const heldLayers = held ? held.endLayer - held.firstLayer : 0;
  const capacityTokens = kvCapacityTokensBeside(
    model,
    server,
    heldLayers,
    usedLayers,
  );
  const reloadingLayerTokens = server.reloadingLayerTokens ?? Infinity;
  return Math.min(capacityTokens, reloadingLayerTokens / usedLayers);
}

/** Returns the same for a server that holds `heldLayers` layers. */
export function kvCapacityTokensBeside(
  model: ModelSpec,
  server: BackendServer,
  heldLayers: number,
  usedLayers: number,
): number {
  const freeMb = memoryMb(model, server) - heldLayers * model.layerMb;
  return (freeMb * BYTES_PER_MB) / (kvBytesPerLayerToken(model) * usedLayers);
}

function memoryMb(model: ModelSpec, server: BackendServer): number {
  return model.accelerators.get(server.accelerator)?.memoryMb ?? 0;
}

function kvBytesPerLayerToken(model: ModelSpec): number {
  return model.kvBytesPerToken / model.layers;
}
