import * as core from "../../src/index.js";
import type * as fakeControlStores from "./fakeControlStore.js";
import type * as fakeEndpoints from "./fakeEndpoints.js";
import type * as fakeEngineOrders from "./fakeEngineOrders.js";
import * as peerCalls from "./peerCalls.js";
import type * as simulations from "./simulation.js";

/** The simulated environment in which actions are executed. */
export interface ActionExecutorParts {
  readonly simulation: simulations.Simulation;
  readonly control: fakeControlStores.FakeControlStore;
  readonly endpoints: fakeEndpoints.FakeEndpoints;
  readonly engines: fakeEngineOrders.FakeEngineOrders;
  readonly nodeOf: (vm: string) => simulations.Node | undefined;
  /** Passes an event to a process, even if another one has replaced it on its VM. */
  readonly handle: (vm: string, node: simulations.Node, event: core.CoreEvent) => void;
  readonly onDispatched: (vm: string, action: core.DispatchAction) => void;
}

/** Executes the cores' actions on the fakes. */
export class ActionExecutor {
  readonly #parts: ActionExecutorParts;
  readonly #peerCalls: peerCalls.PeerCalls;

  /** @param parts - the simulated environment */
  constructor(parts: ActionExecutorParts) {
    this.#parts = parts;
    this.#peerCalls = new peerCalls.PeerCalls(parts.simulation, (vm, event) => {
      this.#deliver(vm, event);
    });
  }

  /**
   * @param vm - VM of the process
   * @param node - the process that emitted the action
   * @param action - the action to execute
   */
  execute(vm: string, node: simulations.Node, action: core.Action): void {
    const reply: simulations.Reply = (event) => {
      this.#parts.simulation.afterCall(() => {
        this.#parts.handle(vm, node, event);
      });
    };
    switch (action.type) {
      case core.ActionType.Transact:
        this.#parts.control.transact(node, action.transaction, (result) => {
          reply({ type: core.EventType.Transacted, token: action.token, result });
        });
        break;
      case core.ActionType.ReadKeys:
        this.#parts.control.readKeys(action.prefix, action.token, reply);
        break;
      case core.ActionType.RenewLease:
        this.#parts.control.renew(action.lease, reply);
        break;
      case core.ActionType.AskClaim:
        this.#peerCalls.askClaim(action, reply);
        break;
      case core.ActionType.AnswerClaims:
        for (const answer of action.answers) this.#peerCalls.settle(answer.claim.attempt, answer);
        break;
      case core.ActionType.AskJoin:
        this.#peerCalls.askJoin(action, reply);
        break;
      case core.ActionType.AnswerJoin:
        this.#peerCalls.settle(action.join, action);
        break;
      case core.ActionType.Dispatch:
        this.#parts.endpoints.dispatch(action, () => this.#parts.onDispatched(vm, action), reply);
        break;
      case core.ActionType.Refuse:
        this.#parts.endpoints.recordCallerResult(action.request, action.problem.outcome, action.problem);
        break;
      case core.ActionType.Relay:
        this.#parts.endpoints.recordCallerResult(action.request, "answered");
        break;
      case core.ActionType.SendOrder:
        this.#parts.engines.send(node, action, reply);
        break;
      case core.ActionType.AskDepose:
        this.#askDepose(action, reply);
        break;
      case core.ActionType.PushRecords:
        this.#parts.simulation.afterCall(() => {
          const { records, completeRevision } = action;
          this.#deliver(action.to.vm, { type: core.EventType.ControlChanges, records, completeRevision });
        });
        break;
      default:
        break;
    }
  }

  #askDepose(action: Extract<core.Action, { type: core.ActionType.AskDepose }>, reply: simulations.Reply): void {
    const { vm, shard, epoch } = action;
    this.#parts.simulation.afterCall(() => {
      const node = this.#parts.nodeOf(vm);
      if (!node?.alive || node.pausedUntil > this.#parts.simulation.time.now) return;
      this.#parts.handle(vm, node, { type: core.EventType.DeposeAsked, shard, epoch });
      for (const token of node.inFlightOrders) token.cancelled = true;
      const { incarnation } = node.core.registration;
      reply({ type: core.EventType.DeposeAnswered, vm, shard, epoch, incarnation, reset: true });
    });
  }

  #deliver(vm: string, event: core.CoreEvent): void {
    const node = this.#parts.nodeOf(vm);
    if (node) this.#parts.handle(vm, node, event);
  }
}
