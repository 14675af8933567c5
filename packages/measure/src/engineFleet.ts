import * as core from "@camphorcourse/core";
import * as tinyqueue from "tinyqueue";
import * as standIns from "@camphorcourse/stand-ins";
import type * as outcomeModule from "./outcome.js";

/** Receives the progress of a job. */
export interface JobListener {
  onFirstToken(): void;
  /** The job has emitted its last token, or finished its prefill. */
  onDone(): void;
  /** The job did not run: the engine was unavailable, or its role doesn't accept the part. */
  onRefused(): void;
}

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/**
 * Costs of the simulated engines. They differ from the core's initial
 * estimates, so that its predictions have to be learned.
 */
export const REPLAY_COSTS: standIns.EngineCosts = {
  ...standIns.DEFAULT_COSTS,
  stepBaseMs: 7,
  prefillTokenMs: 0.06,
  decodeStreamMs: 0.4,
};

/** Simulates a fleet of engines in virtual time, with a queue of scheduled events. */
export class EngineFleet {
  readonly #engines: standIns.EngineModel[];
  readonly #listeners: Map<string, JobListener>[];
  readonly #stepScheduled: boolean[];
  readonly #outcome: outcomeModule.Outcome;
  readonly #lastTokenAt = new Map<string, number>();
  readonly #events = new tinyqueue.default<ScheduledEvent>(
    [],
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );
  #sequence = 0;
  now = 0;

  /**
   * @param roles - initial roles of the engines
   * @param outcome - where the times between tokens and the role changes are recorded
   */
  constructor(roles: readonly core.EndpointRole[], outcome: outcomeModule.Outcome) {
    this.#engines = roles.map((role) => new standIns.EngineModel(toEngineRole(role), REPLAY_COSTS));
    this.#listeners = roles.map(() => new Map<string, JobListener>());
    this.#stepScheduled = roles.map(() => false);
    this.#outcome = outcome;
  }

  /** @returns the number of engines */
  get size(): number {
    return this.#engines.length;
  }

  /**
   * Schedules a callback in virtual time.
   *
   * @param delayMs - delay from now
   * @param run - called after the delay
   */
  schedule(delayMs: number, run: () => void): void {
    this.#events.push({ at: this.now + delayMs, sequence: this.#sequence++, run });
  }

  /**
   * Advances the virtual time and runs the events that are due until then.
   *
   * @param untilMs - the new virtual time
   */
  run(untilMs: number): void {
    for (let next = this.#events.peek(); next && next.at <= untilMs; next = this.#events.peek()) {
      this.#events.pop();
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = untilMs;
  }

  /**
   * @param engine - index of the engine
   * @returns its role
   */
  roleOf(engine: number): core.EndpointRole {
    const role = this.#engine(engine).role;
    return (
      Object.values(core.EndpointRole).find((candidate) => candidate.valueOf() === role.valueOf()) ??
      core.EndpointRole.Mixed
    );
  }

  /**
   * @param engine - index of the engine
   * @returns the number of requests that wait or run on the engine
   */
  loadOf(engine: number): { waiting: number; running: number } {
    const { waiting, running } = this.#engine(engine);
    return { waiting, running };
  }

  /**
   * @param engine - index of the engine
   * @returns whether the engine is unavailable because of a role change
   */
  isUnavailable(engine: number): boolean {
    return this.#engine(engine).isUnavailable(this.now);
  }

  /**
   * Submits a job to an engine.
   *
   * @param engine - index of the engine
   * @param job - the job to run
   * @param listener - receives the progress of the job
   */
  submit(engine: number, job: standIns.EngineJob, listener: JobListener): void {
    const model = this.#engine(engine);
    if (model.isUnavailable(this.now) || !model.accepts(job.part)) {
      this.schedule(1, () => {
        listener.onRefused();
      });
      return;
    }
    this.#listeners[engine]?.set(job.id, listener);
    model.submit(job, this.now);
    this.#scheduleStep(engine);
  }

  /**
   * Starts a role change.
   *
   * @param engine - index of the engine
   * @param role - the new role
   */
  changeRole(engine: number, role: core.EndpointRole): void {
    this.#outcome.roleChanges++;
    this.#engine(engine).changeRole(toEngineRole(role), this.now);
  }

  #engine(index: number): standIns.EngineModel {
    const model = this.#engines[index];
    if (!model) throw new Error(`no engine ${index}`);
    return model;
  }

  #scheduleStep(engine: number): void {
    const endsAt = this.#engine(engine).stepEndsAt;
    if (endsAt === undefined || this.#stepScheduled[engine]) return;
    this.#stepScheduled[engine] = true;
    this.schedule(endsAt - this.now, () => {
      this.#stepScheduled[engine] = false;
      for (const progress of this.#engine(engine).finishStep(this.now)) this.#reportProgress(engine, progress);
      this.#scheduleStep(engine);
    });
  }

  #reportProgress(engine: number, progress: standIns.JobProgress): void {
    const listener = this.#listeners[engine]?.get(progress.id);
    if (!listener) return;
    const before = this.#lastTokenAt.get(progress.id);
    if (progress.emitted > 0) this.#lastTokenAt.set(progress.id, this.now);
    if (before === undefined && progress.emitted > 0) listener.onFirstToken();
    if (before !== undefined) this.#outcome.betweenTokens.recordValue(Math.max(1, Math.round(this.now - before)));
    if (!progress.finished) return;
    this.#lastTokenAt.delete(progress.id);
    this.#listeners[engine]?.delete(progress.id);
    listener.onDone();
  }
}

/**
 * Converts a part of a request to the engine's job part.
 *
 * @param part - part of a request
 * @returns the job part with the same meaning
 */
export function toJobPart(part: core.RequestPart): standIns.JobPart {
  const parts: Record<core.RequestPart, standIns.JobPart> = {
    [core.RequestPart.Whole]: standIns.JobPart.Whole,
    [core.RequestPart.Prefill]: standIns.JobPart.Prefill,
    [core.RequestPart.Decode]: standIns.JobPart.Decode,
  };
  return parts[part];
}

function toEngineRole(role: core.EndpointRole): standIns.EngineRole {
  const roles: Record<core.EndpointRole, standIns.EngineRole> = {
    [core.EndpointRole.Prefill]: standIns.EngineRole.Prefill,
    [core.EndpointRole.Decode]: standIns.EngineRole.Decode,
    [core.EndpointRole.Mixed]: standIns.EngineRole.Mixed,
  };
  return roles[role];
}
