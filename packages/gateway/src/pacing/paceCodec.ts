import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import * as endpointIncarnations from "../endpointIncarnation.js";
import type * as fleetViews from "../fleetView.js";
import type * as pacings from "./pacing.js";

/** Messages carry ratios in whole hundredths. */
const HUNDREDTHS = 100;

/** Largest ratio that is sent: an engine that is silent for longer isn't slow but lost. */
const MAX_RATIO_PERCENT = 10_000;

/** Largest pause objective that is sent, in milliseconds: a route may pause for less than its time limit. */
const MAX_PAUSE_MS = 3_600_000;

/** What a received pace is checked against and applied to. */
export interface PaceReceivers {
  readonly view: fleetViews.FleetView;
  readonly pacing: Pick<pacings.Pacing, "notePeer">;
  readonly log: decisionLogs.DecisionLog;
}

/**
 * @param pace - what own streams show of an engine
 * @param view - the view of the fleet
 * @returns the message for the peers
 */
export function toMessage(pace: serving.EnginePace, view: fleetViews.FleetView): messages.EnginePace {
  return protobuf.create(messages.EnginePaceSchema, {
    endpoint: pace.endpointId,
    startedAtMs: endpointIncarnations.toMessage(view.directory.bornAtOf(pace.endpointId)),
    gapRatioPercent: Math.min(MAX_RATIO_PERCENT, Math.max(1, Math.round(pace.ratio * HUNDREDTHS))),
    ageMs: Math.round(pace.ageMs),
    pauseMs: Math.min(MAX_PAUSE_MS, Math.max(1, Math.round(pace.pauseMs))),
  });
}

/**
 * Applies what a peer tells of the engines. Impossible values are left out; of another incarnation of an engine, and of
 * one that isn't known here, nothing is kept.
 *
 * @param pulse - a received heartbeat
 * @param receivers - what the paces are checked against and applied to
 * @param now - monotonic time in milliseconds
 */
export function applyPaces(
  { vm, enginePaces }: Pick<messages.Pulse, "vm" | "enginePaces">,
  { view, pacing, log }: PaceReceivers,
  now: number,
): void {
  const possible = enginePaces.filter(isPossible).slice(0, serving.MAX_SENT_PACES);
  if (possible.length < enginePaces.length)
    log.warn("impossible-paces", { peer: vm, paces: enginePaces.length - possible.length });
  for (const { endpoint, startedAtMs, gapRatioPercent, ageMs, pauseMs } of possible) {
    const bornAt = endpointIncarnations.fromMessage(startedAtMs);
    const isKnown = view.directory.availableEndpoint(endpoint) !== undefined;
    if (!isKnown || endpointIncarnations.isOtherIncarnation(view, endpoint, bornAt)) continue;
    pacing.notePeer({ endpointId: endpoint, ratio: gapRatioPercent / HUNDREDTHS, ageMs, pauseMs }, now);
  }
}

function isPossible({ gapRatioPercent, ageMs, pauseMs }: messages.EnginePace): boolean {
  const isRatioPossible = gapRatioPercent > 0 && gapRatioPercent <= MAX_RATIO_PERCENT;
  return isRatioPossible && ageMs <= serving.PACE_VALID_MS && pauseMs > 0 && pauseMs <= MAX_PAUSE_MS;
}
