import * as directories from "./endpointDirectory.js";
import * as linearEstimates from "./linearEstimate.js";

/** What an engine has to do to read a prompt. */
export interface ReadingWork {
  /** Tokens that it doesn't keep yet. */
  readonly unreadTokens: number;
  /** Tokens before them that it keeps. */
  readonly cachedTokens: number;
}

/** A prompt that was read, and what was known when it was sent. */
export interface ReadObservation extends ReadingWork {
  /** Tokens that the engine had to read before or beside it, as far as was known. */
  readonly tokensWaiting: number;
  /** Other requests at the engine when it was read. */
  readonly streams: number;
  readonly tookMs: number;
}

/** A prompt that was read, as daemons tell each other of it. */
export interface ToldObservation {
  readonly role: directories.EngineRole;
  readonly observation: ReadObservation;
}

/** The figures of one role's reading, for the log and the metrics. */
export interface ReadingFigures {
  readonly fixedMs: number;
  readonly tokensPerMs: number;
  /** Attention's part: milliseconds for a million pairs of tokens. */
  readonly pairsMs: number;
  readonly observations: number;
}

/**
 * Figures of large models on the accelerators of these years. Engines differ from them by ten either way; they only
 * serve until the first dozens of prompts have been read.
 */
const PRIORS = {
  /** Fixed time, 1,000 tokens, a million pairs of tokens; in milliseconds. */
  prefill: [30, 15, 0.35],
  /** The same, and each stream beside it; a decode engine reads at half the speed, between its streams' tokens. */
  decode: [30, 40, 0.7, 0.5],
  /** Fixed time of going on with a prompt that was read, and 1,000 of its tokens to be moved; in milliseconds. */
  handover: [30, 1],
  /**
   * Pause between two events of a stream, and what each stream at the engine adds; in milliseconds. The latter is on the
   * cautious side: taken for too little, decode engines are given away before the first long answers have ended.
   */
  pause: [30, 1],
};

const TOKENS_IN_UNIT = 1_000;
const PAIRS_IN_UNIT = 1_000_000;

/** Time of a copy of few tokens between two engines, in milliseconds: a call and its set-up. Engines take 2 to 3. */
const COPY_FIXED_MS = 5;

/** Most observations told at once: a few a second from each daemon teach as much as all. */
const MOST_UNTOLD = 3;

/** Observations from which a decode engine's own reading speed is more than its prior. */
const ENOUGH_OBSERVATIONS = 12;

/** Time that a decode engine takes to read a token, in multiples of a prefill engine's, by the platform's description. */
const DECODE_READING_MULTIPLE = 2.5;

/** Standard deviation of a time that was seen, as a share of the time expected, and at least, in milliseconds. */
const DEVIATION = { share: 0.15, leastMs: 4 };

/**
 * How fast the engines of one service work, learned from the requests that they
 * serve. The failure it prevents: with one fleet's figures as constants, another
 * fleet's prompts are sent to queues that look short and are not, and its roles
 * are split for a load that it doesn't have. Engines that differ from the others
 * of their service are corrected one by one, by {@link EndpointHealth}.
 */
export class EngineSpeeds {
  readonly #prefill = new linearEstimates.LinearEstimate(PRIORS.prefill);
  readonly #decode = new linearEstimates.LinearEstimate(PRIORS.decode);
  readonly #handover = new linearEstimates.LinearEstimate(PRIORS.handover);
  readonly #pause = new linearEstimates.LinearEstimate(PRIORS.pause);
  #untold: ToldObservation[] = [];

