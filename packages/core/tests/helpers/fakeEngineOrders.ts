import * as core from "../../src/index.js";
import type * as simulations from "./simulation.js";

const ORDER_MS = 300;
const LATE_ORDER_MS = 25_000;
const ORDER_TIMEOUT_MS = 4000;

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

/** The engines as far as they take orders, and the connections on which orders come. */
export class FakeEngineOrders {
  readonly arrived: ArrivedOrder[] = [];
  readonly checksFencing = new Map<string, boolean>();
  readonly roles = new Map<string, core.EndpointRole>();
  readonly #round: simulations.Simulation;
  readonly #last = new Map<string, { number: number; epoch: number }>();

  /** @param round - time, draws and faults */
  constructor(round: simulations.Simulation) {
    this.#round = round;
  }

  /**
   * The check and the write are one step; the bytes arrive later, unless their connection is reset first.
   *
   * @param node - the process that orders
   * @param action - the order
   * @param reply - told how it ended
   */
  send(node: simulations.Node, action: core.SendOrderAction, reply: simulations.Reply): void {
    const { endpoint, number, epoch, shard } = action;
    const { time, random } = this.#round;
    this.#round.afterCall(() => {
      if (!node.alive || node.pausedUntil > time.now) return;
      if (!node.core.maySendOrder(shard, epoch, time.now)) {
        reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.NotSent });
        return;
      }
      const token = { cancelled: false };
      node.inFlightOrders.push(token);
      const late = random.next() < this.#round.faults.lateOrder;
      const delayMs = late ? random.integer(LATE_ORDER_MS) : this.#round.callMs();
      time.after(delayMs, () => {
        if (!token.cancelled) this.#arrive(action, reply);
      });
      if (delayMs >= ORDER_TIMEOUT_MS) this.#timeOut(node, token, action, reply);
    });
  }

  /** The sender gives up and resets the connection; if it is paused, only when it goes on. */
  #timeOut(
    node: simulations.Node,
    token: simulations.InFlightOrder,
    action: core.SendOrderAction,
    reply: simulations.Reply,
  ): void {
    const { time } = this.#round;
    time.after(Math.max(ORDER_TIMEOUT_MS, node.pausedUntil - time.now + 1), () => {
      if (!node.alive || token.cancelled) return;
      if (node.pausedUntil > time.now) {
        this.#timeOut(node, token, action, reply);
        return;
      }
      token.cancelled = true;
      const { endpoint, number } = action;
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Unknown });
    });
  }

  #arrive(action: core.SendOrderAction, reply: simulations.Reply): void {
    const { endpoint, number, epoch, role } = action;
    const last = this.#last.get(endpoint) ?? { number: 0, epoch: 0 };
    const obeyed = !this.checksFencing.get(endpoint) || number >= last.number;
    this.arrived.push({ endpoint, number, epoch, role, obeyed, newestEpoch: Math.max(last.epoch, epoch) });
    if (!obeyed) {
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Stale });
      return;
    }
    this.#last.set(endpoint, { number: Math.max(number, last.number), epoch: Math.max(epoch, last.epoch) });
    this.roles.set(endpoint, role);
    this.#round.time.after(ORDER_MS, () => {
      reply({ type: core.EventType.OrderAnswered, endpoint, number, outcome: core.OrderOutcome.Confirmed });
    });
  }
}
