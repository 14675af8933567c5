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
const SYSTEM_TIME_START = 1_700_000_000_000;

/** Runs several cores with the stand-in's key-value store and fake endpoints, in virtual time and with seeded randomness. */
export class CoreHarness {
  readonly random: common.SeededRandom;
  readonly vmStates = new Map<string, core.VmState>();
  onDispatched: (vm: string, action: core.DispatchAction) => void = () => undefined;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #simulation: simulations.Simulation;
  readonly #control: fakeControlStores.FakeControlStore;
  readonly #endpoints: fakeEndpoints.FakeEndpoints;
  readonly #engines: fakeEngineOrders.FakeEngineOrders;
  readonly #executor: actionExecutors.ActionExecutor;
  readonly #nodes = new Map<string, simulations.Node>();
  readonly #lingerMs: number;

  /**
   * @param seed - seed of all random numbers
   * @param lingerMs - the cores' setting for how long sent bytes may outlive their process
   */
  constructor(seed: number, lingerMs = 60_000) {
    this.random = new common.SeededRandom(seed);
    this.#lingerMs = lingerMs;
    this.#simulation = new simulations.Simulation(this.#time, this.random);
    this.#control = new fakeControlStores.FakeControlStore(this.#simulation);
    this.#endpoints = new fakeEndpoints.FakeEndpoints(this.#simulation);
    this.#engines = new fakeEngineOrders.FakeEngineOrders(this.#simulation);
    this.#executor = new actionExecutors.ActionExecutor({
      simulation: this.#simulation,
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
      for (const vm of this.#nodes.keys()) this.#notifyWatch(vm, events);
    });
  }

  /** @returns the current instant in milliseconds */
  get now(): number {
    return this.#time.now;
  }

  /** @returns the underlying key-value store */
  get store(): standIns.KeyValueStore {
    return this.#control.store;
  }

  /** @returns all executions at endpoints, in order */
  get executions(): fakeEndpoints.Execution[] {
    return this.#endpoints.executions;
  }

  /** @returns all results that callers got, in order */
  get callerResults(): fakeEndpoints.CallerResult[] {
    return this.#endpoints.callerResults;
  }

  /** @returns all orders that reached engines, in order of arrival */
  get orders(): fakeEngineOrders.ArrivedOrder[] {
    return this.#engines.arrived;
  }

  /** @returns which engines check fencing numbers and reject older orders */
  get checksFencing(): Map<string, boolean> {
    return this.#engines.checksFencing;
  }

  /** @returns the engines' roles */
  get roles(): Map<string, core.EndpointRole> {
    return this.#engines.roles;
  }

  /** @returns probabilities of the injected faults */
  get faults(): simulations.FaultRates {
    return this.#simulation.faults;
  }

  set faults(faults: simulations.FaultRates) {
    this.#simulation.faults = faults;
  }

  /** @returns whether the key-value service is unreachable */
  get keyValueDown(): boolean {
    return this.#control.down;
  }

  /** Starts or ends an outage; when it ends, the daemons read all control records again. */
  set keyValueDown(down: boolean) {
    const isRecovering = this.#control.down && !down;
    this.#control.down = down;
    if (!isRecovering) return;
    for (const [vm, node] of this.#nodes) this.#readAll(vm, node);
  }

  /**
   * Starts a daemon and ends the one that ran on the VM before.
   *
   * @param vm - the VM
   * @returns its core
   */
  start(vm: string): core.Core {
    const previous = this.#nodes.get(vm);
    if (previous) previous.alive = false;
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

  /** @param vm - VM whose daemon is killed */
  kill(vm: string): void {
    const node = this.#nodes.get(vm);
    if (node) node.alive = false;
  }

  /**
   * @param vm - VM whose daemon is paused
   * @param milliseconds - length of the pause
   */
  pause(vm: string, milliseconds: number): void {
    const node = this.#nodes.get(vm);
    if (node) node.pausedUntil = this.now + milliseconds;
  }

  /**
   * @param vm - the VM
   * @returns the core of its daemon
   */
  core(vm: string): core.Core {
    const node = this.#nodes.get(vm);
    if (!node) throw new Error(`no daemon on ${vm}`);
    return node.core;
  }

  /**
   * @param vm - VM of the daemon that receives the request
   * @param request - the request
   */
  send(vm: string, request: core.RequestDescription): void {
    this.#endpoints.noteRequest(request);
    this.#deliver(vm, { type: core.EventType.RequestArrived, request });
  }

  /**
   * Stores a team document.
   *
   * @param text - the document
   * @param team - the team
   */
  configure(text: string, team: string): void {
    const key = core.controlKey(core.ControlKind.Team, team);
    const version = this.store.range(key).length + 1;
    const value = JSON.stringify({ text, version, author: "test", attempt: String(this.now), acceptedAt: 0 });
    this.store.transact([], [{ kind: "put", key, value, lease: "0" }]);
  }

  /** @param milliseconds - virtual time to run for */
  run(milliseconds: number): void {
    this.#time.run(milliseconds);
  }

  /**
   * @param delayMs - delay from now
   * @param run - callback
   */
  after(delayMs: number, run: () => void): void {
    this.#time.after(delayMs, run);
  }

  #deliver(vm: string, event: core.CoreEvent): void {
    const node = this.#nodes.get(vm);
    if (node) this.#handle(vm, node, event);
  }

  /** Passes an event to a process; a paused one handles it when it resumes. */
  #handle(vm: string, node: simulations.Node, event: core.CoreEvent): void {
    if (!node.alive) return;
    if (node.pausedUntil > this.now) {
      this.after(node.pausedUntil - this.now + 1, () => {
        this.#handle(vm, node, event);
      });
      return;
    }
    const actions = node.core.handle(event, { now: this.now, systemTime: SYSTEM_TIME_START + this.now });
    for (const action of actions) this.#executor.execute(vm, node, action);
  }

  #exchange(vm: string, node: simulations.Node): void {
    if (node.pausedUntil > this.now) return;
    const report = node.core.heartbeat(this.now);
    for (const other of this.#nodes.keys()) {
      if (other === vm) continue;
      this.#simulation.afterCall(() => {
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

  #notifyWatch(vm: string, events: standIns.StoreEvent[]): void {
    const node = this.#nodes.get(vm);
    if (!node || this.#control.down) return;
    const records = events
      .filter((event) => event.key.startsWith(core.constants.CONTROL_PREFIX))
      .map(fakeControlStores.toRecord);
    const revision = events[0]?.revision ?? 0;
    node.lastWatchAt = Math.max(node.lastWatchAt, this.now + this.#simulation.callMs());
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
