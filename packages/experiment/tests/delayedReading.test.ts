import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as delayedReading from "./helpers/delayedReading.js";

const suite = uvu.suite("answered share by prompt size where daemons read requests late");

// Guards against the largest prompts paying for a shortage where first tries are read so late that they pass for retries.
for (const [fleet, vmsEach] of [
  [9, 3],
  [69, 23],
] as const) {
  suite(`${fleet} daemons, audits at 2.2 times the load: the largest are answered at least half as often as all`, () =>
    delayedReading.checkLargestAudits(delayedReading.daemonSetupOf(3, vmsEach)),
  );
}

// Guards against counts that can't be: with more prompts accepted than offered, no size is ever found underserved.
suite("no daemon counts more accepted prompts of a kind or a size than were offered", () => {
  for (const each of delayedReading.experiments("long-shared-prompts.json", 1.3, delayedReading.daemonSetupOf(3, 3))) {
    each.run();
    for (const tracker of each.acceptanceTrackers) {
      for (const tokens of [2_000, 4_000, 8_000, 16_000, 32_000, 64_000]) {
        const counts = tracker.countsOf("audit", tokens, 34_000);
        const details = JSON.stringify(counts);
        assert.ok(counts.takenOfSize <= counts.offeredOfSize, details);
        assert.ok(counts.takenOfKind <= counts.offeredOfKind, details);
      }
    }
  }
});

suite.run();
