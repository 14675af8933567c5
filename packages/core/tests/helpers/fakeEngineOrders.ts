import * as core from "../../src/index.js";
import type * as simulations from "./simulation.js";

const ORDER_RUN_MS = 300;
const MAX_LATE_ORDER_MS = 25_000;
const ORDER_TIMEOUT_MS = 4000;

/** An order that reached an engine. */
export interface ArrivedOrder {
  readonly endpoint: string;
  readonly number: number;
  readonly epoch: number;
  readonly role: core.EndpointRole;
  readonly applied: boolean;
  /** The highest epoch among this order and the applied ones before it. */
  readonly newestEpoch: number;
}

/** Fake engines that execute orders, and the connections that carry the orders. */
export class FakeEngineOrders {
  readonly arrived: ArrivedOrder[] = [];
  readonly checksFencing = new Map<string, boolean>();
  readonly roles = new Map<string, core.EndpointRole>();
  readonly #simulation: simulations.Simulation;
  readonly #lastOrders = new Map<string, { number: number; epoch: number }>();

  /** @param simulation - shared time, random numbers and faults */
  constructor(simulation: simulations.Simulation) {
    this.#simulation = simulation;
  }

  /**
   * Sends an order. The check and the write happen in one step; the bytes arrive later, unless their connection is
   * reset first.
   *
   * @param node - the process that sends the order
   * @param action - the order
   * @param reply - receives the outcome
   */
  send(node: simulations.Node, action: core.SendOrderAction, reply: simulations.Reply): void {
    const { endpoint, number, epoch, shard } = action;
    const { time, random } = this.#simulation;
    this.#simulation.afterCall(() => {
      if (!node.alive || node.pausedUntil > time.now) return;
      if (!node.core.maySendOrder(shard, epoch, time.now)) {
        reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.NotSent });
        return;
      }
      const order = { cancelled: false };
      node.inFlightOrders.push(order);
      const late = random.next() < this.#simulation.faults.lateOrder;
      const delayMs = late ? random.integer(MAX_LATE_ORDER_MS) : this.#simulation.callMs();
      time.after(delayMs, () => {
        if (!order.cancelled) this.#receive(action, reply);
      });
      if (delayMs >= ORDER_TIMEOUT_MS) this.#timeOut(node, order, action, reply);
    });
  }

  /** Times the order out: the sender resets the connection. A paused sender does so only when it resumes. */
  #timeOut(
    node: simulations.Node,
    order: simulations.InFlightOrder,
    action: core.SendOrderAction,
    reply: simulations.Reply,
  ): void {
    const { time } = this.#simulation;
    time.after(Math.max(ORDER_TIMEOUT_MS, node.pausedUntil - time.now + 1), () => {
      if (!node.alive || order.cancelled) return;
      if (node.pausedUntil > time.now) {
        this.#timeOut(node, order, action, reply);
        return;
      }
      order.cancelled = true;
      const { endpoint, number } = action;
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Unknown });
    });
  }

  #receive(action: core.SendOrderAction, reply: simulations.Reply): void {
    const { endpoint, number, epoch, role } = action;
    const last = this.#lastOrders.get(endpoint) ?? { number: 0, epoch: 0 };
    const applied = !this.checksFencing.get(endpoint) || number >= last.number;
    this.arrived.push({ endpoint, number, epoch, role, applied, newestEpoch: Math.max(last.epoch, epoch) });
    if (!applied) {
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Stale });
      return;
    }
    this.#lastOrders.set(endpoint, { number: Math.max(number, last.number), epoch: Math.max(epoch, last.epoch) });
    this.roles.set(endpoint, role);
    this.#simulation.time.after(ORDER_RUN_MS, () => {
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Confirmed });
    });
  }
}
