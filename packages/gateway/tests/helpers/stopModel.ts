import * as serving from "@camphorcourse/serving";
import * as loopWatches from "../../src/loopWatch.js";

/** Time from the signal until the process is ended by force, in milliseconds; the signal is sent at instant 0. */
export const GRACE_MS = 8_000;

/** Time between two turns of an event loop that is on time and of one that is late, in milliseconds. */
const TURN_MS = { usual: 25, late: 250 };

/** Interval at which the event loop leaves its trace, in milliseconds. */
const TRACE_MS = 200;

/** Time for the last answers to leave, in milliseconds. */
const LAST_ANSWERS_MS = 200;

/** What a turn of the event loop does, in any order: where a turn begins after a pause is not known. */
export enum Step {
  Signal = "signal",
  Timers = "timers",
  Sockets = "sockets",
}

/** One request and what happens around it. */
export interface Scenario {
  /** Instant at which the request's head is at the machine, in milliseconds; before 0 it comes before the signal. */
  readonly sentAt: number;
  readonly patienceMs: number;
  /** Time between head and whole body, in milliseconds. */
  readonly bodyMs: number;
  /** Time for which the prompt is read apart before anything runs, in milliseconds. */
  readonly readMs: number;
  /** Time of the run, in milliseconds; infinite where the endpoint never answers. */
  readonly runMs: number;
  /** Whether the answer begins with the run, as a stream's does, or comes whole at its end. */
  readonly streams: boolean;
  /** Whether the connection was open before the signal. */
  readonly isKept: boolean;
  /** A pause of the whole process. */
  readonly pausedAt: number;
  readonly pausedMs: number;
  readonly order: readonly Step[];
  /** Time between two turns of the event loop, in milliseconds. */
  readonly turnMs: number;
  /** Whether another request, accepted before the signal, outlasts the process. */
  readonly isBusy: boolean;
}

/** What became of the request. */
export enum Outcome {
  /** Its connection was refused, or it was never sent as the process had ended. */
  NotConnected = "not-connected",
  Answered = "answered",
  DeadlinePassed = "deadline-passed",
  /** Told that it has not run. */
  Rejected = "rejected",
  /** Told that its answer is lost. */
  Failed = "failed",
  /** Its answer was broken off. */
  Cut = "cut",
  /** Its connection was broken, and it was never read. */
  Unread = "unread",
}

/** A scenario as it was played. */
export interface Played {
  readonly outcome: Outcome;
  /** Whether it was accepted after the signal had been heard. */
  readonly acceptedWhileStopping: boolean;
  readonly hasRun: boolean;
  /** Instant at which the process was gone, in milliseconds. */
  readonly exitAt: number;
  readonly wasKilled: boolean;
}

enum State {
  Coming,
  /** The head is read, the body is not whole. */
  ReadingBody,
  /** Accepted; its prompt is being read. */
  Accepted,
  Running,
  Ended,
}

