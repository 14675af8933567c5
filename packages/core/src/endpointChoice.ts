import type * as common from "@camphorcourse/common";
import * as model from "./endpointModel.js";

/** Size of a request, as needed to choose endpoints. */
export interface WorkSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefix?: string;
  /** Endpoints at which the request has failed; used only if there is no other. */
  readonly avoid?: ReadonlySet<string>;
}

/** The endpoints chosen for a request. */
export interface EndpointPlan {
  /** Prefills the prompt, if prefill and decode are disaggregated. */
  readonly prefill?: model.EndpointModel;
  /** Generates the answer. */
  readonly answer: model.EndpointModel;
  /** Predicted milliseconds from now until the answer is complete. */
  readonly finishMs: number;
}

/** Settings of the endpoint choice. */
export interface ChoiceSettings {
  /** Maximum queued prefill work at an engine, in milliseconds, for it to get further prompts. */
  readonly prefillWindowMs: number;
  /** Relative difference up to which two predictions count as equal. */
  readonly tieShare: number;
  /** Whether endpoints that probably have the prompt's prefix cached are preferred. */
  readonly prefixAffinity: boolean;
}

/** Default settings, the best ones in trace replays. */
export const CHOICE_SETTINGS: ChoiceSettings = { prefillWindowMs: 400, tieShare: 0.05, prefixAffinity: true };

/** Chooses endpoints for engine requests by the lowest predicted time to finish. */
export class EndpointChoice {
  readonly #settings: ChoiceSettings;
  readonly #random: common.SeededRandom;

  /**
   * @param random - breaks ties, so that daemons don't all choose the same endpoint
   * @param settings - settings of the choice
   */
  constructor(random: common.SeededRandom, settings: ChoiceSettings = CHOICE_SETTINGS) {
    this.#random = random;
    this.#settings = settings;
  }

  /**
   * Chooses either one endpoint for the whole request or a prefill and a decode endpoint.
   *
   * @param endpoints - the service's endpoints
   * @param work - size of the request
   * @param now - current time
   * @returns the best plan that can start now, if there is one
   */
  chooseWhole(endpoints: readonly model.EndpointModel[], work: WorkSize, now: number): EndpointPlan | undefined {
    return this.#plan(withoutAvoided(endpoints, work), work, now) ?? this.#plan(endpoints, work, now);
  }

  #plan(endpoints: readonly model.EndpointModel[], work: WorkSize, now: number): EndpointPlan | undefined {
    const whole = this.#bestEligible(
      endpoints,
      model.RequestPart.Whole,
      (endpoint) => this.#finishMs(endpoint, work, now),
      now,
    );
    const prefill = this.#bestEligible(
      endpoints,
      model.RequestPart.Prefill,
      (endpoint) => this.#prefillMs(endpoint, work, now),
      now,
    );
    const decode = this.#bestEligible(
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
   * Chooses the decode endpoint for a request whose prompt has been prefilled.
   *
   * @param endpoints - the service's endpoints
   * @param work - size of the request
   * @param now - current time
   * @returns the endpoint that continues from an imported KV cache, if one is available
   */
  chooseDecode(
    endpoints: readonly model.EndpointModel[],
    work: WorkSize,
    now: number,
  ): model.EndpointModel | undefined {
    const choose = (candidates: readonly model.EndpointModel[]): model.EndpointModel | undefined =>
      this.#bestEligible(
        candidates,
        model.RequestPart.Decode,
        (endpoint) => work.outputTokens * endpoint.tokenMs(now),
        now,
      )?.endpoint;
    return choose(withoutAvoided(endpoints, work)) ?? choose(endpoints);
  }

  /**
   * Chooses the endpoint for a plain call.
   *
   * @param endpoints - endpoints of a plain service
   * @param work - the call
   * @param perEndpoint - maximum concurrent calls per endpoint
   * @param now - current time
   * @returns the available endpoint with the fewest calls in flight, if there is one
   */
  choosePlain(
    endpoints: readonly model.EndpointModel[],
    work: WorkSize,
    perEndpoint: number,
    now: number,
  ): model.EndpointModel | undefined {
    const candidates = endpoints.filter((endpoint) => endpoint.isUsable(now) && endpoint.totalInFlight < perEndpoint);
    const preferred = withoutAvoided(candidates, work);
    return this.#lowest(preferred.length > 0 ? preferred : candidates, (endpoint) => endpoint.totalInFlight)?.endpoint;
  }

  /** Returns the endpoint with the lowest cost among those that support the part and have free capacity. */
  #bestEligible(
    endpoints: readonly model.EndpointModel[],
    part: model.RequestPart,
    costOf: (endpoint: model.EndpointModel) => number,
    now: number,
  ): { endpoint: model.EndpointModel; costMs: number } | undefined {
    const candidates = endpoints.filter(
      (endpoint) => endpoint.serves(part) && endpoint.isUsable(now) && this.#hasRoom(endpoint, part, now),
    );
    return this.#lowest(candidates, costOf);
  }

  /** Keeps the engines' queues short, since requests queued there no longer obey priorities and delay drains. */
  #hasRoom(endpoint: model.EndpointModel, part: model.RequestPart, now: number): boolean {
    const slotFree = part === model.RequestPart.Prefill || endpoint.streams < endpoint.slots;
    const windowOpen =
      part === model.RequestPart.Decode || endpoint.prefillWaitMs(now) <= this.#settings.prefillWindowMs;
    return slotFree && windowOpen;
  }

  #finishMs(endpoint: model.EndpointModel, work: WorkSize, now: number): number {
    return this.#prefillMs(endpoint, work, now) + work.outputTokens * endpoint.tokenMs(now);
  }

  #prefillMs(endpoint: model.EndpointModel, work: WorkSize, now: number): number {
    const cached = this.#settings.prefixAffinity ? endpoint.cachedTokens(work.prefix) : 0;
    const tokens = Math.max(1, work.promptTokens - cached);
    return endpoint.prefillWaitMs(now) + tokens * endpoint.prefillTokenMs();
  }

  /** Returns the endpoint with the lowest cost; draws one at random among ties. */
  #lowest(
    endpoints: readonly model.EndpointModel[],
    costOf: (endpoint: model.EndpointModel) => number,
  ): { endpoint: model.EndpointModel; costMs: number } | undefined {
    const costs = endpoints.map((endpoint) => ({ endpoint, costMs: costOf(endpoint) }));
    const lowest = Math.min(...costs.map((entry) => entry.costMs));
    const ties = costs.filter((entry) => entry.costMs <= lowest * (1 + this.#settings.tieShare));
    return ties[this.#random.integer(ties.length)];
  }
}

function withoutAvoided(endpoints: readonly model.EndpointModel[], work: WorkSize): readonly model.EndpointModel[] {
  const { avoid } = work;
  return avoid === undefined ? endpoints : endpoints.filter((endpoint) => !avoid.has(endpoint.id));
}
