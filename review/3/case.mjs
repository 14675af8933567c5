/**
 * A prefill runner falls silent for a second or so and goes on. Requests that wait for it are also sent to decode runners,
 * which begin to run them; then the prefill runner answers.
 */
import * as http from "node:http";
import * as url from "node:url";
import * as processes from "../support/processes.mjs";
import * as site from "../support/site.mjs";

/** What was sent, answered and run. */
const RECORD_FILE = url.fileURLToPath(new URL("record.txt", import.meta.url));
const ZONES = ["halle-a", "halle-b", "halle-c"];

const SILENCE_MS = 1500;
const ROUNDS = 6;
const REQUEST_EVERY_MS = 60;
const WARM_UP_MS = 11000;
const BETWEEN_MS = 3000;

const PROMISES_NOT_RUN = new Set([408, 421, 429, 503]);

const ROUTE = {
  name: "r-note",
  host: site.HOST,
  "path-prefix": "/note/",
  kind: "stream",
  "timeout-ms": 8000,
  "target-latency-ms": 300,
  priority: 1,
  service: "assist-llm",
  attempts: 2,
  sticky: true,
  resumable: false,
  "gap-target-ms": 300,
};

const ENGINE = {
  slots: 64,
  "kv-capacity-tokens": 540686,
  "token-kv-bytes": 35136,
  "link-mbps": 1100000,
  stride: 10,
  "handle-ttl-s": 5,
  "switch-s": 3,
  models: [{ name: "m" }],
};

function send(port, id, record) {
  return new Promise((resolve) => {
    const number = id.replace(/\D/g, "");
    const headers = {
      host: site.HOST,
      "x-request-id": id,
      "x-deadline-ms": "8000",
      "x-model": "m",
      "x-token-counts": "800,30",
      "x-prompt-prefix": `aa:100,b${number}:700`,
      "content-length": "6",
    };
    const options = { host: "127.0.0.1", port, method: "POST", path: "/note/x", headers, agent: false };
    const request = http.request(options, (response) => {
      response.resume();
      response.on("error", () => undefined);
      response.once("close", () => {
        record.note("answered", { id, status: response.statusCode, whole: response.complete });
        resolve({ id, status: response.statusCode });
      });
    });
    request.once("error", () => {
      record.note("closed", { id });
      resolve({ id, status: 0 });
    });
    record.note("sent", { id });
    request.end("prompt");
  });
}

async function play(place, record) {
  const service = { name: "assist-llm", "health-path": "/health", "max-connections": 370, engine: ENGINE };
  await place.start([ROUTE], [service]);
  const entries = new processes.Entries(place.store);
  const stages = ["prefill", "decode", "decode", "decode"];
  const engines = stages.map(
    (stage, index) => new processes.RunnerProcess(`i-${index + 1}`, "review/3/engine.mjs", [stage], record),
  );
  try {
    for (const [index, each] of engines.entries()) {
      const zone = ZONES[index % ZONES.length];
      entries.write(each.id, processes.engineEntry(await each.address(), zone, "v1", "ready", stages[index]));
    }
    const daemon = await place.addDaemon("front-halle-a-1", "halle-a");
    const pending = [];
    const sending = setInterval(() => {
      pending.push(send(daemon.front, `n${pending.length + 1}`, record));
    }, REQUEST_EVERY_MS);
    await site.sleep(WARM_UP_MS);
    for (let round = 0; round < ROUNDS; round++) {
      if (site.HAS_TROUBLE) {
        record.note("silent", { runner: engines[0].id, forMs: SILENCE_MS });
        engines[0].signal("SIGSTOP");
        await site.sleep(SILENCE_MS);
        engines[0].signal("SIGCONT");
        record.note("goes-on", { runner: engines[0].id });
      }
      await site.sleep(BETWEEN_MS);
    }
    clearInterval(sending);
    const answers = await Promise.all(pending);
    await site.sleep(500);
    return judge(answers, engines, record);
  } finally {
    entries.stop();
    for (const each of engines) each.signal("SIGKILL");
  }
}

/** A request that isn't idempotent runs once at most, and not at all if it is refused. */
function judge(answers, engines, record) {
  const runs = new Map();
  for (const { lines } of engines) {
    for (const line of lines.filter((each) => each.startsWith("run "))) {
      const id = line.slice("run ".length);
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
  }
  const statuses = {};
  for (const { status } of answers) statuses[status] = (statuses[status] ?? 0) + 1;
  record.note("totals", { sent: answers.length, statuses: JSON.stringify(statuses) });
  console.log(JSON.stringify(statuses));
  return answers.flatMap(({ id, status }) => {
    const count = runs.get(id) ?? 0;
    if (count > 1) return [`${id} has run ${count} times (TWICE)`];
    return PROMISES_NOT_RUN.has(status) && count > 0 ? [`${id} was answered ${status} and has run (REFUSED)`] : [];
  });
}

void site.runCase(RECORD_FILE, play);
