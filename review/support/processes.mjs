/** A runner as a process, and the entries that runners write into the store. */
import * as site from "./site.mjs";

const HEARTBEAT_MS = 1200;

/** A stand-in of a runner in a process of its own, and the lines that it writes. */
export class RunnerProcess {
  lines = [];
  hasEnded = false;
  left;
  #child;

  constructor(id, program, parameters, record) {
    this.id = id;
    this.#child = site.startProcess([program, id, ...parameters], { stdio: ["ignore", "pipe", "inherit"] });
    this.left = new Promise((resolve) => this.#child.once("exit", resolve));
    void this.left.then(() => (this.hasEnded = true));
    let rest = "";
    this.#child.stdout.on("data", (chunk) => {
      const lines = (rest + String(chunk)).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) {
        this.lines.push(line);
        record.note("runner", { id, line: line.replaceAll(" ", "_") });
      }
    });
  }

  async address() {
    for (let tries = 0; tries < 200; tries++) {
      const line = this.lines.find((each) => each.startsWith("listening "));
      if (line !== undefined) return line.slice("listening ".length);
      await site.sleep(25);
    }
    throw new Error(`runner ${this.id} does not listen`);
  }

  signal(name) {
    if (!this.hasEnded) this.#child.kill(name);
  }
}

/** The entries of the runners, written again at each heartbeat. */
export class Entries {
  #store;
  #timers = new Map();

  constructor(store) {
    this.#store = store;
  }

  write(id, entry) {
    this.remove(id, false);
    this.#store.put(`servers/${id}`, entry);
    const beat = setInterval(() => this.#store.put(`servers/${id}`, entry), HEARTBEAT_MS);
    this.#timers.set(id, beat);
  }

  /** Writes the entry no more; it stays until it is removed. */
  silence(id) {
    clearInterval(this.#timers.get(id));
  }

  remove(id, isGone = true) {
    clearInterval(this.#timers.get(id));
    if (this.#timers.delete(id) && isGone) this.#store.remove(`servers/${id}`);
  }

  stop() {
    for (const timer of this.#timers.values()) clearInterval(timer);
  }
}

/** The entry of a model runner. */
export function engineEntry(address, zone, version, state, stage) {
  const rest = { state, "cold-remaining-ms": 0, stage, sequence: 0, models: [{ name: "m", version: 1, adapters: [] }] };
  return { service: "assist-llm", address, zone, version, slots: 64, ...rest };
}
