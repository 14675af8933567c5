import type * as common from "@camphorcourse/common";
import * as model from "./endpointModel.js";

/** What the choice needs to know of a request. */
export interface WorkSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefix?: string;
  /** Endpoints at which the request has failed; taken only if there is no other. */
  readonly avoid?: ReadonlySet<string>;
}

/** Which endpoints serve a request. */
export interface EndpointPlan {
  /** Takes the prompt in, when that is done apart. */
  readonly prefill?: model.EndpointModel;
  /** Makes the answer. */
  readonly answer: model.EndpointModel;
  /** Predicted milliseconds from now to the whole answer. */
  readonly finishMs: number;
}

/** Settings of the choice. */
export interface ChoiceSettings {
  /** Prompt work, in milliseconds, that a daemon lets wait at an engine. */
  readonly prefillWindowMs: number;
  /** Share by which two predictions may differ and still count as equal. */
  readonly tieShare: number;
  /** Whether a prefix that is probably cached makes an endpoint preferred. */
  readonly prefixAffinity: boolean;
}

/** Settings that the replay measure found best. */
export const CHOICE_SETTINGS: ChoiceSettings = { prefillWindowMs: 400, tieShare: 0.05, prefixAffinity: true };

/** Chooses endpoints for engine requests by the lowest predicted time to finish. */
export class EndpointChoice {
  readonly #settings: ChoiceSettings;
  readonly #random: common.SeededRandom;

  /**
   * @param random - breaks ties, so that daemons don't all take the same endpoint
   * @param settings - windows and ties
   */
  constructor(random: common.SeededRandom, settings: ChoiceSettings = CHOICE_SETTINGS) {
    this.#random = random;
    this.#settings = settings;
  }

  /**
   * @param endpoints - the service's endpoints
   * @param work - size of the request
   * @param now - current time
   * @returns the best plan that can start now, if there is one
   */
  chooseWhole(endpoints: readonly model.EndpointModel[], work: WorkSize, now: number): EndpointPlan | undefined {
    return this.#plan(withoutAvoided(endpoints, work), work, now) ?? this.#plan(endpoints, work, now);
  }

  #plan(endpoints: readonly model.EndpointModel[], work: WorkSize, now: number): EndpointPlan | undefined {
    const whole = this.#best(endpoints, model.RequestPart.Whole, (endpoint) => this.#wholeMs(endpoint, work, now), now);
    const prefill = this.#best(
      endpoints,
      model.RequestPart.Prefill,
      (endpoint) => this.#prefillMs(endpoint, work, now),
      now,
    );
    const decode = this.#best(
      endpoints,
      model.RequestPart.Decode,
      (endpoint) => work.outputTokens * endpoint.tokenMs(now),
      now,
    );
    const pairMs = prefill && decode ? prefill.costMs + decode.costMs : Number.POSITIVE_INFINITY;
    if (whole && whole.costMs <= pairMs) return { answer: whole.endpoint, finishMs: whole.costMs };
    if (!prefill || !decode) return undefined;
    return { prefill: prefill.endpoint, answer: decode.endpoint, finishMs: pairMs };
  }

  /**
   * @param endpoints - the service's endpoints
   * @param work - size of the request
   * @param now - current time
   * @returns the endpoint that continues from an imported KV cache
   */
  chooseDecode(
    endpoints: readonly model.EndpointModel[],
    work: WorkSize,
    now: number,
  ): model.EndpointModel | undefined {
    const choose = (candidates: readonly model.EndpointModel[]): model.EndpointModel | undefined =>
      this.#best(candidates, model.RequestPart.Decode, (endpoint) => work.outputTokens * endpoint.tokenMs(now), now)
        ?.endpoint;
    return choose(withoutAvoided(endpoints, work)) ?? choose(endpoints);
  }

  /**
   * @param endpoints - endpoints of a plain service
   * @param work - the call
   * @param perEndpoint - calls that one may be given at once
   * @param now - current time
   * @returns the one with the fewest calls, if any has room
   */
  choosePlain(
    endpoints: readonly model.EndpointModel[],
    work: WorkSize,
    perEndpoint: number,
    now: number,
  ): model.EndpointModel | undefined {
    const open = endpoints.filter((endpoint) => endpoint.isUsable(now) && endpoint.totalInFlight < perEndpoint);
    const preferred = withoutAvoided(open, work);
    return this.#lowest(preferred.length > 0 ? preferred : open, (endpoint) => endpoint.totalInFlight)?.endpoint;
  }

  #best(
    endpoints: readonly model.EndpointModel[],
    part: model.RequestPart,
    costOf: (endpoint: model.EndpointModel) => number,
    now: number,
  ): { endpoint: model.EndpointModel; costMs: number } | undefined {
    const open = endpoints.filter(
      (endpoint) => endpoint.serves(part) && endpoint.isUsable(now) && this.#hasRoom(endpoint, part, now),
    );
    return this.#lowest(open, costOf);
  }

  /** Queues stay short in the engines, so that priorities and drains still mean something. */
  #hasRoom(endpoint: model.EndpointModel, part: model.RequestPart, now: number): boolean {
    const slotFree = part === model.RequestPart.Prefill || endpoint.streams < endpoint.slots;
    const windowOpen =
      part === model.RequestPart.Decode || endpoint.prefillWaitMs(now) <= this.#settings.prefillWindowMs;
    return slotFree && windowOpen;
  }

  #wholeMs(endpoint: model.EndpointModel, work: WorkSize, now: number): number {
    return this.#prefillMs(endpoint, work, now) + work.outputTokens * endpoint.tokenMs(now);
  }

  #prefillMs(endpoint: model.EndpointModel, work: WorkSize, now: number): number {
    const cached = this.#settings.prefixAffinity ? endpoint.cachedTokens(work.prefix) : 0;
    const tokens = Math.max(1, work.promptTokens - cached);
    return endpoint.prefillWaitMs(now) + tokens * endpoint.prefillTokenMs();
  }

  #lowest(
    endpoints: readonly model.EndpointModel[],
    costOf: (endpoint: model.EndpointModel) => number,
  ): { endpoint: model.EndpointModel; costMs: number } | undefined {
    const rated = endpoints.map((endpoint) => ({ endpoint, costMs: costOf(endpoint) }));
    const lowest = Math.min(...rated.map((entry) => entry.costMs));
    const ties = rated.filter((entry) => entry.costMs <= lowest * (1 + this.#settings.tieShare));
    return ties[this.#random.integer(ties.length)];
  }
}

function withoutAvoided(endpoints: readonly model.EndpointModel[], work: WorkSize): readonly model.EndpointModel[] {
  const { avoid } = work;
  return avoid === undefined ? endpoints : endpoints.filter((endpoint) => !avoid.has(endpoint.id));
}
