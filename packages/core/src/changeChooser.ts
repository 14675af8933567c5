import * as configuration from "./configuration.js";
import type * as servicePool from "./servicePool.js";

/** A change of one runner that is to be begun. */
export interface WantedChange {
  readonly runner: configuration.RunnerEntry;
  readonly fromRole: configuration.RunnerRole;
  /** The same as `fromRole` for a drain that no order follows. */
  readonly targetRole: configuration.RunnerRole;
  readonly reason: string;
}

/** What the chooser has to know. */
export interface ChooserView {
  readonly tree: configuration.ConfigurationTree;
  poolOf(service: string): servicePool.ServicePool | undefined;
  /** Whether the runner has reported its load, and with it its role. */
  hasReported(runner: string): boolean;
  /** Whether no change of the runner is under way. */
  isSettled(runner: string): boolean;
  roleOf(runner: configuration.RunnerEntry, now: number): configuration.RunnerRole;
}

/** Chooses which change comes next: what the operator asks for, then what the planner proposes. */
export class ChangeChooser {
  readonly #view: ChooserView;

  /** @param view - what has to be known */
  constructor(view: ChooserView) {
    this.#view = view;
  }

  /**
   * @param service - the service
   * @param now - current time
   * @returns the change to begin, if there is one
   */
  next(service: configuration.ServiceEntry, now: number): WantedChange | undefined {
    const runners = this.#view.tree.runnersOf(service.id).filter((runner) => this.#view.isSettled(runner.id));
    for (const runner of runners) {
      const change = this.#wanted(service, runner, now);
      if (change) return change;
    }
    return service.settings.kind === configuration.ServiceKind.Engine
      ? this.#planned(service, runners, now)
      : undefined;
  }

  /** A change that the operator's document asks for. */
  #wanted(
    service: configuration.ServiceEntry,
    runner: configuration.RunnerEntry,
    now: number,
  ): WantedChange | undefined {
    const fromRole = this.#view.roleOf(runner, now);
    if (runner.settings.state === configuration.RunnerState.Draining) {
      return { runner, fromRole, targetRole: fromRole, reason: "drained by the operator" };
    }
    const fixed = runner.settings.role;
    const wanted = Object.values(configuration.RunnerRole).find((candidate) => candidate.valueOf() === fixed.valueOf());
    const plain = service.settings.kind === configuration.ServiceKind.Plain;
    if (plain || wanted === undefined || wanted === fromRole || !this.#view.hasReported(runner.id)) return undefined;
    return { runner, fromRole, targetRole: wanted, reason: "role set by the operator" };
  }

  /** A change that the planner proposes. */
  #planned(
    service: configuration.ServiceEntry,
    runners: readonly configuration.RunnerEntry[],
    now: number,
  ): WantedChange | undefined {
    const pool = this.#view.poolOf(service.id);
    if (!pool) return undefined;
    const candidates = runners.map((runner) => ({
      id: runner.id,
      role: this.#view.roleOf(runner, now),
      inFlight: pool.runner(runner.id)?.totalInFlight ?? 0,
      changeable: runner.settings.role === configuration.RoleChoice.Auto && this.#view.hasReported(runner.id),
    }));
    const change = pool.planner.plan(candidates, pool.roleChangeMs, service.settings.roleChangeWeight, now);
    const runner = change && this.#view.tree.runner(change.runner);
    if (!runner) return undefined;
    const reason = `planned: ${change.gain.toFixed(1)} answers more within the horizon`;
    return { runner, fromRole: this.#view.roleOf(runner, now), targetRole: change.role, reason };
  }
}
