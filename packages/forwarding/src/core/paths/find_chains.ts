/**
 * The chains of a model, derived from the layers that servers hold. Every
 * entry derives the same chains from the same registrations, so that no plan
 * has to be stored or agreed on.
 */
import type {BackendServer} from '../fleet/backend_server.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {findPath} from './find_path.js';
import type {PathPart, ServerPath} from './server_path.js';

/** Bytes in a megabyte as accelerators count their memory. */
const BYTES_PER_MB = 1e6;

export interface ServerChain {
  readonly path: ServerPath;
  /** Tokens whose KV cache fits on every part. */
  readonly capacityTokens: number;
  /** Time of one decode step of a single request, without hops. */
  readonly stepMs: number;
}

/** Disjoint chains, fastest first. */
export function findChains(
  model: ModelSpec,
  servers: readonly BackendServer[],
): ServerChain[] {
  const chains: ServerChain[] = [];
  let left = [...servers].sort((a, b) => (a.server < b.server ? -1 : 1));
  for (;;) {
    const path = findPath({model, servers: left});
    if (!path) return chains;
    chains.push(toChain(model, path));
    const used = new Set(path.map(({server}) => server.server));
    left = left.filter(({server}) => !used.has(server));
  }
}

export function toChain(model: ModelSpec, path: ServerPath): ServerChain {
  const capacities = path.map(part => capacityTokens(model, part));
  const steps = path.map(part => partStepMs(model, part));
  return {
    path,
    capacityTokens: Math.min(...capacities),
    stepMs: steps.reduce((sum, ms) => sum + ms, 0),
  };
}

/** Tokens of requests on this part that fit beside the layers it holds. */
function capacityTokens(model: ModelSpec, part: PathPart): number {
  const {server, firstLayer, endLayer} = part;
  const memoryMb = model.accelerators.get(server.accelerator)?.memoryMb ?? 0;
  const held = server.layers;
  const heldLayers = held ? held.endLayer - held.firstLayer : 0;
  const freeBytes = (memoryMb - heldLayers * model.layerMb) * BYTES_PER_MB;
  const perLayerBytes = model.kvBytesPerToken / model.layers;
  return freeBytes / (perLayerBytes * (endLayer - firstLayer));
}

function partStepMs(model: ModelSpec, part: PathPart): number {
  const kind = model.accelerators.get(part.server.accelerator);
  const share = (part.endLayer - part.firstLayer) / model.layers;
  return model.stepMs * (kind?.decodeFactor ?? 1) * share;
}
