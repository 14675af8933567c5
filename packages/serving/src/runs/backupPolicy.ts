import * as directories from "../endpointDirectory.js";
import type * as movePolicies from "./movePolicy.js";

/** Expected duration below which a stream gets no backup, in milliseconds: shorter ones have nearly ended before a loss is detected. */
const MIN_EXPECTED_MS = 1_000;

/**
 * Time for which an engine counts as likely to be lost after it, or its predecessor at its address, has ended or was suspected, in
 * milliseconds: a fault of a VM or its software shows again within it, and a stream may last as long.
 */
const UNRELIABLE_MS = 30_000;

/** Maximum number of addresses whose engines count as unreliable; the oldest is dropped first. */
const MAX_UNRELIABLE = 1_024;

/** Share of an engine's memory that the backups of all daemons may take, so that it still serves its own streams. */
const MEMORY_SHARE = 0.1;

/** Maximum number of backups, those included whose run is over but whose copy may still be kept. */
const MAX_RESERVATIONS = 4_096;

/** A stream that is about to be sent to an engine. */
export interface BackupCandidate {
  /** Whether it may run again at another engine, which needs no copy. */
  readonly isRepeatable: boolean;
  /** Time that the whole stream is expected to take in milliseconds; undefined if that isn't known. */
  readonly expectedMs: number | undefined;
  /** Tokens that it holds at most: prompt and requested output. */
  readonly tokens: number;
}

/** An engine that may keep the copy. */
export interface BackupDestination extends movePolicies.Destination {
  /** Time of a transfer from the first engine, in multiples of the time of one within a data centre. */
  readonly transferFactor: number;
}

/** What limits the backups at one engine. */
export interface BackupBounds {
  /** Tokens that an engine's memory can hold. */
  readonly memoryTokens: number;
  readonly liveDaemons: number;
}

/** Memory of an engine that a backup takes. */
export interface BackupReservation {
  readonly engineId: string;
  readonly tokens: number;
}

/**
 * Decides which streams get a copy at a second engine, and where.
 *
 * Load pattern: many engines are lost at once, as 17 of 100, or all reclaimable ones of a data centre that are withdrawn together.
 * Callers of streams that can't be repeated lose what they have got. Copies cost memory and transfers, so only streams on
 * engines that are likely to be lost get one.
 */
export class BackupPolicy {
  /** Instants until which the engines at an address count as likely to be lost, in milliseconds. */
  readonly #unreliableUntil = new Map<string, number>();
  /** Backups, and the instant until which the copy of a run that is over may be kept, in milliseconds. */
  readonly #reservations = new Map<BackupReservation, number>();

  /**
   * @param address - address of an engine that has ended or is suspected
   * @param now - current instant in milliseconds
   */
  noteUnreliable(address: string, now: number): void {
    this.#unreliableUntil.delete(address);
    this.#unreliableUntil.set(address, now + UNRELIABLE_MS);
    const [oldest] = this.#unreliableUntil.keys();
    if (oldest !== undefined && this.#unreliableUntil.size > MAX_UNRELIABLE) this.#unreliableUntil.delete(oldest);
  }

  /**
   * @param engine - an engine
   * @param now - current instant in milliseconds
   * @returns whether it, or its predecessor at its address, has ended or was suspected lately
   */
  isUnreliable({ address }: directories.Endpoint, now: number): boolean {
    const until = this.#unreliableUntil.get(address);
    if (until === undefined) return false;
    if (now < until) return true;
    this.#unreliableUntil.delete(address);
    return false;
  }

  /**
   * @param stream - a stream
   * @param engine - the engine that it is sent to
   * @param now - current instant in milliseconds
   * @returns whether a copy is to be kept of it; a stream of unknown duration counts as long
   */
  needsBackup({ expectedMs, isRepeatable }: BackupCandidate, engine: directories.Endpoint, now: number): boolean {
    if (isRepeatable || (expectedMs !== undefined && expectedMs < MIN_EXPECTED_MS)) return false;
    return engine.reclaimable === true || this.isUnreliable(engine, now);
  }

  /**
   * @param stream - a stream that needs a backup
   * @param engine - the engine that it is sent to
   * @param destinations - the engines that take new work
   * @param bounds - what limits the backups at one engine
   * @param now - current instant in milliseconds
   * @returns the nearest suitable engine, of those the least occupied; undefined if there is none
   */
  chooseBackup(
    stream: BackupCandidate,
    engine: directories.Endpoint,
    destinations: readonly BackupDestination[],
    bounds: BackupBounds,
    now: number,
  ): directories.Endpoint | undefined {
    if (this.#reservedCount(now) >= MAX_RESERVATIONS) return undefined;
    const reserved = this.#reservedTokens();
    const limit = (bounds.memoryTokens * MEMORY_SHARE) / Math.max(1, bounds.liveDaemons);
    const suitable = destinations.filter(({ endpoint, freeTokens, running }) => {
      const taken = (reserved.get(endpoint.id) ?? 0) + stream.tokens;
      // Also for the first copy: one of a long prompt from each of dozens of daemons would fill the engine's memory.
      const isWithinShare = taken <= limit;
      const hasRoom = running < endpoint.slots && freeTokens >= taken;
      return isOfSameKind(engine, endpoint) && !this.#isLostAlike(engine, endpoint, now) && hasRoom && isWithinShare;
    });
    const occupancy = ({ endpoint, running }: BackupDestination): number => running / endpoint.slots;
    const [best] = suitable.sort(
      (left, right) => left.transferFactor - right.transferFactor || occupancy(left) - occupancy(right),
    );
    return best?.endpoint;
  }

  /**
   * @param engineId - the engine that keeps a copy from now on
   * @param tokens - tokens that the copy takes at most
   * @returns the reservation, which lasts until it is released
   */
  reserve(engineId: string, tokens: number): BackupReservation {
    const reservation = { engineId, tokens };
    this.#reservations.set(reservation, Number.POSITIVE_INFINITY);
    return reservation;
  }

  /**
   * @param reservation - a reservation whose run is over, or has gone on elsewhere
   * @param keptUntil - instant until which the engine may keep the copy in milliseconds; undefined if it has dropped it
   */
  release(reservation: BackupReservation, keptUntil?: number): void {
    if (keptUntil === undefined) this.#reservations.delete(reservation);
    else if (this.#reservations.has(reservation)) this.#reservations.set(reservation, keptUntil);
  }

  /** Whether both engines may well be lost together, or the second as soon as the first. */
  #isLostAlike(engine: directories.Endpoint, other: directories.Endpoint, now: number): boolean {
    const isWithdrawnTogether = other.reclaimable === true && other.dataCentre === engine.dataCentre;
    return isWithdrawnTogether || this.isUnreliable(other, now);
  }

  #reservedCount(now: number): number {
    for (const [reservation, until] of this.#reservations) if (until <= now) this.#reservations.delete(reservation);
    return this.#reservations.size;
  }

  #reservedTokens(): Map<string, number> {
    const reserved = new Map<string, number>();
    for (const { engineId, tokens } of this.#reservations.keys())
      reserved.set(engineId, (reserved.get(engineId) ?? 0) + tokens);
    return reserved;
  }
}

/** Whether a run of one engine can go on at another. */
function isOfSameKind(engine: directories.Endpoint, other: directories.Endpoint): boolean {
  return (
    other.id !== engine.id &&
    other.address !== engine.address &&
    other.service === engine.service &&
    other.role === engine.role &&
    engine.softwareVersion !== undefined &&
    other.softwareVersion === engine.softwareVersion
  );
}
