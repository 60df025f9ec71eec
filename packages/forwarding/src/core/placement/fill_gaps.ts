/** Completes broken chains with servers that hold nothing. */
import type {BackendServer} from '../fleet/backend_server.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {LayoutOrder} from './plan_layout.js';
import {layersThatFit} from './server_capacity.js';

/** Memory left for requests on a server that fills a gap, in tokens. */
const GAP_TOKENS = 24_000;

/**
 * Follows the fragments from the first layer on; where none continues, an
 * empty server of the same zone, or else any, takes the layers up to the next
 * fragment. Returns the orders of the chains that become complete.
 */
export function fillGaps(
  model: ModelSpec,
  fragments: readonly BackendServer[],
  empty: readonly BackendServer[],
): LayoutOrder[] {
  const orders: LayoutOrder[] = [];
  let held = [...fragments];
  let free = [...empty];
  while (free.length > 0 && held.length > 0) {
    const chain = completeOne(model, held, free);
    if (!chain) break;
    orders.push(...chain.orders);
    const used = new Set(chain.used);
    held = held.filter(server => !used.has(server));
    free = free.filter(server => !used.has(server));
  }
  return orders;
}

interface Completed {
  readonly orders: LayoutOrder[];
  readonly used: BackendServer[];
}

function completeOne(
  model: ModelSpec,
  fragments: readonly BackendServer[],
  empty: readonly BackendServer[],
): Completed | undefined {
  const orders: LayoutOrder[] = [];
  const used: BackendServer[] = [];
  let layer = 0;
  let zone = '';
  while (layer < model.layers) {
    const left = fragments.filter(server => !used.includes(server));
    const next = furthestFrom(left, layer, zone);
    if (next?.layers) {
      used.push(next);
      layer = next.layers.endLayer;
      zone = next.availabilityZone;
      continue;
    }
    const until = nextStart(left, layer, model.layers);
    const filler = pickFiller(model, empty, used, zone, until - layer);
    if (!filler) return undefined;
    const fitting = layersThatFit(model, filler, GAP_TOKENS);
    const endLayer = Math.min(until, layer + fitting);
    used.push(filler);
    orders.push({server: filler, range: {firstLayer: layer, endLayer}});
    layer = endLayer;
    zone = filler.availabilityZone;
  }
  return orders.length > 0 ? {orders, used} : undefined;
}

/** The fragment that holds `layer` and reaches furthest, own zone first. */
function furthestFrom(
  fragments: readonly BackendServer[],
  layer: number,
  zone: string,
): BackendServer | undefined {
  const holding = fragments.filter(
    ({layers}) =>
      layers && layers.firstLayer <= layer && layer < layers.endLayer,
  );
  const local = holding.filter(s => zone === '' || s.availabilityZone === zone);
  const candidates = local.length > 0 ? local : holding;
  return candidates.reduce<BackendServer | undefined>(
    (best, server) =>
      (server.layers?.endLayer ?? 0) > (best?.layers?.endLayer ?? 0)
        ? server
        : best,
    undefined,
  );
}

function nextStart(
  fragments: readonly BackendServer[],
  layer: number,
  layers: number,
): number {
  const starts = fragments
    .map(server => server.layers?.firstLayer ?? layers)
    .filter(start => start > layer);
  return Math.min(layers, ...starts);
}

/** The smallest server of the zone that closes the gap, else the largest. */
function pickFiller(
  model: ModelSpec,
  empty: readonly BackendServer[],
  used: readonly BackendServer[],
  zone: string,
  gap: number,
): BackendServer | undefined {
  const fits = (server: BackendServer) =>
    layersThatFit(model, server, GAP_TOKENS);
  const rank = (server: BackendServer) =>
    (server.availabilityZone === zone || zone === '' ? 0 : 2) +
    (fits(server) >= gap ? 0 : 1);
  return empty
    .filter(server => !used.includes(server) && fits(server) > 0)
    .sort((a, b) => {
      if (rank(a) !== rank(b)) return rank(a) - rank(b);
      const isEnough = fits(a) >= gap;
      return isEnough ? fits(a) - fits(b) : fits(b) - fits(a);
    })[0];
}
