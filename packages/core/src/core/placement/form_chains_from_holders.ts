/** Forms chains of servers that already hold layers. No weights are loaded. */
import {
  compareIds,
  rangeKey,
  type EngineServer,
  type LayerRange,
  type LinkTime,
} from './placement_types.js';

interface RangeEdge extends LayerRange {
  readonly servers: EngineServer[];
  /** Number of chains that use this range. */
  flow: number;
}

/**
 * Returns the highest number of chains that the held ranges allow. In a graph
 * with layer boundaries as nodes and ranges as edges, whose capacity is the
 * number of their holders, it is the maximum flow from layer 0 to the last
 * layer. For the ranges of a chain, holders with fast links and similar stage
 * times are combined.
 */
export function formChainsFromHolders(
  holders: readonly EngineServer[],
  layers: number,
  linkTimeMs: LinkTime,
): EngineServer[][] {
  const edges = collectEdges(holders);
  while (addChainToFlow(edges, layers)) {
    // Each call adds one chain.
  }
  const chains: EngineServer[][] = [];
  for (;;) {
    const ranges = removeChainRanges(edges, layers);
    if (!ranges) return chains;
    chains.push(removeNearestServers(ranges, linkTimeMs));
  }
}

function collectEdges(holders: readonly EngineServer[]): RangeEdge[] {
  const edges = new Map<string, RangeEdge>();
  const sorted = [...holders].sort((a, b) => compareIds(a.server, b.server));
  for (const holder of sorted) {
    const {firstLayer, endLayer} = holder.engine;
    const key = rangeKey(holder.engine);
    const edge = edges.get(key);
    if (edge) edge.servers.push(holder);
    else edges.set(key, {firstLayer, endLayer, servers: [holder], flow: 0});
  }
  return [...edges.values()].sort(
    (a, b) => a.firstLayer - b.firstLayer || a.endLayer - b.endLayer,
  );
}

interface Arrival {
  readonly edge: RangeEdge;
  readonly isForward: boolean;
}

/**
 * Finds an augmenting path by breadth-first search and adds it to the flow.
 * Returns false if there is none.
 */
function addChainToFlow(edges: readonly RangeEdge[], layers: number): boolean {
  const arrivals = new Map<number, Arrival>();
  const queue = [0];
  for (let node = queue.shift(); node !== undefined; node = queue.shift()) {
    for (const edge of edges) {
      const isForward = edge.firstLayer === node;
      const usable = isForward
        ? edge.flow < edge.servers.length
        : edge.endLayer === node && edge.flow > 0;
      const next = isForward ? edge.endLayer : edge.firstLayer;
      if (!usable || next === 0 || arrivals.has(next)) continue;
      arrivals.set(next, {edge, isForward});
      queue.push(next);
    }
  }
  if (!arrivals.has(layers)) return false;
  for (let node = layers; node !== 0;) {
    const {edge, isForward} = arrivals.get(node)!;
    edge.flow += isForward ? 1 : -1;
    node = isForward ? edge.firstLayer : edge.endLayer;
  }
  return true;
}

/** Removes the ranges of one chain from the flow; undefined if none is left. */
function removeChainRanges(
  edges: readonly RangeEdge[],
  layers: number,
): RangeEdge[] | undefined {
  const ranges: RangeEdge[] = [];
  for (let node = 0; node < layers;) {
    const edge = edges.find(e => e.firstLayer === node && e.flow > 0);
    if (!edge) return undefined;
    edge.flow--;
    ranges.push(edge);
    node = edge.endLayer;
  }
  return ranges;
}

/** Removes a holder of each range, with the lowest mismatch to the last one. */
function removeNearestServers(
  ranges: readonly RangeEdge[],
  linkTimeMs: LinkTime,
): EngineServer[] {
  const chain: EngineServer[] = [];
  for (const {servers} of ranges) {
    const before = chain[chain.length - 1];
    let nearest = 0;
    for (let i = 1; before && i < servers.length; i++) {
      const isNearer =
        mismatchMs(before, servers[i], linkTimeMs) <
        mismatchMs(before, servers[nearest], linkTimeMs);
      if (isNearer) nearest = i;
    }
    chain.push(...servers.splice(nearest, 1));
  }
  return chain;
}

/** Link time between two stages plus the difference of their stage times. */
function mismatchMs(
  before: EngineServer,
  after: EngineServer,
  linkTimeMs: LinkTime,
): number {
  return linkTimeMs(before, after) + Math.abs(stageMs(before) - stageMs(after));
}

function stageMs({engine}: EngineServer): number {
  return (engine.endLayer - engine.firstLayer) * engine.layerMs;
}
