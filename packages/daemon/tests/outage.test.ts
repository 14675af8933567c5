import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

/** Longer than the lease TTL, so that every registration expires during the outage. */
const OUTAGE_MS = 12_000;
const SLOW_MS = 2500;

const fleet = new standIns.Fleet({ engines: 2, services: 1, daemons: 3 });
const suite = uvu.suite("outages of the key-value service, with processes");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

async function sendRequestsFor(milliseconds: number, name: string): Promise<{ sent: number; answered: number }> {
  const end = Date.now() + milliseconds;
  let [sent, answered] = [0, 0];
  while (Date.now() < end) {
    const prompt = `${name} ${sent}`;
    const read = await standIns.readStream(await fleet.requestCompletion(sent % 3, prompt, 5));
    if (read.complete && read.text === standIns.expectedAnswer(prompt, 5)) answered++;
    sent++;
  }
  return { sent, answered };
}

/*
 * The key-value service is down for longer than the lease TTL. Every daemon
 * continues to serve model requests from its last known view, and claims work
 * again after the outage.
 */
suite("idempotent requests are served during an outage", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { down: true });
  const served = await sendRequestsFor(OUTAGE_MS, "outage");
  assert.is(served.answered, served.sent);
  await fleet.setFaults(fleet.keyValueUrl, { down: false });
  assert.ok(await standIns.waitUntil(async () => (await fleet.printLabel(0, "after-outage")).status === 200));
});

/*
 * The key-value service responds later than the timeouts of its clients, which
 * amounts to an outage: model requests are still served, and a call whose claim
 * can't be written is rejected instead of held.
 */
suite("idempotent requests are served while the service is slow", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { slowMs: SLOW_MS });
  const served = await sendRequestsFor(OUTAGE_MS / 2, "slow");
  assert.is(served.answered, served.sent);
  const label = await fleet.printLabel(1, "while-slow");
  assert.is(label.status, 503);
  assert.is(label.headers.get("x-outcome"), "not-run");
  assert.ok(Number(label.headers.get("retry-after")) > 0);
  await fleet.setFaults(fleet.keyValueUrl, { slowMs: 0 });
  assert.ok(await standIns.waitUntil(async () => (await fleet.printLabel(1, "while-slow")).status === 200));
  const printed = await fleet.journal(fleet.services[0]?.url ?? "");
  assert.is(printed.filter((entry) => entry.key === "while-slow").length, 1);
});

suite.run();
