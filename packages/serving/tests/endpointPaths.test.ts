import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const { Direct, None, Peer } = serving.EndpointPath;
const SERVICE = "s";
const ENDPOINTS = ["e1", "e2", "e3"].map((id) => ({ id, service: SERVICE }));
const [E1, E2, E3] = ENDPOINTS as [serving.PathTarget, serving.PathTarget, serving.PathTarget];

const suite = uvu.suite("paths to endpoints");

/** Paths to three endpoints, all of which have sent data until 1,000 ms. */
function createPaths(): serving.EndpointPaths {
  const paths = new serving.EndpointPaths();
  for (const endpoint of ENDPOINTS) paths.noteReceived(endpoint, 1_000);
  return paths;
}

function pathsTo(paths: serving.EndpointPaths, now: number, hasOpenConnection = false): serving.EndpointPath[] {
  return ENDPOINTS.map((endpoint) => paths.pathTo(endpoint, hasOpenConnection, now));
}

suite("an endpoint that can't be connected to is reached through a peer, the others directly", () => {
  const paths = createPaths();
  paths.noteReceived(E2, 1_300);
  paths.noteConnectFailed(E1, 1_100, 1_450);
  assert.equal(pathsTo(paths, 1_450), [Peer, Direct, Direct]);
});

// Each request would wait for a connection to each endpoint in turn.
suite("two failures with no data from the service send requests to its other endpoints through peers, too", () => {
  const paths = createPaths();
  paths.noteConnectFailed(E1, 1_100, 1_450);
  paths.noteConnectFailed(E2, 1_110, 1_460);
  assert.equal(pathsTo(paths, 1_460, true), [Peer, Peer, Peer]);
  assert.ok(paths.isLinkLost(ENDPOINTS));
});

suite("data from one endpoint shows that the link to its service lives", () => {
  const paths = createPaths();
  paths.noteConnectFailed(E1, 1_100, 1_450);
  paths.noteConnectFailed(E2, 1_110, 1_460);
  paths.noteReceived(E3, 1_470);
  assert.equal(pathsTo(paths, 1_480), [Peer, Peer, Direct]);
  assert.not(paths.isLinkLost(ENDPOINTS));
});

suite("another service is judged by itself", () => {
  const paths = createPaths();
  paths.noteConnectFailed(E1, 1_100, 1_450);
  paths.noteConnectFailed(E2, 1_110, 1_460);
  assert.is(paths.pathTo({ id: "p1", service: "plain" }, false, 1_460), Direct);
});

// Kept connections live on while new ones are refused.
suite("a kept connection is used if data has come over it since the loss", () => {
  const paths = createPaths();
  paths.noteConnectFailed(E1, 1_100, 1_101);
  paths.noteReceived(E1, 1_200);
  assert.is(paths.pathTo(E1, true, 1_300), Direct);
  assert.is(paths.pathTo(E1, false, 1_300), Peer);
});

// Callers must not wait for endpoints that nobody reaches, and the daemon's link is not at fault.
suite("an endpoint that peers don't reach either gets nothing until it is due for a try", () => {
  const paths = createPaths();
  for (const endpoint of ENDPOINTS) {
    paths.noteConnectFailed(endpoint, 1_100, 1_450);
    paths.notePeerResult(endpoint, false, 1_460);
    paths.notePeerResult(endpoint, false, 1_470);
  }
  assert.equal(pathsTo(paths, 1_500), [None, None, None]);
  assert.not(paths.isCutOff(ENDPOINTS));
  const retryInMs = paths.retryInMs(E1, 1_500);
  assert.ok(retryInMs > 0);
  assert.is(paths.pathTo(E1, false, 1_500 + retryInMs), Peer);
  paths.claimRetry(E1, 1_500 + retryInMs);
  assert.is(paths.pathTo(E1, false, 1_500 + retryInMs), None);
});

suite("connection attempts that fail at the same time don't make an endpoint unreachable", () => {
  const paths = createPaths();
  for (let attempt = 0; attempt < 5; attempt++) paths.noteConnectFailed(E1, 1_100, 1_101);
  assert.is(paths.pathTo(E1, false, 1_102), Peer);
});

