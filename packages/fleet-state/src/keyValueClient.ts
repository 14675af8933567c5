import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as origin from "./origin.js";

/** A key as it was read, or its deletion as a watch tells it. */
export interface KeyEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly deleted?: boolean;
}

/** A condition: the key has this revision; 0 means that it does not exist. */
export interface Condition {
  readonly key: string;
  readonly kind: "CREATE" | "MOD";
  readonly revision: number;
}

/** Writes that are done together when all conditions hold. */
export interface TransactionRequest {
  readonly conditions: readonly Condition[];
  readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: string }[];
  readonly deletes: readonly { readonly key: string; readonly rangeEnd?: string }[];
}

/** A range as it was read. */
export interface RangeReply {
  readonly entries: readonly KeyEntry[];
  readonly revision: number;
}

/** What a watch tells. */
export interface WatchReply {
  readonly entries: readonly KeyEntry[];
  /** Every change up to this revision has been told. */
  readonly revision: number;
  /** Set when changes were lost: the range must be read anew. */
  readonly compacted: boolean;
}

const CALL_TIMEOUT_MS = 1500;
/** The service sends progress every second, so a watch silent for longer is dead. */
const WATCH_SILENCE_MS = 3500;
const CONNECTIONS = 8;

const headerSchema = zod.looseObject({ revision: zod.string() });
const wireKeySchema = zod.looseObject({
  key: zod.string(),
  value: zod.string().optional(),
  create_revision: zod.string().optional(),
  mod_revision: zod.string().optional(),
});
const rangeSchema = zod.looseObject({ header: headerSchema, kvs: zod.array(wireKeySchema).optional() });
const transactionSchema = zod.looseObject({ header: headerSchema, succeeded: zod.boolean().optional() });
const grantSchema = zod.looseObject({ ID: zod.string(), TTL: zod.string() });
const keepAliveSchema = zod.looseObject({ result: zod.looseObject({ TTL: zod.string().optional() }) });
const watchSchema = zod.looseObject({
  result: zod.looseObject({
    header: headerSchema,
    canceled: zod.boolean().optional(),
    events: zod.array(zod.looseObject({ type: zod.string().optional(), kv: wireKeySchema })).optional(),
  }),
});

/** A client of the key-value service, by the etcd v3 JSON gateway. */
export class KeyValueClient {
  readonly #origin: origin.Origin;

  /** @param url - the service's address */
  constructor(url: string) {
    this.#origin = new origin.Origin(url, CONNECTIONS);
  }

  /**
   * @param key - first key
   * @param rangeEnd - end of the range, not included; missing for one key
   * @returns the keys with the revision of the reading
   */
  async range(key: string, rangeEnd?: string): Promise<neverthrow.Result<RangeReply, origin.TransportFailure>> {
    const body = { key: encode(key), ...(rangeEnd === undefined ? {} : { range_end: encode(rangeEnd) }) };
    const first = await this.#post("/v3/kv/range", body, rangeSchema);
    // A reading can be repeated: silence, or an end, may have been that of one old connection only.
    const again = first.isErr() && first.error.delivery === origin.DeliveryStatus.MayHaveArrived;
    const reply = again ? await this.#post("/v3/kv/range", body, rangeSchema) : first;
    return reply.map((value) => ({
      entries: (value.kvs ?? []).map((wire) => toEntry(wire, false)),
      revision: Number(value.header.revision),
    }));
  }

  /**
   * @param request - conditions and writes
   * @returns whether the conditions held, and the revision
   */
  async transact(
    request: TransactionRequest,
  ): Promise<neverthrow.Result<{ succeeded: boolean; revision: number }, origin.TransportFailure>> {
    const compare = request.conditions.map((condition) => ({
      key: encode(condition.key),
      target: condition.kind,
      result: "EQUAL",
      [condition.kind === "CREATE" ? "create_revision" : "mod_revision"]: String(condition.revision),
    }));
    const puts = request.puts.map((put) => ({
      requestPut: { key: encode(put.key), value: encode(put.value), ...(put.lease ? { lease: put.lease } : {}) },
    }));
    const deletes = request.deletes.map((range) => ({
      requestDeleteRange: { key: encode(range.key), ...(range.rangeEnd ? { range_end: encode(range.rangeEnd) } : {}) },
    }));
    const reply = await this.#post("/v3/kv/txn", { compare, success: [...puts, ...deletes] }, transactionSchema);
    return reply.map((value) => ({ succeeded: value.succeeded ?? false, revision: Number(value.header.revision) }));
  }

