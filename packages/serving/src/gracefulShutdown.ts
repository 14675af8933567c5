/** Graceful shutdown of a daemon: which requests it still accepts, and when it exits. */

/**
 * Time before the process is killed at which the final answers are sent, in milliseconds. With a delayed event loop,
 * receiving the signal, checking for the exit and sending the final answers each take one more iteration.
 */
const EXIT_MARGIN_MS = 800;

/**
 * Time between the deadline of an accepted request and the final answers, in milliseconds: even with a delayed event
 * loop, the request ends by its own deadline first.
 */
const DEADLINE_MARGIN_MS = 300;

/** Time before the final answers from which no connection is accepted, in milliseconds; a plain call ends within it. */
const LISTENER_CLOSED_MS = 1_000;

/** Time for which the daemon keeps serving callers that hold an outdated address list, in milliseconds. */
const LINGER_MS = 3_000;

/** Time without a request after which the daemon exits, in milliseconds. */
const IDLE_MS = 700;

/** Time between two checks that counts as a pause of the process, in milliseconds: several checks are missing. */
const PAUSE_MS = 150;

/** Number of gaps between checks that are kept, to distinguish a loop that is always delayed from a single pause. */
const GAP_SAMPLES = 4;

/**
 * Time to wait for answers after a pause, in milliseconds: answers that arrived meanwhile take one iteration of the
 * event loop, plain calls that an endpoint was about to finish take slightly longer.
 */
const CATCH_UP_MS = 250;

/**
 * Time after the regular end up to which such answers are waited for, in milliseconds: the rest of the margin is for
 * sending the final answers.
 */
const MAX_CATCH_UP_MS = 350;

/** What a daemon that shuts down has open. */
export interface ShutdownProgress {
  /** Requests without a final answer. */
  readonly openRequests: number;
  /** Instant of the last request, in milliseconds. */
  readonly lastRequestAt: number;
}

/** The caller-facing listener of a daemon, as the graceful shutdown drives it. */
export interface StoppableListener {
  /** Requests without a final answer. */
  readonly openRequests: number;
  /** Instant of the last request, in milliseconds. */
  readonly lastRequestAt: number;
  /** Whether new connections are no longer accepted. */
  readonly hasStoppedAccepting: boolean;
  /** Stops accepting new connections. */
  stopAccepting(): void;
  /** Sends the final answer to each request that has not been sent to an endpoint. */
  endUnsentRequests(): void;
  /** Sends the final answer to each request whose response has not started. */
  endUnstartedResponses(): void;
}

/** When a daemon was told to stop. */
export interface ShutdownSignal {
  /** Earliest instant at which the signal may have been sent, in milliseconds: before a pause of the process, if any. */
  readonly earliestSignalAt: number;
  /** Instant at which the signal was received, in milliseconds. */
  readonly receivedAt: number;
  /** Time from the signal until the process is killed, in milliseconds. */
  readonly graceMs: number;
}

/**
 * Runs a graceful shutdown in four phases, each entered once:
 *
 * 1. Accept only requests whose own deadline is before the final answers.
 * 2. Accept no new connections.
 * 3. Send nothing more to endpoints, and send the final answer to each request that has none.
 * 4. Exit.
 *
 * No request that was accepted after the signal is open when the last phase begins, as its deadline has ended it;
 * rejected requests are served by another daemon. Requests accepted before the signal, and the final answers, go by the
 * earliest instant at which the signal may have been sent. Streams that have started go by the latest, as they gain
 * nothing from an earlier end.
 */
export class GracefulShutdown {
  readonly #startedAt: number;
  readonly #finalAnswersAt: number;
  readonly #exitAt: number;
  #checkedAt: number;
  /** Times between the last checks, in milliseconds. */
  readonly #gapsMs: number[] = [0];
  #resumedAt = -Infinity;

  /** @param signal - when the daemon was told to stop, and how much time it has */
  constructor(signal: ShutdownSignal) {
    this.#startedAt = signal.earliestSignalAt;
    this.#finalAnswersAt = signal.earliestSignalAt + signal.graceMs - EXIT_MARGIN_MS;
    this.#exitAt = signal.receivedAt + signal.graceMs - EXIT_MARGIN_MS;
    this.#checkedAt = signal.earliestSignalAt;
  }

