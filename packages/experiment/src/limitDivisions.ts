/** Other ways of dividing an endpoint's limit among the daemons, for comparison with the one that serves. */
import type * as serving from "@camphorcourse/serving";

/** Gives every daemon the same part. */
export class EqualParts implements serving.LimitDivision {
  /** {@inheritDoc serving.LimitDivision.ownRate} */
  ownRate({ requestsPerSecond, senders }: serving.DivisionInputs): number {
    return requestsPerSecond / Math.max(1, senders.length);
  }
}

/** Gives every daemon a part by its share of the demand. */
export class PartsByDemand implements serving.LimitDivision {
  readonly #shareOf: () => number;

  /** @param shareOf - returns this daemon's share of the demand, as its view of the others shows it */
  constructor(shareOf: () => number) {
    this.#shareOf = shareOf;
  }

  /** {@inheritDoc serving.LimitDivision.ownRate} */
  ownRate({ requestsPerSecond }: serving.DivisionInputs): number {
    return requestsPerSecond * this.#shareOf();
  }
}

/** Gives every daemon the whole limit, as if it were the only one. */
export class WholeLimit implements serving.LimitDivision {
  /** {@inheritDoc serving.LimitDivision.ownRate} */
  ownRate({ requestsPerSecond }: serving.DivisionInputs): number {
    return requestsPerSecond;
  }
}
