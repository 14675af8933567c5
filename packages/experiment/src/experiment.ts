import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import type * as emulatedCallers from "./emulatedCaller.js";
import * as emulatedDaemons from "./emulatedDaemon.js";
import * as emulatedEngines from "./emulatedEngine.js";
import * as loads from "./load.js";
import * as outcomes from "./outcome.js";
import * as regionsModule from "./regions.js";
import * as updates from "./updateExchange.js";
import * as virtualTimes from "./virtualTime.js";

/** Result of an experiment. */
export interface ExperimentResult {
  readonly statistics: outcomes.OutcomeStatistics;
  /** Tokens prefilled. */
  readonly readTokens: number;
  /** Those of them in parts that some engine had prefilled before. */
  readonly readAgainTokens: number;
  readonly roleChanges: number;
  /** Number of prefill engines at the end. */
  readonly prefill: number;
  /** Share of the prompts that were sent to an engine of the daemon's region. */
  readonly ownRegionShare: number;
}

/** Interval of the checks whether an engine changes role, in milliseconds; the same as in the gateway. */
const ROLE_CHECK_INTERVAL_MS = 300;

const MS_PER_SECOND = 1_000;

/** Time after the last request for all requests to end, in milliseconds. */
const DRAIN_MS = 10_000;

/** Simulates one experiment with the production decision code. */
export class Experiment {
  readonly #description: descriptions.Description;
  readonly #seed: number;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #statistics = new outcomes.OutcomeStatistics();
  readonly #balance = new serving.RoleBalance();
  readonly #regions: regionsModule.EmulatedRegions;
  readonly #engines: emulatedEngines.EmulatedEngine[];
  readonly #targetRoles = new Map<string, serving.EngineRole>();
  readonly #daemons: emulatedDaemons.EmulatedDaemon[];
  #roleChanges = 0;
  #retries = 0;

  /**
   * @param description - what to simulate
   * @param seed - seed of all random numbers
   */
  constructor(description: descriptions.Description, seed: number) {
    this.#description = description;
    this.#seed = seed;
    const prefilledParts = new Set<string>();
    this.#regions = new regionsModule.EmulatedRegions(description.regions, this.#time);
    const regions = this.#regions;
    const { engines: parameters } = description;
    this.#engines = Array.from({ length: parameters.count }, (_, index) => {
      const role = index < parameters.prefill ? serving.EngineRole.Prefill : serving.EngineRole.Decode;
      const dataCentre = regions.dataCentreOf(index);
      const { EmulatedEngine } = emulatedEngines;
      return new EmulatedEngine(`engine-${index}`, role, this.#time, parameters, prefilledParts, dataCentre);
    });
    const fleet = { engines: this.#engines, endpoints: () => this.#endpoints() };
    const parts = { description, time: this.#time, fleet, regions, statistics: this.#statistics, retry: this.#retry };
    this.#daemons = Array.from(
      { length: description.daemons },
      (_, index) =>
        new emulatedDaemons.EmulatedDaemon(`daemon-${index}`, parts, seed + index, regions.dataCentreOf(index)),
    );
  }

