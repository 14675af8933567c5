import type * as common from "@camphorcourse/common";
import type * as core from "../../src/index.js";
import type * as virtualTimes from "./virtualTime.js";

/** Longest way of a call, in milliseconds. */
const CALL_MS = 20;

/** Probabilities of faults, each between 0 and 1. */
export interface FaultRates {
  readonly lostReply: number;
  readonly lostWrite: number;
  readonly endpointLost: number;
  readonly endpointRefuses: number;
  /** An order's bytes linger in a buffer for seconds. */
  readonly lateOrder: number;
}

const NO_FAULTS: FaultRates = { lostReply: 0, lostWrite: 0, endpointLost: 0, endpointRefuses: 0, lateOrder: 0 };

/** A daemon's process. */
export interface Node {
  readonly core: core.Core;
  alive: boolean;
  pausedUntil: number;
  lastWatchAt: number;
  inFlightOrders: InFlightOrder[];
}

/** An order that is on its way, until its connection is reset. */
export interface InFlightOrder {
  cancelled: boolean;
}

/** Tells the process that asked of an event, after the way of a call. */
export type Reply = (event: core.CoreEvent) => void;

/** What the fakes round the cores share: time, draws and faults. */
export class Simulation {
  readonly time: virtualTimes.VirtualTime;
  readonly random: common.SeededRandom;
  faults: FaultRates = NO_FAULTS;

  /**
   * @param time - the time
   * @param random - of all draws
   */
  constructor(time: virtualTimes.VirtualTime, random: common.SeededRandom) {
    this.time = time;
    this.random = random;
  }

  /** @returns the way of one call, drawn, in milliseconds */
  callMs(): number {
    return 1 + this.random.integer(CALL_MS);
  }

  /** @param run - what happens after the way of one call */
  afterCall(run: () => void): void {
    this.time.after(this.callMs(), run);
  }
}
