import * as directories from "./endpointDirectory.js";
import type * as engineSpeeds from "./engineSpeeds.js";

/** A change of one engine's role. */
export interface RoleChange {
  readonly endpointId: string;
  readonly role: directories.EngineRole;
  /** Prefill engines that reading keeps busy now. */
  readonly readingLoad: number;
  /** Streams for each decode engine now. */
  readonly streamsPerEngine: number;
}

/** An engine as the balance sees it. */
export interface BalancedEngine {
  readonly id: string;
  readonly role: directories.EngineRole;
  /** Requests under way there, from all daemons. */
  readonly running: number;
  /** Requests that it serves at once. */
  readonly slots: number;
  /** Whether it is away for a change of its role; {@link BalancedEngine.role} is the one to come. */
  readonly changing?: boolean;
  /** Instant in milliseconds at which it was last asked in vain, if it was and has not answered since. */
  readonly failedAt?: number | undefined;
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
  readonly cooldownMs: number;
}

/** What is known at one moment. */
export interface BalanceInputs {
  readonly engines: readonly BalancedEngine[];
  /** Prefill engines that reading all callers' prompts keeps busy. */
  readonly readingLoad: number;
  /** Events that all callers' streams ask for in a millisecond, as far as it is known before they begin. */
  readonly eventsPerMs: number;
  /** How fast the engines work. */
  readonly speeds: Pick<engineSpeeds.EngineSpeeds, "pause" | "decodeReadingShare">;
  /** Streams for which one engine has memory. */
  readonly streamCapacity: number;
  readonly now: number;
}

/** Share of a decode engine's time that reading may take: with more of it, long answers miss their deadline. */
const READING_SHARE_OF_DECODE = 0.35;

/** Strain that another split must save for its changes to be worth engines that are away for some seconds. */
const WORTHWHILE = { strain: 0.35, share: 0.2 };

/** Utilization above which strain no longer follows a queue's length but grows steeply and without bound. */
const STEEP_FROM = 0.9;
const STEEPNESS = 100;

/** Streams at a lone decode engine from which it gets another beside it, as a share of its slots. */
const LONE_FULL_SHARE = 0.6;

/** Time for which a reason must hold before a change, in milliseconds: a burst of a second is no reason. */
const REASON_HOLDS_MS = 1_500;

/**
 * The same two times in milliseconds where streams have outgrown the decode
 * engines, as nothing that is read can be gone on with until another one helps,
 * and where prompts come faster than all engines read them, as each second of
 * waiting makes a second's prompts late.
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
 * Changes to the same role that follow each other: the rest between two of them and the time within which the next one
 * belongs to them, in milliseconds, and the share of the engines that may be away at once. The first split after a start may be wrong by half of the engines; one change in several seconds would leave prompts
 * queueing for most of a minute.
 */
const SERIES = { restMs: 250, withinMs: 5_000, awayShare: 0.35 };

/**
 * The load it answers: the mix swings between long prompts and long answers, and
 * engines crash or are taken away, so that one role is short of engines while
 * the other has some to spare. It compares the strain of the present split with
 * that of every other, from the utilization of reading and of the streams'
 * slots, and goes there one engine after the other. Few changes: a reason has to
 * hold, must pay, and changes of mind rest. A role that has no engine left is
 * filled at once, as nothing can be served without it.
 */
export class RoleBalance {
  #reasonSince = 0;
  #reasonRole = directories.EngineRole.None;
  #changedAt = Number.NEGATIVE_INFINITY;
  #changedTo = directories.EngineRole.None;
  #outlook: RoleOutlook | undefined;
  readonly #peak = new EventPeak();

  /** @returns what the last decision rested on, once there was one */
  get outlook(): RoleOutlook | undefined {
    return this.#outlook;
  }

