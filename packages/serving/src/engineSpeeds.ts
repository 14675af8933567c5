import * as directories from "./endpointDirectory.js";
import * as linearEstimates from "./linearEstimate.js";

/** What an engine has to compute to prefill a prompt. */
export interface PrefillWork {
  /** Tokens that are not cached. */
  readonly unreadTokens: number;
  /** Cached tokens before them. */
  readonly cachedTokens: number;
}

/** A prefill that has ended, and what was known when it was sent. */
export interface ReadObservation extends PrefillWork {
  /** Known tokens that the engine had to prefill before or beside it. */
  readonly tokensWaiting: number;
  /** Other requests at the engine when the prefill ended. */
  readonly streams: number;
  readonly tookMs: number;
}

/** An observation as daemons share it with each other. */
export interface SharedObservation {
  readonly role: directories.EngineRole;
  readonly observation: ReadObservation;
}

/** Estimated prefill speed of one role, for the log and the metrics. */
export interface PrefillEstimate {
  readonly fixedMs: number;
  readonly tokensPerMs: number;
  /** Cost of attention: milliseconds for a million pairs of tokens. */
  readonly pairsMsPerMillion: number;
  readonly observations: number;
}

/**
 * Typical values of large models on current accelerators. Engines differ from them by a factor of ten either way; they
 * are only used until the first dozens of prompts have been prefilled.
 */
const PRIORS = {
  /** Fixed time, time for 1,000 tokens, time for a million pairs of tokens; in milliseconds. */
  prefill: [30, 15, 0.35],
  /** The same, and time for each stream beside it; a decode engine prefills at half the speed, between its streams' tokens. */
  decode: [30, 40, 0.7, 0.5],
  /** Fixed time to continue from a prefilled prompt, and time to transfer 1,000 of its tokens; in milliseconds. */
  handover: [30, 1],
  /**
   * Pause between two events of a stream, and what each stream at the engine adds to it; in milliseconds. The latter is
   * rather high on purpose: if it were too low, decode engines would be given away before the first long answers have
   * ended.
   */
  pause: [30, 1],
};

const TOKENS_IN_UNIT = 1_000;
const PAIRS_IN_UNIT = 1_000_000;

/** Time to copy a few tokens between two engines, in milliseconds: a call and its set-up. Engines take 2 to 3. */
const COPY_FIXED_MS = 5;

/** Maximum number of observations sent at once: a few per second from each daemon are as useful as all. */
const MAX_UNSENT_OBSERVATIONS = 3;

/** Observations from which the learned prefill speed of a role replaces its prior. */
const MIN_OBSERVATIONS = 12;

/** Time that a decode engine takes to prefill a token, in multiples of a prefill engine's, as the platform specifies. */
const DECODE_PREFILL_FACTOR = 2.5;

/** Standard deviation of an observed time, as a share of the expected time, and its minimum in milliseconds. */
const DEVIATION = { share: 0.15, minMs: 4 };

/**
 * Learns how fast the engines of one service work from the requests that they
 * serve. With constants that hold for one fleet only, another fleet's prompts
 * would go to queues that look short and are not, and its roles would be balanced
 * for a load that it doesn't have. {@link EndpointHealth} corrects for single
 * engines that differ from the others of their service.
 */
export class EngineSpeeds {
  readonly #prefill = new linearEstimates.LinearEstimate(PRIORS.prefill);
  readonly #decode = new linearEstimates.LinearEstimate(PRIORS.decode);
  readonly #handover = new linearEstimates.LinearEstimate(PRIORS.handover);
  readonly #pause = new linearEstimates.LinearEstimate(PRIORS.pause);
  #unsent: SharedObservation[] = [];

