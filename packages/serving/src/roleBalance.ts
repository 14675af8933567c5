import * as decayingPeaks from "./decayingPeak.js";
import * as roleShares from "./distance/roleShares.js";
import * as directories from "./endpointDirectory.js";
import type * as engineSpeeds from "./engineSpeeds.js";

/** A change of one engine's role. */
export interface RoleChange {
  readonly endpointId: string;
  /** The new role. */
  readonly role: directories.EngineRole;
  /** Number of prefill engines that the present prompts keep busy. */
  readonly readingLoad: number;
  /** Present streams per decode engine. */
  readonly streamsPerEngine: number;
}

/** An engine as the balance sees it. */
export interface BalancedEngine {
  readonly id: string;
  readonly role: directories.EngineRole;
  /** Requests in progress there, from all daemons. */
  readonly running: number;
  /** Requests that it serves at once. */
  readonly slots: number;
  /** Share of its usual work that it takes, below 1 if it limits its requests; 1 by default. */
  readonly capacityShare?: number;
  /** Whether it is unavailable for a change of its role; {@link BalancedEngine.role} is then the new one. */
  readonly changing?: boolean;
  /** Its region; left out in a deployment of one region. */
  readonly region?: string | undefined;
  /** Instant in milliseconds of its last failure to answer a role change, unless it has answered since. */
  readonly failedAt?: number | undefined;
}

/** State of the last decision, for the log. */
export interface RoleOutlook {
  /** Role of which one more engine is wanted; none if the split may stay. */
  readonly wanted: directories.EngineRole;
  /** Whether the change can't wait for the usual cooldown. */
  readonly urgent: boolean;
  readonly prefill: number;
  readonly decode: number;
  /** Time for which the same role has been wanted, in milliseconds. */
  readonly heldMs: number;
  /** Remaining cooldown after the last change, in milliseconds. */
  readonly cooldownMs: number;
}

/** What is known at one moment. */
export interface BalanceInputs {
  readonly engines: readonly BalancedEngine[];
  /** Number of prefill engines that all callers' prompts keep busy. */
  readonly readingLoad: number;
  /** Events per millisecond that all callers' streams ask for, as far as it is known before they start. */
  readonly eventsPerMs: number;
  /** How fast the engines work. */
  readonly speeds: Pick<engineSpeeds.EngineSpeeds, "pause" | "decodeReadingShare">;
  /** Number of streams that fit into one engine's memory. */
  readonly streamCapacity: number;
  readonly now: number;
}

/** Share of a decode engine's time that prefills may take: with more of it, long answers miss their deadline. */
const MAX_PREFILL_SHARE_OF_DECODE = 0.35;

/**
 * Minimum reduction of the queue length by another split, absolute and as a share of the present length: each change
 * makes an engine unavailable for some seconds.
 */
const MIN_IMPROVEMENT = { queueLength: 0.35, share: 0.2 };

/** Utilization above which an overload is assumed: the queue length then grows linearly and steeply. */
const OVERLOAD_UTILIZATION = 0.9;
const OVERLOAD_SLOPE = 100;

/** Occupancy from which a single decode engine gets another one beside it, as a share of its slots. */
const SINGLE_FULL_SHARE = 0.6;

/** Time for which a role must be wanted before a change, in milliseconds, so that bursts of a second are ignored. */
const HOLD_MS = 1_500;

/**
 * Hold time and cooldown in milliseconds for urgent changes: when streams have
 * outgrown the decode engines, prefilled prompts can't continue until another
 * engine helps; when prompts arrive faster than all engines prefill them, each
 * second of waiting makes a second's prompts late.
 */
const URGENT_HOLD_MS = 500;
const URGENT_COOLDOWN_MS = 3_000;

/**
 * Minimum time between two changes: an engine that changes first finishes its streams and is then unavailable for some
 * seconds, and until then the load doesn't show the effect of the change. The full time holds up to a number of engines;
 * in a larger fleet one engine is a smaller part, so the cooldown is proportionally shorter.
 */
const COOLDOWN = { fullMs: 9_000, fullUpToEngines: 6, minMs: 1_000 };

