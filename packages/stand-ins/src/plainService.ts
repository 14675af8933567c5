import * as nodeServer from "@hono/node-server/utils/response";
import type * as hono from "hono";
import * as standIn from "./standIn.js";

const DEFAULT_DURATION_MS = 5;

/** Settings of a plain service stand-in. */
export interface PlainServiceOptions {
  /** Duration of a call in milliseconds. */
  readonly durationMs?: number;
}

/** Simulates a plain service such as a label printer; the journal has an entry for every executed call. */
export class PlainServiceStandIn extends standIn.StandIn {
  readonly #durationMs: number;
  #executionCount = 0;

  /** @param options - duration of a call */
  constructor(options: PlainServiceOptions = {}) {
    super();
    this.#durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
    this.app.get("/healthz", (context) => context.json({ ok: true }));
    this.app.all("*", async (context) => this.#execute(context));
  }

  async #execute(context: hono.Context<standIn.Environment>): Promise<Response> {
    const body = await context.req.text();
    const requestId = context.req.header("x-request-id") ?? "";
    const key = context.req.header("idempotency-key") ?? "";
    const execution = ++this.#executionCount;
    this.record({ event: "executed", requestId, key, path: context.req.path, body, execution });
    await standIn.delay(this.#durationMs);
    if (this.faults.consumeDroppedReply()) {
      context.env.incoming.socket.destroy();
      return nodeServer.RESPONSE_ALREADY_SENT;
    }
    context.header("x-request-id", requestId);
    return context.json({ execution, path: context.req.path, echo: body });
  }
}
