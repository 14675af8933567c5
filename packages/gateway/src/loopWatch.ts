/** Interval of the event loop's heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 200;

/** Time since the last heartbeat above which the process was paused, in milliseconds. */
const PAUSE_MS = 2 * HEARTBEAT_INTERVAL_MS;

/**
 * Time within which a second heartbeat is an overdue one, in milliseconds: its timer became due during a pause that began after the
 * timer of the first one had run. It must not hide the pause.
 */
const OVERDUE_MS = HEARTBEAT_INTERVAL_MS / 2;

/** A monotonic clock and the system time, both in milliseconds. */
export interface Clocks {
  monotonic(): number;
  systemTime(): number;
}

/** When a heartbeat was recorded, by both clocks. */
interface Heartbeat {
  readonly monotonicAt: number;
  readonly systemTimeAt: number;
}

/** Called with the delay of the event loop, in milliseconds. */
export type DelayListener = (lateMs: number) => void;

const SYSTEM_CLOCKS: Clocks = { monotonic: () => performance.now(), systemTime: () => Date.now() };

/**
 * Monitors the event loop, and estimates since when a signal may have been pending. A paused process receives a signal
 * only when it resumes. If it counted the time until it is killed from then, it would accept and keep requests that are
 * cut when it is killed before its own end. Both clocks are compared, as the monotonic one may not advance during a
 * suspension.
 */
export class LoopWatch {
  readonly #clocks: Clocks;
  readonly #onHeartbeat: DelayListener;
  #last: Heartbeat;
  /** The heartbeat before the last one. */
  #previous: Heartbeat;
  #lastLateMs = 0;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param clocks - the clocks; tests replace those of the system
   * @param onHeartbeat - called at each heartbeat, with its delay
   */
  constructor(clocks: Clocks = SYSTEM_CLOCKS, onHeartbeat: DelayListener = () => undefined) {
    this.#clocks = clocks;
    this.#onHeartbeat = onHeartbeat;
    this.#last = { monotonicAt: clocks.monotonic(), systemTimeAt: clocks.systemTime() };
    this.#previous = this.#last;
  }

  /**
   * Starts monitoring. After a pause of the process, the overdue timer runs before the pending signal is handled; a
   * heartbeat recorded in the timer itself would hide the pause. setImmediate records it after the signal.
   */
  start(): void {
    this.#timer = setInterval(() => setImmediate(() => this.recordHeartbeat()), HEARTBEAT_INTERVAL_MS);
  }

  /** Stops monitoring. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Records that the event loop is running. */
  recordHeartbeat(): void {
    const now = this.#clocks.monotonic();
    if (now - this.#last.monotonicAt < OVERDUE_MS) return;
    this.#lastLateMs = Math.max(0, now - this.#last.monotonicAt - HEARTBEAT_INTERVAL_MS);
    this.#onHeartbeat(this.#lastLateMs);
    this.#previous = this.#last;
    this.#last = { monotonicAt: now, systemTimeAt: this.#clocks.systemTime() };
  }

  /**
   * Data that is read now may have been pending in its socket during the last heartbeat interval and the current one.
   *
   * @returns delay of the last heartbeat or of the one that is due, whichever is larger, in milliseconds
   */
  get lateMs(): number {
    return Math.max(this.#lastLateMs, this.#clocks.monotonic() - this.#last.monotonicAt - HEARTBEAT_INTERVAL_MS);
  }

  /**
   * @returns earliest instant of the monotonic clock, in milliseconds, at which a signal received now may have been
   * sent
   */
  earliestSignalAt(): number {
    const now = this.#clocks.monotonic();
    // A pause that ended with the last heartbeat isn't over for a signal that is read right after it.
    const isAfterHeartbeat = now - this.#last.monotonicAt < OVERDUE_MS;
    const { monotonicAt, systemTimeAt } = isAfterHeartbeat ? this.#previous : this.#last;
    const silentMs = Math.max(now - monotonicAt, this.#clocks.systemTime() - systemTimeAt);
    return silentMs > PAUSE_MS ? now - silentMs : now;
  }
}
