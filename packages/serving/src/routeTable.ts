import * as configurations from "./configuration.js";

/** Finds a request's route, by host and longest path prefix. */
export class RouteTable {
  readonly configuration: configurations.Configuration;
  readonly #byHost = new Map<string, Map<string, configurations.Route>>();
  readonly #services = new Map<string, configurations.Service>();

  /** @param configuration - the configuration in force */
  constructor(configuration: configurations.Configuration) {
    this.configuration = configuration;
    for (const service of configuration.services) this.#services.set(service.name, service);
    for (const route of configuration.routes) {
      const prefixes = this.#byHost.get(route.host) ?? new Map<string, configurations.Route>();
      prefixes.set(route.pathPrefix, route);
      this.#byHost.set(route.host, prefixes);
    }
  }

  /**
   * Looks up each prefix of the path that ends with a slash, longest first, so
   * that the cost follows the path's depth and not the number of routes.
   *
   * @param host - host as the caller named it, in lower case and without a port
   * @param path - the path, without the query
   * @returns the route, if there is one
   */
  find(host: string, path: string): configurations.Route | undefined {
    const prefixes = this.#byHost.get(host);
    if (prefixes === undefined) return undefined;
    for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) break;
    }
    return undefined;
  }

  /**
   * @param name - the service
   * @returns its definition, if the configuration has it
   */
  service(name: string): configurations.Service | undefined {
    return this.#services.get(name);
  }
}

/**
 * @param route - the route
 * @param draw - a uniform number in [0, 1)
 * @returns the service that the draw falls on, by the shares' weights
 */
export function drawService(route: configurations.Route, draw: number): string | undefined {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let rest = draw * total;
  for (const share of route.shares) {
    rest -= share.weight;
    if (rest < 0) return share.service;
  }
  return route.shares.at(-1)?.service;
}
