import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

/** Longer than a lease lives, so that every registration ends meanwhile. */
const OUTAGE_MS = 12_000;
const SLOW_MS = 2500;

const fleet = new standIns.Fleet({ engines: 2, services: 1, daemons: 3 });
const suite = uvu.suite("outages of the key-value service, over processes");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

async function askFor(milliseconds: number, name: string): Promise<{ asked: number; answered: number }> {
  const end = Date.now() + milliseconds;
  let [asked, answered] = [0, 0];
  while (Date.now() < end) {
    const prompt = `${name} ${asked}`;
    const read = await standIns.readStream(await fleet.requestCompletion(asked % 3, prompt, 5));
    if (read.complete && read.text === standIns.expectedAnswer(prompt, 5)) answered++;
    asked++;
  }
  return { asked, answered };
}

/*
 * The key-value service is down for longer than any lease lives. Model requests
 * go on from the last view at every daemon. Afterwards claims work again.
 */
suite("idempotent serving goes on through an outage", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { down: true });
  const served = await askFor(OUTAGE_MS, "outage");
  assert.is(served.answered, served.asked);
  await fleet.setFaults(fleet.keyValueUrl, { down: false });
  assert.ok(await standIns.waitUntil(async () => (await fleet.printLabel(0, "after-outage")).status === 200));
});

/*
 * The service answers later than any caller of it waits. That is no different
 * from an outage: model requests go on, and a claim that can't be settled is
 * refused, not held.
 */
suite("idempotent serving goes on while the service is slow", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { slowMs: SLOW_MS });
  const served = await askFor(OUTAGE_MS / 2, "slow");
  assert.is(served.answered, served.asked);
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
