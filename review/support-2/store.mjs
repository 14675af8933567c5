/** Stand-in of the platform's store: items, watches, transactions and leases over HTTP, as PROTOCOL.md says. */
import * as http from "node:http";

const WATCH_POLL_MS = 20;

/** The store, in the memory of this process. */
export class Store {
  /** Whether calls are answered; a store that is down takes calls and says nothing. */
  isUp = true;
  /** Whether watches that are waiting are cut. */
  cutsWatches = false;
  #items = new Map();
  #changes = [];
  #leases = new Map();
  #revision = 1;
  #lastLease = 0;
  #server = http.createServer((request, response) => void this.#handle(request, response));

  async start() {
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    for (const timer of this.#leases.values()) clearTimeout(timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a document, as the operator or a server does. */
  write(key, document) {
    return this.#put(key, Buffer.from(JSON.stringify(document)).toString("base64"), 0);
  }

  /** @returns the items whose keys begin with the prefix */
  itemsOf(prefix) {
    return [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision++;
    this.#changes.push({ key, revision: this.#revision, removed: true });
  }

  #put(key, value, lease) {
    this.#revision++;
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#changes.push(item);
    return this.#revision;
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (!this.isUp) return;
    const url = new URL(request.url, "http://store");
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
    const answered = await this.#answer(request.method, url, body);
    if (answered === undefined) {
      request.socket.destroy();
      return;
    }
    const [status, answer] = answered;
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer));
  }

  async #answer(method, url, body) {
    const [, , call, argument = ""] = url.pathname.split("/");
    const query = url.searchParams;
    if (call === "kv-key") return this.#read(query.get("key"));
    if (call === "kv-range") return this.#list(query.get("path-prefix") ?? "", query.get("after") ?? "");
    if (call === "kv-watch") return this.#watch(query);
    if (call === "kv-txn") return this.#transact(body);
    if (call === "kv-lease" && method === "POST") return [200, this.#grant(body["ttl-ms"])];
    const lease = Number(argument);
    if (!this.#leases.has(lease)) return [404, {}];
    if (call === "kv-keep") this.#leases.get(lease).refresh();
    else this.#end(lease);
    return [200, {}];
  }

  #read(key) {
    const item = this.#items.get(key);
    return item === undefined ? [404, {}] : [200, { ...item, "current-rev": this.#revision }];
  }

  #list(prefix, after) {
    const items = this.itemsOf(prefix)
      .filter(({ key }) => key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return [200, { items: items.slice(0, 500), truncated: items.length > 500, "current-rev": this.#revision }];
  }

  async #watch(query) {
    const prefix = query.get("path-prefix") ?? "";
    const after = Number(query.get("after"));
    const until = performance.now() + Number(query.get("wait-ms"));
    for (;;) {
      if (this.cutsWatches) return undefined;
      const events = this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
      if (events.length > 0 || performance.now() >= until) return [200, { events, "current-rev": this.#revision }];
      await new Promise((resolve) => setTimeout(resolve, WATCH_POLL_MS));
    }
  }

  #transact({ expected = [], puts = [], remove = [] }) {
    const isMet = expected.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision);
    if (!isMet) return [412, { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) }];
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) return [404, {}];
    for (const { key, value, lease } of puts) this.#put(key, value, lease ?? 0);
    for (const key of remove) this.remove(key);
    return [200, { revision: this.#revision }];
  }

  #grant(ttlMs) {
    const lease = ++this.#lastLease;
    this.#leases.set(
      lease,
      setTimeout(() => this.#end(lease), ttlMs),
    );
    return { lease, "ttl-ms": ttlMs };
  }

  #end(lease) {
    clearTimeout(this.#leases.get(lease));
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) if (item.lease === lease) this.remove(item.key);
  }
}
