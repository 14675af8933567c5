import * as serving from "@camphorcourse/serving";
import * as callControls from "../calls/callControl.js";
import type * as contexts from "../context.js";
import * as fairnessModule from "../fairness/fairness.js";
import * as memoryGuards from "../memory/memoryGuard.js";
import * as pacings from "../pacing/pacing.js";
import * as runBackups from "../runs/backups.js";
import * as runMovers from "../runs/runMover.js";
import * as retryBudgets from "./retryBudgets.js";

/** The parts of the context that a daemon creates before it, and what the others are created from. */
export interface ServingContextParts extends Pick<
  contexts.ServingContext,
  | "settings"
  | "log"
  | "metrics"
  | "view"
  | "format"
  | "client"
  | "limits"
  | "statements"
  | "streams"
  | "crashDetector"
  | "suspects"
  | "countUsage"
  | "distances"
  | "traffic"
  | "random"
  | "onMisdirected"
  | "configuration"
> {
  /** @returns delay of the event loop, in milliseconds */
  readonly lateMs: () => number;
  /** @returns number of daemons that may send requests to endpoints, this one included */
  readonly senders: () => number;
}

/**
 * @param parts - what the context is created from
 * @returns the context that the serving of all requests shares
 */
export function createServingContext({ lateMs, senders, ...given }: ServingContextParts): contexts.ServingContext {
  const { distances, limits, log, metrics, random, settings, view } = given;
  const loads = new serving.EngineLoadTracker();
  const speeds = new serving.ServiceSpeeds();
  const learned = {
    speeds,
    demand: new serving.Demand(),
    acceptance: new serving.AcceptanceTracker(),
  };
  const shared = { log, metrics, view };
  const context: contexts.ServingContext = {
    ...given,
    lateMs,
    ...learned,
    fairness: new fairnessModule.Fairness({ ...shared, ...learned, distances }),
    loads,
    calls: new callControls.CallControl({
      ...shared,
      loads,
      dataCentre: settings.dataCentre,
      distances,
      senders,
      isLimited: (endpoint) => limits.enforcer.isLimited(endpoint),
      draw: () => random.next(),
    }),
    answerMemory: new serving.AnswerMemory(),
    answerTimes: new serving.AnswerTimes(),
    pacing: new pacings.Pacing({ loads, speeds, lateMs, senders }),
    health: new serving.EndpointHealth(),
    memory: new memoryGuards.MemoryGuard({
      memoryBytes: settings.memoryBytes,
      vmMemoryBytes: settings.vmMemoryBytes,
      log,
      metrics,
    }),
    runs: new runMovers.RunMover(() => context),
    backups: new runBackups.Backups(() => context),
    budgets: new retryBudgets.RetryBudgets(settings.retryBounds, performance.now()),
    hotParts: distances && new serving.HotParts(),
    liveDaemons: () => view.daemonsUpperBound,
  };
  return context;
}
