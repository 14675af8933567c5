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
  /** Requests that it serves at once. */
  readonly slots: number;
  /** Whether it lately gave no answer, or was busy with an order, when it was asked. */
  readonly reluctant: boolean;
}

/** What the balance thinks of the present split, for the log. */
export interface RoleOutlook {
  /** Role of which one more engine is wanted; none if the split may stay. */
  readonly wanted: directories.EngineRole;
  /** Whether it can't wait for an ordinary rest. */
  readonly urgent: boolean;
  readonly prefill: number;
  readonly decode: number;
  /** Time for which the same role has been wanted, in milliseconds. */
  readonly heldMs: number;
  /** What is left of the rest after the last change, in milliseconds. */
  readonly restMs: number;
}

/** What is known at one moment. */
export interface BalanceInputs {
  readonly engines: readonly BalancedEngine[];
  /** Tokens that all callers' prompts need read in a millisecond, the cost of attention included. */
  readonly readTokensPerMs: number;
  readonly now: number;
}

/** Tokens that a prefill engine reads in a millisecond, by the sheet of the engines in use. */
const PREFILL_TOKENS_PER_MS = 92;

/** Tokens that a decode engine reads at a stretch, between two tokens of its streams. */
const DECODE_PIECE_TOKENS = 512;

/** Tokens that a decode engine reads in a millisecond while it makes no tokens: half of a prefill engine's. */
const DECODE_TOKENS_PER_MS = PREFILL_TOKENS_PER_MS / 2;

/** Time of a decode engine's step, and what each stream adds to it, in milliseconds, by the same sheet. */
const STEP_MS = { base: 3.03, perStream: 0.121 };

/** Share of a decode engine's time that reading may take: with more of it, long answers miss their deadline. */
const READING_SHARE_OF_DECODE = 0.35;

/** Strain of one more engine's role from which a change is worth an engine that is away for some seconds. */
const WORTHWHILE = { strain: 0.35, share: 0.2 };

/** Utilization above which strain no longer follows a queue's length but grows steeply and without bound. */
const STEEP_FROM = 0.9;
const STEEPNESS = 100;

/** Streams at a lone decode engine from which it gets another beside it, as a share of its slots. */
const LONE_FULL_SHARE = 0.6;

/** Time for which a reason must hold before a change, in milliseconds: a burst of a second is no reason. */
const REASON_HOLDS_MS = 1_500;

/**
 * The same two times where streams have outgrown the decode engines, in
 * milliseconds: until another one helps, nothing that is read can be gone on with.
 */
const URGENT_HOLDS_MS = 500;
const URGENT_REST_MS = 3_000;

/**
 * Least time between two changes in milliseconds: an engine that changes first finishes its streams and is then away
 * for some seconds, and until then the load doesn't show what the change has brought. In a large fleet one engine is
 * a small part, so the rest is as much shorter.
 */
const REST_MS = { ofFleet: 9_000, fleet: 6, least: 1_000 };

/**
 * The load it answers: the mix swings between long prompts and long answers, and
 * engines crash or are taken away, so that one role is short of engines while
 * the other has some to spare. It compares the strain of the present split with
 * those that one change would make, from the utilization of reading and of the
 * streams' slots. Few changes: a reason has to hold, must pay, and changes rest.
 * A role that has no engine left is filled at once, as nothing can be served
 * without it.
 */
export class RoleBalance {
  #reasonSince = 0;
  #reasonRole = directories.EngineRole.None;
  #changedAt = Number.NEGATIVE_INFINITY;
  #outlook: RoleOutlook | undefined;

  /** @returns what the last decision rested on, once there was one */
  get outlook(): RoleOutlook | undefined {
    return this.#outlook;
  }

  /** @param now - instant at which a change, here or at another daemon, was made, in milliseconds */
  changed(now: number): void {
    this.#changedAt = Math.max(this.#changedAt, now);
    // The reason has to hold anew, from the next look on: a change that came to nothing is tried again after it.
    this.#reasonRole = directories.EngineRole.None;
  }

