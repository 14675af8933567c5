import * as configurations from "./configuration.js";
import * as access from "./organisations/access.js";

/** Finds the route of a request, by host and longest path prefix. */
export class RouteTable {
  readonly configuration: configurations.Configuration;
  readonly organisations: access.OrganisationDirectory;
  readonly #byHost = new Map<string, Map<string, configurations.Route>>();
  readonly #services = new Map<string, configurations.Service>();

  /** @param configuration - the configuration in force */
  constructor(configuration: configurations.Configuration) {
    this.configuration = configuration;
    this.organisations = new access.OrganisationDirectory(configuration.organisations);
    for (const service of configuration.services) this.#services.set(service.name, service);
    for (const route of configuration.routes) {
      const byPrefix = this.#byHost.get(route.host) ?? new Map<string, configurations.Route>();
      byPrefix.set(route.pathPrefix, route);
      this.#byHost.set(route.host, byPrefix);
    }
  }

  /**
   * Looks up each prefix of the path that ends with a slash, longest first, so
   * that the cost depends on the depth of the path and not on the number of routes.
   *
   * @param host - host as the caller sent it, in lower case and without a port
   * @param path - the path, without the query
   * @returns the route, if there is one
   */
  find(host: string, path: string): configurations.Route | undefined {
    const byPrefix = this.#byHost.get(host);
    if (byPrefix === undefined) return undefined;
    for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
      const route = byPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) break;
    }
    return undefined;
  }

  /**
   * @param name - name of the service
   * @returns its definition, if the configuration has it
   */
  service(name: string): configurations.Service | undefined {
    return this.#services.get(name);
  }
}

/**
 * Picks a service of a route at random, weighted by the shares.
 *
 * @param route - the route
 * @param draw - a uniform random number in [0, 1)
 * @returns the service; undefined if the route has no shares
 */
export function drawService(route: configurations.Route, draw: number): string | undefined {
  const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let remaining = draw * totalWeight;
  for (const share of route.shares) {
    remaining -= share.weight;
    if (remaining < 0) return share.service;
  }
  return route.shares.at(-1)?.service;
}
