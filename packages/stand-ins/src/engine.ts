import type * as http from "node:http";
import * as nodeServer from "@hono/node-server/utils/response";
import type * as hono from "hono";
import * as zod from "zod";
import * as answers from "./answers.js";
import * as modelModule from "./engineModel.js";
import * as standIn from "./standIn.js";

const HEARTBEAT_MS = 500;
const KEEP_STREAM_MS = 30_000;
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 16;
const PROMPT_ON_RECORD = 60;

const completionSchema = zod.looseObject({
  messages: zod.array(zod.looseObject({ content: zod.string() })).optional(),
  prompt: zod.string().optional(),
  max_tokens: zod.number().int().positive().optional(),
  stream: zod.boolean().optional(),
  priority: zod.number().optional(),
  kv_transfer_params: zod
    .looseObject({ do_remote_decode: zod.boolean().optional(), do_remote_prefill: zod.boolean().optional() })
    .optional(),
});

const orderSchema = zod.object({ role: zod.enum(modelModule.EngineRole) });

/** Settings of an engine stand-in. */
export interface EngineOptions {
  readonly role?: modelModule.EngineRole;
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing?: boolean;
  /** How many times faster than the cost model time passes. */
  readonly speed?: number;
  readonly costs?: modelModule.EngineCosts;
}

interface EngineStream {
  readonly id: string;
  readonly prompt: string;
  readonly part: modelModule.JobPart;
  readonly outputTokens: number;
  readonly tokens: string[];
  finished: boolean;
  cut: boolean;
  readonly readers: Set<() => void>;
}

/** An engine: OpenAI-compatible completions, load as Prometheus text, orders with a fencing number. */
export class EngineStandIn extends standIn.StandIn {
  readonly #model: modelModule.EngineModel;
  readonly #streams = new Map<string, EngineStream>();
  readonly #checksFencing: boolean;
  readonly #speed: number;
  readonly #roleChangeMs: number;
  #lastOrder = 0;
  #orderUnderWay: string | undefined;
  #stepTimer: NodeJS.Timeout | undefined;
  #reported: { at: number; text: string }[] = [];

