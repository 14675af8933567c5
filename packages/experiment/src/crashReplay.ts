import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as virtualTimes from "./virtualTime.js";

/** A fleet whose engines crash on one part of prompts, and by racks. */
export interface CrashLoad {
  readonly daemons: number;
  /** Interval at which daemons tell each other of suspects, in milliseconds. */
  readonly heartbeatMs: number;
  readonly engines: number;
  readonly runsPerEngine: number;
  /** Requests with the part that crashes engines, as a share of all. */
  readonly guiltyShare: number;
  /** Engines of a rack, all of which crash at one time within some hundred milliseconds; 0 for none. */
  readonly rackEngines: number;
  readonly racks: number;
  readonly lastsMs: number;
}

/** What came of it. */
export interface CrashOutcome {
  /** Engines that crashed on the part. */
  readonly guiltyCrashes: number;
  readonly otherCrashes: number;
  readonly soundRequests: number;
  /** Sound requests that were rejected because of a part of their prompt. */
  readonly soundRejected: number;
}

/** Shared parts: the first ones are in all prompts, the others in few. */
const FIRST_PARTS = 8;
const RARE_PARTS = 2_000;

/** Times of a run and of a crash, in milliseconds. */
const BEGIN_MS = 30;
const WRITE_MS = { least: 50, most: 600 };
const CRASH_DELAY_MS = 50;
const DETECTION_MS = 20;
const RESTART_MS = 3_000;
const RACK_SPREAD_MS = 400;

const BAD_PART = "bad";
const MS_PER_SECOND = 1_000;

interface Run {
  readonly daemon: number;
  readonly parts: readonly string[];
  readonly isGuilty: boolean;
  readonly mayBeSentAgain: boolean;
  isOver: boolean;
}

interface Engine {
  incarnation: number;
  isUp: boolean;
  readonly runs: Set<Run>;
}

/**
 * Replays crashes with the production decision on suspects. Answers the load pattern in which a rare kind of request ends
 * one engine after the other, while racks end many at once under sound requests.
 */
export class CrashReplay {
  readonly #load: CrashLoad;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #random: common.SeededRandom;
  readonly #engines: Engine[];
  readonly #tables: serving.SuspectTable[];
  #incarnations = 0;
  #guiltyCrashes = 0;
  #otherCrashes = 0;
  #soundRequests = 0;
  #soundRejected = 0;

