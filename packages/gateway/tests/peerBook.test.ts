import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peerBooks from "../src/peerBook.js";

const suite = uvu.suite("what peers say of themselves");

function state(vm: string, heardAt: number, options: Partial<peerBooks.PeerState> = {}): peerBooks.PeerState {
  return {
    vm,
    incarnation: vm,
    ready: true,
    configurationRevision: 5,
    storeSilentMs: 100,
    followsClosely: true,
    readTokensPerMs: 0,
    heardAt,
    ...options,
  };
}

const NAMES = ["vm-1", "vm-2", "vm-3", "vm-4"];

/** What each daemon tells whom while vm-4 lags behind, over three seconds. */
function tellings(lagging: Partial<peerBooks.PeerState>): { teller: string; told: string; at: number }[] {
  const told: { teller: string; told: string; at: number }[] = [];
  const books = NAMES.slice(0, 3).map((vm) => ({ vm, book: new peerBooks.PeerBook(vm) }));
  for (let now = 0; now <= 3_000; now += 100) {
    for (const { vm, book } of books) {
      for (const peer of NAMES) if (peer !== vm) book.hear(state(peer, now, peer === "vm-4" ? lagging : {}));
      for (const each of book.toTell(5, 100, now)) told.push({ teller: vm, told: each.vm, at: now });
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
  assert.equal([...new Set(told.map((each) => each.told))], ["vm-4"]);
  assert.is(new Set(told.map((each) => each.teller)).size, 1);
});

suite("a daemon that the key-value service doesn't answer is told what the endpoints are", () => {
  assert.ok(tellings({ storeSilentMs: peerBooks.STORE_SILENT_MS + 1 }).length > 0);
});

suite("nobody is told what it knows", () => {
  assert.equal(tellings({}), []);
});

// A VM loses power: its entry stays until its lease lapses, but callers must not be sent there for that long.
suite("callers are not sent to a daemon that has fallen silent", () => {
  const book = new peerBooks.PeerBook("vm-1");
  book.hear(state("vm-2", 0));
  book.hear(state("vm-3", 2_000));
  assert.not.ok(book.mayTakeCallers("vm-2", 2_000));
  assert.ok(book.mayTakeCallers("vm-3", 2_000));
  assert.ok(book.mayTakeCallers("vm-never-heard", 2_000));
});

// A daemon that hears nobody is itself cut off; then silence says nothing of the others.
suite("a daemon that hears nobody still names the others", () => {
  const book = new peerBooks.PeerBook("vm-1");
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
  const book = new peerBooks.PeerBook("vm-1");
  book.hear(state("vm-2", 0, { storeSilentMs: 5_000 }));
  book.hear(state("vm-3", 0));
  book.hear(state("vm-4", 0));
  assert.not.ok(book.storeIsAway(0));
  book.hear(state("vm-3", 0, { storeSilentMs: 4_000 }));
  assert.ok(book.storeIsAway(0));
});

suite.run();
