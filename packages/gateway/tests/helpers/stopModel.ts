import * as serving from "@camphorcourse/serving";
import * as loopWatches from "../../src/loopWatch.js";

/** Time from the signal until the process is killed, in milliseconds; the signal is sent at instant 0. */
export const GRACE_MS = 8_000;

/** Duration of one iteration of an event loop that is on time and of one that lags, in milliseconds. */
const ITERATION_MS = { usual: 25, late: 250 };

/** Interval of the event loop's heartbeats, in milliseconds. */
const HEARTBEAT_MS = 200;

/** Time for sending the last answers, in milliseconds. */
const LAST_ANSWERS_MS = 200;

/**
 * Phases of an event loop iteration. They are tried in several orders, as the phase in which a paused loop resumes is
 * not known.
 */
export enum Phase {
  Signal = "signal",
  Timers = "timers",
  Sockets = "sockets",
}

/** One request and the conditions under which it is served. */
export interface Scenario {
  /** Instant at which the request's headers reach the machine, in milliseconds; negative before the signal. */
  readonly sentAt: number;
  readonly patienceMs: number;
  /** Time between the headers and the end of the body, in milliseconds. */
  readonly bodyMs: number;
  /** Time of a separate prefill before anything runs, in milliseconds. */
  readonly prefillMs: number;
  /** Time of the run, in milliseconds; infinite if the endpoint never answers. */
  readonly runMs: number;
  /** Whether the answer begins with the run, as a stream does, or is sent at its end. */
  readonly streams: boolean;
  /** Whether the request uses a connection that was open before the signal. */
  readonly isKeptAlive: boolean;
  /** Start of a pause of the process, in milliseconds. */
  readonly pausedAt: number;
  readonly pausedMs: number;
  readonly phases: readonly Phase[];
  /** Duration of one iteration of the event loop, in milliseconds. */
  readonly iterationMs: number;
  /** Whether another request, accepted before the signal, stays open until the end. */
  readonly hasOtherRequest: boolean;
}

/** How the request ended. */
export enum Outcome {
  /** Its connection was refused, or the process had ended before it was sent. */
  NotConnected = "not-connected",
  Answered = "answered",
  DeadlinePassed = "deadline-passed",
  /** Answered as not run. */
  Rejected = "rejected",
  /** Answered as possibly run, with its answer lost. */
  Failed = "failed",
  /** Its answer was cut. */
  Cut = "cut",
  /** Its connection broke before it was read. */
  Unread = "unread",
}

/** Result of a simulated scenario. */
export interface Result {
  readonly outcome: Outcome;
  /** Whether the request was accepted after the signal had been handled. */
  readonly acceptedWhileStopping: boolean;
  readonly hasRun: boolean;
  /** Instant at which the process ended, in milliseconds. */
  readonly exitAt: number;
  readonly wasKilled: boolean;
}

enum State {
  NotReceived,
  /** The headers are read, the body is incomplete. */
  ReadingBody,
  /** Accepted; in prefill. */
  Accepted,
  Running,
  Ended,
}

