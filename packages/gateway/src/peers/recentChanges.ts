import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import type * as beliefsModule from "../fleetViewUpdater.js";
import type * as fleetViews from "../fleetView.js";
import * as toldLives from "../endpointIncarnation.js";

/** Time for which an entry that was read is told in each pulse, in milliseconds: several pulses, as some are lost. */
const ENTRY_TOLD_MS = 1_500;

/**
 * Longest entry that is told in a pulse, in bytes, several times an endpoint's own. A pulse with another writer's entry
 * of many kilobytes could not be sent, and this daemon would look dead; such an entry is read in the seldom readings.
 */
const LONGEST_TOLD_BYTES = 1_000;

/** Time for which a departure is told in each pulse, in milliseconds. */
const DEPARTURE_TOLD_MS = 4_000;

interface ToldDeparture extends beliefsModule.Departure {
  readonly toldUntil: number;
}

/** Changes of endpoints that are told in the next pulses, several times, as datagrams may be lost. */
export class ToldChanges {
  readonly #view: fleetViews.FleetView;
  readonly #departures = new Map<string, ToldDeparture>();
  readonly #entries = new Map<string, number>();

  /** @param view - holds the entries that are told */
  constructor(view: fleetViews.FleetView) {
    this.#view = view;
  }

  /**
   * @param id - an endpoint that is leaving, gone or set aside
   * @param departure - which of these, and since when
   * @param now - current instant in milliseconds
   */
  noteDeparture(id: string, departure: beliefsModule.Departure, now: number): void {
    this.#departures.set(id, { ...departure, toldUntil: now + DEPARTURE_TOLD_MS });
  }

  /**
   * @param id - an endpoint whose entry has changed
   * @param now - current instant in milliseconds
   */
  noteEntry(id: string, now: number): void {
    this.#entries.set(id, now + ENTRY_TOLD_MS);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns departures that are told now
   */
  departures(now: number): messages.Departure[] {
    for (const [id, departure] of this.#departures) if (departure.toldUntil < now) this.#departures.delete(id);
    return [...this.#departures].map(([endpoint, { revision, bornAt, setAside }]) =>
      protobuf.create(messages.DepartureSchema, {
        endpoint,
        revision: BigInt(revision),
        startedAtMs: toldLives.toMessage(bornAt),
        setAside,
      }),
    );
  }

  /**
   * @param now - current instant in milliseconds
   * @returns entries that are told now, as they stand
   */
  entries(now: number): messages.EndpointEntry[] {
    const told: messages.EndpointEntry[] = [];
    for (const [id, until] of this.#entries) {
      const document = this.#view.endpointDocuments.get(id);
      if (until < now || document === undefined) {
        this.#entries.delete(id);
        continue;
      }
      const { value, revision } = document;
      if (value.length > LONGEST_TOLD_BYTES) continue;
      told.push(protobuf.create(messages.EndpointEntrySchema, { id, value, revision: BigInt(revision) }));
    }
    return told;
  }
}
