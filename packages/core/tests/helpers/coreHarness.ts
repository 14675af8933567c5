import * as common from "@camphorcourse/common";
import * as standIns from "@camphorcourse/stand-ins";
import * as core from "../../src/index.js";

/** What an endpoint carried out, in order. */
export interface Execution {
  readonly endpoint: string;
  readonly request: string;
  readonly key: string;
  readonly attempt: string;
}

/** What an engine was ordered, in order of arrival. */
export interface ArrivedOrder {
  readonly endpoint: string;
  readonly number: number;
  readonly epoch: number;
  readonly role: core.EndpointRole;
  readonly obeyed: boolean;
  /** The highest epoch under which an order had been sent when this one arrived. */
  readonly newestEpoch: number;
}

/** The final word that a caller got. */
export interface FinalWord {
  readonly request: string;
  readonly key: string;
  readonly outcome: "answered" | common.Outcome;
  readonly problem?: common.Problem;
}

/** Probabilities of faults, each between 0 and 1. */
export interface FaultRates {
  readonly lostReply: number;
  readonly lostWrite: number;
  readonly endpointLost: number;
  readonly endpointRefuses: number;
  /** An order's bytes linger in a buffer for seconds. */
  readonly lateOrder: number;
}

interface Node {
  readonly core: core.Core;
  alive: boolean;
  pausedUntil: number;
  lastWatchAt: number;
  orderTokens: { cancelled: boolean }[];
}

interface Pending {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

const NO_FAULTS: FaultRates = { lostReply: 0, lostWrite: 0, endpointLost: 0, endpointRefuses: 0, lateOrder: 0 };
const TICK_MS = 50;
const EXCHANGE_MS = 500;
const CALL_MS = 20;
const ORDER_MS = 300;
const LATE_ORDER_MS = 25_000;
const ORDER_TIMEOUT_MS = 4000;
const WALL_START = 1_700_000_000_000;

/** Several cores, the stand-in's key-value store, and fakes of endpoints, in virtual time and seeded order. */
export class CoreHarness {
  readonly store = new standIns.KeyValueStore();
  readonly random: common.SeededRandom;
  readonly executions: Execution[] = [];
  readonly orders: ArrivedOrder[] = [];
  readonly words: FinalWord[] = [];
  readonly vmStates = new Map<string, core.VmState>();
  readonly checksFencing = new Map<string, boolean>();
  readonly roles = new Map<string, core.EndpointRole>();
  readonly inFlight = new Map<string, Set<string>>();
  readonly keys = new Map<string, string>();
  faults: FaultRates = NO_FAULTS;
  now = 0;
  onDispatched: (vm: string, action: core.DispatchAction) => void = () => undefined;
  readonly #nodes = new Map<string, Node>();
  readonly #engineOrders = new Map<string, { number: number; epoch: number }>();
  readonly #waiters = new Map<string, { vm: string; settle: (value: unknown) => void }>();
  #pending: Pending[] = [];
  #keyValueDown = false;
  #sequence = 0;
  #joins = 0;
  #lingerMs: number;

  /**
   * @param seed - of all draws
   * @param lingerMs - how long bytes outlive a process, as the cores are told
   */
  constructor(seed: number, lingerMs = 60_000) {
    this.random = new common.SeededRandom(seed);
    this.#lingerMs = lingerMs;
    this.#every(100, () => {
      this.store.expireLeases(this.now);
    });
    this.store.subscribe((events) => {
      for (const vm of this.#nodes.keys()) this.#tellWatch(vm, events);
    });
  }

  /** @returns whether the key-value service is out of reach */
  get keyValueDown(): boolean {
    return this.#keyValueDown;
  }

