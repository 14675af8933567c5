/**
 * The trial behind one line of the report, no case: `node review/support/unsealed.mjs` after `review/build.sh`.
 *
 * One of three runners hands out a wrong byte in the name of the seal's header, in one answer of 33. Counted are the streams that
 * reach their client as whole successes without a seal. With TROUBLE=0 no byte is wrong.
 */
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as processes from "./processes.mjs";
import * as site from "./site.mjs";

const PROGRAM = path.join(import.meta.dirname, "engine.mjs");
const PIECES = 10;
const EVENT_MS = "20";
/** One of three runners spoils 3 of 100 answers. */
const SPOILED_EACH = "33";
const CLIENTS = 12;
const ROUNDS = 60;

const ROUTE = {
  name: "note",
  host: site.HOST,
  "path-prefix": "/note/",
  kind: "stream",
  "timeout-ms": 10000,
  "target-latency-ms": 600,
  "gap-target-ms": 300,
  priority: 1,
  service: "assist-llm",
  attempts: 2,
  sticky: true,
  resumable: true,
};
const SERVICES = [
  {
    name: "assist-llm",
    "max-connections": 370,
    engine: {
      slots: 64,
      "kv-capacity-tokens": 540686,
      "token-kv-bytes": 35136,
      "link-mbps": 1100000,
      moves: true,
      backups: true,
      "handle-ttl-s": 5,
      "switch-s": 3,
      models: [{ name: "m" }],
    },
  },
];

function ask(port, id, record) {
  return new Promise((resolve) => {
    const headers = {
      host: site.HOST,
      "x-request-id": id,
      "x-model": "m",
      "x-token-counts": `800,${PIECES}`,
      "x-prompt-prefix": `${id}a:300,${id}b:500`,
      "x-deadline-ms": "10000",
      "content-length": "0",
    };
    let text = "";
    const result = (state, status, seal) => {
      const ids = [...text.matchAll(/^id: (\d+)$/gm)].map((each) => Number(each[1]));
      record.note("answered", { id, state, status, seal, events: ids.length, last: ids.at(-1) ?? 0 });
      resolve({ id, state, status, seal, ids });
    };
    record.note("sent", { id });
    const request = http.request({ host: "127.0.0.1", port, path: "/note/x", method: "POST", headers }, (response) => {
      const { statusCode, headers: answered } = response;
      response.on("data", (chunk) => (text += String(chunk)));
      response.on("close", () =>
        result(response.complete ? "complete" : "broken-off", statusCode, answered["x-response-seal"]),
      );
    });
    request.on("error", (error) => result(error.code ?? "error", 0));
    request.end();
  });
}

await site.runCase(path.join(os.tmpdir(), `unsealed-${process.pid}.txt`), async (place, record) => {
  await place.start([ROUTE], SERVICES);
  const entries = new processes.Entries(place.store);
  const zones = ["halle-a", "halle-b", "halle-c"];
  for (const [index, zone] of zones.entries()) {
    const spoiledEach = site.HAS_TROUBLE && index === 0 ? SPOILED_EACH : "0";
    const runner = new processes.RunnerProcess(`i-${index}`, PROGRAM, ["chunked", EVENT_MS, spoiledEach], record);
    const address = await runner.address();
    entries.write(runner.id, processes.engineEntry(address, zone, "v1", "ready", "decode"));
  }
  const daemons = [];
  for (const [index, zone] of zones.entries()) daemons.push(await place.addDaemon(`front-${index}`, zone));
  await site.sleep(4000);
  const answers = [];
  const client = async (number) => {
    for (let round = 0; round < ROUNDS; round++) {
      answers.push(await ask(daemons[number % daemons.length].front, `r${number}-${round}`, record));
      await site.sleep(10);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, (_, number) => client(number)));
  entries.stop();
  return answers
    .filter(({ state, status, seal }) => status === 200 && state === "complete" && seal === undefined)
    .map(({ id, ids }) => `${id}: a whole success of ${ids.length} events without a seal`);
});
