/** The prefill runner falls silent for a little over a second, and goes on. */
import * as http from "node:http";
import * as path from "node:path";
import * as processes from "../support/processes.mjs";
import * as site from "../support/site.mjs";

const PROGRAM = path.join(import.meta.dirname, "../support/stagedEngine.mjs");
const PIECES = 38;
/** A dossier-review: 5,382 shared tokens and 6,610 of its own. */
const SHARED_TOKENS = 5382;
const OWN_TOKENS = 6610;
const SILENT_MS = 1450;
const PAUSES = 6;
const BETWEEN_PAUSES_MS = 5000;
/** A new stream each so many milliseconds. */
const SEND_EACH_MS = 250;

const ROUTE = {
  name: "review",
  host: site.HOST,
  "path-prefix": "/review/",
  kind: "stream",
  "timeout-ms": 10000,
  "target-latency-ms": 600,
  "gap-target-ms": 300,
  priority: 2,
  service: "assist-llm",
  attempts: 2,
  sticky: true,
  resumable: false,
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
      "x-token-counts": `${SHARED_TOKENS + OWN_TOKENS},${PIECES}`,
      "x-prompt-prefix": `${id}a:${SHARED_TOKENS},${id}b:${OWN_TOKENS}`,
      "x-deadline-ms": "10000",
      "content-length": "0",
    };
    let text = "";
    const result = (state, status, seal) => {
      const events = [...text.matchAll(/^id: (\d+)$/gm)].length;
      record.note("answered", { id, state, status, seal, events });
      resolve({ id, state, status });
    };
    record.note("sent", { id });
    const options = { host: "127.0.0.1", port, path: "/review/x", method: "POST", headers, agent: false };
    const request = http.request(options, (response) => {
      const { statusCode, headers: answered } = response;
      response.on("data", (chunk) => (text += String(chunk)));
      response.on("error", () => undefined);
      response.on("close", () =>
        result(response.complete ? "complete" : "broken-off", statusCode, answered["x-response-seal"]),
      );
    });
    request.on("error", (error) => result(error.code ?? "error", 0));
    request.end();
  });
}

await site.runCase(path.join(import.meta.dirname, "record.txt"), async (place, record) => {
  await place.start([ROUTE], SERVICES);
  const entries = new processes.Entries(place.store);
  const zones = ["halle-a", "halle-b", "halle-c"];
  const stages = ["prefill", "decode", "decode"];
  const runners = [];
  for (const [index, zone] of zones.entries()) {
    const stage = stages[index];
    const runner = new processes.RunnerProcess(`i-${stage}-${index}`, PROGRAM, [stage], record);
    const address = await runner.address();
    entries.write(runner.id, processes.engineEntry(address, zone, "v1", "ready", stage));
    runners.push(runner);
  }
  const daemons = [];
  for (const [index, zone] of zones.entries()) daemons.push(await place.addDaemon(`front-${index}`, zone));
  await site.sleep(4000);
  const answers = [];
  let count = 0;
  const sending = setInterval(() => {
    answers.push(ask(daemons[count % daemons.length].front, `r${count}`, record));
    count++;
  }, SEND_EACH_MS);
  const [prefilling] = runners;
  await site.sleep(5000);
  for (let pause = 0; pause < PAUSES; pause++) {
    record.note("silent", { id: prefilling.id, pause });
    if (site.HAS_TROUBLE) prefilling.signal("SIGSTOP");
    await site.sleep(SILENT_MS);
    if (site.HAS_TROUBLE) prefilling.signal("SIGCONT");
    record.note("goes-on", { id: prefilling.id, pause });
    await site.sleep(BETWEEN_PAUSES_MS - SILENT_MS);
  }
  clearInterval(sending);
  const answered = await Promise.all(answers);
  entries.stop();
  const broken = [];
  for (const { id, status } of answered) {
    const accepted = runners.filter(({ lines }) => lines.some((line) => line.startsWith(`accepted ${id} `)));
    const ran = runners.filter(({ lines }) => lines.includes(`runs ${id}`));
    if (ran.length > 1) broken.push(`${id}: ran at ${ran.map((each) => each.id).join(" and ")}`);
    else if (accepted.length > 1) record.note("accepted-twice", { id });
    if ((status === 503 || status === 429) && accepted.length > 0) record.note("refused-but-accepted", { id, status });
  }
  return broken;
});
