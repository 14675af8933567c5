import * as configuration from "./configuration.js";
import type * as servicePool from "./servicePool.js";

/** A change of one endpoint that should begin: a drain or a role change. */
export interface WantedChange {
  readonly endpoint: configuration.EndpointEntry;
  readonly fromRole: configuration.EndpointRole;
  /** The same as `fromRole` for a drain without a role change. */
  readonly targetRole: configuration.EndpointRole;
  readonly reason: string;
}

/** State that {@link ChangeChooser} reads. */
export interface ChooserView {
  readonly tree: configuration.ConfigurationTree;
  poolOf(service: string): servicePool.ServicePool | undefined;
  /** Whether the endpoint has sent a load report, which includes its role. */
  hasReported(endpoint: string): boolean;
  /** Whether no change of the endpoint is in progress. */
  isSettled(endpoint: string): boolean;
  roleOf(endpoint: configuration.EndpointEntry, now: number): configuration.EndpointRole;
}

/** Chooses the next change of a service: first those set by the operator, then those proposed by the planner. */
export class ChangeChooser {
  readonly #view: ChooserView;

  /** @param view - the state to read */
  constructor(view: ChooserView) {
    this.#view = view;
  }

  /**
   * @param service - the service
   * @param now - current time
   * @returns the change to begin, if any
   */
  next(service: configuration.ServiceEntry, now: number): WantedChange | undefined {
    const endpoints = this.#view.tree.endpointsOf(service.id).filter((endpoint) => this.#view.isSettled(endpoint.id));
    for (const endpoint of endpoints) {
      const change = this.#operatorChange(service, endpoint, now);
      if (change) return change;
    }
    return service.settings.kind === configuration.ServiceKind.Engine
      ? this.#plannedChange(service, endpoints, now)
      : undefined;
  }

  /** Returns the change that the operator's document asks for, if any. */
  #operatorChange(
    service: configuration.ServiceEntry,
    endpoint: configuration.EndpointEntry,
    now: number,
  ): WantedChange | undefined {
    const fromRole = this.#view.roleOf(endpoint, now);
    if (endpoint.settings.state === configuration.EndpointState.Draining) {
      return { endpoint, fromRole, targetRole: fromRole, reason: "drained by the operator" };
    }
    const roleChoice = endpoint.settings.role;
    const chosenRole = Object.values(configuration.EndpointRole).find(
      (candidate) => candidate.valueOf() === roleChoice.valueOf(),
    );
    const isPlain = service.settings.kind === configuration.ServiceKind.Plain;
    if (isPlain || chosenRole === undefined || chosenRole === fromRole || !this.#view.hasReported(endpoint.id))
      return undefined;
    return { endpoint, fromRole, targetRole: chosenRole, reason: "role set by the operator" };
  }

  /** Returns the change that the planner proposes, if any. */
  #plannedChange(
    service: configuration.ServiceEntry,
    endpoints: readonly configuration.EndpointEntry[],
    now: number,
  ): WantedChange | undefined {
    const pool = this.#view.poolOf(service.id);
    if (!pool) return undefined;
    const candidates = endpoints.map((endpoint) => ({
      id: endpoint.id,
      role: this.#view.roleOf(endpoint, now),
      inFlight: pool.endpoint(endpoint.id)?.totalInFlight ?? 0,
      changeable: endpoint.settings.role === configuration.RoleChoice.Auto && this.#view.hasReported(endpoint.id),
    }));
    const change = pool.planner.plan(candidates, pool.roleChangeMs, service.settings.roleChangeWeight, now);
    const endpoint = change && this.#view.tree.endpoint(change.endpoint);
    if (!endpoint) return undefined;
    const reason = `planned: ${change.gain.toFixed(1)} answers more within the horizon`;
    return { endpoint, fromRole: this.#view.roleOf(endpoint, now), targetRole: change.role, reason };
  }
}
