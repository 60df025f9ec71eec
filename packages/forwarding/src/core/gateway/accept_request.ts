/** Routes and authorizes a request by its target and headers alone. Pure. */
import {
  refuse,
  type Refusal,
  type RefusalReason,
  type RequestStep,
} from '@azurecrank/core';
import type {CallerMetadata} from '../adapter/platform_adapter.js';
import type {RequestRanking} from '../routing/request_ranking.js';
import type {RouteIndex} from '../routing/route_index.js';
import type {Route, RoutingTable, Workspace} from '../routing/routing_table.js';

/** The routing table in force with what is derived from it. */
export interface RoutingView {
  readonly table: RoutingTable;
  readonly index: RouteIndex;
  readonly ranking: RequestRanking;
}

export type Acceptance =
  | {
      readonly kind: 'accepted';
      readonly route: Route;
      readonly workspace: Workspace | undefined;
    }
  | {readonly kind: 'refused'; readonly refusal: Refusal};

export function acceptRequest(
  view: RoutingView | undefined,
  host: string,
  target: string,
  metadata: CallerMetadata,
): Acceptance {
  if (!view) return createRefusal('starting', 'accept');
  if (metadata.request === '') {
    return createRefusal('invalid_request', 'accept', 'request id is missing');
  }
  const route = view.index.find(host, target);
  if (!route) return createRefusal('unknown_path', 'route');
  const {workspaces} = view.table;
  const workspace =
    metadata.key === undefined ? undefined : workspaces?.get(metadata.key);
  const isAnonymous = metadata.key === undefined && route.allowsAnonymous;
  if (workspaces && !workspace && !isAnonymous)
    return createRefusal('unauthorized', 'accept');
  return {kind: 'accepted', route, workspace};
}

function createRefusal(
  reason: RefusalReason,
  step: RequestStep,
  detail?: string,
): Acceptance {
  return {kind: 'refused', refusal: refuse(reason, step, {detail})};
}
