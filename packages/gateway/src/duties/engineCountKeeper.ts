import * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import * as ports from "../ports.js";
import type * as dutyLeases from "./dutyLease.js";

/** Interval at which the numbers of engines are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** Time constant of the decay of the recent peak load, in milliseconds: it spans several swings of the mix. */
const PEAK_DECAY_MS = 12_000;

/** Maximum utilization of prefill engines, and of the streams of decode engines, at the recent peak of the load. */
const MAX_UTILIZATION = { prefill: 0.5, decode: 0.6 };

/** Dependencies of {@link EngineCountKeeper}. */
export interface EngineCountParts {
  readonly context: contexts.ServingContext;
  readonly calls: ports.DutyCalls;
  readonly lease: dutyLeases.DutyLease;
  /** Number of prefill engines that the prompts of all daemons keep busy. */
  readonly prefillLoad: () => number;
  /** Stream events per millisecond that the requests of all daemons ask for. */
  readonly eventsPerMs: () => number;
}

/** Orders the numbers of engines that the load needs, while this daemon holds the duty lease. */
export class EngineCountKeeper {
  readonly #parts: EngineCountParts;
  readonly #policy: serving.CapacityPolicy = new serving.FixedUtilization(
    MAX_UTILIZATION.prefill,
    MAX_UTILIZATION.decode,
  );
  readonly #controls = new Map<string, serving.EngineCountControl>();
  readonly #peaks = {
    readingLoad: new serving.DecayingPeak(PEAK_DECAY_MS),
    eventsPerMs: new serving.DecayingPeak(PEAK_DECAY_MS),
  };
  #isOrdering = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param parts - dependencies */
  constructor(parts: EngineCountParts) {
    this.#parts = parts;
  }

  /** Starts the periodic check. */
  start(): void {
    clearInterval(this.#timer);
    this.#timer = setInterval(() => void this.#check(), CHECK_INTERVAL_MS);
  }

  /** Stops the periodic check. */
  stop(): void {
    clearInterval(this.#timer);
  }

  async #check(): Promise<void> {
    const { context, lease, prefillLoad, eventsPerMs } = this.#parts;
    const now = performance.now();
    const load = {
      readingLoad: this.#peaks.readingLoad.update(prefillLoad(), now),
      eventsPerMs: this.#peaks.eventsPerMs.update(eventsPerMs(), now),
    };
    if (this.#isOrdering || lease.token() === undefined) return;
    this.#isOrdering = true;
    try {
      for (const service of context.view.table?.configuration.services ?? []) {
        if (service.scaling === undefined || service.engine === undefined) continue;
        await this.#keep(service.name, service.scaling, service.engine, load);
      }
    } finally {
      this.#isOrdering = false;
    }
  }

  async #keep(
    service: string,
    limits: serving.ScalingLimits,
    engine: serving.EngineLimits,
    load: Pick<serving.EngineLoad, "readingLoad" | "eventsPerMs">,
  ): Promise<void> {
    const { demand, speeds } = this.#parts.context;
    const now = performance.now();
    const streamsPerEngine = Math.min(
      engine.slots,
      engine.memoryTokens / Math.max(1, demand.meanPromptTokens(now) ?? 1),
    );
    const needed = this.#neededBeside(
      service,
      this.#policy.neededEngines({ ...load, streamsPerEngine, speeds: speeds.of(service) }),
    );
    const control = this.#control(service);
    const orders = control.decide({ limits, dataCentres: this.#present(service, limits), needed, now });
    for (const order of orders) {
      const outcome = await this.#send(service, order, needed, load);
      control.recordOutcome(order, outcome, performance.now());
      if (this.#parts.lease.token() === undefined) return;
    }
  }

  /** Engines that limit their requests do a part of the work of one; others have to do the rest. */
  #neededBeside(service: string, needed: number | undefined): number | undefined {
    const { limits, view } = this.#parts.context;
    const engines = view.directory.availableEndpoints(service);
    const shareOf = limits.capacityShares(engines, performance.now());
    const lost = engines.reduce((sum, engine) => sum + 1 - shareOf(engine), 0);
    return needed === undefined ? undefined : needed + Math.floor(lost);
  }

  #control(service: string): serving.EngineCountControl {
    let control = this.#controls.get(service);
    if (control === undefined) {
      control = new serving.EngineCountControl();
      this.#controls.set(service, control);
    }
    return control;
  }

  /** Engines that serve now, in the data centres for which the operators name a price. */
  #present(service: string, { prices }: serving.ScalingLimits): serving.CountInputs["dataCentres"] {
    const { settings, view } = this.#parts.context;
    const engines = view.directory.availableEndpoints(service);
    const priced = Object.keys(settings.dataCentres).filter((each) => prices.size === 0 || prices.has(each));
    return priced.map((dataCentre) => {
      const local = engines.filter((engine) => engine.dataCentre === dataCentre);
      const reclaimable = local.filter((engine) => engine.reclaimable === true).length;
      return { dataCentre, reclaimable, onDemand: local.length - reclaimable };
    });
  }

  async #send(
    service: string,
    order: serving.CountOrder,
    needed: number | undefined,
    load: Pick<serving.EngineLoad, "readingLoad" | "eventsPerMs">,
  ): Promise<serving.OrderOutcome> {
    const { calls, context, lease } = this.#parts;
    const token = lease.token();
    if (token === undefined) return serving.OrderOutcome.Failed;
    const { dataCentre, reclaimable, count } = order;
    const sent = await calls.orderEngines(
      { service, dataCentre, reclaimable, count },
      { holder: context.settings.vm, token },
    );
    context.metrics.count("engine_count_orders");
    context.log.info("engine-count-order", {
      service,
      dataCentre,
      reclaimable,
      count,
      serving: order.serving,
      needed,
      readingLoad: load.readingLoad.toFixed(2),
      eventsPerMs: load.eventsPerMs.toFixed(3),
      token,
      outcome: sent.isOk() ? "accepted" : sent.error.failure,
      detail: sent.isErr() ? sent.error.detail : undefined,
    });
    if (sent.isOk()) return serving.OrderOutcome.Accepted;
    if (sent.error.failure !== ports.DutyFailure.Conflict) return serving.OrderOutcome.Failed;
    // Fewer engines are always available: only another holder's token can stand against the order.
    if (count < order.serving) lease.onTokenRefused();
    return serving.OrderOutcome.NoneAvailable;
  }
}
