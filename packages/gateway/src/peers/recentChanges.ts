import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import type * as fleetViewUpdaters from "../fleetViewUpdater.js";
import type * as fleetViews from "../fleetView.js";
import * as endpointIncarnations from "../endpointIncarnation.js";

/**
 * Time for which a changed entry is repeated in every heartbeat, in milliseconds. It spans several heartbeats, as some
 * are lost.
 */
const ENTRY_REPEAT_MS = 1_500;

/**
 * Largest entry that is sent in a heartbeat, in bytes; several times the size of an endpoint's own. With another
 * writer's entry of many kilobytes the heartbeat could not be sent, and this daemon would appear dead. Peers read such
 * an entry from the key-value service.
 */
const MAX_ENTRY_BYTES = 1_000;

/** Time for which a departure is repeated in every heartbeat, in milliseconds. */
const DEPARTURE_REPEAT_MS = 4_000;

/**
 * Maximum number of departures in one heartbeat. All of them in every heartbeat would fill the network when hundreds
 * of endpoints leave together, as every daemon repeats them to every other.
 */
const MAX_DEPARTURES = 30;

interface RecentDeparture extends fleetViewUpdaters.Departure {
  readonly sendUntil: number;
  /** Number of heartbeats that it was sent in. */
  sends: number;
}

/** Recent changes of endpoints. Each is repeated in several heartbeats, because datagrams may be lost. */
export class RecentChanges {
  readonly #view: fleetViews.FleetView;
  readonly #departures = new Map<string, RecentDeparture>();
  readonly #entries = new Map<string, number>();

  /** @param view - holds the entries to send */
  constructor(view: fleetViews.FleetView) {
    this.#view = view;
  }

  /**
   * @param id - an endpoint that is leaving, gone or set aside
   * @param departure - which of these, and since when
   * @param now - current time in milliseconds
   */
  noteDeparture(id: string, departure: fleetViewUpdaters.Departure, now: number): void {
    this.#departures.set(id, { ...departure, sendUntil: now + DEPARTURE_REPEAT_MS, sends: 0 });
  }

  /**
   * @param id - an endpoint whose entry has changed
   * @param now - current time in milliseconds
   */
  noteEntry(id: string, now: number): void {
    this.#entries.set(id, now + ENTRY_REPEAT_MS);
  }

  /**
   * @param now - current time in milliseconds
   * @returns the departures to send in the next heartbeat, those that were sent least often
   */
  nextDepartures(now: number): messages.Departure[] {
    this.#dropOldDepartures(now);
    const leastSent = [...this.#departures].sort(([, left], [, right]) => left.sends - right.sends);
    const chosen = leastSent.slice(0, MAX_DEPARTURES);
    for (const [, departure] of chosen) departure.sends++;
    return toMessages(chosen);
  }

  /**
   * @param now - current time in milliseconds
   * @returns all recent departures
   */
  allDepartures(now: number): messages.Departure[] {
    this.#dropOldDepartures(now);
    return toMessages([...this.#departures]);
  }

  #dropOldDepartures(now: number): void {
    for (const [id, departure] of this.#departures) if (departure.sendUntil < now) this.#departures.delete(id);
  }

  /**
   * @param now - current time in milliseconds
   * @returns the current entries to send now
   */
  entries(now: number): messages.EndpointEntry[] {
    const recent: messages.EndpointEntry[] = [];
    for (const [id, until] of this.#entries) {
      const document = this.#view.endpointDocuments.get(id);
      if (until < now || document === undefined) {
        this.#entries.delete(id);
        continue;
      }
      const { value, revision } = document;
      if (value.length > MAX_ENTRY_BYTES) continue;
      recent.push(protobuf.create(messages.EndpointEntrySchema, { id, value, revision: BigInt(revision) }));
    }
    return recent;
  }
}

function toMessages(departures: readonly (readonly [string, RecentDeparture])[]): messages.Departure[] {
  return departures.map(([endpoint, { revision, bornAt, isStated, setAside }]) =>
    protobuf.create(messages.DepartureSchema, {
      endpoint,
      revision: BigInt(revision),
      startedAtMs: endpointIncarnations.toMessage(bornAt),
      setAside,
      stated: isStated,
    }),
  );
}
