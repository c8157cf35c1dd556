/** Finds the route of a call: the longest path prefix of its host. */
import { getOrCreate } from '../core/utilities.js';
import type { Route } from '../types/gateway.js';
import type { ServiceName } from '../types/ids.js';

/** The routes of one configuration, indexed by host. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    routes.forEach((route) => {
      getOrCreate(this.byHost, route.host, () => new Map()).set(route.prefix, route);
    });
  }

  /**
   * Returns the route of a path, or `undefined` if there is none.
   *
   * @example
   * table.find('yard.example', '/orders/new/17'); // '/orders/new/' takes precedence over '/orders/'
   */
  find(host: string, path: string): Route | undefined {
    const prefixes = this.byHost.get(host);
    if (!prefixes) {
      return undefined;
    }
    // Each prefix ends with a slash, so only the parts of the path up to a slash can match.
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) {
        return route;
      }
      if (end === 0) {
        break;
      }
    }
    return undefined;
  }
}

/**
 * Chooses a service of a route by weight.
 *
 * @param random in [0, 1)
 */
export function chooseService(route: Route, random: number): ServiceName | undefined {
  const total = route.split.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let remaining = random * total;
  const chosen = route.split.find(({ weight }) => {
    remaining -= Math.max(0, weight);
    return remaining < 0;
  });
  return (chosen ?? route.split.at(-1))?.service;
}
