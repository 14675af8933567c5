import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "../src/index.js";
import * as coreHarness from "./helpers/coreHarness.js";
import * as documents from "./helpers/documents.js";

const VMS = ["vm-1", "vm-2", "vm-3"];
const SETTLE_MS = 3000;
const RUNS = { numRuns: 120, seed: 20261202, endOnFailure: true };

function startDaemons(seed: number): coreHarness.CoreHarness {
  const harness = new coreHarness.CoreHarness(seed);
  harness.configure(documents.PLAIN_TEAM, "leoben");
  for (const vm of VMS) harness.start(vm);
  harness.run(SETTLE_MS);
  return harness;
}

function executionsOf(harness: coreHarness.CoreHarness, key: string): number {
  return harness.executions.filter((execution) => execution.key === key).length;
}

/** A key none of whose deliveries was answered, and each of which was told "not run", must not have run. */
function assertWordsAreTrue(harness: coreHarness.CoreHarness): void {
  for (const word of harness.words) {
    if (word.outcome !== "not-run") continue;
    const ran = harness.executions.some((execution) => execution.request === word.request);
    assert.not(ran, `${word.request} was told not-run but ran`);
  }
}

const atMostOnce = uvu.suite("at most once");

/*
 * A caller sends the same label print to three daemons at once, and later
 * again. The claims race in the key-value service; one write's reply is lost.
 * One delivery runs the call, the others get its answer, since all of them
 * meet at the daemon that the claim names.
 */
atMostOnce("duplicates at several daemons run once and get the same answer", () => {
  const harness = startDaemons(7);
  harness.faults = { ...harness.faults, lostReply: 0.1 };
  for (let index = 0; index < 40; index++) {
    for (const vm of VMS) harness.send(vm, documents.plainCall(`${vm}-${index}`, `key-${index}`));
    harness.run(30);
  }
  harness.run(12_000);
  for (let index = 0; index < 40; index++) assert.ok(executionsOf(harness, `key-${index}`) <= 1);
  assert.is(harness.words.length, 120);
  assert.ok(harness.words.filter((word) => word.outcome === "answered").length >= 100);
});

/*
 * Daemons are killed and started anew, paused, and cut from the key-value
 * service at any step: before the claim, after it, after the dispatch, after
 * the answer. Replies and writes are lost. Whatever the callers of a key are
 * told, its call has run at most once, and who was told "not run" was told so
 * by the daemon that would have run it.
 */
atMostOnce("no interleaving of kills, pauses, outages and losses runs a key twice", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 1, max: 1e9 }),
      fastCheck.array(
        fastCheck.record({
          what: fastCheck.constantFrom("send", "send", "send", "send", "kill", "pause", "outage", "back"),
          vm: fastCheck.integer({ min: 0, max: 2 }),
          key: fastCheck.integer({ min: 0, max: 4 }),
          waitMs: fastCheck.integer({ min: 0, max: 200 }),
        }),
        { minLength: 10, maxLength: 40 },
      ),
      (seed, steps) => {
        const harness = startDaemons(seed);
        harness.faults = { lostReply: 0.1, lostWrite: 0.05, endpointLost: 0.1, endpointRefuses: 0.2, lateOrder: 0 };
        steps.forEach((step, index) => {
          const vm = VMS[step.vm] ?? "vm-1";
          if (step.what === "send") harness.send(vm, documents.plainCall(`request-${index}`, `key-${step.key}`));
          if (step.what === "kill") harness.start(vm);
          if (step.what === "pause") harness.pause(vm, 4000);
          if (step.what === "outage") harness.keyValueDown = true;
          if (step.what === "back") harness.keyValueDown = false;
          harness.run(step.waitMs);
        });
        harness.keyValueDown = false;
        harness.run(20_000);
        for (let key = 0; key <= 4; key++) assert.ok(executionsOf(harness, `key-${key}`) <= 1);
        assertWordsAreTrue(harness);
      },
    ),
    RUNS,
  );
});

/*
 * The key-value service is down when a label print arrives. The caller is told
 * at once that it was not run and when to come back. After the outage the same
 * key runs, once.
 */
atMostOnce("an outage refuses at once, and the key runs after it", () => {
  const harness = startDaemons(3);
  harness.keyValueDown = true;
  harness.send("vm-1", documents.plainCall("first", "key"));
  harness.run(200);
  const [word] = harness.words;
  assert.is(word?.outcome, "not-run");
  assert.is(word?.problem?.kind, "key-value-unavailable");
  assert.ok((word?.problem?.retryAfterMs ?? 0) > 0);
  harness.keyValueDown = false;
  harness.run(SETTLE_MS);
  harness.send("vm-2", documents.plainCall("second", "key"));
  harness.run(SETTLE_MS);
  assert.is(harness.words.at(-1)?.outcome, "answered");
  assert.is(executionsOf(harness, "key"), 1);
});

