/** An answer of a plain endpoint, and what was known when its request was sent. */
export interface AnswerSample {
  /** Time from the send to the answer, without the network, in milliseconds. */
  readonly tookMs: number;
  /** Requests of all daemons that ran at the endpoint after the send, this one included. */
  readonly running: number;
}

/** Learns how many concurrent requests of all daemons together an endpoint can handle. */
export interface ConcurrencyLimit {
  /**
   * @param now - current instant in milliseconds
   * @returns the number of requests, at least 1
   */
  limit(now: number): number;
  /**
   * @param sample - an answer
   * @param now - current instant in milliseconds
   */
  onAnswer(sample: AnswerSample, now: number): void;
  /** @param now - instant at which the endpoint declined a request without running it, in milliseconds */
  onDeclined(now: number): void;
}

/** Maximum of a limit, in multiples of the endpoint's slots. */
const MAX_SLOTS_FACTOR = 2;

/** Factor by which a decline lowers the limit. */
const DECLINE_FACTOR = 0.5;

/**
 * Time in which several declines count as one, in milliseconds: those of the same burst were sent under the same limit.
 * A call's objective is about as long, so that each caller finds a limit that has taken the last decline into account.
 */
const DECLINE_INTERVAL_MS = 100;

/**
 * Time in which a limit that has been lowered returns half of the way to the slots, in milliseconds. A call's objective
 * is about as long: what is rejected meanwhile could not have been answered in time.
 */
const RECOVERY_HALF_LIFE_MS = 100;

/**
 * Time after a decline for which a limit stays at the slots, in milliseconds. An endpoint that rejects what exceeds them
 * has no queue, so that its latency never shows that the limit is too high.
 */
const DECLINED_FOR_MS = 30_000;

/** Bounds and recovery that all limits share. */
abstract class BoundedLimit implements ConcurrencyLimit {
  protected readonly slots: number;
  protected value: number;
  #changedAt = 0;
  #declinedAt = Number.NEGATIVE_INFINITY;

  /** @param slots - requests that the endpoint says it runs at the same time */
  constructor(slots: number) {
    this.slots = Math.max(1, slots);
    this.value = this.slots;
  }

  /** {@inheritDoc ConcurrencyLimit.limit} */
  limit(now: number): number {
    return Math.max(1, Math.floor(this.#recovered(now)));
  }

  /** {@inheritDoc ConcurrencyLimit.onAnswer} */
  abstract onAnswer(sample: AnswerSample, now: number): void;

  /** {@inheritDoc ConcurrencyLimit.onDeclined} */
  onDeclined(now: number): void {
    if (now - this.#declinedAt < DECLINE_INTERVAL_MS) return;
    this.#declinedAt = now;
    this.change(this.#recovered(now) * DECLINE_FACTOR, now);
  }

  /**
   * @param value - the new limit, before bounds
   * @param now - current instant in milliseconds
   */
  protected change(value: number, now: number): void {
    const hasDeclined = now - this.#declinedAt < DECLINED_FOR_MS;
    this.value = Math.max(1, Math.min((hasDeclined ? 1 : MAX_SLOTS_FACTOR) * this.slots, value));
    this.#changedAt = now;
  }

  /** A limit below the slots would never be tested by a daemon that sends nothing under it. */
  #recovered(now: number): number {
    if (this.value >= this.slots) return this.value;
    const missing = (this.slots - this.value) * 0.5 ** ((now - this.#changedAt) / RECOVERY_HALF_LIFE_MS);
    return this.slots - missing;
  }
}

/** Answers and time that one comparison takes at least. */
const WINDOW = { answers: 8, milliseconds: 100 };

/**
 * Shortest answer of a window in multiples of the shortest of a long time from which requests wait in the endpoint. The
 * shortest of eight answers varies by about as much where two kinds of work take 21 and 86 ms.
 */
const TOLERANCE = 1.6;

/** Smallest gradient of one comparison: the limit falls by a third at most, as one window may hold long calls only. */
const MIN_GRADIENT = 0.67;

/** Time constant with which the long-term minimum ages upwards, in milliseconds: the work of an endpoint changes. */
const MINIMUM_AGING_MS = 30_000;

/** Part of the limit that has to be used for it to rise. */
const USED_SHARE = 0.8;

/**
 * Gradient of latency: compares the shortest answer of a short time with that of a long one. The shortest answers have not
 * been delayed by long calls, so that they show waiting in the endpoint, or an endpoint that has slowed down, and not the
 * tail of the work.
 */
export class GradientLimit extends BoundedLimit {
  #longMinimumMs = Number.POSITIVE_INFINITY;
  #shortMinimumMs = Number.POSITIVE_INFINITY;
  #answers = 0;
  #mostRunning = 0;
  #windowFrom = Number.NEGATIVE_INFINITY;

  /** {@inheritDoc ConcurrencyLimit.onAnswer} */
  override onAnswer({ tookMs, running }: AnswerSample, now: number): void {
    if (this.#answers === 0) this.#windowFrom = now;
    this.#answers++;
    this.#shortMinimumMs = Math.min(this.#shortMinimumMs, Math.max(1, tookMs));
    this.#mostRunning = Math.max(this.#mostRunning, running);
    const spanMs = now - this.#windowFrom;
    if (this.#answers < WINDOW.answers || spanMs < WINDOW.milliseconds) return;
    this.#longMinimumMs *= Math.exp(spanMs / MINIMUM_AGING_MS);
    this.#longMinimumMs = Math.min(this.#longMinimumMs, this.#shortMinimumMs);
    this.#adjust(now);
    this.#answers = 0;
    this.#mostRunning = 0;
    this.#shortMinimumMs = Number.POSITIVE_INFINITY;
  }

  #adjust(now: number): void {
    const gradient = Math.max(MIN_GRADIENT, Math.min(1, (TOLERANCE * this.#longMinimumMs) / this.#shortMinimumMs));
    if (gradient < 1) this.change(this.value * gradient, now);
    else if (this.#mostRunning >= USED_SHARE * this.value) this.change(this.value + 1, now);
  }
}

/** Latency in multiples of the shortest one known from which the limit falls. */
const AIMD_SLOW_FACTOR = 5;

/** Factor by which it then falls. */
const AIMD_DECREASE = 0.9;

/** Additive increase, multiplicative decrease by single answers; compared with {@link GradientLimit} in the replay. */
export class AimdLimit extends BoundedLimit {
  #minimumMs = Number.POSITIVE_INFINITY;

  /** {@inheritDoc ConcurrencyLimit.onAnswer} */
  override onAnswer({ tookMs, running }: AnswerSample, now: number): void {
    this.#minimumMs = Math.min(this.#minimumMs, Math.max(1, tookMs));
    if (tookMs > AIMD_SLOW_FACTOR * this.#minimumMs) this.change(this.value * AIMD_DECREASE, now);
    else if (running >= USED_SHARE * this.value) this.change(this.value + 1 / this.value, now);
  }
}

/** No limit; compared with {@link GradientLimit} in the replay. */
export class NoLimit implements ConcurrencyLimit {
  /** {@inheritDoc ConcurrencyLimit.limit} */
  limit(): number {
    return Number.POSITIVE_INFINITY;
  }

  /** {@inheritDoc ConcurrencyLimit.onAnswer} */
  onAnswer(): void {
    return;
  }

  /** {@inheritDoc ConcurrencyLimit.onDeclined} */
  onDeclined(): void {
    return;
  }
}
