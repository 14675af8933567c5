import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peerBooks from "../src/peerTable.js";

const suite = uvu.suite("what peers say of themselves");

function state(vm: string, heardAt: number, options: Partial<peerBooks.PeerState> = {}): peerBooks.PeerState {
  return {
    vm,
    incarnation: vm,
    dataCentre: "a",
    ready: true,
    active: true,
    deciding: true,
    activeVms: [vm],
    capacity: 1,
    busyCores: 0,
    nextWithinMs: 100,
    configurationRevision: 5,
    storeSilentMs: 100,
    followsClosely: true,
    readingLoad: 0,
    eventsPerMs: 0,
    heardAt,
    ...options,
  };
}

const KNOWN: peerBooks.Known = { configurationRevision: 5, answered: true, followsClosely: true };

const NAMES = ["vm-1", "vm-2", "vm-3", "vm-4"];

/** How daemons look after one that lags behind. */
interface Watch {
  /** Time between two looks, in milliseconds. */
  readonly lookEveryMs?: number;
  /** Daemons whose telling never arrives, though the others hear them. */
  readonly mute?: readonly string[];
  /** Milliseconds for which the key-value service has not answered them. */
  readonly storeSilentMs?: number;
  /** Daemons that know what vm-4 lacks. */
  readonly tellers?: readonly string[];
  /** Whether vm-4 stays behind though it is told. */
  readonly deaf?: boolean;
}

/** What each daemon tells whom while vm-4 lags behind, over three seconds; once told, vm-4 says that it has it. */
function tellings(
  lagging: Partial<peerBooks.PeerState>,
  { lookEveryMs = 100, mute = [], storeSilentMs = 100, tellers = NAMES.slice(0, 3), deaf = false }: Watch = {},
): { teller: string; told: string; at: number }[] {
  const told: { teller: string; told: string; at: number }[] = [];
  const books = tellers.map((vm) => ({ vm, book: new peerBooks.PeerTable(vm) }));
  const known = { ...KNOWN, answered: storeSilentMs < peerBooks.STORE_SILENT_MS };
  for (const { book } of books) book.followInterval(lookEveryMs);
  for (let now = 0; now <= 3_000; now += lookEveryMs) {
    const last = told.length === 0 || deaf ? lagging : { ...lagging, configurationRevision: 5 };
    for (const { vm, book } of books) {
      for (const peer of [...tellers, "vm-4"]) {
        if (peer !== vm) book.hear(state(peer, now, peer === "vm-4" ? last : { storeSilentMs }));
      }
      for (const each of book.toTell(known, now)) {
        if (!mute.includes(vm)) told.push({ teller: vm, told: each.vm, at: now });
      }
    }
  }
  return told;
}

// One daemon is cut off from the key-value service when a configuration changes; the bound for it to be in force
// is two seconds. Its peers tell it, and one of them does, not all.
suite("a daemon that stays behind is told in time, by one peer", () => {
  const told = tellings({ configurationRevision: 4 });
  assert.ok(told.length > 0);
  assert.ok((told[0]?.at ?? 9_999) <= 1_200);
  assert.equal(
    told.map((each) => each.told),
    ["vm-4"],
  );
});

// A daemon that reads seldom relies on its peers, which look once a second in a large fleet. Were it only noted at the
// first look and told at the second, callers would get 404 on an added route for longer than the bound of two seconds.
suite("a daemon that reads seldom is told at the first look", () => {
  const told = tellings({ configurationRevision: 4, followsClosely: false }, { lookEveryMs: 1_000 });
  assert.equal(
    told.map(({ told: vm, at }) => ({ vm, at })),
    [{ vm: "vm-4", at: 0 }],
  );
});

// The peer that is to tell has just died, or doesn't hear the one that is behind; the others still hear it, and each
// of them would stay silent, as the telling is not theirs.
suite("another peer tells when the chosen one doesn't", () => {
  const lagging = { configurationRevision: 4, followsClosely: false };
  const [first] = tellings(lagging, { lookEveryMs: 1_000 });
  const mute = [first?.teller ?? ""];
  const second = tellings(lagging, { lookEveryMs: 1_000, mute });
  assert.equal(
    second.map(({ at }) => at),
    [1_000],
  );
  mute.push(second[0]?.teller ?? "");
  const third = tellings(lagging, { lookEveryMs: 1_000, mute });
  assert.equal(
    third.map(({ at }) => at),
    [2_000],
  );
});

// A configuration spreads in a large fleet. Were each that was just told to stand for the choice too, the telling of the
// others would pass on from one to the next, each time until that one's next look: over three seconds for all of them.
suite("one that was told itself leaves the telling to those that follow closely", () => {
  const behind = { configurationRevision: 4, followsClosely: false };
  const own = { ...KNOWN, followsClosely: false };
  for (const vm of ["vm-1", "vm-2", "vm-3"]) {
    const book = new peerBooks.PeerTable(vm);
    book.hear(state("vm-4", 0, behind));
    book.hear(state("vm-close", 0));
    assert.equal(book.toTell(own, 0), []);
    const alone = new peerBooks.PeerTable(vm);
    alone.hear(state("vm-4", 0, behind));
    assert.is(alone.toTell(own, 0).length, 1);
  }
});