  /**
   * @param now - instant at which a change, here or at another daemon, was made, in milliseconds
   * @param role - the engine's role to come, if it is known
   */
  recordChange(now: number, role = directories.EngineRole.None): void {
    if (now >= this.#changedAt) this.#changedTo = role;
    this.#changedAt = Math.max(this.#changedAt, now);
    this.putOff();
  }

  /** A change was tried and came to nothing: it is tried again once the reason has held anew, from the next look on. */
  putOff(): void {
    this.#reasonRole = directories.EngineRole.None;
  }

  /**
   * @param inputs - what is known now
   * @returns a change that is due, or undefined
   */
  decide(inputs: BalanceInputs): RoleChange | undefined {
    const { engines, now } = inputs;
    const prefill = engines.filter((engine) => engine.role === directories.EngineRole.Prefill);
    const decode = engines.filter((engine) => engine.role === directories.EngineRole.Decode);
    const load = this.#load(inputs, decode);
    const { role: wanted, urgent } = wantedRole(prefill, decode, load);
    if (wanted !== this.#reasonRole || wanted === directories.EngineRole.None) {
      this.#reasonRole = wanted;
      this.#reasonSince = now;
    }
    const goesOn = wanted === this.#changedTo && now - this.#changedAt < SERIES.withinMs;
    const usualRestMs = Math.min(urgent ? URGENT_REST_MS : REST_MS.ofFleet, restMs(engines.length));
    const restUntil = this.#changedAt + (goesOn ? SERIES.restMs : usualRestMs);
    const restLeftMs = decode.length > 0 ? Math.max(0, restUntil - now) : 0;
    const heldMs = now - this.#reasonSince;
    this.#outlook = { wanted, urgent, prefill: prefill.length, decode: decode.length, heldMs, cooldownMs: restLeftMs };
    if (wanted === directories.EngineRole.None) return undefined;
    if (restLeftMs > 0) return undefined;
    const holdsMs = urgent ? URGENT_HOLDS_MS : REASON_HOLDS_MS;
    if (heldMs < (goesOn ? SERIES.restMs : holdsMs)) return undefined;
    if (decode.length > 0 && tooManyAway(engines)) return undefined;
    const from = wanted === directories.EngineRole.Prefill ? decode : prefill;
    const chosen = from.filter((engine) => engine.changing !== true).sort(byReadiness)[0];
    if (chosen === undefined) return undefined;
    return {
      endpointId: chosen.id,
      role: wanted,
      readingLoad: inputs.readingLoad,
      streamsPerEngine: streams(decode) / Math.max(1, decode.length),
    };
  }

  #load(inputs: BalanceInputs, decode: readonly BalancedEngine[]): Load {
    const { readingLoad, speeds, streamCapacity: streamsInMemory, now } = inputs;
    const slots = Math.max(1, Math.min(streamsInMemory, ...decode.map((engine) => engine.slots)));
    const { pause, decodeReadingShare } = speeds;
    const running = decode.length === 0 ? 0 : eventRate(decode, pause);
    const eventsPerMs = Math.max(running, inputs.eventsPerMs);
    return {
      readingLoad,
      eventsPerMs,
      peakEventsPerMs: this.#peak.follow(eventsPerMs, now),
      slots,
      pause,
      decodeReadingShare,
    };
  }
}

function tooManyAway(engines: readonly BalancedEngine[]): boolean {
  const away = engines.filter((engine) => engine.changing === true).length;
  return away >= Math.max(1, engines.length * SERIES.awayShare);
}

/**
 * Those that were not asked in vain first, then by how long ago that was: an
 * engine that answers nothing gets no work, so it would be the idlest for ever,
 * and every change would be tried there. Of the others the idlest, as it changes
 * soonest.
 */
function byReadiness(left: BalancedEngine, right: BalancedEngine): number {
  const failed = (left.failedAt ?? Number.NEGATIVE_INFINITY) - (right.failedAt ?? Number.NEGATIVE_INFINITY);
  if (left.failedAt !== right.failedAt) return failed;
  return left.running - right.running || (left.id < right.id ? -1 : 1);
}

function restMs(engines: number): number {
  return Math.max(REST_MS.least, REST_MS.ofFleet * Math.min(1, REST_MS.fleet / Math.max(1, engines)));
}

interface Wish {
  readonly role: directories.EngineRole;
  /** Whether streams have outgrown the decode engines, or reading all engines. */
  readonly urgent: boolean;
}

const NO_WISH: Wish = { role: directories.EngineRole.None, urgent: false };
const DECODE_AT_ONCE: Wish = { role: directories.EngineRole.Decode, urgent: true };

