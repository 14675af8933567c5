import * as common from "@camphorcourse/common";
import type * as core from "@camphorcourse/core";
import * as hono from "hono";
import type * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as authenticator from "./authenticator.js";
import * as callerExchange from "./callerExchange.js";
import * as configurationWriter from "./configurationWriter.js";
import type * as daemon from "./daemon.js";
import * as peerServer from "./peerServer.js";

const TIMELINE_TIMEOUT_MS = 1000;

const changeSchema = zod.object({
  text: zod.string(),
  expectedVersion: zod.int().nonnegative(),
  author: zod.string().min(1).max(100),
});

/** HTTP server of the administration API, for operators and teams. */
export class AdminServer {
  readonly app = new hono.Hono();
  readonly #daemon: daemon.Daemon;
  readonly #authenticator: authenticator.Authenticator;
  readonly #writer: configurationWriter.ConfigurationWriter;

  /** @param owner - the daemon */
  constructor(owner: daemon.Daemon) {
    this.#daemon = owner;
    this.#authenticator = new authenticator.Authenticator(owner.settings.operatorTokenDigest, owner.core.tree);
    this.#writer = new configurationWriter.ConfigurationWriter(owner);
    this.app.get("/admin/status", (context) => this.#asAuthenticated(context, () => this.#status()));
    this.app.get("/admin/vms", (context) => this.#asAuthenticated(context, () => this.#vms()));
    this.app.get("/admin/services", (context) => this.#asAuthenticated(context, (caller) => this.#services(caller)));
    this.app.get("/admin/endpoints", (context) => this.#asAuthenticated(context, (caller) => this.#endpoints(caller)));
    this.app.get("/admin/timeline", (context) => this.#timeline(context));
    this.app.get("/admin/teams", (context) => this.#asOperator(context, () => this.#daemon.core.tree.teams()));
    this.app.get("/admin/teams/:team", (context) => this.#readTeam(context));
    this.app.put("/admin/teams/:team", (context) => this.#writeTeam(context));
    this.app.get("/admin/teams/:team/history", (context) => this.#history(context));
    this.app.get("/admin/in-force/:revision", (context) =>
      this.#asAuthenticated(context, () => this.#writer.whereInForce(Number(context.req.param("revision")))),
    );
  }

  #status(): object {
    const now = this.#daemon.clock.now();
    const { core: daemonCore } = this.#daemon;
    return {
      vm: this.#daemon.settings.vm,
      dataCentre: this.#daemon.settings.dataCentre,
      leaving: daemonCore.registration.leaving,
      appliedRevision: daemonCore.appliedRevision,
      refuses: daemonCore.refusal(now)?.kind ?? null,
      peers: daemonCore.roster.peers().length,
      livePeers: daemonCore.roster.livePeers(now).length,
      requests: daemonCore.requestManager.size,
      leases: daemonCore.shards.all(),
      waitingChanges: Object.fromEntries(daemonCore.orderManager.waiting()),
    };
  }

  #vms(): object[] {
    const now = this.#daemon.clock.now();
    const { roster, registration } = this.#daemon.core;
    const peers = roster.peers().map((peer) => ({
      vm: peer.registration.vm,
      dataCentre: peer.registration.dataCentre,
      state: peer.registration.leaving ? "leaving" : roster.isServing(peer.registration.vm, now) ? "serving" : "silent",
      registered: peer.registered,
      heardMsAgo: Math.round(now - peer.lastSeenAt),
    }));
    const state = registration.leaving ? "leaving" : "serving";
    return [
      { vm: registration.vm, dataCentre: registration.dataCentre, state, registered: true, heardMsAgo: 0 },
      ...peers,
    ];
  }

  #services(caller: authenticator.Caller): object[] {
    const now = this.#daemon.clock.now();
    const { core: daemonCore } = this.#daemon;
    return daemonCore.tree
      .services()
      .filter(visibleTo(caller))
      .map((service) => {
        const pool = daemonCore.poolOf(service.id);
        return {
          service: service.id,
          kind: service.settings.kind,
          idempotent: service.settings.idempotent,
          deadlineMs: service.settings.deadlineMs,
          priority: service.settings.priority,
          endpoints: pool?.endpoints.length ?? 0,
          waiting: pool?.queue.length ?? 0,
          canServe: pool?.canServe(now) ?? false,
        };
      });
  }

  #endpoints(caller: authenticator.Caller): object[] {
    const { core: daemonCore } = this.#daemon;
    const waiting = daemonCore.orderManager.waiting();
    return daemonCore.tree
      .endpoints()
      .filter(visibleTo(caller))
      .map((endpoint) => this.#endpoint(endpoint, waiting));
  }

  #endpoint(endpoint: core.EndpointEntry, waiting: Map<string, string>): object {
    const now = this.#daemon.clock.now();
    const { core: daemonCore } = this.#daemon;
    const model = daemonCore.poolOf(endpoint.serviceId)?.endpoint(endpoint.id);
    const order = daemonCore.orderManager.orderOf(endpoint.id)?.record;
    return {
      endpoint: endpoint.id,
      service: endpoint.serviceId,
      dataCentre: endpoint.settings.dataCentre,
      state: endpoint.settings.state,
      role: model?.role ?? endpoint.settings.role,
      takesWork: model?.isUsable(now) ?? false,
      inFlight: model?.totalInFlight ?? 0,
      order: order ? `${order.number} ${order.phase} ${order.targetRole}` : "",
      waitsFor: waiting.get(endpoint.id) ?? "",
    };
  }

  /** Merges the timelines of all reachable daemons, ordered by hybrid timestamp; `silent` lists the others. */
  async #timeline(context: hono.Context): Promise<Response> {
    const caller = this.#authenticator.authenticate(context.req.header("authorization"));
    if (caller.isErr()) return respondWithProblem(context, caller.error);
    const query = {
      afterSequence: 0n,
      requestId: context.req.query("request") ?? "",
      endpoint: context.req.query("endpoint") ?? "",
    };
    const localEvents = this.#daemon.timeline.read({
      afterSequence: 0,
      ...(query.requestId === "" ? {} : { request: query.requestId }),
      ...(query.endpoint === "" ? {} : { endpoint: query.endpoint }),
    });
    const queries = this.#daemon.core.roster.peers().map(async ({ registration }) => {
      const reply = await this.#daemon.peers.call(registration.peerUrl, (client) =>
        client.timeline(query, { timeoutMs: TIMELINE_TIMEOUT_MS }),
      );
      return { vm: registration.vm, events: reply?.events.map(peerServer.timelineEventFromWire) };
    });
    const peers = await Promise.all(queries);
    const events = [...localEvents, ...peers.flatMap((peer) => peer.events ?? [])];
    events.sort((left, right) => common.compareTimestamps(left.stamp, right.stamp) || left.vm.localeCompare(right.vm));
    const unreachable = peers.filter((peer) => !peer.events).map((peer) => peer.vm);
    const since = Number(context.req.query("since") ?? "0");
    return context.json({ events: events.filter((event) => event.stamp.wallMs > since), silent: unreachable });
  }

  async #readTeam(context: hono.Context): Promise<Response> {
    const team = context.req.param("team") ?? "";
    const caller = this.#authenticator.authorizeFor(context.req.header("authorization"), team);
    if (caller.isErr()) return respondWithProblem(context, caller.error);
    return respond(context, await this.#writer.current(team));
  }

  async #history(context: hono.Context): Promise<Response> {
    const team = context.req.param("team") ?? "";
    const caller = this.#authenticator.authorizeFor(context.req.header("authorization"), team);
    if (caller.isErr()) return respondWithProblem(context, caller.error);
    return respond(context, await this.#writer.history(team));
  }

  async #writeTeam(context: hono.Context): Promise<Response> {
    const team = context.req.param("team") ?? "";
    const caller = this.#authenticator.authorizeFor(context.req.header("authorization"), team);
    if (caller.isErr()) return respondWithProblem(context, caller.error);
    const body = changeSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!body.success) {
      const detail = "the body must be JSON with 'text', 'expectedVersion' and 'author'";
      return respondWithProblem(context, common.problem(common.ProblemKind.BadRequest, detail));
    }
    return respond(context, await this.#writer.apply({ team, ...body.data }));
  }

  #asAuthenticated(context: hono.Context, read: (caller: authenticator.Caller) => object): Response {
    const caller = this.#authenticator.authenticate(context.req.header("authorization"));
    return caller.isErr() ? respondWithProblem(context, caller.error) : context.json(read(caller.value));
  }

  #asOperator(context: hono.Context, read: () => object): Response {
    return this.#asAuthenticated(context, (caller) => (caller.kind === "operator" ? read() : []));
  }
}

function visibleTo(caller: authenticator.Caller): (entry: { team: string }) => boolean {
  return (entry) => caller.kind === "operator" || caller.team === entry.team;
}

function respond(context: hono.Context, result: neverthrow.Result<object, common.Problem>): Response {
  return result.isErr() ? respondWithProblem(context, result.error) : context.json(result.value);
}

function respondWithProblem(context: hono.Context, problem: common.Problem): Response {
  const headers = { "content-type": "application/problem+json", ...callerExchange.problemHeaders(problem) };
  context.header("content-type", headers["content-type"]);
  return new Response(JSON.stringify(callerExchange.problemDocument(problem)), {
    status: problem.status,
    headers,
  });
}
