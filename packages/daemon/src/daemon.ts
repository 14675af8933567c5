import * as crypto from "node:crypto";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as fleetState from "@camphorcourse/fleet-state";
import * as endpoints from "@camphorcourse/endpoints";
import type * as callerExchange from "./callerExchange.js";
import * as dispatcher from "./dispatcher.js";
import * as keyValueAdapter from "./keyValueAdapter.js";
import * as logger from "./logger.js";
import * as metrics from "./metrics.js";
import * as peerCalls from "./peerCalls.js";
import * as peerClients from "./peerClients.js";
import type * as settingsModule from "./settings.js";

const TICK_MS = 100;
const CLAIM_BATCH_DELAY_MS = 5;
const LOAD_POLL_MS = 1000;
const VM_LIST_POLL_MS = 2000;
const CALLER_KEEP_ALIVE_MS = 1000;
const DRAIN_POLL_MS = 100;

/** The ports on which the servers listen. */
export interface ListenPorts {
  readonly caller: number;
  readonly peer: number;
  readonly admin: number;
}

/** Another daemon's request to wait for the answer of an attempt that runs here. */
export interface JoinRequest {
  readonly key: string;
  readonly digest: string;
  readonly incarnation: string;
  readonly attempt: string;
  readonly asker: core.AttemptOwner;
}

/** Result of a join. */
export interface JoinResult {
  readonly verdict: core.JoinVerdict;
  readonly answer?: core.KeptAnswer;
  readonly movedTo?: core.AttemptOwner;
}

/** Runs the core: turns network input and timers into its events, and executes its actions as calls. */
export class Daemon {
  readonly settings: settingsModule.Settings;
  readonly core: core.Core;
  readonly timeline: core.Timeline;
  readonly metrics = new metrics.Metrics();
  readonly peers = new peerClients.PeerClients();
  readonly keyValue: keyValueAdapter.KeyValueAdapter;
  readonly log: logger.Logger;
  readonly clock: common.Clock = new common.SystemClock();
  readonly dispatcher: dispatcher.Dispatcher;
  readonly peerCalls: peerCalls.PeerCalls;
  readonly #random: common.SeededRandom;
  readonly #hybrid: common.HybridClock;
  readonly #vmList: fleetState.VmListClient;
  readonly #orderSender = new endpoints.OrderSender();
  readonly #exchanges = new Map<string, callerExchange.CallerExchange>();
  readonly #pendingClaims = new Map<string, (answer: core.ClaimAnswer) => void>();
  readonly #pendingJoins = new Map<string, (reply: JoinResult) => void>();
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #openResumes = new Set<string>();
  #claimTimer: NodeJS.Timeout | undefined;

