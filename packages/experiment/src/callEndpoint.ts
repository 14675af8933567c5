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

interface Accepted {
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
  readonly #random: common.SeededRandom;
  readonly #waiting: Accepted[] = [];
  #running = 0;

  /**
   * @param id - the endpoint
   * @param model - how it works
   * @param time - the clock
   * @param random - draws its work
   */
  constructor(id: string, model: EndpointModel, time: virtualTimes.VirtualTime, random: common.SeededRandom) {
    this.#model = model;
    this.#time = time;
    this.#random = random;
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
   * @param deadlineAt - when the daemon gives the request up, in milliseconds
   * @param onEnd - called at the answer or the deadline, whichever comes first, with whether it is the answer
   * @returns whether the endpoint takes the request
   */
  accept(deadlineAt: number, onEnd: (isAnswer: boolean) => void): boolean {
    const isBusy = this.#running >= this.#model.slots;
    if (isBusy && this.#model.rejects) return false;
    const accepted: Accepted = { deadlineAt, onEnd, isOver: false };
    this.#time.after(deadlineAt - this.#time.now, () => end(accepted, false));
    if (isBusy) this.#waiting.push(accepted);
    else this.#run(accepted);
    this.most = Math.max(this.most, this.#running + this.#waiting.length);
    return true;
  }

  #run(accepted: Accepted): void {
    this.#running++;
    this.#time.after(this.#drawWork(), () => {
      this.#running--;
      end(accepted, true);
      let next = this.#waiting.shift();
      while (next?.isOver === true) next = this.#waiting.shift();
      if (next !== undefined) this.#run(next);
    });
  }

  #drawWork(): number {
    const workMs = this.#random.next() < WORK.longShare ? WORK.longMs : WORK.shortMs;
    const tail = this.#random.next() < WORK.tailShare ? WORK.tailFactor : 1;
    return workMs * tail * this.#model.slownessAt(this.#time.now);
  }
}

function end(accepted: Accepted, isAnswer: boolean): void {
  if (accepted.isOver) return;
  accepted.isOver = true;
  accepted.onEnd(isAnswer);
}
