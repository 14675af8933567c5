import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peerTables from "../src/peerTable.js";

const suite = uvu.suite("peer table");

function state(vm: string, lastReceivedAt: number, options: Partial<peerTables.PeerState> = {}): peerTables.PeerState {
  return {
    vm,
    incarnation: vm,
    dataCentre: "a",
    ready: true,
    active: true,
    dispatching: true,
    cutOff: false,
    linkLost: false,
    activeVms: [vm],
    capacity: 1,
    busyCores: 0,
    nextWithinMs: 100,
    configurationRevision: 5,
    storeSilentMs: 100,
    followsClosely: true,
    readingLoad: 0,
    eventsPerMs: 0,
    lastReceivedAt,
    ...options,
  };
}

const SENDER: peerTables.SenderState = { configurationRevision: 5, storeAnswers: true, followsClosely: true };

const NAMES = ["vm-1", "vm-2", "vm-3", "vm-4"];

/** Conditions while vm-4 is behind. */
interface Scenario {
  /** Time between two checks, in milliseconds. */
  readonly checkEveryMs?: number;
  /** Daemons whose news never arrives, although the others receive their heartbeats. */
  readonly failingSenders?: readonly string[];
  /** Milliseconds for which the key-value service has not answered the senders. */
  readonly storeSilentMs?: number;
  /** Daemons that have what vm-4 lacks. */
  readonly senders?: readonly string[];
  /** Whether vm-4 stays behind although news is sent to it. */
  readonly staysBehind?: boolean;
}

/**
 * The news that daemons send within three seconds while vm-4 is behind. Once it has received news, vm-4 reports the new
 * revision.
 */
function sentUpdates(
  lagging: Partial<peerTables.PeerState>,
  {
    checkEveryMs = 100,
    failingSenders = [],
    storeSilentMs = 100,
    senders = NAMES.slice(0, 3),
    staysBehind = false,
  }: Scenario = {},
): { sender: string; receiver: string; at: number }[] {
  const sent: { sender: string; receiver: string; at: number }[] = [];
  const tables = senders.map((vm) => ({ vm, table: new peerTables.PeerTable(vm) }));
  const sender = { ...SENDER, storeAnswers: storeSilentMs < peerTables.STORE_SILENT_MS };
  for (const { table } of tables) table.setHeartbeatInterval(checkEveryMs);
  for (let now = 0; now <= 3_000; now += checkEveryMs) {
    const last = sent.length === 0 || staysBehind ? lagging : { ...lagging, configurationRevision: 5 };
    for (const { vm, table } of tables) {
      for (const peer of [...senders, "vm-4"]) {
        if (peer !== vm) table.record(state(peer, now, peer === "vm-4" ? last : { storeSilentMs }));
      }
      for (const each of table.selectReceivers(sender, now)) {
        if (!failingSenders.includes(vm)) sent.push({ sender: vm, receiver: each.vm, at: now });
      }
    }
  }
  return sent;
}

// A daemon is cut off from the key-value service when a configuration changes, which must be in force within two
// seconds. One of its peers sends it the configuration, not all of them.
suite("a daemon that stays behind is sent news in time, by one peer", () => {
  const sent = sentUpdates({ configurationRevision: 4 });
  assert.ok(sent.length > 0);
  assert.ok((sent[0]?.at ?? 9_999) <= 1_200);
  assert.equal(
    sent.map((each) => each.receiver),
    ["vm-4"],
  );
});

// A daemon that rarely reads relies on its peers, which check once a second in a large fleet. If it were only noted at
// the first check and sent news at the second, callers would get 404 on an added route for longer than the limit of two
// seconds.
suite("a daemon that rarely reads is sent news at the first check", () => {
  const sent = sentUpdates({ configurationRevision: 4, followsClosely: false }, { checkEveryMs: 1_000 });
  assert.equal(
    sent.map(({ receiver: vm, at }) => ({ vm, at })),
    [{ vm: "vm-4", at: 0 }],
  );
});

// The chosen sender has just died, or doesn't receive heartbeats from the daemon that is behind. The other daemons
// still receive them, and would all rely on the chosen sender.
suite("another peer sends news when the chosen one doesn't", () => {
  const lagging = { configurationRevision: 4, followsClosely: false };
  const [first] = sentUpdates(lagging, { checkEveryMs: 1_000 });
  const failingSenders = [first?.sender ?? ""];
  const second = sentUpdates(lagging, { checkEveryMs: 1_000, failingSenders });
  assert.equal(
    second.map(({ at }) => at),
    [1_000],
  );
  failingSenders.push(second[0]?.sender ?? "");
  const third = sentUpdates(lagging, { checkEveryMs: 1_000, failingSenders });
  assert.equal(
    third.map(({ at }) => at),
    [2_000],
  );
});

// A configuration spreads in a large fleet. If daemons that have just received it took part in the choice of senders,
// the remaining receivers would be reassigned from one sender to the next, each time until its next check: over three
// seconds for all of them.
suite("a daemon that was sent news itself leaves sending to the close followers", () => {
  const behind = { configurationRevision: 4, followsClosely: false };
  const own = { ...SENDER, followsClosely: false };
  for (const vm of ["vm-1", "vm-2", "vm-3"]) {
    const table = new peerTables.PeerTable(vm);
    table.record(state("vm-4", 0, behind));
    table.record(state("vm-close", 0));
    assert.equal(table.selectReceivers(own, 0), []);
    const alone = new peerTables.PeerTable(vm);
    alone.record(state("vm-4", 0, behind));
    assert.is(alone.selectReceivers(own, 0).length, 1);
  }
});

