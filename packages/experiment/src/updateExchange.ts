import type * as serving from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import type * as emulatedDaemons from "./emulatedDaemon.js";
import type * as regionsModule from "./regions.js";
import type * as virtualTimes from "./virtualTime.js";

/** What a daemon reports once. */
interface Deltas {
  readonly reads: serving.PartRead[];
  readonly observations: serving.SharedObservation[];
  readonly sizes: serving.SizeCount[];
}

/** Sends each daemon's work and observations to the others: within a region and, less often, between regions. */
export class UpdateExchange {
  readonly #daemons: readonly emulatedDaemons.EmulatedDaemon[];
  readonly #description: descriptions.Description;
  readonly #regions: regionsModule.EmulatedRegions;
  readonly #time: virtualTimes.VirtualTime;
  /** Deltas that other regions have not got yet, by daemon. */
  #unsentToDistant = new Map<string, Deltas>();
  #distantSentAt = Number.NEGATIVE_INFINITY;

  /**
   * @param daemons - all daemons
   * @param description - the intervals
   * @param regions - the network between them
   * @param time - the virtual time of the experiment
   */
  constructor(
    daemons: readonly emulatedDaemons.EmulatedDaemon[],
    description: descriptions.Description,
    regions: regionsModule.EmulatedRegions,
    time: virtualTimes.VirtualTime,
  ) {
    this.#daemons = daemons;
    this.#description = description;
    this.#regions = regions;
    this.#time = time;
  }

  /** Sends updates now, and again at the interval of the description. */
  start(): void {
    const { now } = this.#time;
    const distantMs = this.#description.regions?.distantViewAgeMs ?? 0;
    const isDistantDue = now - this.#distantSentAt >= distantMs;
    if (isDistantDue) this.#distantSentAt = now;
    for (const daemon of this.#daemons) this.#send(daemon, isDistantDue);
    if (isDistantDue) {
      this.#unsentToDistant = new Map();
      this.#measure();
    }
    this.#time.after(this.#description.viewAgeMs, () => this.start());
  }

  #send(daemon: emulatedDaemons.EmulatedDaemon, isDistantDue: boolean): void {
    const { now } = this.#time;
    const work = daemon.loads.ownWork();
    const paces = daemon.pacing.takePaces();
    const near: Deltas = {
      reads: withoutRepetitions(daemon.loads.takeUnsentReads()),
      observations: daemon.speeds.takeUnsentObservations(),
      sizes: daemon.acceptance.takeUnsentCounts(),
    };
    const unsent = this.#unsentToDistant.get(daemon.name) ?? { reads: [], observations: [], sizes: [] };
    this.#unsentToDistant.set(daemon.name, unsent);
    unsent.reads.push(...near.reads);
    unsent.observations.push(...near.observations);
    unsent.sizes.push(...near.sizes);
    for (const other of this.#daemons) {
      const isNear = this.#regions.isSameRegion(daemon.dataCentre, other.dataCentre);
      if (other === daemon || !(isNear || isDistantDue)) continue;
      if (!this.#regions.isHeard(daemon.dataCentre, other.dataCentre)) continue;
      const { reads, observations, sizes } = isNear ? near : unsent;
      // Work between regions is valid for two of its intervals, as in the gateway.
      other.loads.updatePeerWork(daemon.name, work, now, isNear ? undefined : DISTANT_WORK_EXPIRY_MS);
      for (const pace of paces) other.pacing.tracker.notePeer(pace, now);
      for (const read of reads) other.loads.notePeerRead(read);
      for (const count of sizes) other.acceptance.addPeerCount(count, now);
      for (const { role, observation } of observations) other.speeds.learnPrefill(role, observation);
      other.meter?.noteReceived(daemon.dataCentre, daemon.name, now + 1, now);
    }
  }

  /** Echoes of a heartbeat that each daemon sends to each other data centre now. */
  #measure(): void {
    const { now } = this.#time;
    const dataCentres = new Set(this.#daemons.map(({ dataCentre }) => dataCentre));
    for (const { dataCentre, meter, name } of this.#daemons) {
      if (meter === undefined) continue;
      meter.update(now);
      meter.noteSent(now + 1, now);
      for (const other of dataCentres) {
        if (!this.#regions.isHeard(dataCentre, other)) continue;
        const echo = { vm: name, unixMs: now + 1, heldMs: 0 };
        this.#time.after(this.#regions.roundTripMs(dataCentre, other), () =>
          meter.noteEcho(other, echo, this.#time.now),
        );
      }
    }
  }
}

/** Time for which the work that a daemon of another region reported is valid, in milliseconds. */
const DISTANT_WORK_EXPIRY_MS = 860;

/**
 * @param reads - reads of one update, in order
 * @returns the last read of each part at each engine: earlier ones change neither what the engine caches nor its order
 */
function withoutRepetitions(reads: readonly serving.PartRead[]): serving.PartRead[] {
  const last = new Map<string, serving.PartRead>();
  for (const read of reads) {
    const key = `${read.endpointId} ${read.model} ${read.part.id}`;
    const isRead = read.isRead || last.get(key)?.isRead === true;
    last.delete(key);
    last.set(key, isRead === read.isRead ? read : { ...read, isRead });
  }
  return [...last.values()];
}