suite("a daemon is cut off from a service if it connects to no endpoint of it and a peer reaches one", () => {
  const paths = createPaths();
  for (const endpoint of ENDPOINTS) paths.noteConnectFailed(endpoint, 1_100, 1_450);
  assert.not(paths.isCutOff(ENDPOINTS));
  paths.notePeerResult(E2, true, 1_500);
  assert.ok(paths.isCutOff(ENDPOINTS));
  paths.noteConnected(E3, 1_600);
  assert.not(paths.isCutOff(ENDPOINTS));
});

suite("after the first path has returned, the others are probed at once", () => {
  const paths = createPaths();
  for (const endpoint of ENDPOINTS) paths.noteConnectFailed(endpoint, 1_100, 1_450);
  assert.is(paths.takeDueProbes(1_500).length, 0);
  assert.is(paths.takeDueProbes(2_000).length, 2);
  paths.noteConnected(E1, 2_010);
  assert.equal(
    paths
      .takeDueProbes(2_010)
      .map(({ id }) => id)
      .sort(),
    ["e2", "e3"],
  );
});

// Callers would be moved each second.
suite("a path that flaps stays with the peers for longer each time", () => {
  const paths = createPaths();
  let now = 1_100;
  const holds: number[] = [];
  for (let flap = 0; flap < 4; flap++) {
    paths.noteConnectFailed(E1, now, now + 10);
    paths.notePeerResult(E1, true, now + 20);
    const lostAt = now;
    while (paths.noteConnected(E1, now) === undefined) now += 100;
    holds.push(now - lostAt);
    now += 500;
  }
  assert.equal(holds, [0, 2_000, 4_000, 8_000]);
});

/** Anything that can be observed of a path. */
const EVENTS = fastCheck.array(
  fastCheck.record({
    kind: fastCheck.constantFrom("received", "connected", "failed", "reached", "unreached", "probe", "claim"),
    endpoint: fastCheck.integer({ min: 0, max: 2 }),
    afterMs: fastCheck.integer({ min: 0, max: 800 }),
  }),
  { maxLength: 60 },
);

suite("whatever is observed: only failed connections take a path away, and a connection brings it back", () => {
  fastCheck.assert(
    fastCheck.property(EVENTS, (events) => {
      const paths = createPaths();
      const failed = new Set<string>();
      let now = 1_000;
      for (const { kind, endpoint: index, afterMs } of events) {
        now += afterMs;
        const endpoint = ENDPOINTS[index] ?? E1;
        if (kind === "received") paths.noteReceived(endpoint, now);
        else if (kind === "failed") {
          failed.add(endpoint.id);
          paths.noteConnectFailed(endpoint, now - 1, now);
        } else if (kind === "connected") {
          if (paths.noteConnected(endpoint, now) !== undefined) failed.delete(endpoint.id);
        } else if (kind === "reached" || kind === "unreached") paths.notePeerResult(endpoint, kind === "reached", now);
        else if (kind === "claim") paths.claimRetry(endpoint, now);
        else for (const target of paths.takeDueProbes(now)) assert.ok(failed.has(target.id));
        if (failed.size === 0) assert.equal(pathsTo(paths, now), [Direct, Direct, Direct]);
        if (failed.size < 2) assert.not(paths.isLinkLost(ENDPOINTS));
        if (paths.isCutOff(ENDPOINTS)) assert.ok(paths.isLinkLost(ENDPOINTS));
        for (const each of ENDPOINTS) if (failed.has(each.id)) assert.is.not(paths.pathTo(each, false, now), Direct);
      }
      // However it flapped, connections that succeed bring all paths back.
      now += 60_000;
      for (const endpoint of ENDPOINTS) paths.noteConnected(endpoint, now);
      assert.equal(pathsTo(paths, now), [Direct, Direct, Direct]);
      assert.not(paths.hasLost);
    }),
    { seed: 43, numRuns: 2_000 },
  );
});

suite.run();
