import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const ENGINE_FLAGS = ["--speed", "2"];

const fleet = new standIns.Fleet({ engines: 2, services: 0, daemons: 3, engineFlags: ENGINE_FLAGS });
const suite = uvu.suite("an engine that crashes during a role change, with processes");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

async function ordersAt(url: string): Promise<standIns.JournalEntry[]> {
  return (await fleet.journal(url)).filter((entry) => entry.event === "order");
}

async function endpointRow(): Promise<{ order: string; takesWork: boolean } | undefined> {
  const rows = await fleet.admin<{ endpoint: string; order: string; takesWork: boolean }[]>(0, "/admin/endpoints");
  return rows.find((row) => row.endpoint === "leoben/engine-1");
}

/*
 * An engine crashes after it was ordered into a role and before it confirmed. The
 * other engine serves the callers meanwhile. The engine restarts in its old role;
 * the same order is sent again and no other one, and the engine gets work again
 * only in the target role.
 */
suite("the role change is resumed without conflicting orders", async () => {
  const [crashing] = fleet.engines;
  if (!crashing) throw new Error("no engine");
  await fleet.configure({ roles: ["prefill", "mixed"] });
  assert.ok(await standIns.waitUntil(async () => (await ordersAt(crashing.url)).length > 0));
  crashing.child.kill("SIGKILL");
  const read = await standIns.readStream(await fleet.requestCompletion(1, "meanwhile", 10));
  assert.ok(read.complete);
  assert.is((await endpointRow())?.takesWork, false);
  const listen = new URL(crashing.url).host;
  await fleet.launcher.startStandIn(["engine", "--listen", listen, ...ENGINE_FLAGS]);
  assert.ok(
    await standIns.waitUntil(async () => (await endpointRow())?.order.endsWith("settled prefill") ?? false, 60_000),
  );
  for (const order of await ordersAt(crashing.url)) {
    assert.is(order.role, "prefill");
    assert.is(order.conflicting, false);
    assert.is(order.stale, false);
    assert.is(order.cut, 0);
  }
});

suite.run();
