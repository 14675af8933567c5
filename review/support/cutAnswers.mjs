/**
 * The trial behind one line of the report, no case: `node review/support/cutAnswers.mjs` after `review/build.sh`.
 *
 * One of three plain runners is killed while it writes answers that have neither a length nor chunks. Counted are the answers
 * that reach their client as whole successes with a part of their bytes. With TROUBLE=0 no runner is killed.
 */
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as processes from "./processes.mjs";
import * as site from "./site.mjs";

const PROGRAM = path.join(import.meta.dirname, "plain.mjs");
const PIECES = 8;
const PIECE_BYTES = 100;
const PIECE_MS = 15;
/** Requests that each client sends, one after the other. */
const ROUNDS = 30;
const CLIENTS = 12;

const route = (name, kind) => ({
  name,
  host: site.HOST,
  "path-prefix": `/${name}/`,
  kind,
  "timeout-ms": 1000,
  "target-latency-ms": 193,
  priority: 1,
  service: "yard-app",
  attempts: 2,
});
const SERVICES = [{ name: "yard-app", "max-connections": 110 }];

function ask(port, kind, id, record) {
  return new Promise((resolve) => {
    const headers = { host: site.HOST, "x-request-id": id, "x-deadline-ms": "1000", "content-length": "0" };
    const method = kind === "manifest" ? "POST" : "GET";
    let bytes = 0;
    const result = (state, status, seal) => {
      record.note("answered", { id, state, status, seal, bytes });
      resolve({ id, state, status, bytes });
    };
    record.note("sent", { id });
    const options = { host: "127.0.0.1", port, path: `/${kind}/x`, method, headers, agent: false };
    const request = http.request(options, (response) => {
      const { statusCode, headers: answered } = response;
      response.on("data", (chunk) => (bytes += chunk.length));
      // A reset is an error; the close of an answer without a length is its end.
      response.once("error", (error) => record.note("error", { id, code: error.code }));
      response.once("close", () =>
        result(response.complete ? "complete" : "broken-off", statusCode, answered["x-response-seal"]),
      );
    });
    request.once("error", (error) => result(error.code ?? "error", 0));
    request.end();
  });
}

await site.runCase(path.join(os.tmpdir(), `cutAnswers-${process.pid}.txt`), async (place, record) => {
  await place.start([route("label", "safe"), route("manifest", "unsafe")], SERVICES);
  const entries = new processes.Entries(place.store);
  const zones = ["halle-a", "halle-b", "halle-c"];
  const runners = [];
  for (const [index, zone] of zones.entries()) {
    const parameters = [String(PIECES), String(PIECE_MS)];
    const runner = new processes.RunnerProcess(`i-${index}`, PROGRAM, parameters, record);
    const address = await runner.address();
    entries.write(runner.id, {
      service: "yard-app",
      address,
      zone,
      version: "v1",
      slots: 6,
      state: "ready",
      "cold-remaining-ms": 0,
      sequence: 0,
    });
    runners.push(runner);
  }
  const daemons = [];
  for (const [index, zone] of zones.entries()) daemons.push(await place.addDaemon(`front-${index}`, zone));
  await site.sleep(2000);
  const answers = [];
  const client = async (number) => {
    const kind = number % 2 === 0 ? "label" : "manifest";
    for (let round = 0; round < ROUNDS; round++) {
      answers.push(await ask(daemons[number % daemons.length].front, kind, `${kind}-${number}-${round}`, record));
      await site.sleep(20);
    }
  };
  const clients = Array.from({ length: CLIENTS }, (_, number) => client(number));
  await site.sleep(1500);
  if (site.HAS_TROUBLE) {
    const [crashing] = runners;
    record.note("crash", { id: crashing.id });
    entries.silence(crashing.id);
    crashing.signal("SIGKILL");
    await crashing.left;
    // Three heartbeats of silence.
    setTimeout(() => entries.remove(crashing.id), 3600);
  }
  await Promise.all(clients);
  entries.stop();
  return answers
    .filter(({ state, status, bytes }) => status === 200 && state === "complete" && bytes < PIECES * PIECE_BYTES)
    .map(({ id, bytes }) => `${id}: a success with ${bytes} of ${PIECES * PIECE_BYTES} bytes looks complete`);
});
