/** How far an endpoint, a daemon or a caller is away. */
export enum Way {
  /** In the same data centre. */
  DataCentre = "data-centre",
  /** In another data centre of the same region. */
  Region = "region",
  /** In another region. */
  Remote = "remote",
}

/** Where a daemon runs, and what its settings say of the other data centres. */
export interface Location {
  readonly dataCentre: string;
  /** Region of each data centre, by its name. */
  readonly dataCentres: Readonly<Record<string, string>>;
}

/** One-way delays before any measurement, in milliseconds. */
const PRIOR_ONE_WAY_MS: Readonly<Record<Way, number>> = {
  [Way.DataCentre]: 0.2,
  [Way.Region]: 1,
  [Way.Remote]: 10,
};

/** Time of a transfer of KV cache, in multiples of the time of one within a data centre, as the platform specifies. */
const TRANSFER_FACTORS: Readonly<Record<Way, number>> = {
  [Way.DataCentre]: 1,
  [Way.Region]: 2,
  [Way.Remote]: 10,
};

/**
 * Delays between this daemon's data centre and the others, and which of them share a region.
 *
 * Load pattern: waves of demand out of phase between data centres in several regions. A first event that is due in 400 ms
 * loses 24 ms to a round trip of 12 ms each way, and links between regions are the narrowest. So a request leaves its
 * region only where that gains more than it costs.
 */
export class DistanceModel {
  readonly dataCentre: string;
  /** The regions that the settings name, without that of this daemon. */
  readonly otherRegions: ReadonlySet<string>;
  readonly #regions: ReadonlyMap<string, string>;
  readonly #measuredMs = new Map<string, number>();
  readonly #silent = new Set<string>();

  /** @param location - where this daemon runs */
  constructor({ dataCentre, dataCentres }: Location) {
    this.dataCentre = dataCentre;
    this.#regions = new Map(Object.entries(dataCentres));
    this.otherRegions = new Set([...this.#regions.values()].filter((region) => region !== this.region));
  }

  /**
   * @param dataCentre - a data centre
   * @returns its region; a data centre that the settings don't name counts as a region of its own
   */
  regionOf(dataCentre: string): string {
    return this.#regions.get(dataCentre) ?? `\u0000${dataCentre}`;
  }

  /**
   * @param dataCentre - a data centre
   * @returns whether the settings name it
   */
  isNamed(dataCentre: string): boolean {
    return this.#regions.has(dataCentre);
  }

  /**
   * @param dataCentre - a data centre that the settings name
   * @param oneWayMs - measured delay of a message to there in milliseconds; undefined if there is no recent measurement
   */
  setMeasured(dataCentre: string, oneWayMs: number | undefined): void {
    if (oneWayMs === undefined) this.#measuredMs.delete(dataCentre);
    else this.#measuredMs.set(dataCentre, oneWayMs);
  }

  /**
   * @param region - a region
   * @param isSilent - whether no heartbeat arrives from its daemons any more
   */
  setSilent(region: string, isSilent: boolean): void {
    if (isSilent) this.#silent.add(region);
    else this.#silent.delete(region);
  }

  /**
   * @param region - a region
   * @returns whether its daemons have gone silent, so that the load of its endpoints isn't known
   */
  isSilent(region: string): boolean {
    return this.#silent.has(region);
  }

  /** @returns region of this daemon */
  get region(): string {
    return this.regionOf(this.dataCentre);
  }

  /**
   * @param from - a data centre
   * @param to - another or the same one
   * @returns how far they are apart
   */
  wayBetween(from: string, to: string): Way {
    if (from === to) return Way.DataCentre;
    return this.regionOf(from) === this.regionOf(to) ? Way.Region : Way.Remote;
  }

  /**
   * @param dataCentre - a data centre
   * @returns how far it is from this daemon
   */
  wayTo(dataCentre: string): Way {
    return this.wayBetween(this.dataCentre, dataCentre);
  }

  /**
   * @param dataCentre - a data centre
   * @returns delay of a message from this daemon to there, in milliseconds
   */
  oneWayMs(dataCentre: string): number {
    return this.#measuredMs.get(dataCentre) ?? PRIOR_ONE_WAY_MS[this.wayTo(dataCentre)];
  }

  /**
   * @param dataCentre - a data centre
   * @returns delay of a message from this daemon to there and of its answer, in milliseconds
   */
  roundTripMs(dataCentre: string): number {
    return 2 * this.oneWayMs(dataCentre);
  }

  /**
   * @param from - data centre of the engine that has a KV cache
   * @param to - data centre of the engine that gets it
   * @returns time of the transfer, in multiples of the time of one within a data centre
   */
  transferFactor(from: string, to: string): number {
    return TRANSFER_FACTORS[this.wayBetween(from, to)];
  }
}

/**
 * @param location - where this daemon runs
 * @returns the distances if the settings name data centres of more than one region; undefined otherwise, where all is
 *   decided without them
 */
export function distancesBetweenRegions(location: Location): DistanceModel | undefined {
  return new Set(Object.values(location.dataCentres)).size > 1 ? new DistanceModel(location) : undefined;
}
