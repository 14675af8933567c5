/** What a daemon that stops as planned still takes, and when it ends. */

/**
 * Time before the forced end at which the last answers leave, in milliseconds. A late event loop hears the signal, looks
 * at its end and sends the last answers a turn later each.
 */
const MARGIN_MS = 800;

/**
 * Time between the deadline of a request that is accepted and the last answers, in milliseconds: a late event loop still
 * ends the request by its deadline first.
 */
const DEADLINE_SPARE_MS = 300;

/** Time before the last answers from which no connection is accepted, in milliseconds; a plain call ends within it. */
const LAST_MS = 1_000;

/** Time for which it stays for callers that hold an older answer with addresses, in milliseconds. */
const LINGER_MS = 3_000;

/** Time without a request after which it ends, in milliseconds. */
const QUIET_MS = 700;

/** Time between two looks from which the process was paused between them, in milliseconds: several looks are missing. */
const PAUSE_MS = 150;

/** Looks by which a loop that is late at each is told from a single pause. */
const USUAL_GAPS = 4;

/**
 * Time for answers after a pause, in milliseconds: those that came meanwhile take a turn of the event loop, those of
 * plain calls that an endpoint was about to finish a little longer.
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
  readonly hasStoppedAccepting: boolean;
  /** Accepts no connection from now on. */
  stopAccepting(): void;
  /** Gives what has not left for an endpoint its final answer. */
  endUnsentRequests(): void;
  /** Gives each request whose answer has not begun its final answer. */
  endUnstartedResponses(): void;
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
 * Four phases, each entered once: accepting what is over by its own deadline before the last answers leave; accepting
 * no connection; sending nothing more to endpoints, and giving what has no answer its final one; ended. Nothing accepted
 * after the signal is open when the last phase begins, as its deadline has ended it; what is rejected is served
 * by another daemon. What was accepted before the signal, and the last answers, go by the earliest instant at which the
 * signal may have come; streams that have begun go on by the latest, as they gain nothing from an earlier end.
 */
export class GracefulShutdown {
  readonly #beganAt: number;
  readonly #answersBy: number;
  readonly #endsAt: number;
  #lookedAt: number;
  /** Times between the last looks, in milliseconds. */
  readonly #gapsMs: number[] = [0];
  #resumedAt = -Infinity;

  /** @param signal - when the daemon was told to stop, and how much time it has */
  constructor(signal: StopSignal) {
    this.#beganAt = signal.earliestAt;
    this.#answersBy = signal.earliestAt + signal.graceMs - MARGIN_MS;
    this.#endsAt = signal.heardAt + signal.graceMs - MARGIN_MS;
    this.#lookedAt = signal.earliestAt;
  }

  /**
   * The daemon looks at its stop, as it does several times a second. A look that comes late shows a pause of the process,
   * after which timers run before pending socket reads: an answer may lie in a socket, unread.
   *
   * @param now - current instant in milliseconds
   */
  look(now: number): void {
    const gapMs = now - this.#lookedAt;
    if (gapMs > PAUSE_MS) this.#resumedAt = now;
    this.#gapsMs.push(gapMs);
    if (this.#gapsMs.length > USUAL_GAPS) this.#gapsMs.shift();
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
    const mayEnd = listener.hasStoppedAccepting;
    if (this.endsUnsent(now)) listener.endUnsentRequests();
    if (this.endsUnbegun(now)) listener.endUnstartedResponses();
    const { openRequests: open, lastRequestAt } = listener;
    const isOver = this.isOver({ open, lastRequestAt }, now);
    if (isOver && mayEnd) return true;
    if (isOver || this.closesDoor(now)) listener.stopAccepting();
    return false;
  }

  /**
   * @param answerBy - instant by which the request is over by its own deadline, in milliseconds
   * @returns whether a request that comes after the signal is accepted; otherwise it is rejected at once
   */
  accepts(answerBy: number): boolean {
    return answerBy + DEADLINE_SPARE_MS <= this.#answersBy;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether no connection is accepted any more
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
   * At least until the next look, so that the sockets have had their turn; longer while the margin lasts. A loop that is
   * late at each look may have no further one before the forced end. A process that is still alive after its forced end
   * was not the only one to pause, and takes the time that it needs.
   */
  #catchesUp(regularEnd: number, now: number): boolean {
    const pastForcedEnd = this.#resumedAt >= regularEnd + MARGIN_MS;
    const latest = pastForcedEnd ? Infinity : regularEnd + LATEST_MS;
    const usualGapMs = Math.min(...this.#gapsMs);
    if (now === this.#resumedAt) return usualGapMs <= PAUSE_MS || now + usualGapMs < latest;
    return now < Math.min(this.#resumedAt + CATCH_UP_MS, latest);
  }
}