  /**
   * Records that the daemon checks its shutdown, as it does several times a second. A delayed check shows that the
   * process was paused. After a pause, timers run before pending socket reads, so an answer may be unread in a socket.
   *
   * @param now - current instant in milliseconds
   */
  recordCheck(now: number): void {
    const gapMs = now - this.#checkedAt;
    if (gapMs > PAUSE_MS) this.#resumedAt = now;
    this.#gapsMs.push(gapMs);
    if (this.#gapsMs.length > GAP_SAMPLES) this.#gapsMs.shift();
    this.#checkedAt = now;
  }

  /**
   * Runs one step of the shutdown; call it several times a second. The daemon exits one step after it has stopped
   * accepting connections: pending socket reads run between two steps, so a request that was unread counts as open.
   *
   * @param listener - the caller-facing listener
   * @param now - current instant in milliseconds
   * @returns whether the daemon exits now
   */
  step(listener: StoppableListener, now: number): boolean {
    this.recordCheck(now);
    const mayExit = listener.hasStoppedAccepting;
    if (this.shouldEndUnsent(now)) listener.endUnsentRequests();
    if (this.shouldEndUnstarted(now)) listener.endUnstartedResponses();
    const { openRequests, lastRequestAt } = listener;
    const isComplete = this.isComplete({ openRequests, lastRequestAt }, now);
    if (isComplete && mayExit) return true;
    if (isComplete || this.shouldStopAccepting(now)) listener.stopAccepting();
    return false;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether the time for serving what is still open is over
   */
  isTimeUp(now: number): boolean {
    return now >= this.#exitAt;
  }

  /**
   * @param deadline - instant by which the request ends by its own deadline, in milliseconds
   * @returns whether a request that arrives after the signal is accepted; otherwise it is rejected at once
   */
  accepts(deadline: number): boolean {
    return deadline + DEADLINE_MARGIN_MS <= this.#finalAnswersAt;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether new connections are no longer accepted
   */
  shouldStopAccepting(now: number): boolean {
    return now >= this.#finalAnswersAt - LISTENER_CLOSED_MS;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether requests that have not been sent to an endpoint get their final answer now
   */
  shouldEndUnsent(now: number): boolean {
    return now >= this.#finalAnswersAt;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether requests whose response has not started get their final answer now
   */
  shouldEndUnstarted(now: number): boolean {
    return now >= this.#finalAnswersAt && !this.#isCatchingUp(this.#finalAnswersAt, now);
  }

  /**
   * @param progress - what is open
   * @param now - current instant in milliseconds
   * @returns whether the daemon exits now
   */
  isComplete(progress: ShutdownProgress, now: number): boolean {
    if (now >= this.#exitAt && !(progress.openRequests > 0 && this.#isCatchingUp(this.#exitAt, now))) return true;
    if (progress.openRequests > 0) return false;
    if (this.shouldStopAccepting(now)) return true;
    return now - this.#startedAt > LINGER_MS && now - progress.lastRequestAt > IDLE_MS;
  }

  /**
   * Whether to wait for answers that arrived during a pause: at least until the next check, so that pending socket reads
   * have run; longer while the margin lasts. A loop that is delayed at every check may not get another one before the
   * process is killed. A process that is still alive after that instant was paused together with whatever kills it, and
   * takes the time it needs.
   */
  #isCatchingUp(regularEnd: number, now: number): boolean {
    const isPastKill = this.#resumedAt >= regularEnd + EXIT_MARGIN_MS;
    const latest = isPastKill ? Infinity : regularEnd + MAX_CATCH_UP_MS;
    const shortestGapMs = Math.min(...this.#gapsMs);
    if (now === this.#resumedAt) return shortestGapMs <= PAUSE_MS || now + shortestGapMs < latest;
    return now < Math.min(this.#resumedAt + CATCH_UP_MS, latest);
  }
}
