import * as standIns from "@camphorcourse/stand-ins";
import * as histograms from "hdr-histogram-js";
import type * as gatewayMeasure from "./gatewayMeasure.js";

const CHANGE_COUNT = 60;
const POLL_INTERVAL_MS = 5;

/** Measures how long an accepted configuration change takes to be in force on all of nine daemons. */
export async function measureConfiguration(): Promise<gatewayMeasure.TableRow[]> {
  const fleet = new standIns.Fleet({ engines: 0, services: 1, daemons: 9 });
  const histogram = histograms.build({ highestTrackableValue: 60_000 });
  try {
    await fleet.start();
    for (let change = 1; change <= CHANGE_COUNT; change++) {
      const plainDeadlineMs = 5000 + change;
      const reply = await fleet.apply(fleet.document({ plainDeadlineMs }), change, change % 9);
      if (!reply.ok) throw new Error(await reply.text());
      const acceptedAt = performance.now();
      await Promise.all(fleet.daemons.map((_, index) => waitUntilInForce(fleet, index, plainDeadlineMs)));
      histogram.recordValue(Math.max(1, Math.round(performance.now() - acceptedAt)));
    }
  } finally {
    fleet.stop();
  }
  const [p50, p99] = [histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99)];
  return [
    { measure: "accepted to in force at 9 daemons", "p50 ms": p50, "p99 ms": p99, "longest ms": histogram.maxValue },
  ];
}

async function waitUntilInForce(fleet: standIns.Fleet, index: number, deadlineMs: number): Promise<void> {
  for (;;) {
    const services = await fleet.admin<{ deadlineMs: number }[]>(index, "/admin/services");
    if (services.some((service) => service.deadlineMs === deadlineMs)) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
