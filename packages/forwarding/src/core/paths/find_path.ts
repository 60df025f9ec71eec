/**
 * The cheapest path over all layers through servers that hold them, by dynamic
 * programming over the layer at which a part begins.
 */
import type {BackendServer} from '../fleet/backend_server.js';
import {cacheCapacityTokens} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {PathPart, ServerPath} from './server_path.js';

/** Engines refuse longer paths. */
export const MAX_PATH_PARTS = 32;

/**
 * Cost of a hop between availability zones, in milliseconds per token. All
 * prompts between two zones pass one pipe, one after another: at 42 KB a token
 * and 11 Gbit/s a usual prompt takes 24 ms of it, so that some 40 requests a
 * second fill it. A path leaves its zone only where there is no other way.
 */
const ZONE_HOP_MS = 100;

/** Typical one-way time inside an availability zone. */
const LOCAL_HOP_MS = 0.3;

/**
 * Cost of a layer that a chosen server holds and the path leaves out, so that
 * disjoint paths do not cut each other's servers to pieces.
 */
const UNUSED_LAYER_MS = 0.02;

/**
 * Cost of a part with room for `CROWDED_TOKENS`; in inverse proportion for
 * others. The smallest part bounds the requests of a whole chain.
 */
const CROWDED_MS = 0.6;
const CROWDED_TOKENS = 30_000;

/** Cost of a part that has to read all tokens so far again. */
const REREAD_MS = 4;

export interface PathQuery {
  readonly model: ModelSpec;
  readonly servers: readonly BackendServer[];
  /** Parts that keep their memory and are cheaper for that. */
  readonly current?: ServerPath;
  /** A part that the path has to begin with. */
  readonly firstPart?: PathPart;
}

interface Best {
  readonly costMs: number;
  readonly parts: number;
  readonly part: PathPart | undefined;
  readonly from: number;
}

/** Returns undefined if the servers together do not hold all layers. */
export function findPath(query: PathQuery): ServerPath | undefined {
  const {model, firstPart, current} = query;
  const begin = firstPart?.endLayer ?? 0;
  const servers = query.servers.filter(
    ({layers, server}) => layers && server !== firstPart?.server.server,
  );
  const ends = partEnds(servers, model.layers, current);
  const best: Array<Best | undefined> = new Array(model.layers + 1);
  const parts = firstPart ? 1 : 0;
  best[begin] = {costMs: 0, parts, part: firstPart, from: 0};
  for (let layer = begin; layer < model.layers; layer++) {
    const soFar = best[layer];
    if (!soFar || soFar.parts >= MAX_PATH_PARTS) continue;
    for (const server of servers) extend(query, best, layer, server, ends);
  }
  return trace(best, begin, model.layers, firstPart);
}

function extend(
  {model, current}: PathQuery,
  best: Array<Best | undefined>,
  layer: number,
  server: BackendServer,
  ends: ReadonlySet<number>,
): void {
  const soFar = best[layer];
  const held = server.layers;
  if (!soFar || !held) return;
  if (layer < held.firstLayer || layer >= held.endLayer) return;
  if (soFar.part?.server.server === server.server) return;
  for (let end = layer + 1; end <= held.endLayer; end++) {
    if (end !== held.endLayer && !ends.has(end)) continue;
    const part = {server, firstLayer: layer, endLayer: end};
    const costMs =
      soFar.costMs +
      partCostMs(model, part, soFar.part) +
      (current && !isIn(current, part) ? REREAD_MS : 0);
    const known = best[end];
    if (known && known.costMs <= costMs) continue;
    best[end] = {costMs, parts: soFar.parts + 1, part, from: layer};
  }
}

/** Time of one token through the part, with the hop that leads to it. */
function partCostMs(
  model: ModelSpec,
  {server, firstLayer, endLayer}: PathPart,
  before: PathPart | undefined,
): number {
  const decodeFactor =
    model.accelerators.get(server.accelerator)?.decodeFactor ?? 1;
  const layers = endLayer - firstLayer;
  const computeMs = (model.stepMs * decodeFactor * layers) / model.layers;
  const held = server.layers;
  const unused = held ? held.endLayer - held.firstLayer - layers : 0;
  const room = Math.max(1, cacheCapacityTokens(model, server, layers));
  const crowdedMs = (CROWDED_MS * CROWDED_TOKENS) / room;
  const unusedMs = unused * UNUSED_LAYER_MS;
  return computeMs + crowdedMs + unusedMs + hopMs(before, server);
}

function hopMs(before: PathPart | undefined, server: BackendServer): number {
  if (!before) return 0;
  const isLocal = before.server.availabilityZone === server.availabilityZone;
  return isLocal ? LOCAL_HOP_MS : ZONE_HOP_MS;
}

/** Layers at which a part may end: where another one could take over. */
function partEnds(
  servers: readonly BackendServer[],
  layers: number,
  current: ServerPath = [],
): Set<number> {
  const ends = new Set([layers]);
  for (const {layers: held} of servers) if (held) ends.add(held.firstLayer);
  for (const {endLayer} of current) ends.add(endLayer);
  return ends;
}

function isIn(path: ServerPath, part: PathPart): boolean {
  return path.some(
    other =>
      other.server.server === part.server.server &&
      other.firstLayer === part.firstLayer &&
      other.endLayer === part.endLayer,
  );
}

function trace(
  best: ReadonlyArray<Best | undefined>,
  begin: number,
  layers: number,
  firstPart: PathPart | undefined,
): ServerPath | undefined {
  const path: PathPart[] = [];
  let layer = layers;
  while (layer > begin) {
    const step = best[layer];
    if (!step?.part) return undefined;
    path.unshift(step.part);
    layer = step.from;
  }
  if (firstPart) path.unshift(firstPart);
  const servers = new Set(path.map(({server}) => server.server));
  return servers.size === path.length ? path : undefined;
}
