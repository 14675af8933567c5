import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("lives of endpoints that start again under their id");

const LIVES = 3;
const MOST_WORDS = 12;
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
  /** A peer's word that a life is leaving. */
  Departure = "departure",
  Removed = "removed",
  Foreign = "foreign",
}

interface Word {
  readonly kind: Kind;
  readonly bornAt: number;
  readonly revision: number;
}

/** Words with a revision each, and the order in which a daemon hears them; some are heard twice. */
function heard(kinds: readonly Kind[], lives: number): fastCheck.Arbitrary<[words: Word[], order: Word[]]> {
  const word = fastCheck.record({
    kind: fastCheck.constantFrom(...kinds),
    bornAt: fastCheck.integer({ min: 1, max: lives }),
  });
  return fastCheck.array(word, { minLength: 1, maxLength: MOST_WORDS }).chain((list) => {
    const words = list.map((each, index) => ({ ...each, revision: index + 1 }));
    const twice = [...words, ...words];
    return fastCheck.tuple(
      fastCheck.constant(words),
      fastCheck.shuffledSubarray(twice, { minLength: twice.length, maxLength: twice.length }),
    );
  });
}

function takeAll(words: readonly Word[]): serving.EndpointDirectory {
  const directory = new serving.EndpointDirectory();
  for (const { kind, bornAt, revision } of words) {
    if (kind === Kind.Ready) directory.put(endpoint({ bornAt }), revision);
    else if (kind === Kind.Leaving) directory.put(endpoint({ bornAt, leaving: true }), revision);
    else if (kind === Kind.Departure) directory.remove("e1", revision, bornAt);
    else if (kind === Kind.Removed) directory.remove("e1", revision);
    else directory.setAside("e1", revision);
  }
  return directory;
}

// Each daemon hears of an endpoint's lives in another order: from the store, from peers that lag, once more after an
// outage. Whichever way, all must end with the latest life, as that life's newest word says. Else some daemons send
// callers to where nobody is, and others keep them from an endpoint that is there.
suite("words of several lives end in the same belief in any order", () => {
  fastCheck.assert(
    fastCheck.property(heard([Kind.Ready, Kind.Leaving, Kind.Departure], LIVES), ([words, order]) => {
      const latest = Math.max(...words.map(({ bornAt }) => bornAt));
      const newest = words.filter(({ bornAt }) => bornAt === latest).at(-1);
      const directory = takeAll(order);
      assert.is(directory.isAvailable("e1"), newest?.kind === Kind.Ready);
      assert.is(directory.bornAtOf("e1"), latest);
    }),
    { seed: 13, numRuns: RUNS },
  );
});

// Another writer, or the store when a lease ends, says something of an id in between. The highest revision decides.
suite("removals and another writer's entries count by their revision in any order", () => {
  fastCheck.assert(
    fastCheck.property(heard(Object.values(Kind), 1), ([words, order]) => {
      assert.is(takeAll(order).isAvailable("e1"), words.at(-1)?.kind === Kind.Ready);
    }),
    { seed: 14, numRuns: RUNS },
  );
});

// A peer tells, late and at a higher revision, that the former life was leaving. The new one has come to serve.
suite("a departure of a former life removes nothing, one of an unknown later life does", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint({ bornAt: 2 }), 5);
  assert.is(directory.remove("e1", 9, 1), undefined);
  assert.ok(directory.isAvailable("e1"));
  assert.is(directory.remove("e1", 4, 3)?.change, serving.EndpointChange.Gone);
  assert.not.ok(directory.isAvailable("e1"));
});

// A request was sent to the former life's address, where another endpoint answers by now. That says nothing of the new
// life, which is elsewhere; taken for gone, it would get nothing until its next entry.
suite("what another endpoint answers at the former life's address isn't held against the new one", () => {
  const directory = new serving.EndpointDirectory();
  const former = endpoint({ bornAt: 1, role: serving.EngineRole.Decode });
  directory.put(former, 5);
  directory.put(endpoint({ bornAt: 2, address: "10.0.0.2:80", role: serving.EngineRole.Decode }), 6);
  assert.is(directory.markReplaced(former), undefined);
  assert.is(directory.markRoleDeclined(former), undefined);
  assert.ok(directory.isAvailable("e1"));
  assert.not.ok(directory.isSameIncarnation(former));
});

suite("an endpoint that is replaced is told with its start, one whose entry is gone without", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint({ bornAt: 1 }), 5);
  assert.is(directory.markReplaced(endpoint({ bornAt: 1 }))?.leavingBornAt, 1);
  directory.put(endpoint({ bornAt: 1 }), 6);
  assert.is(directory.remove("e1", 7)?.leavingBornAt, undefined);
});

suite("an endpoint that is leaving as it starts again is told as both", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint({ bornAt: 1 }), 5);
  const news = directory.put(endpoint({ bornAt: 2, leaving: true }), 6);
  assert.is(news?.change, serving.EndpointChange.Leaving);
  assert.is(news?.startedAgain, true);
});

suite("one that begins to say its start has started again", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint(), 5);
  assert.is(directory.put(endpoint({ bornAt: 1 }), 4), undefined);
  assert.is(directory.put(endpoint({ bornAt: 1 }), 6)?.change, serving.EndpointChange.Restarted);
});

// Peers counted work at the former life, and this daemon has reads to tell of it. Kept, the new life would look busy,
// and peers would take parts for read that nobody has. Own work ends with its own requests and stays exact.
suite("what is guessed or told of a former life is dropped, own work stays", () => {
  const board = new serving.EngineBoard();
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
  board.hear(
    "peer",
    new Map([
      ["e1", work],
      ["e2", work],
    ]),
    0,
  );
  for (const id of ["e1", "e2"]) board.noteRead(id, 10_000, prompt);
  board.beginRun("e1");
  board.forget("e1");
  assert.is(board.running("e1", 1), 1);
  assert.is(board.tokensAhead("e1", 0, 1), 0);
  assert.is(board.cache("e1", 10_000).cachedTokens(prompt), 0);
  assert.equal(
    board.takeUntoldReads().map((read) => `${read.endpointId} ${read.part.id}`),
    ["e2 shared", "e2 own"],
  );
  assert.is(board.running("e2", 1), 3);
  // The peer's next word takes its former one off: what was dropped must not be taken off twice.
  board.hear("peer", new Map([["e1", work]]), 2);
  assert.is(board.running("e1", 3), 4);
  assert.is(board.running("e2", 3), 0);
});

suite.run();
