import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

interface Word {
  readonly key: string;
  readonly status: number;
  readonly outcome: string | null;
  readonly body: string;
}

const fleet = new standIns.Fleet({ engines: 0, services: 3, daemons: 3 });
const suite = uvu.suite("at most once, over processes");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

async function send(index: number, key: string, body?: string): Promise<Word> {
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
 * A caller that hears nothing sends a label print to three daemons at once.
 * Their claims race; one daemon runs the call, the others hand on its answer.
 * Every reply is the same, and the printer has one entry for each key.
 */
suite("duplicates at three daemons run once and get the same answer", async () => {
  const keys = Array.from({ length: 30 }, (_, index) => `race-${index}`);
  const words = await Promise.all(keys.flatMap((key) => [0, 1, 2].map((index) => send(index, key))));
  const counts = await executions();
  for (const key of keys) {
    assert.is(counts.get(key), 1);
    const bodies = new Set(words.filter((word) => word.key === key).map((word) => word.body));
    assert.is(bodies.size, 1, JSON.stringify([...bodies]));
  }
  assert.ok(words.every((word) => word.status === 200));
});

/*
 * The service drops replies after the write took effect, for claims of several
 * batches. The daemon reads the log back, finds its own claim and goes on.
 */
suite("a lost reply to the claim's write costs nothing", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { dropReplies: 3 });
  const keys = Array.from({ length: 20 }, (_, index) => `lost-${index}`);
  const words = await Promise.all(keys.map((key, index) => send(index % 3, key)));
  const counts = await executions();
  for (const word of words) {
    if (word.status === 200) assert.is(counts.get(word.key), 1);
    else assert.is(word.outcome, "not-run");
    assert.ok((counts.get(word.key) ?? 0) <= 1);
  }
  await fleet.setFaults(fleet.keyValueUrl, { dropReplies: 0 });
});

/*
 * The key-value service is down. A label print is refused at once as not run,
 * with when to come back; nothing reaches a printer. Afterwards it runs.
 */
suite("an outage refuses at once and truly", async () => {
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
 * Daemons are killed while duplicates of many keys are under way, so that they
 * die before the claim, after it, after the dispatch, and after the answer.
 * The callers go on with the others. No key runs twice, and a key whose every
 * word was "not run" did not run.
 */
suite("killing daemons at any step runs no key twice", async () => {
  const words: Word[] = [];
  const pending: Promise<void>[] = [];
  for (let index = 0; index < 120; index++) {
    if (index === 40) fleet.daemon(0).child.kill("SIGKILL");
    if (index === 80) fleet.daemon(1).child.kill("SIGKILL");
    for (const daemon of [index % 3, (index + 1) % 3]) {
      pending.push(send(daemon, `kill-${index}`).then((word) => void words.push(word)));
    }
    await new Promise((resolve) => setTimeout(resolve, 4));
  }
  await Promise.all(pending);
  const counts = await executions();
  for (let index = 0; index < 120; index++) {
    const key = `kill-${index}`;
    const own = words.filter((word) => word.key === key);
    assert.ok((counts.get(key) ?? 0) <= 1, `${key} ran ${counts.get(key)} times`);
    if (own.every((word) => word.outcome === "not-run")) assert.is(counts.get(key) ?? 0, 0);
    if (own.some((word) => word.status === 200)) assert.is(counts.get(key), 1);
  }
});

suite.run();
