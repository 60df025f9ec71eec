/** Decides whether a request may be served, from its head alone. Pure. */
import {
  refuse,
  type Refusal,
  type RefusalReason,
  type Step,
} from '@azurecrank/core';
import type {CallerFacts} from '../adapter/wire_codec.js';
import type {RouteIndex} from '../routing/route_index.js';
import type {Route, RoutingTable, Workspace} from '../routing/routing_table.js';

export interface RoutingView {
  readonly table: RoutingTable;
  readonly index: RouteIndex;
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
  facts: CallerFacts,
): Acceptance {
  if (!view) return refused('starting', 'accept');
  if (facts.request === '') {
    return refused('invalid_request', 'accept', 'the request has no id');
  }
  const route = view.index.find(host, target);
  if (!route) return refused('unknown_path', 'route');
  const {workspaces} = view.table;
  const workspace =
    facts.key === undefined ? undefined : workspaces?.get(facts.key);
  const needsKey = workspaces !== undefined && !route.allowsAnonymous;
  if (needsKey && !workspace) return refused('unauthorized', 'accept');
  return {kind: 'accepted', route, workspace};
}

function refused(
  reason: RefusalReason,
  step: Step,
  detail?: string,
): Acceptance {
  return {kind: 'refused', refusal: refuse(reason, step, {detail})};
}