  /**
   * Slows all engines down from some time on.
   *
   * @param fromMs - virtual time in milliseconds at which the slowdown starts
   * @param slowness - factor by which the engines are slower
   */
  slowDown(fromMs: number, slowness: number): void {
    this.#time.after(fromMs, () => {
      for (const engine of this.#engines) engine.slowness = slowness;
    });
  }

  /** Trains all daemons with the engines' true parameters. */
  learnEngineParameters(): void {
    for (const daemon of this.#daemons) daemon.learnEngineParameters();
  }

  /** @returns the result of the simulation */
  run(): ExperimentResult {
    const requests = new loads.LoadGenerator(this.#description, this.#seed).requests();
    for (const [index, request] of requests.entries()) {
      const near = this.#daemonsNear(request.kind.dataCentre);
      const daemon = near[index % near.length];
      this.#time.after(request.atMs, () => daemon?.receive(request));
    }
    new updates.UpdateExchange(this.#daemons, this.#description, this.#regions, this.#time).start();
    if (this.#description.rolesFixed !== true) this.#checkRoles();
    this.#scheduleLimits();
    this.#scheduleSlowSpans();
    this.#time.run(this.#description.lastsMs + DRAIN_MS);
    const sum = (tokens: (engine: emulatedEngines.EmulatedEngine) => number): number =>
      this.#engines.reduce((total, engine) => total + tokens(engine), 0);
    return {
      statistics: this.#statistics,
      readTokens: sum((engine) => engine.prefilledTokens),
      readAgainTokens: sum((engine) => engine.recomputedTokens),
      roleChanges: this.#roleChanges,
      prefill: this.#engines.filter((engine) => engine.role === serving.EngineRole.Prefill).length,
      ownRegionShare: shareOf(this.#daemons),
    };
  }

  /** @returns the counts by which each daemon decides on prompt sizes */
  get acceptanceTrackers(): readonly serving.AcceptanceTracker[] {
    return this.#daemons.map(({ acceptance }) => acceptance);
  }

  /** @returns the engine speeds that the first daemon has learned */
  get learnedSpeeds(): serving.EngineSpeeds | undefined {
    return this.#daemons[0]?.speeds;
  }

  readonly #retry = (caller: emulatedCallers.EmulatedCaller): void => {
    const near = this.#daemonsNear(caller.request.kind.dataCentre);
    near[this.#retries++ % near.length]?.receiveAgain(caller);
  };

  #daemonsNear(dataCentre: string | undefined): emulatedDaemons.EmulatedDaemon[] {
    return dataCentre === undefined ? this.#daemons : this.#daemons.filter((each) => each.dataCentre === dataCentre);
  }

  #endpoints(): serving.Endpoint[] {
    const { slots } = this.#description.engines;
    return this.#engines
      .filter((engine) => !engine.isChangingRole)
      .map(({ dataCentre, id, role }) => ({
        id,
        service: "service",
        address: `${id}:1`,
        dataCentre,
        slots,
        role,
        leaving: false,
      }));
  }

  /** Draws for each engine and each span whether it is slow; the engines' spans begin at different times. */
  #scheduleSlowSpans(): void {
    const { slowSpans, lastsMs } = this.#description;
    if (slowSpans === undefined) return;
    const random = new common.SeededRandom(this.#seed);
    for (const engine of this.#engines) {
      for (let atMs = -random.next() * slowSpans.spanMs; atMs < lastsMs; atMs += slowSpans.spanMs) {
        const slowness = random.next() < slowSpans.share ? slowSpans.times : 1;
        this.#time.after(atMs, () => (engine.slowness = slowness));
      }
    }
  }

  /** All daemons learn at once when an engine states a limit or withdraws it. */
  #scheduleLimits(): void {
    for (const { engine, fromMs, untilMs, perSecond } of this.#description.limits ?? []) {
      const endpointId = this.#engines[engine]?.id ?? "";
      const state = (requestsPerSecond: number | undefined): void => {
        const version = Math.floor(this.#time.now);
        const record = {
          endpointId,
          bornAt: undefined,
          requestsPerSecond,
          statedIn: serving.AnsweredCall.Run,
          version,
        };
        for (const daemon of this.#daemons) daemon.limitTable.merge(record);
      };
      this.#time.after(fromMs, () => state(perSecond));
      this.#time.after(untilMs, () => state(undefined));
    }
  }

  #capacityShare(id: string, table: serving.LimitTable, role: serving.EngineRole): number {
    const limit = table.limitOf({ id })?.requestsPerSecond;
    if (limit === undefined || this.#description.limitsIgnoredByRoles === true) return 1;
    const promptsPerMs = this.#daemons.reduce((sum, { demand }) => sum + demand.promptsPerMs(this.#time.now), 0);
    const sameRole = this.#engines.filter((engine) => engine.role === role).length;
    return serving.limitedCapacityShare(limit, (promptsPerMs * MS_PER_SECOND) / sameRole);
  }

  #checkRoles(): void {
    const [first] = this.#daemons;
    const { now } = this.#time;
    if (first !== undefined) {
      const change = this.#balance.decide({
        engines: this.#engines.map((engine) => ({
          id: engine.id,
          role: engine.isChangingRole ? (this.#targetRoles.get(engine.id) ?? engine.role) : engine.role,
          running: first.loads.runningRequests(engine.id, now),
          region: first.distances?.regionOf(engine.dataCentre),
          slots: this.#description.engines.slots,
          capacityShare: this.#capacityShare(engine.id, first.limitTable, engine.role),
          changing: engine.isChangingRole,
        })),
        readingLoad: this.#daemons.reduce((sum, daemon) => sum + daemon.demand.readingLoad(now), 0),
        eventsPerMs: this.#daemons.reduce((sum, daemon) => sum + daemon.demand.eventsPerMs(now), 0),
        speeds: first.speeds,
        streamCapacity: this.#description.engines.memoryTokens / (first.demand.meanPromptTokens(now) ?? 1),
        now,
      });
      if (change !== undefined) this.#changeRole(change);
    }
    this.#time.after(ROLE_CHECK_INTERVAL_MS, () => this.#checkRoles());
  }

  #changeRole(change: serving.RoleChange): void {
    this.#engines.find((engine) => engine.id === change.endpointId)?.changeRole(change.role);
    this.#targetRoles.set(change.endpointId, change.role);
    this.#balance.recordChange(this.#time.now, change.role);
    this.#roleChanges++;
  }
}

function shareOf(daemons: readonly emulatedDaemons.EmulatedDaemon[]): number {
  const all = daemons.reduce((sum, { sent }) => sum + sent.all, 0);
  return all === 0 ? 1 : daemons.reduce((sum, { sent }) => sum + sent.ownRegion, 0) / all;
}
