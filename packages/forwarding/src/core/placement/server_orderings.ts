/**
 * Candidate orderings of servers, in which they are to divide the layers.
 * Servers that hold layers are sorted by them, and those without layers are
 * inserted next to each other. Pure.
 */
import type {BackendServer} from '../fleet/backend_server.js';

/** Returns an ordering for each position of the servers without layers. */
export function allOrderings(
  servers: readonly BackendServer[],
): BackendServer[][] {
  const {holding, empty} = splitByHeldLayers(servers);
  if (empty.length === 0) return [holding];
  const positions = Array.from(
    {length: holding.length + 1},
    (_, index) => index,
  );
  return positions.map(index => insertAt(holding, empty, index));
}

/**
 * Returns the orderings with the servers without layers at a gap, where no
 * server holds the next layer, or at the end.
 */
export function orderingsAtGaps(
  servers: readonly BackendServer[],
): BackendServer[][] {
  const {holding, empty} = splitByHeldLayers(servers);
  if (empty.length === 0) return [holding];
  const positions: number[] = [];
  let coveredEnd = 0;
  for (const [index, {layers}] of holding.entries()) {
    if (!layers) continue;
    if (layers.firstLayer > coveredEnd) positions.push(index);
    coveredEnd = Math.max(coveredEnd, layers.endLayer);
  }
  positions.push(holding.length);
  return positions.map(index => insertAt(holding, empty, index));
}

function splitByHeldLayers(servers: readonly BackendServer[]): {
  holding: BackendServer[];
  empty: BackendServer[];
} {
  const twiceMiddleLayer = ({layers}: BackendServer) =>
    layers ? layers.firstLayer + layers.endLayer : 0;
  const holding = servers
    .filter(({layers}) => layers)
    .sort((a, b) => twiceMiddleLayer(a) - twiceMiddleLayer(b));
  return {holding, empty: servers.filter(({layers}) => !layers)};
}

function insertAt(
  holding: readonly BackendServer[],
  empty: readonly BackendServer[],
  index: number,
): BackendServer[] {
  return [...holding.slice(0, index), ...empty, ...holding.slice(index)];
}
