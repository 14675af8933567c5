import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as virtualTimes from "./virtualTime.js";

/** A fleet of daemons before engines that limit their requests. */
export interface LimitScenario {
  readonly daemons: number;
  readonly engines: number;
  /** Requests a second that callers send to all daemons together. */
  readonly requestsPerSecond: number;
  /** @returns the limit that an engine states at an instant in milliseconds, or undefined if it states none */
  readonly limitAt: (engine: number, at: number) => number | undefined;
  /** Time between two heartbeats of a daemon, in milliseconds. */
  readonly heartbeatMs: number;
  readonly divisionOf: (daemon: number) => serving.LimitDivision;
  /** Mean time between two restarts of some daemon, in milliseconds; infinite if none restarts. */
  readonly restartEveryMs: number;
  /** Share of the requests that are sent to a second engine at once, as the first one fails. */
  readonly resentShare: number;
  readonly forMs: number;
}

/** What an engine got, as instants in milliseconds, ascending. */
export interface EngineTraffic {
  readonly arrivals: readonly number[];
  /**
   * Arrivals from daemons that an answer had told of a limit in time. A daemon that has just started can't know of it,
   * unless its peers do.
   */
  readonly toldArrivals: readonly number[];
}

/** Time from an answer with a limit until its receiver has to keep it, in milliseconds. */
const TOLD_MS = 500;

/** Range of the time after which an engine's answer arrives, in milliseconds. */
const ANSWER_MS = { min: 20, max: 400 };

/** Maximum delay of a message between daemons, and until a request arrives at its engine, in milliseconds. */
const MESSAGE_MS = 10;
const SEND_MS = 80;

/** Maximum time until a daemon learns that another one has joined or left, in milliseconds. */
const MEMBERSHIP_MS = 1_000;

/** Time for which a restarting daemon is away, in milliseconds. */
const AWAY_MS = 1_500;

const MS_PER_SECOND = 1_000;

interface Daemon {
  readonly index: number;
  readonly vm: string;
  table: serving.LimitTable;
  enforcer: serving.LimitEnforcer;
  /** VMs that it believes to send requests. */
  senders: readonly string[];
  /** Instant of the first answer with a limit since its start, by engine, in milliseconds. */
  toldAt: Map<number, number>;
  up: boolean;
}

/** Replays the decisions by which a fleet keeps the limits that engines state. */
export class LimitReplay {
  readonly #scenario: LimitScenario;
  readonly #random: common.SeededRandom;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #daemons: Daemon[];
  readonly #traffic: { readonly arrivals: number[]; readonly toldArrivals: number[] }[];

  /**
   * @param scenario - fleet, load and limits
   * @param seed - equal seeds replay the same events
   */
  constructor(scenario: LimitScenario, seed: number) {
    this.#scenario = scenario;
    this.#random = new common.SeededRandom(seed);
    this.#traffic = Array.from({ length: scenario.engines }, () => ({ arrivals: [], toldArrivals: [] }));
    const vms = Array.from({ length: scenario.daemons }, (_, index) => `vm-${index}`);
    this.#daemons = vms.map((vm, index) => this.#createDaemon(vm, index, vms));
  }

