/** Ranks requests by the priorities of their workspace and route. Pure. */
import {RANKS, type Rank} from '@azurecrank/core';
import type {Route, RoutingTable, Workspace} from './routing_table.js';

export interface RequestUrgency {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly rank: Rank;
}

/** The ranking that a routing table defines. */
export class RequestRanking {
  constructor(readonly table: RoutingTable) {}

  urgencyOf(route: Route, workspace: Workspace | undefined): RequestUrgency {
    const priority = workspace?.priority ?? route.priority;
    const lowest = RANKS.length - 1;
    return {priority, rank: RANKS[Math.min(Math.max(0, priority), lowest)]};
  }
}