function wantedRole(prefill: readonly BalancedEngine[], decode: readonly BalancedEngine[], load: Load): Wish {
  // Also the last engine that is left: a decode engine can read prompts, a prefill engine can answer none, and every
  // prompt would be turned away for as long as no other engine joins.
  if (decode.length === 0) return prefill.length > 0 ? DECODE_AT_ONCE : NO_WISH;
  const [lone] = decode;
  // With it all streams would be lost, and while it is full nobody can go on with what prefill engines read.
  const loneIsFull = decode.length === 1 && lone !== undefined && lone.running > lone.slots * LONE_FULL_SHARE;
  if (loneIsFull && prefill.length > 1) return DECODE_AT_ONCE;
  const engines = prefill.length + decode.length;
  const present = strain(load, prefill.length, decode.length);
  const best = leastStrained(load, engines, decode.length);
  if (present - best.strain < Math.max(WORTHWHILE.strain, WORTHWHILE.share * present)) return NO_WISH;
  if (best.decode < decode.length) {
    const urgent = load.readingLoad > readingCapacity(load, prefill.length, decode.length);
    return { role: directories.EngineRole.Prefill, urgent };
  }
  const full = streamsAt(load.eventsPerMs, load, decode.length) > load.slots * STEEP_FROM;
  return { role: directories.EngineRole.Decode, urgent: full };
}

interface Split {
  readonly decode: number;
  readonly strain: number;
}

/** The split with the least strain; one with fewer decode engines than now must leave enough of them. */
function leastStrained(load: Load, engines: number, presentDecode: number): Split {
  let best: Split = { decode: presentDecode, strain: strain(load, engines - presentDecode, presentDecode) };
  for (let decode = 1; decode < engines; decode++) {
    if (decode < presentDecode && !leavesEnough(load, decode)) continue;
    const split = { decode, strain: strain(load, engines - decode, decode) };
    if (split.strain < best.strain) best = split;
  }
  return best;
}

/**
 * Whether so many decode engines carry the next swing of the mix, which comes
 * within seconds, or the loss of one of them. With a third of six engines left to
 * decode, a burst of long answers put 128 streams on one engine; a change back
 * takes seconds, and prefill engines can't make tokens in the meantime.
 */
function leavesEnough(load: Load, decode: number): boolean {
  if (decode < LEAST_DECODE) return false;
  const swung = streamsAt(load.peakEventsPerMs * SWING, load, decode);
  const afterLoss = streamsAt(load.peakEventsPerMs, load, decode - 1);
  return Math.max(swung, afterLoss) <= load.slots * STEEP_FROM;
}

/** Decode engines that always remain: with one, its loss would be that of all streams. */
const LEAST_DECODE = 2;

/** Multiple of the most streams of late that the decode engines should carry: bursts of one kind of request reach 1.9. */
const SWING = 1.5;

/** The load on the engines, and what they can do. */
interface Load {
  readonly readingLoad: number;
  /** Events of all streams that the decode engines make in a millisecond. */
  readonly eventsPerMs: number;
  /** The same, the most of late. */
  readonly peakEventsPerMs: number;
  readonly slots: number;
  readonly pause: engineSpeeds.EngineSpeeds["pause"];
  readonly decodeReadingShare: number;
}

/** Time in which a peak fades, in milliseconds: several swings of the mix. */
const PEAK_TIME_MS = 12_000;

/** The most events of late: a quiet moment between two bursts is no reason to give decode engines away. */
class EventPeak {
  #peak = 0;
  #at = 0;

  follow(eventsPerMs: number, now: number): number {
    this.#peak = Math.max(eventsPerMs, this.#peak * Math.exp(-Math.max(0, now - this.#at) / PEAK_TIME_MS));
    this.#at = now;
    return this.#peak;
  }
}

/** Events that the streams ask for, from how many run now and how fast an engine with that many makes events. */
function eventRate(decode: readonly BalancedEngine[], pause: Load["pause"]): number {
  const running = streams(decode);
  return running / (pause.baseMs + pause.perStreamMs * (running / decode.length));
}

/** How hard a split of the engines is pressed by reading and by streams: the sum of both queues' expected lengths. */
function strain(load: Load, prefill: number, decode: number): number {
  const streamsEach = streamsAt(load.eventsPerMs, load, decode);
  const capacity = readingCapacity(load, prefill, decode);
  return queueLength(load.readingLoad / capacity) + queueLength(streamsEach / load.slots);
}

/** Prefill engines that would read as much as this split does. */
function readingCapacity(load: Load, prefill: number, decode: number): number {
  return prefill + decode * load.decodeReadingShare * READING_SHARE_OF_DECODE;
}

/** Streams at each decode engine if there were so many: fewer engines make events more slowly, so streams last longer. */
function streamsAt(eventsPerMs: number, load: Load, decode: number): number {
  const each = eventsPerMs / decode;
  const utilization = each * load.pause.perStreamMs;
  if (utilization >= 1) return Number.POSITIVE_INFINITY;
  return (each * load.pause.baseMs) / (1 - utilization);
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
