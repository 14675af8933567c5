import * as net from "node:net";
import * as fastCheck from "fast-check";
import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const BODY_LIMIT = 20_000;

const fleet = new standIns.Fleet({
  engines: 1,
  services: 1,
  daemons: 1,
  daemonFlags: ["--body-limit", String(BODY_LIMIT)],
});
const suite = uvu.suite("invalid input, over sockets");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

interface Problem {
  readonly title: string;
  readonly remedy: string;
  readonly outcome: string;
}

async function post(path: string, body: string, extra: Record<string, string> = {}): Promise<[number, Problem]> {
  const headers = { authorization: `Bearer ${standIns.TEAM_TOKEN}`, ...extra };
  const reply = await fetch(`${fleet.daemon(0).url}${path}`, { method: "POST", headers, body });
  return [reply.status, (await reply.json()) as Problem];
}

async function assertServing(): Promise<void> {
  const read = await standIns.readStream(await fleet.requestCompletion(0, "still up", 3));
  assert.ok(read.complete);
}

const CHAT = "/v1/chat/completions";
const CASES: [string, string, string, Record<string, string>, string][] = [
  ["a body that is not JSON", CHAT, "{", {}, "bad-request"],
  ["no prompt", CHAT, '{"model":"assist-llm"}', {}, "bad-request"],
  ["an unknown model", CHAT, '{"model":"gate","prompt":"x"}', {}, "unknown-service"],
  ["an unknown service", "/v1/services/gate/x", "", {}, "unknown-service"],
  ["an unknown path", "/v2/x", "", {}, "bad-request"],
  ["a bad priority", CHAT, '{"model":"assist-llm","prompt":"x"}', { "x-priority": "high" }, "bad-request"],
  ["a bad timeout", CHAT, '{"model":"assist-llm","prompt":"x"}', { "x-request-timeout-ms": "-1" }, "bad-request"],
  ["a key with spaces", "/v1/services/yard-app/x", "", { "idempotency-key": "a b" }, "bad-request"],
  ["a wrong token", CHAT, "{}", { authorization: "Bearer nobody" }, "unauthorized"],
  ["a body over the limit", CHAT, "x".repeat(BODY_LIMIT + 1), {}, "body-too-large"],
];

for (const [name, path, body, headers, title] of CASES) {
  suite(`${name} returns a problem with a remedy`, async () => {
    const [status, problem] = await post(path, body, headers);
    assert.ok(status >= 400 && status < 500);
    assert.is(problem.title, title);
    assert.is(problem.outcome, "not-run");
    assert.ok(problem.remedy.length > 0);
    await assertServing();
  });
}

/*
 * A caller sends an endless body. The daemon must stop reading at the limit and
 * close the connection instead of buffering the body.
 */
suite("an endless body is rejected at the limit", async () => {
  const { port } = new URL(fleet.daemon(0).url);
  const received = await new Promise<string>((resolve) => {
    let text = "";
    const socket = net.connect(Number(port), "127.0.0.1", () => {
      socket.write(
        `POST ${CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${standIns.TEAM_TOKEN}\r\ntransfer-encoding: chunked\r\n\r\n`,
      );
      const chunk = `1000\r\n${"x".repeat(4096)}\r\n`;
      const writeTimer = setInterval(() => socket.write(chunk), 5);
      socket.once("close", () => {
        clearInterval(writeTimer);
        resolve(text);
      });
    });
    socket.on("data", (data) => (text += data.toString()));
    socket.on("error", () => undefined);
  });
  assert.match(received, "413");
  await assertServing();
});

suite("no body or path crashes the daemon", async () => {
  const property = fastCheck.asyncProperty(
    fastCheck.string({ maxLength: 200 }),
    fastCheck.json({ maxDepth: 3 }),
    fastCheck.boolean(),
    async (text, json, plain) => {
      const [status, problem] = await post(plain ? `/v1/services/${encodeURIComponent(text)}/x` : CHAT, json);
      assert.ok(status >= 400);
      assert.is(problem.outcome, "not-run");
    },
  );
  await fastCheck.assert(property, { numRuns: 200, seed: 5 });
  await assertServing();
});

suite.run();
