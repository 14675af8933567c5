import type * as configurations from "../configuration.js";
import * as enginePlans from "./enginePlan.js";

/** An order for the number of engines of one kind in one data centre. */
export interface CountOrder {
  readonly dataCentre: string;
  readonly reclaimable: boolean;
  readonly count: number;
  /** Engines of that kind that serve there now. */
  readonly serving: number;
}

/** What is known at one moment. */
export interface CountInputs {
  readonly limits: configurations.ScalingLimits;
  /** Engines that serve now, by data centre. */
  readonly dataCentres: readonly Omit<enginePlans.DataCentreEngines, "hasReclaimable">[];
  /** Number of engines that the load needs; undefined while there is too little load to tell. */
  readonly needed: number | undefined;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** How the platform answered an order. */
export enum OrderOutcome {
  Accepted = "accepted",
  /** The platform has no more engines of that kind there now. */
  NoneAvailable = "none-available",
  /** Not known, or the platform asked to retry later. */
  Failed = "failed",
}

/**
 * Time for which more or fewer engines must be wanted before they are ordered, in milliseconds. On-demand engines are expensive:
 * more of them are ordered only once it is known that the platform has no cheap ones. Fewer engines wait for the load to
 * prove lasting, as an engine that is given up takes its cached prompts with it.
 */
const HOLD_MS = { moreReclaimable: 0, moreOnDemand: 1_500, fewerOnDemand: 600, fewerReclaimable: 8_000 };

/**
 * Time for which the number of engines must not change before the first order, in milliseconds. A daemon that has just
 * started learns of the engines one after another, and would give up those that it doesn't know yet. Engines that go
 * down and up by turns must not keep it waiting for ever.
 */
const SETTLING = { unchangedMs: 2_000, longestMs: 6_000 };

/** Time after which an order without the expected effect is repeated, in addition to the start of an engine. */
const REPEAT_SLACK_MS = 3_000;

/** Time after an order that failed until it is repeated, in milliseconds. */
const RETRY_MS = 1_000;

/** Time for which a data centre counts as having no more reclaimable engines, in milliseconds. */
const UNAVAILABLE_MS = 3_000;

/** Whether more or fewer engines are wanted than serve. */
enum Direction {
  None = "none",
  More = "more",
  Fewer = "fewer",
}

interface KeyState {
  /** Direction of the wanted change, and since when it has been the same; its size may vary meanwhile. */
  direction: Direction;
  since: number;
  /** The last order and the time from which it may be repeated. */
  ordered: number | undefined;
  repeatAt: number;
}

/**
 * Keeps the numbers of engines of one service as planned: it compares what serves with what is wanted, and repeats an
 * order that shows no effect. So a late, old or lost order does no lasting harm.
 */
export class EngineCountControl {
  readonly #states = new Map<string, KeyState>();
  readonly #unavailableUntil = new Map<string, number>();
  /** Number of engines before the first order, since when it has been the same, and since when any is known. */
  #initial = { engines: 0, since: 0, knownSince: Number.POSITIVE_INFINITY };
  #hasOrdered = false;

  /**
   * @param inputs - what is known now
   * @returns orders that are due
   */
  decide(inputs: CountInputs): CountOrder[] {
    const { limits, now } = inputs;
    if (!this.#isSettled(inputs)) return [];
    const dataCentres = inputs.dataCentres.map((each) => ({
      ...each,
      hasReclaimable: (this.#unavailableUntil.get(each.dataCentre) ?? Number.NEGATIVE_INFINITY) <= now,
    }));
    const needed = inputs.needed ?? this.#neededWithoutLoad(inputs);
    const orders: CountOrder[] = [];
    for (const [index, planned] of enginePlans.planEngines({ limits, dataCentres, needed }).entries()) {
      const { dataCentre } = planned;
      const { onDemand = 0, reclaimable = 0 } = dataCentres[index] ?? {};
      orders.push({ dataCentre, reclaimable: true, count: planned.reclaimable, serving: reclaimable });
      orders.push({ dataCentre, reclaimable: false, count: planned.onDemand, serving: onDemand });
    }
    const due = orders.filter((order) => this.#isDue(order, limits.bootMs, now));
    this.#hasOrdered ||= due.length > 0;
    return due;
  }

  /**
   * @param order - an order that was sent
   * @param outcome - how the platform answered
   * @param now - monotonic time in milliseconds
   */
  recordOutcome(order: CountOrder, outcome: OrderOutcome, now: number): void {
    const state = this.#states.get(keyOf(order));
    if (outcome === OrderOutcome.Failed && state !== undefined) state.repeatAt = now + RETRY_MS;
    if (outcome !== OrderOutcome.NoneAvailable) return;
    if (order.reclaimable) this.#unavailableUntil.set(order.dataCentre, now + UNAVAILABLE_MS);
    if (state !== undefined) state.repeatAt = now + UNAVAILABLE_MS;
  }

  /**
   * Number of engines that are kept before there is any load: those that the fleet would have after the loss of one of
   * its data centres, for which it was set up.
   */
  #neededWithoutLoad({ dataCentres }: CountInputs): number {
    const share = dataCentres.length > 1 ? (dataCentres.length - 1) / dataCentres.length : 1;
    return Math.ceil(this.#initial.engines * share);
  }

  /** Whether the number of engines has been the same for some time; engines that were ordered don't count. */
  #isSettled({ dataCentres, now }: CountInputs): boolean {
    if (this.#hasOrdered) return true;
    const engines = dataCentres.reduce((sum, each) => sum + each.onDemand + each.reclaimable, 0);
    const knownSince = engines > 0 ? Math.min(this.#initial.knownSince, now) : Number.POSITIVE_INFINITY;
    const since = engines === this.#initial.engines ? this.#initial.since : now;
    this.#initial = { engines, since, knownSince };
    const isUnchanged = engines > 0 && now - since >= SETTLING.unchangedMs;
    return isUnchanged || now - knownSince >= SETTLING.longestMs;
  }

  #isDue(order: CountOrder, bootMs: number, now: number): boolean {
    const key = keyOf(order);
    const state = this.#states.get(key) ?? { direction: Direction.None, since: now, ordered: undefined, repeatAt: now };
    this.#states.set(key, state);
    const direction = directionOf(order);
    if (state.direction !== direction) {
      state.direction = direction;
      state.since = now;
    }
    if (direction === Direction.None) return false;
    const isSameOrder = state.ordered === order.count;
    if (isSameOrder ? now < state.repeatAt : now - state.since < holdMs(order)) return false;
    state.ordered = order.count;
    state.repeatAt = now + bootMs + REPEAT_SLACK_MS;
    return true;
  }
}

function keyOf(order: CountOrder): string {
  return `${order.dataCentre} ${String(order.reclaimable)}`;
}

function directionOf({ count, serving }: CountOrder): Direction {
  if (count === serving) return Direction.None;
  return count > serving ? Direction.More : Direction.Fewer;
}

function holdMs({ count, serving, reclaimable }: CountOrder): number {
  if (count > serving) return reclaimable ? HOLD_MS.moreReclaimable : HOLD_MS.moreOnDemand;
  return reclaimable ? HOLD_MS.fewerReclaimable : HOLD_MS.fewerOnDemand;
}