  /** @returns what each engine got */
  run(): EngineTraffic[] {
    for (const daemon of this.#daemons)
      this.#time.after(this.#random.next() * this.#scenario.heartbeatMs, () => this.#sendHeartbeat(daemon));
    this.#scheduleRequest();
    if (Number.isFinite(this.#scenario.restartEveryMs)) this.#scheduleRestart();
    this.#time.run(this.#scenario.forMs);
    return this.#traffic;
  }

  #createDaemon(vm: string, index: number, senders: readonly string[]): Daemon {
    const table = new serving.LimitTable();
    const daemon: Daemon = {
      index,
      vm,
      table,
      senders,
      toldAt: new Map(),
      up: true,
      enforcer: this.#createEnforcer(table, index, () => daemon.senders),
    };
    return daemon;
  }

  #createEnforcer(table: serving.LimitTable, index: number, senders: () => readonly string[]): serving.LimitEnforcer {
    return new serving.LimitEnforcer({
      table,
      division: this.#scenario.divisionOf(index),
      own: `vm-${index}`,
      senders,
      unixMs: () => this.#time.now,
    });
  }

  #sendHeartbeat(sender: Daemon): void {
    const { now } = this.#time;
    sender.enforcer.refresh(now);
    if (sender.up) {
      const records = sender.table.recordsToPublish(now, (record) => sender.enforcer.hasPart(record));
      for (const receiver of records.length === 0 ? [] : this.#daemons) {
        if (receiver === sender) continue;
        this.#time.after(this.#random.next() * MESSAGE_MS, () => {
          if (receiver.up) for (const record of records) receiver.table.merge(record);
        });
      }
    }
    this.#time.after(this.#scenario.heartbeatMs, () => this.#sendHeartbeat(sender));
  }

  #scheduleRequest(): void {
    this.#time.after(this.#random.exponential(MS_PER_SECOND / this.#scenario.requestsPerSecond), () => {
      const daemon = this.#daemons[this.#random.integer(this.#daemons.length)];
      if (daemon?.up === true) this.#serve(daemon);
      this.#scheduleRequest();
    });
  }

  #serve(daemon: Daemon): void {
    this.#sendToAny(daemon);
    if (this.#random.next() < this.#scenario.resentShare) this.#sendToAny(daemon);
  }

  /** Sends to the first engine, from a random one on, that may get a request. */
  #sendToAny(daemon: Daemon): void {
    const { now } = this.#time;
    const { engines } = this.#scenario;
    const first = this.#random.integer(engines);
    for (let step = 0; step < engines; step++) {
      const engine = (first + step) % engines;
      if (daemon.enforcer.waitMs(endpointOf(engine), now) > 0) continue;
      this.#send(daemon, engine);
      return;
    }
  }

  #send(daemon: Daemon, engine: number): void {
    const endpoint = endpointOf(engine);
    const { table, toldAt } = daemon;
    const versionAtSend = table.versionOf(endpoint);
    daemon.enforcer.noteSent(endpoint, this.#time.now);
    this.#time.after(this.#random.next() * SEND_MS, () => {
      const { now } = this.#time;
      this.#traffic[engine]?.arrivals.push(now);
      if ((toldAt.get(engine) ?? Infinity) <= now - TOLD_MS) this.#traffic[engine]?.toldArrivals.push(now);
      const limit = this.#scenario.limitAt(engine, now);
      const delayMs = ANSWER_MS.min + this.#random.next() * (ANSWER_MS.max - ANSWER_MS.min);
      this.#time.after(delayMs, () => {
        const stated: serving.StatedLimit =
          limit === undefined
            ? { statement: serving.LimitStatement.None }
            : { statement: serving.LimitStatement.Stated, requestsPerSecond: limit };
        if (limit !== undefined && !toldAt.has(engine)) toldAt.set(engine, this.#time.now);
        const answer = { call: serving.AnsweredCall.Run, stated, isSuccess: true, versionAtSend };
        table.noteAnswer(endpoint, answer, this.#time.now, this.#time.now);
      });
    });
  }

  /** Restarts a daemon, which then knows nothing; the others learn of both within a second. */
  #scheduleRestart(): void {
    this.#time.after(this.#random.exponential(this.#scenario.restartEveryMs), () => {
      const daemon = this.#daemons[this.#random.integer(this.#daemons.length)];
      if (daemon?.up === true) this.#restart(daemon);
      this.#scheduleRestart();
    });
  }

  #restart(daemon: Daemon): void {
    daemon.up = false;
    this.#announce(daemon.vm, false);
    this.#time.after(AWAY_MS, () => {
      daemon.table = new serving.LimitTable();
      daemon.toldAt = new Map();
      daemon.enforcer = this.#createEnforcer(daemon.table, daemon.index, () => daemon.senders);
      daemon.up = true;
      this.#announce(daemon.vm, true);
    });
  }

  #announce(vm: string, isUp: boolean): void {
    for (const daemon of this.#daemons) {
      if (daemon.vm === vm) continue;
      this.#time.after(this.#random.next() * MEMBERSHIP_MS, () => {
        const others = daemon.senders.filter((each) => each !== vm);
        daemon.senders = isUp ? [...others, vm] : others;
      });
    }
  }
}

function endpointOf(engine: number): serving.Endpoint {
  return {
    id: `e${engine}`,
    service: "assistant",
    address: "",
    dataCentre: "a",
    slots: 1,
    role: serving.EngineRole.Decode,
    leaving: false,
    bornAt: 1,
  };
}
