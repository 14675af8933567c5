import * as serving from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import type * as virtualTimes from "./virtualTime.js";

/** What the pacing of an emulated daemon needs. */
export interface EmulatedPacingParts {
  readonly description: descriptions.Description;
  readonly time: virtualTimes.VirtualTime;
  readonly loads: serving.EngineLoadTracker;
  readonly speeds: serving.EngineSpeeds;
}

const SERVICE = "service";

/** The production pacing of an emulated daemon, in virtual time. */
export class EmulatedPacing {
  readonly tracker = new serving.PauseTracker();
  readonly #reports = new serving.PaceReports();
  readonly #budget: serving.PrefillBudget;
  readonly #parts: EmulatedPacingParts;

  /** @param parts - its dependencies */
  constructor(parts: EmulatedPacingParts) {
    this.#parts = parts;
    this.#budget = new serving.PrefillBudget(this.tracker, parts.loads);
  }

  /**
   * @param kind - kind of a request
   * @returns the budgets of the engines for it, or undefined if it isn't paced
   */
  forPrompt(kind: descriptions.RequestKind): serving.PlacementPacing | undefined {
    const { description, time, speeds } = this.#parts;
    const isOff = description.pacingOff === true || description.pausesIgnored === true;
    if (isOff || !serving.isPaced(kind.pauseMs)) return undefined;
    const { daemons: senders } = description;
    const inputs = { service: SERVICE, speeds, pauseMs: kind.pauseMs, senders, now: time.now };
    return new serving.PlacementPacing(this.#budget, inputs);
  }

  /**
   * @param engine - the engine that gets a prompt to prefill
   * @param prefill - the prefill
   */
  noteSend(engine: serving.Endpoint, prefill: serving.PendingPrefill): void {
    if (engine.role !== serving.EngineRole.Prefill) this.#budget.noteSend(prefill, this.#parts.time.now);
  }

  /**
   * @param engineId - the engine that generates a stream
   * @param kind - its kind of request
   * @returns the stream
   */
  beginStream(engineId: string, kind: descriptions.RequestKind): serving.PacedStream {
    return this.tracker.beginStream(engineId, SERVICE, kind.pauseMs);
  }

  /** @param stream - a stream of which an event has arrived */
  recordEvent(stream: serving.PacedStream): void {
    this.tracker.recordEvent(stream, this.#expectedGapMs(stream.endpointId), this.#parts.time.now);
  }

  /** @returns what the next heartbeat says of own streams */
  takePaces(): serving.EnginePace[] {
    this.#budget.noteHeartbeat();
    const { now } = this.#parts.time;
    const paces = this.tracker.ownPaces((id) => this.#expectedGapMs(id), now);
    return this.#reports.select(paces, now);
  }

  #expectedGapMs(engineId: string): number {
    const { loads, speeds, time } = this.#parts;
    return serving.expectedGapMs(speeds, loads.runningRequests(engineId, time.now));
  }
}
