/** Ranks requests by the priorities of their workspace and route. Pure. */
import {RANKS, type Rank} from '@azurecrank/core';
import type {Route, RoutingTable, Workspace} from './routing_table.js';

export interface RequestUrgency {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly rank: Rank;
}

/**
 * Priorities of a class of requests. That of the workspace takes precedence,
 * that of the route decides between requests of equal workspace priority.
 */
interface PriorityPair {
  /** The priority of the route if the workspace has none. */
  readonly workspacePriority: number;
  readonly routePriority: number;
}

/** The ranking that a routing table defines for streams, which are queued. */
export class RequestRanking {
  /** All pairs of the table, the most urgent first. */
  private readonly order: readonly PriorityPair[];
  /** Index of the first pair that gets a rank of its own. */
  private readonly firstOwnRank: number;

  constructor(table: RoutingTable) {
    const workspaceCounts = countWorkspacesByPriority(table);
    const routePriorities = new Set(
      table.routes
        .filter(({kind}) => kind === 'stream')
        .map(({priority}) => priority),
    );
    this.order = sortPairs(
      [...routePriorities].flatMap(routePriority =>
        // Callers without a workspace have the priority of the route alone.
        [routePriority, ...workspaceCounts.keys()].map(workspacePriority => ({
          workspacePriority,
          routePriority,
        })),
      ),
    );
    const common = mostCommonPriority(workspaceCounts);
    const index = this.order.findIndex(
      pair => pair.workspacePriority === common,
    );
    this.firstOwnRank = Math.max(0, index);
  }

  /**
   * There may be more pairs than ranks. Those of the most common workspace
   * priority get distinct ranks, so that the routes of most callers are told
   * apart; the others share the highest and the lowest rank.
   */
  urgencyOf(route: Route, workspace: Workspace | undefined): RequestUrgency {
    const pair = {
      workspacePriority: workspace?.priority ?? route.priority,
      routePriority: route.priority,
    };
    const ahead = this.order.filter(other => compare(other, pair) < 0).length;
    const lowest = RANKS.length - 1;
    const index = Math.min(Math.max(0, ahead - this.firstOwnRank), lowest);
    return {priority: ahead, rank: RANKS[index]};
  }
}

function compare(a: PriorityPair, b: PriorityPair): number {
  return (
    a.workspacePriority - b.workspacePriority ||
    a.routePriority - b.routePriority
  );
}

/** Returns the distinct pairs, the most urgent first. */
function sortPairs(pairs: readonly PriorityPair[]): PriorityPair[] {
  return [...pairs]
    .sort(compare)
    .filter((pair, i, all) => i === 0 || compare(all[i - 1], pair) !== 0);
}

/** Returns the number of workspaces that have each priority. */
function countWorkspacesByPriority({
  workspaces,
}: RoutingTable): Map<number, number> {
  const priorities = new Map(
    [...(workspaces?.values() ?? [])].map(w => [w.workspace, w.priority]),
  );
  const counts = new Map<number, number>();
  for (const priority of priorities.values()) {
    if (priority === undefined) continue;
    counts.set(priority, (counts.get(priority) ?? 0) + 1);
  }
  return counts;
}

function mostCommonPriority(
  counts: ReadonlyMap<number, number>,
): number | undefined {
  const [first] = [...counts].sort(
    ([aPriority, a], [bPriority, b]) => b - a || aPriority - bPriority,
  );
  return first?.[0];
}
