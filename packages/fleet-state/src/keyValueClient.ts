import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as origin from "./origin.js";

/** A key with its value, or its deletion as reported by a watch. */
export interface KeyEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly deleted?: boolean;
}

/** A precondition of a transaction: the key has this revision; 0 means that it does not exist. */
export interface Condition {
  readonly key: string;
  readonly kind: "CREATE" | "MOD";
  readonly revision: number;
}

/** Writes that are applied atomically if all conditions hold. */
export interface TransactionRequest {
  readonly conditions: readonly Condition[];
  readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: string }[];
  readonly deletes: readonly { readonly key: string; readonly rangeEnd?: string }[];
}

/** The keys of a range, and the revision at which they were read. */
export interface RangeReply {
  readonly entries: readonly KeyEntry[];
  readonly revision: number;
}

/** One message of a watch. */
export interface WatchReply {
  readonly entries: readonly KeyEntry[];
  /** Every change up to this revision has been reported. */
  readonly revision: number;
  /** Whether changes were lost to compaction, so that the range must be read again. */
  readonly compacted: boolean;
}

const CALL_TIMEOUT_MS = 1500;
/** The service reports progress every second, so a watch that is silent for this long is dead. */
const WATCH_IDLE_TIMEOUT_MS = 3500;
const MAX_CONNECTIONS = 8;

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

/** Client of the key-value service, through the JSON gateway of the etcd v3 API. */
export class KeyValueClient {
  readonly #origin: origin.Origin;

  /** @param url - base URL of the service */
  constructor(url: string) {
    this.#origin = new origin.Origin(url, MAX_CONNECTIONS);
  }

  /**
   * Reads a key or a range; retries once if the first call failed after it may have been sent.
   *
   * @param key - first key
   * @param rangeEnd - exclusive end of the range; undefined for a single key
   * @returns the keys, and the revision at which they were read
   */
  async range(key: string, rangeEnd?: string): Promise<neverthrow.Result<RangeReply, origin.TransportFailure>> {
    const body = { key: encodeBase64(key), ...(rangeEnd === undefined ? {} : { range_end: encodeBase64(rangeEnd) }) };
    const first = await this.#post("/v3/kv/range", body, rangeSchema);
    // A read is safe to retry, and a timeout or a closed connection may concern a single stale connection.
    const mayRetry = first.isErr() && first.error.delivery === origin.DeliveryStatus.MayHaveArrived;
    const reply = mayRetry ? await this.#post("/v3/kv/range", body, rangeSchema) : first;
    return reply.map((value) => ({
      entries: (value.kvs ?? []).map((wire) => toEntry(wire, false)),
      revision: Number(value.header.revision),
    }));
  }

  /**
   * Applies writes if all conditions hold.
   *
   * @param request - conditions and writes
   * @returns whether the conditions held, and the revision of the service
   */
  async transact(
    request: TransactionRequest,
  ): Promise<neverthrow.Result<{ succeeded: boolean; revision: number }, origin.TransportFailure>> {
    const compare = request.conditions.map((condition) => ({
      key: encodeBase64(condition.key),
      target: condition.kind,
      result: "EQUAL",
      [condition.kind === "CREATE" ? "create_revision" : "mod_revision"]: String(condition.revision),
    }));
    const puts = request.puts.map((put) => ({
      requestPut: {
        key: encodeBase64(put.key),
        value: encodeBase64(put.value),
        ...(put.lease ? { lease: put.lease } : {}),
      },
    }));
    const deletes = request.deletes.map((range) => ({
      requestDeleteRange: {
        key: encodeBase64(range.key),
        ...(range.rangeEnd ? { range_end: encodeBase64(range.rangeEnd) } : {}),
      },
    }));
    const reply = await this.#post("/v3/kv/txn", { compare, success: [...puts, ...deletes] }, transactionSchema);
    return reply.map((value) => ({ succeeded: value.succeeded ?? false, revision: Number(value.header.revision) }));
  }

  /**
   * @param ttlMs - time to live in milliseconds; the service takes whole seconds, so it is rounded up
   * @returns the id of a new lease
   */
  async grantLease(ttlMs: number): Promise<neverthrow.Result<string, origin.TransportFailure>> {
    const reply = await this.#post("/v3/lease/grant", { TTL: String(Math.ceil(ttlMs / 1000)) }, grantSchema);
    return reply.map((value) => value.ID);
  }

  /**
   * Renews a lease.
   *
   * @param lease - id of the lease
   * @returns its time to live in milliseconds; 0 if it has expired
   */
  async keepAlive(lease: string): Promise<neverthrow.Result<number, origin.TransportFailure>> {
    const reply = await this.#post("/v3/lease/keepalive", { ID: lease }, keepAliveSchema);
    return reply.map((value) => Number(value.result.TTL ?? "0") * 1000);
  }

  /**
   * @param lease - id of the lease to revoke
   * @returns nothing, or why it could not be revoked
   */
  async revokeLease(lease: string): Promise<neverthrow.Result<void, origin.TransportFailure>> {
    const reply = await this.#post("/v3/lease/revoke", { ID: lease }, zod.looseObject({}));
    return reply.map(() => undefined);
  }

  /**
   * Watches a range until the connection closes or times out.
   *
   * @param key - first key
   * @param rangeEnd - exclusive end of the range
   * @param fromRevision - first revision to report
   * @param onReply - called with each message
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
      key: encodeBase64(key),
      range_end: encodeBase64(rangeEnd),
      start_revision: String(fromRevision),
      progress_notify: true,
    };
    const opened = await this.#origin.open({
      ...toPostOptions("/v3/watch", { create_request: create }),
      headersTimeoutMs: CALL_TIMEOUT_MS,
      bodyIdleTimeoutMs: WATCH_IDLE_TIMEOUT_MS,
      signal,
    });
    if (opened.isErr()) return opened.error;
    try {
      await readLines(opened.value.body, (line) => {
        onReply(toWatchReply(line));
      });
      return { delivery: origin.DeliveryStatus.MayHaveArrived, timedOut: false, detail: "the service ended the watch" };
    } catch (error) {
      return this.#origin.handleError(error);
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
      ...toPostOptions(path, body),
      headersTimeoutMs: CALL_TIMEOUT_MS,
      bodyIdleTimeoutMs: CALL_TIMEOUT_MS,
    });
    if (reply.isErr()) return neverthrow.err(reply.error);
    const { status } = reply.value;
    const parsed = status === 200 ? schema.safeParse(parseJson(reply.value.body.toString("utf8"))) : undefined;
    if (parsed?.success) return neverthrow.ok(parsed.data);
    const detail = `unexpected reply from ${path} with status ${status}`;
    return neverthrow.err({ delivery: origin.DeliveryStatus.MayHaveArrived, timedOut: false, detail });
  }
}

function toPostOptions(path: string, body: object): Pick<origin.CallOptions, "path" | "method" | "headers" | "body"> {
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

function encodeBase64(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}

function toEntry(wire: zod.infer<typeof wireKeySchema>, deleted: boolean): KeyEntry {
  return {
    key: decodeBase64(wire.key),
    value: decodeBase64(wire.value ?? ""),
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
  let remainder = "";
  for await (const chunk of body) {
    const lines = (remainder + decoder.decode(chunk, { stream: true })).split("\n");
    remainder = lines.pop() ?? "";
    for (const line of lines) if (line !== "") onLine(line);
  }
}
