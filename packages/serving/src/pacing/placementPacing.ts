import type * as directories from "../endpointDirectory.js";
import type * as prefillBudgets from "./prefillBudget.js";

/** Tells a placement which decode engines have time for a prefill or another stream. */
export class PlacementPacing {
  readonly #budget: prefillBudgets.PrefillBudget;
  readonly #inputs: prefillBudgets.BudgetInputs;
  readonly #computed = new Map<string, prefillBudgets.EngineBudget>();

  /**
   * @param budget - the engines' budgets
   * @param inputs - what the budgets of the prompt are computed from
   */
  constructor(budget: prefillBudgets.PrefillBudget, inputs: prefillBudgets.BudgetInputs) {
    this.#budget = budget;
    this.#inputs = inputs;
  }

  /**
   * @param engine - a decode engine
   * @returns its budget
   */
  budgetOf(engine: directories.Endpoint): prefillBudgets.EngineBudget {
    let budget = this.#computed.get(engine.id);
    if (budget === undefined) {
      budget = this.#budget.of(engine, this.#inputs);
      this.#computed.set(engine.id, budget);
    }
    return budget;
  }

  /**
   * @param engine - a decode engine
   * @param workTokens - cost of a prefill
   * @returns whether the engine's budget covers it
   */
  covers(engine: directories.Endpoint, workTokens: number): boolean {
    const { budgetMs, spentMs } = this.budgetOf(engine);
    return this.#inputs.speeds.prefillMs(engine.role, workTokens) <= budgetMs - spentMs;
  }

  /**
   * @param engine - a decode engine
   * @returns whether it counts as slow
   */
  isSlow(engine: directories.Endpoint): boolean {
    return this.budgetOf(engine).gaps?.isSlow === true;
  }

  /**
   * @param engine - a decode engine
   * @returns whether it isn't slow and its budget isn't used up
   */
  hasBudget(engine: directories.Endpoint): boolean {
    const { budgetMs, spentMs } = this.budgetOf(engine);
    return budgetMs > spentMs;
  }
}
