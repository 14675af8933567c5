import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

interface CallResult {
  readonly key: string;
  readonly status: number;
  readonly outcome: string | null;
  readonly body: string;
}

const fleet = new standIns.Fleet({ engines: 0, services: 3, daemons: 3 });
const suite = uvu.suite("at-most-once execution, with processes");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

async function send(index: number, key: string, body?: string): Promise<CallResult> {
  try {
    const reply = await fleet.printLabel(index, key, body);
    return { key, status: reply.status, outcome: reply.headers.get("x-outcome"), body: await reply.text() };
  } catch {
    return { key, status: 0, outcome: "connection lost", body: "" };
  }
}

async function executions(): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  for (const service of fleet.services) {
    for (const entry of await fleet.journal(service.url)) {
      const key = String(entry.key);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  return counts;
}

/*
 * A caller sends the same label print to three daemons at once, so that their
 * claims race. One daemon runs the call and the others return its answer: all
 * replies are the same, and the printer's journal has one entry per key.
 */
suite("duplicates at three daemons run once and get the same answer", async () => {
  const keys = Array.from({ length: 30 }, (_, index) => `race-${index}`);
  const results = await Promise.all(keys.flatMap((key) => [0, 1, 2].map((index) => send(index, key))));
  const counts = await executions();
  for (const key of keys) {
    assert.is(counts.get(key), 1);
    const bodies = new Set(results.filter((result) => result.key === key).map((result) => result.body));
    assert.is(bodies.size, 1, JSON.stringify([...bodies]));
  }
  assert.ok(results.every((result) => result.status === 200));
});

/*
 * The key-value service applies claim writes of several batches but drops the
 * replies. The daemon reads the claims back, finds its own and continues.
 */
suite("a lost reply to a claim write runs no call twice", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { dropReplies: 3 });
  const keys = Array.from({ length: 20 }, (_, index) => `lost-${index}`);
  const results = await Promise.all(keys.map((key, index) => send(index % 3, key)));
  const counts = await executions();
  for (const result of results) {
    if (result.status === 200) assert.is(counts.get(result.key), 1);
    else assert.is(result.outcome, "not-run");
    assert.ok((counts.get(result.key) ?? 0) <= 1);
  }
  await fleet.setFaults(fleet.keyValueUrl, { dropReplies: 0 });
});

/*
 * While the key-value service is down, a label print is rejected at once with
 * outcome "not-run" and reaches no printer. After the outage it runs once.
 */
suite("a call rejected during an outage has not run", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { down: true });
  const refused = await send(0, "outage");
  assert.is(refused.status, 503);
  assert.is(refused.outcome, "not-run");
  assert.is((await executions()).get("outage"), undefined);
  await fleet.setFaults(fleet.keyValueUrl, { down: false });
  const answered = await standIns.waitUntil(async () => (await send(1, "outage")).status === 200);
  assert.ok(answered);
  assert.is((await executions()).get("outage"), 1);
});

/*
 * Daemons are killed while duplicates of many keys are in progress: before the
 * claim, after it, after the dispatch, and after the answer. Callers continue
 * with the other daemons. No key runs twice, and a key whose replies all said
 * "not-run" did not run.
 */
suite("killing daemons at any step runs no key twice", async () => {
  const results: CallResult[] = [];
  const pending: Promise<void>[] = [];
  for (let index = 0; index < 120; index++) {
    if (index === 40) fleet.daemon(0).child.kill("SIGKILL");
    if (index === 80) fleet.daemon(1).child.kill("SIGKILL");
    for (const daemon of [index % 3, (index + 1) % 3]) {
      pending.push(send(daemon, `kill-${index}`).then((result) => void results.push(result)));
    }
    await new Promise((resolve) => setTimeout(resolve, 4));
  }
  await Promise.all(pending);
  const counts = await executions();
  for (let index = 0; index < 120; index++) {
    const key = `kill-${index}`;
    const own = results.filter((result) => result.key === key);
    assert.ok((counts.get(key) ?? 0) <= 1, `${key} ran ${counts.get(key)} times`);
    if (own.every((result) => result.outcome === "not-run")) assert.is(counts.get(key) ?? 0, 0);
    if (own.some((result) => result.status === 200)) assert.is(counts.get(key), 1);
  }
});

suite.run();
