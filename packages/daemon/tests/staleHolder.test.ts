import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const LEASE_GONE_MS = 14_000;
const VMS = ["vm-1", "vm-2", "vm-3"];

const fleet = new standIns.Fleet({
  engines: 2,
  services: 0,
  daemons: 3,
  engineFlags: ["--speed", "4", "--ignores-fencing"],
});
const suite = uvu.suite("stale holder, over processes");

suite.before(() => fleet.start({ checksFencing: false }));
suite.after(() => {
  fleet.stop();
});

interface Status {
  readonly leases: { readonly shard: string; readonly vm: string }[];
}

async function holder(ask: number): Promise<number> {
  const status = await fleet.admin<Status>(ask, "/admin/status");
  return VMS.indexOf(status.leases[0]?.vm ?? "");
}

async function ordersOf(engine: number): Promise<standIns.JournalEntry[]> {
  const journal = await fleet.journal(fleet.engines[engine]?.url ?? "");
  return journal.filter((entry) => entry.event === "order");
}

/*
 * The daemon that holds the lease is stopped in its tracks while it changes an
 * engine that takes any order. Its lease runs out and another daemon takes
 * over. The stopped one goes on, believing for a moment that it still holds the
 * lease. The engine's journal shows no conflicting and no stale order, and in
 * the end both engines have the roles that the operator asked for.
 */
suite("a holder that was paused over the end of its lease gives no stale order", async () => {
  assert.ok(await standIns.waitUntil(async () => (await holder(0)) >= 0));
  const paused = await holder(0);
  const other = (paused + 1) % 3;
  void fleet.configure({ roles: ["prefill", "decode"], checksFencing: false }, other);
  await standIns.waitUntil(async () => (await ordersOf(0)).length + (await ordersOf(1)).length > 0);
  fleet.daemon(paused).child.kill("SIGSTOP");
  await new Promise((resolve) => setTimeout(resolve, LEASE_GONE_MS));
  fleet.daemon(paused).child.kill("SIGCONT");
  const settled = await standIns.waitUntil(async () => {
    const endpoints = await fleet.admin<{ order: string }[]>(other, "/admin/endpoints");
    return endpoints.every((endpoint) => /settled (prefill|decode)$/.test(endpoint.order));
  }, 60_000);
  assert.ok(settled);
  for (const engine of [0, 1]) {
    for (const order of await ordersOf(engine)) {
      assert.is(order.conflicting, false);
      assert.is(order.stale, false);
      assert.is(order.cut, 0);
    }
  }
});

suite.run();
