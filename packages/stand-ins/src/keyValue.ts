import type * as http from "node:http";
import * as nodeServer from "@hono/node-server/utils/response";
import type * as hono from "hono";
import * as storeModule from "./keyValueStore.js";
import * as standIn from "./standIn.js";

const LEASE_CHECK_INTERVAL_MS = 100;
const PROGRESS_INTERVAL_MS = 1000;

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

/** Stand-in for the platform's key-value service: the subset of the etcd v3 JSON gateway that the daemons use. */
export class KeyValueStandIn extends standIn.StandIn {
  readonly #store = new storeModule.KeyValueStore();
  readonly #callCounts = new Map<string, number>();
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
      context.json({ ...Object.fromEntries(this.#callCounts), waitingWatches: this.#watches.size }),
    );
  }

  /**
   * Starts the server and the timers for lease expiry and watch progress.
   *
   * @param options - where to listen
   * @returns the listening stand-in
   */
  start(options: standIn.ListenOptions): Promise<standIn.RunningStandIn> {
    const leaseTimer = setInterval(() => {
      this.#store.expireLeases(performance.now());
    }, LEASE_CHECK_INTERVAL_MS);
    const progressTimer = setInterval(() => {
      this.#sendProgress();
    }, PROGRESS_INTERVAL_MS);
    return this.listen(options, () => {
      clearInterval(leaseTimer);
      clearInterval(progressTimer);
    });
  }

  #countCall(call: string): void {
    this.#callCounts.set(call, (this.#callCounts.get(call) ?? 0) + 1);
  }

  #header(): { revision: string } {
    return { revision: String(this.#store.revision) };
  }

  async #range(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#countCall("range");
    const body = await context.req.json<{ key: string; range_end?: string }>();
    const storedValues = this.#store.range(decodeBase64(body.key), body.range_end && decodeBase64(body.range_end));
    return context.json({
      header: this.#header(),
      kvs: storedValues.map(toWireKeyValue),
      count: String(storedValues.length),
    });
  }

  async #transact(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#countCall("txn");
    const body = await context.req.json<TransactionBody>();
    const compares = (body.compare ?? []).map((compare) => ({
      key: decodeBase64(compare.key),
      target: compare.target,
      revision: Number(compare.target === "CREATE" ? compare.create_revision : compare.mod_revision),
    }));
    const writes = (body.success ?? []).flatMap(toStoreWrites);
    const succeeded = this.#store.transact(compares, writes);
    this.record({ event: "txn", succeeded, keys: writes.map((write) => write.key) });
    if (this.faults.consumeDroppedReply()) {
      context.env.incoming.socket.destroy();
      return nodeServer.RESPONSE_ALREADY_SENT;
    }
    return context.json({ header: this.#header(), succeeded });
  }

  async #grant(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#countCall("grant");
    const body = await context.req.json<{ TTL: string }>();
    const id = this.#store.grantLease(Number(body.TTL) * 1000, performance.now());
    return context.json({ header: this.#header(), ID: id, TTL: body.TTL });
  }

  async #keepAlive(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#countCall("keepalive");
    const body = await context.req.json<{ ID: string }>();
    const ttlMs = this.#store.keepAlive(body.ID, performance.now());
    return context.json({ result: { header: this.#header(), ID: body.ID, TTL: String(ttlMs / 1000) } });
  }

  async #revoke(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#countCall("revoke");
    const body = await context.req.json<{ ID: string }>();
    this.#store.revokeLease(body.ID);
    return context.json({ header: this.#header() });
  }

  async #watch(context: hono.Context<standIn.Environment>): Promise<Response> {
    this.#countCall("watch");
    const { create_request: create } = await context.req.json<WatchBody>();
    const key = decodeBase64(create.key);
    const rangeEnd = create.range_end ? decodeBase64(create.range_end) : `${key}\u0000`;
    const outgoing = context.env.outgoing as http.ServerResponse;
    const socket = context.env.incoming.socket;
    const send = (result: object): void => {
      if (!this.faults.isSilenced(socket)) outgoing.write(`${JSON.stringify({ result })}\n`);
    };
    const sendEvents = (events: storeModule.StoreEvent[]): void => {
      const matching = events.filter((event) => event.key >= key && event.key < rangeEnd);
      if (matching.length > 0) send({ header: this.#header(), events: matching.map(toWireEvent) });
    };
    outgoing.writeHead(200, { "content-type": "application/json" });
    this.#watches.add(outgoing);
    const missedEvents = this.#store.eventsSince(Number(create.start_revision ?? this.#store.revision + 1));
    if (missedEvents === undefined)
      send({ header: this.#header(), canceled: true, compact_revision: this.#header().revision });
    else send({ header: this.#header(), created: true });
    sendEvents(missedEvents ?? []);
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

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}

function encodeBase64(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function toStoreWrites(operation: RequestOperation): storeModule.StoreWrite[] {
  if (operation.requestPut) {
    const put = operation.requestPut;
    return [{ kind: "put", key: decodeBase64(put.key), value: decodeBase64(put.value), lease: put.lease ?? "0" }];
  }
  if (operation.requestDeleteRange) {
    const range = operation.requestDeleteRange;
    return [
      {
        kind: "delete",
        key: decodeBase64(range.key),
        ...(range.range_end ? { rangeEnd: decodeBase64(range.range_end) } : {}),
      },
    ];
  }
  return [];
}

function toWireKeyValue(stored: storeModule.StoredValue): object {
  return {
    key: encodeBase64(stored.key),
    value: encodeBase64(stored.value),
    create_revision: String(stored.createRevision),
    mod_revision: String(stored.modRevision),
    lease: stored.lease,
  };
}

function toWireEvent(event: storeModule.StoreEvent): object {
  if (event.stored) return { type: "PUT", kv: toWireKeyValue(event.stored) };
  return { type: "DELETE", kv: { key: encodeBase64(event.key), mod_revision: String(event.revision) } };
}
