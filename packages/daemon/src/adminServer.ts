import * as common from "@camphorcourse/common";
import type * as core from "@camphorcourse/core";
import * as hono from "hono";
import type * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as authority from "./authority.js";
import * as callerExchange from "./callerExchange.js";
import * as configurationWriter from "./configurationWriter.js";
import type * as daemon from "./daemon.js";
import * as peerServer from "./peerServer.js";

const PEER_TIMEOUT_MS = 1000;

const changeSchema = zod.object({
  text: zod.string(),
  expectedVersion: zod.int().nonnegative(),
  author: zod.string().min(1).max(100),
});

/** The administration API. */
export class AdminServer {
  readonly app = new hono.Hono();
  readonly #daemon: daemon.Daemon;
  readonly #authority: authority.Authority;
  readonly #writer: configurationWriter.ConfigurationWriter;

  /** @param owner - the daemon */
  constructor(owner: daemon.Daemon) {
    this.#daemon = owner;
    this.#authority = new authority.Authority(owner.settings.operatorTokenDigest, owner.core.tree);
    this.#writer = new configurationWriter.ConfigurationWriter(owner);
    this.app.get("/admin/status", (context) => this.#asAnyone(context, () => this.#status()));
    this.app.get("/admin/vms", (context) => this.#asAnyone(context, () => this.#vms()));
    this.app.get("/admin/services", (context) => this.#asAnyone(context, (caller) => this.#services(caller)));
    this.app.get("/admin/endpoints", (context) => this.#asAnyone(context, (caller) => this.#endpoints(caller)));
    this.app.get("/admin/timeline", (context) => this.#timeline(context));
    this.app.get("/admin/teams", (context) => this.#asOperator(context, () => this.#daemon.core.tree.teams()));
    this.app.get("/admin/teams/:team", (context) => this.#readTeam(context));
    this.app.put("/admin/teams/:team", (context) => this.#writeTeam(context));
    this.app.get("/admin/teams/:team/history", (context) => this.#history(context));
    this.app.get("/admin/in-force/:revision", (context) =>
      this.#asAnyone(context, () => this.#writer.whereInForce(Number(context.req.param("revision")))),
    );
  }

  #status(): object {
    const now = this.#daemon.clock.now();
    const { core: decisions } = this.#daemon;
    return {
      vm: this.#daemon.settings.vm,
      dataCentre: this.#daemon.settings.dataCentre,
      leaving: decisions.registration.leaving,
      appliedRevision: decisions.appliedRevision,
      refuses: decisions.refusal(now)?.kind ?? null,
      peers: decisions.roster.peers().length,
      livePeers: decisions.roster.livePeers(now).length,
      requests: decisions.requestDesk.size,
      leases: decisions.shards.all(),
      waitingChanges: Object.fromEntries(decisions.orderManager.waiting()),
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

  #services(caller: authority.Caller): object[] {
    const now = this.#daemon.clock.now();
    const { core: decisions } = this.#daemon;
    return decisions.tree
      .services()
      .filter(visibleTo(caller))
      .map((service) => {
        const pool = decisions.poolOf(service.id);
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

  #endpoints(caller: authority.Caller): object[] {
    const { core: decisions } = this.#daemon;
    const waiting = decisions.orderManager.waiting();
    return decisions.tree
      .endpoints()
      .filter(visibleTo(caller))
      .map((endpoint) => this.#endpoint(endpoint, waiting));
  }

  #endpoint(endpoint: core.EndpointEntry, waiting: Map<string, string>): object {
    const now = this.#daemon.clock.now();
    const { core: decisions } = this.#daemon;
    const model = decisions.poolOf(endpoint.serviceId)?.endpoint(endpoint.id);
    const order = decisions.orderManager.orderOf(endpoint.id)?.record;
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

  async #timeline(context: hono.Context): Promise<Response> {
    const identified = this.#authority.identify(context.req.header("authorization"));
    if (identified.isErr()) return refuse(context, identified.error);
    const query = {
      afterSequence: 0n,
      requestId: context.req.query("request") ?? "",
      endpoint: context.req.query("endpoint") ?? "",
    };
    const own = this.#daemon.timeline.read({
      afterSequence: 0,
      ...(query.requestId === "" ? {} : { request: query.requestId }),
      ...(query.endpoint === "" ? {} : { endpoint: query.endpoint }),
    });
    const asked = this.#daemon.core.roster.peers().map(async ({ registration }) => {
      const reply = await this.#daemon.peers.call(registration.peerUrl, (client) =>
        client.timeline(query, { timeoutMs: PEER_TIMEOUT_MS }),
      );
      return { vm: registration.vm, events: reply?.events.map(peerServer.timelineEventFromWire) };
    });
    const peers = await Promise.all(asked);
    const events = [...own, ...peers.flatMap((peer) => peer.events ?? [])];
    events.sort((left, right) => common.compareStamps(left.stamp, right.stamp) || left.vm.localeCompare(right.vm));
    const silent = peers.filter((peer) => !peer.events).map((peer) => peer.vm);
    const since = Number(context.req.query("since") ?? "0");
    return context.json({ events: events.filter((event) => event.stamp.wallMs > since), silent });
  }

  async #readTeam(context: hono.Context): Promise<Response> {
    const team = context.req.param("team") ?? "";
    const caller = this.#authority.identifyFor(context.req.header("authorization"), team);
    if (caller.isErr()) return refuse(context, caller.error);
    return answer(context, await this.#writer.current(team));
  }

  async #history(context: hono.Context): Promise<Response> {
    const team = context.req.param("team") ?? "";
    const caller = this.#authority.identifyFor(context.req.header("authorization"), team);
    if (caller.isErr()) return refuse(context, caller.error);
    return answer(context, await this.#writer.history(team));
  }

  async #writeTeam(context: hono.Context): Promise<Response> {
    const team = context.req.param("team") ?? "";
    const caller = this.#authority.identifyFor(context.req.header("authorization"), team);
    if (caller.isErr()) return refuse(context, caller.error);
    const body = changeSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!body.success) {
      const detail = "give 'text', 'expectedVersion' and 'author' as JSON";
      return refuse(context, common.problem(common.ProblemKind.BadRequest, detail));
    }
    return answer(context, await this.#writer.apply({ team, ...body.data }));
  }

  #asAnyone(context: hono.Context, read: (caller: authority.Caller) => object): Response {
    const caller = this.#authority.identify(context.req.header("authorization"));
    return caller.isErr() ? refuse(context, caller.error) : context.json(read(caller.value));
  }

  #asOperator(context: hono.Context, read: () => object): Response {
    return this.#asAnyone(context, (caller) => (caller.kind === "operator" ? read() : []));
  }
}

function visibleTo(caller: authority.Caller): (entry: { team: string }) => boolean {
  return (entry) => caller.kind === "operator" || caller.team === entry.team;
}

function answer(context: hono.Context, result: neverthrow.Result<object, common.Problem>): Response {
  return result.isErr() ? refuse(context, result.error) : context.json(result.value);
}

function refuse(context: hono.Context, problem: common.Problem): Response {
  const headers = { "content-type": "application/problem+json", ...callerExchange.problemHeaders(problem) };
  context.header("content-type", headers["content-type"]);
  return new Response(JSON.stringify(callerExchange.problemDocument(problem)), { status: problem.status, headers });
}
