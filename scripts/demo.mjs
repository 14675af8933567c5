// End-to-end demo: several daemons serve callers over real sockets while one of
// them is shut down gracefully and another is killed.
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as standIns from "../packages/stand-ins/dist/src/index.js";

const REQUESTS = 400;
const INTERVAL_MS = 25;
const SHUTDOWN_AT = 120;
const KILL_AT = 240;
const ADDRESS_TTL_MS = 2000;

const fleet = new standIns.Fleet({ engines: 6, services: 3, daemons: 3 });
const results = [];

async function main() {
  await fleet.startProcesses();
  await applyConfiguration();
  await fleet.waitUntilConnected();
  const caller = new Caller(fleet.daemons);
  const calls = [];
  for (let index = 0; index < REQUESTS; index++) {
    if (index === SHUTDOWN_AT) fleet.daemons[0].child.kill("SIGTERM");
    if (index === KILL_AT) fleet.daemons[1].child.kill("SIGKILL");
    calls.push(caller.send(index));
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
  }
  await Promise.all(calls);
  return report();
}

async function applyConfiguration() {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), "camphorcourse-"));
  const file = path.join(folder, "leoben.yaml");
  await fs.writeFile(file, fleet.document());
  const environment = {
    CAMPHORCOURSE_ADMIN: fleet.daemons[2].adminUrl,
    CAMPHORCOURSE_TOKEN: standIns.OPERATOR_TOKEN,
    CAMPHORCOURSE_TEAM: "leoben",
  };
  const applied = await fleet.launcher.runTool(["config", "apply", "--wait", file], environment);
  process.stdout.write(applied.output);
  await fs.rm(folder, { recursive: true });
  if (applied.code !== 0) throw new Error("the configuration was rejected");
}

/** A caller that asks the daemons which VMs to use and caches the addresses. */
class Caller {
  #daemons;
  #addresses = [];
  #refreshedAt = 0;

  constructor(daemons) {
    this.#daemons = daemons;
  }

  async send(index) {
    const kind = index % 4 === 0 ? "label" : index % 4 === 1 ? "document" : "stream";
    const result = { index, kind, outcome: "lost", complete: false, tries: 0, daemon: "" };
    results.push(result);
    while (result.tries < 4 && !result.complete) {
      result.tries++;
      await this.#attempt(result);
      if (!result.complete) await new Promise((resolve) => setTimeout(resolve, 300));
    }
  }

  async #attempt(result) {
    const address = await this.#chooseAddress(result.index + result.tries);
    result.daemon = address.vm;
    try {
      if (result.kind === "label") await this.#requestLabel(address.url, result);
      else await this.#requestCompletion(address.url, result);
    } catch {
      result.outcome = "connection lost";
      result.lostFrom = address.vm;
      this.#refreshedAt = 0;
    }
  }

  async #requestLabel(url, result) {
    const reply = await fetch(`${url}/v1/services/yard-app/labels`, {
      method: "POST",
      headers: { ...headers(), "idempotency-key": `label-${result.index}` },
      body: JSON.stringify({ bale: result.index }),
    });
    const body = await reply.json();
    result.outcome = reply.ok ? "answered" : body.outcome;
    result.complete = reply.ok && JSON.parse(body.echo).bale === result.index;
  }

  async #requestCompletion(url, result) {
    const stream = result.kind === "stream";
    const reply = await fetch(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: headers(),
      body: JSON.stringify({
        model: "assist-llm",
        messages: [{ role: "user", content: `dossier ${result.index} ${"batch ".repeat(100)}` }],
        max_tokens: 40,
        stream,
      }),
    });
    const text = await reply.text();
    result.outcome = reply.ok ? "answered" : JSON.parse(text).outcome;
    result.complete =
      reply.ok && (stream ? text.endsWith("data: [DONE]\n\n") : text.includes('"completion_tokens":40'));
  }

  async #chooseAddress(attempt) {
    if (Date.now() - this.#refreshedAt > ADDRESS_TTL_MS) await this.#refreshAddresses();
    return this.#addresses[attempt % this.#addresses.length];
  }

  async #refreshAddresses() {
    for (const daemon of this.#daemons) {
      const reply = await fetch(`${daemon.url}/v1/addresses?service=assist-llm`)
        .then((answer) => answer.json())
        .catch(() => undefined);
      if (!reply || reply.addresses.length === 0) continue;
      this.#addresses = reply.addresses;
      this.#refreshedAt = Date.now();
      return;
    }
  }
}

function headers() {
  return { authorization: `Bearer ${standIns.TEAM_TOKEN}`, "content-type": "application/json" };
}

async function report() {
  const executionCounts = new Map();
  for (const service of fleet.services) {
    for (const entry of await fleet.journal(service.url)) {
      executionCounts.set(entry.key, (executionCounts.get(entry.key) ?? 0) + 1);
    }
  }
  const duplicated = [...executionCounts.values()].filter((count) => count > 1).length;
  const answered = results.filter((result) => result.outcome === "answered").length;
  const complete = results.filter((result) => result.complete).length;
  const cut = results.filter((result) => result.lostFrom === fleet.daemons[0].vm).length;
  const rows = ["label", "document", "stream"].map((kind) => {
    const ofKind = results.filter((result) => result.kind === kind);
    const done = ofKind.filter((result) => result.complete);
    return {
      kind,
      requests: ofKind.length,
      complete: done.length,
      "more than one try": ofKind.filter((result) => result.tries > 1).length,
    };
  });
  console.table(rows);
  for (const result of results.filter((candidate) => !candidate.complete))
    console.log("not complete:", JSON.stringify(result));
  console.log(`demo: answered ${answered} of ${REQUESTS}, complete ${complete}, duplicated ${duplicated}, cut ${cut}`);
  return cut > 0 || duplicated > 0 ? 1 : 0;
}

try {
  process.exitCode = await main();
} finally {
  fleet.stop();
}