  /**
   * An observation of this daemon's own, which its peers are to learn from too. Each of them sees only its share of the
   * prompts: alone, a daemon that has just started sends its first dozens by the prior.
   *
   * @param role - the engine's role
   * @param observation - a prompt that was read there
   */
  learnLocalPrefill(role: directories.EngineRole, observation: ReadObservation): void {
    this.learnPrefill(role, observation);
    this.#untold.push({ role, observation });
    if (this.#untold.length > MOST_UNTOLD) this.#untold.shift();
  }

  /** @returns the newest own observations that the peers have not been told of; they are then forgotten */
  takeUnsentObservations(): ToldObservation[] {
    const untold = this.#untold;
    this.#untold = [];
    return untold;
  }

  /**
   * @param role - the engine's role
   * @param observation - a prompt that was read there; what waited before it makes it the less certain
   */
  learnPrefill(role: directories.EngineRole, observation: ReadObservation): void {
    const estimate = this.#reading(role);
    const own = readingFeatures(observation, observation.streams);
    const queueMs = (observation.tokensWaiting / TOKENS_IN_UNIT) * this.#msPerUnit(role);
    const expectedMs = estimate.predict(own);
    // Prompts that came before from other daemons and are not known of yet show as others that are still there.
    const doubt = role === directories.EngineRole.Prefill ? 1 + observation.streams : 1;
    const deviation = (DEVIATION.leastMs + DEVIATION.share * expectedMs) * doubt + queueMs;
    estimate.learn(own, observation.tookMs - queueMs, deviation);
  }

  /**
   * @param promptTokens - tokens of a prompt that another engine had read
   * @param tookMs - time from the send to the first event, in milliseconds
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
   * @returns its reading by itself as tokens of a short prompt, attention included
   */
  workTokens(role: directories.EngineRole, work: ReadingWork): number {
    const pairsMs = (this.#reading(role).coefficients[2] ?? 0) * pairUnits(work);
    return work.unreadTokens + (pairsMs / this.#msPerUnit(role)) * TOKENS_IN_UNIT;
  }

  /**
   * @param role - the engine's role
   * @param workTokens - work as {@link EngineSpeeds.workTokens} tells it
   * @returns time that it takes to read, in milliseconds
   */
  prefillMs(role: directories.EngineRole, workTokens: number): number {
    return (workTokens / TOKENS_IN_UNIT) * this.#msPerUnit(role);
  }

  /**
   * @param role - the engine's role
   * @param streams - streams at the engine
   * @returns time to the answer of an engine that has nothing to read, in milliseconds
   */
  fixedMs(role: directories.EngineRole, streams: number): number {
    const [fixedMs = 0, , , perStreamMs = 0] = this.#reading(role).coefficients;
    return fixedMs + perStreamMs * streams;
  }

  /**
   * @param promptTokens - tokens of a prompt that another engine has read
   * @returns time from the send to the first event, in milliseconds
   */
  handoverMs(promptTokens: number): number {
    return this.#handover.predict([1, promptTokens / TOKENS_IN_UNIT]);
  }

  /**
   * @param tokens - tokens that an engine copies from another
   * @returns time that it takes, in milliseconds, as the moves of handovers show it
   */
  copyMs(tokens: number): number {
    return COPY_FIXED_MS + (tokens / TOKENS_IN_UNIT) * (this.#handover.coefficients[1] ?? 0);
  }

  /**
   * @param role - the role
   * @returns whether its figures rest on prompts that were read
   */
  isLearned(role: directories.EngineRole): boolean {
    return this.#reading(role).observations >= ENOUGH_OBSERVATIONS;
  }

  /** @returns pause between two events of a lone stream, and what each further stream adds, in milliseconds */
  get pause(): { readonly baseMs: number; readonly perStreamMs: number } {
    const [baseMs = 0, perStreamMs = 0] = this.#pause.coefficients;
    return { baseMs, perStreamMs };
  }

  /** @returns what a decode engine reads in the time in which a prefill engine reads one */
  get decodeReadingShare(): number {
    return this.#msPerUnit(directories.EngineRole.Prefill) / this.#msPerUnit(directories.EngineRole.Decode);
  }

  /**
   * @param role - the role
   * @returns its figures
   */
  prefillEstimate(role: directories.EngineRole): ReadingFigures {
    const { coefficients, observations } = this.#reading(role);
    const [fixedMs = 0, , pairsMs = 0] = coefficients;
    return { fixedMs, tokensPerMs: TOKENS_IN_UNIT / this.#msPerUnit(role), pairsMs, observations };
  }

  #reading(role: directories.EngineRole): linearEstimates.LinearEstimate {
    return role === directories.EngineRole.Prefill ? this.#prefill : this.#decode;
  }

  #msPerUnit(role: directories.EngineRole): number {
    const own = this.#reading(role).coefficients[1] ?? 0;
    const guessed = role === directories.EngineRole.Decode && this.#decode.observations < ENOUGH_OBSERVATIONS;
    const prefill = this.#prefill.coefficients[1] ?? 0;
    return guessed && this.#prefill.observations >= ENOUGH_OBSERVATIONS ? prefill * DECODE_READING_MULTIPLE : own;
  }
}

function readingFeatures(work: ReadingWork, streams: number): number[] {
  return [1, work.unreadTokens / TOKENS_IN_UNIT, pairUnits(work), streams];
}

function pairUnits(work: ReadingWork): number {
  return (work.unreadTokens * (work.cachedTokens + work.unreadTokens / 2)) / PAIRS_IN_UNIT;
}

function deviationOf(expectedMs: number): number {
  return DEVIATION.leastMs + DEVIATION.share * expectedMs;
}

/** What is known of the engines of each service. */
export class ServiceSpeeds {
  readonly #services = new Map<string, EngineSpeeds>();

  /** @returns the speeds that are known, by service */
  all(): IterableIterator<[service: string, speeds: EngineSpeeds]> {
    return this.#services.entries();
  }

  /**
   * @param service - the service
   * @returns what is known of its engines
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
