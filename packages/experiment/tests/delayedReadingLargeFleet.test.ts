import * as uvu from "uvu";
import * as delayedReading from "./helpers/delayedReading.js";

const suite = uvu.suite("answered share by prompt size where daemons of a large fleet read requests late");

// Guards against the largest prompts paying for a shortage where 44 daemons serve, which know less of each other than nine.
suite("690 daemons, audits at 2.2 times the load: the largest are answered at least half as often as all", () => {
  delayedReading.checkLargestAudits(delayedReading.daemonSetupOf(11, 63));
});

suite.run();
