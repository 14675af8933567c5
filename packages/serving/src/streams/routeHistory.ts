import type * as configurations from "../configuration.js";
import type * as routeTables from "../routeTable.js";

/** Largest number of former routes that are kept; the oldest is dropped first. */
const MAX_FORMER_ROUTES = 4_096;

/** Services that a route led to before it changed. */
interface FormerRoute {
  readonly host: string;
  readonly pathPrefix: string;
  readonly services: readonly string[];
  /** When it changed, in milliseconds. */
  readonly until: number;
}

/** The services to which routes have led of late, as a stream may have begun before its route changed. */
export class RouteHistory {
  #table: routeTables.RouteTable | undefined;
  #former: FormerRoute[] = [];
  /** All routes since then are known, in milliseconds. */
  #knownSince = Number.POSITIVE_INFINITY;
  /** When a route last changed its services, in milliseconds. */
  #changedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param table - the routes that are in force from now on
   * @param now - current time in milliseconds
   */
  noteInForce(table: routeTables.RouteTable, now: number): void {
    const before = this.#table;
    this.#table = table;
    if (before === undefined) {
      this.#knownSince = now;
      return;
    }
    for (const { host, pathPrefix } of [...before.configuration.routes, ...table.configuration.routes]) {
      const services = servicesOf(before.find(host, pathPrefix));
      const isUnchanged = services.join("\n") === servicesOf(table.find(host, pathPrefix)).join("\n");
      if (isUnchanged) continue;
      this.#former.push({ host, pathPrefix, services, until: now });
      this.#changedAt = now;
    }
    const dropped = this.#former.splice(0, Math.max(0, this.#former.length - MAX_FORMER_ROUTES));
    this.#knownSince = Math.max(this.#knownSince, dropped.at(-1)?.until ?? this.#knownSince);
  }

  /**
   * @param now - current time in milliseconds
   * @returns time for which all routes are known to have led to the services that they lead to now, in milliseconds;
   *   negative if no routes are known
   */
  unchangedMs(now: number): number {
    return now - Math.max(this.#knownSince, this.#changedAt);
  }

  /**
   * Notes what a peer knows that has the same configuration in force.
   *
   * @param since - instant since when no route has changed its services, in milliseconds
   */
  noteUnchanged(since: number): void {
    if (this.#table !== undefined) this.#knownSince = Math.min(this.#knownSince, since);
  }

  /**
   * @param host - host of a request
   * @param path - its path
   * @param since - an instant in milliseconds
   * @returns the services that such requests may have reached since then; undefined if that isn't known
   */
  servicesSince(host: string, path: string, since: number): ReadonlySet<string> | undefined {
    if (this.#table === undefined || this.#knownSince > since) return undefined;
    this.#former = this.#former.filter(({ until }) => until >= since);
    const former = this.#former.filter((route) => route.host === host && path.startsWith(route.pathPrefix));
    return new Set([...servicesOf(this.#table.find(host, path)), ...former.flatMap(({ services }) => services)]);
  }
}

function servicesOf(route: configurations.Route | undefined): string[] {
  const served = (route?.shares ?? []).filter(({ weight }) => weight > 0);
  return served.map(({ service }) => service).sort();
}