  /**
   * @param ttlMs - time to live
   * @returns the id of a new lease
   */
  async grantLease(ttlMs: number): Promise<neverthrow.Result<string, origin.TransportFailure>> {
    const reply = await this.#post("/v3/lease/grant", { TTL: String(Math.ceil(ttlMs / 1000)) }, grantSchema);
    return reply.map((value) => value.ID);
  }

  /**
   * @param lease - id of the lease
   * @returns its time to live in milliseconds; 0 if it has ended
   */
  async keepAlive(lease: string): Promise<neverthrow.Result<number, origin.TransportFailure>> {
    const reply = await this.#post("/v3/lease/keepalive", { ID: lease }, keepAliveSchema);
    return reply.map((value) => Number(value.result.TTL ?? "0") * 1000);
  }

  /**
   * @param lease - id of the lease to end
   * @returns nothing, or why it could not be ended
   */
  async revokeLease(lease: string): Promise<neverthrow.Result<void, origin.TransportFailure>> {
    const reply = await this.#post("/v3/lease/revoke", { ID: lease }, zod.looseObject({}));
    return reply.map(() => undefined);
  }

  /**
   * Follows a range until the connection ends or falls silent.
   *
   * @param key - first key
   * @param rangeEnd - end of the range, not included
   * @param fromRevision - first revision wanted
   * @param onReply - told of each message
   * @param signal - ends the watch
   * @returns why it ended
   */
  async watch(
    key: string,
    rangeEnd: string,
    fromRevision: number,
    onReply: (reply: WatchReply) => void,
    signal: AbortSignal,
  ): Promise<origin.TransportFailure> {
    const create = {
      key: encode(key),
      range_end: encode(rangeEnd),
      start_revision: String(fromRevision),
      progress_notify: true,
    };
    const opened = await this.#origin.open({
      ...post("/v3/watch", { create_request: create }),
      headTimeoutMs: CALL_TIMEOUT_MS,
      silenceMs: WATCH_SILENCE_MS,
      signal,
    });
    if (opened.isErr()) return opened.error;
    try {
      await readLines(opened.value.body, (line) => {
        onReply(toWatchReply(line));
      });
      return { delivery: origin.DeliveryStatus.MayHaveArrived, silent: false, detail: "the service ended the watch" };
    } catch (error) {
      return this.#origin.fail(error);
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#origin.destroy();
  }

  async #post<Schema extends zod.ZodType>(
    path: string,
    body: object,
    schema: Schema,
  ): Promise<neverthrow.Result<zod.infer<Schema>, origin.TransportFailure>> {
    const reply = await this.#origin.call({
      ...post(path, body),
      headTimeoutMs: CALL_TIMEOUT_MS,
      silenceMs: CALL_TIMEOUT_MS,
    });
    if (reply.isErr()) return neverthrow.err(reply.error);
    const { status } = reply.value;
    const parsed = status === 200 ? schema.safeParse(parseJson(reply.value.body.toString("utf8"))) : undefined;
    if (parsed?.success) return neverthrow.ok(parsed.data);
    const detail = `${path} answered ${status} with something else than expected`;
    return neverthrow.err({ delivery: origin.DeliveryStatus.MayHaveArrived, silent: false, detail });
  }
}

function post(path: string, body: object): Pick<origin.CallOptions, "path" | "method" | "headers" | "body"> {
  return { path, method: "POST", headers: { "content-type": "application/json" }, body: JSON.stringify(body) };
}

function parseJson(text: string): unknown {
  return neverthrow
    .fromThrowable(
      () => JSON.parse(text) as unknown,
      () => undefined,
    )()
    .unwrapOr(undefined);
}

function encode(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}

function toEntry(wire: zod.infer<typeof wireKeySchema>, deleted: boolean): KeyEntry {
  return {
    key: decode(wire.key),
    value: decode(wire.value ?? ""),
    createRevision: Number(wire.create_revision ?? "0"),
    modRevision: Number(wire.mod_revision ?? "0"),
    ...(deleted ? { deleted } : {}),
  };
}

function toWatchReply(line: string): WatchReply {
  const { result } = watchSchema.parse(JSON.parse(line));
  return {
    entries: (result.events ?? []).map((event) => toEntry(event.kv, event.type === "DELETE")),
    revision: Number(result.header.revision),
    compacted: result.canceled ?? false,
  };
}

async function readLines(body: AsyncIterable<Buffer>, onLine: (line: string) => void): Promise<void> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) if (line !== "") onLine(line);
  }
}
