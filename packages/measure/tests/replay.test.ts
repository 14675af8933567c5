import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as replay from "../src/replay.js";
import * as trace from "../src/trace.js";

const SEED = 11;

function run(name: string, policy: replay.Policy): ReturnType<typeof replay.replay> {
  const found = trace.readTraces().find((candidate) => candidate.name === name);
  if (!found) throw new Error(`no trace '${name}'`);
  return replay.replay(found, policy, SEED);
}

const suite = uvu.suite("replay of recorded traces");

/*
 * Leoben's mix swings from dossiers to notes and back. Callers get at least 1.2
 * times the answers in time of round robin, and more than from a router that
 * follows the last minute's ratio, with fewer role changes than that one.
 */
suite("leoben's swing: more answers in time, fewer role changes", () => {
  const ours = run("leoben-swing", replay.Policy.Ours);
  const follower = run("leoben-swing", replay.Policy.ThresholdFollower);
  assert.ok(ours.goodput >= 1.2 * run("leoben-swing", replay.Policy.RoundRobin).goodput);
  assert.ok(ours.goodput > follower.goodput);
  assert.ok(ours.roleChanges < follower.roleChanges);
});

/*
 * Ishikari weighs a role change high. The mix swings as far, and the planner
 * keeps to a third of the follower's changes without losing answers by it.
 */
suite("ishikari's swing: a third of the role changes", () => {
  const ours = run("ishikari-swing", replay.Policy.Ours);
  const follower = run("ishikari-swing", replay.Policy.ThresholdFollower);
  assert.ok(ours.roleChanges * 3 <= follower.roleChanges);
  assert.ok(ours.goodput >= follower.goodput - 0.02);
});

/*
 * Twice as much comes as can be served, for 90 s. Requests are tried once, so
 * there is no storm of retries, and what comes after is answered again.
 */
suite("ishikari's double load: no retry storm, and back to normal after it", () => {
  const ours = run("ishikari-double", replay.Policy.Ours);
  const parts = 2;
  assert.ok(ours.attempts <= 1.1 * parts * ours.requests);
  const seconds = [...ours.requestsBySecond.keys()].sort((left, right) => left - right);
  const last = seconds.slice(-20);
  const share = (counts: Map<number, number>): number =>
    last.reduce((sum, second) => sum + (counts.get(second) ?? 0), 0);
  assert.ok(share(ours.inTimeBySecond) >= 0.95 * share(ours.requestsBySecond));
});

suite("the same seed gives the same replay", () => {
  const [first, second] = [run("leoben-withdrawn", replay.Policy.Ours), run("leoben-withdrawn", replay.Policy.Ours)];
  assert.is(first.inTime, second.inTime);
  assert.is(first.refused, second.refused);
  assert.is(first.roleChanges, second.roleChanges);
});

suite.run();
