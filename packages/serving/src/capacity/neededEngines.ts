import type * as engineSpeeds from "../engineSpeeds.js";

/** The load on the engines of a service, from all daemons. */
export interface EngineLoad {
  /** Number of prefill engines that the prompts keep busy. */
  readonly readingLoad: number;
  /** Events per millisecond that the streams ask for. */
  readonly eventsPerMs: number;
  /** Streams that one decode engine can serve. */
  readonly streamsPerEngine: number;
  readonly speeds: Pick<engineSpeeds.EngineSpeeds, "pause">;
}

/** Decides how many engines a load needs. */
export interface CapacityPolicy {
  /**
   * @param load - the load at its recent peak
   * @returns number of engines, or undefined if there has been too little load to tell
   */
  neededEngines(load: EngineLoad): number | undefined;
}

/** Load below which nothing can be said about the need, in engines: nobody has called yet, or nobody calls now. */
const MIN_READING_LOAD = 0.05;

/** Number of engines that always remain: one of each role, and one that may fail. */
const MIN_ENGINES = 3;

/** Keeps the engines of each role below a fixed utilization. */
export class FixedUtilization implements CapacityPolicy {
  readonly #prefill: number;
  readonly #decode: number;

  /**
   * @param prefill - maximum utilization of prefill engines
   * @param decode - maximum share of a decode engine's streams that is in use
   */
  constructor(prefill: number, decode: number) {
    this.#prefill = prefill;
    this.#decode = decode;
  }

  /** {@inheritDoc CapacityPolicy.neededEngines} */
  neededEngines(load: EngineLoad): number | undefined {
    if (load.readingLoad < MIN_READING_LOAD) return undefined;
    const prefill = Math.ceil(load.readingLoad / this.#prefill);
    const decode = decodeEnginesFor(load, load.streamsPerEngine * this.#decode);
    return Math.max(MIN_ENGINES, prefill + decode);
  }
}

/** Largest number of decode engines that is considered. */
const MAX_DECODE_ENGINES = 10_000;

/** Fewest decode engines with which each has at most so many streams. */
function decodeEnginesFor(load: EngineLoad, maxStreams: number): number {
  const { baseMs, perStreamMs } = load.speeds.pause;
  // At the maximum, an engine emits one event for each of its streams in the pause between two events.
  const eventsPerEngine = maxStreams / (baseMs + perStreamMs * maxStreams);
  if (!(eventsPerEngine > 0)) return MAX_DECODE_ENGINES;
  return Math.min(MAX_DECODE_ENGINES, Math.max(1, Math.ceil(load.eventsPerMs / eventsPerEngine)));
}
