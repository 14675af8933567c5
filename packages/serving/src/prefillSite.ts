/** Where a prompt is prefilled. */

/** Chooses between prefill on the decode engine and on a prefill engine. */
export interface PrefillSiteRule {
  /**
   * @param colocatedMs - predicted time to the first event with prefill on the decode engine, its cost to the other
   *   streams there included, in milliseconds
   * @param disaggregatedMs - the same with prefill on a prefill engine
   * @param objectiveMs - latency objective of the first event, in milliseconds
   * @returns whether the decode engine prefills the prompt
   */
  isColocated(colocatedMs: number, disaggregatedMs: number, objectiveMs: number): boolean;
}

/** Chooses the shorter predicted time. */
export class ShortestFirstEvent implements PrefillSiteRule {
  /** {@inheritDoc PrefillSiteRule.isColocated} */
  isColocated(colocatedMs: number, disaggregatedMs: number): boolean {
    return colocatedMs <= disaggregatedMs;
  }
}

/**
 * Lets the decode engine prefill a prompt whose first event is predicted well within its objective, although a prefill
 * engine would be sooner: a handover costs a second send and the transfer of the KV cache.
 */
export class ColocatedWithinObjective implements PrefillSiteRule {
  readonly #share: number;

  /** @param share - share of the objective that the predicted time may take */
  constructor(share: number) {
    this.#share = share;
  }

  /** {@inheritDoc PrefillSiteRule.isColocated} */
  isColocated(colocatedMs: number, disaggregatedMs: number, objectiveMs: number): boolean {
    return colocatedMs <= Math.max(disaggregatedMs, this.#share * objectiveMs);
  }
}

/** Share of the objective within which a decode engine prefills a prompt itself. */
const COLOCATED_SHARE = 0.4;

/** The rule by which prompts are served. */
export const PREFILL_SITE_RULE: PrefillSiteRule = new ColocatedWithinObjective(COLOCATED_SHARE);