/*
 * The daemon that ran the call is killed before its answer comes. A duplicate
 * at another daemon finds the claim and is told that the outcome is unknown: a
 * second run could print a second manifest.
 */
atMostOnce("a duplicate after the claimant died is told that the outcome is unknown", () => {
  const harness = startDaemons(5);
  harness.onDispatched = (vm) => {
    harness.after(1, () => {
      harness.kill(vm);
    });
  };
  harness.send("vm-1", documents.plainCall("first", "key"));
  harness.run(SETTLE_MS);
  harness.onDispatched = () => undefined;
  harness.send("vm-2", documents.plainCall("second", "key"));
  harness.run(10_000);
  const word = harness.words.find((candidate) => candidate.request === "second");
  assert.is(word?.outcome, "unknown");
  assert.is(executionsOf(harness, "key"), 1);
});

/*
 * A caller uses a key again for another label. It is refused, since an answer
 * to the first label would pass for one to the second.
 */
atMostOnce("the same key with another body is refused", () => {
  const harness = startDaemons(9);
  harness.send("vm-1", documents.plainCall("first", "key", "one"));
  harness.run(SETTLE_MS);
  harness.send("vm-1", documents.plainCall("second", "key", "two"));
  harness.send("vm-2", documents.plainCall("third", "key", "two"));
  harness.run(SETTLE_MS);
  for (const request of ["second", "third"]) {
    const word = harness.words.find((candidate) => candidate.request === request);
    assert.is(word?.problem?.kind, "idempotency-key-reused");
  }
  assert.is(executionsOf(harness, "key"), 1);
});

/*
 * A daemon's clock counts fractions of a millisecond, and a difference of two
 * such times is not always the whole number that was added. Duplicates then got
 * "unknown" at once, as the call to the daemon that runs their key was not made.
 */
atMostOnce("a duplicate's wait is asked for in whole milliseconds", () => {
  const harness = startDaemons(15);
  for (let index = 0; index < 60; index++) {
    harness.run(1 / 3);
    for (const vm of VMS) harness.send(vm, documents.plainCall(`${vm}-${index}`, `key-${index}`));
  }
  harness.run(SETTLE_MS);
  assert.ok(harness.words.every((word) => word.outcome === "answered"));
});

/*
 * The endpoints refuse a label print, and the caller is told "not run". It comes
 * again at two other daemons at once. Both find the first daemon's claim and
 * ask there; one is let run the call, the other is sent to it for the answer.
 */
atMostOnce("a key that never ran is ceded to one asker only", () => {
  const harness = startDaemons(13);
  harness.faults = { ...harness.faults, endpointRefuses: 1 };
  harness.send("vm-1", documents.plainCall("first", "key"));
  harness.run(SETTLE_MS);
  assert.is(harness.words[0]?.outcome, "not-run");
  harness.faults = { ...harness.faults, endpointRefuses: 0 };
  harness.send("vm-2", documents.plainCall("second", "key"));
  harness.send("vm-3", documents.plainCall("third", "key"));
  harness.run(SETTLE_MS);
  assert.is(executionsOf(harness, "key"), 1);
  assert.equal(
    harness.words.slice(1).map((word) => word.outcome),
    ["answered", "answered"],
  );
});

atMostOnce.run();

const claimBook = uvu.suite("claim book");

claimBook("a claim whose write has an unknown outcome is settled by reading back", () => {
  const book = new core.ClaimTable("writer");
  const claim = { key: "key", digest: "d", vm: "vm-1", incarnation: "one", attempt: "a" };
  book.request(claim);
  const [read] = book.nextCommands(100, 0);
  assert.is(read?.kind, "read");
  book.onRead(core.ClaimTable.partitionOf("key"), []);
  const [write] = book.nextCommands(100, 0);
  assert.is(write?.kind, "write");
  book.onWritten({ outcome: core.TransactionOutcome.Unknown, revision: 0 });
  assert.equal(book.takeAnswers(), []);
  const puts = write?.kind === "write" ? write.transaction.puts : [];
  const records = puts.map(({ key, value }) => ({ key, value, createRevision: 5, modRevision: 5 }));
  assert.is(book.nextCommands(200, 0)[0]?.kind, "read");
  book.onRead(core.ClaimTable.partitionOf("key"), records);
  assert.is(book.takeAnswers()[0]?.verdict, core.ClaimVerdict.Granted);
});

claimBook.run();