  /** @param options - role, fencing, speed and costs */
  constructor(options: EngineOptions = {}) {
    super();
    const costs = options.costs ?? modelModule.DEFAULT_COSTS;
    this.#model = new modelModule.EngineModel(options.role ?? modelModule.EngineRole.Mixed, costs);
    this.#checksFencing = options.checksFencing ?? true;
    this.#speed = options.speed ?? 1;
    this.#roleChangeMs = costs.roleChangeMs;
    this.app.post("/v1/chat/completions", async (context) => this.#complete(context));
    this.app.post("/v1/completions", async (context) => this.#complete(context));
    this.app.get("/v1/streams/:id", (context) => this.#resume(context));
    this.app.delete("/v1/streams/:id", (context) => this.#cancel(context));
    this.app.post("/v1/orders", async (context) => this.#order(context));
    this.app.get("/metrics", (context) => context.text(this.#laggedReport()));
  }

  /** @returns engine time in milliseconds, run at the engine's speed */
  #now(): number {
    return performance.now() * this.#speed;
  }

  async #complete(context: hono.Context<standIn.Environment>): Promise<Response> {
    const parsed = completionSchema.safeParse(await context.req.json());
    if (!parsed.success) return refuse(context, 400, "bad-request");
    const body = parsed.data;
    const id = context.req.header("x-request-id") ?? crypto.randomUUID();
    const part = partOf(body.kv_transfer_params);
    if (this.#model.isUnavailable(this.#now())) return refuse(context, 503, "changing-role");
    if (!this.#model.accepts(part)) return refuse(context, 409, "wrong-role");
    const prompt = body.prompt ?? (body.messages ?? []).map((message) => message.content).join("\n");
    const stream = this.#begin(id, part, prompt, body.max_tokens ?? DEFAULT_OUTPUT_TOKENS, body.priority ?? 0);
    if (body.stream) return this.#sendStream(context, stream, 0);
    return this.#sendWhole(context, stream);
  }

  #begin(id: string, part: modelModule.JobPart, prompt: string, outputTokens: number, priority: number): EngineStream {
    const stream = {
      id,
      prompt,
      part,
      outputTokens,
      tokens: [],
      finished: false,
      cut: false,
      readers: new Set<() => void>(),
    };
    this.#streams.set(id, stream);
    this.record({ event: "started", requestId: id, part, outputTokens, prompt: prompt.slice(0, PROMPT_ON_RECORD) });
    const promptTokens = Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
    this.#model.submit({ id, part, promptTokens, outputTokens, priority }, this.#now());
    this.#scheduleStep();
    return stream;
  }

  #scheduleStep(): void {
    const endsAt = this.#model.stepEndsAt;
    if (this.#stepTimer || endsAt === undefined) return;
    this.#stepTimer = setTimeout(
      () => {
        this.#stepTimer = undefined;
        this.#finishSteps();
        this.#scheduleStep();
      },
      Math.max(0, (endsAt - this.#now()) / this.#speed),
    );
  }

  #finishSteps(): void {
    for (;;) {
      const endsAt = this.#model.stepEndsAt;
      if (endsAt === undefined || endsAt > this.#now()) return;
      for (const progress of this.#model.finishStep(endsAt)) this.#advance(progress);
    }
  }

  #advance(progress: modelModule.JobProgress): void {
    const stream = this.#streams.get(progress.id);
    if (!stream) return;
    while (stream.tokens.length < progress.emitted) {
      stream.tokens.push(answers.answerToken(stream.prompt, stream.tokens.length));
    }
    if (progress.finished) this.#finish(stream);
    for (const reader of stream.readers) reader();
  }

  #finish(stream: EngineStream): void {
    stream.finished = true;
    this.record({ event: "finished", requestId: stream.id });
    setTimeout(() => this.#streams.delete(stream.id), KEEP_STREAM_MS).unref();
  }

  #resume(context: hono.Context<standIn.Environment>): Response {
    const stream = this.#streams.get(context.req.param("id") ?? "");
    if (!stream) return refuse(context, 404, "unknown-stream");
    this.record({ event: "resumed", requestId: stream.id });
    return this.#sendStream(context, stream, Number(context.req.query("from") ?? "0"));
  }

  #cancel(context: hono.Context<standIn.Environment>): Response {
    const stream = this.#streams.get(context.req.param("id") ?? "");
    if (stream && !stream.finished) {
      this.#model.cancel(stream.id);
      this.record({ event: "cancelled", requestId: stream.id });
      this.#streams.delete(stream.id);
    }
    return context.json({ ok: true });
  }

  #sendStream(context: hono.Context<standIn.Environment>, stream: EngineStream, from: number): Response {
    const outgoing = context.env.outgoing as http.ServerResponse;
    const socket = context.env.incoming.socket;
    let next = from;
    outgoing.writeHead(200, { "content-type": "text/event-stream", "x-request-id": stream.id });
    outgoing.flushHeaders();
    const write = (text: string): void => {
      if (!this.faults.isSilenced(socket)) outgoing.write(text);
    };
    const heartbeat = setInterval(() => {
      write(": heartbeat\n\n");
    }, HEARTBEAT_MS);
    const pump = (): void => {
      if (stream.cut) outgoing.destroy();
      for (; next < stream.tokens.length; next++) write(chunkEvent(stream, next));
      if (!stream.finished || this.faults.isSilenced(socket)) return;
      write("data: [DONE]\n\n");
      outgoing.end();
    };
    stream.readers.add(pump);
    outgoing.once("close", () => {
      clearInterval(heartbeat);
      stream.readers.delete(pump);
    });
    pump();
    return nodeServer.RESPONSE_ALREADY_SENT;
  }

  #sendWhole(context: hono.Context<standIn.Environment>, stream: EngineStream): Promise<Response> {
    context.header("x-request-id", stream.id);
    return new Promise((resolve) => {
      const settle = (): void => {
        if (stream.cut) context.env.incoming.socket.destroy();
        if (stream.finished) resolve(context.json(wholeBody(stream)));
      };
      stream.readers.add(settle);
      settle();
    });
  }

  async #order(context: hono.Context<standIn.Environment>): Promise<Response> {
    const { role } = orderSchema.parse(await context.req.json());
    const number = Number(context.req.header("x-fencing-number") ?? "0");
    const epoch = context.req.header("x-epoch") ?? "";
    if (this.#checksFencing && number < this.#lastOrder) {
      this.record({ event: "order-refused", number, epoch, role });
      return refuse(context, 409, "stale-order");
    }
    const order = `${number}:${role}`;
    const conflicting = this.#orderUnderWay !== undefined && this.#orderUnderWay !== order;
    const stale = number < this.#lastOrder;
    this.#lastOrder = Math.max(this.#lastOrder, number);
    const cut = this.#model.role === role ? [] : this.#changeRole(role);
    this.record({ event: "order", number, epoch, role, conflicting, stale, cut: cut.length });
    this.#orderUnderWay = order;
    await standIn.delay(this.#roleChangeMs / this.#speed);
    this.#orderUnderWay = undefined;
    if (this.faults.takeDroppedReply()) {
      context.env.incoming.socket.destroy();
      return nodeServer.RESPONSE_ALREADY_SENT;
    }
    return context.json({ role, number });
  }

  #changeRole(role: modelModule.EngineRole): string[] {
    const cut = this.#model.changeRole(role, this.#now());
    for (const id of cut) {
      const stream = this.#streams.get(id);
      if (!stream) continue;
      stream.cut = true;
      this.record({ event: "cut", requestId: id });
      for (const reader of stream.readers) reader();
    }
    return cut;
  }

  #laggedReport(): string {
    const now = Date.now();
    this.#reported.push({ at: now, text: this.#report() });
    const visible = this.#reported.filter((report) => report.at <= now - this.faults.reportLagMs);
    const latest = visible.at(-1) ?? this.#reported[0];
    this.#reported = this.#reported.filter((report) => report.at >= (latest?.at ?? 0));
    return latest?.text ?? "";
  }

  #report(): string {
    const role = this.#model.role;
    return [
      `num_requests_running ${this.#model.running}`,
      `num_requests_waiting ${this.#model.waiting}`,
      `prompt_tokens_waiting ${Math.round(this.#model.waitingTokens)}`,
      `engine_role{role="${role}"} 1`,
      `last_order_number ${this.#lastOrder}`,
      `role_change_under_way ${this.#model.isUnavailable(this.#now()) ? 1 : 0}`,
      `prefix_cache_hits_total ${this.#model.prefixHits}`,
      "",
    ].join("\n");
  }
}

