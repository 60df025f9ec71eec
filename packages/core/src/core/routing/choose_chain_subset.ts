/**
 * Selects the subset of chains that one process uses, so that the number of
 * connections and load reports does not grow with processes times chains.
 */
import type {Chain} from '../wire/messages.js';
import {stableHash} from './stable_hash.js';

export const DEFAULT_CHAIN_SUBSET_SIZE = 12;

/** The process for which the subset is chosen. */
export interface SubsetOwner {
  /** Name of the process; each process gets a different subset. */
  readonly node: string;
  readonly availabilityZone: string;
  readonly region: string;
}

export type RegionOfZone = (availabilityZone: string) => string;

/** 0 in the owner's availability zone, 1 in its region, otherwise 2. */
function zoneDistance(
  chain: Chain,
  owner: SubsetOwner,
  regionOf: RegionOfZone,
): number {
  const zone = chain.stages[0].availabilityZone;
  if (zone === owner.availabilityZone) return 0;
  return regionOf(zone) === owner.region ? 1 : 2;
}

/**
 * Returns at most `size` chains: first those of the owner's availability zone,
 * then of its region, then others, each ordered by rendezvous hash. So adding
 * or removing a chain changes at most one member of the subset.
 */
export function chooseChainSubset(
  chains: readonly Chain[],
  owner: SubsetOwner,
  regionOf: RegionOfZone,
  size = DEFAULT_CHAIN_SUBSET_SIZE,
): Chain[] {
  const ranked = chains.map(chain => ({
    chain,
    distance: zoneDistance(chain, owner, regionOf),
    hash: stableHash(`${owner.node}\0${chain.chain}`),
  }));
  ranked.sort(
    (a, b) =>
      a.distance - b.distance ||
      b.hash - a.hash ||
      (a.chain.chain < b.chain.chain ? -1 : 1),
  );
  return ranked.slice(0, size).map(entry => entry.chain);
}
