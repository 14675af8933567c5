/** A small deployment: store, runners, two daemons of the deploy file, and ordinary clients beside what a case does. */
import * as fs from "node:fs";
import * as http from "node:http";
import * as path from "node:path";
import * as daemons from "./daemon.mjs";
import * as runners from "./runner.mjs";
import * as links from "./silence.mjs";
import * as stores from "./store.mjs";

export const HOST = "ficu95.example";

/** Whether the disruption is played. */
export const TROUBLE = process.env.TROUBLE !== "0";

const ZONES = ["halle-a", "halle-b", "halle-c"];
const KV_TOKENS = 540_686;

/** Timeouts of the routes, in milliseconds. */
export const TIMEOUT_MS = { stream: 10_000, call: 1_000 };

/** Longest time that a case may take, in milliseconds. */
const MAX_CASE_MS = 118_000;

/** Time after a route's timeout within which a request must have its final answer, in milliseconds (CONFIG). */
export const ANSWER_SLACK_MS = 500;

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: "r-stream",
      host: HOST,
      "path-prefix": "/lohu930/",
      kind: "stream",
      "timeout-ms": TIMEOUT_MS.stream,
      "target-latency-ms": 600,
      priority: 2,
      service: "llm",
      attempts: 2,
      sticky: true,
      resumable: true,
      "gap-target-ms": 300,
    },
    {
      name: "r-call",
      host: HOST,
      "path-prefix": "/puxa403/",
      kind: "unsafe",
      "timeout-ms": TIMEOUT_MS.call,
      "target-latency-ms": 193,
      priority: 2,
      service: "yard",
      attempts: 1,
    },
  ],
  services: [
    {
      name: "llm",
      "health-path": "/health",
      "max-connections": 370,
      engine: {
        slots: 64,
        "kv-capacity-tokens": KV_TOKENS,
        "token-kv-bytes": 35_136,
        "link-mbps": 1_100_000,
        "handle-ttl-s": 5,
        "switch-s": 3,
      },
    },
    { name: "yard", "health-path": "/health", "max-connections": 110 },
  ],
  limits: {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
  },
};

/** Waits. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** One deployment, what its clients sent and got, and its record. */
export class Site {
  store = new stores.Store();
  engines = [];
  plainRunners = [];
  daemons = [];
  /** The link of each daemon to the store. */
  storeLinks = [];
  /** Ordinary calls: id, daemon, and the instants in milliseconds since the start of the case. */
  calls = [];
  #startedAt = performance.now();
  #folder = daemons.temporaryFolder();
  #lines = [];
  #agents = new Map();
  #traffic;
  #requests = 0;

  /** @returns time since the start of the case, in milliseconds */
  get now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Adds a line to the record. */
  note(text) {
    const line = `${String(this.now).padStart(7)} ms  ${text}`;
    this.#lines.push(line);
    console.log(line);
  }