function partOf(transfer: zod.infer<typeof completionSchema>["kv_transfer_params"]): modelModule.JobPart {
  if (transfer?.do_remote_decode) return modelModule.JobPart.Prefill;
  if (transfer?.do_remote_prefill) return modelModule.JobPart.Decode;
  return modelModule.JobPart.Whole;
}

function refuse(context: hono.Context<standIn.Environment>, status: 400 | 404 | 409 | 503, kind: string): Response {
  return context.json({ kind, outcome: "not-run" }, status, { "x-outcome": "not-run" });
}

function chunkEvent(stream: EngineStream, index: number): string {
  const finish = index === stream.outputTokens - 1 ? "stop" : null;
  const delta = { content: stream.tokens[index] };
  const body = {
    id: stream.id,
    object: "chat.completion.chunk",
    choices: [{ index: 0, delta, finish_reason: finish }],
  };
  return `id: ${index}\ndata: ${JSON.stringify(body)}\n\n`;
}

function wholeBody(stream: EngineStream): object {
  if (stream.part === modelModule.JobPart.Prefill) {
    return { id: stream.id, kv_transfer_params: { do_remote_prefill: true, remote_request_id: stream.id } };
  }
  const message = { role: "assistant", content: stream.tokens.join("") };
  const usage = { completion_tokens: stream.tokens.length };
  return { id: stream.id, object: "chat.completion", choices: [{ index: 0, message, finish_reason: "stop" }], usage };
}
