import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("incarnations of endpoints that restart under their id");

const INCARNATIONS = 3;
const MAX_UPDATES = 12;
const RUNS = 400;

function endpoint(options: Partial<serving.Endpoint> = {}): serving.Endpoint {
  return {
    id: "e1",
    service: "labels",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 6,
    role: serving.EngineRole.None,
    leaving: false,
    ...options,
  };
}

enum Kind {
  Ready = "ready",
  Leaving = "leaving",
  /** A peer's message that an incarnation is leaving. */
  Departure = "departure",
  Removed = "removed",
  Foreign = "foreign",
}

interface Update {
  readonly kind: Kind;
  readonly bornAt: number;
  readonly revision: number;
}

/** Updates with a revision each, and the order in which a daemon receives them; each is received twice. */
function updatesInAnyOrder(
  kinds: readonly Kind[],
  incarnations: number,
): fastCheck.Arbitrary<[updates: Update[], order: Update[]]> {
  const update = fastCheck.record({
    kind: fastCheck.constantFrom(...kinds),
    bornAt: fastCheck.integer({ min: 1, max: incarnations }),
  });
  return fastCheck.array(update, { minLength: 1, maxLength: MAX_UPDATES }).chain((list) => {
    const updates = list.map((each, index) => ({ ...each, revision: index + 1 }));
    const twice = [...updates, ...updates];
    return fastCheck.tuple(
      fastCheck.constant(updates),
      fastCheck.shuffledSubarray(twice, { minLength: twice.length, maxLength: twice.length }),
    );
  });
}

function applyAll(updates: readonly Update[]): serving.EndpointDirectory {
  const directory = new serving.EndpointDirectory();
  for (const { kind, bornAt, revision } of updates) {
    if (kind === Kind.Ready) directory.put(endpoint({ bornAt }), revision);
    else if (kind === Kind.Leaving) directory.put(endpoint({ bornAt, leaving: true }), revision);
    else if (kind === Kind.Departure) directory.remove("e1", revision, bornAt);
    else if (kind === Kind.Removed) directory.remove("e1", revision);
    else directory.setAside("e1", revision);
  }
  return directory;
}

// Each daemon receives the updates of an endpoint's incarnations in another order: from the store, from lagging peers,
// again after an outage. All must end with the newest update of the latest incarnation. Otherwise some daemons would
// send callers to an address where nothing runs, and others would send none to an endpoint that is available.
suite("updates of several incarnations lead to the same state in any order", () => {
  fastCheck.assert(
    fastCheck.property(
      updatesInAnyOrder([Kind.Ready, Kind.Leaving, Kind.Departure], INCARNATIONS),
      ([updates, order]) => {
        const latest = Math.max(...updates.map(({ bornAt }) => bornAt));
        const newest = updates.filter(({ bornAt }) => bornAt === latest).at(-1);
        const directory = applyAll(order);
        assert.is(directory.isAvailable("e1"), newest?.kind === Kind.Ready);
        assert.is(directory.bornAtOf("e1"), latest);
      },
    ),
    { seed: 13, numRuns: RUNS },
  );
});

// Another writer writes the entry of an id, or the store removes it when a lease ends. The highest revision decides.
suite("removals and foreign entries count by their revision in any order", () => {
  fastCheck.assert(
    fastCheck.property(updatesInAnyOrder(Object.values(Kind), 1), ([updates, order]) => {
      assert.is(applyAll(order).isAvailable("e1"), updates.at(-1)?.kind === Kind.Ready);
    }),
    { seed: 14, numRuns: RUNS },
  );
});

// A peer reports, late and at a higher revision, that the previous incarnation is leaving. The new one is available.
suite("the departure of a previous incarnation removes nothing, that of an unknown later one does", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint({ bornAt: 2 }), 5);
  assert.is(directory.remove("e1", 9, 1), undefined);
  assert.ok(directory.isAvailable("e1"));
  assert.is(directory.remove("e1", 4, 3)?.change, serving.EndpointChange.Gone);
  assert.not.ok(directory.isAvailable("e1"));
});

// A request was sent to the previous incarnation's address, where another endpoint now answers. This does not concern
// the new incarnation at its own address; if it were removed, it would get no requests until its next entry.
suite("another endpoint's answer at the previous incarnation's address does not affect the new incarnation", () => {
  const directory = new serving.EndpointDirectory();
  const previous = endpoint({ bornAt: 1, role: serving.EngineRole.Decode });
  directory.put(previous, 5);
  directory.put(endpoint({ bornAt: 2, address: "10.0.0.2:80", role: serving.EngineRole.Decode }), 6);
  assert.is(directory.markReplaced(previous), undefined);
  assert.is(directory.markRoleDeclined(previous), undefined);
  assert.ok(directory.isAvailable("e1"));
  assert.not.ok(directory.isSameIncarnation(previous));
});

suite("the update of a replaced endpoint states its start, that of a removed entry does not", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint({ bornAt: 1 }), 5);
  assert.is(directory.markReplaced(endpoint({ bornAt: 1 }))?.leavingBornAt, 1);
  directory.put(endpoint({ bornAt: 1 }), 6);
  assert.is(directory.remove("e1", 7)?.leavingBornAt, undefined);
});

suite("the update of an endpoint that restarts as leaving states both", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint({ bornAt: 1 }), 5);
  const update = directory.put(endpoint({ bornAt: 2, leaving: true }), 6);
  assert.is(update?.change, serving.EndpointChange.Leaving);
  assert.is(update?.startedAgain, true);
});

suite("an endpoint whose entries begin to state a start has restarted", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint(), 5);
  assert.is(directory.put(endpoint({ bornAt: 1 }), 4), undefined);
  assert.is(directory.put(endpoint({ bornAt: 1 }), 6)?.change, serving.EndpointChange.Restarted);
});

// Peers counted work of the previous incarnation, and this daemon has not yet sent its reads to them. If both were kept,
// the new incarnation would look busy, and peers would assume cached parts that it does not have. This daemon's own work
// ends with its own requests and stays exact.
suite("predicted and received state of a previous incarnation is dropped, own work stays", () => {
  const loads = new serving.EngineLoadTracker();
  const prompt = {
    model: "m",
    parts: [
      { id: "shared", tokens: 500 },
      { id: "own", tokens: 100 },
    ],
    promptTokens: 600,
    outputTokens: 10,
  };
  const work = { unread: [900], running: 3 };
  loads.updatePeerWork(
    "peer",
    new Map([
      ["e1", work],
      ["e2", work],
    ]),
    0,
  );
  for (const id of ["e1", "e2"]) loads.noteCachedPrompt(id, 10_000, prompt);
  loads.beginRequest("e1");
  loads.forget("e1");
  assert.is(loads.runningRequests("e1", 1), 1);
  assert.is(loads.tokensAhead("e1", 0, 1), 0);
  assert.is(loads.cache("e1", 10_000).cachedTokens(prompt), 0);
  assert.equal(
    loads.takeUnsentReads().map((read) => `${read.endpointId} ${read.part.id}`),
    ["e2 shared", "e2 own"],
  );
  assert.is(loads.runningRequests("e2", 1), 3);
  // The peer's next update replaces its previous one: what was dropped must not be subtracted twice.
  loads.updatePeerWork("peer", new Map([["e1", work]]), 2);
  assert.is(loads.runningRequests("e1", 3), 4);
  assert.is(loads.runningRequests("e2", 3), 0);
});

suite.run();
