/**
 * Requests that may run once meet a runner that is full now and then. One runner sends a second answer to some of the
 * requests that it turned away; it comes late, where the answer to the next request on that connection is due.
 */
import * as http from "node:http";
import * as url from "node:url";
import * as runners from "../support/runner.mjs";
import * as site from "../support/site.mjs";

/** What was sent, answered and run. */
const RECORD_FILE = url.fileURLToPath(new URL("record.txt", import.meta.url));

/** As on the sheet: 3 runners, 6 slots each, and a queue; up to 220 ms of work, in the mean 30. */
const RUNNERS = 3;
const SLOTS = 6;
const QUEUE = 2;

/** The largest dose of second answers: this share of a runner's answers, for this long. */
const EXTRA_SHARE = 0.03;
const EXTRA_MS = 5000;
const DOSES = 6;

/** Waves that fill the runners' places for a moment, and single requests between them. */
const WAVES = [22, 26, 30];
const WAVE_EVERY_MS = 200;
const SINGLE_EVERY_MS = 20;
const CALM_MS = 2000;

const PROMISES_NOT_RUN = new Set([408, 421, 429, 503]);

const agent = new http.Agent({ keepAlive: true });

/** A plain runner whose second answers, if it gives any, come at the point where the next answer is expected. */
class Runner {
  runs = new Map();
  #busy = 0;
  #queue = [];
  /** Answers, and second answers, since the dose began. */
  #answers = 0;
  #extras = 0;
  #extrasUntil = 0;
  #record;
  #seed;
  /** Second answers that lie in wait, by connection. */
  #late = new WeakMap();

  constructor(id, record, seed) {
    this.id = id;
    this.#record = record;
    this.#seed = seed;
    this.raw = new runners.RawRunner(id, (request, socket) => this.#onRequest(request, socket));
  }

  /** Gives second answers from now on, for as long as a dose lasts. */
  beginDose() {
    this.#answers = 0;
    this.#extras = 0;
    this.#extrasUntil = performance.now() + EXTRA_MS;
  }

  #draw() {
    this.#seed = (this.#seed * 1103515245 + 12345) % 2147483648;
    return this.#seed / 2147483648;
  }

  #onRequest(request, socket) {
    const late = this.#late.get(socket);
    if (late !== undefined) {
      this.#late.delete(socket);
      this.#record.note("second-answer", { runner: this.id, of: late.id, before: request.id });
      socket.write(late.bytes);
    }
    if (request.headers.get("x-expect-instance") !== this.id) {
      socket.write(runners.answerBytes(421, request.id, { "X-Instance-Id": this.id }, ""));
    } else if (this.#busy < SLOTS) this.#run(request, socket);
    else if (this.#queue.length < QUEUE) this.#queue.push({ request, socket });
    else this.#turnAway(request, socket);
  }

  #turnAway(request, socket) {
    this.#answers++;
    this.#record.note("turned-away", { runner: this.id, id: request.id });
    const bytes = runners.answerBytes(503, request.id, { "X-Not-Executed": "1", "X-Instance-Id": this.id }, "");
    socket.write(bytes);
    const mayRepeat = performance.now() < this.#extrasUntil && this.#extras + 1 <= this.#answers * EXTRA_SHARE;
    if (!mayRepeat) return;
    this.#extras++;
    this.#late.set(socket, { id: request.id, bytes });
  }

  #run(request, socket) {
    if (socket.destroyed) {
      this.#next();
      return;
    }
    this.#busy++;
    this.runs.set(request.id, (this.runs.get(request.id) ?? 0) + 1);
    this.#record.note("run", { runner: this.id, id: request.id });
    setTimeout(
      () => {
        this.#busy--;
        this.#answers++;
        const headers = { "X-Response-Seal": `seal.${request.id}`, "X-Instance-Id": this.id };
        if (!socket.destroyed) socket.write(runners.answerBytes(200, request.id, headers, `printed ${request.id}`));
        this.#next();
      },
      15 + 30 * this.#draw(),
    );
  }

  #next() {
    const queued = this.#queue.shift();
    if (queued !== undefined) this.#run(queued.request, queued.socket);
  }
}

function send(port, id, record) {
  return new Promise((resolve) => {
    const headers = { host: site.HOST, "x-request-id": id, "x-deadline-ms": "1000", "content-length": "8" };
    const request = http.request(
      { agent, host: "127.0.0.1", port, method: "POST", path: "/print/manifest", headers },
      (response) => {
        response.resume();
        response.once("close", () => {
          record.note("answered", { id, status: response.statusCode });
          resolve({ id, status: response.statusCode });
        });
      },
    );
    request.once("error", () => {
      record.note("closed", { id });
      resolve({ id, status: 0 });
    });
    record.note("sent", { id });
    request.end("manifest");
  });
}

async function play(place, record) {
  const route = {
    name: "r-print",
    host: site.HOST,
    "path-prefix": "/print/",
    kind: "unsafe",
    "timeout-ms": 1000,
    "target-latency-ms": 193,
    priority: 2,
    service: "yard-app",
    attempts: 1,
    sticky: false,
    resumable: false,
  };
  await place.start([route], [{ name: "yard-app", "health-path": "/health", "max-connections": 110 }]);
  const all = Array.from({ length: RUNNERS }, (_, index) => new Runner(`i-${index + 1}`, record, 17 + index));
  const zones = ["halle-a", "halle-b", "halle-c"];
  for (const [index, runner] of all.entries()) {
    await runner.raw.start();
    const entry = { service: "yard-app", address: runner.raw.address, zone: zones[index], version: "v1", slots: SLOTS };
    place.store.put(`servers/${runner.id}`, { ...entry, state: "ready", "cold-remaining-ms": 0, sequence: 0 });
  }
  const daemons = [];
  for (const zone of zones) daemons.push(await place.addDaemon(`front-${zone}-1`, zone));
  await site.sleep(3000);
  const pending = [];
  const sendOne = () => {
    const { front } = daemons[pending.length % daemons.length];
    pending.push(send(front, `m${pending.length + 1}`, record));
  };
  const load = async (forMs) => {
    const singles = setInterval(sendOne, SINGLE_EVERY_MS);
    for (let elapsed = 0; elapsed < forMs; elapsed += WAVE_EVERY_MS) {
      for (let each = 0; each < WAVES[(elapsed / WAVE_EVERY_MS) % WAVES.length]; each++) sendOne();
      await site.sleep(WAVE_EVERY_MS);
    }
    clearInterval(singles);
  };
  for (let dose = 0; dose < DOSES; dose++) {
    await load(CALM_MS);
    record.note("dose", { hasTrouble: site.HAS_TROUBLE });
    if (site.HAS_TROUBLE) all[0].beginDose();
    await load(EXTRA_MS);
  }
  const answers = await Promise.all(pending);
  await site.sleep(1500);
  agent.destroy();
  for (const runner of all) runner.raw.stop();
  const statuses = {};
  for (const { status } of answers) statuses[status] = (statuses[status] ?? 0) + 1;
  record.note("totals", { sent: answers.length, statuses: JSON.stringify(statuses) });
  console.log(JSON.stringify(statuses));
  const runsOf = (id) => all.reduce((sum, { runs }) => sum + (runs.get(id) ?? 0), 0);
  const broken = [];
  for (const { id, status } of answers) {
    const ran = runsOf(id);
    if (PROMISES_NOT_RUN.has(status) && ran > 0) broken.push(`${id} was answered ${status} and has run (REFUSED)`);
    if (ran > 1) broken.push(`${id} has run ${ran} times (TWICE)`);
  }
  return broken;
}

void site.runCase(RECORD_FILE, play);
