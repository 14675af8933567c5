/** Where a run is that goes on at another engine than the one it began at. */
export enum RunPhase {
  /** It runs at the source, and nothing is under way. */
  Running = "running",
  /** It runs at the source, and its KV cache is being copied. */
  Copying = "copying",
  /** The call that stops it at the source is under way. */
  Stopping = "stopping",
  /** The source has stopped it and keeps its KV cache; its stream is still open here. */
  Stopped = "stopped",
  /** Its stream has broken off, a second engine has a copy, and it isn't known yet whether the source has ended. */
  Confirming = "confirming",
  /** The request has been sent with the source's handle, or to the engine that has a copy. */
  Resuming = "resuming",
  /** Nothing is moved any more. */
  Ended = "ended",
}

/** What became of a call that copies a run. */
export enum MoveOutcome {
  Copied = "copied",
  /** The destination has no room or can't be reached. */
  NoRoom = "no-room",
  /** The source runs no such request. */
  NoRun = "no-run",
  /** Another call for the run is under way. */
  InProgress = "in-progress",
  /** No answer, or one that can't be read: the call may have been executed. */
  Lost = "lost",
}

/** The answer to a call that copies a run. */
export interface MoveAnswer {
  readonly outcome: MoveOutcome;
  /** Names the KV cache at the source, if the answer has a handle. */
  readonly handle?: string | undefined;
}

/** How the stream of a run closed. */
export enum StreamClose {
  /** By its framing the answer is incomplete, or the connection broke. */
  Broken = "broken",
  /** In order, without a length or chunks that would tell whether the answer is complete. */
  Unframed = "unframed",
}

/** What follows an event of a run. */
export enum RunStep {
  /** Nothing now: another event decides. */
  Wait = "wait",
  /** Copy the KV cache while the run goes on. */
  Copy = "copy",
  /** Stop the run at the source and copy what is new. */
  Stop = "stop",
  ResumeAtDestination = "resume-at-destination",
  ResumeAtSource = "resume-at-source",
  /** Find out whether the source has ended. */
  ConfirmEnd = "confirm-end",
  /** Send the request to the engine that has a copy. */
  ResumeAtBackup = "resume-at-backup",
  /** The move is given up, and the stream goes on as if there had been none. */
  Abandon = "abandon",
  /** The stream has broken off, and no handle lets it go on. */
  Break = "break",
  /** The stream has ended by itself. */
  Complete = "complete",
  /** The request is over: the handle is freed. */
  FreeHandle = "free-handle",
}

/**
 * One run that is moved to another engine, for planned departures that outpace long streams: a release that replaces half of
 * the engines one after the other. Or one whose engine is lost and that goes on with the copy at a second engine.
 *
 * The request is sent with a handle only after the source has said that it stopped the run, and after the run's stream has
 * closed or was cancelled. So the run is never active at two engines. Where the answer to the stopping call is lost, nothing is
 * known: the stream is then handled as any that breaks off. Without a handle, the request is sent to the engine with the copy only
 * after the source is confirmed to have ended: a source whose connection broke may still work on the run.
 */
export class RunState {
  #phase = RunPhase.Running;
  #handle: string | undefined;
  #close: StreamClose | undefined;
  /** Whether a call that may have stopped the run had no answer that tells. */
  #mayBeStopped = false;
  #resumesLeft: RunStep[] = [];

  /** @returns where the run is */
  get phase(): RunPhase {
    return this.#phase;
  }

  /** @returns the handle of the source's KV cache, if an answer named it */
  get handle(): string | undefined {
    return this.#handle;
  }

  /** @returns whether the run may have been stopped without an answer that tells; it is not moved again */
  get mayBeStopped(): boolean {
    return this.#mayBeStopped;
  }

  /** @returns whether the source has been told to stop the run, and the request has not been sent again yet */
  get isBeingStopped(): boolean {
    return this.#phase === RunPhase.Stopping || this.#phase === RunPhase.Stopped;
  }

