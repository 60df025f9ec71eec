/**
 * Upper bound on the streams a second that servers can serve with chains inside
 * availability zones, whatever layout is chosen.
 */
import {
  ADMISSIBLE_CAPACITY_FRACTION,
  IN_ZONE_HOP_MS,
  layersThatFit,
  typicalStreamTokens,
  type BackendServer,
  type ModelSpec,
} from '@azurecrank/forwarding';

/** Number of servers of each kind, in the order of `ServerKind`s. */
type KindCounts = readonly number[];

/** Servers of one accelerator kind, which are alike. */
interface ServerKind {
  readonly server: BackendServer;
  readonly count: number;
  /** Time of one layer for a whole stream with a batch of one. */
  readonly prefillMsPerLayer: number;
  readonly decodeMsPerLayer: number;
}

/** Returns the sum of the bounds of all zones. */
export function maxStreamsPerS(
  model: ModelSpec,
  servers: readonly BackendServer[],
): number {
  const zones = [...new Set(servers.map(s => s.availabilityZone))];
  return zones
    .map(zone => servers.filter(s => s.availabilityZone === zone))
    .reduce((sum, inZone) => sum + zoneBound(model, inZone), 0);
}

/** Tries all ways of dividing the servers of a zone among chains. */
function zoneBound(
  model: ModelSpec,
  servers: readonly BackendServer[],
): number {
  const kinds = kindsByLayerTime(model, servers);
  const all = countsUpTo(kinds.map(({count}) => count));
  const chains = all
    .map(counts => ({counts, perS: chainBound(model, kinds, counts)}))
    .filter(({perS}) => perS > 0);
  const best = new Map<string, number>();
  // In ascending order, so that the rest of each division is known.
  for (const counts of all) {
    let perS = 0;
    for (const chain of chains) {
      const rest = counts.map((count, i) => count - chain.counts[i]);
      if (rest.some(count => count < 0)) continue;
      perS = Math.max(perS, chain.perS + (best.get(rest.join()) ?? 0));
    }
    best.set(counts.join(), perS);
  }
  return Math.max(...best.values());
}

function kindsByLayerTime(
  model: ModelSpec,
  servers: readonly BackendServer[],
): ServerKind[] {
  const promptMs = model.typicalPromptTokens / model.prefillTokensPerMs;
  const responseMs = model.typicalResponseTokens * model.stepMs;
  return [...model.accelerators.values()]
    .flatMap(kind => {
      const alike = servers.filter(s => s.accelerator === kind.name);
      if (alike.length === 0) return [];
      return {
        server: alike[0],
        count: alike.length,
        prefillMsPerLayer: (promptMs * kind.prefillFactor) / model.layers,
        decodeMsPerLayer: (responseMs * kind.decodeFactor) / model.layers,
      };
    })
    .sort((a, b) => layerMs(a, 1) - layerMs(b, 1));
}

function layerMs(kind: ServerKind, batchFactor: number): number {
  return kind.prefillMsPerLayer + batchFactor * kind.decodeMsPerLayer;
}

/** Returns all counts of at most `limits`, in ascending order. */
function countsUpTo(limits: KindCounts): KindCounts[] {
  return limits.reduce<number[][]>(
    (all, limit) =>
      all.flatMap(counts =>
        Array.from({length: limit + 1}, (_, count) => [...counts, count]),
      ),
    [[]],
  );
}

/** Returns the bound of one chain of these servers, for the best capacity. */
function chainBound(
  model: ModelSpec,
  kinds: readonly ServerKind[],
  counts: KindCounts,
): number {
  let bestPerS = 0;
  for (let streams = 1; streams < model.slots; streams++) {
    const durationMs = shortestStreamMs(model, kinds, counts, streams);
    // Capacities between this number of streams and the next count as the next.
    bestPerS = Math.max(bestPerS, (1000 * (streams + 1)) / durationMs);
  }
  return bestPerS;
}

/**
 * Returns the shortest duration of a stream on a chain that holds the KV cache
 * of `streams`; infinite if not all layers fit beside it.
 */
function shortestStreamMs(
  model: ModelSpec,
  kinds: readonly ServerKind[],
  counts: KindCounts,
  streams: number,
): number {
  const tokens =
    (streams * typicalStreamTokens(model)) / ADMISSIBLE_CAPACITY_FRACTION;
  const batchFactor = 1 + (streams * model.stepPerSequenceMs) / model.stepMs;
  const hops = counts.reduce((sum, count) => sum + count, 0);
  let durationMs = hops * IN_ZONE_HOP_MS * model.typicalResponseTokens;
  let layersLeft = model.layers;
  for (const [i, kind] of kinds.entries()) {
    const fitting = counts[i] * layersThatFit(model, kind.server, tokens);
    const layers = Math.min(layersLeft, fitting);
    durationMs += layers * layerMs(kind, batchFactor);
    layersLeft -= layers;
  }
  return layersLeft > 0 ? Infinity : durationMs;
}
