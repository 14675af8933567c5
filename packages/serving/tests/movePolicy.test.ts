import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("which runs of a leaving engine are moved");

const RUN: serving.LeavingRun = {
  startedAt: 0,
  remainingMs: 20_000,
  events: 10,
  expectedEvents: 110,
  pauseMs: 50,
  isResumable: true,
  tokens: 1_000,
  isExcluded: false,
  isMoving: false,
};

function engine(id: string, dataCentre = "a", slots = 4): serving.Endpoint {
  const role = serving.EngineRole.Decode;
  return { id, service: "s", address: id, dataCentre, slots, role, leaving: false, softwareVersion: "v1" };
}

// A move costs its caller a pause: a run that ends by itself in time is left alone.
suite("only those that would not end in the time left", () => {
  assert.equal(serving.chooseRunsToMove([RUN], 2_000), [RUN]);
  assert.equal(serving.chooseRunsToMove([RUN], 5_000), []);
  assert.equal(serving.chooseRunsToMove([{ ...RUN, events: 105 }], 2_000), []);
});

suite("those of which nothing is known count as long ones", () => {
  const unknown = [
    { ...RUN, expectedEvents: undefined },
    { ...RUN, pauseMs: undefined },
  ];
  assert.is(serving.chooseRunsToMove(unknown, 2_000).length, 2);
});

suite("the oldest first, and two at a time", () => {
  const runs = [30, 10, 20].map((startedAt) => ({ ...RUN, startedAt }));
  const startedAt = (chosen: readonly serving.LeavingRun[]): number[] => chosen.map((run) => run.startedAt);
  assert.equal(startedAt(serving.chooseRunsToMove(runs, 2_000)), [10, 20]);
  assert.equal(startedAt(serving.chooseRunsToMove([...runs, { ...RUN, isMoving: true }], 2_000)), [10]);
});

suite("none that can't go on, has no time left, or may have been stopped; none once the engine is out of time", () => {
  const unsuited = [
    { ...RUN, isResumable: false },
    { ...RUN, remainingMs: 100 },
    { ...RUN, isExcluded: true },
  ];
  assert.equal(serving.chooseRunsToMove(unsuited, 2_000), []);
  assert.equal(serving.chooseRunsToMove([RUN], 0), []);
});

suite("a destination has a slot and memory, and is near and little occupied", () => {
  const source = engine("source");
  const choose = (...destinations: serving.Destination[]): string | undefined =>
    serving.chooseDestination(RUN, source, destinations)?.id;
  const near = { endpoint: engine("near"), running: 2, freeTokens: 5_000 };
  const idle = { endpoint: engine("idle"), running: 0, freeTokens: 5_000 };
  const far = { endpoint: engine("far", "b"), running: 0, freeTokens: 5_000 };
  assert.is(choose(near, idle, far), "idle");
  assert.is(choose(near, far), "near");
  assert.is(choose({ ...near, running: 4 }, far), "far");
  assert.is(choose({ ...near, freeTokens: 999 }), undefined);
  assert.is(choose({ ...idle, endpoint: source }), undefined);
});

suite("the events of a stream are expected by the requested output, once enough streams have ended", () => {
  const demand = new serving.Demand();
  assert.is(demand.expectedEvents(130), undefined);
  for (let stream = 0; stream < 100; stream++) demand.learnEvents(130, 10);
  assert.ok(Math.abs((demand.expectedEvents(650) ?? 0) - 50) < 1);
});

suite.run();
