import * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import * as plannedSends from "../sends/plannedSend.js";
import type * as ownRuns from "./ownRuns.js";

/** Time for the confirmation that an engine has ended in milliseconds: callers leave after 2 s without an event. */
const CONFIRM_TIMEOUT_MS = 500;

/** Pause between two attempts to confirm it, in milliseconds. */
const CONFIRM_INTERVAL_MS = 50;

/** Dependencies of {@link BackedUpRun}. */
export interface BackedUpRunParts {
  readonly context: contexts.ServingContext;
  readonly run: ownRuns.OwnRun;
  /** The engine that keeps a copy of the run. */
  readonly backup: serving.Endpoint;
}

/** A run of which a second engine keeps a copy, and which goes on there once its engine is confirmed to have ended. */
export class BackedUpRun {
  readonly #parts: BackedUpRunParts;
  readonly #state = new serving.RunState();
  #lostAt = 0;
  #giveUp: () => void = () => undefined;
  #deadline: NodeJS.Timeout | undefined;
  #nextAttempt: NodeJS.Timeout | undefined;

  /** @param parts - dependencies */
  constructor(parts: BackedUpRunParts) {
    this.#parts = parts;
  }

  /** @returns the run */
  get run(): ownRuns.OwnRun {
    return this.#parts.run;
  }

  /** @returns whether the request has been sent to the backup, which has brought no event yet */
  get isResuming(): boolean {
    return this.#state.phase === serving.RunPhase.Resuming;
  }

  /**
   * The stream has broken off.
   *
   * @param giveUp - ends the stream; called if the run doesn't go on at the backup
   * @returns whether that is decided here, now or later
   */
  onBroken(giveUp: () => void): boolean {
    if (this.#state.lost() !== serving.RunStep.ConfirmEnd) return false;
    this.#lostAt = performance.now();
    this.#giveUp = giveUp;
    this.log("confirm-end", "stream-broken");
    // An attempt may take as long as all of the time.
    this.#deadline = setTimeout(() => this.#fail(this.#state.unconfirmed(), "unconfirmed"), CONFIRM_TIMEOUT_MS);
    void this.#confirm();
    return true;
  }

  /**
   * The backup didn't take the run, or nothing was sent.
   *
   * @param detail - why
   */
  onRefused(detail: string): void {
    if (this.#state.refused() === serving.RunStep.Break) this.#countFailed(`refused: ${detail}`);
  }

  /** The backup has brought an event. */
  noteResumed(): void {
    if (!this.isResuming) return;
    this.#state.end(true);
    this.#parts.context.metrics.count("runs_resumed_from_backup");
    this.log("resumed", undefined);
  }

  /** The backup has broken the stream off before its first event. */
  noteLost(): void {
    if (!this.isResuming) return;
    this.#state.end(true);
    this.#countFailed("backup-lost");
  }

  /** The request is over, or goes on elsewhere. */
  end(): void {
    const isAwaited = this.#state.phase === serving.RunPhase.Confirming || this.isResuming;
    this.#clearTimers();
    this.#state.end(true);
    if (isAwaited) this.log("ended", "request-over");
  }

  /**
   * @param state - what becomes of the run
   * @param reason - why, if that needs saying
   */
  log(state: string, reason: string | undefined): void {
    const { backup, context, run } = this.#parts;
    const { progress, id } = run.served;
    context.log.info("run-backup", {
      id,
      state,
      reason,
      source: run.active.endpoint.id,
      destination: backup.id,
      events: progress.events,
      after: progress.lastEventId,
      lostMs: this.#lostAt === 0 ? undefined : Math.round(performance.now() - this.#lostAt),
    });
  }

  async #confirm(): Promise<void> {
    try {
      const evidence = await this.#findEvidence();
      if (this.#state.phase !== serving.RunPhase.Confirming) return;
      if (evidence === undefined) this.#nextAttempt = setTimeout(() => void this.#confirm(), CONFIRM_INTERVAL_MS);
      else this.#onConfirmed(evidence);
    } catch (error) {
      // Uncaught, it would end the daemon.
      const { context, run } = this.#parts;
      context.log.warn("run-backup-fault", { id: run.served.id, detail: String(error) });
      this.#fail(this.#state.unconfirmed(), "fault");
    }
  }

  /**
   * Neither a broken connection nor an entry that is gone proves that the engine has ended: it may have lost only the answer, and
   * some engines remove their entries and go on.
   */
  async #findEvidence(): Promise<string | undefined> {
    const { context, run } = this.#parts;
    const source = run.active.endpoint;
    const { directory } = context.view;
    if (hasSuccessor(directory, source)) return "restarted";
    // Under the same id another incarnation may be at another address: its refusal says nothing of this one.
    const isRefusing = directory.isSameIncarnation(source) && (await context.crashDetector.isRefusing(source));
    return isRefusing && directory.isSameIncarnation(source) ? "refused" : undefined;
  }

  #onConfirmed(evidence: string): void {
    const { backup, run } = this.#parts;
    const obstacle = this.#obstacle();
    const step = this.#state.confirmed(obstacle === undefined);
    if (step !== serving.RunStep.ResumeAtBackup) {
      this.#fail(step, obstacle ?? evidence);
      return;
    }
    this.#clearTimers();
    this.log(step, evidence);
    const resume = { source: backup, handle: run.served.id, isReturn: false, isBackup: true };
    const planned = { endpoint: backup, stage: plannedSends.Stage.Answering, predictedMs: 0, plan: undefined, resume };
    run.host.resumeAtBackup(planned, run.active);
  }

  /** Why the run can't go on at the backup, if it can't. */
  #obstacle(): string | undefined {
    const { backup, context, run } = this.#parts;
    const { served } = run;
    const { directory } = context.view;
    const isThere = directory.availableEndpoint(backup.id)?.address === backup.address;
    if (!isThere || !directory.isSameIncarnation(backup)) return "backup-unusable";
    if (served.isStreamBegun && !(served.progress.isLastEventNamed && served.mayGoOnAt(backup))) return "not-resumable";
    // A request that is to run alone, or not at all, must not reach an engine that runs others.
    const admitted = context.suspects.admit(served);
    return admitted.isErr() || admitted.value ? "suspected" : undefined;
  }

  #fail(step: serving.RunStep, reason: string): void {
    if (step !== serving.RunStep.Break) return;
    this.#clearTimers();
    this.#countFailed(reason);
    this.#giveUp();
  }

  #countFailed(reason: string): void {
    this.#parts.context.metrics.count("run_backups_failed");
    this.log("failed", reason);
  }

  #clearTimers(): void {
    clearTimeout(this.#deadline);
    clearTimeout(this.#nextAttempt);
  }
}

/** Whether a later incarnation of any endpoint of the service is at the address: only one process can listen there. */
function hasSuccessor(directory: serving.EndpointDirectory, source: serving.Endpoint): boolean {
  const { address, bornAt, service } = source;
  if (bornAt === undefined) return false;
  return directory
    .availableEndpoints(service)
    .some((each) => each.address === address && each.bornAt !== undefined && each.bornAt > bornAt);
}
