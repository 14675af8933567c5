import * as configuration from "./configuration.js";
import type * as servicePool from "./servicePool.js";

/** A change of one endpoint that is to be begun. */
export interface WantedChange {
  readonly endpoint: configuration.EndpointEntry;
  readonly fromRole: configuration.EndpointRole;
  /** The same as `fromRole` for a drain that no order follows. */
  readonly targetRole: configuration.EndpointRole;
  readonly reason: string;
}

/** What the chooser has to know. */
export interface ChooserView {
  readonly tree: configuration.ConfigurationTree;
  poolOf(service: string): servicePool.ServicePool | undefined;
  /** Whether the endpoint has reported its load, and with it its role. */
  hasReported(endpoint: string): boolean;
  /** Whether no change of the endpoint is under way. */
  isSettled(endpoint: string): boolean;
  roleOf(endpoint: configuration.EndpointEntry, now: number): configuration.EndpointRole;
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
    const endpoints = this.#view.tree.endpointsOf(service.id).filter((endpoint) => this.#view.isSettled(endpoint.id));
    for (const endpoint of endpoints) {
      const change = this.#wanted(service, endpoint, now);
      if (change) return change;
    }
    return service.settings.kind === configuration.ServiceKind.Engine
      ? this.#planned(service, endpoints, now)
      : undefined;
  }

  /** A change that the operator's document asks for. */
  #wanted(
    service: configuration.ServiceEntry,
    endpoint: configuration.EndpointEntry,
    now: number,
  ): WantedChange | undefined {
    const fromRole = this.#view.roleOf(endpoint, now);
    if (endpoint.settings.state === configuration.EndpointState.Draining) {
      return { endpoint, fromRole, targetRole: fromRole, reason: "drained by the operator" };
    }
    const fixed = endpoint.settings.role;
    const wanted = Object.values(configuration.EndpointRole).find(
      (candidate) => candidate.valueOf() === fixed.valueOf(),
    );
    const plain = service.settings.kind === configuration.ServiceKind.Plain;
    if (plain || wanted === undefined || wanted === fromRole || !this.#view.hasReported(endpoint.id)) return undefined;
    return { endpoint, fromRole, targetRole: wanted, reason: "role set by the operator" };
  }

  /** A change that the planner proposes. */
  #planned(
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