// In a fleet of 79, the close followers read a changed configuration at the same moment, before any heartbeat showed
// that another one had it. Each of the eight sent it to all 71 other daemons and to the other close followers, with the
// whole list of endpoints. Every daemon read the same document up to eight times, and the senders' links (10 Mbit/s)
// and processors (a third of a core) were busy for seconds while requests waited: sixteen reached an engine 0.9 s after
// their deadline (rule GONE on five of seven days). So they divide the receivers from the start.
suite("a configuration that several daemons read at once is sent to each daemon once", () => {
  const closeFollowers = Array.from({ length: 8 }, (_, index) => `vm-close-${index}`);
  const rareReaders = Array.from({ length: 71 }, (_, index) => `vm-${index}`);
  const sent = closeFollowers.flatMap((own) => {
    const table = new peerTables.PeerTable(own);
    const others = closeFollowers.filter((vm) => vm !== own);
    for (const vm of others) table.record(state(vm, 0, { configurationRevision: 4 }));
    for (const vm of rareReaders) table.record(state(vm, 0, { configurationRevision: 4, followsClosely: false }));
    return table.selectReceivers(SENDER, 0).map((each) => each.vm);
  });
  assert.equal([...sent].sort(), [...rareReaders].sort());
});

// A daemon's heartbeats arrive but it can't be reached. If more and more daemons sent to it, the whole fleet would send
// it documents for as long as it is cut off.
suite("few daemons send to one that can't be reached", () => {
  const senders = Array.from({ length: 20 }, (_, index) => `vm-${index + 10}`);
  const sent = sentUpdates({ configurationRevision: 4, followsClosely: false }, { senders, staysBehind: true });
  assert.is(new Set(sent.map((each) => each.sender)).size, 3);
});

// The key-value service is unreachable for all when a daemon starts, and the whole fleet receives its heartbeats. If
// all daemons sent it news because none is answered, it would get hundreds of whole documents during its start.
suite("one peer sends news to a daemon that starts while the service is unreachable", () => {
  const silent = { storeSilentMs: peerTables.STORE_SILENT_MS + 1 };
  assert.is(sentUpdates({ configurationRevision: 0, ...silent }, silent).length, 1);
});

// A VM was behind, fell silent and restarts. It is new to its peers: one of them sends it news, not each of those that
// had waited for it before.
suite("the grace period of a daemon starts again after its restart", () => {
  const table = new peerTables.PeerTable("vm-1");
  table.record(state("vm-4", 0, { configurationRevision: 4 }));
  assert.equal(table.selectReceivers(SENDER, 0), []);
  table.record(state("vm-4", 5_000, { configurationRevision: 0, incarnation: "after" }));
  assert.equal(table.selectReceivers(SENDER, 5_000), []);
  table.record(state("vm-4", 6_000, { configurationRevision: 0, incarnation: "after" }));
  assert.is(table.selectReceivers(SENDER, 6_000).length, 1);
});

suite("a daemon that the key-value service doesn't answer is sent the endpoints", () => {
  assert.ok(sentUpdates({ storeSilentMs: peerTables.STORE_SILENT_MS + 1 }).length > 0);
});

suite("no daemon is sent what it already has", () => {
  assert.equal(sentUpdates({}), []);
});

// A VM loses power. Its entry exists until its lease expires, but callers must not be sent there for that long.
suite("callers are not sent to a daemon that has become silent", () => {
  const table = new peerTables.PeerTable("vm-1");
  table.record(state("vm-2", 0));
  table.record(state("vm-3", 2_000));
  assert.not.ok(table.mayTakeCallers("vm-2", 2_000));
  assert.ok(table.mayTakeCallers("vm-3", 2_000));
  assert.ok(table.mayTakeCallers("vm-never-heard", 2_000));
});

// A daemon that receives no heartbeats is itself cut off, so the silence says nothing about the others.
suite("a daemon that receives no heartbeats still names the others to callers", () => {
  const table = new peerTables.PeerTable("vm-1");
  table.record(state("vm-2", 0));
  assert.ok(table.mayTakeCallers("vm-2", 60_000));
});

// A daemon that rarely reads the key-value service relies on its peers. A configuration change has to reach it long
// before it would read the change itself.
suite("a daemon that rarely reads is sent news at once", () => {
  const sent = sentUpdates({ configurationRevision: 4, followsClosely: false });
  assert.ok((sent[0]?.at ?? 9_999) <= 200);
});

suite("the service counts as unreachable when most daemons get no answer, not when one does", () => {
  const table = new peerTables.PeerTable("vm-1");
  table.record(state("vm-2", 0, { storeSilentMs: 5_000 }));
  table.record(state("vm-3", 0));
  table.record(state("vm-4", 0));
  assert.not.ok(table.isStoreUnreachable(0));
  table.record(state("vm-3", 0, { storeSilentMs: 4_000 }));
  assert.ok(table.isStoreUnreachable(0));
});

suite.run();
