/** What fits into the memory of a server, from the figures of the model. */
import type {ModelSpec} from '../routing/routing_table.js';
import type {BackendServer} from './backend_server.js';

const BYTES_PER_MB = 1e6;

/** Layers that fit beside the KV cache of so many tokens. */
export function layersThatFit(
  model: ModelSpec,
  server: BackendServer,
  tokens: number,
): number {
  const cacheMb = (tokens * layerCacheBytes(model)) / BYTES_PER_MB;
  return Math.floor(memoryMb(model, server) / (model.layerMb + cacheMb));
}

/**
 * Tokens whose KV cache fits beside the layers that the server holds, if their
 * requests use `usedLayers` of them.
 */
export function cacheCapacityTokens(
  model: ModelSpec,
  server: BackendServer,
  usedLayers: number,
): number {
  const held = server.layers;
  const heldLayers = held ? held.endLayer - held.firstLayer : 0;
  const tokens = tokensBeside(model, server, heldLayers, usedLayers);
  const reloadingCells = server.reloadingCells ?? Infinity;
  return Math.min(tokens, reloadingCells / usedLayers);
}

/** The same if the server held so many layers. */
export function tokensBeside(
  model: ModelSpec,
  server: BackendServer,
  heldLayers: number,
  usedLayers: number,
): number {
  const freeMb = memoryMb(model, server) - heldLayers * model.layerMb;
  return (freeMb * BYTES_PER_MB) / (layerCacheBytes(model) * usedLayers);
}

function memoryMb(model: ModelSpec, server: BackendServer): number {
  return model.accelerators.get(server.accelerator)?.memoryMb ?? 0;
}

function layerCacheBytes(model: ModelSpec): number {
  return model.kvBytesPerToken / model.layers;
}
