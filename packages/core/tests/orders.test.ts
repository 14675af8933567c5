import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "../src/index.js";
import * as coreHarness from "./helpers/coreHarness.js";
import * as documents from "./helpers/documents.js";

const VMS = ["vm-1", "vm-2", "vm-3"];
const ENGINES = ["leoben/engine-1", "leoben/engine-2"];
const SETTLE_MS = 3000;

function startDaemons(seed: number, checksFencing: boolean): coreHarness.CoreHarness {
  const harness = new coreHarness.CoreHarness(seed, 30_000);
  for (const engine of ENGINES) harness.checksFencing.set(engine, checksFencing);
  harness.configure(documents.engineTeam(["mixed", "mixed"], checksFencing), "leoben");
  for (const vm of VMS) harness.start(vm);
  harness.run(SETTLE_MS);
  return harness;
}

/** Asserts that no engine obeys an order with a lower number after one with a higher number, so none of a former holder. */
function assertNoStaleOrder(harness: coreHarness.CoreHarness): void {
  for (const engine of ENGINES) {
    let newest = 0;
    for (const order of harness.orders) {
      if (order.endpoint !== engine || !order.applied) continue;
      assert.ok(order.number >= newest, `${engine} obeyed order ${order.number} after ${newest}`);
      newest = order.number;
    }
  }
}

function holderOf(harness: coreHarness.CoreHarness): string {
  const shard = core.controlShardOf("leoben/assist-llm");
  return harness.core("vm-1").shards.get(shard)?.vm ?? "";
}

const ordersSuite = uvu.suite("orders");

/*
 * An operator sets a role. The daemon that holds the shard's lease drains the
 * engine, writes the intention, sends the order and writes the outcome. All
 * daemons then route by the new role.
 */
ordersSuite("a role change is drained, ordered once and settled", () => {
  const harness = startDaemons(1, true);
  harness.configure(documents.engineTeam(["prefill", "mixed"], true), "leoben");
  harness.run(8000);
  assert.is(harness.orders.length, 1);
  assert.is(harness.orders[0]?.role, core.EndpointRole.Prefill);
  for (const vm of VMS) {
    const order = harness.core(vm).orderManager.orderOf("leoben/engine-1");
    assert.is(order?.record.phase, core.OrderPhase.Settled);
    assert.is(
      harness.core(vm).poolOf("leoben/assist-llm")?.endpoint("leoben/engine-1")?.role,
      core.EndpointRole.Prefill,
    );
  }
});

/*
 * Holders are paused beyond the end of their leases, killed and replaced while
 * an operator changes roles repeatedly; writes and replies are lost, and an
 * order's bytes may stay in a buffer for 25 s. Whether or not the engines check
 * fencing numbers, none obeys an older order after a newer one.
 */
for (const checksFencing of [true, false]) {
  ordersSuite(`no stale order takes effect (engines ${checksFencing ? "check" : "ignore"} fencing numbers)`, () => {
    const steps = fastCheck.array(
      fastCheck.record({
        what: fastCheck.constantFrom("roles", "roles", "pause", "pause", "kill", "wait"),
        vm: fastCheck.integer({ min: 0, max: 2 }),
        roles: fastCheck.tuple(
          fastCheck.constantFrom("prefill", "decode", "mixed"),
          fastCheck.constantFrom("prefill", "decode", "mixed"),
        ),
        waitMs: fastCheck.integer({ min: 0, max: 12_000 }),
      }),
      { minLength: 5, maxLength: 20 },
    );
    fastCheck.assert(
      fastCheck.property(fastCheck.integer({ min: 1, max: 1e9 }), steps, (seed, changes) => {
        const harness = startDaemons(seed, checksFencing);
        harness.faults = { lostReply: 0.1, lostWrite: 0.05, endpointLost: 0, endpointRefuses: 0, lateOrder: 0.4 };
        for (const change of changes) {
          const vm = change.what === "pause" ? holderOf(harness) || "vm-1" : (VMS[change.vm] ?? "vm-1");
          if (change.what === "roles") harness.configure(documents.engineTeam(change.roles, checksFencing), "leoben");
          if (change.what === "pause") harness.pause(vm, 15_000);
          if (change.what === "kill") harness.start(vm);
          harness.run(change.waitMs);
        }
        harness.run(90_000);
        assertNoStaleOrder(harness);
      }),
      { numRuns: 50, seed: 20261202, endOnFailure: true },
    );
  });
}

/*
 * The holder is paused between writing its intention and sending the order to
 * an engine that doesn't check fencing numbers. Its successor sends no order to
 * that engine while the paused process may still send one, and shows the
 * operator why it waits. Once the platform lists the VM as gone, the change
 * proceeds.
 */