  async start({ routes = [], settings: others = {} } = {}, count = 2) {
    await this.store.start();
    await this.#startLinks(count);
    this.store.write("op/config", { ...CONFIGURATION, routes: [...CONFIGURATION.routes, ...routes] });
    for (const [index, stage] of ["prefill", "prefill", "decode", "decode", "decode", "decode"].entries()) {
      const own = { id: `i-llm${index}`, service: "llm", zone: ZONES[index % ZONES.length], slots: 64, stage };
      this.engines.push(new runners.Engine(this.store, own));
    }
    for (const [index, zone] of ZONES.entries())
      this.plainRunners.push(
        new runners.PlainRunner(this.store, { id: `i-yard${index}`, service: "yard", zone, slots: 6 }),
      );
    for (const runner of [...this.engines, ...this.plainRunners]) await runner.start();
    const ports = await daemons.freePorts(count * 5);
    for (let index = 0; index < count; index++) {
      const own = ports.slice(index * 5, index * 5 + 5);
      const settings = daemons.settingsOf({
        vm: `front-${index + 1}`,
        zone: ZONES[index % ZONES.length],
        zones: ZONES,
        ports: own,
        peerPort: own[3],
        storeAddress: this.storeLinks[index].address,
        ...others,
      });
      this.daemons.push(new daemons.Daemon(settings, this.#folder, (text) => this.note(text)));
    }
    for (const daemon of this.daemons) daemon.start();
    for (const daemon of this.daemons) await daemons.untilReady(daemon);
    this.note(
      `${count} daemons are ready, ${this.engines.length} model runners and ${this.plainRunners.length} others serve`,
    );
  }

  async #startLinks(count) {
    for (let index = 0; index < count; index++) this.storeLinks.push(new links.Link(this.store.address));
    for (const link of this.storeLinks) await link.start();
  }

  /** Sends ordinary calls to every daemon, each over a connection that is kept. */
  beginTraffic(perSecondEach) {
    this.#traffic = setInterval(() => {
      for (const daemon of this.daemons) this.#call(daemon);
    }, 1_000 / perSecondEach);
  }

  endTraffic() {
    clearInterval(this.#traffic);
  }

  #agentOf(daemon) {
    if (!this.#agents.has(daemon)) this.#agents.set(daemon, new http.Agent({ keepAlive: true }));
    return this.#agents.get(daemon);
  }

  #call(daemon) {
    const call = {
      id: `call-${++this.#requests}`,
      vm: daemon.vm,
      sentAt: this.now,
      answeredAt: undefined,
      outcome: "",
    };
    this.calls.push(call);
    const end = (outcome) => {
      if (call.outcome !== "") return;
      call.outcome = outcome;
      call.answeredAt = this.now;
    };
    const headers = {
      Host: HOST,
      "X-Request-Id": call.id,
      "X-Deadline-Ms": String(TIMEOUT_MS.call),
      "Content-Length": "4",
    };
    const options = { host: "127.0.0.1", port: daemon.front, method: "POST", path: "/puxa403/2f", headers };
    const request = http.request({ ...options, agent: this.#agentOf(daemon) }, (response) => {
      response.resume();
      response.once("end", () => end(`status ${response.statusCode}`));
      response.once("error", () => end("broken off"));
    });
    request.once("socket", (socket) => {
      call.isKept = request.reusedSocket;
      socket.setNoDelay(true);
    });
    request.once("error", (error) => end(error.code));
    request.end("body");
  }

  /**
   * Sends one request for a stream over a connection of its own.
   *
   * @param parts - parts of its prompt, ID:TOKENS
   * @returns what became of it
   */
  stream(
    daemon,
    { id, path: target = "/lohu930/2f", parts, tokens, body = "prompt", agent, waitMs = TIMEOUT_MS.stream },
  ) {
    return new Promise((resolve) => {
      const headers = {
        Host: HOST,
        "X-Request-Id": id,
        "X-Model": "m",
        "X-Token-Counts": `${tokens},2`,
        "X-Prompt-Prefix": parts.join(","),
        "X-Deadline-Ms": String(TIMEOUT_MS.stream),
        "Content-Length": String(Buffer.byteLength(body)),
      };
      const options = {
        host: "127.0.0.1",
        port: daemon.front,
        method: "POST",
        path: target,
        headers,
        agent: agent ?? false,
      };
      const request = http.request(options, (response) => {
        response.resume();
        response.once("end", () => resolve(response.complete ? `status ${response.statusCode}` : "broken off"));
        response.once("error", () => resolve("broken off"));
      });
      request.once("error", (error) => resolve(error.code));
      setTimeout(() => {
        resolve("no answer");
        request.destroy();
      }, waitMs + ANSWER_SLACK_MS).unref();
      request.end(body);
    });
  }

  /** @returns whether a daemon answers its readiness check within a second */
  async isAnswering(daemon) {
    try {
      const reply = await fetch(`http://127.0.0.1:${daemon.ready}/camphorcourse/ready`, {
        signal: AbortSignal.timeout(1_000),
      });
      await reply.text();
      return true;
    } catch {
      return false;
    }
  }

  /** @returns the calls that were sent so early that their route's timeout and the slack have passed */
  get judgedCalls() {
    return this.calls.filter(({ sentAt }) => this.now - sentAt > TIMEOUT_MS.call + ANSWER_SLACK_MS);
  }

  /** CONFIG: of the requests that are unanswered at the route's timeout, those that have no answer half a second later. */
  overdue() {
    const took = ({ answeredAt = Number.POSITIVE_INFINITY, sentAt }) => answeredAt - sentAt;
    const late = this.judgedCalls.filter((call) => took(call) > TIMEOUT_MS.call);
    return { late: late.length, overdue: late.filter((call) => took(call) > TIMEOUT_MS.call + ANSWER_SLACK_MS).length };
  }

  /** Calls on kept connections that a sound runner ran and whose connection closed without an answer (LOST). */
  lost() {
    const ran = new Set(this.plainRunners.flatMap(({ runs }) => runs.map(({ id }) => id)));
    return this.calls.filter(
      ({ id, isKept, outcome }) =>
        isKept && ran.has(id) && !["", "no answer"].includes(outcome) && !outcome.startsWith("status"),
    );
  }

  /** Ends all processes and stand-ins and writes the record. */
  async stop(folder, verdict) {
    this.endTraffic();
    for (const call of this.calls) call.outcome ||= "no answer";
    for (const agent of this.#agents.values()) agent.destroy();
    for (const daemon of this.daemons) await daemon.stop();
    for (const runner of [...this.engines, ...this.plainRunners]) runner.stop();
    for (const link of this.storeLinks) link.stop();
    this.store.stop();
    fs.rmSync(this.#folder, { recursive: true });
    const outcomes = {};
    for (const { outcome } of this.calls) outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    this.note(`ordinary calls by outcome: ${JSON.stringify(outcomes)}`);
    this.note(`verdict: ${verdict}`);
    const calls = this.calls.map(
      ({ id, vm, sentAt, answeredAt, isKept, outcome }) =>
        `${id} to ${vm} sent at ${sentAt} (${isKept ? "kept" : "new"} connection), ${outcome}${answeredAt === undefined ? "" : ` at ${answeredAt}`}`,
    );
    const runs = [...this.engines, ...this.plainRunners].flatMap(({ id, runs: own }) =>
      own.map((run) => `${run.id} at ${id} at ${Math.round(run.at - this.#startedAt)}`),
    );
    if (folder === undefined) return;
    const text = [...this.#lines, "", "Sent and answered:", ...calls, "", "Run:", ...runs, ""].join("\n");
    fs.writeFileSync(path.join(folder, "record.txt"), text);
  }
}

/**
 * Plays a case and ends this process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param folder - folder of the case, which gets its record; undefined for a trial
 * @param play - plays it; returns whether the rule was broken, and why
 * @param options - further routes of the configuration, and other settings of the daemons
 */
export async function run(folder, play, options = {}) {
  const site = new Site();
  process.once("exit", () => {
    for (const daemon of site.daemons) if (daemon.pid !== undefined) daemon.kill();
  });
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.once(signal, () => process.exit(2));
  setTimeout(() => process.exit(2), MAX_CASE_MS).unref();
  let code = 2;
  let verdict = "the case couldn't run";
  try {
    await site.start(options);
    const { isBroken, reason } = await play(site);
    code = isBroken ? 1 : 0;
    verdict = `${isBroken ? "broken" : "held"}: ${reason}`;
  } catch (error) {
    verdict = `the case couldn't run: ${error.stack}`;
  }
  await site.stop(folder, verdict);
  process.exit(code);
}