  /** @returns the first step of a move */
  begin(): RunStep {
    if (this.#phase !== RunPhase.Running || this.#mayBeStopped) return RunStep.Wait;
    this.#phase = RunPhase.Copying;
    return RunStep.Copy;
  }

  /**
   * @param answer - the answer to the copy while the run goes on
   * @param mayContinue - whether the destination may still take the run
   * @returns the next step
   */
  copied(answer: MoveAnswer, mayContinue: boolean): RunStep {
    if (this.#phase === RunPhase.Ended) return this.#freeLate(answer.handle);
    if (this.#phase !== RunPhase.Copying) return RunStep.Wait;
    if (answer.outcome !== MoveOutcome.Copied || !mayContinue) {
      this.#phase = RunPhase.Running;
      return RunStep.Abandon;
    }
    this.#phase = RunPhase.Stopping;
    return RunStep.Stop;
  }

  /**
   * @param answer - the answer to the call that stops the run
   * @returns the next step
   */
  stopped(answer: MoveAnswer): RunStep {
    const { outcome, handle } = answer;
    if (this.#phase === RunPhase.Ended) return this.#freeLate(handle);
    if (this.#phase !== RunPhase.Stopping) return RunStep.Wait;
    const isKept = outcome === MoveOutcome.Copied || outcome === MoveOutcome.NoRoom;
    if (isKept && handle !== undefined) return this.#noteStopped(outcome, handle);
    if (outcome !== MoveOutcome.NoRun) this.#mayBeStopped = true;
    this.#phase = RunPhase.Running;
    return this.#close === undefined ? RunStep.Abandon : this.#afterClose(this.#close);
  }

  /**
   * @param close - how the stream closed without the end that its framing asks for
   * @returns the next step
   */
  closed(close: StreamClose): RunStep {
    this.#close = close;
    if (this.#phase === RunPhase.Stopping) return RunStep.Wait;
    if (this.#phase === RunPhase.Stopped) return this.#resume();
    return this.#afterClose(close);
  }

  /**
   * The stream has broken off while nothing was moved, and a second engine has a copy of the run.
   *
   * @returns the next step
   */
  lost(): RunStep {
    if (this.#phase !== RunPhase.Running) return RunStep.Wait;
    this.#phase = RunPhase.Confirming;
    return RunStep.ConfirmEnd;
  }

  /**
   * The source has ended: its connections are refused, or another incarnation is at its address.
   *
   * @param mayResume - whether the engine with the copy may still take the run
   * @returns the next step
   */
  confirmed(mayResume: boolean): RunStep {
    if (this.#phase !== RunPhase.Confirming) return RunStep.Wait;
    this.#phase = mayResume ? RunPhase.Resuming : RunPhase.Ended;
    return mayResume ? RunStep.ResumeAtBackup : RunStep.Break;
  }

  /**
   * There was no confirmation in time: the source may still work on the run.
   *
   * @returns the next step
   */
  unconfirmed(): RunStep {
    if (this.#phase !== RunPhase.Confirming) return RunStep.Wait;
    this.#phase = RunPhase.Ended;
    return RunStep.Break;
  }

  /**
   * The stream of a stopped run is still open, and has been cancelled for that.
   *
   * @returns the next step
   */
  cancelled(): RunStep {
    return this.#phase === RunPhase.Stopped ? this.#resume() : RunStep.Wait;
  }

  /**
   * The engine that got the request to go on said that it did not run it, or nothing was sent.
   *
   * @returns the next step
   */
  refused(): RunStep {
    if (this.#phase !== RunPhase.Resuming) return RunStep.Wait;
    return this.#resume();
  }

  /**
   * The request is over, whole or not, or it goes on at the engine that got it with the handle.
   *
   * @param isTaken - whether that engine has taken the handle, or may have
   * @returns the next step
   */
  end(isTaken: boolean): RunStep {
    const mustFree = this.#handle !== undefined && !isTaken && this.#phase !== RunPhase.Ended;
    this.#phase = RunPhase.Ended;
    return mustFree ? RunStep.FreeHandle : RunStep.Wait;
  }

  /** The request was over before the answer came. */
  #freeLate(handle: string | undefined): RunStep {
    this.#handle = handle;
    return handle === undefined ? RunStep.Wait : RunStep.FreeHandle;
  }

  #noteStopped(outcome: MoveOutcome, handle: string): RunStep {
    this.#handle = handle;
    this.#phase = RunPhase.Stopped;
    const back = RunStep.ResumeAtSource;
    // The source keeps the KV cache, so that the run can go back if the destination turns it away.
    this.#resumesLeft = outcome === MoveOutcome.Copied ? [RunStep.ResumeAtDestination, back] : [back];
    return this.#close === undefined ? RunStep.Wait : this.#resume();
  }

  #resume(): RunStep {
    const next = this.#resumesLeft.shift();
    this.#phase = next === undefined ? RunPhase.Ended : RunPhase.Resuming;
    return next ?? RunStep.Break;
  }

  #afterClose(close: StreamClose): RunStep {
    this.#phase = RunPhase.Ended;
    return close === StreamClose.Unframed && !this.#mayBeStopped ? RunStep.Complete : RunStep.Break;
  }
}
