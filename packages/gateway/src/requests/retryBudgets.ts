import * as serving from "@camphorcourse/serving";

/** The retry budgets of all services. */
export class RetryBudgets {
  readonly #budgets = new Map<string, serving.SharedRetryBudget>();
  readonly #bounds: serving.RetryBounds;
  readonly #startedAt: number;

  /**
   * @param bounds - the limits that the operator set
   * @param startedAt - start of the process, in milliseconds
   */
  constructor(bounds: serving.RetryBounds, startedAt: number) {
    this.#bounds = bounds;
    this.#startedAt = startedAt;
  }

  /**
   * @param service - name of the service
   * @returns the retry budget of the service, created on first use
   */
  of(service: string): serving.SharedRetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new serving.SharedRetryBudget(this.#bounds, this.#startedAt);
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