/** Simulates the process, its event loop, and one request, with the real shutdown logic and event loop monitor. */
class Simulation implements serving.StoppableListener {
  readonly #scenario: Scenario;
  readonly #loopWatch: loopWatches.LoopWatch;
  #now: number;
  #heartbeatAt: number;
  #shutdown: serving.GracefulShutdown | undefined;
  #state = State.NotReceived;
  #outcome = Outcome.NotConnected;
  #arrivedAt = 0;
  #startedAt = 0;
  #hasRun = false;
  #hasBegun = false;
  #acceptedWhileStopping = false;
  #deadlineDue = false;
  #isOver = false;
  hasStoppedAccepting = false;
  #closedAt = Infinity;
  lastRequestAt = -Infinity;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#now = Math.min(-HEARTBEAT_MS, scenario.sentAt, scenario.pausedAt - scenario.iterationMs);
    this.#heartbeatAt = this.#now;
    const clock = (): number => this.#now;
    this.#loopWatch = new loopWatches.LoopWatch({ monotonic: clock, systemTime: clock });
  }

  get openRequests(): number {
    const isOpen = this.#state !== State.NotReceived && this.#state !== State.Ended;
    return Number(isOpen) + Number(this.#scenario.hasOtherRequest);
  }

  stopAccepting(): void {
    if (this.hasStoppedAccepting) return;
    this.hasStoppedAccepting = true;
    this.#closedAt = this.#now;
  }

  endUnsentRequests(): void {
    if (this.#state === State.ReadingBody || this.#state === State.Accepted) this.#end(Outcome.Rejected);
  }

  endUnstartedResponses(): void {
    if (this.#state === State.Running && !this.#hasBegun) this.#end(Outcome.Failed);
  }

  run(): Result {
    while (!this.#isOver && this.#now < GRACE_MS) {
      this.#runIteration();
      if (this.#isOver) break;
      const { pausedAt, pausedMs, iterationMs } = this.#scenario;
      this.#now += iterationMs;
      if (this.#now > pausedAt && this.#now <= pausedAt + iterationMs) this.#now += pausedMs;
    }
    const wasKilled = !this.#isOver;
    const exitAt = wasKilled
      ? Math.max(GRACE_MS, this.#now)
      : this.#now + LAST_ANSWERS_MS * Number(this.openRequests > 0);
    if (!wasKilled) this.#endOpen();
    else if (this.#state !== State.NotReceived && this.#state !== State.Ended) this.#end(Outcome.Cut);
    if (this.#state === State.NotReceived && this.#hasReached(exitAt)) this.#outcome = Outcome.Unread;
    return {
      outcome: this.#outcome,
      acceptedWhileStopping: this.#acceptedWhileStopping,
      hasRun: this.#hasRun,
      exitAt,
      wasKilled,
    };
  }

  /**
   * Whether the request has reached the process: on a kept-alive connection, or on one opened before the listener
   * closed.
   */
  #hasReached(instant: number): boolean {
    const { sentAt, isKeptAlive } = this.#scenario;
    return sentAt <= instant && (isKeptAlive || sentAt < this.#closedAt);
  }

  #runIteration(): void {
    for (const phase of this.#scenario.phases) {
      if (phase === Phase.Signal) this.#handleSignal();
      else if (phase === Phase.Timers) this.#runTimers();
      else this.#readSockets();
      if (this.#isOver) return;
    }
    if (this.#deadlineDue && this.#state !== State.Ended) this.#end(Outcome.DeadlinePassed);
    if (this.#now - this.#heartbeatAt >= HEARTBEAT_MS) {
      this.#heartbeatAt = this.#now;
      this.#loopWatch.recordHeartbeat();
    }
  }

  #handleSignal(): void {
    if (this.#now < 0 || this.#shutdown !== undefined) return;
    const earliestAt = this.#loopWatch.earliestSignalAt();
    this.#shutdown = new serving.GracefulShutdown({
      earliestSignalAt: earliestAt,
      receivedAt: this.#now,
      graceMs: GRACE_MS,
    });
  }

  #runTimers(): void {
    const isOpen = this.#state === State.Accepted || this.#state === State.Running;
    if (isOpen && this.#now >= this.#deadlineAt) this.#deadlineDue = true;
    if (this.#shutdown?.step(this, this.#now) === true) this.#isOver = true;
  }

  get #deadlineAt(): number {
    return this.#arrivedAt + this.#scenario.patienceMs;
  }

  #readSockets(): void {
    const { sentAt, bodyMs, prefillMs, runMs, streams } = this.#scenario;
    if (this.#state === State.NotReceived && this.#hasReached(this.#now)) {
      this.#arrivedAt = this.#now;
      this.lastRequestAt = this.#now;
      this.#state = State.ReadingBody;
    }
    if (this.#state === State.ReadingBody && this.#now >= sentAt + bodyMs) this.#acceptOrReject();
    if (this.#state === State.Accepted && this.#now >= this.#startedAt + prefillMs) this.#startRun();
    if (this.#state !== State.Running) return;
    if (streams) this.#hasBegun = true;
    if (this.#now >= this.#startedAt + prefillMs + runMs) this.#end(Outcome.Answered);
  }

  #acceptOrReject(): void {
    const isStopping = this.#shutdown !== undefined;
    if (isStopping && !this.#shutdown?.accepts(this.#deadlineAt)) {
      this.#end(Outcome.Rejected);
      return;
    }
    this.#acceptedWhileStopping = isStopping;
    this.#startedAt = this.#now;
    this.#state = State.Accepted;
  }

  #startRun(): void {
    if (this.#now >= this.#deadlineAt) {
      this.#end(Outcome.DeadlinePassed);
      return;
    }
    this.#hasRun = true;
    this.#state = State.Running;
  }

  #endOpen(): void {
    this.endUnsentRequests();
    this.endUnstartedResponses();
    if (this.#state === State.Running) this.#end(Outcome.Cut);
  }

  #end(outcome: Outcome): void {
    this.#state = State.Ended;
    this.#outcome = outcome;
  }
}

/**
 * @param scenario - a request and the conditions under which it is served
 * @returns how the request and the process ended
 */
export function simulate(scenario: Scenario): Result {
  return new Simulation(scenario).run();
}

const PHASE_ORDERS: readonly (readonly Phase[])[] = [
  [Phase.Timers, Phase.Signal, Phase.Sockets],
  [Phase.Timers, Phase.Sockets, Phase.Signal],
  [Phase.Signal, Phase.Sockets, Phase.Timers],
  [Phase.Sockets, Phase.Signal, Phase.Timers],
];

interface LoopTiming {
  readonly pausedAt: number;
  readonly pausedMs: number;
  readonly iterationMs: number;
}

const LOOP_TIMINGS: readonly LoopTiming[] = [
  ...Object.values(ITERATION_MS).map((iterationMs) => ({ pausedAt: 0, pausedMs: 0, iterationMs })),
  ...[-300, 3_100, 6_600, 7_300].flatMap((pausedAt) =>
    [150, 450, 1_500].map((pausedMs) => ({ pausedAt, pausedMs, iterationMs: ITERATION_MS.usual })),
  ),
];

/** Times that a request spends before it runs, in milliseconds. */
const DELAYS = [
  { bodyMs: 0, prefillMs: 0 },
  { bodyMs: 700, prefillMs: 0 },
  { bodyMs: 0, prefillMs: 400 },
];

/** Properties of the request and of its connection. */
const REQUESTS = [400, 2_500, 10_000].flatMap((patienceMs) =>
  [100, 3_000, 6_000, Infinity].flatMap((runMs) =>
    DELAYS.flatMap((delay) =>
      flags((streams) => flags((isKeptAlive) => [{ patienceMs, runMs, ...delay, streams, isKeptAlive }])),
    ),
  ),
);

function flags<T>(of: (flag: boolean) => readonly T[]): T[] {
  return [...of(false), ...of(true)];
}

/**
 * Instants in coarse steps from before the signal, and in fine steps where a deadline meets the end of the shutdown.
 */
function sendInstants(patienceMs: number): number[] {
  const coarse = Array.from({ length: 17 }, (_, index) => -8_800 + index * 1_000);
  const fine = Array.from({ length: 16 }, (_, index) => 6_850 + index * 50 - patienceMs);
  return [...coarse, ...fine];
}

/** @returns all combinations of the conditions above */
export function* scenarios(): Generator<Scenario> {
  for (const timing of LOOP_TIMINGS)
    for (const phases of PHASE_ORDERS)
      for (const request of REQUESTS)
        for (const hasOtherRequest of [false, true])
          for (const sentAt of sendInstants(request.patienceMs))
            yield { sentAt, ...request, ...timing, phases, hasOtherRequest };
}