ordersSuite("a successor waits for proof that the former holder can't send", () => {
  const harness = startDaemons(4, false);
  const holder = holderOf(harness);
  harness.configure(documents.engineTeam(["prefill", "mixed"], false), "leoben");
  for (let waited = 0; waited < 5000; waited += 5) {
    harness.run(5);
    if (harness.core(holder).orderManager.orderOf(ENGINES[0] ?? "")?.record.phase === core.OrderPhase.Intended) break;
  }
  harness.pause(holder, 1e9);
  harness.run(40_000);
  assert.is(harness.orders.length, 0);
  const successor = VMS.find((vm) => vm !== holder) ?? "";
  const reasons = VMS.filter((vm) => vm !== holder).map((vm) =>
    harness
      .core(vm)
      .orderManager.waiting()
      .get(ENGINES[0] ?? ""),
  );
  assert.ok(reasons.some((reason) => reason?.includes("former holder doesn't answer")));
  harness.vmStates.set(holder, core.VmState.Gone);
  harness.run(20_000);
  assert.is(harness.orders.length, 1);
  assert.is(harness.core(successor).orderManager.orderOf(ENGINES[0] ?? "")?.record.phase, core.OrderPhase.Settled);
});

/*
 * A holder was paused beyond the end of its lease. When it resumes, its lease
 * counts as invalid until it is renewed.
 */
ordersSuite("a lease becomes invalid after a pause", () => {
  const lease = new core.OwnLease();
  lease.onTick(0);
  lease.onRenewed("1", 0, core.constants.LEASE_TTL_MS);
  lease.onTick(1000);
  assert.ok(lease.isValid(1000));
  lease.onTick(1000 + core.constants.PAUSE_THRESHOLD_MS + 1);
  assert.not(lease.isValid(1000 + core.constants.PAUSE_THRESHOLD_MS + 1));
});

/*
 * A renewal's reply arrives late. The deadline counts from before the renewal
 * was sent, so the holder stops before the service can end the lease.
 */
ordersSuite("a lease's deadline counts from the sending of the renewal", () => {
  const lease = new core.OwnLease();
  lease.onRenewed("1", 1000, 9000);
  assert.ok(lease.isValid(1000 + 9000 - core.constants.LEASE_MARGIN_MS - 1));
  assert.not(lease.isValid(1000 + 9000 - core.constants.LEASE_MARGIN_MS));
});

/*
 * A holder's write is delayed in the network until its lease has ended and
 * another daemon has taken over. When the write arrives it has no effect, even
 * if the record that it changes is unmodified. It has none either if only the
 * record was modified.
 */
ordersSuite("a write of a holder whose lease has ended has no effect", () => {
  const harness = startDaemons(12, true);
  const holder = harness.core(holderOf(harness));
  harness.configure(documents.engineTeam(["prefill", "mixed"], true), "leoben");
  const written = captureOrderWrite(harness, holder);
  const compares = written.conditions.map(({ key, kind, revision }) => ({
    key,
    target: kind,
    revision,
  }));
  const leaseKey = core.controlKey(core.ControlKind.Lease, core.controlShardOf("leoben/assist-llm"));
  const orderKey = core.controlKey(core.ControlKind.Order, ENGINES[0] ?? "");
  const touch = (key: string): void => {
    const value = harness.store.range(key)[0]?.value ?? "{}";
    harness.store.transact([], [{ kind: "delete", key }]);
    harness.store.transact([], [{ kind: "put", key, value, lease: "0" }]);
  };
  assert.ok(harness.store.transact(compares, []));
  touch(leaseKey);
  assert.not(harness.store.transact(compares, []));
  const withoutLease = compares.filter((compare) => compare.key !== leaseKey);
  assert.ok(harness.store.transact(withoutLease, []));
  touch(orderKey);
  assert.not(harness.store.transact(withoutLease, []));
});

function captureOrderWrite(harness: coreHarness.CoreHarness, holder: core.Core): core.Transaction {
  const records = harness.store.range(core.constants.CONTROL_PREFIX, core.prefixEnd(core.constants.CONTROL_PREFIX));
  const instant = { now: harness.now, systemTime: 0 };
  const type = core.EventType.ControlSnapshot;
  const actions = [
    ...holder.handle({ type, records, revision: harness.store.revision }, instant),
    ...holder.handle({ type: core.EventType.Tick }, instant),
  ];
  const write = actions.find((action) => action.type === core.ActionType.Transact && action.token.startsWith("order:"));
  if (write?.type !== core.ActionType.Transact) throw new Error("the holder wrote no order");
  return write.transaction;
}

