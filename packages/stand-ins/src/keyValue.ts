import type * as http from "node:http";
import * as nodeServer from "@hono/node-server/utils/response";
import type * as hono from "hono";
import * as storeModule from "./keyValueStore.js";
import * as standIn from "./standIn.js";

const LEASE_CHECK_MS = 100;
const PROGRESS_MS = 1000;

interface RequestOperation {
  requestPut?: { key: string; value: string; lease?: string };
  requestDeleteRange?: { key: string; range_end?: string };
}

interface TransactionBody {
  compare?: { key: string; target: "CREATE" | "MOD"; create_revision?: string; mod_revision?: string }[];
  success?: RequestOperation[];
}

interface WatchBody {
  create_request: { key: string; range_end?: string; start_revision?: string };
}

/** The platform's key-value service: the part of the etcd v3 JSON gateway that the product uses. */
export class KeyValueStandIn extends standIn.StandIn {
  readonly #store = new storeModule.KeyValueStore();
  readonly #calls = new Map<string, number>();
  readonly #watches = new Set<http.ServerResponse>();

  constructor() {
    super();
    this.app.post("/v3/kv/range", async (context) => this.#range(context));
    this.app.post("/v3/kv/txn", async (context) => this.#transact(context));
    this.app.post("/v3/lease/grant", async (context) => this.#grant(context));
    this.app.post("/v3/lease/keepalive", async (context) => this.#keepAlive(context));
    this.app.post("/v3/lease/revoke", async (context) => this.#revoke(context));
    this.app.post("/v3/watch", async (context) => this.#watch(context));
    this.app.get("/calls", (context) =>
      context.json({ ...Object.fromEntries(this.#calls), waitingWatches: this.#watches.size }),
    );
  }

  /**
   * @param options - where to listen
   * @returns the listening stand-in
   */
  start(options: standIn.ListenOptions): Promise<standIn.RunningStandIn> {
    const leases = setInterval(() => {
      this.#store.expireLeases(performance.now());
    }, LEASE_CHECK_MS);
    const progress = setInterval(() => {
      this.#sendProgress();
    }, PROGRESS_MS);
    return this.listen(options, () => {
      clearInterval(leases);
      clearInterval(progress);
    });
  }

  #count(call: string): void {
    this.#calls.set(call, (this.#calls.get(call) ?? 0) + 1);
  }

  #header(): { revision: string } {
    return { revision: String(this.#store.revision) };
  }

  async #range(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#count("range");
    const body = await context.req.json<{ key: string; range_end?: string }>();
    const found = this.#store.range(decode(body.key), body.range_end && decode(body.range_end));
    return context.json({ header: this.#header(), kvs: found.map(toWire), count: String(found.length) });
  }

  async #transact(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#count("txn");
    const body = await context.req.json<TransactionBody>();
    const compares = (body.compare ?? []).map((compare) => ({
      key: decode(compare.key),
      target: compare.target,
      revision: Number(compare.target === "CREATE" ? compare.create_revision : compare.mod_revision),
    }));
    const writes = (body.success ?? []).flatMap(toWrite);
    const succeeded = this.#store.transact(compares, writes);
    this.record({ event: "txn", succeeded, keys: writes.map((write) => write.key) });
    if (this.faults.takeDroppedReply()) {
      context.env.incoming.socket.destroy();
      return nodeServer.RESPONSE_ALREADY_SENT;
    }
    return context.json({ header: this.#header(), succeeded });
  }

  async #grant(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#count("grant");
    const body = await context.req.json<{ TTL: string }>();
    const id = this.#store.grantLease(Number(body.TTL) * 1000, performance.now());
    return context.json({ header: this.#header(), ID: id, TTL: body.TTL });
  }

  async #keepAlive(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#count("keepalive");
    const body = await context.req.json<{ ID: string }>();
    const ttlMs = this.#store.keepAlive(body.ID, performance.now());
    return context.json({ result: { header: this.#header(), ID: body.ID, TTL: String(ttlMs / 1000) } });
  }

  async #revoke(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#count("revoke");
    const body = await context.req.json<{ ID: string }>();
    this.#store.revokeLease(body.ID);
    return context.json({ header: this.#header() });
  }

  async #watch(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#count("watch");
    const { create_request: create } = await context.req.json<WatchBody>();
    const key = decode(create.key);
    const rangeEnd = create.range_end ? decode(create.range_end) : `${key}\u0000`;
    const outgoing = context.env.outgoing as http.ServerResponse;
    const socket = context.env.incoming.socket;
    const send = (result: object): void => {
      if (!this.faults.isSilenced(socket)) outgoing.write(`${JSON.stringify({ result })}\n`);
    };
    const sendEvents = (events: storeModule.StoreEvent[]): void => {
      const wanted = events.filter((event) => event.key >= key && event.key < rangeEnd);
      if (wanted.length > 0) send({ header: this.#header(), events: wanted.map(toWireEvent) });
    };
    outgoing.writeHead(200, { "content-type": "application/json" });
    this.#watches.add(outgoing);
    const missed = this.#store.eventsSince(Number(create.start_revision ?? this.#store.revision + 1));
    if (missed === undefined)
      send({ header: this.#header(), canceled: true, compact_revision: this.#header().revision });
    else send({ header: this.#header(), created: true });
    sendEvents(missed ?? []);
    const unsubscribe = this.#store.subscribe(sendEvents);
    outgoing.once("close", () => {
      unsubscribe();
      this.#watches.delete(outgoing);
    });
    return nodeServer.RESPONSE_ALREADY_SENT;
  }

  #sendProgress(): void {
    if (this.faults.down) return;
    for (const outgoing of this.#watches) {
      if (outgoing.socket && this.faults.isSilenced(outgoing.socket)) continue;
      outgoing.write(`${JSON.stringify({ result: { header: this.#header() } })}\n`);
    }
  }
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}

function encode(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function toWrite(operation: RequestOperation): storeModule.StoreWrite[] {
  if (operation.requestPut) {
    const put = operation.requestPut;
    return [{ kind: "put", key: decode(put.key), value: decode(put.value), lease: put.lease ?? "0" }];
  }
  if (operation.requestDeleteRange) {
    const range = operation.requestDeleteRange;
    return [
      { kind: "delete", key: decode(range.key), ...(range.range_end ? { rangeEnd: decode(range.range_end) } : {}) },
    ];
  }
  return [];
}

function toWire(stored: storeModule.StoredValue): object {
  return {
    key: encode(stored.key),
    value: encode(stored.value),
    create_revision: String(stored.createRevision),
    mod_revision: String(stored.modRevision),
    lease: stored.lease,
  };
}

function toWireEvent(event: storeModule.StoreEvent): object {
  if (event.stored) return { type: "PUT", kv: toWire(event.stored) };
  return { type: "DELETE", kv: { key: encode(event.key), mod_revision: String(event.revision) } };
}
