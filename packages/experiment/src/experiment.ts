import * as serving from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import * as emulatedDaemons from "./emulatedDaemon.js";
import * as emulatedEngines from "./emulatedEngine.js";
import * as loads from "./load.js";
import * as outcomes from "./outcome.js";
import * as virtualTimes from "./virtualTime.js";

/** What an experiment has shown. */
export interface Result {
  readonly outcome: outcomes.Outcome;
  readonly readTokens: number;
  /** Tokens of parts that some engine had read before. */
  readonly readAgainTokens: number;
  readonly roleChanges: number;
  /** Prefill engines at the end. */
  readonly prefill: number;
}

/** Interval at which the roles are looked at, in milliseconds, as in the gateway. */
const LOOK_EVERY_MS = 300;

/** Time after the last request for all to end, in milliseconds. */
const TAIL_MS = 10_000;

/** Plays one experiment with the decisions that serve. */
export class Experiment {
  readonly #description: descriptions.Description;
  readonly #seed: number;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #outcome = new outcomes.Outcome();
  readonly #balance = new serving.RoleBalance();
  readonly #engines: emulatedEngines.EmulatedEngine[];
  readonly #rolesToCome = new Map<string, serving.EngineRole>();
  readonly #daemons: emulatedDaemons.EmulatedDaemon[];
  #roleChanges = 0;
  #returned = 0;

  /**
   * @param description - what to play
   * @param seed - of all that is drawn
   */
  constructor(description: descriptions.Description, seed: number) {
    this.#description = description;
    this.#seed = seed;
    const everRead = new Set<string>();
    const { engines: figures } = description;
    this.#engines = Array.from({ length: figures.count }, (_, index) => {
      const role = index < figures.prefill ? serving.EngineRole.Prefill : serving.EngineRole.Decode;
      return new emulatedEngines.EmulatedEngine(`engine-${index}`, role, this.#time, figures, everRead);
    });
    const fleet = { engines: this.#engines, endpoints: () => this.#endpoints() };
    const parts = { description, time: this.#time, fleet, outcome: this.#outcome, comeBack: this.#comeBack };
    this.#daemons = Array.from(
      { length: description.daemons },
      (_, index) => new emulatedDaemons.EmulatedDaemon(`daemon-${index}`, parts, seed + index),
    );
  }

  /**
   * @param slowAt - instant in milliseconds from which all engines are slower, if at all
   * @param slowness - factor by which they are
   */
  slowDown(slowAt: number, slowness: number): void {
    this.#time.after(slowAt, () => {
      for (const engine of this.#engines) engine.slowness = slowness;
    });
  }

  /** All daemons know the engines' figures from the start. */
  learnFigures(): void {
    for (const daemon of this.#daemons) daemon.learnFigures();
  }

  /** @returns what it has shown */
  run(): Result {
    const requests = new loads.Load(this.#description, this.#seed).requests();
    for (const [index, request] of requests.entries()) {
      const daemon = this.#daemons[index % this.#daemons.length];
      this.#time.after(request.atMs, () => daemon?.take(request));
    }
    this.#tell();
    this.#look();
    this.#time.run(this.#description.lastsMs + TAIL_MS);
    const sum = (tokens: (engine: emulatedEngines.EmulatedEngine) => number): number =>
      this.#engines.reduce((total, engine) => total + tokens(engine), 0);
    return {
      outcome: this.#outcome,
      readTokens: sum((engine) => engine.readTokens),
      readAgainTokens: sum((engine) => engine.readAgainTokens),
      roleChanges: this.#roleChanges,
      prefill: this.#engines.filter((engine) => engine.role === serving.EngineRole.Prefill).length,
    };
  }

  /** The speeds that a daemon has learned. */
  get learned(): serving.EngineSpeeds | undefined {
    return this.#daemons[0]?.speeds;
  }

  readonly #comeBack = (course: emulatedDaemons.RequestCourse): void => {
    course.cameBack();
    this.#daemons[this.#returned++ % this.#daemons.length]?.serve(course);
  };

  #endpoints(): serving.Endpoint[] {
    const { slots } = this.#description.engines;
    return this.#engines
      .filter((engine) => !engine.away)
      .map(({ id, role }) => ({
        id,
        service: "service",
        address: `${id}:1`,
        dataCentre: "a",
        slots,
        role,
        leaving: false,
      }));
  }

  /** Daemons hear each other's work late, and of the parts that engines were given. */
  #tell(): void {
    const { now } = this.#time;
    const said = this.#daemons.map(({ name, board, sizeShares, speeds }) => ({
      name,
      work: board.ownWork(),
      reads: board.takeUnsentReads(),
      observations: speeds.takeUnsentObservations(),
      sizes: sizeShares.takeUnsentCounts(),
    }));
    for (const daemon of this.#daemons) {
      for (const { name, work, reads, observations, sizes } of said) {
        if (name === daemon.name) continue;
        daemon.board.updatePeerWork(name, work, now);
        for (const read of reads) daemon.board.notePeerRead(read);
        for (const count of sizes) daemon.sizeShares.addPeerCount(count, now);
        for (const { role, observation } of observations) daemon.speeds.learnPrefill(role, observation);
      }
    }
    this.#time.after(this.#description.viewAgeMs, () => this.#tell());
  }

  #look(): void {
    const [first] = this.#daemons;
    const { now } = this.#time;
    if (first !== undefined) {
      const change = this.#balance.decide({
        engines: this.#engines.map((engine) => ({
          id: engine.id,
          role: engine.away ? (this.#rolesToCome.get(engine.id) ?? engine.role) : engine.role,
          running: first.board.runningRequests(engine.id, now),
          slots: this.#description.engines.slots,
          changing: engine.away,
        })),
        readingLoad: this.#daemons.reduce((sum, daemon) => sum + daemon.demand.readingLoad(now), 0),
        eventsPerMs: this.#daemons.reduce((sum, daemon) => sum + daemon.demand.eventsPerMs(now), 0),
        speeds: first.speeds,
        streamCapacity: this.#description.engines.memoryTokens / (first.demand.meanPromptTokens(now) ?? 1),
        now,
      });
      if (change !== undefined) this.#change(change);
    }
    this.#time.after(LOOK_EVERY_MS, () => this.#look());
  }

  #change(change: serving.RoleChange): void {
    this.#engines.find((engine) => engine.id === change.endpointId)?.change(change.role);
    this.#rolesToCome.set(change.endpointId, change.role);
    this.#balance.recordChange(this.#time.now, change.role);
    this.#roleChanges++;
  }
}
