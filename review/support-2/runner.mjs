/** Stand-ins of runners: model runners with prefill and decode, and runners of plain calls, as PROTOCOL.md says. */
import * as crypto from "node:crypto";
import * as http from "node:http";

const HEARTBEAT_MS = 1_200;
const KEEP_ALIVE_MS = 15_000;

/** What runners of both kinds share: their entry in the store, crashes and returns, and what they have run. */
class Runner {
  /** Ids of the requests that it began to run, with the instant in milliseconds. */
  runs = [];
  crashes = 0;
  /** Version of its software. */
  version = "1";
  /** @returns whether a request crashes the runner as it begins to run it */
  isCrashing = () => false;
  isLeaving = false;
  #connections = new Set();
  #server;
  #port = 0;
  #sequence = 0;
  #heartbeat;

  constructor(store, { id, service, zone, slots, stage }) {
    Object.assign(this, { store, id, service, zone, slots, stage });
  }

  async start() {
    this.born = Date.now();
    this.#server = http.createServer((request, response) => void this.handle(request, response));
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.#server.on("connection", (socket) => {
      this.#connections.add(socket);
      socket.once("close", () => this.#connections.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#port, "127.0.0.1", resolve);
    });
    this.#port = this.#server.address().port;
    this.#register();
    this.#heartbeat = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  stop() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    for (const connection of this.#connections) connection.resetAndDestroy();
  }

  /** Removes its entry and goes on serving; says in its answers that it leaves. */
  leave() {
    clearInterval(this.#heartbeat);
    this.isLeaving = true;
    this.store.remove(`servers/${this.id}`);
  }

  /**
   * Ends as a process does that crashes, and is back under the same id after some seconds.
   *
   * @param closesInOrder - whether its connections are closed as the operating system does for a process that has ended and
   *   has read all that came; they are reset otherwise
   */
  crash(backAfterMs, closesInOrder = false) {
    this.crashes++;
    if (closesInOrder) for (const connection of this.#connections) connection.destroy();
    this.stop();
    setTimeout(() => void this.start().catch(() => undefined), backAfterMs).unref();
  }

  #register() {
    const { address, born, service, slots, stage = "", version, zone } = this;
    const state = { state: "ready", "cold-remaining-ms": 0, sequence: ++this.#sequence };
    this.store.write(`servers/${this.id}`, { service, address, zone, version, slots, stage, born, ...state });
  }

  /** @returns the id of a request that this runner is meant to run; the others are turned away */
  async accept(request, response) {
    request.on("error", () => undefined);
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return undefined;
    }
    const id = request.headers["x-request-id"];
    const expected = request.headers["x-expect-instance"];
    if (id === undefined) this.decline(response, 400);
    else if (expected !== undefined && expected !== this.id) this.decline(response, 421, id);
    else return id;
    return undefined;
  }

  noteRun(id) {
    this.runs.push({ id, at: performance.now() });
  }

  headersFor(id) {
    const leaving = this.isLeaving ? { "server-leaving": "1" } : {};
    return { "x-request-id": id, "x-instance-id": this.id, "x-response-seal": `seal.${id}`, ...leaving };
  }

  decline(response, status, id) {
    const named = id === undefined ? {} : { "x-request-id": id };
    response.writeHead(status, { "x-not-executed": "1", "content-length": 0, ...named });
    response.end();
  }

  answer(response, body, headers = {}) {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    response.writeHead(200, { "content-length": Buffer.byteLength(text), ...headers });
    response.end(text);
  }
}

/** A runner of plain calls. */
export class PlainRunner extends Runner {
  workMs = 30;

  async handle(request, response) {
    if (request.url === "/health") {
      this.answer(response, "", { "x-instance-id": this.id });
      return;
    }
    const id = await this.accept(request, response);
    if (id === undefined) return;
    this.noteRun(id);
    setTimeout(() => this.answer(response, `done ${id}`, this.headersFor(id)), this.workMs);
  }
}

/** A model runner. */
export class Engine extends Runner {
  pieces = 3;
  pieceMs = 15;
  prefillMs = 8;
  firstPieceMs = 15;
  backAfterMs = 3_000;
  /** Whether its streams have neither a length nor chunks. */
  isUnframed = false;
  #handles = new Set();

  async handle(request, response) {
    if (request.url === "/camphorcourse/report") {
      this.#report(response);
      return;
    }
    if (request.url.startsWith("/camphorcourse/kv-handle/")) {
      this.#handles.delete(request.url.split("/").at(-1));
      this.answer(response, {});
      return;
    }
    if (request.url.startsWith("/camphorcourse/")) {
      // Orders and copies are turned away: this runner is busy with another order, and no other has room.
      response.writeHead(request.url.endsWith("/kv-move") ? 503 : 409, { "content-length": 2 });
      response.end("{}");
      return;
    }
    const id = await this.accept(request, response);
    if (id === undefined) return;
    const asked = request.headers["x-serving-stage"] === "prefill" ? "prefill" : "decode";
    if (asked !== this.stage) this.decline(response, 421, id);
    else if (asked === "prefill") this.#prefill(response, id, request.headers["x-token-counts"]);
    else this.#run(request, response, id);
  }

  #prefill(response, id, counts = "0,0") {
    const handle = crypto.randomBytes(6).toString("hex");
    this.#handles.add(handle);
    const body = { "kv-handle": handle, tokens: Number(counts.split(",")[0]), version: 1 };
    setTimeout(
      () => this.answer(response, body, { "content-type": "application/json", ...this.headersFor(id) }),
      this.prefillMs,
    );
  }

  #run(request, response, id) {
    if (this.isCrashing(request)) {
      this.noteRun(id);
      setTimeout(() => this.crash(this.backAfterMs), this.firstPieceMs);
      return;
    }
    this.noteRun(id);
    if (this.isUnframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, { "content-type": "text/event-stream", "x-weight-versions": "1", ...this.headersFor(id) });
    let made = Number(request.headers["last-event-id"] ?? 0);
    const timer = setInterval(() => {
      made++;
      response.write(`id: ${made}\ndata: ${id} ${made} version ${this.version}\n\n`);
      if (made < this.pieces) return;
      clearInterval(timer);
      response.end();
    }, this.pieceMs);
    response.once("close", () => clearInterval(timer));
  }

  #report(response) {
    const { born, stage } = this;
    const models = [{ name: "m", version: 1, adapters: [] }];
    const load = { waiting: 0, running: 0, "kv-used": 0, "kv-total": 540_686, "kv-handles": this.#handles.size };
    const body = { stage, models, busy: false, sequence: 0, ...load, born };
    this.answer(response, body, { "content-type": "application/json" });
  }
}
