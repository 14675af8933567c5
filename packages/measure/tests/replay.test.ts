import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as replay from "../src/replay.js";
import * as trace from "../src/trace.js";

const SEED = 11;

function run(name: string, policy: replay.Policy): ReturnType<typeof replay.replay> {
  const found = trace.readTraces().find((candidate) => candidate.name === name);
  if (!found) throw new Error(`there is no trace named '${name}'`);
  return replay.replay(found, policy, SEED);
}

const suite = uvu.suite("replay of recorded traces");

/*
 * The request mix of leoben changes from dossiers to notes and back. The core
 * must answer at least 1.2 times as many requests in time as round robin, and
 * more than a router that follows the last minute's ratio, with fewer role
 * changes than that router.
 */
suite("leoben-swing: more answers in time and fewer role changes than the baselines", () => {
  const core = run("leoben-swing", replay.Policy.Core);
  const follower = run("leoben-swing", replay.Policy.ThresholdFollower);
  assert.ok(core.goodput >= 1.2 * run("leoben-swing", replay.Policy.RoundRobin).goodput);
  assert.ok(core.goodput > follower.goodput);
  assert.ok(core.roleChanges < follower.roleChanges);
});

/*
 * Role changes have a high weight at ishikari. The mix changes as much, and the
 * planner must make at most a third of the role changes of the router that
 * follows the ratio, without a loss of more than 2 points of goodput.
 */
suite("ishikari-swing: at most a third of the baseline's role changes", () => {
  const core = run("ishikari-swing", replay.Policy.Core);
  const follower = run("ishikari-swing", replay.Policy.ThresholdFollower);
  assert.ok(core.roleChanges * 3 <= follower.roleChanges);
  assert.ok(core.goodput >= follower.goodput - 0.02);
});

/*
 * For 90 s the load is twice the capacity. Requests must not be retried (no
 * retry storm), and requests after the overload must be answered in time again.
 */
suite("ishikari-double: no retry storm, and recovery after the overload", () => {
  const core = run("ishikari-double", replay.Policy.Core);
  const parts = 2;
  assert.ok(core.attempts <= 1.1 * parts * core.requests);
  const seconds = [...core.requestsBySecond.keys()].sort((left, right) => left - right);
  const last = seconds.slice(-20);
  const share = (counts: Map<number, number>): number =>
    last.reduce((sum, second) => sum + (counts.get(second) ?? 0), 0);
  assert.ok(share(core.inTimeBySecond) >= 0.95 * share(core.requestsBySecond));
});

suite("the same seed gives the same replay", () => {
  const [first, second] = [run("leoben-withdrawn", replay.Policy.Core), run("leoben-withdrawn", replay.Policy.Core)];
  assert.is(first.inTime, second.inTime);
  assert.is(first.refused, second.refused);
  assert.is(first.roleChanges, second.roleChanges);
});

suite.run();