// A configuration changes in a fleet of 79. Those that follow closely read it in the same moment and have heard of nobody
// else who has it: each of the eight told all others, 71 each and their own kind too, with the whole list of
// endpoints. Each daemon read the same document up to eight times, and the tellers' links (10 Mbit/s) and processors
// (a third of a core) were busy with it for seconds while requests waited behind: sixteen reached an engine 0.9 s after
// their callers' time was up (rule GONE on five of seven days). They share the telling out from the start.
suite("a configuration that several read at once is told to each daemon once", () => {
  const close = Array.from({ length: 8 }, (_, index) => `vm-close-${index}`);
  const seldom = Array.from({ length: 71 }, (_, index) => `vm-${index}`);
  const told = close.flatMap((own) => {
    const book = new peerBooks.PeerTable(own);
    const others = close.filter((vm) => vm !== own);
    for (const vm of others) book.hear(state(vm, 0, { configurationRevision: 4 }));
    for (const vm of seldom) book.hear(state(vm, 0, { configurationRevision: 4, followsClosely: false }));
    return book.toTell(KNOWN, 0).map((each) => each.vm);
  });
  assert.equal([...told].sort(), [...seldom].sort());
});

// A daemon is heard and can't be reached. Were more and more to tell it, the whole fleet would send it documents for
// as long as it is cut off.
suite("few tell a daemon that can't be reached", () => {
  const tellers = Array.from({ length: 20 }, (_, index) => `vm-${index + 10}`);
  const told = tellings({ configurationRevision: 4, followsClosely: false }, { tellers, deaf: true });
  assert.is(new Set(told.map((each) => each.teller)).size, 3);
});

// The service is away for all when a daemon starts and is heard by the whole fleet. One peer tells it; were all to do
// so, as none is answered, it would take hundreds of whole documents while it starts.
suite("one peer tells a daemon that starts while the service is away", () => {
  const silent = { storeSilentMs: peerBooks.STORE_SILENT_MS + 1 };
  assert.is(tellings({ configurationRevision: 0, ...silent }, silent).length, 1);
});

// A VM was behind, fell silent and starts again. It is new to its peers: one of them tells it, not each of those that
// had waited in vain before.
suite("a daemon that has started again is waited for anew", () => {
  const book = new peerBooks.PeerTable("vm-1");
  book.hear(state("vm-4", 0, { configurationRevision: 4 }));
  assert.equal(book.toTell(KNOWN, 0), []);
  book.hear(state("vm-4", 5_000, { configurationRevision: 0, incarnation: "after" }));
  assert.equal(book.toTell(KNOWN, 5_000), []);
  book.hear(state("vm-4", 6_000, { configurationRevision: 0, incarnation: "after" }));
  assert.is(book.toTell(KNOWN, 6_000).length, 1);
});

suite("a daemon that the key-value service doesn't answer is told what the endpoints are", () => {
  assert.ok(tellings({ storeSilentMs: peerBooks.STORE_SILENT_MS + 1 }).length > 0);
});

suite("nobody is told what it knows", () => {
  assert.equal(tellings({}), []);
});

// A VM loses power: its entry stays until its lease lapses, but callers must not be sent there for that long.
suite("callers are not sent to a daemon that has fallen silent", () => {
  const book = new peerBooks.PeerTable("vm-1");
  book.hear(state("vm-2", 0));
  book.hear(state("vm-3", 2_000));
  assert.not.ok(book.mayTakeCallers("vm-2", 2_000));
  assert.ok(book.mayTakeCallers("vm-3", 2_000));
  assert.ok(book.mayTakeCallers("vm-never-heard", 2_000));
});

// A daemon that hears nobody is itself cut off; then silence says nothing of the others.
suite("a daemon that hears nobody still names the others", () => {
  const book = new peerBooks.PeerTable("vm-1");
  book.hear(state("vm-2", 0));
  assert.ok(book.mayTakeCallers("vm-2", 60_000));
});

// A daemon reads the key-value service seldom and relies on its peers. A change of the configuration has to reach it
// long before it would read of it itself.
suite("a daemon that reads seldom is told at once", () => {
  const told = tellings({ configurationRevision: 4, followsClosely: false });
  assert.ok((told[0]?.at ?? 9_999) <= 200);
});

suite("the service counts as away when most daemons miss it, not when one does", () => {
  const book = new peerBooks.PeerTable("vm-1");
  book.hear(state("vm-2", 0, { storeSilentMs: 5_000 }));
  book.hear(state("vm-3", 0));
  book.hear(state("vm-4", 0));
  assert.not.ok(book.isStoreUnreachable(0));
  book.hear(state("vm-3", 0, { storeSilentMs: 4_000 }));
  assert.ok(book.isStoreUnreachable(0));
});

suite.run();