  /**
   * @param load - what to replay
   * @param seed - seed of all random numbers
   */
  constructor(load: CrashLoad, seed: number) {
    this.#load = load;
    this.#random = new common.SeededRandom(seed);
    this.#engines = Array.from({ length: load.engines }, () => ({
      incarnation: this.#incarnations++,
      isUp: true,
      runs: new Set(),
    }));
    this.#tables = Array.from(
      { length: load.daemons },
      () => new serving.SuspectTable({ isRefuted: () => false, onChange: () => undefined }),
    );
  }

  /** @returns the outcome */
  run(): CrashOutcome {
    this.#scheduleArrival();
    this.#scheduleHeartbeat();
    for (let rack = 0; rack < this.#load.racks; rack++)
      this.#time.after(this.#random.next() * this.#load.lastsMs, () => this.#crashRack());
    this.#time.run(this.#load.lastsMs);
    return {
      guiltyCrashes: this.#guiltyCrashes,
      otherCrashes: this.#otherCrashes,
      soundRequests: this.#soundRequests,
      soundRejected: this.#soundRejected,
    };
  }

  #scheduleArrival(): void {
    const meanRunMs = BEGIN_MS + (WRITE_MS.least + WRITE_MS.most) / 2;
    const perMs = (this.#load.engines * this.#load.runsPerEngine) / meanRunMs;
    this.#time.after(-Math.log(1 - this.#random.next()) / perMs, () => {
      this.#arrive();
      this.#scheduleArrival();
    });
  }

  #arrive(): void {
    const isGuilty = this.#random.next() < this.#load.guiltyShare;
    const rare = Math.floor(RARE_PARTS * this.#random.next() ** 1.4);
    const first = `first-${Math.floor(this.#random.next() * FIRST_PARTS)}`;
    const parts = isGuilty ? [first, BAD_PART] : [first, `rare-${rare}`];
    const daemon = Math.floor(this.#random.next() * this.#load.daemons);
    if (!isGuilty) this.#soundRequests++;
    this.#send({ daemon, parts, isGuilty, mayBeSentAgain: true, isOver: false });
  }

  #send(run: Run): void {
    const up = this.#engines.filter((engine) => engine.isUp);
    const engine = up[Math.floor(this.#random.next() * up.length)];
    if (engine === undefined) return;
    if (this.#tables[run.daemon]?.findHeld(run.parts, this.#time.now) !== undefined) {
      if (!run.isGuilty) this.#soundRejected++;
      return;
    }
    engine.runs.add(run);
    const { incarnation } = engine;
    if (run.isGuilty) {
      this.#time.after(BEGIN_MS + CRASH_DELAY_MS, () => {
        if (!run.isOver && engine.isUp && engine.incarnation === incarnation) this.#crash(engine, true);
      });
      return;
    }
    const writeMs = WRITE_MS.least + this.#random.next() * (WRITE_MS.most - WRITE_MS.least);
    this.#time.after(BEGIN_MS + writeMs, () => {
      if (run.isOver) return;
      run.isOver = true;
      engine.runs.delete(run);
      for (const part of run.parts)
        this.#tables[run.daemon]?.noteSuccess(part, this.#time.now, serving.SuspectScope.Part);
    });
  }

  #crash(engine: Engine, byPart: boolean): void {
    if (byPart) this.#guiltyCrashes++;
    else this.#otherCrashes++;
    const { incarnation } = engine;
    const runs = [...engine.runs];
    const crashedAt = this.#time.now;
    engine.isUp = false;
    engine.runs.clear();
    for (const run of runs) run.isOver = true;
    this.#time.after(DETECTION_MS, () => this.#noteCrash(incarnation, crashedAt, runs));
    this.#time.after(RESTART_MS, () => {
      engine.incarnation = this.#incarnations++;
      engine.isUp = true;
    });
    for (const run of runs) if (run.mayBeSentAgain) this.#send({ ...run, mayBeSentAgain: false, isOver: false });
  }

  #noteCrash(incarnation: number, crashedAt: number, runs: readonly Run[]): void {
    const { now } = this.#time;
    for (const { daemon, parts } of runs)
      for (const part of parts)
        this.#tables[daemon]?.noteCrash(part, incarnation, crashedAt, now, serving.SuspectScope.Part);
    const observers = new Set(runs.map(({ daemon }) => daemon));
    for (const observer of observers) this.#publish(observer);
  }

  #crashRack(): void {
    for (const engine of this.#engines.slice(0, this.#load.rackEngines))
      this.#time.after(this.#random.next() * RACK_SPREAD_MS, () => {
        if (engine.isUp) this.#crash(engine, false);
      });
  }

  #scheduleHeartbeat(): void {
    this.#time.after(this.#load.heartbeatMs, () => {
      for (let daemon = 0; daemon < this.#tables.length; daemon++) this.#publish(daemon);
      this.#scheduleHeartbeat();
    });
  }

  #publish(sender: number): void {
    const { now } = this.#time;
    const records = this.#tables[sender]?.recordsToPublish(now) ?? [];
    if (records.length === 0) return;
    for (const [receiver, table] of this.#tables.entries())
      if (receiver !== sender) for (const record of records) table.merge(record, now);
  }
}

/**
 * @param load - a load
 * @returns requests a second that its engines carry
 */
export function requestsPerSecond(load: CrashLoad): number {
  const meanRunMs = BEGIN_MS + (WRITE_MS.least + WRITE_MS.most) / 2;
  return (load.engines * load.runsPerEngine * MS_PER_SECOND) / meanRunMs;
}
