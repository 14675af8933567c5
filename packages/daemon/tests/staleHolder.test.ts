import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const LEASE_EXPIRY_MS = 14_000;
const VMS = ["vm-1", "vm-2", "vm-3"];

const fleet = new standIns.Fleet({
  engines: 2,
  services: 0,
  daemons: 3,
  engineFlags: ["--speed", "4", "--ignores-fencing"],
});
const suite = uvu.suite("stale lease holder, with processes");

suite.before(() => fleet.start({ checksFencing: false }));
suite.after(() => {
  fleet.stop();
});

interface Status {
  readonly leases: { readonly shard: string; readonly vm: string }[];
}

async function holder(daemon: number): Promise<number> {
  const status = await fleet.admin<Status>(daemon, "/admin/status");
  return VMS.indexOf(status.leases[0]?.vm ?? "");
}

async function ordersOf(engine: number): Promise<standIns.JournalEntry[]> {
  const journal = await fleet.journal(fleet.engines[engine]?.url ?? "");
  return journal.filter((entry) => entry.event === "order");
}

/*
 * The lease holder is paused (SIGSTOP) while it changes engines that ignore
 * fencing and accept any order. Its lease expires and another daemon takes over.
 * After it resumes, the old holder briefly assumes that it still holds the lease.
 * It must send no conflicting or stale order, and both engines must end in the
 * roles that the operator assigned.
 */
suite("a holder paused past the expiry of its lease sends no stale order", async () => {
  assert.ok(await standIns.waitUntil(async () => (await holder(0)) >= 0));
  const paused = await holder(0);
  const other = (paused + 1) % 3;
  void fleet.configure({ roles: ["prefill", "decode"], checksFencing: false }, other);
  await standIns.waitUntil(async () => (await ordersOf(0)).length + (await ordersOf(1)).length > 0);
  fleet.daemon(paused).child.kill("SIGSTOP");
  await new Promise((resolve) => setTimeout(resolve, LEASE_EXPIRY_MS));
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
