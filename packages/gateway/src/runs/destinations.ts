import * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import type * as servedRequests from "../servedRequest.js";

/** What {@link destinationsOf} needs of the serving context. */
export type DestinationContext = Pick<
  contexts.ServingContext,
  "client" | "health" | "limits" | "liveDaemons" | "loads" | "settings" | "statements" | "view"
>;

/**
 * @param context - what serving needs
 * @param served - the request of a run
 * @param tokens - tokens that the run holds at most
 * @param coming - number of runs that are being moved to an engine
 * @param now - current instant in milliseconds
 * @returns the engines that may take the run now, by all that is known of them
 */
export function destinationsOf(
  context: DestinationContext,
  served: servedRequests.ServedRequest,
  tokens: number,
  coming: (engineId: string) => number,
  now: number,
): serving.Destination[] {
  const { client, health, limits, loads, settings, statements, view } = context;
  const definition = view.table?.service(served.service);
  const memoryTokens = definition?.engine?.memoryTokens ?? 0;
  const available = view.directory
    .availableEndpoints(served.service)
    .filter((each) => serving.canAnswer(each) && served.mayGoOnAt(each) && !view.isChangingRole(each, now))
    // A limit that lets the request through now may be used up when the run goes on there.
    .filter((each) => statements.gate.waitMs(each, now) === 0 && !limits.enforcer.isLimited(each))
    .filter((each) => client.pathTo(each, now) === serving.EndpointPath.Direct)
    .filter((each) => client.hasRoom(each.id, definition?.maxConnections ?? Infinity, context.liveDaemons()));
  // No probe: a run that has begun doesn't go to an engine that has just declined requests.
  const healthy = available.filter(({ id }) => !health.isUnhealthy(id));
  return (healthy.length > 0 ? healthy : available).map((endpoint) => {
    const comingHere = coming(endpoint.id);
    const running = loads.runningRequests(endpoint.id, now) + comingHere;
    // Where it isn't counted what the requests there hold, each is taken for as much as this one.
    const held =
      settings.memoryBytes === undefined ? running * tokens : loads.heldTokens(endpoint.id, now) + comingHere * tokens;
    return { endpoint, running, freeTokens: memoryTokens - held };
  });
}
