/** Finds the route of a request by its host and longest path prefix. */
import type {Route} from './routing_table.js';

export class RouteIndex {
  private readonly byHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      let prefixes = this.byHost.get(host);
      if (!prefixes) this.byHost.set(host, (prefixes = new Map()));
      prefixes.set(route.pathPrefix, route);
    }
  }

  /**
   * Looks up one prefix for each slash of the path, so the cost does not depend
   * on the number of routes.
   * @param target path and query as in the request line
   */
  find(host: string, target: string): Route | undefined {
    const prefixes = this.byHost.get(stripPort(host.toLowerCase()));
    if (!prefixes) return undefined;
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}

function stripPort(host: string): string {
  const colon = host.lastIndexOf(':');
  return colon > 0 ? host.slice(0, colon) : host;
}
