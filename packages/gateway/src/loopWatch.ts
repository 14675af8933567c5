/** Interval at which the event loop leaves a trace of its life, in milliseconds. */
const TURN_EVERY_MS = 200;

/** Gap between two traces above which the process stood still, in milliseconds. */
const STOOD_STILL_MS = 2 * TURN_EVERY_MS;

/** Reads the steady clock and the time of day, both in milliseconds. */
export interface Clocks {
  steady(): number;
  timeOfDay(): number;
}

/** Takes how late the event loop was, in milliseconds. */
export type LatenessListener = (lateMs: number) => void;

const SYSTEM_CLOCKS: Clocks = { steady: () => performance.now(), timeOfDay: () => Date.now() };

/**
 * Tells since when a signal may have been waiting. A process that stands still
 * hears a signal only when it goes on, and counts the time until its forced end
 * from then: it takes and keeps requests that are cut by force before it would
 * have ended. Both clocks are compared, as the steady one may not count the time
 * of a suspension.
 */
export class LoopWatch {
  readonly #clocks: Clocks;
  readonly #onTurn: LatenessListener;
  #steadyAt: number;
  #timeOfDayAt: number;
  #lastLateMs = 0;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param clocks - the clocks; the system's unless a test gives others
   * @param onTurn - called at each trace, with how much later it was left than it should have been
   */
  constructor(clocks: Clocks = SYSTEM_CLOCKS, onTurn: LatenessListener = () => undefined) {
    this.#clocks = clocks;
    this.#onTurn = onTurn;
    this.#steadyAt = clocks.steady();
    this.#timeOfDayAt = clocks.timeOfDay();
  }

  /**
   * Begins to watch. After a stop the overdue timer runs before a signal that
   * waits is heard, and would wipe out the trace of the gap; what is put off to
   * the end of the loop's turn comes after it.
   */
  start(): void {
    this.#timer = setInterval(() => setImmediate(() => this.turn()), TURN_EVERY_MS);
  }

  /** Ends watching. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** The event loop is alive. */
  turn(): void {
    const now = this.#clocks.steady();
    this.#lastLateMs = Math.max(0, now - this.#steadyAt - TURN_EVERY_MS);
    this.#onTurn(this.#lastLateMs);
    this.#steadyAt = now;
    this.#timeOfDayAt = this.#clocks.timeOfDay();
  }

  /**
   * What is heard now may have lain in its socket for the last turn of the event loop and this one.
   *
   * @returns how late either is, whichever is later, in milliseconds
   */
  get lateMs(): number {
    return Math.max(this.#lastLateMs, this.#clocks.steady() - this.#steadyAt - TURN_EVERY_MS);
  }

  /** @returns earliest instant of the steady clock, in milliseconds, at which a signal heard now may have come */
  signalledFrom(): number {
    const now = this.#clocks.steady();
    const stillMs = Math.max(now - this.#steadyAt, this.#clocks.timeOfDay() - this.#timeOfDayAt);
    return stillMs > STOOD_STILL_MS ? now - stillMs : now;
  }
}
