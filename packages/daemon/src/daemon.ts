import * as crypto from "node:crypto";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as platform from "@camphorcourse/fleet-state";
import * as endpoints from "@camphorcourse/endpoints";
import type * as callerExchange from "./callerExchange.js";
import * as dispatcher from "./dispatcher.js";
import * as keyValueShell from "./keyValueShell.js";
import * as logger from "./logger.js";
import * as metrics from "./metrics.js";
import * as peerCalls from "./peerCalls.js";
import * as peerClients from "./peerClients.js";
import type * as settingsModule from "./settings.js";

const TICK_MS = 100;
const CLAIM_WAKE_MS = 5;
const LOAD_POLL_MS = 1000;
const VM_LIST_POLL_MS = 2000;
const CALLER_KEEP_ALIVE_MS = 1000;
const STOP_POLL_MS = 100;

/** The ports that the servers came to listen on. */
export interface ListenPorts {
  readonly caller: number;
  readonly peer: number;
  readonly admin: number;
}

/** A join that another daemon waits for. */
export interface JoinQuestion {
  readonly key: string;
  readonly digest: string;
  readonly incarnation: string;
  readonly attempt: string;
  readonly asker: core.AttemptOwner;
}

/** How a join ended. */
export interface JoinReply {
  readonly verdict: core.JoinVerdict;
  readonly answer?: core.KeptAnswer;
  readonly movedTo?: core.AttemptOwner;
}

/** The shell round the core: turns sockets and timers into events, and actions into calls. */
export class Daemon {
  readonly settings: settingsModule.Settings;
  readonly core: core.Core;
  readonly timeline: core.Timeline;
  readonly metrics = new metrics.Metrics();
  readonly peers = new peerClients.PeerClients();
  readonly keyValue: keyValueShell.KeyValueShell;
  readonly log: logger.Logger;
  readonly clock: common.Clock = new common.SystemClock();
  readonly dispatcher: dispatcher.Dispatcher;
  readonly peerCalls: peerCalls.PeerCalls;
  readonly #random: common.SeededRandom;
  readonly #hybrid: common.HybridClock;
  readonly #vmList: platform.VmListClient;
  readonly #orders = new endpoints.OrderSender();
  readonly #exchanges = new Map<string, callerExchange.CallerExchange>();
  readonly #claimWaiters = new Map<string, (answer: core.ClaimAnswer) => void>();
  readonly #joinWaiters = new Map<string, (reply: JoinReply) => void>();
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #openResumes = new Set<string>();
  #claimTimer: NodeJS.Timeout | undefined;