  /**
   * @param inputs - what is known now
   * @returns a change that is due, or undefined
   */
  decide(inputs: BalanceInputs): RoleChange | undefined {
    const prefill = inputs.engines.filter((engine) => engine.role === directories.EngineRole.Prefill);
    const decode = inputs.engines.filter((engine) => engine.role === directories.EngineRole.Decode);
    const { role: wanted, urgent } = wantedRole(prefill, decode, inputs.readTokensPerMs);
    if (wanted !== this.#reasonRole || wanted === directories.EngineRole.None) {
      this.#reasonRole = wanted;
      this.#reasonSince = inputs.now;
    }
    const rest = Math.min(urgent ? URGENT_REST_MS : REST_MS.ofFleet, restMs(inputs.engines.length));
    const restLeftMs = decode.length > 0 ? Math.max(0, this.#changedAt + rest - inputs.now) : 0;
    const heldMs = inputs.now - this.#reasonSince;
    this.#outlook = { wanted, urgent, prefill: prefill.length, decode: decode.length, heldMs, restMs: restLeftMs };
    if (wanted === directories.EngineRole.None) return undefined;
    if (restLeftMs > 0) return undefined;
    if (heldMs < (urgent ? URGENT_HOLDS_MS : REASON_HOLDS_MS)) return undefined;
    const from = wanted === directories.EngineRole.Prefill ? decode : prefill;
    const chosen = [...from].sort(byReadiness)[0];
    if (chosen === undefined) return undefined;
    return {
      endpointId: chosen.id,
      role: wanted,
      readingLoad: inputs.readTokensPerMs / Math.max(1, prefill.length * PREFILL_TOKENS_PER_MS),
      streamsEach: streams(decode) / Math.max(1, decode.length),
    };
  }
}

/**
 * The idlest first, as it changes soonest. One that answered no question comes
 * last: it gets no work, so it would be the idlest for ever, and every change
 * would be tried there in vain.
 */
function byReadiness(left: BalancedEngine, right: BalancedEngine): number {
  if (left.reluctant !== right.reluctant) return left.reluctant ? 1 : -1;
  return left.running - right.running || (left.id < right.id ? -1 : 1);
}

function restMs(engines: number): number {
  return Math.max(REST_MS.least, REST_MS.ofFleet * Math.min(1, REST_MS.fleet / Math.max(1, engines)));
}

interface Wish {
  readonly role: directories.EngineRole;
  /** Whether streams have outgrown the decode engines. */
  readonly urgent: boolean;
}

const NO_WISH: Wish = { role: directories.EngineRole.None, urgent: false };
const DECODE_AT_ONCE: Wish = { role: directories.EngineRole.Decode, urgent: true };

function wantedRole(
  prefill: readonly BalancedEngine[],
  decode: readonly BalancedEngine[],
  readTokensPerMs: number,
): Wish {
  // Also the last engine that is left: a decode engine can read prompts, a prefill engine can answer none, and every
  // prompt would be turned away for as long as no other engine joins.
  if (decode.length === 0) return prefill.length > 0 ? DECODE_AT_ONCE : NO_WISH;
  const [lone] = decode;
  // With it all streams would be lost, and while it is full nobody can go on with what prefill engines read.
  const loneIsFull = decode.length === 1 && lone !== undefined && lone.running > lone.slots * LONE_FULL_SHARE;
  if (loneIsFull && prefill.length > 1) return DECODE_AT_ONCE;
  const load: Load = {
    readTokensPerMs,
    eventsPerMs: eventsPerMs(decode),
    slots: Math.max(1, Math.min(...decode.map((engine) => engine.slots))),
  };
  const present = strain(load, prefill.length, decode.length);
  const engines = prefill.length + decode.length;
  const spared = decode.length - 1 >= Math.max(LEAST_DECODE.engines, engines * LEAST_DECODE.share);
  const more = spared ? strain(load, prefill.length + 1, decode.length - 1) : present;
  const less = prefill.length > 1 ? strain(load, prefill.length - 1, decode.length + 1) : present;
  const best = Math.min(more, less);
  if (present - best < Math.max(WORTHWHILE.strain, WORTHWHILE.share * present)) return NO_WISH;
  if (more <= less) return { role: directories.EngineRole.Prefill, urgent: false };
  const full = streamsAt(load, decode.length) > load.slots * STEEP_FROM;
  return { role: directories.EngineRole.Decode, urgent: full };
}

/**
 * Decode engines that always remain, as a number and as a share of all. The next swing of the mix comes within
 * seconds, and decode engines can read prompts in it while prefill engines can't make tokens: with a third of the
 * engines left to decode, a burst of long answers put 128 streams on one engine.
 */
const LEAST_DECODE = { engines: 2, share: 0.5 };

interface Load {
  readonly readTokensPerMs: number;
  /** Tokens of all streams that the decode engines make in a millisecond. */
  readonly eventsPerMs: number;
  readonly slots: number;
}

/** Tokens that the streams ask for, from how many run now and how fast an engine with that many makes tokens. */
function eventsPerMs(decode: readonly BalancedEngine[]): number {
  const running = streams(decode);
  const each = running / decode.length;
  return running / (STEP_MS.base + STEP_MS.perStream * each);
}

/** How hard a split of the engines is pressed by reading and by streams: the sum of both queues' expected lengths. */
function strain(load: Load, prefill: number, decode: number): number {
  const streamsEach = streamsAt(load, decode);
  const decodeReads = DECODE_PIECE_TOKENS / (DECODE_PIECE_TOKENS / DECODE_TOKENS_PER_MS + stepMs(streamsEach));
  const capacity = prefill * PREFILL_TOKENS_PER_MS + decode * decodeReads * READING_SHARE_OF_DECODE;
  return queueLength(load.readTokensPerMs / capacity) + queueLength(streamsEach / load.slots);
}

/** Streams at each decode engine if there were so many: fewer engines make tokens more slowly, so streams last longer. */
function streamsAt(load: Load, decode: number): number {
  const each = load.eventsPerMs / decode;
  const utilization = each * STEP_MS.perStream;
  if (utilization >= 1) return Number.POSITIVE_INFINITY;
  return (each * STEP_MS.base) / (1 - utilization);
}

function stepMs(streamsEach: number): number {
  return STEP_MS.base + STEP_MS.perStream * streamsEach;
}

function queueLength(utilization: number): number {
  const bounded = Math.min(utilization, STEEP_FROM);
  return bounded / (1 - bounded) + Math.min(MOST_STEEP, Math.max(0, utilization - STEEP_FROM)) * STEEPNESS;
}

/** Utilization beyond which a split is as bad as it can be. */
const MOST_STEEP = 4;

function streams(engines: readonly BalancedEngine[]): number {
  return engines.reduce((sum, engine) => sum + engine.running, 0);
}

/** Time over which a rate is averaged, in milliseconds. */
const RATE_TIME_MS = 3_000;

/** Time for which a rate has to be watched before it is more than its first requests, in milliseconds. */
const LEAST_WATCHED_MS = 500;

/** A rate that fades: what came long ago counts less and less. */
export class FadingRate {
  #sum = 0;
  #at = 0;
  #firstAt: number | undefined;

  /**
   * @param amount - what came
   * @param now - when it came, in milliseconds
   */
  add(amount: number, now: number): void {
    this.#firstAt ??= now;
    this.#fade(now);
    this.#sum += amount;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns the amount that comes in a millisecond, from the first that came on
   */
  perMs(now: number): number {
    if (this.#firstAt === undefined) return 0;
    this.#fade(now);
    const watchedMs = Math.max(LEAST_WATCHED_MS, now - this.#firstAt);
    return this.#sum / (RATE_TIME_MS * (1 - Math.exp(-watchedMs / RATE_TIME_MS)));
  }

  #fade(now: number): void {
    this.#sum *= Math.exp(-Math.max(0, now - this.#at) / RATE_TIME_MS);
    this.#at = now;
  }
}
