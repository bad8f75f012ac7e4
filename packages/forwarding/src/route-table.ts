/** Finds the route of a request by host and longest path prefix. */
import type { Route } from './route.js';

/** All routes of one configuration. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      let prefixes = this.byHost.get(host);
      if (prefixes === undefined) {
        prefixes = new Map();
        this.byHost.set(host, prefixes);
      }
      prefixes.set(route.pathPrefix, route);
    }
  }

  /**
   * Returns the route of a request; undefined if none matches.
   *
   * @param host Value of the Host header; a port is ignored.
   * @param target Request target; its query is ignored.
   */
  match(host: string, target: string): Route | undefined {
    const prefixes = this.byHost.get(withoutPort(host).toLowerCase());
    if (prefixes === undefined) return undefined;
    const queryStart = target.indexOf('?');
    const path = queryStart < 0 ? target : target.slice(0, queryStart);
    // Prefixes end with a slash, so only the path's own slashes are candidates.
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
    }
    return undefined;
  }
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, '');
}
