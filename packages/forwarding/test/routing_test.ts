import {describe, it} from 'node:test';
import {
  RANKS,
  type Rank,
  type ServiceId,
  type WorkspaceId,
} from '@azurecrank/core';
import {
  RequestRanking,
  RouteIndex,
  acceptRequest,
  pickService,
  type CallerMetadata,
  type Route,
} from '@azurecrank/forwarding';
import {expect} from 'earl';

function route(pathPrefix: string, options: Partial<Route> = {}): Route {
  return {
    name: pathPrefix,
    host: 'shop.example',
    pathPrefix,
    kind: 'idempotent',
    timeoutMs: 1000,
    latencyTargetMs: 100,
    maxAttempts: 2,
    priority: 1,
    allowsAnonymous: false,
    isResumable: false,
    pauseTargetMs: 0,
    services: [{service: 'desk' as ServiceId, weight: 1}],
    ...options,
  };
}

const METADATA: CallerMetadata = {
  request: 'r1',
  deadlineMs: 1000,
  key: 'k1',
  lastEventId: undefined,
  promptTokens: 0,
  maxAnswerTokens: 0,
  expectedAnswerTokens: undefined,
  sharedPromptParts: [],
};

describe('RouteIndex', () => {
  const index = new RouteIndex([route('/a/'), route('/a/b/'), route('/c/')]);
  const find = (target: string, host = 'shop.example') =>
    index.find(host, target)?.name;

  it('finds the longest matching prefix of the host', () => {
    expect(find('/a/b/c')).toEqual('/a/b/');
    expect(find('/a/x')).toEqual('/a/');
    expect(find('/a/b')).toEqual('/a/');
  });

  it('ignores the query, the port and the case of the host', () => {
    expect(find('/c/?next=/a/b/', 'SHOP.example:80')).toEqual('/c/');
  });

  it('finds no route for other paths and hosts', () => {
    expect(find('/d/')).toEqual(undefined);
    expect(find('/a/', 'other.example')).toEqual(undefined);
  });
});

describe('acceptRequest', () => {
  const table = {
    version: 1,
    routes: [],
    services: new Map(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces: new Map([
      ['k1', {workspace: 'w1' as WorkspaceId, priority: undefined}],
    ]),
  };
  const index = new RouteIndex([
    route('/a/'),
    route('/open/', {allowsAnonymous: true}),
  ]);
  const decide = (target: string, metadata: Partial<CallerMetadata> = {}) => {
    const all = {...METADATA, ...metadata};
    const view = {table, index, ranking: new RequestRanking(table)};
    const result = acceptRequest(view, 'shop.example', target, all);
    return result.kind === 'accepted' ? 'accepted' : result.refusal.reason;
  };

  it('refuses with distinct reasons without table, route or valid key', () => {
    const none = acceptRequest(undefined, 'shop.example', '/a/', METADATA);
    expect(none.kind === 'refused' && none.refusal.reason).toEqual('starting');
    expect(decide('/x/')).toEqual('unknown_path');
    expect(decide('/a/', {key: 'other'})).toEqual('unauthorized');
    expect(decide('/a/', {key: undefined})).toEqual('unauthorized');
    expect(decide('/a/')).toEqual('accepted');
  });

  it('requires no key on a route that allows anonymous callers', () => {
    expect(decide('/open/', {key: undefined})).toEqual('accepted');
  });

  // A revoked key must not go on working, whatever the route.
  it('refuses an unknown key on a route that allows anonymous callers', () => {
    expect(decide('/open/', {key: 'other'})).toEqual('unauthorized');
    expect(decide('/open/')).toEqual('accepted');
  });
});

/** Guards against urgent routes being served least (incident 6). */
describe('RequestRanking', () => {
  const ROUTES = [0, 1, 2].map(priority =>
    route(`/${priority}/`, {kind: 'stream', priority}),
  );

  /** Ranks of the routes for a key of a workspace with this priority. */
  function ranksIn(workspacePriorities: number[], priority?: number): Rank[] {
    const workspaces = new Map(
      workspacePriorities.map(p => [
        `k${p}`,
        {workspace: `w${p}` as WorkspaceId, priority: p},
      ]),
    );
    const ranking = new RequestRanking({
      version: 1,
      routes: ROUTES,
      services: new Map(),
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
      workspaces,
    });
    const workspace = workspaces.get(`k${priority}`);
    return ROUTES.map(r => ranking.urgencyOf(r, workspace).rank);
  }

  it('ranks by route if all workspaces have the same priority', () => {
    expect(ranksIn([1], 1)).toEqual(['urgent', 'ordinary', 'overnight']);
  });

  it('ranks by workspace before route', () => {
    const indexOf = (rank: Rank) => RANKS.indexOf(rank);
    const high = ranksIn([0, 1], 0).map(indexOf);
    const low = ranksIn([0, 1], 1).map(indexOf);
    expect(Math.max(...high)).toBeLessThanOrEqual(Math.min(...low));
    expect(high[0]).toBeLessThan(low[2]);
  });
});

describe('pickService', () => {
  it('follows the weights of the services', () => {
    const split = route('/a/', {
      services: [
        {service: 'old' as ServiceId, weight: 90},
        {service: 'new' as ServiceId, weight: 10},
      ],
    });
    let toNew = 0;
    for (let i = 0; i < 2000; i++) {
      if (pickService(split, `request-${i}`) === 'new') toNew++;
    }
    expect(toNew).toBeGreaterThan(140);
    expect(toNew).toBeLessThan(260);
  });
});
