import type * as http from "node:http";
import * as nodeServer from "@hono/node-server/utils/response";
import type * as hono from "hono";
import * as zod from "zod";
import * as answers from "./answers.js";
import * as modelModule from "./engineModel.js";
import * as standIn from "./standIn.js";

/** Interval of the heartbeat comments in an event stream. */
const HEARTBEAT_INTERVAL_MS = 500;
/** How long a finished stream can still be resumed. */
const FINISHED_STREAM_TTL_MS = 30_000;
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 16;
/** How many characters of a prompt the journal keeps. */
const MAX_JOURNAL_PROMPT_LENGTH = 60;

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
  /** Whether an order with a fencing number lower than that of an earlier order is rejected. */
  readonly checksFencing?: boolean;
  /** Factor by which the engine runs faster than its cost model; 1 is real time. */
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
  aborted: boolean;
  readonly listeners: Set<() => void>;
}

/**
 * Simulates an inference engine: OpenAI-compatible completions, a load report in
 * the Prometheus text format and role-change orders with fencing numbers.
 */
export class EngineStandIn extends standIn.StandIn {
  readonly #model: modelModule.EngineModel;
  readonly #streams = new Map<string, EngineStream>();
  readonly #checksFencing: boolean;
  readonly #speed: number;
  readonly #roleChangeMs: number;
  #lastOrderNumber = 0;
  #orderInProgress: string | undefined;
  #stepTimer: NodeJS.Timeout | undefined;
  #recentReports: { at: number; text: string }[] = [];

  /** @param options - role, check of fencing numbers, speed and costs */
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
    this.app.post("/v1/orders", async (context) => this.#handleOrder(context));
    this.app.get("/metrics", (context) => context.text(this.#delayedLoadReport()));
  }

  /** @returns the engine's clock in milliseconds, which runs faster than real time by the engine's speed */
  #now(): number {
    return performance.now() * this.#speed;
  }

  async #complete(context: hono.Context<standIn.Environment>): Promise<Response> {
    const parsed = completionSchema.safeParse(await context.req.json());
    if (!parsed.success) return rejectRequest(context, 400, "bad-request");
    const body = parsed.data;
    const id = context.req.header("x-request-id") ?? crypto.randomUUID();
    const part = requestedPart(body.kv_transfer_params);
    if (this.#model.isUnavailable(this.#now())) return rejectRequest(context, 503, "changing-role");
    if (!this.#model.accepts(part)) return rejectRequest(context, 409, "wrong-role");
    const prompt = body.prompt ?? (body.messages ?? []).map((message) => message.content).join("\n");
    const stream = this.#startStream(id, part, prompt, body.max_tokens ?? DEFAULT_OUTPUT_TOKENS, body.priority ?? 0);
    if (body.stream) return this.#sendStream(context, stream, 0);
    return this.#sendCompletion(context, stream);
  }

  #startStream(
    id: string,
    part: modelModule.JobPart,
    prompt: string,
    outputTokens: number,
    priority: number,
  ): EngineStream {
    const stream = {
      id,
      prompt,
      part,
      outputTokens,
      tokens: [],
      finished: false,
      aborted: false,
      listeners: new Set<() => void>(),
    };
    this.#streams.set(id, stream);
    this.record({
      event: "started",
      requestId: id,
      part,
      outputTokens,
      prompt: prompt.slice(0, MAX_JOURNAL_PROMPT_LENGTH),
    });
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
      for (const progress of this.#model.finishStep(endsAt)) this.#applyProgress(progress);
    }
  }

  #applyProgress(progress: modelModule.JobProgress): void {
    const stream = this.#streams.get(progress.id);
    if (!stream) return;
    while (stream.tokens.length < progress.emitted) {
      stream.tokens.push(answers.answerToken(stream.prompt, stream.tokens.length));
    }
    if (progress.finished) this.#finishStream(stream);
    for (const listener of stream.listeners) listener();
  }

  #finishStream(stream: EngineStream): void {
    stream.finished = true;
    this.record({ event: "finished", requestId: stream.id });
    setTimeout(() => this.#streams.delete(stream.id), FINISHED_STREAM_TTL_MS).unref();
  }

