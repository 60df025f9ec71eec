import type {BackendServer} from '../fleet/backend_server.js';

/**
 * Orders in which servers can divide the layers. Servers that hold nothing may
 * stand anywhere between the others, together.
 */
export function possibleOrderings(
  servers: readonly BackendServer[],
): BackendServer[][] {
  const {holding, empty} = split(servers);
  if (empty.length === 0) return [holding];
  const places = Array.from({length: holding.length + 1}, (_, at) => at);
  return places.map(at => insert(holding, empty, at));
}

/** Those with the empty servers where layers are missing, if any are. */
export function orderingsAtGaps(
  servers: readonly BackendServer[],
): BackendServer[][] {
  const {holding, empty} = split(servers);
  if (empty.length === 0) return [holding];
  const places: number[] = [];
  let end = 0;
  for (const [at, {layers}] of holding.entries()) {
    if (!layers) continue;
    if (layers.firstLayer > end) places.push(at);
    end = Math.max(end, layers.endLayer);
  }
  places.push(holding.length);
  return places.map(at => insert(holding, empty, at));
}

function split(servers: readonly BackendServer[]): {
  holding: BackendServer[];
  empty: BackendServer[];
} {
  const middle = ({layers}: BackendServer) =>
    layers ? layers.firstLayer + layers.endLayer : 0;
  const holding = servers
    .filter(({layers}) => layers)
    .sort((a, b) => middle(a) - middle(b));
  return {holding, empty: servers.filter(({layers}) => !layers)};
}

function insert(
  holding: readonly BackendServer[],
  empty: readonly BackendServer[],
  at: number,
): BackendServer[] {
  return [...holding.slice(0, at), ...empty, ...holding.slice(at)];
}
