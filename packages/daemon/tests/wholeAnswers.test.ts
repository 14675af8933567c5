import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const TOKENS = 150;
/** Pieces after which the failure comes, well before the end. */
const PIECES_BEFORE_FAILURE = 10;

const fleet = new standIns.Fleet({ engines: 3, services: 0, daemons: 3, engineFlags: ["--speed", "1"] });
const suite = uvu.suite("whole answers, over processes");

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
 * Forty callers ask at once, through all daemons, in both forms. Each gets the
 * answer that an engine makes of its own prompt, byte by byte.
 */
suite("each caller gets the whole answer to its own request", async () => {
  const asked = Array.from({ length: 40 }, async (_, index) => {
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
  await Promise.all(asked);
});

/*
 * In the middle of an answer the connection to the engine goes silent for good,
 * while new connections work. The daemon notices that the heartbeats are
 * missing, opens a new connection and takes the stream up where it was.
 */
suite("a connection to the engine that goes silent", async () => {
  const prompt = "silent engine";
  const reply = await fleet.requestCompletion(0, prompt, TOKENS);
  let struck = false;
  const read = await standIns.readStream(reply, (pieces) => {
    if (pieces >= PIECES_BEFORE_FAILURE && !struck) {
      struck = true;
      for (const engine of fleet.engines) void fleet.setFaults(engine.url, { silenceOpenConnections: true });
    }
    return true;
  });
  assert.ok(read.complete);
  assert.is(read.text, standIns.expectedAnswer(prompt, TOKENS));
});

/*
 * The caller's daemon is killed in the middle of an answer. The caller goes to
 * another daemon with the id of the last event that it has, and gets the rest.
 */
suite("a caller takes its stream up through another daemon", async () => {
  const prompt = "daemon dies";
  const reply = await fleet.requestCompletion(2, prompt, TOKENS);
  const first = await standIns.readStream(reply, (pieces) => {
    if (pieces === PIECES_BEFORE_FAILURE) fleet.daemon(2).child.kill("SIGKILL");
    return true;
  });
  assert.not(first.complete);
  const headers = { authorization: `Bearer ${standIns.TEAM_TOKEN}`, "last-event-id": first.lastEventId };
  const rest = await standIns.readStream(await fetch(`${fleet.daemon(1).url}/v1/streams/resume`, { headers }));
  assert.ok(rest.complete);
  assert.is(first.text + rest.text, standIns.expectedAnswer(prompt, TOKENS));
});

/*
 * The engine is killed in the middle of an answer. The daemon runs the request
 * again on another engine, checks that the beginning is the same, and goes on.
 */
suite("an engine that dies in the middle of an answer", async () => {
  const prompt = "engine dies";
  const reply = await fleet.requestCompletion(0, prompt, TOKENS);
  let killed = false;
  const read = await standIns.readStream(reply, (pieces) => {
    if (pieces >= PIECES_BEFORE_FAILURE && !killed) {
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
