import * as serving from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import type * as virtualTimes from "./virtualTime.js";

/** Data centre of all engines and daemons in an experiment without regions. */
const ONLY_DATA_CENTRE = "a";

/** Network delay of a message between two processes in an experiment without regions, in milliseconds. */
export const NETWORK_DELAY_MS = 3;

/** The network of an experiment: its data centres, their regions and the true delays between them. */
export class EmulatedRegions {
  readonly #regions: descriptions.RegionsDescription | undefined;
  readonly #time: virtualTimes.VirtualTime;
  readonly #model: serving.DistanceModel;

  /**
   * @param regions - the regions, if there are any
   * @param time - the virtual time of the experiment
   */
  constructor(regions: descriptions.RegionsDescription | undefined, time: virtualTimes.VirtualTime) {
    this.#regions = regions;
    this.#time = time;
    this.#model = new serving.DistanceModel({ dataCentre: "", dataCentres: regions?.dataCentres ?? {} });
  }

  /**
   * @param index - position of an engine or a daemon
   * @returns its data centre
   */
  dataCentreOf(index: number): string {
    const names = Object.keys(this.#regions?.dataCentres ?? {});
    return names[index % Math.max(1, names.length)] ?? ONLY_DATA_CENTRE;
  }

  /**
   * @param dataCentre - data centre of a daemon
   * @returns what it knows of distances before it has measured any; undefined if it doesn't decide by them
   */
  distancesAt(dataCentre: string): serving.DistanceModel | undefined {
    if (this.#regions?.distancesUsed !== true) return undefined;
    return serving.distancesBetweenRegions({ dataCentre, dataCentres: this.#regions.dataCentres });
  }

  /**
   * @param from - a data centre
   * @param to - a data centre
   * @returns whether both are in one region
   */
  isSameRegion(from: string, to: string): boolean {
    return this.#model.wayBetween(from, to) !== serving.Way.Remote;
  }

  /**
   * @param from - a data centre
   * @param to - a data centre
   * @returns true round trip between them, in milliseconds
   */
  roundTripMs(from: string, to: string): number {
    if (this.#regions === undefined) return NETWORK_DELAY_MS;
    const { change, oneWayMs } = this.#regions;
    const isChanged = change !== undefined && this.#time.now >= change.fromMs;
    const way = this.#model.wayBetween(from, to);
    if (way === serving.Way.DataCentre) return 2 * oneWayMs.dataCentre;
    if (way === serving.Way.Region) return 2 * oneWayMs.region;
    return 2 * (isChanged ? change.remoteMs : oneWayMs.remote);
  }

  /**
   * @param from - data centre of the engine that has a KV cache
   * @param to - data centre of the engine that gets it
   * @returns time of the transfer, in multiples of the time of one within a data centre
   */
  transferFactor(from: string, to: string): number {
    return this.#regions === undefined ? 1 : this.#model.transferFactor(from, to);
  }

  /**
   * @param from - data centre of a daemon
   * @param to - data centre of another one
   * @returns whether heartbeats arrive there now
   */
  isHeard(from: string, to: string): boolean {
    const { now } = this.#time;
    const cut = (this.#regions?.cuts ?? []).filter(({ fromMs, untilMs }) => fromMs <= now && now < untilMs);
    const isOutside = (dataCentre: string, region: string): boolean => this.#model.regionOf(dataCentre) !== region;
    return cut.every(({ region }) => isOutside(from, region) === isOutside(to, region));
  }
}
