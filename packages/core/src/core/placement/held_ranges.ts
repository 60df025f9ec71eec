/** Groups servers that already hold layers into chains without any loading. */
import {
  compareIds,
  rangeKey,
  type EngineServer,
  type LayerRange,
  type LinkTime,
} from './placement_types.js';

interface RangeEdge extends LayerRange {
  readonly servers: EngineServer[];
  /** Chains that use this range. */
  flow: number;
}

/**
 * Returns as many chains as the ranges permit. Layer boundaries are the nodes
 * of a graph and ranges its edges, with the number of their holders as
 * capacity; the largest number of chains is the maximum flow from 0 to the last
 * layer. Within the chosen ranges, each chain takes near servers of similar
 * speed.
 */
export function groupHeldRanges(
  holders: readonly EngineServer[],
  layers: number,
  links: LinkTime,
): EngineServer[][] {
  const edges = collectEdges(holders);
  while (augment(edges, layers)) {
    // Each round adds one chain.
  }
  const groups: EngineServer[][] = [];
  for (;;) {
    const path = takePath(edges, layers);
    if (!path) return groups;
    groups.push(takeServers(path, links));
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
  readonly forward: boolean;
}

/** Finds one more chain by breadth-first search and adds it to the flow. */
function augment(edges: readonly RangeEdge[], layers: number): boolean {
  const arrivals = new Map<number, Arrival>();
  const queue = [0];
  for (let node = queue.shift(); node !== undefined; node = queue.shift()) {
    for (const edge of edges) {
      const forward = edge.firstLayer === node;
      const usable = forward
        ? edge.flow < edge.servers.length
        : edge.endLayer === node && edge.flow > 0;
      const next = forward ? edge.endLayer : edge.firstLayer;
      if (!usable || next === 0 || arrivals.has(next)) continue;
      arrivals.set(next, {edge, forward});
      queue.push(next);
    }
  }
  if (!arrivals.has(layers)) return false;
  for (let node = layers; node !== 0;) {
    const {edge, forward} = arrivals.get(node)!;
    edge.flow += forward ? 1 : -1;
    node = forward ? edge.firstLayer : edge.endLayer;
  }
  return true;
}

function takePath(
  edges: readonly RangeEdge[],
  layers: number,
): RangeEdge[] | undefined {
  const path: RangeEdge[] = [];
  for (let node = 0; node < layers;) {
    const edge = edges.find(e => e.firstLayer === node && e.flow > 0);
    if (!edge) return undefined;
    edge.flow--;
    path.push(edge);
    node = edge.endLayer;
  }
  return path;
}

function takeServers(
  path: readonly RangeEdge[],
  links: LinkTime,
): EngineServer[] {
  const chain: EngineServer[] = [];
  for (const {servers} of path) {
    const before = chain[chain.length - 1];
    let nearest = 0;
    for (let i = 1; before && i < servers.length; i++) {
      const isNearer =
        mismatchMs(before, servers[i], links) <
        mismatchMs(before, servers[nearest], links);
      if (isNearer) nearest = i;
    }
    chain.push(...servers.splice(nearest, 1));
  }
  return chain;
}

/** Link time plus the difference of the times of the two stages. */
function mismatchMs(
  before: EngineServer,
  after: EngineServer,
  links: LinkTime,
): number {
  return links(before, after) + Math.abs(stageMs(before) - stageMs(after));
}

function stageMs({engine}: EngineServer): number {
  return (engine.endLayer - engine.firstLayer) * engine.layerMs;
}
