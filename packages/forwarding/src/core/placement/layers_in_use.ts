import type {ServerId} from '@azurecrank/core';
import type {LayerRange} from '../fleet/backend_server.js';
import type {ServerChain} from '../paths/find_chains.js';
import {hull} from './redivide.js';

/** Layers of servers that requests pass through. */
export type LayersInUse = ReadonlyMap<ServerId, LayerRange>;

/**
 * Requests that began on a chain have mostly ended after this time: an answer
 * takes some 3 s on the sheets of the users.
 */
const ENDED_MS = 4000;

/** What the chains use of each of their servers. */
export function usedByChains(
  chains: readonly ServerChain[],
): Map<ServerId, LayerRange> {
  return new Map(
    chains.flatMap(({path}) =>
      path.map(({server, firstLayer, endLayer}): [ServerId, LayerRange] => [
        server.server,
        {firstLayer, endLayer},
      ]),
    ),
  );
}

/**
 * Remembers the chains that requests were sent to: they keep using their
 * layers after new requests take other chains.
 */
export class LayersInUseRecord {
  private current: LayersInUse = new Map();
  private past: Array<{used: LayersInUse; untilMs: number}> = [];

  note(chains: readonly ServerChain[], nowMs: number): void {
    this.past.push({used: this.current, untilMs: nowMs + ENDED_MS});
    this.current = usedByChains(chains);
    this.expire(nowMs);
  }

  /** Everything that may still be in use. */
  since(nowMs: number): LayersInUse {
    this.expire(nowMs);
    const all = new Map(this.current);
    for (const {used} of this.past) {
      for (const [server, range] of used) {
        all.set(server, hull(all.get(server), range));
      }
    }
    return all;
  }

  private expire(nowMs: number): void {
    this.past = this.past.filter(({untilMs}) => untilMs > nowMs);
  }
}
