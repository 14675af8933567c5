import type * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import type * as virtualTimes from "./virtualTime.js";

/** A plain endpoint. */
export interface EndpointModel {
  readonly slots: number;
  /** Whether it rejects what exceeds its slots; otherwise such requests wait in it. */
  readonly rejects: boolean;
  /** @returns factor by which its work takes longer at an instant in milliseconds */
  readonly slownessAt: (at: number) => number;
}

/** Duration of the two kinds of work in milliseconds, the share of the longer, and the tail. */
const WORK = { shortMs: 21, longMs: 86, longShare: 0.3, tailShare: 0.05, tailFactor: 5 };

/**
 * @param random - draws the work
 * @returns duration of a call's work at an endpoint that isn't slow, in milliseconds
 */
export function drawWork(random: common.SeededRandom): number {
  const workMs = random.next() < WORK.longShare ? WORK.longMs : WORK.shortMs;
  return workMs * (random.next() < WORK.tailShare ? WORK.tailFactor : 1);
}

interface Accepted {
  readonly workMs: number;
  readonly deadlineAt: number;
  /** Called once with whether the answer came before the deadline. */
  readonly onEnd: (isAnswer: boolean) => void;
  isOver: boolean;
}

/** A plain endpoint in virtual time. It finishes what it has begun, also when the caller no longer waits for it. */
export class EmulatedCallEndpoint {
  readonly endpoint: serving.Endpoint;
  /** Most requests that ran and waited in it. */
  most = 0;
  readonly #model: EndpointModel;
  readonly #time: virtualTimes.VirtualTime;
  readonly #waiting: Accepted[] = [];
  #running = 0;

  /**
   * @param id - the endpoint
   * @param model - how it works
   * @param time - the clock
   */
  constructor(id: string, model: EndpointModel, time: virtualTimes.VirtualTime) {
    this.#model = model;
    this.#time = time;
    this.endpoint = {
      id,
      service: "s",
      address: `${id}:1`,
      dataCentre: "a",
      slots: model.slots,
      role: serving.EngineRole.None,
      leaving: false,
    };
  }

  /**
   * @param workMs - duration of its work at an endpoint that isn't slow, in milliseconds
   * @param deadlineAt - when the daemon gives the request up, in milliseconds
   * @param onEnd - called at the answer or the deadline, whichever comes first, with whether it is the answer
   * @returns whether the endpoint takes the request
   */
  accept(workMs: number, deadlineAt: number, onEnd: (isAnswer: boolean) => void): boolean {
    const isBusy = this.#running >= this.#model.slots;
    if (isBusy && this.#model.rejects) return false;
    const accepted: Accepted = { workMs, deadlineAt, onEnd, isOver: false };
    this.#time.after(deadlineAt - this.#time.now, () => end(accepted, false));
    if (isBusy) this.#waiting.push(accepted);
    else this.#run(accepted);
    this.most = Math.max(this.most, this.#running + this.#waiting.length);
    return true;
  }

  #run(accepted: Accepted): void {
    this.#running++;
    this.#time.after(accepted.workMs * this.#model.slownessAt(this.#time.now), () => {
      this.#running--;
      end(accepted, true);
      let next = this.#waiting.shift();
      while (next?.isOver === true) next = this.#waiting.shift();
      if (next !== undefined) this.#run(next);
    });
  }
}

function end(accepted: Accepted, isAnswer: boolean): void {
  if (accepted.isOver) return;
  accepted.isOver = true;
  accepted.onEnd(isAnswer);
}