  /**
   * @param settings - checked settings
   * @param ports - on which the daemon listens
   * @param write - takes log lines
   */
  constructor(settings: settingsModule.Settings, ports: ListenPorts, write: (line: string) => void) {
    this.settings = settings;
    const seed = settings.seed === 0 ? crypto.randomInt(2 ** 31) : settings.seed;
    this.#random = new common.SeededRandom(seed);
    this.log = logger.createLogger(settings.vm, settings.logLevel, write);
    this.#hybrid = new common.HybridClock(() => this.clock.wall());
    this.timeline = new core.Timeline(settings.vm, core.constants.TIMELINE_LIMIT);
    this.core = new core.Core({
      registration: registrationOf(settings, ports),
      seed: seed + 1,
      lingerMs: settings.orderLingerMs,
    });
    const sink = (event: core.CoreEvent): void => {
      this.handle(event);
    };
    this.keyValue = new keyValueShell.KeyValueShell(new platform.KeyValueClient(settings.keyValue), sink, () =>
      this.clock.now(),
    );
    this.#vmList = new platform.VmListClient(settings.vmList);
    this.dispatcher = new dispatcher.Dispatcher(sink, this.metrics, this.clock);
    const clocks = { hybrid: this.#hybrid, clock: this.clock };
    this.peerCalls = new peerCalls.PeerCalls(this.peers, this.core, sink, clocks);
  }

  /** @returns callers that wait for an answer */
  get openExchanges(): number {
    return this.#exchanges.size + this.#openResumes.size;
  }

  /** Begins the timers and the watch. */
  start(): void {
    this.#every(TICK_MS, () => {
      this.handle({ type: core.EventType.Tick });
    });
    this.#every(core.constants.HEARTBEAT_INTERVAL_MS, () => {
      this.peerCalls.exchange();
    });
    this.#every(LOAD_POLL_MS, () => {
      this.#pollLoads();
    });
    this.#every(VM_LIST_POLL_MS, () => {
      void this.#pollVmList();
    });
    this.#every(CALLER_KEEP_ALIVE_MS, () => {
      this.#keepCallersAlive();
    });
    const { callerUrl, peerUrl, adminUrl } = this.core.registration;
    this.log.info({ callerUrl, peerUrl, adminUrl }, "listening");
    void this.keyValue.follow(() => this.#random.next());
    this.handle({ type: core.EventType.Tick });
  }

  /**
   * Hands the core an event and carries out what it asks for.
   *
   * @param event - what happened
   */
  handle(event: core.CoreEvent): void {
    const before = this.clock.now();
    const actions = this.core.handle(event, { now: before, wall: this.clock.wall() });
    this.metrics.record(metrics.Duration.Handle, (this.clock.now() - before) * 1000);
    for (const action of actions) this.#carryOut(action);
    this.#wakeForClaims();
  }

  /**
   * A caller's request has been read.
   *
   * @param exchange - the caller
   */
  accept(exchange: callerExchange.CallerExchange): void {
    const { description } = exchange.request;
    this.#exchanges.set(description.id, exchange);
    this.metrics.count("requests_total");
    this.handle({ type: core.EventType.RequestArrived, request: description });
  }

  /** @param request - whose caller has closed its connection */
  onCallerGone(request: string): void {
    this.#exchanges.delete(request);
    this.handle({ type: core.EventType.CallerGone, request });
  }

  /**
   * A caller reads, through this daemon, a stream that another one began.
   *
   * @param endpoint - `team/endpoint`
   * @param read - reads it
   */
  async duringResume(endpoint: string, read: () => Promise<void>): Promise<void> {
    const resume = `resume-${this.#random.identifier()}`;
    this.#openResumes.add(resume);
    this.handle({ type: core.EventType.ResumeBegun, resume, endpoint });
    try {
      await read();
    } finally {
      this.#openResumes.delete(resume);
      this.handle({ type: core.EventType.ResumeEnded, resume, endpoint });
    }
  }

  /** @returns a fresh id for a request */
  newRequestId(): string {
    return `${this.settings.vm}-${this.#random.identifier()}`;
  }

  /**
   * Appends a claim for another daemon.
   *
   * @param claim - the claim
   * @returns its verdict
   */
  claimForPeer(claim: core.Claim): Promise<core.ClaimAnswer> {
    return new Promise((resolve) => {
      this.#claimWaiters.set(claim.attempt, resolve);
      this.handle({ type: core.EventType.ClaimsAsked, claims: [claim] });
    });
  }

  /**
   * Waits for the answer of an attempt that runs here.
   *
   * @param question - which attempt, and who asks
   * @returns how it ended
   */
  joinForPeer(question: JoinQuestion): Promise<JoinReply> {
    const join = this.#random.identifier();
    return new Promise((resolve) => {
      this.#joinWaiters.set(join, resolve);
      this.handle({ type: core.EventType.JoinAsked, join, ...question });
    });
  }

  /** Resets every order connection that has no answer, when a newer holder asks. */
  resetOrders(): void {
    this.#orders.resetAll();
  }

  /**
   * Leaves as planned: callers are sent elsewhere, what runs is finished, and
   * only then the daemon ends.
   *
   * @returns when nothing runs any more
   */
  async drain(): Promise<void> {
    this.handle({ type: core.EventType.StopAsked });
    const leastUntil = this.clock.now() + core.constants.ADDRESS_TTL_MS + core.constants.HEARTBEAT_INTERVAL_MS;
    while (this.clock.now() < leastUntil || this.openExchanges > 0 || this.core.requestDesk.size > 0) {
      await new Promise((resolve) => setTimeout(resolve, STOP_POLL_MS));
    }
  }

  /** Ends the registration and closes everything. */
  async close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#claimTimer);
    const farewell = this.core.markStopped({ now: this.clock.now(), wall: this.clock.wall() });
    for (const action of farewell) {
      if (action.type === core.ActionType.Transact) await this.keyValue.write(action.transaction, this.core.leaseId);
    }
    const lease = this.core.leaseId;
    if (lease !== undefined) await this.keyValue.revoke(lease);
    this.peers.close();
    await Promise.all([this.keyValue.close(), this.#vmList.close(), this.dispatcher.close()]);
  }

  #carryOut(action: core.Action): void {
    switch (action.type) {
      case core.ActionType.Note:
        this.#note(action.note);
        break;
      case core.ActionType.Dispatch:
        this.#dispatch(action);
        break;
      case core.ActionType.Refuse:
        this.#refuse(action.request, action.problem);
        break;
      case core.ActionType.Relay:
        this.#relay(action.request, action.answer);
        break;
      case core.ActionType.CancelAttempt:
        void this.dispatcher.cancel(action.attempt, action.url);
        break;
      case core.ActionType.AskClaim:
        void this.peerCalls.askClaim(action.claim, action.peerUrl);
        break;
      case core.ActionType.AskJoin:
        void this.peerCalls.askJoin(action);
        break;
      case core.ActionType.AnswerClaims:
        for (const answer of action.answers) take(this.#claimWaiters, answer.claim.attempt)?.(answer);
        break;
      case core.ActionType.AnswerJoin:
        take(this.#joinWaiters, action.join)?.(action);
        break;
      case core.ActionType.RenewLease:
        void this.keyValue.renew(action.lease);
        break;
      case core.ActionType.Transact:
        void this.keyValue.transact(action.token, action.transaction, this.core.leaseId);
        break;
      case core.ActionType.ReadKeys:
        void this.keyValue.readKeys(action.token, action.prefix);
        break;
      case core.ActionType.PushRecords:
        void this.peerCalls.pushRecords(action.to.peerUrl, action.records, action.completeRevision);
        break;
      case core.ActionType.SendOrder:
        void this.#sendOrder(action);
        break;
      case core.ActionType.AskDepose:
        void this.peerCalls.askDepose(action);
        break;
    }
  }

  #dispatch(action: core.DispatchAction): void {
    const exchange = this.#exchanges.get(action.request);
    if (exchange) void this.dispatcher.dispatch(action, exchange).then(() => this.#forgetEnded(action.request));
    else {
      const { request, attempt } = action;
      this.handle({ type: core.EventType.AttemptFailed, request, attempt, reach: core.Reach.NeverSent });
    }
  }

  #forgetEnded(request: string): void {
    if (this.#exchanges.get(request)?.isEnded) this.#exchanges.delete(request);
  }

  #refuse(request: string, problem: common.Problem): void {
    this.metrics.count(`refused_${problem.kind.replaceAll("-", "_")}_total`);
    const exchange = take(this.#exchanges, request);
    exchange?.refuse(problem);
  }

  #relay(request: string, answer: core.KeptAnswer): void {
    this.metrics.count("joined_total");
    take(this.#exchanges, request)?.completePlain(answer.status, answer.contentType, answer.body);
  }

  async #sendOrder(action: core.SendOrderAction): Promise<void> {
    const { endpoint, url, shard, epoch, number, role } = action;
    const mayStillSend = (): boolean => this.core.mayOrder(shard, epoch, this.clock.now());
    const reply = await this.#orders.send({ url, number, epoch, role }, mayStillSend);
    const outcomes: Record<endpoints.OrderReply, core.OrderOutcome> = {
      [endpoints.OrderReply.Confirmed]: core.OrderOutcome.Confirmed,
      [endpoints.OrderReply.Stale]: core.OrderOutcome.Stale,
      [endpoints.OrderReply.NotSent]: core.OrderOutcome.NotSent,
      [endpoints.OrderReply.Unknown]: core.OrderOutcome.Unknown,
    };
    this.handle({ type: core.EventType.OrderAnswered, endpoint, number, outcome: outcomes[reply] });
  }

  #pollLoads(): void {
    for (const endpoint of this.core.tree.endpoints()) {
      const kind = this.core.tree.service(endpoint.serviceId)?.settings.kind;
      if (kind === core.ServiceKind.Engine) void this.#pollLoad(endpoint);
    }
  }

  async #pollLoad(endpoint: core.EndpointEntry): Promise<void> {
    const text = await this.dispatcher.engine(endpoint.settings.url).metrics();
    if (text === undefined) return;
    const load = endpoints.parseLoad(text);
    const role = Object.values(core.EndpointRole).find((candidate) => candidate.valueOf() === load.role);
    const report = { endpoint: endpoint.id, running: load.running, waiting: load.waiting, ...(role ? { role } : {}) };
    this.handle({ type: core.EventType.LoadReported, report });
  }

  async #pollVmList(): Promise<void> {
    const list = await this.#vmList.list();
    if (list.isErr()) return;
    const vms = new Map(list.value.map((vm) => [vm.vm, vm.state as core.VmState]));
    this.handle({ type: core.EventType.VmsListed, vms });
  }

  #keepCallersAlive(): void {
    const now = this.clock.now();
    for (const [id, exchange] of this.#exchanges) {
      if (!exchange.keepAlive(now)) this.onCallerGone(id);
    }
  }

  #note(note: core.TimelineNote): void {
    this.timeline.add(note, this.#hybrid.tick());
    const perRequest = note.fields.request !== undefined;
    if (perRequest) this.log.debug(note.fields, note.kind);
    else this.log.info(note.fields, note.kind);
  }

  #wakeForClaims(): void {
    if (this.#claimTimer || !this.core.hasPendingClaims) return;
    this.#claimTimer = setTimeout(() => {
      this.#claimTimer = undefined;
      this.handle({ type: core.EventType.Tick });
    }, CLAIM_WAKE_MS);
  }

  #every(milliseconds: number, run: () => void): void {
    this.#timers.push(setInterval(run, milliseconds));
  }
}

function registrationOf(settings: settingsModule.Settings, ports: ListenPorts): core.Registration {
  const { vm, dataCentre, advertise } = settings;
  return {
    vm,
    dataCentre,
    incarnation: crypto.randomUUID(),
    callerUrl: `http://${advertise}:${ports.caller}`,
    peerUrl: `http://${advertise}:${ports.peer}`,
    adminUrl: `http://${advertise}:${ports.admin}`,
    leaving: false,
  };
}

function take<Key, Value>(map: Map<Key, Value>, key: Key): Value | undefined {
  const value = map.get(key);
  map.delete(key);
  return value;
}
