import type * as protobuf from "@bufbuild/protobuf";
import type * as messages from "@camphorcourse/protocol/gateway";
import type * as fleetViewUpdaters from "../fleetViewUpdater.js";
import * as peerWorks from "../peerWork.js";
import * as recentChangesModule from "../peers/recentChanges.js";
import * as distantPulses from "./distantPulses.js";
import type * as heartbeatDistances from "./heartbeatDistances.js";
import type * as publishedRecords from "./publishedRecords.js";
import * as workDeltas from "./workDeltas.js";
import type * as peerLinkParts from "../peers/peerLinkParts.js";

/** Shortest interval of the heartbeats with work to other regions, in milliseconds: links between regions are narrow. */
const DISTANT_HEARTBEAT_MS = 350;

/** Dependencies of {@link DistantHeartbeats}. */
export interface DistantHeartbeatsParts extends Pick<
  peerLinkParts.PeerLinkParts,
  "distances" | "isCutOff" | "isLinkLost" | "ready" | "suspects" | "view"
> {
  readonly work: peerWorks.PeerWork;
  readonly records: publishedRecords.PublishedRecords;
  readonly heartbeatDistances: heartbeatDistances.HeartbeatDistances;
}

/** The fields of a heartbeat. */
type PulseFields = protobuf.MessageInitShape<typeof messages.PulseSchema>;

/**
 * @param intervalMs - interval of the checks whether a heartbeat is due, in milliseconds
 * @returns longest time between two heartbeats to other regions, which are sent at one of the checks, in milliseconds
 */
export function distantIntervalMs(intervalMs: number): number {
  return Math.ceil(DISTANT_HEARTBEAT_MS / intervalMs) * intervalMs;
}

/** Decides when other regions are sent a heartbeat, and creates it. Without other regions, none is ever due. */
export class DistantHeartbeats {
  readonly #parts: DistantHeartbeatsParts;
  /** Heartbeats to other regions repeat changes less often than the others do, and so keep their own count. */
  readonly #changes: recentChangesModule.RecentChanges;
  /** Number of endpoints' departures and changed entries to announce so far. */
  #changedEndpoints = 0;
  #lastSentAt = 0;
  #lastState = "";
  #sequence = 0;

  /** @param parts - dependencies */
  constructor(parts: DistantHeartbeatsParts) {
    this.#parts = parts;
    this.#changes = new recentChangesModule.RecentChanges(parts.view);
  }

  /**
   * @param id - an endpoint that is leaving, gone or set aside
   * @param departure - which of these, and since when
   * @param now - current time in milliseconds
   */
  noteDeparture(id: string, departure: fleetViewUpdaters.Departure, now: number): void {
    if (this.#parts.distances === undefined) return;
    this.#changes.noteDeparture(id, departure, now);
    this.#changedEndpoints++;
  }

  /**
   * @param id - an endpoint whose entry has changed
   * @param now - current time in milliseconds
   */
  noteEntry(id: string, now: number): void {
    if (this.#parts.distances === undefined) return;
    this.#changes.noteEntry(id, now);
    this.#changedEndpoints++;
  }

  /**
   * @param now - current time in milliseconds
   * @returns whether other regions have to be sent a heartbeat: at the interval for work, and after a change of state at
   *   once
   */
  isDue(now: number): boolean {
    if (this.#parts.distances === undefined) return false;
    return now - this.#lastSentAt >= DISTANT_HEARTBEAT_MS || this.hasChanged(now);
  }

  /**
   * @param now - current time in milliseconds
   * @returns whether the state has changed that other regions have to learn at once
   */
  hasChanged(now: number): boolean {
    return this.#state(now) !== this.#lastState;
  }

  /**
   * @param now - current time in milliseconds
   * @param intervalMs - interval of the checks whether a heartbeat is due, in milliseconds
   * @param stateFields - creates the fields of this daemon's state with the changes of endpoints to announce
   * @returns the heartbeat to send now, in several messages if it exceeds a datagram
   */
  create(
    now: number,
    intervalMs: number,
    stateFields: (changes: recentChangesModule.RecentChanges) => PulseFields,
  ): messages.Pulse[] {
    const { records, work } = this.#parts;
    this.#lastSentAt = now;
    this.#lastState = this.#state(now);
    const state = {
      ...stateFields(this.#changes),
      ...records.take(workDeltas.Audience.Distant, now),
      ...work.createFields(workDeltas.Audience.Distant, now),
      echoes: this.#parts.heartbeatDistances.takeEchoes(true, now),
      nextWithinMs: peerWorks.toUint32(distantIntervalMs(intervalMs)),
      sequence: ++this.#sequence,
    };
    return distantPulses.dividePulse(state, work.takeDeltas(workDeltas.Audience.Distant));
  }

  /** The state that other regions have to learn at once when it changes. */
  #state(now: number): string {
    const { isCutOff, isLinkLost, ready, suspects, view } = this.#parts;
    const changing = [...view.pendingRoleChanges].filter(([, { until }]) => until > now).map(([id]) => id);
    const own = [ready(), isCutOff(), isLinkLost(), suspects.isRunningTrial, view.configurationRevision];
    return [...own, this.#changedEndpoints, ...changing].join();
  }
}