/**
 * Consecutive changes to the same role: cooldown between two of them and time within which the next one belongs to the
 * series, in milliseconds, and maximum share of the engines that may be changing at once. The first split after a start
 * may be wrong by half of the engines; with one change in several seconds, prompts would queue for most of a minute.
 */
const SERIES = { cooldownMs: 250, withinMs: 5_000, changingShare: 0.35 };

/**
 * Balances the roles of one service's engines. The mix swings between long prompts
 * and long answers, and engines crash or are removed, so that one role can lack
 * engines while the other has some to spare. The balance compares the expected
 * queue length of the present split with that of every other, from the utilization
 * of prefill and of the streams' slots, and changes one engine after the other
 * towards the best. It avoids needless changes: a role must be wanted for some
 * time, the change must pay, and a cooldown follows it. A decode role without any
 * engine is filled at once, as nothing can be served without it.
 */
export class RoleBalance {
  #wantedSince = 0;
  #wantedRole = directories.EngineRole.None;
  #changedAt = Number.NEGATIVE_INFINITY;
  #changedTo = directories.EngineRole.None;
  #outlook: RoleOutlook | undefined;
  /** A quiet moment between two bursts is no reason to give decode engines away. */
  readonly #peak = new decayingPeaks.DecayingPeak(PEAK_DECAY_MS);

  /** @returns state of the last decision, or undefined before the first */
  get outlook(): RoleOutlook | undefined {
    return this.#outlook;
  }

  /**
   * @param now - instant at which a change was made, here or at another daemon, in milliseconds
   * @param role - the engine's new role, if it is known
   */
  recordChange(now: number, role = directories.EngineRole.None): void {
    if (now >= this.#changedAt) this.#changedTo = role;
    this.#changedAt = Math.max(this.#changedAt, now);
    this.putOff();
  }

  /** Restarts the hold time after an attempted change that failed; it counts from the next decision on. */
  putOff(): void {
    this.#wantedRole = directories.EngineRole.None;
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
    if (wanted !== this.#wantedRole || wanted === directories.EngineRole.None) {
      this.#wantedRole = wanted;
      this.#wantedSince = now;
    }
    const isSeries = wanted === this.#changedTo && now - this.#changedAt < SERIES.withinMs;
    const usualCooldownMs = Math.min(urgent ? URGENT_COOLDOWN_MS : COOLDOWN.fullMs, fleetCooldownMs(engines.length));
    const cooldownUntil = this.#changedAt + (isSeries ? SERIES.cooldownMs : usualCooldownMs);
    const cooldownMs = decode.length > 0 ? Math.max(0, cooldownUntil - now) : 0;
    const heldMs = now - this.#wantedSince;
    this.#outlook = { wanted, urgent, prefill: prefill.length, decode: decode.length, heldMs, cooldownMs };
    if (wanted === directories.EngineRole.None) return undefined;
    if (cooldownMs > 0) return undefined;
    const holdMs = urgent ? URGENT_HOLD_MS : HOLD_MS;
    if (heldMs < (isSeries ? SERIES.cooldownMs : holdMs)) return undefined;
    if (decode.length > 0 && tooManyChanging(engines)) return undefined;
    const from = wanted === directories.EngineRole.Prefill ? decode : prefill;
    const chosen = from.filter((engine) => engine.changing !== true).sort(byPreference(engines, wanted))[0];
    if (chosen === undefined) return undefined;
    return {
      endpointId: chosen.id,
      role: wanted,
      readingLoad: inputs.readingLoad,
      streamsPerEngine: runningStreams(decode) / Math.max(1, decode.length),
    };
  }

  #load(inputs: BalanceInputs, decode: readonly BalancedEngine[]): Load {
    const { readingLoad, speeds, streamCapacity, now } = inputs;
    const slots = Math.max(1, Math.min(streamCapacity, ...decode.map((engine) => engine.slots)));
    const { pause, decodeReadingShare } = speeds;
    const running = decode.length === 0 ? 0 : eventRate(decode, pause);
    const eventsPerMs = Math.max(running, inputs.eventsPerMs);
    return {
      readingLoad,
      eventsPerMs,
      peakEventsPerMs: this.#peak.update(eventsPerMs, now),
      slots,
      pause,
      decodeReadingShare,
    };
  }
}

