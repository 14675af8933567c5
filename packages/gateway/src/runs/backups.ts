import * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import type * as servedRequests from "../servedRequest.js";
import * as backedUpRuns from "./backedUpRun.js";
import * as destinations from "./destinations.js";
import type * as ownRuns from "./ownRuns.js";

/** Time of a transfer to another data centre where the settings name one region, in multiples of that within one. */
const OTHER_DATA_CENTRE_FACTOR = 2;

/** A stream with a copy at a second engine, and the memory that this takes there. */
interface Backup {
  readonly run: backedUpRuns.BackedUpRun;
  readonly reservation: serving.BackupReservation;
  readonly handleMs: number;
}

/** A stream whose service allows backups, and what is expected of it. */
interface Candidate extends serving.BackupCandidate {
  readonly engineLimits: serving.EngineLimits;
}

/** Has copies kept of streams on engines that are likely to be lost, and lets the streams go on with them. */
export class Backups implements ownRuns.RunBackups {
  readonly #context: () => contexts.ServingContext;
  readonly #policy = new serving.BackupPolicy();
  readonly #backups = new Map<servedRequests.ServedRequest, Backup>();

  /** @param context - what serving needs, which is created later */
  constructor(context: () => contexts.ServingContext) {
    this.#context = context;
  }

  /** @returns number of streams that have a copy at a second engine */
  get count(): number {
    return this.#backups.size;
  }

  /** @param endpoint - an endpoint that has ended or is suspected, or that has restarted */
  noteUnreliable({ address }: Pick<serving.Endpoint, "address">): void {
    this.#policy.noteUnreliable(address, performance.now());
  }

  /** @param update - a change of an endpoint */
  noteChange({ change, endpoint }: serving.EndpointUpdate): void {
    if (change === serving.EndpointChange.Restarted && endpoint !== undefined) this.noteUnreliable(endpoint);
  }

  /**
   * @param run - a run whose request is about to be sent
   * @returns the engine that is to keep a copy of it, if there is one
   */
  noteSend(run: ownRuns.OwnRun): serving.Endpoint | undefined {
    const { active, served } = run;
    // It goes on with the copy: the engine that kept it runs it now.
    if (active.resume?.isBackup === true) return undefined;
    this.#drop(served, true);
    const candidate = this.#candidate(run);
    const now = performance.now();
    if (candidate === undefined || !this.#policy.needsBackup(candidate, active.endpoint, now)) return undefined;
    const backup = this.#choose(run, candidate, now);
    this.#logChoice(run, candidate, backup, now);
    if (backup === undefined) return undefined;
    const context = this.#context();
    context.metrics.count("runs_backed_up");
    this.#backups.set(served, {
      run: new backedUpRuns.BackedUpRun({ context, run, backup }),
      reservation: this.#policy.reserve(backup.id, candidate.tokens),
      handleMs: candidate.engineLimits.handleMs,
    });
    return backup;
  }

  /**
   * @param run - a run whose stream has broken off, so that its request may have run
   * @param giveUp - ends the stream; called if the run doesn't go on with its copy
   * @returns whether that is decided later
   */
  onBroken({ active, served }: Pick<ownRuns.OwnRun, "active" | "served">, giveUp: () => void): boolean {
    const run = this.#backups.get(served)?.run;
    if (run === undefined) return false;
    if (active.resume?.isBackup === true) run.noteLost();
    return run.run.active === active && run.onBroken(giveUp);
  }

  /**
   * @param served - a request with which a run was to go on at the engine with its copy
   * @param detail - why it was not taken
   */
  onRefused(served: servedRequests.ServedRequest, detail: string): void {
    this.#backups.get(served)?.run.onRefused(detail);
  }

  /** @param served - a request that goes on with a handle or a copy, at its first event there */
  noteResumed(served: servedRequests.ServedRequest): void {
    this.#backups.get(served)?.run.noteResumed();
  }

  /** @param served - a request whose stream is complete, so that the copy is dropped */
  noteComplete(served: servedRequests.ServedRequest): void {
    this.#drop(served, false);
  }

  /** @param served - a request that is over */
  noteOver(served: servedRequests.ServedRequest): void {
    this.#drop(served, true);
  }

  #drop(served: servedRequests.ServedRequest, isKept: boolean): void {
    const backup = this.#backups.get(served);
    if (backup === undefined) return;
    this.#backups.delete(served);
    backup.run.end();
    this.#policy.release(backup.reservation, isKept ? performance.now() + backup.handleMs : undefined);
  }

  /** The stream as the policy sees it; undefined if its service allows no backups, or if it can't have one. */
  #candidate({ active, served }: ownRuns.OwnRun): Candidate | undefined {
    const { demand, loads, speeds, suspects, view } = this.#context();
    const engineLimits = view.table?.service(served.service)?.engine;
    const { prompt } = served.caller.headers;
    const isStream = served.route.requestClass === serving.RequestClass.Stream;
    if (engineLimits?.backups !== true || !isStream || prompt === undefined) return undefined;
    // A run that has been moved already has had its copy; one under which engines crashed is kept from others.
    if (active.resume !== undefined || suspects.isSuspected(served)) return undefined;
    const events = demand.expectedEvents(prompt.outputTokens);
    const { baseMs, perStreamMs } = speeds.of(served.service).pause;
    const running = loads.runningRequests(active.endpoint.id, performance.now());
    return {
      engineLimits,
      isRepeatable: served.isRepeatable,
      expectedMs: events === undefined ? undefined : events * (baseMs + running * perStreamMs),
      tokens: prompt.promptTokens + prompt.outputTokens,
    };
  }

  #choose({ active, served }: ownRuns.OwnRun, candidate: Candidate, now: number): serving.Endpoint | undefined {
    const context = this.#context();
    const { dataCentre } = active.endpoint;
    const candidates = destinations
      .destinationsOf(context, served, candidate.tokens, () => 0, now)
      .map((destination) => ({
        ...destination,
        transferFactor:
          context.distances?.transferFactor(dataCentre, destination.endpoint.dataCentre) ??
          (dataCentre === destination.endpoint.dataCentre ? 1 : OTHER_DATA_CENTRE_FACTOR),
      }));
    const bounds = { memoryTokens: candidate.engineLimits.memoryTokens, liveDaemons: context.liveDaemons() };
    return this.#policy.chooseBackup(candidate, active.endpoint, candidates, bounds, now);
  }

  #logChoice(
    { active, served }: ownRuns.OwnRun,
    { expectedMs, tokens }: Candidate,
    backup: serving.Endpoint | undefined,
    now: number,
  ): void {
    const { endpoint } = active;
    this.#context().log.info("run-backup", {
      id: served.id,
      state: backup === undefined ? "none" : "copied",
      reason: endpoint.reclaimable === true ? "reclaimable" : "unreliable",
      isUnreliable: this.#policy.isUnreliable(endpoint, now),
      source: endpoint.id,
      destination: backup?.id,
      tokens,
      expectedMs: expectedMs === undefined ? undefined : Math.round(expectedMs),
    });
  }
}
