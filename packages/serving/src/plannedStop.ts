/** What a daemon that stops as planned still takes, and when it ends. */

/**
 * Time for which a stopping daemon takes whatever comes, in milliseconds: callers
 * keep an answer with addresses for two seconds, and need a little for the way.
 */
const CALLERS_MOVE_MS = 2_500;

/** Margin before the forced end at which the daemon ends by itself, in milliseconds. */
const MARGIN_MS = 600;

/** Time before its end from which it takes no connection, in milliseconds; a plain call ends within it. */
const LAST_MS = 1_000;

/** Time for which it stays for callers that hold an older answer with addresses, in milliseconds. */
const LINGER_MS = 3_000;

/** Time without a request after which it ends, in milliseconds. */
const QUIET_MS = 700;

/** Time between two looks from which the daemon stood still between them, in milliseconds: several looks are missing. */
const STOOD_STILL_MS = 150;

/**
 * Time for answers after the daemon stood still, in milliseconds: those that came meanwhile take a turn of the event
 * loop, those of plain calls that an endpoint was about to finish a little longer.
 */
const CATCH_UP_MS = 250;

/**
 * Time after the regular end up to which such answers are waited for, in milliseconds: the rest of the margin is for
 * the last answers to leave.
 */
const LATEST_MS = 350;

/** What a stopping daemon has open. */
export interface StopProgress {
  /** Requests without a final answer. */
  readonly open: number;
  /** Instant of the last request, in milliseconds. */
  readonly lastRequestAt: number;
}

/** The side of a daemon that faces callers, as a planned stop drives it. */
export interface StoppableListener {
  /** Requests without a final answer. */
  readonly openRequests: number;
  /** Instant of the last request, in milliseconds. */
  readonly lastRequestAt: number;
  /** Whether no connection is accepted any more. */
  readonly doorIsClosed: boolean;
  /** Accepts no connection from now on. */
  closeDoor(): void;
  /** Gives what has not left for an endpoint its final answer. */
  endUnsent(): void;
  /** Gives each request whose answer has not begun its final answer. */
  endUnbegun(): void;
}

/** When a daemon was told to stop. */
export interface StopSignal {
  /** Earliest instant at which the signal may have come, in milliseconds: earlier if the process stood still then. */
  readonly earliestAt: number;
  /** Instant at which it was heard, in milliseconds. */
  readonly heardAt: number;
  /** Time from the signal until the process is ended by force, in milliseconds. */
  readonly graceMs: number;
}

/**
 * The load it answers: callers that hold an old address go on coming to the last
 * moment, with streams that last seconds. What is taken and can't end before the
 * process does is cut in the middle of its answer, though it ran; told at once
 * that it has not run, it is served by another daemon. What is taken, and the
 * last answers, go by the earliest instant of the signal; streams that have begun
 * go on by the latest, as they gain nothing from an earlier end.
 */
export class PlannedStop {
  readonly #beganAt: number;
  readonly #answersBy: number;
  readonly #endsAt: number;
  #lookedAt: number;
  #wentOnAt = -Infinity;

  /** @param signal - when the daemon was told to stop, and how much time it has */
  constructor(signal: StopSignal) {
    this.#beganAt = signal.earliestAt;
    this.#answersBy = signal.earliestAt + signal.graceMs - MARGIN_MS;
    this.#endsAt = signal.heardAt + signal.graceMs - MARGIN_MS;
    this.#lookedAt = signal.earliestAt;
  }

  /**
   * The daemon looks at its stop, as it does several times a second. A look that comes late tells that it stood still.
   * Timers have their turn before sockets then: without this, each open call was told that its answer is lost, though
   * it ran and its answer lay in the socket.
   *
   * @param now - current instant in milliseconds
   */
  look(now: number): void {
    if (now - this.#lookedAt > STOOD_STILL_MS) this.#wentOnAt = now;
    this.#lookedAt = now;
  }

  /**
   * One step of the stop, to be taken several times a second. A daemon that may end does so one step after it has closed
   * its door: between two steps the sockets have their turn, and what lay unread in a connection is open then.
   *
   * @param listener - the side that faces callers
   * @param now - current instant in milliseconds
   * @returns whether the daemon ends now
   */
  step(listener: StoppableListener, now: number): boolean {
    this.look(now);
    const mayEnd = listener.doorIsClosed;
    if (this.endsUnsent(now)) listener.endUnsent();
    if (this.endsUnbegun(now)) listener.endUnbegun();
    const { openRequests: open, lastRequestAt } = listener;
    const isOver = this.isOver({ open, lastRequestAt }, now);
    if (isOver && mayEnd) return true;
    if (isOver || this.closesDoor(now)) listener.closeDoor();
    return false;
  }

  /**
   * Once callers have had the time to move, only what must be over by its own
   * deadline before the process ends is taken.
   *
   * @param answerBy - instant by which the request has its final answer at the latest, in milliseconds
   * @param now - current instant in milliseconds
   * @returns whether the request is taken
   */
  takes(answerBy: number, now: number): boolean {
    if (answerBy <= this.#answersBy) return true;
    return now < this.#beganAt + CALLERS_MOVE_MS && now < this.#answersBy - LAST_MS;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether no connection is taken any more
   */
  closesDoor(now: number): boolean {
    return now >= this.#answersBy - LAST_MS;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether requests that have not left for an endpoint get their final answer now
   */
  endsUnsent(now: number): boolean {
    return now >= this.#answersBy;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether requests whose answer has not begun get a final one now
   */
  endsUnbegun(now: number): boolean {
    return now >= this.#answersBy && !this.#catchesUp(this.#answersBy, now);
  }

  /**
   * @param progress - what is open
   * @param now - current instant in milliseconds
   * @returns whether the daemon ends now
   */
  isOver(progress: StopProgress, now: number): boolean {
    if (now >= this.#endsAt && !(progress.open > 0 && this.#catchesUp(this.#endsAt, now))) return true;
    if (progress.open > 0) return false;
    if (this.closesDoor(now)) return true;
    return now - this.#beganAt > LINGER_MS && now - progress.lastRequestAt > QUIET_MS;
  }

  /**
   * At least until the next look, so that the sockets have had their turn; longer while the margin lasts. One that is
   * still alive after its forced end was not the only one to stand still, and takes the time that it needs.
   */
  #catchesUp(regularEnd: number, now: number): boolean {
    if (now === this.#wentOnAt) return true;
    const pastForcedEnd = this.#wentOnAt >= regularEnd + MARGIN_MS;
    const latest = pastForcedEnd ? Infinity : regularEnd + LATEST_MS;
    return now < Math.min(this.#wentOnAt + CATCH_UP_MS, latest);
  }
}