function tooManyChanging(engines: readonly BalancedEngine[]): boolean {
  const changing = engines.filter((engine) => engine.changing === true).length;
  return changing >= Math.max(1, engines.length * SERIES.changingShare);
}

/**
 * Engines that take all of their work come first: a change of another one gains less. Of these, engines that have not
 * failed come first, then those whose failure is longest ago. Then come those of the region where the wanted role is
 * rarest.
 * An engine that doesn't answer gets no work, so it would stay the idlest for ever,
 * and every change would be attempted there. Among the others, the idlest comes
 * first, as it changes soonest.
 */
function byPreference(
  engines: readonly BalancedEngine[],
  wanted: directories.EngineRole,
): (left: BalancedEngine, right: BalancedEngine) => number {
  const shareIn = roleShares.roleShares(engines, wanted);
  return (left, right) => {
    const share = capacityOf([right]) - capacityOf([left]);
    if (share !== 0) return share;
    const failed = (left.failedAt ?? Number.NEGATIVE_INFINITY) - (right.failedAt ?? Number.NEGATIVE_INFINITY);
    if (left.failedAt !== right.failedAt) return failed;
    const rarer = shareIn(left.region) - shareIn(right.region);
    return rarer || left.running - right.running || (left.id < right.id ? -1 : 1);
  };
}

function fleetCooldownMs(engines: number): number {
  return Math.max(COOLDOWN.minMs, COOLDOWN.fullMs * Math.min(1, COOLDOWN.fullUpToEngines / Math.max(1, engines)));
}

interface WantedRole {
  readonly role: directories.EngineRole;
  /** Whether streams have outgrown the decode engines, or prompts outgrown all engines. */
  readonly urgent: boolean;
}

const NO_CHANGE: WantedRole = { role: directories.EngineRole.None, urgent: false };
const URGENT_DECODE: WantedRole = { role: directories.EngineRole.Decode, urgent: true };

function wantedRole(prefill: readonly BalancedEngine[], decode: readonly BalancedEngine[], load: Load): WantedRole {
  // This holds for the last engine too: a decode engine can prefill prompts, but a prefill engine can answer none, and
  // every prompt would be rejected until another engine joins.
  if (decode.length === 0) return prefill.length > 0 ? URGENT_DECODE : NO_CHANGE;
  const [single] = decode;
  // All streams would be lost with a single decode engine, and while it is full, prefilled prompts can't continue.
  const singleIsFull = decode.length === 1 && single !== undefined && single.running > single.slots * SINGLE_FULL_SHARE;
  if (singleIsFull && prefill.length > 1) return URGENT_DECODE;
  const capacity = { prefill: capacityOf(prefill), decode: capacityOf(decode) };
  const present = totalQueueLength(load, capacity.prefill, capacity.decode);
  const best = bestSplit(load, capacity.prefill + capacity.decode, capacity.decode);
  if (present - best.queueLength < Math.max(MIN_IMPROVEMENT.queueLength, MIN_IMPROVEMENT.share * present))
    return NO_CHANGE;
  if (best.decode < capacity.decode) {
    const urgent = load.readingLoad > prefillCapacity(load, capacity.prefill, capacity.decode);
    return { role: directories.EngineRole.Prefill, urgent };
  }
  const full = streamsPerEngineAt(load.eventsPerMs, load, capacity.decode) > load.slots * OVERLOAD_UTILIZATION;
  return { role: directories.EngineRole.Decode, urgent: full };
}

/** Number of engines that take all of their work and do as much as these. */
function capacityOf(engines: readonly BalancedEngine[]): number {
  return engines.reduce((sum, { capacityShare = 1 }) => sum + capacityShare, 0);
}

interface Split {
  readonly decode: number;
  readonly queueLength: number;
}

