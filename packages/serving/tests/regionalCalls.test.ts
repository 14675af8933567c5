import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("calls of plain services in several regions");

const SLOTS = 6;

function endpoint(id: string, dataCentre: string, running: number): serving.CallEndpoint<serving.Endpoint> {
  return {
    endpoint: { id, dataCentre } as serving.Endpoint,
    slots: SLOTS,
    running,
    limit: SLOTS,
    serviceMs: 86,
    networkMs: 0,
  };
}

const dataCentres = { a1: "a", a2: "a", b1: "b" };
const several = serving.distancesBetweenRegions({ dataCentre: "a1", dataCentres });
const idsOf = (endpoints: readonly serving.CallEndpoint<serving.Endpoint>[]): string[] =>
  endpoints.map((each) => each.endpoint.id);

// Guards against calls that go to an idle endpoint 12 ms away while an endpoint of the region would answer as fast.
suite("a call stays in its region as long as an endpoint there has a free slot", () => {
  const endpoints = [
    endpoint("near", "a1", SLOTS),
    endpoint("neighbour", "a2", SLOTS - 1),
    endpoint("remote", "b1", 0),
  ];
  assert.equal(idsOf(serving.preferOwnRegion(several, endpoints)), ["neighbour"]);
});

// Guards against calls that wait in a full region while another one is idle.
suite("a call may leave a region whose endpoints are all full", () => {
  const endpoints = [endpoint("near", "a1", SLOTS), endpoint("neighbour", "a2", SLOTS), endpoint("remote", "b1", 0)];
  assert.equal(idsOf(serving.preferOwnRegion(several, endpoints)), ["near", "neighbour", "remote"]);
});

suite("with one region all endpoints are candidates", () => {
  const endpoints = [endpoint("near", "a1", 0), endpoint("neighbour", "a2", 0)];
  assert.is(serving.preferOwnRegion(undefined, endpoints), endpoints);
});

suite.run();
