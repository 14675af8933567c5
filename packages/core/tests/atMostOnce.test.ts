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

/** Asserts that no request whose caller got "not-run" was executed. */
function assertNotRunResults(harness: coreHarness.CoreHarness): void {
  for (const result of harness.callerResults) {
    if (result.outcome !== "not-run") continue;
    const ran = harness.executions.some((execution) => execution.request === result.request);
    assert.not(ran, `${result.request} was told not-run but ran`);
  }
}

const atMostOnce = uvu.suite("at most once");

/*
 * A caller sends the same label print to three daemons at the same time. The
 * claims race in the key-value service, and some write replies are lost. One
 * request runs the call; the others join it at the daemon that the claim names
 * and get its answer.
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
  assert.is(harness.callerResults.length, 120);
  assert.ok(harness.callerResults.filter((result) => result.outcome === "answered").length >= 100);
});

/*
 * Daemons are killed, restarted, paused and cut off from the key-value service
 * at any step: before the claim, after it, after the dispatch, after the
 * answer. Replies and writes are lost. Whatever the callers of a key are told,
 * its call runs at most once, and a request answered with "not run" has not run:
 * only the daemon that would have run it gives that answer.
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
        assertNotRunResults(harness);
      },
    ),
    RUNS,
  );
});

/*
 * The key-value service is down when a label print arrives. The caller is told
 * immediately that it was not run and when to retry. After the outage the same
 * key runs once.
 */
atMostOnce("a request during an outage is refused immediately, and its key runs afterwards", () => {
  const harness = startDaemons(3);
  harness.keyValueDown = true;
  harness.send("vm-1", documents.plainCall("first", "key"));
  harness.run(200);
  const [result] = harness.callerResults;
  assert.is(result?.outcome, "not-run");
  assert.is(result?.problem?.kind, "key-value-unavailable");
  assert.ok((result?.problem?.retryAfterMs ?? 0) > 0);
  harness.keyValueDown = false;
  harness.run(SETTLE_MS);
  harness.send("vm-2", documents.plainCall("second", "key"));
  harness.run(SETTLE_MS);
  assert.is(harness.callerResults.at(-1)?.outcome, "answered");
  assert.is(executionsOf(harness, "key"), 1);
});

/*
 * The daemon that ran the call is killed before the answer arrives. A duplicate
 * at another daemon finds the claim and is told that the outcome is unknown,
 * since a second run could print a second label.
 */
atMostOnce("a duplicate after the claimant crashed is told that the outcome is unknown", () => {
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
  const result = harness.callerResults.find((candidate) => candidate.request === "second");
  assert.is(result?.outcome, "unknown");
  assert.is(executionsOf(harness, "key"), 1);
});

/*
 * A caller reuses a key for another label. The request is refused, since the
 * answer for the first label would be taken for that of the second.
 */
atMostOnce("the same key with another body is refused", () => {
  const harness = startDaemons(9);
  harness.send("vm-1", documents.plainCall("first", "key", "one"));
  harness.run(SETTLE_MS);
  harness.send("vm-1", documents.plainCall("second", "key", "two"));
  harness.send("vm-2", documents.plainCall("third", "key", "two"));
  harness.run(SETTLE_MS);
  for (const request of ["second", "third"]) {
    const result = harness.callerResults.find((candidate) => candidate.request === request);
    assert.is(result?.problem?.kind, "idempotency-key-reused");
  }
  assert.is(executionsOf(harness, "key"), 1);
});

/*
 * A daemon's clock counts fractions of a millisecond, and the difference of two
 * such times isn't always the whole number that was added. With a fractional
 * timeout the call to the daemon that runs the key was not made, and duplicates
 * got "unknown" immediately.
 */
atMostOnce("a duplicate's timeout is a whole number of milliseconds", () => {
  const harness = startDaemons(15);
  for (let index = 0; index < 60; index++) {
    harness.run(1 / 3);
    for (const vm of VMS) harness.send(vm, documents.plainCall(`${vm}-${index}`, `key-${index}`));
  }
  harness.run(SETTLE_MS);
  assert.ok(harness.callerResults.every((result) => result.outcome === "answered"));
});

/*
 * The endpoints refuse a label print, and the caller is told "not run". It is
 * sent again to two other daemons at the same time. Both find the first
 * daemon's claim and ask that daemon; it cedes the key to one of them and
 * redirects the other to that one for the answer.
 */
atMostOnce("a key that never ran is ceded to one asker only", () => {
  const harness = startDaemons(13);
  harness.faults = { ...harness.faults, endpointRefuses: 1 };
  harness.send("vm-1", documents.plainCall("first", "key"));
  harness.run(SETTLE_MS);
  assert.is(harness.callerResults[0]?.outcome, "not-run");
  harness.faults = { ...harness.faults, endpointRefuses: 0 };
  harness.send("vm-2", documents.plainCall("second", "key"));
  harness.send("vm-3", documents.plainCall("third", "key"));
  harness.run(SETTLE_MS);
  assert.is(executionsOf(harness, "key"), 1);
  assert.equal(
    harness.callerResults.slice(1).map((result) => result.outcome),
    ["answered", "answered"],
  );
});

atMostOnce.run();

const claimTable = uvu.suite("claim table");

claimTable("a claim whose write has an unknown outcome is resolved by reading back", () => {
  const table = new core.ClaimTable("writer");
  const claim = { key: "key", digest: "d", vm: "vm-1", incarnation: "one", attempt: "a" };
  table.request(claim);
  const [read] = table.nextCommands(100, 0);
  assert.is(read?.kind, "read");
  table.onRead(core.ClaimTable.partitionOf("key"), []);
  const [write] = table.nextCommands(100, 0);
  assert.is(write?.kind, "write");
  table.onWritten({ outcome: core.TransactionOutcome.Unknown, revision: 0 });
  assert.equal(table.takeAnswers(), []);
  const puts = write?.kind === "write" ? write.transaction.puts : [];
  const records = puts.map(({ key, value }) => ({
    key,
    value,
    createRevision: 5,
    modRevision: 5,
  }));
  assert.is(table.nextCommands(200, 0)[0]?.kind, "read");
  table.onRead(core.ClaimTable.partitionOf("key"), records);
  assert.is(table.takeAnswers()[0]?.verdict, core.ClaimVerdict.Granted);
});

claimTable.run();
