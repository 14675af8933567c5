import type * as distanceModels from "./distanceModel.js";
import * as echoes from "./echoes.js";
import * as roundTripEstimates from "./roundTripEstimate.js";

/** A distance that has changed by half or more since it was last reported. */
export interface DistanceChange {
  readonly dataCentre: string;
  /** One-way delays, in milliseconds. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** What an echo says. */
export enum EchoVerdict {
  /** A round trip was measured. */
  Measured = "measured",
  /** It isn't for this daemon, or refers to no heartbeat that can be told from the others. */
  Ignored = "ignored",
  /** It says something that can't be. */
  Impossible = "impossible",
}

/** Longest round trip that can be measured, in milliseconds: a heartbeat is forgotten after that. */
const MAX_ROUND_TRIP_MS = 5_000;

/** Inaccuracy of a round trip, in milliseconds: the time for which a heartbeat was held is in whole milliseconds. */
const INACCURACY_MS = 1;

/**
 * Time without any heartbeat from a region after which it counts as silent, in milliseconds. Heartbeats with work arrive
 * from there about three times a second, from large fleets once a second.
 */
const REGION_SILENT_MS = 2_500;

/** Share by which an estimate must change to be reported. */
const REPORTED_CHANGE = 0.5;

/**
 * Measures the distances from this daemon's data centre to the others by the heartbeats that daemons there send back, and
 * notes which regions send none.
 *
 * Load pattern: regions that are cut off, and distances that change, under waves of demand out of phase.
 */
export class DistanceMeter {
  readonly #own: string;
  readonly #model: distanceModels.DistanceModel;
  readonly #sent = new echoes.SentHeartbeats();
  readonly #held = new echoes.HeldHeartbeats();
  readonly #estimates = new Map<string, roundTripEstimates.RoundTripEstimate>();
  readonly #reportedMs = new Map<string, number>();
  readonly #heardAt = new Map<string, number>();
  #startedAt: number | undefined;

  /**
   * @param own - VM of this daemon
   * @param model - gets the measured distances
   */
  constructor(own: string, model: distanceModels.DistanceModel) {
    this.#own = own;
    this.#model = model;
  }

  /**
   * @param unixMs - Unix time in a heartbeat that is sent now, in milliseconds
   * @param now - current instant by the monotonic clock, in milliseconds
   */
  noteSent(unixMs: number, now: number): void {
    this.#sent.note(unixMs, now);
  }

  /**
   * @param dataCentre - data centre of a daemon; one that the settings don't name isn't measured
   * @param vm - its VM
   * @param unixMs - Unix time in its heartbeat, in milliseconds; 0 if it states none
   * @param now - current instant in milliseconds
   */
  noteReceived(dataCentre: string, vm: string, unixMs: number, now: number): void {
    if (!this.#model.isNamed(dataCentre)) return;
    this.#heardAt.set(this.#model.regionOf(dataCentre), now);
    this.#model.setSilent(this.#model.regionOf(dataCentre), false);
    if (dataCentre !== this.#model.dataCentre && unixMs > 0) this.#held.note(dataCentre, vm, unixMs, now);
  }

  /**
   * @param isRecipient - whether the next heartbeat goes to a data centre
   * @param now - current instant in milliseconds
   * @returns the echoes for the next heartbeat, one for each of these data centres at most
   */
  takeEchoes(isRecipient: (dataCentre: string) => boolean, now: number): echoes.HeartbeatEcho[] {
    return this.#held.take(isRecipient, now);
  }

  /**
   * @param dataCentre - data centre of the daemon that sent an echo
   * @param echo - the echo
   * @param now - current instant in milliseconds
   * @returns what it says
   */
  noteEcho(dataCentre: string, echo: echoes.HeartbeatEcho, now: number): EchoVerdict {
    if (echo.vm !== this.#own || !this.#model.isNamed(dataCentre) || dataCentre === this.#model.dataCentre)
      return EchoVerdict.Ignored;
    const sentAt = this.#sent.sentAt(echo.unixMs);
    if (sentAt === undefined) return EchoVerdict.Ignored;
    const roundTripMs = now - sentAt - echo.heldMs;
    if (roundTripMs < -INACCURACY_MS || roundTripMs > MAX_ROUND_TRIP_MS) return EchoVerdict.Impossible;
    const estimate = this.#estimates.get(dataCentre) ?? new roundTripEstimates.RoundTripEstimate();
    this.#estimates.set(dataCentre, estimate);
    estimate.record(Math.max(0, roundTripMs), now);
    return EchoVerdict.Measured;
  }

  /**
   * Brings the distances up to date: a data centre without a measurement in the last 10 s gets its prior again.
   *
   * @param now - current instant in milliseconds
   * @returns distances that have changed by half or more since they were last reported
   */
  update(now: number): DistanceChange[] {
    // A region that was cut off before this daemon started has never been heard.
    this.#startedAt ??= now;
    for (const region of this.#model.otherRegions) {
      const heardAt = this.#heardAt.get(region) ?? this.#startedAt;
      this.#model.setSilent(region, now - heardAt > REGION_SILENT_MS);
    }
    const changes: DistanceChange[] = [];
    for (const [dataCentre, estimate] of this.#estimates) {
      const fromMs = this.#reportedMs.get(dataCentre) ?? this.#model.oneWayMs(dataCentre);
      this.#reportedMs.set(dataCentre, fromMs);
      const roundTripMs = estimate.currentMs(now);
      this.#model.setMeasured(dataCentre, roundTripMs === undefined ? undefined : roundTripMs / 2);
      const toMs = this.#model.oneWayMs(dataCentre);
      if (Math.abs(toMs - fromMs) < REPORTED_CHANGE * fromMs) continue;
      this.#reportedMs.set(dataCentre, toMs);
      changes.push({ dataCentre, fromMs, toMs });
    }
    return changes;
  }
}