  /** After an outage the daemons read all control records again. */
  set keyValueDown(down: boolean) {
    const back = this.#keyValueDown && !down;
    this.#keyValueDown = down;
    if (!back) return;
    for (const [vm, node] of this.#nodes) this.#readAll(vm, node);
  }

  /**
   * @param vm - the VM on which a daemon starts, in place of any that ran there
   * @returns its core
   */
  start(vm: string): core.Core {
    const before = this.#nodes.get(vm);
    if (before) before.alive = false;
    const registration: core.Registration = {
      vm,
      dataCentre: "halle-a",
      incarnation: this.random.identifier(),
      callerUrl: vm,
      peerUrl: vm,
      adminUrl: vm,
      leaving: false,
    };
    const started = new core.Core({ registration, seed: this.random.integer(1e9), lingerMs: this.#lingerMs });
    const node: Node = { core: started, alive: true, pausedUntil: 0, lastWatchAt: 0, orderTokens: [] };
    this.#nodes.set(vm, node);
    this.#readAll(vm, node);
    this.#whileAlive(node, TICK_MS, () => {
      this.#handle(vm, node, { type: core.EventType.Tick });
    });
    this.#whileAlive(node, EXCHANGE_MS, () => {
      this.#exchange(vm, node);
    });
    return started;
  }

  /** @param vm - whose daemon ends at once */
  kill(vm: string): void {
    const node = this.#nodes.get(vm);
    if (node) node.alive = false;
  }

  /**
   * @param vm - whose daemon is paused
   * @param milliseconds - for how long
   */
  pause(vm: string, milliseconds: number): void {
    const node = this.#nodes.get(vm);
    if (node) node.pausedUntil = this.now + milliseconds;
  }

  /**
   * @param vm - the VM
   * @returns its core
   */
  core(vm: string): core.Core {
    const node = this.#nodes.get(vm);
    if (!node) throw new Error(`no daemon on ${vm}`);
    return node.core;
  }

  /**
   * @param vm - daemon that gets the request
   * @param request - the request
   */
  send(vm: string, request: core.RequestDescription): void {
    this.keys.set(request.id, request.key ?? "");
    this.#deliver(vm, { type: core.EventType.RequestArrived, request });
  }

  /**
   * @param text - a team document
   * @param team - the team
   */
  configure(text: string, team: string): void {
    const key = core.controlKey(core.ControlKind.Team, team);
    const version = this.store.range(key).length + 1;
    const value = JSON.stringify({ text, version, author: "test", attempt: String(this.now), acceptedAt: 0 });
    this.store.transact([], [{ kind: "put", key, value, lease: "0" }]);
  }

  /** @param milliseconds - how far to run */
  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    for (;;) {
      const next = this.#pending[0];
      if (!next || next.at > end) break;
      this.#pending.shift();
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = end;
  }

  /**
   * @param delayMs - from now
   * @param run - what happens then
   */
  after(delayMs: number, run: () => void): void {
    const entry = { at: this.now + delayMs, sequence: this.#sequence++, run };
    let index = this.#pending.length;
    while (index > 0 && isLater(this.#pending[index - 1], entry)) index--;
    this.#pending.splice(index, 0, entry);
  }

  #deliver(vm: string, event: core.CoreEvent): void {
    const node = this.#nodes.get(vm);
    if (node) this.#handle(vm, node, event);
  }

  /** A paused process handles what came meanwhile when it goes on. */
  #handle(vm: string, node: Node, event: core.CoreEvent): void {
    if (!node.alive) return;
    if (node.pausedUntil > this.now) {
      this.after(node.pausedUntil - this.now + 1, () => {
        this.#handle(vm, node, event);
      });
      return;
    }
    const actions = node.core.handle(event, { now: this.now, wall: WALL_START + this.now });
    for (const action of actions) this.#carryOut(vm, node, action);
  }

  #carryOut(vm: string, node: Node, action: core.Action): void {
    const reply = (event: core.CoreEvent, delayMs = this.#callMs()): void => {
      this.after(delayMs, () => {
        this.#handle(vm, node, event);
      });
    };
    switch (action.type) {
      case core.ActionType.Transact:
        this.#transact(node, action.transaction, (result) => {
          reply({ type: core.EventType.Transacted, token: action.token, result });
        });
        break;
      case core.ActionType.ReadKeys:
        this.after(this.#callMs(), () => {
          const records = this.#keyValueDown ? undefined : this.#read(action.prefix);
          reply({ type: core.EventType.KeysRead, token: action.token, ...(records ? { records } : {}) });
        });
        break;
      case core.ActionType.RenewLease:
        this.#renew(action.lease, this.now, reply);
        break;
      case core.ActionType.AskClaim:
        this.#askClaim(action, reply);
        break;
      case core.ActionType.AnswerClaims:
        for (const answer of action.answers) this.#settle(answer.claim.attempt, answer);
        break;
      case core.ActionType.AskJoin:
        this.#askJoin(action, reply);
        break;
      case core.ActionType.AnswerJoin:
        this.#settle(action.join, action);
        break;
      case core.ActionType.Dispatch:
        this.#dispatch(vm, action, reply);
        break;
      case core.ActionType.Refuse:
        this.#word(action.request, action.problem.outcome, action.problem);
        break;
      case core.ActionType.Relay:
        this.#word(action.request, "answered");
        break;
      case core.ActionType.SendOrder:
        this.#sendOrder(node, action, reply);
        break;
      case core.ActionType.AskDepose:
        this.#askDepose(action, reply);
        break;
      case core.ActionType.PushRecords:
        this.after(this.#callMs(), () => {
          const { records, completeRevision } = action;
          this.#deliver(action.to.vm, { type: core.EventType.ControlChanges, records, completeRevision });
        });
        break;
      default:
        break;
    }
  }

  #transact(node: Node, transaction: core.Transaction, done: (result: core.TransactionResult) => void): void {
    const lost = this.random.next();
    this.after(this.#callMs(), () => {
      if (this.#keyValueDown) {
        done({ outcome: core.TransactionOutcome.NotSent, revision: 0 });
        return;
      }
      if (lost < this.faults.lostWrite) {
        done({ outcome: core.TransactionOutcome.Unknown, revision: 0 });
        return;
      }
      const lease = node.core.leaseId ?? "0";
      const compares = transaction.conditions.map(({ key, kind, revision }) => ({ key, target: kind, revision }));
      const puts = transaction.puts.map((put) => ({
        kind: "put" as const,
        key: put.key,
        value: put.value,
        lease: put.leased ? lease : "0",
      }));
      const deletes = (transaction.deletes ?? []).map((range) => ({ kind: "delete" as const, ...range }));
      const applied = this.store.transact(compares, [...puts, ...deletes]);
      const replyLost = lost < this.faults.lostWrite + this.faults.lostReply;
      const outcome = applied ? core.TransactionOutcome.Applied : core.TransactionOutcome.Refused;
      done({ outcome: replyLost ? core.TransactionOutcome.Unknown : outcome, revision: this.store.revision });
    });
  }

  #renew(lease: string | undefined, sentAt: number, reply: (event: core.CoreEvent) => void): void {
    this.after(this.#callMs(), () => {
      if (this.#keyValueDown) {
        reply({ type: core.EventType.KeyValueFailed });
        return;
      }
      const ttlMs = core.constants.LEASE_TTL_MS;
      const id = lease ?? this.store.grantLease(ttlMs, this.now);
      if (lease !== undefined && this.store.keepAlive(lease, this.now) === 0) reply({ type: core.EventType.LeaseLost });
      else reply({ type: core.EventType.LeaseRenewed, lease: id, sentAt, ttlMs });
    });
  }

  #askClaim(
    action: Extract<core.Action, { type: core.ActionType.AskClaim }>,
    reply: (event: core.CoreEvent) => void,
  ): void {
    const { claim, peerUrl } = action;
    let answered = false;
    this.#ask(claim.attempt, peerUrl, { type: core.EventType.ClaimsAsked, claims: [claim] }, (value) => {
      answered = true;
      const { verdict, standing } = value as core.ClaimAnswer;
      const event = { type: core.EventType.ClaimAnswered, attempt: claim.attempt, verdict } as const;
      reply(standing ? { ...event, standing } : event);
    });
    this.after(1000, () => {
      if (!answered) reply({ type: core.EventType.ClaimsAsked, claims: [claim] });
    });
  }

  #askJoin(
    action: Extract<core.Action, { type: core.ActionType.AskJoin }>,
    reply: (event: core.CoreEvent) => void,
  ): void {
    const { request, key, digest, owner, asker, timeoutMs } = action;
    if (!Number.isInteger(timeoutMs))
      throw new Error(`a call between daemons takes whole milliseconds, not ${timeoutMs}`);
    const join = `join-${this.#joins++}`;
    const { incarnation, attempt } = owner;
    const question = { type: core.EventType.JoinAsked, join, key, digest, incarnation, attempt, asker } as const;
    let answered = false;
    this.#ask(join, owner.vm, question, (value) => {
      answered = true;
      const { verdict, answer, movedTo } = value as Extract<core.Action, { type: core.ActionType.AnswerJoin }>;
      reply({
        type: core.EventType.JoinAnswered,
        request,
        verdict,
        ...(answer ? { answer } : {}),
        ...(movedTo ? { movedTo } : {}),
      });
    });
    this.after(5000, () => {
      if (!answered) reply({ type: core.EventType.JoinAnswered, request, verdict: core.JoinVerdict.Unknown });
    });
  }

  #ask(id: string, vm: string, event: core.CoreEvent, settle: (value: unknown) => void): void {
    this.#waiters.set(id, { vm, settle });
    this.after(this.#callMs(), () => {
      this.#deliver(vm, event);
    });
  }

  #settle(id: string, value: unknown): void {
    const waiter = this.#waiters.get(id);
    this.#waiters.delete(id);
    if (!waiter || this.random.next() < this.faults.lostReply) return;
    this.after(this.#callMs(), () => {
      waiter.settle(value);
    });
  }

  #dispatch(vm: string, action: core.DispatchAction, reply: (event: core.CoreEvent) => void): void {
    const { request, attempt, endpoint } = action;
    const draw = this.random.next();
    this.onDispatched(vm, action);
    this.after(this.#callMs(), () => {
      if (draw < this.faults.endpointRefuses) {
        reply({ type: core.EventType.AttemptFailed, request, attempt, reach: core.Reach.NotRun });
        return;
      }
      this.executions.push({ endpoint, request, key: this.keys.get(request) ?? "", attempt });
      const here = this.inFlight.get(endpoint) ?? new Set<string>();
      this.inFlight.set(endpoint, here.add(request));
      this.after(this.#callMs() * 5, () => {
        here.delete(request);
        if (draw > 1 - this.faults.endpointLost) {
          reply({ type: core.EventType.AttemptFailed, request, attempt, reach: core.Reach.MayHaveRun });
          return;
        }
        const answer = { status: 200, contentType: "text/plain", body: Buffer.from(attempt) };
        this.#word(request, "answered");
        reply({ type: core.EventType.AnswerDone, request, attempt, outputTokens: 1, answer });
      });
    });
  }

  /** The check and the write are one step; the bytes arrive later, unless their connection is reset first. */
  #sendOrder(node: Node, action: core.SendOrderAction, reply: (event: core.CoreEvent) => void): void {
    const { endpoint, number, epoch, role, shard } = action;
    this.after(this.#callMs(), () => {
      if (!node.alive || node.pausedUntil > this.now) return;
      if (!node.core.mayOrder(shard, epoch, this.now)) {
        reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.NotSent });
        return;
      }
      const token = { cancelled: false };
      node.orderTokens.push(token);
      const late = this.random.next() < this.faults.lateOrder;
      const delayMs = late ? this.random.integer(LATE_ORDER_MS) : this.#callMs();
      this.after(delayMs, () => {
        if (!token.cancelled) this.#arrive(endpoint, number, epoch, role, reply);
      });
      if (delayMs >= ORDER_TIMEOUT_MS) this.#timeOutOrder(node, token, action, reply);
    });
  }

  /** The sender gives up and resets the connection; if it is paused, only when it goes on. */
  #timeOutOrder(
    node: Node,
    token: { cancelled: boolean },
    action: core.SendOrderAction,
    reply: (event: core.CoreEvent) => void,
  ): void {
    this.after(Math.max(ORDER_TIMEOUT_MS, node.pausedUntil - this.now + 1), () => {
      if (!node.alive || token.cancelled) return;
      if (node.pausedUntil > this.now) {
        this.#timeOutOrder(node, token, action, reply);
        return;
      }
      token.cancelled = true;
      const { endpoint, number } = action;
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Unknown });
    });
  }

  #arrive(
    endpoint: string,
    number: number,
    epoch: number,
    role: core.EndpointRole,
    reply: (event: core.CoreEvent) => void,
  ): void {
    const last = this.#engineOrders.get(endpoint) ?? { number: 0, epoch: 0 };
    const obeyed = !this.checksFencing.get(endpoint) || number >= last.number;
    this.orders.push({ endpoint, number, epoch, role, obeyed, newestEpoch: Math.max(last.epoch, epoch) });
    if (!obeyed) {
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Stale });
      return;
    }
    this.#engineOrders.set(endpoint, { number: Math.max(number, last.number), epoch: Math.max(epoch, last.epoch) });
    this.roles.set(endpoint, role);
    this.after(ORDER_MS, () => {
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Confirmed });
    });
  }

  #askDepose(
    action: Extract<core.Action, { type: core.ActionType.AskDepose }>,
    reply: (event: core.CoreEvent) => void,
  ): void {
    const { vm, shard, epoch } = action;
    this.after(this.#callMs(), () => {
      const node = this.#nodes.get(vm);
      if (!node?.alive || node.pausedUntil > this.now) return;
      this.#handle(vm, node, { type: core.EventType.DeposeAsked, shard, epoch });
      for (const token of node.orderTokens) token.cancelled = true;
      const { incarnation } = node.core.registration;
      reply({ type: core.EventType.DeposeAnswered, vm, shard, epoch, incarnation, reset: true });
    });
  }

  #exchange(vm: string, node: Node): void {
    if (node.pausedUntil > this.now) return;
    const report = node.core.heartbeat(this.now);
    for (const other of this.#nodes.keys()) {
      if (other === vm) continue;
      this.after(this.#callMs(), () => {
        this.#deliver(other, { type: core.EventType.PeerHeard, report });
      });
    }
    this.#deliver(vm, { type: core.EventType.VmsListed, vms: this.vmStates });
    for (const endpoint of node.core.tree.endpoints()) {
      const role = this.roles.get(endpoint.id) ?? core.EndpointRole.Mixed;
      const running = this.inFlight.get(endpoint.id)?.size ?? 0;
      this.#deliver(vm, {
        type: core.EventType.LoadReported,
        report: { endpoint: endpoint.id, running, waiting: 0, role },
      });
    }
    if (!this.#keyValueDown) this.#deliver(vm, { type: core.EventType.KeyValueHeard, revision: 0 });
  }

  #tellWatch(vm: string, events: standIns.StoreEvent[]): void {
    const node = this.#nodes.get(vm);
    if (!node || this.#keyValueDown) return;
    const records = events.filter((event) => event.key.startsWith(core.constants.CONTROL_PREFIX)).map(toRecord);
    const revision = events[0]?.revision ?? 0;
    node.lastWatchAt = Math.max(node.lastWatchAt, this.now + this.#callMs());
    this.after(node.lastWatchAt - this.now, () => {
      this.#handle(vm, node, { type: core.EventType.ControlChanges, records, completeRevision: revision });
    });
  }

  #readAll(vm: string, node: Node): void {
    const records = this.#read(core.constants.CONTROL_PREFIX);
    const { revision } = this.store;
    this.#handle(vm, node, { type: core.EventType.ControlSnapshot, records, revision });
  }

  #read(prefix: string): core.KeyRecord[] {
    return this.store.range(prefix, core.prefixEnd(prefix)).map((stored) => ({ ...stored }));
  }

  #word(request: string, outcome: FinalWord["outcome"], problem?: common.Problem): void {
    this.words.push({ request, key: this.keys.get(request) ?? "", outcome, ...(problem ? { problem } : {}) });
  }

  #callMs(): number {
    return 1 + this.random.integer(CALL_MS);
  }

  #every(milliseconds: number, run: () => void): void {
    this.after(milliseconds, () => {
      run();
      this.#every(milliseconds, run);
    });
  }

  #whileAlive(node: Node, milliseconds: number, run: () => void): void {
    this.after(Math.max(milliseconds, node.pausedUntil - this.now), () => {
      if (!node.alive) return;
      run();
      this.#whileAlive(node, milliseconds, run);
    });
  }
}

function isLater(left: Pending | undefined, right: Pending): boolean {
  return left !== undefined && (left.at > right.at || (left.at === right.at && left.sequence > right.sequence));
}

function toRecord(event: standIns.StoreEvent): core.KeyRecord {
  if (event.stored) return { ...event.stored };
  return { key: event.key, value: "", createRevision: 0, modRevision: event.revision, deleted: true };
}
