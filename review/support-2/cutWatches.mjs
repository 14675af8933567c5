/** The store cuts watches that are waiting, for a second or two, as it may. Just then a runner leaves without notice. */
import * as sites from "./site.mjs";

const DRAIN_MS = 2_000;

await sites.run(undefined, async (site) => {
  site.beginTraffic(10);
  await sites.sleep(6_000);
  site.endTraffic();
  await sites.sleep(1_500);
  site.store.cutsWatches = sites.TROUBLE;
  await sites.sleep(1_600);
  const [runner] = site.plainRunners;
  runner.leave();
  const leftAt = performance.now();
  site.note(`${runner.id} has removed its entry and serves on for some seconds; the store has acknowledged it`);
  await sites.sleep(250);
  site.store.cutsWatches = false;
  await sites.sleep(leftAt + DRAIN_MS + 30 - performance.now());
  site.beginTraffic(60);
  await sites.sleep(1_500);
  site.endTraffic();
  await sites.sleep(800);
  const late = runner.runs.filter(({ at }) => at > leftAt + DRAIN_MS);
  for (const { id, at } of late)
    site.note(`${id} reached ${runner.id} ${Math.round(at - leftAt)} ms after its leaving was acknowledged`);
  return {
    isBroken: late.length > 0,
    reason: `${late.length} calls reached the runner later than ${DRAIN_MS} ms after its leaving was acknowledged`,
  };
});
