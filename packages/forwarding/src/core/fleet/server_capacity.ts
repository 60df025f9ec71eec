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
  const freeMb = memoryMb(model, server) - heldLayers * model.layerMb;
  return (freeMb * BYTES_PER_MB) / (layerCacheBytes(model) * usedLayers);
}

/** Steps at which room for requests is tried when layers are divided. */
const DIVIDE_STEP_TOKENS = 2000;
const MOST_DIVIDE_TOKENS = 120_000;

/**
 * Divides layers over all servers in their order, so that the one with the
 * least room for requests has as much as possible. Undefined if the layers do
 * not fit beside `leastTokens`.
 */
export function divideLayers(
  model: ModelSpec,
  servers: readonly BackendServer[],
  layers: number,
  leastTokens: number,
): number[] | undefined {
  let best: number[] | undefined;
  for (
    let tokens = leastTokens;
    tokens <= MOST_DIVIDE_TOKENS;
    tokens += DIVIDE_STEP_TOKENS
  ) {
    const fits = servers.map(server => layersThatFit(model, server, tokens));
    if (fits.reduce((sum, count) => sum + count, 0) < layers) break;
    best = fits;
  }
  return best && trim(best, layers);
}

/** Takes the layers that are too many from the last servers. */
function trim(counts: readonly number[], layers: number): number[] {
  const trimmed = [...counts];
  let excess = trimmed.reduce((sum, count) => sum + count, 0) - layers;
  while (excess > 0) {
    // From the end, where the slow servers stand.
    const index = trimmed.findLastIndex(count => count > 0);
    trimmed[index]--;
    excess--;
  }
  return trimmed;
}

function memoryMb(model: ModelSpec, server: BackendServer): number {
  return model.accelerators.get(server.accelerator)?.memoryMb ?? 0;
}

function layerCacheBytes(model: ModelSpec): number {
  return model.kvBytesPerToken / model.layers;
}
