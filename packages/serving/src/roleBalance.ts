import * as directories from "./endpointDirectory.js";

/** A change of one engine's role. */
export interface RoleChange {
  readonly endpointId: string;
  readonly role: directories.EngineRole;
  /** Share of the prefill engines' time that reading takes now. */
  readonly readingLoad: number;
  /** Streams for each decode engine now. */
  readonly streamsEach: number;
}

/** An engine as the balance sees it. */
export interface BalancedEngine {
  readonly id: string;
  readonly role: directories.EngineRole;
  /** Requests under way there, from all daemons. */
  readonly running: number;
}

/** What is known at one moment. */
export interface BalanceInputs {
  readonly engines: readonly BalancedEngine[];
  /** Tokens that all callers' prompts need read in a millisecond, the cost of attention included. */
  readonly readTokensPerMs: number;
  readonly now: number;
}

/** Tokens that a prefill engine reads in a millisecond. */
const ENGINE_TOKENS_PER_MS = 92;

/** Load of the prefill engines beyond which waiting grows out of proportion. */
const READING_TOO_HIGH = 0.72;

/** Load that the prefill engines may have after one of them has become a decode engine. */
const READING_LOW_ENOUGH = 0.45;

/** Streams at each decode engine beyond which tokens come too slowly for long answers. */
const STREAMS_TOO_MANY = 40;

/** Streams at each decode engine that leave room for one engine less. */
const STREAMS_FEW_ENOUGH = 30;

/** Time for which a reason must hold before a change, in milliseconds: a burst of a second is no reason. */
const REASON_HOLDS_MS = 1_500;

/** Least time between two changes, in milliseconds: a change takes an engine away for some seconds and must pay. */
const REST_MS = 20_000;

/** Engines of a role that always remain. */
const LEAST_OF_A_ROLE = 2;

/**
 * Decides when an engine's role no longer fits the mix of prompts and answers.
 * Few changes: a reason has to hold, both sides must be able to carry the load
 * after the change, and changes rest for long. A role that has no engine left is
 * filled at once, as nothing can be served without it.
 */
export class RoleBalance {
  #reasonSince: number | undefined;
  #reasonRole = directories.EngineRole.None;
  #changedAt = Number.NEGATIVE_INFINITY;

  /** @param now - instant at which a change, here or at another daemon, became known, in milliseconds */
  changed(now: number): void {
    this.#changedAt = now;
    this.#reasonSince = undefined;
  }

  /**
   * @param inputs - what is known now
   * @returns a change that is due, or undefined
   */
  decide(inputs: BalanceInputs): RoleChange | undefined {
    const prefill = inputs.engines.filter((engine) => engine.role === directories.EngineRole.Prefill);
    const decode = inputs.engines.filter((engine) => engine.role === directories.EngineRole.Decode);
    const wanted = wantedRole(prefill, decode, inputs.readTokensPerMs);
    if (wanted !== this.#reasonRole || wanted === directories.EngineRole.None) {
      this.#reasonRole = wanted;
      this.#reasonSince = inputs.now;
    }
    if (wanted === directories.EngineRole.None) return undefined;
    const urgent = prefill.length === 0 || decode.length === 0;
    if (!urgent && inputs.now - this.#changedAt < REST_MS) return undefined;
    if (inputs.now - (this.#reasonSince ?? inputs.now) < REASON_HOLDS_MS) return undefined;
    const from = wanted === directories.EngineRole.Prefill ? decode : prefill;
    const idlest = [...from].sort((left, right) => left.running - right.running || (left.id < right.id ? -1 : 1))[0];
    if (idlest === undefined) return undefined;
    return {
      endpointId: idlest.id,
      role: wanted,
      readingLoad: readingLoad(prefill.length, inputs.readTokensPerMs),
      streamsEach: streams(decode) / Math.max(1, decode.length),
    };
  }
}

function wantedRole(
  prefill: readonly BalancedEngine[],
  decode: readonly BalancedEngine[],
  readTokensPerMs: number,
): directories.EngineRole {
  if (decode.length === 0) return prefill.length > 1 ? directories.EngineRole.Decode : directories.EngineRole.None;
  if (prefill.length === 0) return directories.EngineRole.None;
  const load = readingLoad(prefill.length, readTokensPerMs);
  const streamsAfter = streams(decode) / Math.max(1, decode.length - 1);
  if (load > READING_TOO_HIGH && decode.length > LEAST_OF_A_ROLE && streamsAfter < STREAMS_FEW_ENOUGH) {
    return directories.EngineRole.Prefill;
  }
  // A lone decode engine that is full holds everything up, and its kind can read prompts too.
  const alone = decode.length < LEAST_OF_A_ROLE && prefill.length >= LEAST_OF_A_ROLE;
  if (alone && streams(decode) > STREAMS_TOO_MANY) return directories.EngineRole.Decode;
  const loadAfter = readingLoad(prefill.length - 1, readTokensPerMs);
  const streamsEach = streams(decode) / decode.length;
  if (streamsEach > STREAMS_TOO_MANY && prefill.length > 1 && loadAfter < READING_LOW_ENOUGH) {
    return directories.EngineRole.Decode;
  }
  return directories.EngineRole.None;
}

function readingLoad(engines: number, readTokensPerMs: number): number {
  return engines === 0 ? Number.POSITIVE_INFINITY : readTokensPerMs / (engines * ENGINE_TOKENS_PER_MS);
}

function streams(engines: readonly BalancedEngine[]): number {
  return engines.reduce((sum, engine) => sum + engine.running, 0);
}

/** Time over which a rate is averaged, in milliseconds. */
const RATE_TIME_MS = 3_000;

/** A rate that fades: what came long ago counts less and less. */
export class FadingRate {
  #sum = 0;
  #at = 0;

  /**
   * @param amount - what came
   * @param now - when it came, in milliseconds
   */
  add(amount: number, now: number): void {
    this.#fade(now);
    this.#sum += amount;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns the amount that comes in a millisecond
   */
  perMs(now: number): number {
    this.#fade(now);
    return this.#sum / RATE_TIME_MS;
  }

  #fade(now: number): void {
    this.#sum *= Math.exp(-Math.max(0, now - this.#at) / RATE_TIME_MS);
    this.#at = now;
  }
}
