import type * as http from "node:http";
import * as nodeServer from "@hono/node-server";
import * as nodeResponse from "@hono/node-server/utils/response";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as endpoints from "@camphorcourse/endpoints";
import * as hono from "hono";
import * as authenticator from "./authenticator.js";
import * as bodyReader from "./bodyReader.js";
import * as callerExchange from "./callerExchange.js";
import * as callerRequest from "./callerRequest.js";
import type * as daemon from "./daemon.js";

interface Environment {
  Bindings: nodeServer.HttpBindings;
}

type Context = hono.Context<Environment>;
type RequestParser = (raw: callerRequest.RawRequest) => ReturnType<typeof callerRequest.parseModelRequest>;

const EVENT_ID = /^([a-z0-9-]+\/[a-z0-9-]+)\/([0-9a-f]{32})\/(\d{1,7})$/;

/** HTTP server for callers: OpenAI-compatible completions, plain services, and the addresses of the VMs to call. */
export class CallerServer {
  readonly app = new hono.Hono<Environment>();
  readonly #daemon: daemon.Daemon;
  readonly #authenticator: authenticator.Authenticator;

  /** @param owner - the daemon */
  constructor(owner: daemon.Daemon) {
    this.#daemon = owner;
    this.#authenticator = new authenticator.Authenticator(owner.settings.operatorTokenDigest, owner.core.tree);
    this.app.get("/healthz", (context) => context.json({ ok: true }));
    this.app.get("/readyz", (context) => this.#readiness(context));
    this.app.get("/metrics", (context) => context.text(this.#metrics()));
    this.app.get("/v1/addresses", (context) => this.#addresses(context));
    this.app.get("/v1/models", (context) => this.#models(context));
    this.app.get("/v1/streams/resume", (context) => this.#resume(context));
    this.app.post("/v1/chat/completions", (context) => this.#completion(context));
    this.app.post("/v1/completions", (context) => this.#completion(context));
    this.app.all("/v1/services/:service/*", (context) => this.#callService(context));
    this.app.notFound((context) => this.#notFound(context));
  }

  async #completion(context: Context): Promise<Response> {
    return this.#serve(context, (raw) => callerRequest.parseModelRequest(raw, this.#daemon.core.tree));
  }

  async #callService(context: Context): Promise<Response> {
    const service = context.req.param("service") ?? "";
    const rest = context.req.path.slice(`/v1/services/${service}`.length);
    const query = new URL(context.req.url).search;
    return this.#serve(context, (raw) =>
      callerRequest.parsePlainRequest(raw, service, `${rest}${query}`, this.#daemon.core.tree),
    );
  }

  async #serve(context: Context, parse: RequestParser): Promise<Response> {
    const { incoming } = context.env;
    const outgoing = context.env.outgoing as http.ServerResponse;
    const id = this.#daemon.newRequestId();
    const problem = this.#daemon.core.refusal(this.#daemon.clock.now());
    if (problem) return this.#problemResponse(context, problem, id);
    const caller = this.#authenticator.authenticate(context.req.header("authorization"));
    if (caller.isErr()) return this.#problemResponse(context, caller.error, id);
    if (caller.value.kind === "operator") return this.#problemResponse(context, operatorNotAllowed(), id);
    const body = await bodyReader.readBody(incoming, this.#daemon.settings.bodyLimit);
    if (body.isErr()) return this.#problemResponse(context, body.error, id);
    const { team } = caller.value;
    const { path, method } = context.req;
    const parsed = parse({
      id,
      team,
      method,
      path,
      headers: incoming.headers,
      body: body.value,
    });
    if (parsed.isErr()) return this.#problemResponse(context, parsed.error, id);
    const arrivedAt = this.#daemon.clock.now();
    const isLeaving = (): boolean => this.#daemon.core.registration.leaving;
    const exchange = new callerExchange.CallerExchange(parsed.value, outgoing, arrivedAt, isLeaving);
    outgoing.once("close", () => {
      if (!outgoing.writableFinished) this.#daemon.onCallerDisconnected(id);
    });
    this.#daemon.accept(exchange);
    return nodeResponse.RESPONSE_ALREADY_SENT;
  }

  /** Resumes a stream after the caller's last event id, even if another daemon began it. */
  async #resume(context: Context): Promise<Response> {
    const caller = this.#authenticator.authenticate(context.req.header("authorization"));
    if (caller.isErr()) return this.#problemResponse(context, caller.error);
    const match = EVENT_ID.exec(context.req.header("last-event-id") ?? "");
    const [, endpointId = "", attempt = "", index = "0"] = match ?? [];
    if (!match) {
      const detail = "Last-Event-ID is not an event id of this service";
      return this.#problemResponse(context, common.problem(common.ProblemKind.BadRequest, detail));
    }
    const endpoint = this.#daemon.core.tree.endpoint(endpointId);
    if (!endpoint) return this.#problemResponse(context, unknownEndpoint(endpointId));
    if (caller.value.kind === "team" && caller.value.team !== endpoint.team) {
      return this.#problemResponse(
        context,
        common.problem(common.ProblemKind.Forbidden, "the stream belongs to another team"),
      );
    }
    const outgoing = context.env.outgoing as http.ServerResponse;
    void this.#daemon.trackResume(endpointId, () =>
      this.#forwardResumed(outgoing, {
        endpointId,
        attempt,
        from: Number(index) + 1,
        url: endpoint.settings.url,
      }),
    );
    return nodeResponse.RESPONSE_ALREADY_SENT;
  }

  async #forwardResumed(
    outgoing: http.ServerResponse,
    stream: { endpointId: string; attempt: string; from: number; url: string },
  ): Promise<void> {
    const abort = new AbortController();
    outgoing.once("close", () => {
      abort.abort();
    });
    const assembly = new core.StreamAssembly();
    const onChunk = (chunk: endpoints.StreamChunk): boolean => {
      if (!outgoing.headersSent) outgoing.writeHead(200, { "content-type": "text/event-stream" });
      const step = assembly.onChunk(chunk.index - stream.from, chunk.content);
      if (step !== core.StreamStep.Forward) return step === core.StreamStep.Skip;
      outgoing.write(`id: ${stream.endpointId}/${stream.attempt}/${chunk.index}\ndata: ${chunk.data}\n\n`);
      return true;
    };
    const engine = this.#daemon.dispatcher.engine(stream.url);
    let end: endpoints.StreamEnd;
    do {
      end = await engine.resume(stream.attempt, stream.from + assembly.nextIndex, onChunk, abort.signal);
    } while (end === endpoints.StreamEnd.Broken && assembly.onBroken() === core.StreamStep.Resume);
    if (end === endpoints.StreamEnd.Marker) {
      if (!outgoing.headersSent) outgoing.writeHead(200, { "content-type": "text/event-stream" });
      outgoing.end("data: [DONE]\n\n");
      return;
    }
    const detail = "the endpoint can't resume the stream";
    this.#writeProblem(
      outgoing,
      common.problem(common.ProblemKind.Interrupted, detail, { outcome: common.Outcome.Unknown }),
    );
  }

  #writeProblem(outgoing: http.ServerResponse, problem: common.Problem): void {
    const body = JSON.stringify(callerExchange.problemDocument(problem));
    if (outgoing.headersSent) {
      outgoing.end(`event: error\ndata: ${body}\n\n`);
      return;
    }
    const headers = { "content-type": "application/problem+json", ...callerExchange.problemHeaders(problem) };
    outgoing.writeHead(problem.status, headers);
    outgoing.end(body);
  }

