import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";

const suite = uvu.suite("limits of log lines");

/** A log with a clock that the test sets, and its lines. */
function createLog(): { log: decisionLogs.DecisionLog; lines: string[]; clock: { now: number } } {
  const lines: string[] = [];
  const clock = { now: 5_000 };
  const sink = { writableLength: 0, write: (line: string) => lines.push(line) > 0 };
  return { log: new decisionLogs.DecisionLog("vm-1", "info", sink, () => clock.now), lines, clock };
}

function countOf(lines: readonly string[], event: string): number {
  return lines.filter((line) => line.includes(`event=${event} `)).length;
}

// Guards against a log that grows with the requests on crashed engines: each of them is a suspect at each daemon.
suite("20 engines that end under 400 requests give ten suspect lines a second, and a count of the others", () => {
  const { log, lines, clock } = createLog();
  for (let request = 0; request < 400; request++) log.info("suspect", { fingerprint: `f${request}` });
  assert.is(countOf(lines, "suspect"), 10);
  clock.now += 1_000;
  log.info("suspect", { fingerprint: "later" });
  assert.is(countOf(lines, "suspect"), 11);
  const leftOut = lines.filter((line) => line.includes("event=log-lines-left-out"));
  assert.is(leftOut.length, 1);
  assert.match(leftOut[0] ?? "", /of=suspect lines=390/);
});

// Guards against an isolation or a rejection that is not logged because first suspicions have used up the limit.
suite("suspects that are isolated or rejected have a limit of their own", () => {
  const { log, lines, clock } = createLog();
  for (let request = 0; request < 400; request++) log.info("suspect", { fingerprint: `f${request}` });
  for (let request = 0; request < 25; request++) log.warn("suspect", { suspicion: "quarantined" });
  assert.is(countOf(lines, "suspect"), 20);
  assert.is(lines.filter((line) => line.includes("quarantined")).length, 10);
  clock.now += 1_000;
  log.info("suspect", {});
  assert.match(lines.join(""), /of=suspect lines=405/);
});

// Guards against a count that is never logged, as no further line of the same event follows.
suite("what was left out of one event is logged with the next line of any other", () => {
  const { log, lines, clock } = createLog();
  for (let request = 0; request < 12; request++) log.info("suspect", {});
  clock.now += 60_000;
  log.info("send", {});
  assert.match(lines.join(""), /event=log-lines-left-out of=suspect lines=2/);
  log.info("send", {});
  clock.now += 1_000;
  log.info("send", {});
  assert.is(countOf(lines, "log-lines-left-out"), 1);
});

suite("other events keep their limit of 100 lines a second", () => {
  const { log, lines } = createLog();
  for (let request = 0; request < 130; request++) {
    log.info("send", { request });
    log.info("suspect", { request });
  }
  assert.is(countOf(lines, "send"), 100);
});

suite.run();
