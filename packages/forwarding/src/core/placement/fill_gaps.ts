/** Completes a broken chain by moving as few layers as possible. */
import type {BackendServer} from '../fleet/backend_server.js';
import {divideLayers, layersThatFit} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {LayoutOrder} from './plan_layout.js';

/** Memory left for requests on a server that fills a gap, in tokens. */
const GAP_TOKENS = 24_000;

/**
 * Keeps servers that together hold as many layers as possible and gives the
 * missing ones to the others, first to those that hold nothing. Returns no
 * orders if the others cannot hold them.
 */
export function fillGaps(
  model: ModelSpec,
  servers: readonly BackendServer[],
): LayoutOrder[] {
  const kept = keepCover(model, servers);
  if (kept.length === 0) return [];
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
