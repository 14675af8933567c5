import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as dutyCandidates from "../src/duties/dutyCandidate.js";

const suite = uvu.suite("the daemon that should carry out the duties of the fleet");

const daemon = (vm: string, state = {}): Parameters<typeof dutyCandidates.isDutyCandidate>[0] => ({
  vm,
  ready: true,
  active: true,
  cutOff: false,
  storeSilentMs: 0,
  ...state,
});

const FLEET = ["vm-1", "vm-2", "vm-3"].map((vm) => daemon(vm));

function candidates(fleet: readonly ReturnType<typeof daemon>[]): string[] {
  return fleet
    .filter((own) => {
      const others = fleet.filter(({ vm }) => vm !== own.vm);
      return dutyCandidates.isDutyCandidate(own, others);
    })
    .map(({ vm }) => vm);
}

suite("all daemons agree on one", () => {
  assert.is(candidates(FLEET).length, 1);
});

// The candidate could not renew its lease, and nobody would carry out the duties.
suite("another one follows if the first is not ready, on standby, or gets no answer from the key-value service", () => {
  const [first] = candidates(FLEET);
  for (const state of [{ ready: false }, { active: false }, { storeSilentMs: 10_000 }]) {
    const [next, ...rest] = candidates(FLEET.map((each) => (each.vm === first ? { ...each, ...state } : each)));
    assert.ok(next !== undefined && next !== first);
    assert.is(rest.length, 0);
  }
});

// A holder that reaches no engine gives no orders while it keeps the lease from those that could.
suite("another one follows if the first is cut off from the endpoints, and one remains if all are", () => {
  const [first] = candidates(FLEET);
  const [next, ...rest] = candidates(FLEET.map((each) => ({ ...each, cutOff: each.vm === first })));
  assert.ok(next !== undefined && next !== first);
  assert.is(rest.length, 0);
  assert.is(candidates(FLEET.map((each) => ({ ...each, cutOff: true }))).length, 1);
});

suite.run();