/** The process, its event loop, and one request. The stop and the watch over the event loop are the product's own. */
class Model implements serving.StoppableListener {
  readonly #scenario: Scenario;
  readonly #watch: loopWatches.LoopWatch;
  #now: number;
  #tracedAt: number;
  #stop: serving.GracefulShutdown | undefined;
  #state = State.Coming;
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
    this.#now = Math.min(-TRACE_MS, scenario.sentAt, scenario.pausedAt - scenario.turnMs);
    this.#tracedAt = this.#now;
    const clock = (): number => this.#now;
    this.#watch = new loopWatches.LoopWatch({ steady: clock, timeOfDay: clock });
  }

  get openRequests(): number {
    const isOpen = this.#state !== State.Coming && this.#state !== State.Ended;
    return Number(isOpen) + Number(this.#scenario.isBusy);
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

  play(): Played {
    while (!this.#isOver && this.#now < GRACE_MS) {
      this.#turn();
      if (this.#isOver) break;
      const { pausedAt, pausedMs, turnMs } = this.#scenario;
      this.#now += turnMs;
      if (this.#now > pausedAt && this.#now <= pausedAt + turnMs) this.#now += pausedMs;
    }
    const wasKilled = !this.#isOver;
    const exitAt = wasKilled
      ? Math.max(GRACE_MS, this.#now)
      : this.#now + LAST_ANSWERS_MS * Number(this.openRequests > 0);
    if (!wasKilled) this.#endOpen();
    else if (this.#state !== State.Coming && this.#state !== State.Ended) this.#end(Outcome.Cut);
    if (this.#state === State.Coming && this.#reaches(exitAt)) this.#outcome = Outcome.Unread;
    return {
      outcome: this.#outcome,
      acceptedWhileStopping: this.#acceptedWhileStopping,
      hasRun: this.#hasRun,
      exitAt,
      wasKilled,
    };
  }

  /** Whether the request is at the process by then: a kept connection, or one that came before the door was closed. */
  #reaches(instant: number): boolean {
    const { sentAt, isKept } = this.#scenario;
    return sentAt <= instant && (isKept || sentAt < this.#closedAt);
  }

  #turn(): void {
    for (const step of this.#scenario.order) {
      if (step === Step.Signal) this.#hearSignal();
      else if (step === Step.Timers) this.#runTimers();
      else this.#readSockets();
      if (this.#isOver) return;
    }
    if (this.#deadlineDue && this.#state !== State.Ended) this.#end(Outcome.DeadlinePassed);
    if (this.#now - this.#tracedAt >= TRACE_MS) {
      this.#tracedAt = this.#now;
      this.#watch.turn();
    }
  }

  #hearSignal(): void {
    if (this.#now < 0 || this.#stop !== undefined) return;
    const earliestAt = this.#watch.signalledFrom();
    this.#stop = new serving.GracefulShutdown({
      earliestSignalAt: earliestAt,
      receivedAt: this.#now,
      graceMs: GRACE_MS,
    });
  }

  #runTimers(): void {
    const isOpen = this.#state === State.Accepted || this.#state === State.Running;
    if (isOpen && this.#now >= this.#answerBy) this.#deadlineDue = true;
    if (this.#stop?.step(this, this.#now) === true) this.#isOver = true;
  }

  get #answerBy(): number {
    return this.#arrivedAt + this.#scenario.patienceMs;
  }

  #readSockets(): void {
    const { sentAt, bodyMs, readMs, runMs, streams } = this.#scenario;
    if (this.#state === State.Coming && this.#reaches(this.#now)) {
      this.#arrivedAt = this.#now;
      this.lastRequestAt = this.#now;
      this.#state = State.ReadingBody;
    }
    if (this.#state === State.ReadingBody && this.#now >= sentAt + bodyMs) this.#decide();
    if (this.#state === State.Accepted && this.#now >= this.#startedAt + readMs) this.#run();
    if (this.#state !== State.Running) return;
    if (streams) this.#hasBegun = true;
    if (this.#now >= this.#startedAt + readMs + runMs) this.#end(Outcome.Answered);
  }

  #decide(): void {
    const isStopping = this.#stop !== undefined;
    if (isStopping && !this.#stop?.accepts(this.#answerBy)) {
      this.#end(Outcome.Rejected);
      return;
    }
    this.#acceptedWhileStopping = isStopping;
    this.#startedAt = this.#now;
    this.#state = State.Accepted;
  }

  #run(): void {
    if (this.#now >= this.#answerBy) {
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
 * @param scenario - a request and what happens around it
 * @returns what became of it
 */
export function play(scenario: Scenario): Played {
  return new Model(scenario).play();
}

const ORDERS: readonly (readonly Step[])[] = [
  [Step.Timers, Step.Signal, Step.Sockets],
  [Step.Timers, Step.Sockets, Step.Signal],
  [Step.Signal, Step.Sockets, Step.Timers],
  [Step.Sockets, Step.Signal, Step.Timers],
];

interface Pace {
  readonly pausedAt: number;
  readonly pausedMs: number;
  readonly turnMs: number;
}

const PACES: readonly Pace[] = [
  ...Object.values(TURN_MS).map((turnMs) => ({ pausedAt: 0, pausedMs: 0, turnMs })),
  ...[-300, 3_100, 6_600, 7_300].flatMap((pausedAt) =>
    [150, 450, 1_500].map((pausedMs) => ({ pausedAt, pausedMs, turnMs: TURN_MS.usual })),
  ),
];

/** Where a request is before it runs, and for how long, in milliseconds. */
const DELAYS = [
  { bodyMs: 0, readMs: 0 },
  { bodyMs: 700, readMs: 0 },
  { bodyMs: 0, readMs: 400 },
];

/** How callers come and what their request needs. */
const REQUESTS = [400, 2_500, 10_000].flatMap((patienceMs) =>
  [100, 3_000, 6_000, Infinity].flatMap((runMs) =>
    DELAYS.flatMap((delay) =>
      flags((streams) => flags((isKept) => [{ patienceMs, runMs, ...delay, streams, isKept }])),
    ),
  ),
);

function flags<T>(of: (flag: boolean) => readonly T[]): T[] {
  return [...of(false), ...of(true)];
}

/** Instants by coarse steps from before the signal, and by fine ones where a deadline meets the end of the stop. */
function instants(patienceMs: number): number[] {
  const coarse = Array.from({ length: 17 }, (_, index) => -8_800 + index * 1_000);
  const fine = Array.from({ length: 16 }, (_, index) => 6_850 + index * 50 - patienceMs);
  return [...coarse, ...fine];
}

/** @returns all scenarios: each combination of what may happen, and when */
export function* scenarios(): Generator<Scenario> {
  for (const pace of PACES)
    for (const order of ORDERS)
      for (const request of REQUESTS)
        for (const isBusy of [false, true])
          for (const sentAt of instants(request.patienceMs)) yield { sentAt, ...request, ...pace, order, isBusy };
}
