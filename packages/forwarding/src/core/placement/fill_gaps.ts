/** Completes a broken chain by moving as few layers as possible. */
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {layersThatFit} from '../fleet/server_capacity.js';
import {findPath} from '../paths/find_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {divideLayers} from './divide_layers.js';
import type {LayoutOrder} from './plan_layout.js';

/** Memory left for requests on a server that fills a gap, in tokens. */
const GAP_TOKENS = 24_000;

/**
 * Orders that make a chain of servers of which some were lost. Servers that no
 * request needs take over the missing layers. Only if there are too few of
 * them a server of the chain shifts its range, which waits until the requests
 * on the layers that it gives up have ended. Returns no orders if the missing
 * layers fit nowhere.
 */
export function fillGaps(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const kept = keepCover(model, servers);
  if (kept.length === 0) return [];
  const filled = fillWithFree(model, servers, kept);
  if (filled.length > 0) return filled;
  const shifted = shiftOne(model, servers, firstGap(model, kept));
  return shifted ? [shifted] : [];
}

/** One server that holds the gap completes the chain. */
function shiftOne(
  model: ModelSpec,
  servers: readonly BackendServer[],
  gap: LayerRange,
): LayoutOrder | undefined {
  const emptyFirst = [...servers].sort(
    (a, b) => Number(a.layers !== undefined) - Number(b.layers !== undefined),
  );
  for (const server of emptyFirst) {
    const fitting = layersThatFit(model, server, GAP_TOKENS);
    if (fitting < gap.endLayer - gap.firstLayer) continue;
    for (const range of rangesAround(model, gap, fitting)) {
      const moved = servers.map(other =>
        other === server ? {...server, layers: range} : other,
      );
      if (findPath({model, servers: moved})) return {server, range};
    }
  }
  return undefined;
}

/** Ranges of the given size that begin or end with the gap. */
function rangesAround(
  model: ModelSpec,
  gap: LayerRange,
  size: number,
): LayerRange[] {
  const endLayer = Math.min(model.layers, gap.firstLayer + size);
  const firstLayer = Math.max(0, gap.endLayer - size);
  return [
    {firstLayer: gap.firstLayer, endLayer},
    {firstLayer, endLayer: gap.endLayer},
  ];
}

function firstGap(
  model: ModelSpec,
  kept: readonly BackendServer[],
): LayerRange {
  let layer = 0;
  for (;;) {
    const next = kept.find(({layers}) => holds(layers, layer));
    if (!next?.layers) break;
    layer = next.layers.endLayer;
  }
  const endLayer = nextStart(kept, layer, model.layers);
  return {firstLayer: layer, endLayer};
}

/** Keeps the cover and gives the missing layers to all other servers. */
function fillWithFree(
  model: ModelSpec,
  servers: readonly BackendServer[],
  kept: readonly BackendServer[],
): LayoutOrder[] {
  const free = servers.filter(server => !kept.includes(server));
  const orders: LayoutOrder[] = [];
  let layer = 0;
  while (layer < model.layers) {
    const next = kept.find(({layers}) => holds(layers, layer));
    if (next?.layers) {
      layer = next.layers.endLayer;
      continue;
    }
    const until = nextStart(kept, layer, model.layers);
    const fillers = pickFillers(model, free, until - layer);
    const counts = divideLayers(model, fillers, until - layer, GAP_TOKENS);
    if (!counts) return [];
    for (const [index, server] of fillers.entries()) {
      free.splice(free.indexOf(server), 1);
      const range = {firstLayer: layer, endLayer: layer + counts[index]};
      if (counts[index] > 0) orders.push({server, range});
      layer = range.endLayer;
    }
  }
  return orders;
}

/** From layer 0 up, each time the server that reaches furthest. */
function keepCover(
  model: ModelSpec,
  servers: readonly BackendServer[],
): BackendServer[] {
  const kept: BackendServer[] = [];
  let layer = 0;
  while (layer < model.layers) {
    const next = furthestFrom(servers, layer);
    if (next?.layers) {
      kept.push(next);
      layer = next.layers.endLayer;
    } else {
      layer = nextStart(servers, layer, model.layers);
    }
  }
  return kept;
}

function furthestFrom(
  servers: readonly BackendServer[],
  layer: number,
): BackendServer | undefined {
  return servers
    .filter(({layers}) => holds(layers, layer))
    .reduce<BackendServer | undefined>(
      (best, server) =>
        (server.layers?.endLayer ?? 0) > (best?.layers?.endLayer ?? 0)
          ? server
          : best,
      undefined,
    );
}

function holds(layers: BackendServer['layers'], layer: number): boolean {
  return (
    layers !== undefined && layers.firstLayer <= layer && layer < layers.endLayer
  );
}

function nextStart(
  servers: readonly BackendServer[],
  layer: number,
  layers: number,
): number {
  const starts = servers
    .map(server => server.layers?.firstLayer ?? layers)
    .filter(start => start > layer);
  return Math.min(layers, ...starts);
}

/** As few servers as close the gap; those that hold nothing go first. */
function pickFillers(
  model: ModelSpec,
  free: readonly BackendServer[],
  gap: number,
): BackendServer[] {
  const fits = (server: BackendServer) =>
    layersThatFit(model, server, GAP_TOKENS);
  const sorted = free
    .filter(server => fits(server) > 0)
    .sort(
      (a, b) =>
        Number(a.layers !== undefined) - Number(b.layers !== undefined) ||
        fits(b) - fits(a),
    );
  const fillers: BackendServer[] = [];
  let fitting = 0;
  for (const server of sorted) {
    if (fitting >= gap) break;
    fillers.push(server);
    fitting += fits(server);
  }
  return fillers;
}
