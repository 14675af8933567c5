import type * as common from "@camphorcourse/common";
import type * as fleetViews from "../fleetView.js";
import type * as retryBudgets from "./retryBudgets.js";

/** What the state of a request depends on, a part of the context that the serving of all requests shares. */
export interface RequestContext {
  readonly view: fleetViews.FleetView;
  readonly random: common.SeededRandom;
  readonly budgets: retryBudgets.RetryBudgets;
  /** Counts an organisation's request that begins to run now. */
  readonly countUsage: (organisation: string) => void;
  /** @returns upper bound of the number of live daemons, including this one */
  liveDaemons(): number;
}
