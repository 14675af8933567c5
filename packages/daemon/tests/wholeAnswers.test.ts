import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const TOKENS = 150;
/** Number of chunks before the failure is injected, well before the end of the answer. */
const CHUNKS_BEFORE_FAILURE = 10;

const fleet = new standIns.Fleet({ engines: 3, services: 0, daemons: 3, engineFlags: ["--speed", "1"] });
const suite = uvu.suite("complete answers, with processes");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

async function engineOf(prompt: string): Promise<standIns.StandInProcess | undefined> {
  for (const engine of fleet.engines) {
    const journal = await fleet.journal(engine.url);
    if (journal.some((entry) => entry.prompt === prompt)) return engine;
  }
  return undefined;
}

/*
 * Forty callers send requests concurrently through all daemons, half of them
 * streaming. Each gets exactly the answer to its own prompt.
 */
suite("each caller gets the complete answer to its own request", async () => {
  const requests = Array.from({ length: 40 }, async (_, index) => {
    const prompt = `dossier ${index}`;
    const reply = await fleet.requestCompletion(index % 3, prompt, 30, index % 2 === 0);
    const expected = standIns.expectedAnswer(prompt, 30);
    if (index % 2 === 0) {
      const read = await standIns.readStream(reply);
      assert.ok(read.complete);
      assert.is(read.text, expected);
      return;
    }
    const body = (await reply.json()) as { choices: { message: { content: string } }[] };
    assert.is(body.choices[0]?.message.content, expected);
  });
  await Promise.all(requests);
});

/*
 * In the middle of an answer the connection to the engine goes permanently silent,
 * while new connections work. The daemon notices the missing heartbeats, opens a
 * new connection and resumes the stream.
 */
suite("a stream is resumed after its connection to the engine goes silent", async () => {
  const prompt = "silent engine";
  const reply = await fleet.requestCompletion(0, prompt, TOKENS);
  let faultInjected = false;
  const read = await standIns.readStream(reply, (chunks) => {
    if (chunks >= CHUNKS_BEFORE_FAILURE && !faultInjected) {
      faultInjected = true;
      for (const engine of fleet.engines) void fleet.setFaults(engine.url, { silenceOpenConnections: true });
    }
    return true;
  });
  assert.ok(read.complete);
  assert.is(read.text, standIns.expectedAnswer(prompt, TOKENS));
});

/*
 * The caller's daemon is killed in the middle of an answer. The caller sends the
 * id of its last event to another daemon and gets the rest.
 */
suite("a caller resumes its stream through another daemon", async () => {
  const prompt = "daemon dies";
  const reply = await fleet.requestCompletion(2, prompt, TOKENS);
  const first = await standIns.readStream(reply, (chunks) => {
    if (chunks === CHUNKS_BEFORE_FAILURE) fleet.daemon(2).child.kill("SIGKILL");
    return true;
  });
  assert.not(first.complete);
  const headers = { authorization: `Bearer ${standIns.TEAM_TOKEN}`, "last-event-id": first.lastEventId };
  const rest = await standIns.readStream(await fetch(`${fleet.daemon(1).url}/v1/streams/resume`, { headers }));
  assert.ok(rest.complete);
  assert.is(first.text + rest.text, standIns.expectedAnswer(prompt, TOKENS));
});

/*
 * The engine is killed in the middle of an answer. The daemon retries the request
 * on another engine, checks that the answer begins with the same chunks, and continues.
 */
suite("a stream is continued on another engine after its engine dies", async () => {
  const prompt = "engine dies";
  const reply = await fleet.requestCompletion(0, prompt, TOKENS);
  let killed = false;
  const read = await standIns.readStream(reply, (chunks) => {
    if (chunks >= CHUNKS_BEFORE_FAILURE && !killed) {
      killed = true;
      void engineOf(prompt).then((engine) => engine?.child.kill("SIGKILL"));
    }
    return true;
  });
  assert.ok(killed);
  assert.ok(read.complete);
  assert.is(read.text, standIns.expectedAnswer(prompt, TOKENS));
});

suite.run();