  /**
   * Learns from a prefill of this daemon's own request, and keeps it to be sent to the peers. Each daemon sees only its
   * share of the prompts; without its peers' observations, one that has just started would place its first dozens of
   * prompts by the prior.
   *
   * @param role - the engine's role
   * @param observation - a prompt that was prefilled there
   */
  learnLocalPrefill(role: directories.EngineRole, observation: ReadObservation): void {
    this.learnPrefill(role, observation);
    this.#unsent.push({ role, observation });
    if (this.#unsent.length > MAX_UNSENT_OBSERVATIONS) this.#unsent.shift();
  }

  /** @returns the newest own observations that were not yet sent to the peers; they are removed here */
  takeUnsentObservations(): SharedObservation[] {
    const unsent = this.#unsent;
    this.#unsent = [];
    return unsent;
  }

  /**
   * @param role - the engine's role
   * @param observation - a prompt that was prefilled there; the more was queued before it, the less certain it is
   */
  learnPrefill(role: directories.EngineRole, observation: ReadObservation): void {
    const estimate = this.#estimate(role);
    const features = prefillFeatures(observation, observation.streams);
    const queueMs = (observation.tokensWaiting / TOKENS_IN_UNIT) * this.#msPerUnit(role);
    const expectedMs = estimate.predict(features);
    // At a prefill engine, prompts of other daemons that were not yet known here show up as other running requests.
    const uncertainty = role === directories.EngineRole.Prefill ? 1 + observation.streams : 1;
    const deviation = (DEVIATION.minMs + DEVIATION.share * expectedMs) * uncertainty + queueMs;
    estimate.learn(features, observation.tookMs - queueMs, deviation);
  }

  /**
   * @param promptTokens - tokens of a prompt that another engine had prefilled
   * @param tookMs - time from sending the request to the first event, in milliseconds
   */
  learnHandover(promptTokens: number, tookMs: number): void {
    const features = [1, promptTokens / TOKENS_IN_UNIT];
    this.#handover.learn(features, tookMs, deviationOf(this.#handover.predict(features)));
  }

  /**
   * @param streams - streams at the engine
   * @param pauseMs - mean pause between the events of one of them, in milliseconds
   */
  learnPause(streams: number, pauseMs: number): void {
    const features = [1, streams];
    this.#pause.learn(features, pauseMs, deviationOf(this.#pause.predict(features)));
  }

  /**
   * @param role - the engine's role
   * @param work - the prompt
   * @returns cost of its prefill, attention included, as the number of tokens of a short prompt that takes as long
   */
  workTokens(role: directories.EngineRole, work: PrefillWork): number {
    const pairsMs = (this.#estimate(role).coefficients[2] ?? 0) * pairUnits(work);
    return work.unreadTokens + (pairsMs / this.#msPerUnit(role)) * TOKENS_IN_UNIT;
  }

  /**
   * @param role - the engine's role
   * @param workTokens - cost as {@link EngineSpeeds.workTokens} returns it
   * @returns duration of the prefill, in milliseconds
   */
  prefillMs(role: directories.EngineRole, workTokens: number): number {
    return (workTokens / TOKENS_IN_UNIT) * this.#msPerUnit(role);
  }

  /**
   * @param role - the engine's role
   * @param streams - streams at the engine
   * @returns time to the answer of an engine that has nothing to prefill, in milliseconds
   */
  fixedMs(role: directories.EngineRole, streams: number): number {
    const [fixedMs = 0, , , perStreamMs = 0] = this.#estimate(role).coefficients;
    return fixedMs + perStreamMs * streams;
  }

  /**
   * @param promptTokens - tokens of a prompt that another engine has prefilled
   * @returns time from sending the request to the first event, in milliseconds
   */
  handoverMs(promptTokens: number): number {
    return this.#handover.predict([1, promptTokens / TOKENS_IN_UNIT]);
  }

  /**
   * @param tokens - tokens that an engine copies from another
   * @returns duration of the copy in milliseconds, estimated from the transfers of handovers
   */
  copyMs(tokens: number): number {
    return COPY_FIXED_MS + (tokens / TOKENS_IN_UNIT) * (this.#handover.coefficients[1] ?? 0);
  }

  /**
   * @param role - the role
   * @returns whether its estimate rests on enough observations
   */
  isLearned(role: directories.EngineRole): boolean {
    return this.#estimate(role).observations >= MIN_OBSERVATIONS;
  }

  /** @returns pause between two events of a single stream, and what each further stream adds, in milliseconds */
  get pause(): { readonly baseMs: number; readonly perStreamMs: number } {
    const [baseMs = 0, perStreamMs = 0] = this.#pause.coefficients;
    return { baseMs, perStreamMs };
  }

  /** @returns prefill speed of a decode engine, as a share of a prefill engine's */
  get decodeReadingShare(): number {
    return this.#msPerUnit(directories.EngineRole.Prefill) / this.#msPerUnit(directories.EngineRole.Decode);
  }

  /**
   * @param role - the role
   * @returns its estimated prefill speed
   */
  prefillEstimate(role: directories.EngineRole): PrefillEstimate {
    const { coefficients, observations } = this.#estimate(role);
    const [fixedMs = 0, , pairsMsPerMillion = 0] = coefficients;
    return { fixedMs, tokensPerMs: TOKENS_IN_UNIT / this.#msPerUnit(role), pairsMsPerMillion, observations };
  }

  #estimate(role: directories.EngineRole): linearEstimates.LinearEstimate {
    return role === directories.EngineRole.Prefill ? this.#prefill : this.#decode;
  }

  /** Time to prefill 1,000 tokens. Until a decode estimate is learned, it is derived from the prefill engines' one. */
  #msPerUnit(role: directories.EngineRole): number {
    const own = this.#estimate(role).coefficients[1] ?? 0;
    const isPrior = role === directories.EngineRole.Decode && this.#decode.observations < MIN_OBSERVATIONS;
    const prefill = this.#prefill.coefficients[1] ?? 0;
    return isPrior && this.#prefill.observations >= MIN_OBSERVATIONS ? prefill * DECODE_PREFILL_FACTOR : own;
  }
}

function prefillFeatures(work: PrefillWork, streams: number): number[] {
  return [1, work.unreadTokens / TOKENS_IN_UNIT, pairUnits(work), streams];
}

/** Pairs of tokens that attention computes, in millions. */
function pairUnits(work: PrefillWork): number {
  return (work.unreadTokens * (work.cachedTokens + work.unreadTokens / 2)) / PAIRS_IN_UNIT;
}

function deviationOf(expectedMs: number): number {
  return DEVIATION.minMs + DEVIATION.share * expectedMs;
}

/** The estimated engine speeds of each service. */
export class ServiceSpeeds {
  readonly #services = new Map<string, EngineSpeeds>();

  /** @returns the speeds of each service that was used */
  all(): IterableIterator<[service: string, speeds: EngineSpeeds]> {
    return this.#services.entries();
  }

  /**
   * @param service - the service
   * @returns the speeds of its engines
   */
  of(service: string): EngineSpeeds {
    let speeds = this.#services.get(service);
    if (speeds === undefined) {
      speeds = new EngineSpeeds();
      this.#services.set(service, speeds);
    }
    return speeds;
  }
}
