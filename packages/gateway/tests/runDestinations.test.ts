import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleetViews from "../src/fleetView.js";
import * as destinations from "../src/runs/destinations.js";
import type * as servedRequests from "../src/servedRequest.js";

const DECLINED_TIMES = 12;

/** Long after the first probe of an unhealthy engine is due, in milliseconds. */
const PROBE_DUE_AT = 60_000;

const suite = uvu.suite("engines that a run may go to");

function createContext(ids: readonly string[]): destinations.DestinationContext {
  const view = new fleetViews.FleetView();
  const all = { service: "s", dataCentre: "a", slots: 8, role: serving.EngineRole.Decode, leaving: false };
  for (const [index, id] of ids.entries()) view.directory.put({ id, address: `at-${id}`, ...all }, index + 1);
  const fakes = {
    view,
    health: new serving.EndpointHealth(),
    loads: new serving.EngineLoadTracker(),
    client: { pathTo: () => serving.EndpointPath.Direct, hasRoom: () => true },
    limits: { enforcer: { isLimited: () => false } },
    statements: { gate: { waitMs: () => 0 } },
    settings: { memoryBytes: undefined },
    liveDaemons: () => 1,
  };
  return fakes as unknown as destinations.DestinationContext;
}

const SERVED = { service: "s", mayGoOnAt: () => true } as unknown as servedRequests.ServedRequest;

function idsOf(context: destinations.DestinationContext): string[] {
  return destinations
    .destinationsOf(context, SERVED, 100, () => 0, PROBE_DUE_AT)
    .map(({ endpoint }) => endpoint.id)
    .sort();
}

// The choice of engines for new requests probes an unhealthy one now and then, and chooses it alone then: a run that was
// moved went to an engine that had declined all requests, though others were healthy.
suite("none that is unhealthy, also when its probe is due, and the probe is left to a new request", () => {
  const context = createContext(["e1", "e2", "e3"]);
  for (let count = 0; count < DECLINED_TIMES; count++)
    context.health.recordResult("e1", serving.SendResult.Declined, 0);
  assert.ok(context.health.isUnhealthy("e1"));
  assert.equal(idsOf(context), ["e2", "e3"]);
  const endpoints = context.view.directory.availableEndpoints("s");
  assert.equal(
    context.health.selectUsable(endpoints, false, PROBE_DUE_AT).map(({ id }) => id),
    ["e1"],
  );
});

suite("all of them if none is healthy", () => {
  const context = createContext(["e1"]);
  for (let count = 0; count < DECLINED_TIMES; count++)
    context.health.recordResult("e1", serving.SendResult.Declined, 0);
  assert.equal(idsOf(context), ["e1"]);
});

suite.run();