  #resume(context: hono.Context<standIn.Environment>): Response {
    const stream = this.#streams.get(context.req.param("id") ?? "");
    if (!stream) return rejectRequest(context, 404, "unknown-stream");
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
    }, HEARTBEAT_INTERVAL_MS);
    const sendAvailableTokens = (): void => {
      if (stream.aborted) outgoing.destroy();
      for (; next < stream.tokens.length; next++) write(serverSentEvent(stream, next));
      if (!stream.finished || this.faults.isSilenced(socket)) return;
      write("data: [DONE]\n\n");
      outgoing.end();
    };
    stream.listeners.add(sendAvailableTokens);
    outgoing.once("close", () => {
      clearInterval(heartbeat);
      stream.listeners.delete(sendAvailableTokens);
    });
    sendAvailableTokens();
    return nodeServer.RESPONSE_ALREADY_SENT;
  }

  #sendCompletion(context: hono.Context<standIn.Environment>, stream: EngineStream): Promise<Response> {
    context.header("x-request-id", stream.id);
    return new Promise((resolve) => {
      const respondIfFinished = (): void => {
        if (stream.aborted) context.env.incoming.socket.destroy();
        if (stream.finished) resolve(context.json(completionBody(stream)));
      };
      stream.listeners.add(respondIfFinished);
      respondIfFinished();
    });
  }

  async #handleOrder(context: hono.Context<standIn.Environment>): Promise<Response> {
    const { role } = orderSchema.parse(await context.req.json());
    const number = Number(context.req.header("x-fencing-number") ?? "0");
    const epoch = context.req.header("x-epoch") ?? "";
    if (this.#checksFencing && number < this.#lastOrderNumber) {
      this.record({ event: "order-refused", number, epoch, role });
      return rejectRequest(context, 409, "stale-order");
    }
    const order = `${number}:${role}`;
    const conflicting = this.#orderInProgress !== undefined && this.#orderInProgress !== order;
    const stale = number < this.#lastOrderNumber;
    this.#lastOrderNumber = Math.max(this.#lastOrderNumber, number);
    const abortedIds = this.#model.role === role ? [] : this.#changeRole(role);
    this.record({ event: "order", number, epoch, role, conflicting, stale, cut: abortedIds.length });
    this.#orderInProgress = order;
    await standIn.delay(this.#roleChangeMs / this.#speed);
    this.#orderInProgress = undefined;
    if (this.faults.consumeDroppedReply()) {
      context.env.incoming.socket.destroy();
      return nodeServer.RESPONSE_ALREADY_SENT;
    }
    return context.json({ role, number });
  }

  #changeRole(role: modelModule.EngineRole): string[] {
    const abortedIds = this.#model.changeRole(role, this.#now());
    for (const id of abortedIds) {
      const stream = this.#streams.get(id);
      if (!stream) continue;
      stream.aborted = true;
      this.record({ event: "cut", requestId: id });
      for (const listener of stream.listeners) listener();
    }
    return abortedIds;
  }

  /** @returns the newest load report that is at least `reportLagMs` old, or else the oldest one kept */
  #delayedLoadReport(): string {
    const now = Date.now();
    this.#recentReports.push({ at: now, text: this.#loadReport() });
    const visible = this.#recentReports.filter((report) => report.at <= now - this.faults.reportLagMs);
    const latest = visible.at(-1) ?? this.#recentReports[0];
    this.#recentReports = this.#recentReports.filter((report) => report.at >= (latest?.at ?? 0));
    return latest?.text ?? "";
  }

  #loadReport(): string {
    const role = this.#model.role;
    return [
      `num_requests_running ${this.#model.running}`,
      `num_requests_waiting ${this.#model.waiting}`,
      `prompt_tokens_waiting ${Math.round(this.#model.waitingTokens)}`,
      `engine_role{role="${role}"} 1`,
      `last_order_number ${this.#lastOrderNumber}`,
      `role_change_under_way ${this.#model.isUnavailable(this.#now()) ? 1 : 0}`,
      `prefix_cache_hits_total ${this.#model.prefixHits}`,
      "",
    ].join("\n");
  }
}

function requestedPart(
  transferParameters: zod.infer<typeof completionSchema>["kv_transfer_params"],
): modelModule.JobPart {
  if (transferParameters?.do_remote_decode) return modelModule.JobPart.Prefill;
  if (transferParameters?.do_remote_prefill) return modelModule.JobPart.Decode;
  return modelModule.JobPart.Whole;
}

function rejectRequest(
  context: hono.Context<standIn.Environment>,
  status: 400 | 404 | 409 | 503,
  kind: string,
): Response {
  return context.json({ kind, outcome: "not-run" }, status, { "x-outcome": "not-run" });
}

function serverSentEvent(stream: EngineStream, index: number): string {
  const finish = index === stream.outputTokens - 1 ? "stop" : null;
  const delta = { content: stream.tokens[index] };
  const body = {
    id: stream.id,
    object: "chat.completion.chunk",
    choices: [{ index: 0, delta, finish_reason: finish }],
  };
  return `id: ${index}\ndata: ${JSON.stringify(body)}\n\n`;
}

function completionBody(stream: EngineStream): object {
  if (stream.part === modelModule.JobPart.Prefill) {
    return { id: stream.id, kv_transfer_params: { do_remote_prefill: true, remote_request_id: stream.id } };
  }
  const message = { role: "assistant", content: stream.tokens.join("") };
  const usage = { completion_tokens: stream.tokens.length };
  return { id: stream.id, object: "chat.completion", choices: [{ index: 0, message, finish_reason: "stop" }], usage };
}
