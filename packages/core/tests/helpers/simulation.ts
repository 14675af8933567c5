import type * as common from "@camphorcourse/common";
import type * as core from "../../src/index.js";
import type * as virtualTimes from "./virtualTime.js";

/** Maximum one-way latency of a call, in milliseconds. */
const MAX_LATENCY_MS = 20;

/** Probabilities of injected faults, each between 0 and 1. */
export interface FaultRates {
  readonly lostReply: number;
  /** The write never reaches the key-value store, and its outcome is unknown. */
  readonly lostWrite: number;
  /** The endpoint runs the call, but the outcome is lost. */
  readonly endpointLost: number;
  readonly endpointRefuses: number;
  /** An order's bytes stay in a buffer for seconds. */
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

/** An order in flight; cancelled when its connection is reset. */
export interface InFlightOrder {
  cancelled: boolean;
}

/** Passes an event to the calling process after the latency of a call. */
export type Reply = (event: core.CoreEvent) => void;

/** Virtual time, random numbers and faults shared by the fakes. */
export class Simulation {
  readonly time: virtualTimes.VirtualTime;
  readonly random: common.SeededRandom;
  faults: FaultRates = NO_FAULTS;

  /**
   * @param time - the virtual time
   * @param random - source of all random numbers
   */
  constructor(time: virtualTimes.VirtualTime, random: common.SeededRandom) {
    this.time = time;
    this.random = random;
  }

  /** @returns a random one-way latency in milliseconds */
  callMs(): number {
    return 1 + this.random.integer(MAX_LATENCY_MS);
  }

  /** @param run - callback, run after a random one-way latency */
  afterCall(run: () => void): void {
    this.time.after(this.callMs(), run);
  }
}