  #readiness(context: Context): Response {
    const problem = this.#daemon.core.refusal(this.#daemon.clock.now());
    if (problem) return this.#problemResponse(context, problem);
    return context.json({ ready: true, leaving: this.#daemon.core.registration.leaving });
  }

  /**
   * Lists the VMs to call, those of the caller's data centre first. Rendezvous hashing over
   * service and caller address orders them, which spreads callers over the VMs.
   */
  #addresses(context: Context): Response {
    const service = context.req.query("service") ?? "";
    const dataCentre = context.req.query("dataCentre") ?? this.#daemon.settings.dataCentre;
    const members = this.#daemon.core.servingMembers(this.#daemon.clock.now());
    const byName = new Map(members.map((member) => [member.vm, member]));
    const seed = `${service}/${context.env.incoming.socket.remoteAddress}/${context.env.incoming.socket.remotePort}`;
    const ordered = common
      .rendezvousOrder(seed, [...byName.keys()])
      .flatMap((vm) => byName.get(vm) ?? [])
      .sort((left, right) => Number(right.dataCentre === dataCentre) - Number(left.dataCentre === dataCentre));
    const addresses = ordered.map((member) => ({
      vm: member.vm,
      dataCentre: member.dataCentre,
      url: member.callerUrl,
    }));
    return context.json({ addresses, ttl_ms: core.constants.ADDRESS_TTL_MS });
  }

  #models(context: Context): Response {
    const caller = this.#authenticator.authenticate(context.req.header("authorization"));
    if (caller.isErr()) return this.#problemResponse(context, caller.error);
    const { value } = caller;
    const services = this.#daemon.core.tree
      .services()
      .filter((service) => value.kind === "operator" || service.team === value.team)
      .filter((service) => service.settings.kind === core.ServiceKind.Engine);
    const data = services.map((service) => ({ id: service.name, object: "model", owned_by: service.team }));
    return context.json({ object: "list", data });
  }

  #metrics(): string {
    const { core: daemonCore } = this.#daemon;
    return this.#daemon.metrics.text({
      open_exchanges: this.#daemon.openExchanges,
      live_requests: daemonCore.requestManager.size,
      applied_revision: daemonCore.appliedRevision,
      resident_bytes: process.memoryUsage.rss(),
      processor_microseconds: process.cpuUsage().user + process.cpuUsage().system,
    });
  }

  #notFound(context: Context): Response {
    const detail = `unknown path ${context.req.path}`;
    return this.#problemResponse(context, common.problem(common.ProblemKind.BadRequest, detail));
  }

  #problemResponse(context: Context, problem: common.Problem, id?: string): Response {
    this.#daemon.metrics.count(`refused_${problem.kind.replaceAll("-", "_")}_total`);
    const headers = new Headers(callerExchange.problemHeaders(problem));
    headers.set("content-type", "application/problem+json");
    // Unread bytes of the body would be parsed as the next request on this connection.
    if (!context.env.incoming.readableEnded) headers.set("connection", "close");
    const body = JSON.stringify(callerExchange.problemDocument(problem, id));
    return new Response(body, { status: problem.status, headers });
  }
}

function operatorNotAllowed(): common.Problem {
  return common.problem(common.ProblemKind.Forbidden, "the platform operator's token can't be used to send requests");
}

function unknownEndpoint(endpoint: string): common.Problem {
  return common.problem(common.ProblemKind.UnknownEndpoint, `unknown endpoint '${endpoint}'`);
}