/*
 * A late report hid that the engine already had the target role. The former
 * holder's order is still in transit, so the successor must not take that role
 * as the effect of the order: the order could then arrive after a newer one.
 */
ordersSuite("a target role that the engine already had is no proof", () => {
  const record = { fromRole: core.EndpointRole.Mixed, targetRole: core.EndpointRole.Prefill } as core.OrderRecord;
  const afterEarlyReport = new core.RoleChangeObserver(1000);
  afterEarlyReport.onReport(record, core.EndpointRole.Mixed, 900);
  afterEarlyReport.onReport(record, core.EndpointRole.Prefill, 1100);
  assert.not(afterEarlyReport.hasSeenChange);
  const afterLateReport = new core.RoleChangeObserver(1000);
  afterLateReport.onReport(record, core.EndpointRole.Mixed, 1100);
  afterLateReport.onReport(record, core.EndpointRole.Prefill, 1200);
  assert.ok(afterLateReport.hasSeenChange);
});

/*
 * The former holder's process was replaced on its VM. Its bytes may still be in
 * a socket buffer there, so an endpoint that doesn't check fencing numbers gets
 * no order until such buffers must have expired.
 */
ordersSuite("a takeover waits for the socket buffers of a replaced process", () => {
  const evidence = { deposed: false, vmGone: false, replacedSince: 1000 };
  assert.not(core.mayTakeOver(false, evidence, 60_000, 60_999).allowed);
  assert.ok(core.mayTakeOver(false, evidence, 60_000, 61_000).allowed);
  assert.ok(core.mayTakeOver(true, evidence, 60_000, 1000).allowed);
});

ordersSuite.run();

const drainsSuite = uvu.suite("drains");

/*
 * An endpoint is drained while a daemon has a long stream there. The change waits
 * until that daemon reports no requests, so the stream is not interrupted.
 */
drainsSuite("a role change waits for the streams of every daemon", () => {
  const harness = startDaemons(6, true);
  const other = VMS.find((vm) => vm !== holderOf(harness)) ?? "";
  const model = harness.core(other).poolOf("leoben/assist-llm")?.endpoint("leoben/engine-1");
  model?.onDispatched("stream", { part: core.RequestPart.Whole, promptTokens: 1, outputTokens: 1, dispatchedAt: 0 });
  harness.configure(documents.engineTeam(["decode", "mixed"], true), "leoben");
  harness.run(10_000);
  assert.is(harness.orders.length, 0);
  model?.onEnded("stream", 0);
  harness.run(5000);
  assert.is(harness.orders.length, 1);
});

/*
 * A daemon that may have a stream at an endpoint is paused, and its registration
 * ends. It may resume, so the drain waits until its VM is listed as gone.
 */
drainsSuite("a role change waits for a lost daemon whose VM is still listed", () => {
  const harness = startDaemons(8, true);
  const lostVm = VMS.find((vm) => vm !== holderOf(harness)) ?? "";
  harness.pause(lostVm, 1e9);
  harness.run(30_000);
  harness.configure(documents.engineTeam(["decode", "mixed"], true), "leoben");
  harness.run(30_000);
  assert.is(harness.orders.length, 0);
  harness.vmStates.set(lostVm, core.VmState.Gone);
  harness.run(10_000);
  assert.is(harness.orders.length, 1);
});

/*
 * A daemon is paused until its registration has ended, and resumes. It is the
 * same process, registers again and reports its own requests, so a role change
 * need not wait for its VM to be listed as gone.
 */
drainsSuite("a daemon that resumes after a pause no longer blocks role changes", () => {
  const harness = startDaemons(8, true);
  const lostVm = VMS.find((vm) => vm !== holderOf(harness)) ?? "";
  harness.pause(lostVm, 30_000);
  harness.run(40_000);
  harness.configure(documents.engineTeam(["decode", "mixed"], true), "leoben");
  harness.run(15_000);
  assert.is(harness.orders.length, 1);
});

/*
 * An operator drains an endpoint. Within three seconds every daemon has stopped
 * sending it requests. A daemon that has lost the key-value service learns of
 * the drain from its peers.
 */
drainsSuite("a draining endpoint gets no new requests from any daemon after 3 s", () => {
  const harness = startDaemons(10, true);
  const text = documents.engineTeam(["mixed", "mixed"], true).replace("role: mixed", "state: draining, role: mixed");
  harness.configure(text, "leoben");
  harness.run(3000);
  for (const vm of VMS) {
    assert.not(harness.core(vm).poolOf("leoben/assist-llm")?.endpoint("leoben/engine-1")?.isUsable(harness.now));
  }
});

drainsSuite.run();