  /**
   * @param settings - validated settings
   * @param ports - ports on which the daemon listens
   * @param write - writes a log line
   */
  constructor(settings: settingsModule.Settings, ports: ListenPorts, write: (line: string) => void) {
    this.settings = settings;
    const seed = settings.seed === 0 ? crypto.randomInt(2 ** 31) : settings.seed;
    this.#random = new common.SeededRandom(seed);
    this.log = logger.createLogger(settings.vm, settings.logLevel, write);
    this.#hybrid = new common.HybridClock(() => this.clock.systemTime());
    this.timeline = new core.Timeline(settings.vm, core.constants.TIMELINE_LIMIT);
    this.core = new core.Core({
      registration: registrationOf(settings, ports),
      seed: seed + 1,
      lingerMs: settings.orderLingerMs,
    });
    const emit = (event: core.CoreEvent): void => {
      this.handle(event);
    };
    this.keyValue = new keyValueAdapter.KeyValueAdapter(new fleetState.KeyValueClient(settings.keyValue), emit, () =>
      this.clock.now(),
    );
    this.#vmList = new fleetState.VmListClient(settings.vmList);
    this.dispatcher = new dispatcher.Dispatcher(emit, this.metrics, this.clock);
    const clocks = { hybrid: this.#hybrid, clock: this.clock };
    this.peerCalls = new peerCalls.PeerCalls(this.peers, this.core, emit, clocks);
  }

  /** @returns number of open caller requests and resumed streams */
  get openExchanges(): number {
    return this.#exchanges.size + this.#openResumes.size;
  }

  /** Starts the timers and the watch of the key-value service. */
  start(): void {
    this.#repeat(TICK_MS, () => {
      this.handle({ type: core.EventType.Tick });
    });
    this.#repeat(core.constants.HEARTBEAT_INTERVAL_MS, () => {
      this.peerCalls.exchangeHeartbeats();
    });
    this.#repeat(LOAD_POLL_MS, () => {
      this.#pollLoads();
    });
    this.#repeat(VM_LIST_POLL_MS, () => {
      void this.#pollVmList();
    });
    this.#repeat(CALLER_KEEP_ALIVE_MS, () => {
      this.#keepCallersAlive();
    });
    const { callerUrl, peerUrl, adminUrl } = this.core.registration;
    this.log.info({ callerUrl, peerUrl, adminUrl }, "listening");
    void this.keyValue.follow(() => this.#random.next());
    this.handle({ type: core.EventType.Tick });
  }

  /**
   * Passes an event to the core and executes the actions that it returns.
   *
   * @param event - the event
   */
  handle(event: core.CoreEvent): void {
    const startedAt = this.clock.now();
    const actions = this.core.handle(event, { now: startedAt, systemTime: this.clock.systemTime() });
    this.metrics.record(metrics.Duration.CoreEvent, (this.clock.now() - startedAt) * 1000);
    for (const action of actions) this.#execute(action);
    this.#scheduleClaimTick();
  }

  /**
   * Accepts a caller's parsed request.
   *
   * @param exchange - the open request
   */
  accept(exchange: callerExchange.CallerExchange): void {
    const { description } = exchange.request;
    this.#exchanges.set(description.id, exchange);
    this.metrics.count("requests_total");
    this.handle({ type: core.EventType.RequestArrived, request: description });
  }

  /**
   * Handles a caller's disconnect before its response was complete.
   *
   * @param request - id of the request
   */
  onCallerDisconnected(request: string): void {
    this.#exchanges.delete(request);
    this.handle({ type: core.EventType.CallerDisconnected, request });
  }

  /**
   * Counts a resumed stream as open while it is forwarded to the caller.
   *
   * @param endpoint - `team/endpoint`
   * @param forward - forwards the stream
   */
  async trackResume(endpoint: string, forward: () => Promise<void>): Promise<void> {
    const resume = `resume-${this.#random.identifier()}`;
    this.#openResumes.add(resume);
    this.handle({ type: core.EventType.ResumeBegun, resume, endpoint });
    try {
      await forward();
    } finally {
      this.#openResumes.delete(resume);
      this.handle({ type: core.EventType.ResumeEnded, resume, endpoint });
    }
  }

  /** @returns a new request id */
  newRequestId(): string {
    return `${this.settings.vm}-${this.#random.identifier()}`;
  }

  /**
   * Writes a claim on behalf of another daemon.
   *
   * @param claim - the claim
   * @returns its verdict
   */
  claimForPeer(claim: core.Claim): Promise<core.ClaimAnswer> {
    return new Promise((resolve) => {
      this.#pendingClaims.set(claim.attempt, resolve);
      this.handle({ type: core.EventType.ClaimsAsked, claims: [claim] });
    });
  }

  /**
   * Waits on behalf of another daemon for the answer of an attempt that runs here.
   *
   * @param request - the attempt and the asking daemon
   * @returns the result of the join
   */
  joinForPeer(request: JoinRequest): Promise<JoinResult> {
    const join = this.#random.identifier();
    return new Promise((resolve) => {
      this.#pendingJoins.set(join, resolve);
      this.handle({ type: core.EventType.JoinAsked, join, ...request });
    });
  }

  /** Resets every order connection that still waits for an answer, when a newer lease holder takes over. */
  resetOrderConnections(): void {
    this.#orderSender.resetAll();
  }

  /**
   * Drains the daemon for a graceful shutdown: directs callers to other daemons, and waits
   * until the addresses that callers have cached expire and the running requests finish.
   *
   * @returns a promise that resolves when no request is running
   */
  async drain(): Promise<void> {
    this.handle({ type: core.EventType.StopAsked });
    const minDrainUntil = this.clock.now() + core.constants.ADDRESS_TTL_MS + core.constants.HEARTBEAT_INTERVAL_MS;
    while (this.clock.now() < minDrainUntil || this.openExchanges > 0 || this.core.requestManager.size > 0) {
      await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS));
    }
  }

  /** Removes the registration, revokes the lease and closes all connections. */
  async close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#claimTimer);
    const finalActions = this.core.markStopped({ now: this.clock.now(), systemTime: this.clock.systemTime() });
    for (const action of finalActions) {
      if (action.type === core.ActionType.Transact) await this.keyValue.write(action.transaction, this.core.leaseId);
    }
    const lease = this.core.leaseId;
    if (lease !== undefined) await this.keyValue.revoke(lease);
    this.peers.close();
    await Promise.all([this.keyValue.close(), this.#vmList.close(), this.dispatcher.close()]);
  }

  #execute(action: core.Action): void {
    switch (action.type) {
      case core.ActionType.Note:
        this.#recordNote(action.note);
        break;
      case core.ActionType.Dispatch:
        this.#dispatch(action);
        break;
      case core.ActionType.Refuse:
        this.#sendProblem(action.request, action.problem);
        break;
      case core.ActionType.Relay:
        this.#sendKeptAnswer(action.request, action.answer);
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
        for (const answer of action.answers) removeEntry(this.#pendingClaims, answer.claim.attempt)?.(answer);
        break;
      case core.ActionType.AnswerJoin:
        removeEntry(this.#pendingJoins, action.join)?.(action);
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
    if (exchange) void this.dispatcher.dispatch(action, exchange).then(() => this.#removeEnded(action.request));
    else {
      const { request, attempt } = action;
      this.handle({
        type: core.EventType.AttemptFailed,
        request,
        attempt,
        delivery: core.DeliveryStatus.NeverSent,
      });
    }
  }

  #removeEnded(request: string): void {
    if (this.#exchanges.get(request)?.isEnded) this.#exchanges.delete(request);
  }

  #sendProblem(request: string, problem: common.Problem): void {
    this.metrics.count(`refused_${problem.kind.replaceAll("-", "_")}_total`);
    const exchange = removeEntry(this.#exchanges, request);
    exchange?.sendProblem(problem);
  }

  #sendKeptAnswer(request: string, answer: core.KeptAnswer): void {
    this.metrics.count("joined_total");
    removeEntry(this.#exchanges, request)?.completePlain(answer.status, answer.contentType, answer.body);
  }

  async #sendOrder(action: core.SendOrderAction): Promise<void> {
    const { endpoint, url, shard, epoch, number, role } = action;
    const mayStillSend = (): boolean => this.core.maySendOrder(shard, epoch, this.clock.now());
    const reply = await this.#orderSender.send({ url, number, epoch, role }, mayStillSend);
    const outcomes: Record<endpoints.OrderResult, core.OrderOutcome> = {
      [endpoints.OrderResult.Confirmed]: core.OrderOutcome.Confirmed,
      [endpoints.OrderResult.Stale]: core.OrderOutcome.Stale,
      [endpoints.OrderResult.NotSent]: core.OrderOutcome.NotSent,
      [endpoints.OrderResult.Unknown]: core.OrderOutcome.Unknown,
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
    const report = {
      endpoint: endpoint.id,
      running: load.running,
      waiting: load.waiting,
      ...(role ? { role } : {}),
    };
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
      if (!exchange.keepAlive(now)) this.onCallerDisconnected(id);
    }
  }

  #recordNote(note: core.TimelineNote): void {
    this.timeline.add(note, this.#hybrid.tick());
    const isPerRequest = note.fields.request !== undefined;
    if (isPerRequest) this.log.debug(note.fields, note.kind);
    else this.log.info(note.fields, note.kind);
  }

  #scheduleClaimTick(): void {
    if (this.#claimTimer || !this.core.hasPendingClaims) return;
    this.#claimTimer = setTimeout(() => {
      this.#claimTimer = undefined;
      this.handle({ type: core.EventType.Tick });
    }, CLAIM_BATCH_DELAY_MS);
  }

  #repeat(milliseconds: number, run: () => void): void {
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

function removeEntry<Key, Value>(map: Map<Key, Value>, key: Key): Value | undefined {
  const value = map.get(key);
  map.delete(key);
  return value;
}
