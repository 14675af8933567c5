import * as core from "@camphorcourse/core";
import * as tinyqueue from "tinyqueue";
import * as standIns from "@camphorcourse/stand-ins";
import type * as outcomeModule from "./outcome.js";

/** What a job's owner is told. */
export interface JobListener {
  onFirstToken(): void;
  /** The last token, or the end of the prefill. */
  onDone(): void;
  /** The engine was away or in another role: it did not run. */
  onRefused(): void;
}

interface Timed {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/**
 * Costs of the replayed engines. They differ from what the core starts from,
 * so that its predictions have to be learned.
 */
export const REPLAY_COSTS: standIns.EngineCosts = {
  ...standIns.DEFAULT_COSTS,
  stepBaseMs: 7,
  prefillTokenMs: 0.06,
  decodeStreamMs: 0.4,
};

/** Engines at their interface, in virtual time. */
export class EngineFleet {
  readonly #engines: standIns.EngineModel[];
  readonly #jobs: Map<string, JobListener>[];
  readonly #scheduled: boolean[];
  readonly #outcome: outcomeModule.Outcome;
  readonly #lastTokenAt = new Map<string, number>();
  readonly #queue = new tinyqueue.default<Timed>(
    [],
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );
  #sequence = 0;
  now = 0;

  /**
   * @param roles - of the engines at the start
   * @param outcome - takes the times between tokens and the role changes
   */
  constructor(roles: readonly core.EndpointRole[], outcome: outcomeModule.Outcome) {
    this.#engines = roles.map((role) => new standIns.EngineModel(toEngineRole(role), REPLAY_COSTS));
    this.#jobs = roles.map(() => new Map<string, JobListener>());
    this.#scheduled = roles.map(() => false);
    this.#outcome = outcome;
  }

  /** @returns how many engines there are */
  get size(): number {
    return this.#engines.length;
  }

  /**
   * @param delayMs - from now
   * @param run - what happens then
   */
  after(delayMs: number, run: () => void): void {
    this.#queue.push({ at: this.now + delayMs, sequence: this.#sequence++, run });
  }

  /** @param untilMs - runs everything up to this time */
  run(untilMs: number): void {
    for (let next = this.#queue.peek(); next && next.at <= untilMs; next = this.#queue.peek()) {
      this.#queue.pop();
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
   * @returns requests that wait or run there
   */
  loadOf(engine: number): { waiting: number; running: number } {
    const { waiting, running } = this.#engine(engine);
    return { waiting, running };
  }

  /**
   * @param engine - index of the engine
   * @returns whether a role change keeps it away
   */
  isAway(engine: number): boolean {
    return this.#engine(engine).isUnavailable(this.now);
  }

  /**
   * @param engine - index of the engine
   * @param job - what to run
   * @param listener - told how it goes
   */
  submit(engine: number, job: standIns.EngineJob, listener: JobListener): void {
    const model = this.#engine(engine);
    if (model.isUnavailable(this.now) || !model.accepts(job.part)) {
      this.after(1, () => {
        listener.onRefused();
      });
      return;
    }
    this.#jobs[engine]?.set(job.id, listener);
    model.submit(job, this.now);
    this.#schedule(engine);
  }

  /**
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

  #schedule(engine: number): void {
    const endsAt = this.#engine(engine).stepEndsAt;
    if (endsAt === undefined || this.#scheduled[engine]) return;
    this.#scheduled[engine] = true;
    this.after(endsAt - this.now, () => {
      this.#scheduled[engine] = false;
      for (const progress of this.#engine(engine).finishStep(this.now)) this.#advance(engine, progress);
      this.#schedule(engine);
    });
  }

  #advance(engine: number, progress: standIns.JobProgress): void {
    const listener = this.#jobs[engine]?.get(progress.id);
    if (!listener) return;
    const before = this.#lastTokenAt.get(progress.id);
    if (progress.emitted > 0) this.#lastTokenAt.set(progress.id, this.now);
    if (before === undefined && progress.emitted > 0) listener.onFirstToken();
    if (before !== undefined) this.#outcome.betweenTokens.recordValue(Math.max(1, Math.round(this.now - before)));
    if (!progress.finished) return;
    this.#lastTokenAt.delete(progress.id);
    this.#jobs[engine]?.delete(progress.id);
    listener.onDone();
  }
}

/**
 * @param part - of a request
 * @returns the same at an engine
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