/** The split with the shortest queues; one with fewer decode engines than at present must leave enough of them. */
function bestSplit(load: Load, engines: number, presentDecode: number): Split {
  let best: Split = {
    decode: presentDecode,
    queueLength: totalQueueLength(load, engines - presentDecode, presentDecode),
  };
  // Whole engines change their roles, also beside engines that take a part of their work only.
  for (let decode = presentDecode % 1 || 1; decode < engines; decode++) {
    if (decode < presentDecode && !leavesEnough(load, decode)) continue;
    const split = { decode, queueLength: totalQueueLength(load, engines - decode, decode) };
    if (split.queueLength < best.queueLength) best = split;
  }
  return best;
}

/**
 * Whether so many decode engines can carry the next burst, which comes within
 * seconds, or the loss of one of them. With a third of six engines left to decode,
 * a burst of long answers put 128 streams on one engine; changing an engine back
 * takes seconds, and prefill engines can't generate tokens in the meantime.
 */
function leavesEnough(load: Load, decode: number): boolean {
  if (decode < MIN_DECODE_ENGINES) return false;
  const inBurst = streamsPerEngineAt(load.peakEventsPerMs * BURST_FACTOR, load, decode);
  const afterLoss = streamsPerEngineAt(load.peakEventsPerMs, load, decode - 1);
  return Math.max(inBurst, afterLoss) <= load.slots * OVERLOAD_UTILIZATION;
}

/** Number of decode engines that always remain: the loss of a single one would be the loss of all streams. */
const MIN_DECODE_ENGINES = 2;

/** Multiple of the recent peak rate that the decode engines should carry: bursts of one kind of request reach 1.9. */
const BURST_FACTOR = 1.5;

/** The load on the engines, and their capacity. */
interface Load {
  readonly readingLoad: number;
  /** Events per millisecond of all streams. */
  readonly eventsPerMs: number;
  /** The recent peak of that rate. */
  readonly peakEventsPerMs: number;
  /** Streams that one decode engine can serve. */
  readonly slots: number;
  readonly pause: engineSpeeds.EngineSpeeds["pause"];
  readonly decodeReadingShare: number;
}

/** Time constant of the decay of the peak event rate, in milliseconds: it spans several swings of the mix. */
const PEAK_DECAY_MS = 12_000;

/** Events per millisecond of the running streams, from their number and the speed of an engine with that many. */
function eventRate(decode: readonly BalancedEngine[], pause: Load["pause"]): number {
  const running = runningStreams(decode);
  return running / (pause.baseMs + pause.perStreamMs * (running / decode.length));
}

/** Sum of the expected queue lengths of prefill and of decoding with a split of the engines. */
function totalQueueLength(load: Load, prefill: number, decode: number): number {
  const streamsPerEngine = streamsPerEngineAt(load.eventsPerMs, load, decode);
  const capacity = prefillCapacity(load, prefill, decode);
  return queueLength(load.readingLoad / capacity) + queueLength(streamsPerEngine / load.slots);
}

/** Prefill capacity of a split, decode engines included, in prefill engines. */
function prefillCapacity(load: Load, prefill: number, decode: number): number {
  return prefill + decode * load.decodeReadingShare * MAX_PREFILL_SHARE_OF_DECODE;
}

/** Streams per engine with so many decode engines: with fewer of them each is slower, so that streams last longer. */
function streamsPerEngineAt(eventsPerMs: number, load: Load, decode: number): number {
  const perEngine = eventsPerMs / decode;
  const utilization = perEngine * load.pause.perStreamMs;
  if (utilization >= 1) return Number.POSITIVE_INFINITY;
  return (perEngine * load.pause.baseMs) / (1 - utilization);
}

/** Mean length of a queue at that utilization, extended linearly where it would grow without bound. */
function queueLength(utilization: number): number {
  const bounded = Math.min(utilization, OVERLOAD_UTILIZATION);
  return (
    bounded / (1 - bounded) + Math.min(MAX_EXCESS, Math.max(0, utilization - OVERLOAD_UTILIZATION)) * OVERLOAD_SLOPE
  );
}

/** Excess utilization beyond which a split does not count as any worse. */
const MAX_EXCESS = 4;

function runningStreams(engines: readonly BalancedEngine[]): number {
  return engines.reduce((sum, engine) => sum + engine.running, 0);
}
