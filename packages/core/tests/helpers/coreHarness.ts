import * as common from "@camphorcourse/common";
import * as standIns from "@camphorcourse/stand-ins";
import * as core from "../../src/index.js";
import * as actionExecutors from "./actionExecutor.js";
import * as fakeControlStores from "./fakeControlStore.js";
import * as fakeEndpoints from "./fakeEndpoints.js";
import * as fakeEngineOrders from "./fakeEngineOrders.js";
import * as simulations from "./simulation.js";
import * as virtualTimes from "./virtualTime.js";

const TICK_MS = 50;
const EXCHANGE_MS = 500;
const LEASE_CHECK_MS = 100;
const WALL_START = 1_700_000_000_000;

/** Several cores, the stand-in's key-value store, and fakes of endpoints, in virtual time and seeded order. */
export class CoreHarness {
  readonly random: common.SeededRandom;
  readonly vmStates = new Map<string, core.VmState>();
  onDispatched: (vm: string, action: core.DispatchAction) => void = () => undefined;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #round: simulations.Simulation;
  readonly #control: fakeControlStores.FakeControlStore;
  readonly #endpoints: fakeEndpoints.FakeEndpoints;
  readonly #engines: fakeEngineOrders.FakeEngineOrders;
  readonly #carrier: actionExecutors.ActionExecutor;
  readonly #nodes = new Map<string, simulations.Node>();
  readonly #lingerMs: number;

  /**
   * @param seed - of all draws
   * @param lingerMs - how long bytes outlive a process, as the cores are told
   */
  constructor(seed: number, lingerMs = 60_000) {
    this.random = new common.SeededRandom(seed);
    this.#lingerMs = lingerMs;
    this.#round = new simulations.Simulation(this.#time, this.random);
    this.#control = new fakeControlStores.FakeControlStore(this.#round);
    this.#endpoints = new fakeEndpoints.FakeEndpoints(this.#round);
    this.#engines = new fakeEngineOrders.FakeEngineOrders(this.#round);
    this.#carrier = new actionExecutors.ActionExecutor({
      round: this.#round,
      control: this.#control,
      endpoints: this.#endpoints,
      engines: this.#engines,
      nodeOf: (vm) => this.#nodes.get(vm),
      handle: (vm, node, event) => {
        this.#handle(vm, node, event);
      },
      onDispatched: (vm, action) => {
        this.onDispatched(vm, action);
      },
    });
    this.#time.every(LEASE_CHECK_MS, () => {
      this.store.expireLeases(this.now);
    });
    this.store.subscribe((events) => {
      for (const vm of this.#nodes.keys()) this.#tellWatch(vm, events);
    });
  }

  /** @returns the current instant in milliseconds */
  get now(): number {
    return this.#time.now;
  }

  /** @returns the key-value store itself */
  get store(): standIns.KeyValueStore {
    return this.#control.store;
  }

  /** @returns what the endpoints carried out, in order */
  get executions(): fakeEndpoints.Execution[] {
    return this.#endpoints.executions;
  }

  /** @returns what callers were told, in order */
  get callerResults(): fakeEndpoints.CallerResult[] {
    return this.#endpoints.callerResults;
  }

  /** @returns what engines were ordered, in order of arrival */
  get orders(): fakeEngineOrders.ArrivedOrder[] {
    return this.#engines.arrived;
  }

  /** @returns which engines refuse old orders */
  get checksFencing(): Map<string, boolean> {
    return this.#engines.checksFencing;
  }

  /** @returns the engines' roles */
  get roles(): Map<string, core.EndpointRole> {
    return this.#engines.roles;
  }

  /** @returns the faults that happen */
  get faults(): simulations.FaultRates {
    return this.#round.faults;
  }

  set faults(faults: simulations.FaultRates) {
    this.#round.faults = faults;
  }

  /** @returns whether the key-value service is out of reach */
  get keyValueDown(): boolean {
    return this.#control.down;
  }

  /** After an outage the daemons read all control records again. */
  set keyValueDown(down: boolean) {
    const back = this.#control.down && !down;
    this.#control.down = down;
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
    const node: simulations.Node = { core: started, alive: true, pausedUntil: 0, lastWatchAt: 0, inFlightOrders: [] };
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
    this.#endpoints.noteRequest(request);
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
    this.#time.run(milliseconds);
  }

  /**
   * @param delayMs - from now
   * @param run - what happens then
   */
  after(delayMs: number, run: () => void): void {
    this.#time.after(delayMs, run);
  }

  #deliver(vm: string, event: core.CoreEvent): void {
    const node = this.#nodes.get(vm);
    if (node) this.#handle(vm, node, event);
  }

  /** A paused process handles what came meanwhile when it goes on. */
  #handle(vm: string, node: simulations.Node, event: core.CoreEvent): void {
    if (!node.alive) return;
    if (node.pausedUntil > this.now) {
      this.after(node.pausedUntil - this.now + 1, () => {
        this.#handle(vm, node, event);
      });
      return;
    }
    const actions = node.core.handle(event, { now: this.now, wall: WALL_START + this.now });
    for (const action of actions) this.#carrier.execute(vm, node, action);
  }

  #exchange(vm: string, node: simulations.Node): void {
    if (node.pausedUntil > this.now) return;
    const report = node.core.heartbeat(this.now);
    for (const other of this.#nodes.keys()) {
      if (other === vm) continue;
      this.#round.afterCall(() => {
        this.#deliver(other, { type: core.EventType.PeerReported, report });
      });
    }
    this.#deliver(vm, { type: core.EventType.VmsListed, vms: this.vmStates });
    for (const endpoint of node.core.tree.endpoints()) {
      const role = this.roles.get(endpoint.id) ?? core.EndpointRole.Mixed;
      const running = this.#endpoints.runningAt(endpoint.id);
      this.#deliver(vm, {
        type: core.EventType.LoadReported,
        report: { endpoint: endpoint.id, running, waiting: 0, role },
      });
    }
    if (!this.#control.down) this.#deliver(vm, { type: core.EventType.KeyValueResponded, revision: 0 });
  }

  #tellWatch(vm: string, events: standIns.StoreEvent[]): void {
    const node = this.#nodes.get(vm);
    if (!node || this.#control.down) return;
    const records = events
      .filter((event) => event.key.startsWith(core.constants.CONTROL_PREFIX))
      .map(fakeControlStores.toRecord);
    const revision = events[0]?.revision ?? 0;
    node.lastWatchAt = Math.max(node.lastWatchAt, this.now + this.#round.callMs());
    this.after(node.lastWatchAt - this.now, () => {
      this.#handle(vm, node, { type: core.EventType.ControlChanges, records, completeRevision: revision });
    });
  }

  #readAll(vm: string, node: simulations.Node): void {
    const records = this.#control.read(core.constants.CONTROL_PREFIX);
    const { revision } = this.store;
    this.#handle(vm, node, { type: core.EventType.ControlSnapshot, records, revision });
  }

  #whileAlive(node: simulations.Node, milliseconds: number, run: () => void): void {
    this.after(Math.max(milliseconds, node.pausedUntil - this.now), () => {
      if (!node.alive) return;
      run();
      this.#whileAlive(node, milliseconds, run);
    });
  }
}
