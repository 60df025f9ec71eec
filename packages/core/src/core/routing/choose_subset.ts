/**
 * Bounds the chains a process sends to, so that the number of connections and
 * load reports does not grow with the product of processes and chains.
 */
import type {Chain} from '../wire/messages.js';
import {stableHash} from './stable_hash.js';

export const DEFAULT_SUBSET_SIZE = 12;

export interface SubsetViewer {
  /** Name of the choosing process; each process gets its own subset. */
  readonly node: string;
  readonly availabilityZone: string;
  readonly region: string;
}

export type RegionOfZone = (availabilityZone: string) => string;

/** 0 for the viewer's zone, 1 for its region, 2 for anything else. */
function distanceTo(
  chain: Chain,
  viewer: SubsetViewer,
  regionOf: RegionOfZone,
): number {
  const zone = chain.stages[0].availabilityZone;
  if (zone === viewer.availabilityZone) return 0;
  return regionOf(zone) === viewer.region ? 1 : 2;
}

/**
 * Returns at most `size` chains: those of the viewer's zone first, then of its
 * region, then others, each in the order of their rendezvous hash. A chain that
 * comes or goes changes at most one member.
 */
export function chooseSubset(
  chains: readonly Chain[],
  viewer: SubsetViewer,
  regionOf: RegionOfZone,
  size = DEFAULT_SUBSET_SIZE,
): Chain[] {
  const ranked = chains.map(chain => ({
    chain,
    distance: distanceTo(chain, viewer, regionOf),
    hash: stableHash(`${viewer.node}\0${chain.chain}`),
  }));
  ranked.sort(
    (a, b) =>
      a.distance - b.distance ||
      b.hash - a.hash ||
      (a.chain.chain < b.chain.chain ? -1 : 1),
  );
  return ranked.slice(0, size).map(entry => entry.chain);
}
